package soak

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lagoonramp.org/lagoonramp/platform/stub"
)

// severity says which guarantees hold during a fault.
type severity int

const (
	// planned is the severity of planned maintenance and of the minor disturbances
	// during which all guarantees must hold as well: a slow server and a malformed
	// registration.
	planned severity = iota
	// unplanned is the severity of faults during which the hosts that run remain in
	// touch with the store.
	unplanned
	// outOfTouch is the severity of faults during which hosts may be out of touch
	// with the store.
	outOfTouch
	// sequence marks a fault of several steps, which records the severity of each
	// step itself. The hosts are in touch with the store when it starts.
	sequence
)

// fault is a kind of failure, of planned maintenance or of another disturbance.
type fault struct {
	name string
	// run applies the fault and returns when it is over.
	run      func(t *testbed, duration time.Duration)
	severity severity
}

const (
	// maxDrainDelay is the time after which a draining server must get no new
	// flows.
	maxDrainDelay = 3 * time.Second
	// maxEvacuationDelay is the time after the request to evacuate a data centre
	// after which its servers must get no new flows.
	maxEvacuationDelay = 5 * time.Second
	// maxConfigDelay is the time after which a new document must be in force on
	// all hosts.
	maxConfigDelay = 3 * time.Second
	// quietPeriod is the time without unplanned faults after which these bounds
	// are checked.
	quietPeriod = 4 * time.Second
	// addressReuseDelay is the delay before a new server uses the address of a
	// crashed one.
	addressReuseDelay = 2 * time.Second
	// Unplanned faults start only in the first faultPhase of each cycle. During
	// the rest, only planned maintenance runs, so that the bounds can be checked.
	cycleDuration = 18 * time.Second
	faultPhase    = 7 * time.Second
	// maxReregisterDelay bounds the time until servers register again after an
	// outage of the store.
	maxReregisterDelay = 1500 * time.Millisecond
)

var faults = []fault{
	{"kill a host", func(t *testbed, d time.Duration) { t.restartHost(syscall.SIGKILL, d/4) }, unplanned},
	{"stop a host", func(t *testbed, d time.Duration) { t.restartHost(syscall.SIGTERM, 0) }, planned},
	{"pause a host", (*testbed).pauseHost, outOfTouch},
	{"reload a host", func(t *testbed, _ time.Duration) { t.randomHost().signal(syscall.SIGHUP) }, planned},
	{"store unavailable", func(t *testbed, d time.Duration) { t.injectStoreFault(stub.Unavailable, d) }, outOfTouch},
	{"store limits call rate", func(t *testbed, d time.Duration) { t.injectStoreFault(stub.RateLimited, d) }, outOfTouch},
	{"store unresponsive", func(t *testbed, d time.Duration) { t.injectStoreFault(stub.Unresponsive, d) }, outOfTouch},
	{"store resets connections", func(t *testbed, d time.Duration) { t.injectStoreFault(stub.ConnectionReset, d) }, outOfTouch},
	{"store loses answers", func(t *testbed, d time.Duration) { t.injectStoreFault(stub.AnswersLost, d) }, outOfTouch},
	{"store sends malformed answers", func(t *testbed, d time.Duration) { t.injectStoreFault(stub.Malformed, d) }, outOfTouch},
	{"registrations expire", (*testbed).expireRegistrations, outOfTouch},
	{"store slow", func(t *testbed, d time.Duration) {
		t.Store.SetDelay(200 * time.Millisecond)
		time.Sleep(d)
		t.Store.SetDelay(0)
	}, outOfTouch},
	{"store discards history", func(t *testbed, _ time.Duration) { t.Store.DiscardHistory() }, outOfTouch},
	{"store connection of a host fails", (*testbed).injectProxyFault, outOfTouch},
	{"store connections of all hosts reset", func(t *testbed, _ time.Duration) {
		for _, h := range t.hosts {
			h.proxy.resetConns()
		}
	}, outOfTouch},
	{"replace a server", (*testbed).replaceServer, planned},
	{"crash a server", (*testbed).crashServer, unplanned},
	{"freeze a server", (*testbed).freezeServer, unplanned},
	{"slow a server", func(t *testbed, d time.Duration) {
		s := t.randomServer()
		s.SetSlowdown(5)
		time.Sleep(d)
		s.SetSlowdown(1)
	}, planned},
	{"change the document", func(t *testbed, _ time.Duration) { t.writeDocument(!t.optionalRouteExists()) }, planned},
	{"entry of another writer", (*testbed).writeOddEntry, planned},
	{"storm of large documents", (*testbed).writeStorm, planned},
	{"stop a starting host", (*testbed).stopStartingHost, planned},
	{coldReleases, (*testbed).releaseServers, planned},
	{"burst of a route", (*testbed).burstOfRoute, unplanned},
	{"burst of a caller", (*testbed).burstOfCaller, unplanned},
	{"evacuate a data centre", func(t *testbed, d time.Duration) { t.evacuate(1, d) }, sequence},
	{"evacuate two data centres", func(t *testbed, d time.Duration) { t.evacuate(2, d) }, sequence},
	{"evacuate all data centres", func(t *testbed, d time.Duration) { t.evacuate(len(dataCentres), d) }, sequence},
	{"evacuate while hosts restart", (*testbed).evacuateWhileHostsRestart, sequence},
	{"evacuate while the store is unavailable", (*testbed).evacuateWhileStoreFails, sequence},
	{"evacuate while servers drain", func(t *testbed, d time.Duration) { t.evacuate(1, d, func() { t.replaceServer(d) }) }, sequence},
	{"restore the store", func(t *testbed, d time.Duration) { t.restoreStore(maxConfigDelay + d) }, sequence},
	{"restore the store while a host restarts", (*testbed).restoreWhileHostRestarts, sequence},
	{"restore the store during a drain", func(t *testbed, d time.Duration) { t.restoreStore(maxDrainDelay+d/4, func() { t.replaceServer(d) }) }, sequence},
	{"restore the store during an evacuation", (*testbed).restoreDuringEvacuation, sequence},
}

// FaultNames returns the names of all faults.
func FaultNames() []string {
	var names []string
	for _, f := range faults {
		names = append(names, f.name)
	}
	return names
}

// injectFaults starts faults on the seeded schedule for the duration of the soak
// and waits until all are over.
func (t *testbed) injectFaults() {
	var running sync.WaitGroup
	var sequenceActive atomic.Bool
	s := newSchedule(t.settings.Seed, t.settings.Faults)
	for time.Since(t.startedAt) < t.settings.Duration {
		f, ok := s.next(time.Since(t.startedAt), sequenceActive.Load())
		if !ok {
			time.Sleep(time.Millisecond)
			continue
		}
		duration := 200*time.Millisecond + time.Duration(s.rng.Int64N(int64(3*time.Second)))
		t.logf("fault: %s for %v", f.name, duration)
		if f.severity == sequence {
			sequenceActive.Store(true)
		}
		running.Go(func() {
			t.during(f.severity, func() { f.run(t, duration) })
			if f.severity == sequence {
				sequenceActive.Store(false)
			}
		})
		time.Sleep(100*time.Millisecond + time.Duration(s.rng.Int64N(int64(1400*time.Millisecond))))
	}
	running.Wait()
}

// during runs a function, which injects a fault of a severity, and records the start
// and the end of the fault.
func (t *testbed) during(s severity, run func()) {
	t.updateActiveFaults(s, 1)
	defer t.updateActiveFaults(s, -1)
	run()
}

// updateActiveFaults records the start (delta 1) or the end (delta -1) of a fault.
// Planned maintenance is not counted.
func (t *testbed) updateActiveFaults(s severity, delta int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s == unplanned || s == outOfTouch {
		t.activeFaults += delta
		t.lastFaultChange = time.Now()
	}
	if s == outOfTouch {
		t.contactFaults += delta
		t.lastContactChange = time.Now()
	}
}

// isInTouch reports whether all running hosts have been in touch with the store for
// the last quietPeriod. The caller holds t.mu.
func (t *testbed) isInTouch() bool {
	return t.contactFaults == 0 && time.Since(t.lastContactChange) > quietPeriod
}

// isQuiet reports whether no unplanned fault was active during the last
// quietPeriod. The caller holds t.mu.
func (t *testbed) isQuiet() bool {
	return t.activeFaults == 0 && time.Since(t.lastFaultChange) > quietPeriod
}

// randomIntN returns a random number in [0, n).
func (t *testbed) randomIntN(n int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rng.IntN(n)
}

// optionalRouteExists reports whether the latest document has the optional route.
func (t *testbed) optionalRouteExists() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hasOptionalRoute
}

// injectStoreFault makes the store fail in one way for a duration.
func (t *testbed) injectStoreFault(f stub.Fault, d time.Duration) {
	t.Store.SetFault(f)
	time.Sleep(d)
	t.Store.SetFault(stub.Healthy)
}

// injectProxyFault disturbs the connections of a random host to the store.
func (t *testbed) injectProxyFault(d time.Duration) {
	h := t.randomHost()
	h.proxy.setMode(proxyMode(1 + t.randomIntN(int(proxyModeCount)-1)))
	time.Sleep(d)
	h.proxy.setMode(proxyForward)
}

// logf writes a line to the log, with the time since the start of the soak.
func (t *testbed) logf(format string, args ...any) {
	fmt.Fprintf(t.settings.Log, "%8.3f %s\n", time.Since(t.startedAt).Seconds(), fmt.Sprintf(format, args...))
}
