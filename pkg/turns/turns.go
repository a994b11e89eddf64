package turns

import "time"

// Settings configures a Queue. The zero value selects the defaults.
type Settings struct {
	// Notice is the time that routers need to detect that a host is ready
	// again. The default is 600 ms.
	Notice time.Duration
	// MaxWait is the maximum time that a host remains ready after it was asked
	// to stop. The default is 3 s.
	MaxWait time.Duration
}

const (
	defaultDetectionDelay = 600 * time.Millisecond
	defaultMaxWait        = 3 * time.Second
)

// Report is the state that a host sends to the other hosts of its data centre.
type Report struct {
	// ReadyFor is the time since the host became ready, 0 if it is not ready.
	ReadyFor time.Duration `json:"readyFor,omitempty"`
	// AskedFor is the time since the host was asked to stop, 0 if it was not.
	AskedFor time.Duration `json:"askedFor,omitempty"`
}

// Queue tracks the reports of the other hosts of the data centre, and decides
// from them when this host may stop being ready.
type Queue struct {
	settings Settings
	self     uint64
	// readySince and stopRequestedAt hold times by this host's clock. They have
	// no entry for a host that is not ready or was not asked to stop.
	readySince, stopRequestedAt map[uint64]time.Duration
	// reported is the set of hosts that sent a report.
	reported map[uint64]bool
}

// NewQueue returns a Queue without reports for the host self.
func NewQueue(self uint64, settings Settings) *Queue {
	if settings.Notice == 0 {
		settings.Notice = defaultDetectionDelay
	}
	if settings.MaxWait == 0 {
		settings.MaxWait = defaultMaxWait
	}
	return &Queue{
		settings: settings, self: self,
		readySince: map[uint64]time.Duration{}, stopRequestedAt: map[uint64]time.Duration{}, reported: map[uint64]bool{},
	}
}

// Heard records a report of another host of the data centre, received at now.
func (q *Queue) Heard(now time.Duration, host uint64, r Report) {
	q.reported[host] = true
	setStartTime(q.readySince, host, now, r.ReadyFor)
	setStartTime(q.stopRequestedAt, host, now, r.AskedFor)
}

// setStartTime sets the start of a state of host that has lasted for elapsed. It
// deletes the entry if elapsed is 0.
func setStartTime(since map[uint64]time.Duration, host uint64, now, elapsed time.Duration) {
	if elapsed > 0 {
		since[host] = now - elapsed
	} else {
		delete(since, host)
	}
}

// Forget removes a host that left the data centre or failed.
func (q *Queue) Forget(host uint64) {
	delete(q.reported, host)
	delete(q.readySince, host)
	delete(q.stopRequestedAt, host)
}

// MayLeave reports whether this host, which was asked to stop at
// stopRequestedAt, may report now that it is not ready. It may if at least half
// of the hosts remain that routers know to be ready and that do not stop before
// it, if no other host is ready, or if MaxWait has passed.
func (q *Queue) MayLeave(now, stopRequestedAt time.Duration) bool {
	if now-stopRequestedAt >= q.settings.MaxWait {
		return true
	}
	ready, remaining := 0, 0
	for host := range q.reported {
		readySince, ok := q.readySince[host]
		if !ok {
			continue
		}
		ready++
		if now-readySince >= q.settings.Notice && !q.stopsBefore(host, stopRequestedAt) {
			remaining++
		}
	}
	total := len(q.reported) + 1
	return ready == 0 || 2*remaining >= total
}

// stopsBefore reports whether another host was asked to stop before this one,
// which was asked at stopRequestedAt. The lower hash goes first in a tie.
func (q *Queue) stopsBefore(host uint64, stopRequestedAt time.Duration) bool {
	requestedAt, ok := q.stopRequestedAt[host]
	if !ok {
		return false
	}
	return requestedAt < stopRequestedAt || requestedAt == stopRequestedAt && host < q.self
}
