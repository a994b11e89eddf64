package rendez

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"

	"github.com/matryer/is"
)

func nodes(n int) []uint64 {
	out := make([]uint64, n)
	for i := range out {
		out[i] = Hash(fmt.Sprintf("host-%d", i))
	}
	return out
}

// sorted is the slow, obvious reference of Top.
func sorted(key uint64, ns []uint64, k int) []int {
	idx := make([]int, len(ns))
	for i := range idx {
		idx[i] = i
	}
	sort.SliceStable(idx, func(a, b int) bool {
		return Score(key, ns[idx[a]]) > Score(key, ns[idx[b]])
	})
	return idx[:min(k, len(idx))]
}

func TestTopAgreesWithSorting(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	for range 500 {
		ns := nodes(rng.IntN(20))
		k := rng.IntN(6)
		key := rng.Uint64()
		is.Equal(fmt.Sprint(Top(key, ns, k, nil)), fmt.Sprint(sorted(key, ns, k)))
		if len(ns) > 0 {
			is.Equal(Owner(key, ns), sorted(key, ns, 1)[0])
		}
	}
	is.Equal(Owner(7, nil), -1)
}

func TestJoinTakesOnlyForItself(t *testing.T) {
	is := is.New(t)
	ns := nodes(8)
	rng := rand.New(rand.NewPCG(3, 4))
	for range 2000 {
		key := rng.Uint64()
		before := Owner(key, ns[:7])
		after := Top(key, ns, 2, nil)
		if after[0] != before {
			is.Equal(after[0], 7)
			is.Equal(after[1], before) // The former owner is next in the order.
		}
	}
}

func TestSharesAreEven(t *testing.T) {
	is := is.New(t)
	ns := nodes(7)
	count := make([]int, len(ns))
	rng := rand.New(rand.NewPCG(5, 6))
	const keys = 70000
	for range keys {
		count[Owner(rng.Uint64(), ns)]++
	}
	for _, c := range count {
		is.True(c > 9000 && c < 11000)
	}
}

func BenchmarkFirst90(b *testing.B) {
	ns := nodes(90)
	var sum int
	for i := range b.N {
		sum += Owner(uint64(i), ns)
	}
	_ = sum
}
