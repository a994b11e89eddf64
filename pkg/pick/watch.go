package pick

import (
	"math"
	"slices"
	"time"
)

// WatchSettings bounds a Watch. The zero value is usable.
type HealthSettings struct {
	// Ramp is the time in which a new or recovered server reaches its full
	// weight. The default is 10 s.
	RampWindow time.Duration
	// EjectAfter is how many failures in a row eject a server. The default
	// is 5.
	EjectThreshold int
	// EjectFor is the time of a first ejection; it doubles with each further
	// one up to 16 times. The default is 5 s.
	BaseEjection time.Duration
	// MaxEjected is the share of a service's servers that may be ejected at
	// one time. The default is 0.34.
	MaxEjectedRatio float64
}

const (
	defaultRamp       = 10 * time.Second
	defaultEjectAfter = 5
	defaultEjectFor   = 5 * time.Second
	defaultMaxEjected = 0.34
	maxEjectDoublings = 4
	// minWeight is the weight with which a server begins its ramp.
	minWeight = 0.1
	// smoothing is the weight of a new observation in the mean latency.
	smoothing = 0.2
)

// Watch is what a host learned of a service's servers by its own requests.
// It ranks above what health and load endpoints say, which lag or mislead.
type HealthTracker struct {
	set     HealthSettings
	servers map[uint64]*observed
}

type observed struct {
	since     time.Duration
	failures  int
	ejections int
	until     time.Duration
	latency   float64
	// unhealthy is the word of the health endpoint, a hint only.
	unhealthy bool
}

// NewWatch returns an empty watch.
func NewHealthTracker(set HealthSettings) *HealthTracker {
	if set.RampWindow == 0 {
		set.RampWindow = defaultRamp
	}
	if set.EjectThreshold == 0 {
		set.EjectThreshold = defaultEjectAfter
	}
	if set.BaseEjection == 0 {
		set.BaseEjection = defaultEjectFor
	}
	if set.MaxEjectedRatio == 0 {
		set.MaxEjectedRatio = defaultMaxEjected
	}
	return &HealthTracker{set: set, servers: map[uint64]*observed{}}
}

// Set names the servers of the service. New ones begin their ramp, unless
// warm, as at the host's own start, when the servers are not new.
func (w *HealthTracker) SetServers(now time.Duration, ids []uint64, warm bool) {
	for _, id := range ids {
		if w.servers[id] != nil {
			continue
		}
		o := &observed{since: now}
		if warm {
			o.since = now - w.set.RampWindow
		}
		w.servers[id] = o
	}
	for id := range w.servers {
		if !slices.Contains(ids, id) {
			delete(w.servers, id)
		}
	}
}

// Done notes the end of a request. It returns whether the server is ejected
// now and was not before.
func (w *HealthTracker) RecordResult(now time.Duration, id uint64, ok bool, took time.Duration) (ejected bool) {
	o := w.servers[id]
	if o == nil {
		return false
	}
	if ok {
		o.failures = 0
		if o.ejections > 0 && now-o.until > 4*w.set.BaseEjection {
			o.ejections = 0
		}
		o.latency += smoothing * (took.Seconds() - o.latency)
		return false
	}
	o.failures++
	if o.failures < w.set.EjectThreshold || now < o.until || !w.mayEject(now) {
		return false
	}
	o.failures = 0
	o.until = now + w.set.BaseEjection<<min(o.ejections, maxEjectDoublings)
	o.since = o.until
	o.ejections++
	return true
}

// mayEject reports whether one more ejection keeps within the bound, so that
// a bad signal cannot empty a service.
func (w *HealthTracker) mayEject(now time.Duration) bool {
	out := 1
	for _, o := range w.servers {
		if now < o.until {
			out++
		}
	}
	return out <= int(math.Floor(w.set.MaxEjectedRatio*float64(len(w.servers))))
}

// Health notes what a server's health endpoint said. It halves the weight of
// an unhealthy server and never takes one out.
func (w *HealthTracker) SetHealthCheck(id uint64, healthy bool) {
	if o := w.servers[id]; o != nil {
		o.unhealthy = !healthy
	}
}

// Ejected reports whether a server is ejected.
func (w *HealthTracker) Ejected(now time.Duration, id uint64) bool {
	o := w.servers[id]
	return o != nil && now < o.until
}

// Weight returns a server's weight in [0, 1]: 0 while it is ejected, rising
// while it ramps up.
func (w *HealthTracker) Weight(now time.Duration, id uint64) float64 {
	o := w.servers[id]
	if o == nil {
		return minWeight
	}
	if now < o.until {
		return 0
	}
	weight := 1.0
	if age := now - o.since; age < w.set.RampWindow {
		weight = max(minWeight, float64(age)/float64(w.set.RampWindow))
	}
	if o.unhealthy && o.failures > 0 {
		weight /= 2
	}
	return weight
}

// Latency returns the mean time of a server's requests in seconds, 0 if none
// was seen.
func (w *HealthTracker) Latency(id uint64) float64 {
	if o := w.servers[id]; o != nil {
		return o.latency
	}
	return 0
}
