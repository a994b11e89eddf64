package gossip

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// broadcast simulates a broadcast from the origin, in which each host knows the
// hosts of its own list. It returns how often each host received the message,
// the maximum number of steps and the maximum number of messages that one host
// sent.
func broadcast(rng *rand.Rand, origin uint64, lists map[uint64][]uint64, degree int, dead map[uint64]bool) (received map[uint64]int, depth, maxFanout int) {
	type delivery struct {
		host  uint64
		ids   Range
		depth int
	}
	received = map[uint64]int{}
	pick := func(candidates []uint64) uint64 { return candidates[rng.IntN(len(candidates))] }
	for queue := []delivery{{host: origin, ids: FullRange}}; len(queue) > 0; queue = queue[1:] {
		s := queue[0]
		if dead[s.host] {
			continue
		}
		next := s.ids.Split(s.host, lists[s.host], degree, pick)
		maxFanout = max(maxFanout, len(next))
		for _, d := range next {
			received[d.Host]++
			depth = max(depth, s.depth+1)
			queue = append(queue, delivery{host: d.Host, ids: d.Range, depth: s.depth + 1})
		}
	}
	return received, depth, maxFanout
}

func randomHosts(rng *rand.Rand, n int) []uint64 {
	out := make([]uint64, n)
	for i := range out {
		out[i] = rng.Uint64()
	}
	return out
}

func TestBroadcastReachesEachHostOnce(t *testing.T) {
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
			received, depth, maxFanout := broadcast(rng, hosts[0], lists, tt.degree, nil)
			is.Equal(len(received), tt.hosts-1)
			for _, n := range received {
				is.Equal(n, 1)
			}
			is.True(depth <= tt.depth)
			is.True(maxFanout <= tt.degree)
		})
	}
}

// TestBroadcastWithDifferentLists removes a random tenth of the hosts from each
// host's list. No host may receive the message twice, and fewer than 12% may
// miss it.
func TestBroadcastWithDifferentLists(t *testing.T) {
	is := is.New(t)
	missed, expected := 0, 0
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
		received, _, _ := broadcast(rng, hosts[0], lists, 4, nil)
		for _, n := range received {
			is.Equal(n, 1)
		}
		expected += len(hosts) - 1
		missed += len(hosts) - 1 - len(received)
	}
	is.True(float64(missed) < 0.12*float64(expected))
}

// TestRepeatedBroadcastsReachAllLiveHosts stops a tenth of the hosts, which the
// others still list, so that messages to dead delegates are lost. Six broadcasts
// from each of two origins must reach every live host; after that time a host
// would read the store itself.
func TestRepeatedBroadcastsReachAllLiveHosts(t *testing.T) {
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
			received, _, _ := broadcast(rng, hosts[round%2], lists, 4, dead)
			for h := range received {
				reached[h] = true
			}
		}
		for _, h := range hosts[2:81] {
			is.True(reached[h])
		}
	}
}
