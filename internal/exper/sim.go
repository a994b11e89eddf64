package exper

import (
	"fmt"
	"math/rand/v2"
	"time"

	"lagoonramp.org/lagoonramp/internal/vtime"
	"lagoonramp.org/lagoonramp/pkg/rendez"
)

// sim is a virtual clock with a random source.
type sim struct {
	vtime.Clock
	rng *rand.Rand
}

func newSim(seed uint64, stream uint64) *sim {
	return &sim{rng: rand.New(rand.NewPCG(seed, stream))}
}

// exp returns an exponentially distributed time.
func (s *sim) exp(mean time.Duration) time.Duration {
	return time.Duration(s.rng.ExpFloat64() * float64(mean))
}

// between returns an even random time.
func (s *sim) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Int64N(int64(high-low)+1))
}

// ids returns the hashes of names with a prefix.
func ids(prefix string, n int) []uint64 {
	out := make([]uint64, n)
	for i := range out {
		out[i] = rendez.Hash(fmt.Sprintf("%s-%d", prefix, i+1))
	}
	return out
}
