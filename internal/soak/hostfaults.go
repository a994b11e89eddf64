package soak

import (
	"syscall"
	"time"
)

// randomHost returns a random host.
func (t *testbed) randomHost() *hostProcess { return t.hosts[t.randomIntN(len(t.hosts))] }

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
