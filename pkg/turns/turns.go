package turns

import "time"

// Settings of a Queue. The zero value is usable.
type Settings struct {
	// Notice is how long routers need to see that a host is ready again. The
	// default is 600 ms.
	DetectionDelay time.Duration
	// MaxWait is how long a host stays ready at most after it was asked to
	// stop. The default is 3 s.
	MaxWait time.Duration
}

const (
	defaultNotice  = 600 * time.Millisecond
	defaultMaxWait = 3 * time.Second
)

// Report is what a host says of itself.
type Report struct {
	// ReadyFor is how long the host has been ready; 0 if it is not.
	ReadyFor time.Duration `json:"readyFor,omitempty"`
	// AskedFor is how long ago the host was asked to stop; 0 if it was not.
	SinceStopRequest time.Duration `json:"askedFor,omitempty"`
}

// Queue holds what a host knows of the others of its data centre.
type Coordinator struct {
	set  Settings
	self uint64
	// readySince and askedSince hold times by the own clock; a host that is
	// not ready, or was not asked, is missing.
	readySince, askedSince map[uint64]time.Duration
	// heard holds the hosts that said anything.
	heard map[uint64]bool
}

// NewQueue returns the queue of a host that has heard of no other.
func NewCoordinator(self uint64, set Settings) *Coordinator {
	if set.DetectionDelay == 0 {
		set.DetectionDelay = defaultNotice
	}
	if set.MaxWait == 0 {
		set.MaxWait = defaultMaxWait
	}
	return &Coordinator{
		set: set, self: self,
		readySince: map[uint64]time.Duration{}, askedSince: map[uint64]time.Duration{}, heard: map[uint64]bool{},
	}
}

// Heard notes what a host of the data centre said of itself just now.
func (q *Coordinator) RecordReport(now time.Duration, host uint64, r Report) {
	q.heard[host] = true
	note(q.readySince, host, now, r.ReadyFor)
	note(q.askedSince, host, now, r.SinceStopRequest)
}

func note(since map[uint64]time.Duration, host uint64, now, lasts time.Duration) {
	if lasts > 0 {
		since[host] = now - lasts
	} else {
		delete(since, host)
	}
}

// Forget drops a host that is gone for good.
func (q *Coordinator) RemoveHost(host uint64) {
	delete(q.heard, host)
	delete(q.readySince, host)
	delete(q.askedSince, host)
}

// MayLeave reports whether this host, which was asked to stop at a time, may say
// now that it is not ready.
func (q *Coordinator) MayBecomeUnready(now, asked time.Duration) bool {
	if now-asked >= q.set.MaxWait {
		return true
	}
	ready, stay := 0, 0
	for host := range q.heard {
		since, ok := q.readySince[host]
		if !ok {
			continue
		}
		ready++
		if now-since >= q.set.DetectionDelay && !q.goesBefore(host, asked) {
			stay++
		}
	}
	all := len(q.heard) + 1
	return ready == 0 || 2*stay >= all
}

// goesBefore reports whether another host was asked to stop before this one.
func (q *Coordinator) goesBefore(host uint64, asked time.Duration) bool {
	since, ok := q.askedSince[host]
	if !ok {
		return false
	}
	return since < asked || since == asked && host < q.self
}
