package gossip

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoonramp.org/lagoonramp/internal/vtime"
	"lagoonramp.org/lagoonramp/pkg/rendez"
)

// watchSim simulates hosts that report to each other that the store serves them.
// The network can be partitioned, and the store can reject calls of some hosts.
type watchSim struct {
	vtime.Clock
	rng      *rand.Rand
	ids      []uint64
	machines []*WatcherSelector
	watching []bool
	rejected []bool
	dead     []bool
	// partition is the network partition of each host.
	partition []int
}

func newWatchSim(n int, seed uint64) *watchSim {
	w := &watchSim{
		rng: rand.New(rand.NewPCG(seed, 7)), watching: make([]bool, n), rejected: make([]bool, n),
		dead: make([]bool, n), partition: make([]int, n),
	}
	for i := range n {
		w.ids = append(w.ids, rendez.Hash(fmt.Sprint("h", i)))
	}
	for i := range n {
		m := NewWatcherSelector(w.ids[i], WatcherSelectorSettings{})
		m.SetHosts(w.ids)
		w.machines = append(w.machines, m)
		w.After(time.Duration(w.rng.IntN(200))*time.Millisecond, func() { w.Every(100*time.Millisecond, func() bool { w.tick(i); return true }) })
		w.After(time.Duration(w.rng.IntN(400))*time.Millisecond, func() { w.Every(400*time.Millisecond, func() bool { w.announce(i); return true }) })
	}
	return w
}

func (w *watchSim) served(i int) bool { return w.watching[i] && !w.rejected[i] && !w.dead[i] }

func (w *watchSim) tick(i int) {
	w.watching[i] = !w.dead[i] && w.machines[i].ShouldWatch(w.Now(), w.served(i))
}

func (w *watchSim) announce(i int) {
	if !w.served(i) {
		return
	}
	for j, m := range w.machines {
		if j != i && w.partition[i] == w.partition[j] && w.rng.IntN(20) > 0 {
			w.After(time.Millisecond, func() { m.ObserveHost(w.Now(), w.ids[i], true) })
		}
	}
}

// watchers returns the number of hosts in a partition that watch and are served.
func (w *watchSim) watchers(partition int) int {
	n := 0
	for i := range w.machines {
		if w.partition[i] == partition && w.served(i) {
			n++
		}
	}
	return n
}

func TestFewHostsWatchTheStore(t *testing.T) {
	for _, n := range []int{1, 2, 7, 91} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			w := newWatchSim(n, 1)
			w.RunUntil(5 * time.Second)
			is.True(w.watchers(0) >= min(n, 2))
			is.True(w.watchers(0) <= 4)
		})
	}
}

// TestEachPartitionSelectsWatchers repeatedly stops hosts, lets the store reject
// hosts and partitions the network. Each partition with a host that the store
// serves must have a watcher again within 3 s.
func TestEachPartitionSelectsWatchers(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			w := newWatchSim(12, seed)
			now := 5 * time.Second
			w.RunUntil(now)
			for range 20 {
				for i := range w.machines {
					w.dead[i] = w.rng.IntN(4) == 0
					w.rejected[i] = w.rng.IntN(3) == 0
					w.partition[i] = w.rng.IntN(2)
				}
				w.dead[0], w.rejected[0], w.partition[0] = false, false, 0
				w.dead[1], w.rejected[1], w.partition[1] = false, false, 1
				now += 3 * time.Second
				w.RunUntil(now)
				is.True(w.watchers(0) >= 1)
				is.True(w.watchers(1) >= 1)
			}
		})
	}
}
