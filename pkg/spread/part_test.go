package spread

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// broadcast plays a message from the origin through hosts, each of which knows
// the hosts of its list. It returns how often each host got it, the greatest
// number of steps and the greatest number of messages that one host sent.
func broadcast(rng *rand.Rand, origin uint64, lists map[uint64][]uint64, degree int, dead map[uint64]bool) (got map[uint64]int, depth, most int) {
	type step struct {
		host  uint64
		part  Range
		depth int
	}
	got = map[uint64]int{}
	pick := func(some []uint64) uint64 { return some[rng.IntN(len(some))] }
	for todo := []step{{host: origin, part: FullRange}}; len(todo) > 0; todo = todo[1:] {
		s := todo[0]
		if dead[s.host] {
			continue
		}
		next := s.part.Split(s.host, lists[s.host], degree, pick)
		most = max(most, len(next))
		for _, d := range next {
			got[d.Host]++
			depth = max(depth, s.depth+1)
			todo = append(todo, step{host: d.Host, part: d.Range, depth: s.depth + 1})
		}
	}
	return got, depth, most
}

func randomHosts(rng *rand.Rand, n int) []uint64 {
	out := make([]uint64, n)
	for i := range out {
		out[i] = rng.Uint64()
	}
	return out
}

func TestEveryoneGetsABroadcastOnce(t *testing.T) {
	for _, tt := range []struct{ hosts, degree, depth int }{
		{1, 4, 0}, {2, 4, 1}, {5, 4, 1}, {7, 4, 2}, {91, 4, 5}, {540, 4, 7}, {540, 2, 40},
	} {
		t.Run(fmt.Sprintf("%d hosts, degree %d", tt.hosts, tt.degree), func(t *testing.T) {
			is := is.New(t)
			rng := rand.New(rand.NewPCG(1, uint64(tt.hosts)))
			hosts := randomHosts(rng, tt.hosts)
			lists := map[uint64][]uint64{}
			for _, h := range hosts {
				lists[h] = hosts
			}
			got, depth, most := broadcast(rng, hosts[0], lists, tt.degree, nil)
			is.Equal(len(got), tt.hosts-1)
			for _, n := range got {
				is.Equal(n, 1)
			}
			is.True(depth <= tt.depth)
			is.True(most <= tt.degree)
		})
	}
}

// TestBroadcastWithDifferentLists lets each host lack a tenth of the others: no
// host gets a message twice, and few get none.
func TestBroadcastWithDifferentLists(t *testing.T) {
	is := is.New(t)
	missed, all := 0, 0
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 7))
		hosts := randomHosts(rng, 90)
		lists := map[uint64][]uint64{}
		for _, h := range hosts {
			for _, other := range hosts {
				if rng.IntN(10) > 0 {
					lists[h] = append(lists[h], other)
				}
			}
		}
		got, _, _ := broadcast(rng, hosts[0], lists, 4, nil)
		for _, n := range got {
			is.Equal(n, 1)
		}
		all += len(hosts) - 1
		missed += len(hosts) - 1 - len(got)
	}
	is.True(float64(missed) < 0.12*float64(all))
}

// TestRoundsReachHostsBesideDeadOnes kills a tenth of the hosts, which the
// others still list: six rounds of two origins, the time after which a host
// would ask the store itself, reach every other host.
func TestRoundsReachHostsBesideDeadOnes(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 8))
		hosts := randomHosts(rng, 90)
		lists, dead, reached := map[uint64][]uint64{}, map[uint64]bool{}, map[uint64]bool{}
		for i, h := range hosts {
			lists[h] = hosts
			dead[h] = i >= 81
		}
		for round := range 12 {
			got, _, _ := broadcast(rng, hosts[round%2], lists, 4, dead)
			for h := range got {
				reached[h] = true
			}
		}
		for _, h := range hosts[2:81] {
			is.True(reached[h])
		}
	}
}
