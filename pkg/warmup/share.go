package warmup

import (
	"math"
	"time"

	"lagoonramp.org/lagoonramp/pkg/rendez"
)

const (
	// targetFraction is the fraction of a cold server's rate that its feeders send
	// together. The rest compensates for timers that expire early or late.
	targetFraction = 0.95
	// reserveFraction is the fraction of the bound that is reserved for hosts with
	// outdated knowledge, and minReserve the least reserve, one flow.
	reserveFraction = 0.25
	minReserve      = 1.0
	// maxSpacing bounds the spacing, so that it fits a time.Duration.
	maxSpacing = float64(24 * time.Hour)
)

// Settings bounds the flows that a cold server may get in one second: its rate
// times Overage, plus Slack. The zero value selects an Overage of 1 and a Slack
// of 0.
type Settings struct {
	Overage, Slack float64
}

// Bound returns the maximum number of new flows that a cold server that takes
// perSecond flows per second may get in one second.
func (s Settings) Bound(perSecond float64) float64 {
	if s.Overage == 0 {
		s.Overage = 1
	}
	return perSecond*s.Overage + s.Slack
}

// Share returns how many of the hosts of a data centre feed a cold server that
// takes perSecond flows per second, and the minimum spacing between the flows of
// each. It is the largest number for which the flows of all feeders in any second
// leave the reserve of the bound. It returns 0 feeders if not even one fits.
func (s Settings) Share(perSecond float64, hosts int) (feeders int, spacing time.Duration) {
	bound := s.Bound(perSecond)
	available := bound - max(minReserve, reserveFraction*bound)
	rate := targetFraction * perSecond
	if !(rate > 0) || math.IsInf(available, 0) {
		return 0, 0
	}
	for k := min(hosts, int(min(available, float64(math.MaxInt32)))); k > 0; k-- {
		nanoseconds := math.Ceil(float64(k) / rate * float64(time.Second))
		if nanoseconds > maxSpacing {
			continue
		}
		spacing := time.Duration(nanoseconds)
		if float64(k*flowsPerSecond(spacing)) <= available {
			return k, spacing
		}
	}
	return 0, 0
}

// flowsPerSecond returns the maximum number of flows with a minimum spacing in any
// second.
func flowsPerSecond(spacing time.Duration) int {
	return int((time.Second + spacing - 1) / spacing)
}

// Rank returns the number of hosts that rank before self for a server.
func Rank(self uint64, hosts []uint64, server string) int {
	key := rendez.Hash(server)
	own := rendez.Score(key, self)
	n := 0
	for _, h := range hosts {
		if score := rendez.Score(key, h); score > own || score == own && h < self {
			n++
		}
	}
	return n
}

// IsFeeder reports whether self is one of the first n hosts for a server.
func IsFeeder(self uint64, hosts []uint64, server string, n int) bool {
	return n > 0 && Rank(self, hosts, server) < n
}
