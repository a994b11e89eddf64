package steer

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestTimerHeapPopsEarliestFirst(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 5))
	var h timerHeap
	var want []time.Duration
	for range 2000 {
		if len(want) == 0 || rng.IntN(3) > 0 {
			at := time.Duration(rng.IntN(100))
			h.push(timer{expiresAt: at})
			want = append(want, at)
			slices.Sort(want)
			continue
		}
		is.Equal(h.pop().expiresAt, want[0])
		want = want[1:]
	}
	is.Equal(len(h), len(want))
}
