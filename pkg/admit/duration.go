package admit

import (
	"sort"
	"strings"
	"time"
)

const (
	// maxKinds is the maximum number of request kinds in a DurationTracker. It
	// bounds the memory; requests of further kinds are not recorded.
	maxKinds = 512
	// meanWeight is the weight of a new duration in the moving average of its
	// kind.
	meanWeight = 0.15
	// longFactor is the ratio of LongThreshold to the median duration.
	longFactor = 8
	// minLongThreshold is the minimum of LongThreshold.
	minLongThreshold = 20 * time.Millisecond
	// minSamples is the minimum number of recorded durations for a kind to be
	// classified.
	minSamples = 2
	// samplesPerUpdate is the number of recorded durations between updates of
	// the median. Until so many are recorded, each one updates it.
	samplesPerUpdate = 64
)

// DurationTracker keeps a moving average of the duration of requests by kind,
// and classifies kinds as short or long.
type DurationTracker struct {
	kinds map[string]*kindStats
	// median is the median of the kinds' mean durations, weighted by their
	// counts.
	median  time.Duration
	samples int
}

// kindStats is the moving average and the number of the durations of one kind.
type kindStats struct {
	mean  time.Duration
	count float64
}

// NewDurationTracker returns a DurationTracker without recorded durations.
func NewDurationTracker() *DurationTracker {
	return &DurationTracker{kinds: map[string]*kindStats{}}
}

// Kind returns the name of the kind of a request: the method and the first four
// segments of the path. Segments that contain a digit or are longer than 40
// bytes are likely identifiers and are replaced by "*".
func Kind(method, path string) string {
	const maxSegments = 4
	segments := strings.Split(strings.Trim(path, "/"), "/")
	if len(segments) > maxSegments {
		segments = segments[:maxSegments]
	}
	for i, p := range segments {
		if strings.ContainsAny(p, "0123456789") || len(p) > 40 {
			segments[i] = "*"
		}
	}
	return method + " /" + strings.Join(segments, "/")
}

// Record records the duration of a request of a kind at its server.
func (t *DurationTracker) Record(kind string, duration time.Duration) {
	k := t.kinds[kind]
	if k == nil {
		if len(t.kinds) >= maxKinds {
			return
		}
		k = &kindStats{mean: duration}
		t.kinds[kind] = k
	}
	k.mean += time.Duration(meanWeight * float64(duration-k.mean))
	k.count++
	t.samples++
	if t.samples%samplesPerUpdate == 0 || t.samples < samplesPerUpdate {
		t.updateMedian()
	}
}

// updateMedian computes the weighted median of the kinds' mean durations.
func (t *DurationTracker) updateMedian() {
	kinds := make([]*kindStats, 0, len(t.kinds))
	total := 0.0
	for _, k := range t.kinds {
		kinds = append(kinds, k)
		total += k.count
	}
	sort.Slice(kinds, func(i, j int) bool { return kinds[i].mean < kinds[j].mean })
	count := 0.0
	for _, k := range kinds {
		count += k.count
		if count >= total/2 {
			t.median = k.mean
			break
		}
	}
}

// IsLong reports whether requests of a kind are long. The result ok is false if
// too few durations of the kind are recorded.
func (t *DurationTracker) IsLong(kind string) (long, ok bool) {
	k := t.kinds[kind]
	if k == nil || k.count < minSamples {
		return false, false
	}
	return k.mean >= t.LongThreshold(), true
}

// LongThreshold returns the minimum duration of a long request.
func (t *DurationTracker) LongThreshold() time.Duration {
	return max(minLongThreshold, longFactor*t.median)
}

// ExpectedDuration returns the mean duration of a kind, or the median over all
// kinds if none is recorded for it.
func (t *DurationTracker) ExpectedDuration(kind string) time.Duration {
	if k := t.kinds[kind]; k != nil {
		return k.mean
	}
	return t.median
}
