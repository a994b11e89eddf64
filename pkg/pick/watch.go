package pick

import (
	"math"
	"slices"
	"time"
)

// WatchSettings configures a Watch. The zero value selects the defaults.
type WatchSettings struct {
	// Ramp is the time in which the weight of a new or recovered server rises
	// to 1. The default is 10 s.
	Ramp time.Duration
	// EjectAfter is the number of consecutive failures after which a server is
	// ejected. The default is 5.
	EjectAfter int
	// EjectFor is the duration of the first ejection of a server. It doubles
	// with each further ejection, up to 16 times this value. The default is
	// 5 s.
	EjectFor time.Duration
	// MaxEjected is the maximum fraction of a service's servers that are
	// ejected at the same time. The default is 0.34.
	MaxEjected float64
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

// Watch tracks failures and latency of a service's servers, as observed in this
// host's own requests. These observations take precedence over health and load
// endpoints, whose answers lag behind or are wrong.
type Watch struct {
	settings WatchSettings
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

// NewWatch returns a Watch without servers.
func NewWatch(settings WatchSettings) *Watch {
	if settings.Ramp == 0 {
		settings.Ramp = defaultRampWindow
	}
	if settings.EjectAfter == 0 {
		settings.EjectAfter = defaultEjectThreshold
	}
	if settings.EjectFor == 0 {
		settings.EjectFor = defaultBaseEjection
	}
	if settings.MaxEjected == 0 {
		settings.MaxEjected = defaultMaxEjectedRatio
	}
	return &Watch{settings: settings, servers: map[uint64]*serverStats{}}
}

// Set replaces the list of the service's servers. Servers that were not in the
// list start at their lowest weight, or at full weight if warm is true. Callers
// set warm when the host itself starts, since the servers are not new then.
func (w *Watch) Set(now time.Duration, ids []uint64, warm bool) {
	for _, id := range ids {
		if w.servers[id] != nil {
			continue
		}
		o := &serverStats{rampStart: now}
		if warm {
			o.rampStart = now - w.settings.Ramp
		}
		w.servers[id] = o
	}
	for id := range w.servers {
		if !slices.Contains(ids, id) {
			delete(w.servers, id)
		}
	}
}

// Done records the result of a request. It reports whether this result ejected
// the server.
func (w *Watch) Done(now time.Duration, id uint64, ok bool, duration time.Duration) (ejected bool) {
	o := w.servers[id]
	if o == nil {
		return false
	}
	if ok {
		o.consecutiveFailures = 0
		if o.ejections > 0 && now-o.ejectedUntil > 4*w.settings.EjectFor {
			o.ejections = 0
		}
		o.meanLatency += latencySmoothing * (duration.Seconds() - o.meanLatency)
		return false
	}
	o.consecutiveFailures++
	if o.consecutiveFailures < w.settings.EjectAfter || now < o.ejectedUntil || !w.canEject(now) {
		return false
	}
	o.consecutiveFailures = 0
	o.ejectedUntil = now + w.settings.EjectFor<<min(o.ejections, maxEjectDoublings)
	o.rampStart = o.ejectedUntil
	o.ejections++
	return true
}

// canEject reports whether one more server may be ejected. The limit ensures
// that a failure signal that is wrong for all servers does not leave a service
// without servers.
func (w *Watch) canEject(now time.Duration) bool {
	ejected := 1
	for _, o := range w.servers {
		if now < o.ejectedUntil {
			ejected++
		}
	}
	return ejected <= int(math.Floor(w.settings.MaxEjected*float64(len(w.servers))))
}

// Health records the answer of a server's health endpoint. An unhealthy server
// whose last request failed gets half its weight; it is never ejected for that.
func (w *Watch) Health(id uint64, healthy bool) {
	if o := w.servers[id]; o != nil {
		o.unhealthy = !healthy
	}
}

// Ejected reports whether a server is ejected.
func (w *Watch) Ejected(now time.Duration, id uint64) bool {
	o := w.servers[id]
	return o != nil && now < o.ejectedUntil
}

// Weight returns the weight of a server, in [0, 1]. It is 0 while the server is
// ejected, and rises to 1 while the server ramps up.
func (w *Watch) Weight(now time.Duration, id uint64) float64 {
	o := w.servers[id]
	if o == nil {
		return minWeight
	}
	if now < o.ejectedUntil {
		return 0
	}
	weight := 1.0
	if age := now - o.rampStart; age < w.settings.Ramp {
		weight = max(minWeight, float64(age)/float64(w.settings.Ramp))
	}
	if o.unhealthy && o.consecutiveFailures > 0 {
		weight /= 2
	}
	return weight
}

// Latency returns the moving average of a server's request latency in seconds,
// or 0 if no request was answered.
func (w *Watch) Latency(id uint64) float64 {
	if o := w.servers[id]; o != nil {
		return o.meanLatency
	}
	return 0
}
