package spread

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoonramp.org/lagoonramp/internal/vtime"
	"lagoonramp.org/lagoonramp/pkg/rendez"
)

// watchWorld is a number of hosts that tell each other whether the store serves
// them, over links that may be cut and with a store that turns hosts away.
type watchWorld struct {
	vtime.Clock
	rng      *rand.Rand
	ids      []uint64
	machines []*WatcherSelector
	watching []bool
	away     []bool
	dead     []bool
	// part is the part of the network in which a host is.
	part []int
}

func newWatchWorld(n int, seed uint64) *watchWorld {
	w := &watchWorld{
		rng: rand.New(rand.NewPCG(seed, 7)), watching: make([]bool, n), away: make([]bool, n),
		dead: make([]bool, n), part: make([]int, n),
	}
	for i := range n {
		w.ids = append(w.ids, rendez.Hash(fmt.Sprint("h", i)))
	}
	for i := range n {
		m := NewWatcherSelector(w.ids[i], WatcherSelectorSettings{})
		m.SetHosts(w.ids)
		w.machines = append(w.machines, m)
		w.After(time.Duration(w.rng.IntN(200))*time.Millisecond, func() { w.Every(100*time.Millisecond, func() bool { w.tick(i); return true }) })
		w.After(time.Duration(w.rng.IntN(400))*time.Millisecond, func() { w.Every(400*time.Millisecond, func() bool { w.tell(i); return true }) })
	}
	return w
}

func (w *watchWorld) served(i int) bool { return w.watching[i] && !w.away[i] && !w.dead[i] }

func (w *watchWorld) tick(i int) {
	w.watching[i] = !w.dead[i] && w.machines[i].ShouldWatch(w.Now(), w.served(i))
}

func (w *watchWorld) tell(i int) {
	if !w.served(i) {
		return
	}
	for j, m := range w.machines {
		if j != i && w.part[i] == w.part[j] && w.rng.IntN(20) > 0 {
			w.After(time.Millisecond, func() { m.ObserveHost(w.Now(), w.ids[i], true) })
		}
	}
}

// watchers returns how many hosts of a part watch.
func (w *watchWorld) watchers(part int) int {
	n := 0
	for i := range w.machines {
		if w.part[i] == part && w.served(i) {
			n++
		}
	}
	return n
}

func TestFewHostsWatchTheStore(t *testing.T) {
	for _, n := range []int{1, 2, 7, 91} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			w := newWatchWorld(n, 1)
			w.Until(5 * time.Second)
			is.True(w.watchers(0) >= min(n, 2))
			is.True(w.watchers(0) <= 4)
		})
	}
}

// TestEachPartFindsItsWatchers kills watchers, turns hosts away and cuts the
// network; each part that the store serves has a watcher again within 3 s.
func TestEachPartFindsItsWatchers(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			w := newWatchWorld(12, seed)
			now := 5 * time.Second
			w.Until(now)
			for range 20 {
				for i := range w.machines {
					w.dead[i] = w.rng.IntN(4) == 0
					w.away[i] = w.rng.IntN(3) == 0
					w.part[i] = w.rng.IntN(2)
				}
				w.dead[0], w.away[0], w.part[0] = false, false, 0
				w.dead[1], w.away[1], w.part[1] = false, false, 1
				now += 3 * time.Second
				w.Until(now)
				is.True(w.watchers(0) >= 1)
				is.True(w.watchers(1) >= 1)
			}
		})
	}
}
