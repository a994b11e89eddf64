package exper

import (
	"fmt"
	"math/rand/v2"
	"time"

	"lagoonramp.org/lagoonramp/internal/vtime"
	"lagoonramp.org/lagoonramp/pkg/rendez"
)

// engine is a virtual clock with a seeded random source.
type engine struct {
	vtime.Clock
	rng *rand.Rand
}

// newEngine returns an engine whose random source is determined by seed and
// stream.
func newEngine(seed uint64, stream uint64) *engine {
	return &engine{rng: rand.New(rand.NewPCG(seed, stream))}
}

// exponential returns an exponentially distributed duration with the given mean.
func (e *engine) exponential(mean time.Duration) time.Duration {
	return time.Duration(e.rng.ExpFloat64() * float64(mean))
}

// uniform returns a uniformly distributed duration from low to high.
func (e *engine) uniform(low, high time.Duration) time.Duration {
	return low + time.Duration(e.rng.Int64N(int64(high-low)+1))
}

// hashIDs returns the hashes of the names prefix-1 to prefix-n.
func hashIDs(prefix string, n int) []uint64 {
	out := make([]uint64, n)
	for i := range out {
		out[i] = rendez.Hash(fmt.Sprintf("%s-%d", prefix, i+1))
	}
	return out
}
