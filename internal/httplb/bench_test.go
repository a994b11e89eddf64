package httplb

import (
	"slices"
	"testing"
	"time"
)

// reportPercentiles reports the median and the 99th percentile of times.
func reportPercentiles(b *testing.B, times []time.Duration) {
	if len(times) == 0 {
		return
	}
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-us")
}
