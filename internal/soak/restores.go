package soak

import (
	"slices"
	"sync"
	"syscall"
	"time"

	"lagoonramp.org/lagoonramp/platform/stub"
)

const (
	// restoreOutage is the time for which the store is unavailable while it is
	// restored.
	restoreOutage = 300 * time.Millisecond
	// maxRewriteDelay is the maximum time after which operators and servers write
	// again what a restored store has lost.
	maxRewriteDelay = 1500 * time.Millisecond
	// lostWrites is the number of writes that a restored store has lost, so that the
	// revisions that it assigns again stay below the earlier ones for long.
	lostWrites = 400
	// noteKey is the key of these writes, in which hosts have no interest.
	noteKey = "op/note"
)

// restoreStore copies the store, changes the document, runs other faults, and restores
// the store from the copy after the duration age. Operators and servers then write
// again what was lost, and operators a new document.
func (t *testbed) restoreStore(age time.Duration, meanwhile ...func()) {
	backup := t.Store.Copy()
	t.writeDocument(!t.optionalRouteExists())
	for range lostWrites {
		t.Store.Put(noteKey, nil)
	}
	var group sync.WaitGroup
	for _, f := range meanwhile {
		group.Go(f)
	}
	time.Sleep(age)
	t.during(outOfTouch, func() {
		t.injectStoreFault(stub.Unavailable, restoreOutage)
		t.Store.Restore(backup)
		t.logf("the store was restored")
		time.Sleep(maxRewriteDelay * time.Duration(t.randomIntN(100)) / 100)
		t.rewriteStore()
	})
	t.writeDocument(!t.optionalRouteExists())
	group.Wait()
}

// rewriteStore writes again what operators and servers wrote last.
func (t *testbed) rewriteStore() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.PutDocument(t.documentVersion, t.documentRoutes...)
	for _, dataCentre := range dataCentres {
		if t.evacuations[dataCentre] != nil {
			t.Evacuate(dataCentre)
		} else {
			t.Store.Delete("op/evacuate/" + dataCentre)
		}
	}
	for _, s := range t.servers {
		state := "ready"
		if !s.leavingAt.IsZero() {
			state = "draining"
		}
		t.Publish(s.Server, state)
	}
	for _, key := range slices.Clone(t.departed) {
		t.Store.Delete(key)
	}
}

// restoreWhileHostRestarts kills a host, which starts again while the store is
// restored.
func (t *testbed) restoreWhileHostRestarts(d time.Duration) {
	age := maxConfigDelay + d
	t.restoreStore(age, func() {
		time.Sleep(age - restoreOutage)
		t.during(unplanned, func() { t.restartHost(syscall.SIGKILL, restoreOutage) })
	})
}

// restoreDuringEvacuation restores the store from a copy that is older than an
// evacuation in force.
func (t *testbed) restoreDuringEvacuation(d time.Duration) {
	age := maxEvacuationDelay + d/2
	t.restoreStore(age, func() { t.evacuate(1, d/2+restoreOutage+2*maxRewriteDelay) })
}
