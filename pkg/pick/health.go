package pick

import (
	"math"
	"slices"
	"time"
)

// HealthSettings configures a HealthTracker. The zero value selects the defaults.
type HealthSettings struct {
	// RampWindow is the time in which the weight of a new or recovered server
	// rises to 1. The default is 10 s.
	RampWindow time.Duration
	// EjectThreshold is the number of consecutive failures after which a server
	// is ejected. The default is 5.
	EjectThreshold int
	// BaseEjection is the duration of the first ejection of a server. It doubles
	// with each further ejection, up to 16 times this value. The default is
	// 5 s.
	BaseEjection time.Duration
	// MaxEjectedRatio is the maximum fraction of a service's servers that are
	// ejected at the same time. The default is 0.34.
	MaxEjectedRatio float64
}

const (
	defaultRampWindow      = 10 * time.Second
	defaultEjectThreshold  = 5
	defaultBaseEjection    = 5 * time.Second
	defaultMaxEjectedRatio = 0.34
	maxEjectDoublings      = 4
	// minWeight is the weight of a server at the start of its ramp.
	minWeight = 0.1
	// latencySmoothing is the weight of a new observation in the exponential
	// moving average of the latency.
	latencySmoothing = 0.2
)

// HealthTracker tracks failures and latency of a service's servers, as observed
// in this host's own requests. These observations take precedence over health and
// load endpoints, whose answers may be outdated or wrong.
type HealthTracker struct {
	settings HealthSettings
	servers  map[uint64]*serverStats
}

// serverStats is the observed state of one server.
type serverStats struct {
	// rampStart is when the weight starts to rise from minWeight.
	rampStart           time.Duration
	consecutiveFailures int
	ejections           int
	ejectedUntil        time.Duration
	meanLatency         float64
	// unhealthy is the last answer of the health endpoint. It has no effect
	// without a failure that this host observed.
	unhealthy bool
}

// NewHealthTracker returns a HealthTracker without servers.
func NewHealthTracker(settings HealthSettings) *HealthTracker {
	if settings.RampWindow == 0 {
		settings.RampWindow = defaultRampWindow
	}
	if settings.EjectThreshold == 0 {
		settings.EjectThreshold = defaultEjectThreshold
	}
	if settings.BaseEjection == 0 {
		settings.BaseEjection = defaultBaseEjection
	}
	if settings.MaxEjectedRatio == 0 {
		settings.MaxEjectedRatio = defaultMaxEjectedRatio
	}
	return &HealthTracker{settings: settings, servers: map[uint64]*serverStats{}}
}

// SetServers replaces the list of the service's servers. Servers that were not in
// the list start at their lowest weight, or at full weight if warm is true. It
// should be true only in the first call, when t is new but its servers usually
// are not.
func (t *HealthTracker) SetServers(now time.Duration, ids []uint64, warm bool) {
	for _, id := range ids {
		if t.servers[id] != nil {
			continue
		}
		s := &serverStats{rampStart: now}
		if warm {
			s.rampStart = now - t.settings.RampWindow
		}
		t.servers[id] = s
	}
	for id := range t.servers {
		if !slices.Contains(ids, id) {
			delete(t.servers, id)
		}
	}
}

// RecordResult records the result of a request. It reports whether this result
// ejected the server. A success more than 4*BaseEjection after the end of the
// last ejection resets the duration of the next one to BaseEjection.
func (t *HealthTracker) RecordResult(now time.Duration, id uint64, ok bool, duration time.Duration) (ejected bool) {
	s := t.servers[id]
	if s == nil {
		return false
	}
	if ok {
		s.consecutiveFailures = 0
		if s.ejections > 0 && now-s.ejectedUntil > 4*t.settings.BaseEjection {
			s.ejections = 0
		}
		s.meanLatency += latencySmoothing * (duration.Seconds() - s.meanLatency)
		return false
	}
	s.consecutiveFailures++
	if s.consecutiveFailures < t.settings.EjectThreshold || now < s.ejectedUntil || !t.canEject(now) {
		return false
	}
	s.consecutiveFailures = 0
	s.ejectedUntil = now + t.settings.BaseEjection<<min(s.ejections, maxEjectDoublings)
	s.rampStart = s.ejectedUntil
	s.ejections++
	return true
}

// canEject reports whether one more server may be ejected. The limit ensures
// that a failure signal that is wrong for all servers does not leave a service
// without servers.
func (t *HealthTracker) canEject(now time.Duration) bool {
	ejected := 1
	for _, s := range t.servers {
		if now < s.ejectedUntil {
			ejected++
		}
	}
	return ejected <= int(math.Floor(t.settings.MaxEjectedRatio*float64(len(t.servers))))
}

// SetHealthCheck records the answer of a server's health endpoint. An unhealthy
// server whose last request failed gets half its weight; it is never ejected for
// that.
func (t *HealthTracker) SetHealthCheck(id uint64, healthy bool) {
	if s := t.servers[id]; s != nil {
		s.unhealthy = !healthy
	}
}

// Ejected reports whether a server is ejected.
func (t *HealthTracker) Ejected(now time.Duration, id uint64) bool {
	s := t.servers[id]
	return s != nil && now < s.ejectedUntil
}

// Weight returns the weight of a server, in [0, 1]. It is 0 while the server is
// ejected, and rises to 1 while the server ramps up.
func (t *HealthTracker) Weight(now time.Duration, id uint64) float64 {
	s := t.servers[id]
	if s == nil {
		return minWeight
	}
	if now < s.ejectedUntil {
		return 0
	}
	weight := 1.0
	if age := now - s.rampStart; age < t.settings.RampWindow {
		weight = max(minWeight, float64(age)/float64(t.settings.RampWindow))
	}
	if s.unhealthy && s.consecutiveFailures > 0 {
		weight /= 2
	}
	return weight
}

// Latency returns the moving average of a server's request latency in seconds,
// or 0 if no request was answered.
func (t *HealthTracker) Latency(id uint64) float64 {
	if s := t.servers[id]; s != nil {
		return s.meanLatency
	}
	return 0
}
