//go:build review

package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"lagoonramp.org/lagoonramp/platform/stub"
)

// This case restores the store from an older copy while a zone is evacuated. The
// operator writes the evacuation again some time later.

const (
	evacuatedZone = "yoichi"
	// evacuationBound is EvacuateMs of the site.
	evacuationBound = 5 * time.Second
	// copyAge is the age of the copy when the store comes back from it.
	copyAge = 8 * time.Second
	// awayTime is the time for which the store is away.
	awayTime = time.Second
	// rewriteDelay is the time after which the operator writes the evacuation again.
	rewriteDelay = 20 * time.Second
	callInterval = 10 * time.Millisecond
)

func init() { cases["restore"] = runRestore }

// arrivals counts the new flows at the servers of the evacuated zone.
type arrivals struct {
	mu    sync.Mutex
	times []time.Time
}

func (a *arrivals) record(s *stub.Server, at time.Time) {
	if s.DataCentre != evacuatedZone {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = append(a.times, at)
}

// count returns the number of flows that arrived between two times.
func (a *arrivals) count(from, to time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, t := range a.times {
		if t.After(from) && t.Before(to) {
			n++
		}
	}
	return n
}

func runRestore(r *record) (bool, error) {
	b, err := newBed(r, 44)
	if err != nil {
		return false, err
	}
	defer b.close()
	zones := []string{"sapporo", evacuatedZone, "hakodate"}
	for n := 1; n <= 9; n++ {
		if _, err := b.addServer(n, "entry-desk", zones[n%len(zones)], 3); err != nil {
			return false, err
		}
	}
	b.PutDocument(1, stub.Route{
		Name: "feed", Address: feedRoute, Service: "entry-desk", Kind: "safe", Priority: 2, Timeout: 3 * time.Second, Objective: 500 * time.Millisecond,
	})
	for n := 1; n <= 7; n++ {
		if _, err := b.addHost(n, "sapporo", b.StoreAddress); err != nil {
			return false, err
		}
	}
	if err := b.awaitReady(); err != nil {
		return false, err
	}
	seen := &arrivals{}
	b.Ledger.OnSYN(seen.record)
	var stop atomic.Bool
	var group sync.WaitGroup
	group.Go(func() {
		for n := 0; !stop.Load(); n++ {
			group.Go(func() { b.Caller.Do(feedRoute, fmt.Sprintf("q%d", n), answerSize, requestWork, callDeadline) })
			time.Sleep(callInterval)
		}
	})
	older := b.Store.Copy()
	copied := time.Now()
	key := "op/evacuate/" + evacuatedZone
	time.Sleep(time.Second)
	b.Store.Put(key, []byte("{}"))
	confirmed := time.Now()
	r.printf("the evacuation of %s is confirmed", evacuatedZone)
	time.Sleep(copyAge - awayTime - time.Since(copied))
	stableFrom := confirmed
	if hasTrouble() {
		b.Store.SetFault(stub.ConnectionReset)
		r.printf("the store is away")
		time.Sleep(awayTime)
		b.Store.Restore(older)
		b.Store.SetFault(stub.Healthy)
		r.printf("the store is back from a copy that is %v old", time.Since(copied).Round(time.Millisecond))
		stableFrom = time.Now().Add(stabilityTime)
	}
	time.Sleep(rewriteDelay)
	b.Store.Put(key, []byte("{}"))
	rewritten := time.Now()
	r.printf("the operator has written the evacuation again")
	time.Sleep(stabilityTime)
	end := time.Now()
	stop.Store(true)
	group.Wait()
	from := confirmed.Add(evacuationBound)
	if from.Before(stableFrom) {
		from = stableFrom
	}
	late, all := seen.count(from, rewritten), seen.count(from, end)
	r.printf("new flows at servers of %s: %d in the second before the confirmation", evacuatedZone, seen.count(confirmed.Add(-time.Second), confirmed))
	r.printf("new flows at servers of %s, later than %v after the confirmation and by hosts in touch: %d before the second write, %d in all",
		evacuatedZone, evacuationBound, late, all)
	return late > 0, nil
}
