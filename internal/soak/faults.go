package soak

import (
	"fmt"
	"slices"
	"syscall"
	"time"

	"lagoonramp.org/lagoonramp/platform/stub"
)

// fault is a kind of failure, of planned maintenance or of another disturbance.
type fault struct {
	name string
	// run applies the fault and returns when it is over.
	run func(t *testbed, duration time.Duration)
	// planned is true for planned maintenance and for the minor disturbances
	// during which all guarantees must hold as well: a slow server and a malformed
	// registration.
	planned bool
}

const (
	// maxDrainDelay is the time after which a draining server must get no new
	// flows.
	maxDrainDelay = 3 * time.Second
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
	{"kill a host", func(t *testbed, d time.Duration) { t.restartHost(syscall.SIGKILL, d/4) }, false},
	{"stop a host", func(t *testbed, d time.Duration) { t.restartHost(syscall.SIGTERM, 0) }, true},
	{"pause a host", (*testbed).pauseHost, false},
	{"reload a host", func(t *testbed, _ time.Duration) { t.randomHost().signal(syscall.SIGHUP) }, true},
	{"store unavailable", func(t *testbed, d time.Duration) { t.injectStoreFault(stub.Unavailable, d) }, false},
	{"store limits call rate", func(t *testbed, d time.Duration) { t.injectStoreFault(stub.RateLimited, d) }, false},
	{"store unresponsive", func(t *testbed, d time.Duration) { t.injectStoreFault(stub.Unresponsive, d) }, false},
	{"store resets connections", func(t *testbed, d time.Duration) { t.injectStoreFault(stub.ConnectionReset, d) }, false},
	{"store loses answers", func(t *testbed, d time.Duration) { t.injectStoreFault(stub.AnswersLost, d) }, false},
	{"store sends malformed answers", func(t *testbed, d time.Duration) { t.injectStoreFault(stub.Malformed, d) }, false},
	{"registrations expire", (*testbed).expireRegistrations, false},
	{"store slow", func(t *testbed, d time.Duration) {
		t.Store.SetDelay(200 * time.Millisecond)
		time.Sleep(d)
		t.Store.SetDelay(0)
	}, false},
	{"store discards history", func(t *testbed, _ time.Duration) { t.Store.DiscardHistory() }, false},
	{"store connection of a host fails", (*testbed).injectProxyFault, false},
	{"store connections of all hosts reset", func(t *testbed, _ time.Duration) {
		for _, h := range t.hosts {
			h.proxy.resetConns()
		}
	}, false},
	{"replace a server", (*testbed).replaceServer, true},
	{"crash a server", (*testbed).crashServer, false},
	{"freeze a server", (*testbed).freezeServer, false},
	{"slow a server", func(t *testbed, d time.Duration) {
		s := t.randomServer()
		s.SetSlowdown(5)
		time.Sleep(d)
		s.SetSlowdown(1)
	}, true},
	{"change the document", func(t *testbed, _ time.Duration) { t.writeDocument(!t.optionalRouteExists()) }, true},
	{"entry of another writer", (*testbed).writeOddEntry, true},
	{"storm of large documents", (*testbed).writeStorm, true},
	{"stop a starting host", (*testbed).stopStartingHost, true},
}

// injectFaults starts faults on the seeded schedule for the duration of the soak
// and waits until all are over.
func (t *testbed) injectFaults() {
	done := make(chan struct{}, 64)
	running := 0
	for time.Since(t.startedAt) < t.settings.Duration {
		f := faults[t.rng.IntN(len(faults))]
		if !f.planned && time.Since(t.startedAt)%cycleDuration > faultPhase {
			continue
		}
		duration := 200*time.Millisecond + time.Duration(t.rng.Int64N(int64(3*time.Second)))
		running++
		t.logf("fault: %s for %v", f.name, duration)
		go func() {
			t.updateActiveFaults(!f.planned, 1)
			f.run(t, duration)
			t.updateActiveFaults(!f.planned, -1)
			done <- struct{}{}
		}()
		time.Sleep(100*time.Millisecond + time.Duration(t.rng.Int64N(int64(1400*time.Millisecond))))
	}
	for range running {
		<-done
	}
}

// updateActiveFaults records the start (delta 1) or the end (delta -1) of a fault.
// Planned maintenance is not counted.
func (t *testbed) updateActiveFaults(unplanned bool, delta int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if unplanned {
		t.activeFaults += delta
		t.lastFaultChange = time.Now()
	}
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

func (t *testbed) randomHost() *hostProcess { return t.hosts[t.randomIntN(len(t.hosts))] }

// randomServer returns a random server that is not leaving.
func (t *testbed) randomServer() *testServer {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []string
	for id, s := range t.servers {
		if s.leavingAt.IsZero() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return t.servers[ids[t.rng.IntN(len(ids))]]
}

// optionalRouteExists reports whether the latest document has the optional route.
func (t *testbed) optionalRouteExists() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hasOptionalRoute
}

// restartHost terminates a random host with a signal, starts it again after
// downtime and waits until the routers use it. Only one host at a time restarts.
func (t *testbed) restartHost(sig syscall.Signal, downtime time.Duration) {
	t.restartMu.Lock()
	defer t.restartMu.Unlock()
	h := t.randomHost()
	if sig == syscall.SIGTERM {
		h.stop(t)
	} else {
		t.recordHostLoss()
		h.signal(syscall.SIGCONT)
		h.signal(sig)
		h.wait()
	}
	time.Sleep(downtime)
	if err := h.start(t); err != nil {
		t.recordFinding("a host does not start: %v", err)
	}
	t.waitAllInRotation()
}

// recordHostLoss records that a host is killed or paused.
func (t *testbed) recordHostLoss() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastHostLoss = time.Now()
}

// waitAllInRotation waits until the routers use all hosts.
func (t *testbed) waitAllInRotation() {
	for deadline := time.Now().Add(10 * time.Second); t.Router.HostsInRotation() < len(t.hosts); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			return // The store may be unavailable; checkRecovery checks again.
		}
	}
}

// pauseHost suspends the process of a random host for a duration.
func (t *testbed) pauseHost(d time.Duration) {
	t.restartMu.Lock()
	defer t.restartMu.Unlock()
	h := t.randomHost()
	h.signal(syscall.SIGSTOP)
	time.Sleep(d)
	t.recordHostLoss()
	h.signal(syscall.SIGCONT)
}

// injectStoreFault makes the store fail in one way for a duration.
func (t *testbed) injectStoreFault(f stub.Fault, d time.Duration) {
	t.Store.SetFault(f)
	time.Sleep(d)
	t.Store.SetFault(stub.Healthy)
}

// expireRegistrations simulates an outage of the store during which the
// registrations of all servers expire. The servers register again afterwards.
func (t *testbed) expireRegistrations(d time.Duration) {
	t.Store.SetFault(stub.Unavailable)
	time.Sleep(d)
	t.mu.Lock()
	var expired []*testServer
	for _, s := range t.servers {
		if s.leavingAt.IsZero() {
			t.Store.Delete(s.Key())
			expired = append(expired, s)
		}
	}
	t.mu.Unlock()
	t.Store.SetFault(stub.Healthy)
	time.Sleep(maxReregisterDelay * time.Duration(t.randomIntN(100)) / 100)
	for _, s := range expired {
		t.mu.Lock()
		if t.servers[s.ID] == s && s.leavingAt.IsZero() {
			t.Store.Put(s.Key(), s.Entry("ready"))
		}
		t.mu.Unlock()
	}
}

// injectProxyFault disturbs the connections of a random host to the store.
func (t *testbed) injectProxyFault(d time.Duration) {
	h := t.randomHost()
	h.proxy.setMode(proxyMode(1 + t.randomIntN(int(proxyModeCount)-1)))
	time.Sleep(d)
	h.proxy.setMode(proxyForward)
}

// replaceServer starts a new server, drains an old one of the same service, and
// removes it once it has drained.
func (t *testbed) replaceServer(time.Duration) {
	old := t.randomServer()
	if err := t.addServer(old.Service, ""); err != nil {
		t.recordFinding("a server does not start: %v", err)
		return
	}
	old.Drain() // Without t.mu, since checkNewFlow locks t.mu while the server is locked.
	t.mu.Lock()
	t.Store.Put(old.Key(), old.Entry("draining"))
	old.leavingAt = time.Now()
	t.mu.Unlock()
	time.Sleep(maxDrainDelay + quietPeriod)
	t.removeServer(old)
	t.Store.Delete(old.Key())
}

// removeServer stops a server permanently and records its address as free.
func (t *testbed) removeServer(s *testServer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.Crash()
	delete(t.servers, s.ID)
	t.lastServerLoss = time.Now()
	t.freedAddresses = append(t.freedAddresses, freedAddress{s.address, s.Service, time.Now()})
}

// crashServer stops a server without draining it. A server of the same service
// replaces it at a new address, and a server of the other service reuses its
// address while its registration still exists.
func (t *testbed) crashServer(time.Duration) {
	s := t.randomServer()
	t.mu.Lock()
	s.leavingAt = time.Now().Add(time.Hour) // Excludes the server from randomServer.
	t.mu.Unlock()
	t.removeServer(s)
	if err := t.addServer(s.Service, ""); err != nil {
		t.recordFinding("a server does not start: %v", err)
	}
	time.Sleep(addressReuseDelay)
	otherService := "catalogue-press"
	if s.Service == otherService {
		otherService = "entry-desk"
	}
	if err := t.addServer(otherService, s.address); err != nil {
		t.logf("the address %s cannot be reused: %v", s.address, err)
	}
	time.Sleep(time.Second)
	t.Store.Delete(s.Key())
}

// freezeServer makes a server unresponsive for a duration.
func (t *testbed) freezeServer(d time.Duration) {
	s := t.randomServer()
	s.SetMuted(true)
	t.mu.Lock()
	t.lastServerLoss = time.Now().Add(d)
	t.mu.Unlock()
	time.Sleep(d)
	s.SetMuted(false)
}

// logf writes a line to the log, with the time since the start of the soak.
func (t *testbed) logf(format string, args ...any) {
	fmt.Fprintf(t.settings.Log, "%8.3f %s\n", time.Since(t.startedAt).Seconds(), fmt.Sprintf(format, args...))
}
