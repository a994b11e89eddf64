package admit

import (
	"sort"
	"strings"
	"time"
)

const (
	// maxKinds bounds the kinds of requests that are told apart.
	maxKinds = 512
	// learnWeight is the weight of a new duration in a kind's mean.
	learnWeight = 0.15
	// longFactor times the typical duration is where long begins.
	longFactor = 8
	// minLong is the least duration that counts as long.
	minLong = 20 * time.Millisecond
	// minSamples is how often a kind must have run to be classed by its mean.
	minSamples = 2
	// recomputeEvery is how many durations pass between looks at the median.
	recomputeEvery = 64
)

// Learner learns the duration of requests by kind.
type DurationTracker struct {
	kinds map[string]*kind
	// typical is the median of the kinds' means, weighted by their requests.
	typical time.Duration
	seen    int
}

type kind struct {
	mean  time.Duration
	count float64
}

// NewLearner returns a learner that knows nothing.
func NewDurationTracker() *DurationTracker {
	return &DurationTracker{kinds: map[string]*kind{}}
}

// Kind returns the name under which a request's duration is learned: the
// method and the path, with parts that look like identifiers replaced.
func Kind(method, path string) string {
	const maxParts = 4
	parts := strings.Split(strings.Trim(path, "/"), "/")
	if len(parts) > maxParts {
		parts = parts[:maxParts]
	}
	for i, p := range parts {
		if strings.ContainsAny(p, "0123456789") || len(p) > 40 {
			parts[i] = "*"
		}
	}
	return method + " /" + strings.Join(parts, "/")
}

// Done notes how long a request of a kind ran at its server.
func (l *DurationTracker) Record(name string, took time.Duration) {
	k := l.kinds[name]
	if k == nil {
		if len(l.kinds) >= maxKinds {
			return
		}
		k = &kind{mean: took}
		l.kinds[name] = k
	}
	k.mean += time.Duration(learnWeight * float64(took-k.mean))
	k.count++
	l.seen++
	if l.seen%recomputeEvery == 0 || l.seen < recomputeEvery {
		l.recompute()
	}
}

// recompute finds the weighted median of the kinds' means and lets old counts
// fade.
func (l *DurationTracker) recompute() {
	all := make([]*kind, 0, len(l.kinds))
	total := 0.0
	for _, k := range l.kinds {
		all = append(all, k)
		total += k.count
	}
	sort.Slice(all, func(i, j int) bool { return all[i].mean < all[j].mean })
	part := 0.0
	for _, k := range all {
		part += k.count
		if part >= total/2 {
			l.typical = k.mean
			break
		}
	}
}

// Long reports whether requests of a kind are long, and false for known if
// too few were seen.
func (l *DurationTracker) IsLong(name string) (long, known bool) {
	k := l.kinds[name]
	if k == nil || k.count < minSamples {
		return false, false
	}
	return k.mean >= l.LongThreshold(), true
}

// Threshold returns the duration from which on a request is long.
func (l *DurationTracker) LongThreshold() time.Duration {
	return max(minLong, longFactor*l.typical)
}

// Expect returns the mean duration of a kind, or the typical one.
func (l *DurationTracker) ExpectedDuration(name string) time.Duration {
	if k := l.kinds[name]; k != nil {
		return k.mean
	}
	return l.typical
}
