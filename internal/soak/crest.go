package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"lagoonramp.org/lagoonramp/platform/stub"
)

const (
	// crestCallers are more callers than the servers can answer in time, with
	// requests of crestWork.
	crestCallers = 60
	crestWork    = 40 * time.Millisecond
	crestFor     = 2 * time.Second
	// crestPause is how long a caller waits that was not answered.
	crestPause = 50 * time.Millisecond
	// crestBy is within what part of a cycle a crest begins.
	crestBy = 4 * time.Second
)

// crestLoop has a crest in the rough part of each cycle: many callers come at
// once, so that hosts limit and refuse flows while faults go on. It has a
// schedule of its own beside the faults'.
func (w *world) crestLoop() {
	rng := rand.New(rand.NewPCG(w.set.Seed, 2))
	for n := 0; ; n++ {
		at := time.Duration(n)*cycle + time.Duration(rng.Int64N(int64(crestBy)))
		for time.Since(w.began) < at {
			if w.ended.Load() {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
		if time.Since(w.began) < w.set.Duration {
			w.crest(n)
		}
	}
}

// crest lets callers press for a while.
func (w *world) crest(n int) {
	w.note("crest: %d callers for %v", crestCallers, crestFor)
	w.disturb(true, 1)
	defer w.disturb(true, -1)
	end := time.Now().Add(crestFor)
	var group sync.WaitGroup
	for i := range crestCallers {
		group.Go(func() {
			for k := 0; time.Now().Before(end); k++ {
				o := w.requestWith(deskRoute, fmt.Sprintf("b%d-%d-%d", n, i, k), 200, crestWork)
				if o.Result != stub.Answered {
					time.Sleep(crestPause)
				}
			}
		})
	}
	group.Wait()
}
