package drain

import "time"

// Settings configures a Coordinator. The zero value selects the defaults.
type Settings struct {
	// DetectionDelay is the time that routers need to detect that a host is ready
	// again. The default is 600 ms.
	DetectionDelay time.Duration
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
	// SinceStopRequest is the time since the host was asked to stop, 0 if it was not.
	SinceStopRequest time.Duration `json:"askedFor,omitempty"`
}

// Coordinator tracks the reports of the other hosts of the data centre, and decides
// from them when this host may stop being ready.
type Coordinator struct {
	settings Settings
	self     uint64
	// readySince and stopRequestedAt hold times by this host's clock. They have
	// no entry for a host that is not ready or was not asked to stop.
	readySince, stopRequestedAt map[uint64]time.Duration
	// lastReadyAt is when a host last reported that it is ready.
	lastReadyAt map[uint64]time.Duration
	// reported is the set of hosts that sent a report.
	reported map[uint64]bool
}

// NewCoordinator returns a Coordinator without reports for the host self.
func NewCoordinator(self uint64, settings Settings) *Coordinator {
	if settings.DetectionDelay == 0 {
		settings.DetectionDelay = defaultDetectionDelay
	}
	if settings.MaxWait == 0 {
		settings.MaxWait = defaultMaxWait
	}
	return &Coordinator{
		settings: settings, self: self,
		readySince: map[uint64]time.Duration{}, stopRequestedAt: map[uint64]time.Duration{}, lastReadyAt: map[uint64]time.Duration{},
		reported: map[uint64]bool{},
	}
}

// RecordReport records a report of another host of the data centre, received at now.
func (c *Coordinator) RecordReport(now time.Duration, host uint64, r Report) {
	c.reported[host] = true
	if r.ReadyFor > 0 {
		c.lastReadyAt[host] = now
	}
	setStartTime(c.readySince, host, now, r.ReadyFor)
	setStartTime(c.stopRequestedAt, host, now, r.SinceStopRequest)
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

// RemoveHost removes a host that left the data centre or failed.
func (c *Coordinator) RemoveHost(host uint64) {
	delete(c.reported, host)
	delete(c.readySince, host)
	delete(c.stopRequestedAt, host)
	delete(c.lastReadyAt, host)
}

// MayBecomeUnready reports whether this host, which was asked to stop at
// stopRequestedAt, may report now that it is not ready. It may if, of all hosts
// including this one, at least half have been ready for DetectionDelay and do not
// stop before this host. It also may if no other host is ready or was within
// MaxWait, since one that has just stopped may return, or if MaxWait has passed since
// the request.
func (c *Coordinator) MayBecomeUnready(now, stopRequestedAt time.Duration) bool {
	if now-stopRequestedAt >= c.settings.MaxWait {
		return true
	}
	ready, remaining := 0, 0
	for host := range c.reported {
		readySince, ok := c.readySince[host]
		if !ok {
			continue
		}
		ready++
		if now-readySince >= c.settings.DetectionDelay && !c.stopsBefore(host, stopRequestedAt) {
			remaining++
		}
	}
	total := len(c.reported) + 1
	return ready == 0 && !c.wasReady(now) || 2*remaining >= total
}

// wasReady reports whether another host reported within MaxWait that it is ready.
func (c *Coordinator) wasReady(now time.Duration) bool {
	for _, at := range c.lastReadyAt {
		if now-at < c.settings.MaxWait {
			return true
		}
	}
	return false
}

// stopsBefore reports whether another host was asked to stop before this one,
// which was asked at stopRequestedAt. If both were asked at the same time, the
// host with the lower ID stops first.
func (c *Coordinator) stopsBefore(host uint64, stopRequestedAt time.Duration) bool {
	requestedAt, ok := c.stopRequestedAt[host]
	if !ok {
		return false
	}
	return requestedAt < stopRequestedAt || requestedAt == stopRequestedAt && host < c.self
}
