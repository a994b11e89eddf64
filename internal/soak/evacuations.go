package soak

import (
	"sync"
	"syscall"
	"time"

	"lagoonramp.org/lagoonramp/platform/stub"
)

// minEvacuationCheck is the minimum time for which an evacuation lasts once it is in
// force.
const minEvacuationCheck = 1500 * time.Millisecond

// evacuate evacuates some data centres until the evacuation has been in force for
// minEvacuationCheck and a further duration, runs other faults meanwhile, and ends
// the evacuation.
func (t *testbed) evacuate(count int, d time.Duration, meanwhile ...func()) {
	first := t.randomIntN(len(dataCentres))
	t.mu.Lock()
	for i := range count {
		dataCentre := dataCentres[(first+i)%len(dataCentres)]
		t.Evacuate(dataCentre)
		t.evacuations[dataCentre] = newOrder(maxEvacuationDelay)
	}
	t.mu.Unlock()
	var group sync.WaitGroup
	for _, f := range meanwhile {
		group.Go(f)
	}
	time.Sleep(maxEvacuationDelay + minEvacuationCheck + d)
	group.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	for dataCentre := range t.evacuations {
		delete(t.evacuations, dataCentre)
		t.EndEvacuation(dataCentre)
	}
}

// evacuateWhileHostsRestart stops a host, which reads the evacuation when it starts
// again, and kills another one.
func (t *testbed) evacuateWhileHostsRestart(d time.Duration) {
	t.evacuate(1, d, func() {
		t.restartHost(syscall.SIGTERM, 0)
		t.during(unplanned, func() { t.restartHost(syscall.SIGKILL, d/4) })
	})
}

// evacuateWhileStoreFails makes the store unavailable once an evacuation is in force,
// and kills a host, which has to learn of the evacuation from its peers.
func (t *testbed) evacuateWhileStoreFails(d time.Duration) {
	t.evacuate(1, d, func() {
		time.Sleep(maxEvacuationDelay)
		t.during(outOfTouch, func() {
			var group sync.WaitGroup
			group.Go(func() { t.restartHost(syscall.SIGKILL, 0) })
			t.injectStoreFault(stub.Unavailable, d)
			group.Wait()
		})
	})
}
