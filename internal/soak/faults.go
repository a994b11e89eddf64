package soak

import (
	"fmt"
	"slices"
	"syscall"
	"time"

	"lagoonramp.org/lagoonramp/platform/stub"
)

// fault is one kind of trouble or of planned work. It returns when it is over.
type fault struct {
	name string
	run  func(w *world, lasts time.Duration)
	// planned work disturbs no promise.
	planned bool
}

// The bounds that the soak checks, and what it leaves between planned steps.
const (
	drainBound  = 3 * time.Second
	configBound = 3 * time.Second
	// calmFor is how long nothing may have been disturbed for the bounds to
	// hold.
	calmFor    = 4 * time.Second
	reuseDelay = 2 * time.Second
	// In the first part of each cycle faults come; then only planned work goes
	// on, so that the bounds hold and are checked.
	cycle     = 18 * time.Second
	roughPart = 7 * time.Second
	// lapseBack is within what time servers are back after the store is.
	lapseBack = 1500 * time.Millisecond
)

var faults = []fault{
	{"kill a host", func(w *world, d time.Duration) { w.restart(syscall.SIGKILL, d/4) }, false},
	{"stop a host", func(w *world, d time.Duration) { w.restart(syscall.SIGTERM, 0) }, true},
	{"pause a host", (*world).pauseHost, false},
	{"reload a host", func(w *world, _ time.Duration) { w.someHost().signal(syscall.SIGHUP) }, true},
	{"store busy", func(w *world, d time.Duration) { w.failStore(stub.Unavailable, d) }, false},
	{"store limits calls", func(w *world, d time.Duration) { w.failStore(stub.RateLimited, d) }, false},
	{"store silent", func(w *world, d time.Duration) { w.failStore(stub.Unresponsive, d) }, false},
	{"store resets", func(w *world, d time.Duration) { w.failStore(stub.ConnectionReset, d) }, false},
	{"store loses answers", func(w *world, d time.Duration) { w.failStore(stub.AnswersLost, d) }, false},
	{"store answers nonsense", func(w *world, d time.Duration) { w.failStore(stub.Malformed, d) }, false},
	{"entries lapse", (*world).lapse, false},
	{"store slow", func(w *world, d time.Duration) {
		w.Store.SetDelay(200 * time.Millisecond)
		time.Sleep(d)
		w.Store.SetDelay(0)
	}, false},
	{"history lost", func(w *world, _ time.Duration) { w.Store.DiscardHistory() }, false},
	{"a host's way to the store", (*world).harmProxy, false},
	{"connections reset", func(w *world, _ time.Duration) {
		for _, h := range w.hosts {
			h.proxy.reset()
		}
	}, false},
	{"release a server", (*world).release, true},
	{"crash a server", (*world).crashServer, false},
	{"freeze a server", (*world).freezeServer, false},
	{"slow a server", func(w *world, d time.Duration) {
		s := w.someServer()
		s.SetSlowdown(5)
		time.Sleep(d)
		s.SetSlowdown(1)
	}, true},
	{"change the document", func(w *world, _ time.Duration) { w.configure(!w.hasIdle()) }, true},
	{"foreign entry", func(w *world, _ time.Duration) { w.Store.Put("servers/i-0bad", []byte(`{"Service":1`)) }, true},
}

// inject runs faults by the schedule until the end.
func (w *world) inject() {
	done := make(chan struct{}, 64)
	running := 0
	for time.Since(w.began) < w.set.Duration {
		f := faults[w.rng.IntN(len(faults))]
		if !f.planned && time.Since(w.began)%cycle > roughPart {
			continue
		}
		lasts := 200*time.Millisecond + time.Duration(w.rng.Int64N(int64(3*time.Second)))
		running++
		w.note("fault: %s for %v", f.name, lasts)
		go func() {
			w.disturb(!f.planned, 1)
			f.run(w, lasts)
			w.disturb(!f.planned, -1)
			done <- struct{}{}
		}()
		time.Sleep(100*time.Millisecond + time.Duration(w.rng.Int64N(int64(1400*time.Millisecond))))
	}
	for range running {
		<-done
	}
}

// disturb notes the begin or end of a disturbance.
func (w *world) disturb(counts bool, n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if counts {
		w.disturbances += n
		w.troubled = time.Now()
	}
}

// calm reports whether nothing was disturbed for a while. The lock is held.
func (w *world) calm() bool { return w.disturbances == 0 && time.Since(w.troubled) > calmFor }

func (w *world) pick(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.IntN(n)
}

func (w *world) someHost() *process { return w.hosts[w.pick(len(w.hosts))] }

// someServer returns a server that is not leaving.
func (w *world) someServer() *serverState {
	w.mu.Lock()
	defer w.mu.Unlock()
	var ids []string
	for id, s := range w.servers {
		if s.leftAt.IsZero() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return w.servers[ids[w.rng.IntN(len(ids))]]
}

func (w *world) hasIdle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.idle
}

// restart ends a host by a signal and starts it again after a pause. Hosts are
// restarted one at a time.
func (w *world) restart(s syscall.Signal, pause time.Duration) {
	w.restarts.Lock()
	defer w.restarts.Unlock()
	h := w.someHost()
	h.signal(syscall.SIGCONT)
	h.signal(s)
	h.wait()
	time.Sleep(pause)
	if err := h.start(w); err != nil {
		w.find("a host does not start: %v", err)
	}
	for end := time.Now().Add(10 * time.Second); w.Router.HostsInRotation() < len(w.hosts); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			return // The store may be away; the end of the soak checks again.
		}
	}
}

func (w *world) pauseHost(d time.Duration) {
	w.restarts.Lock()
	defer w.restarts.Unlock()
	h := w.someHost()
	h.signal(syscall.SIGSTOP)
	time.Sleep(d)
	h.signal(syscall.SIGCONT)
}

func (w *world) failStore(f stub.Fault, d time.Duration) {
	w.Store.SetFault(f)
	time.Sleep(d)
	w.Store.SetFault(stub.Healthy)
}

// lapse lets the servers' entries lapse while the store is away.
func (w *world) lapse(d time.Duration) {
	w.Store.SetFault(stub.Unavailable)
	time.Sleep(d)
	w.mu.Lock()
	var back []*serverState
	for _, s := range w.servers {
		if s.leftAt.IsZero() {
			w.Store.Delete(s.Key())
			back = append(back, s)
		}
	}
	w.mu.Unlock()
	w.Store.SetFault(stub.Healthy)
	time.Sleep(lapseBack * time.Duration(w.pick(100)) / 100)
	for _, s := range back {
		w.mu.Lock()
		if w.servers[s.ID] == s && s.leftAt.IsZero() {
			w.Store.Put(s.Key(), s.Entry("ready"))
		}
		w.mu.Unlock()
	}
}

func (w *world) harmProxy(d time.Duration) {
	h := w.someHost()
	h.proxy.set(proxyMode(1 + w.pick(int(proxyModes)-1)))
	time.Sleep(d)
	h.proxy.set(pass)
}

// release replaces a server by a new one, and ends it when it has drained.
func (w *world) release(time.Duration) {
	old := w.someServer()
	if err := w.addServer(old.Service, ""); err != nil {
		w.find("a server does not start: %v", err)
		return
	}
	old.Drain() // Not under the lock: servers take it while they hold theirs.
	w.mu.Lock()
	w.Store.Put(old.Key(), old.Entry("draining"))
	old.leftAt = time.Now()
	w.mu.Unlock()
	time.Sleep(drainBound + calmFor)
	w.end(old)
	w.Store.Delete(old.Key())
}

// end ends a server for good and notes its address.
func (w *world) end(s *serverState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s.Crash()
	delete(w.servers, s.ID)
	w.lostServer = time.Now()
	w.free = append(w.free, freeAddress{s.address, s.Service, time.Now()})
}

// crashServer ends a server without notice. A server of the other service takes
// its address, one of its own service a new one.
func (w *world) crashServer(time.Duration) {
	s := w.someServer()
	w.mu.Lock()
	s.leftAt = time.Now().Add(time.Hour) // It is not chosen again.
	w.mu.Unlock()
	w.end(s)
	if err := w.addServer(s.Service, ""); err != nil {
		w.find("a server does not start: %v", err)
	}
	time.Sleep(reuseDelay)
	other := "catalogue-press"
	if s.Service == other {
		other = "entry-desk"
	}
	if err := w.addServer(other, s.address); err != nil {
		w.note("the address %s is not free: %v", s.address, err)
	}
	time.Sleep(time.Second)
	w.Store.Delete(s.Key())
}

func (w *world) freezeServer(d time.Duration) {
	s := w.someServer()
	s.SetMuted(true)
	w.mu.Lock()
	w.lostServer = time.Now().Add(d)
	w.mu.Unlock()
	time.Sleep(d)
	s.SetMuted(false)
}

func (w *world) note(format string, args ...any) {
	fmt.Fprintf(w.set.Log, "%8.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}
