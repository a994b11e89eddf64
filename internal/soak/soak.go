package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"lagoonramp.org/lagoonramp/internal/wire"
	"lagoonramp.org/lagoonramp/platform/stub"
)

const (
	// deadline is how long a caller waits for an answer.
	deadline = 6 * time.Second
	// settle bounds the recovery after the last fault.
	settle = 12 * time.Second
	// probeEvery is how often the idle route and the hosts' versions are
	// looked at.
	probeEvery = 150 * time.Millisecond
	// finalRequests have to be answered, each at the first try, at the end.
	finalRequests = 40
)

// Report is the outcome of a soak.
type Report struct {
	Seed     uint64         `json:"seed"`
	Requests int64          `json:"requests"`
	Results  map[string]int `json:"results"`
	Findings []string       `json:"findings"`
	// Logs is the folder with the hosts' logs and settings.
	LogDir string `json:"logs"`
}

// Run runs a soak.
func Run(set Settings) (*Report, error) {
	w, err := newWorld(set)
	if err != nil {
		return nil, err
	}
	defer w.close()
	if !w.waitReady() {
		return nil, fmt.Errorf("the hosts are not ready; see %s", w.dir)
	}
	var group sync.WaitGroup
	for i := range set.Callers {
		route := deskRoute
		if i%3 == 2 {
			route = pressRoute
		}
		group.Go(func() { w.callLoop(route, i) })
	}
	group.Go(w.probeLoop)
	group.Go(w.versionLoop)
	group.Go(w.crestLoop)
	w.inject()
	w.note("no more faults")
	w.finish()
	w.ended.Store(true)
	group.Wait()
	if misdirected, forged := w.Ledger.RejectedPackets(); forged > 0 {
		w.find("servers got %d packets that their senders did not write so (%d were for others)", forged, misdirected)
	}
	out := &Report{Seed: set.Seed, Requests: w.requests.Load(), Results: map[string]int{}, Findings: w.findings, LogDir: w.dir}
	for r, n := range w.counts {
		out.Results[r.String()] = n
	}
	return out, nil
}

func (w *world) waitReady() bool {
	for end := time.Now().Add(settle); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if w.Router.HostsInRotation() == len(w.hosts) {
			return true
		}
	}
	return false
}

// find records a broken promise.
func (w *world) find(format string, args ...any) {
	text := fmt.Sprintf("%.3f s: %s", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
	w.note("FOUND: %s", text)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.findings = append(w.findings, text)
}

// callLoop sends requests of different lengths to a route.
func (w *world) callLoop(route netip.AddrPort, n int) {
	for i := 0; !w.ended.Load(); i++ {
		size := []int{200, 4000, 80_000, 300_000}[(n+i)%4]
		w.request(route, fmt.Sprintf("c%d-%d", n, i), size)
		time.Sleep(5 * time.Millisecond)
	}
}

// request sends a request and checks what is promised of any outcome.
func (w *world) request(route netip.AddrPort, id string, size int) stub.Outcome {
	return w.requestWith(route, id, size, time.Duration(size%7+2)*time.Millisecond)
}

func (w *world) requestWith(route netip.AddrPort, id string, size int, work time.Duration) stub.Outcome {
	began := time.Now()
	o := w.Caller.Do(route, id, size, work, deadline)
	w.requests.Add(1)
	ran := w.Ledger.RunCount(id)
	w.mu.Lock()
	w.counts[o.Result]++
	lost := w.lostServer.After(began.Add(-time.Second))
	calm := w.calm()
	w.mu.Unlock()
	switch {
	case ran > 1:
		w.find("request %s ran %d times", id, ran)
	case o.Result == stub.WrongAnswer:
		w.find("request %s got a wrong answer", id)
	case o.Result == stub.Answered && o.Service != serviceOf[route]:
		w.find("request %s for %s was answered by %s", id, serviceOf[route], o.Service)
	case ran > 0 && (o.Result == stub.Refused || o.Result == stub.NotOpened || o.Result == stub.Shed):
		w.find("request %s ran, but its caller was told %s", id, o.Result)
	case o.Result == stub.Broken && !lost:
		w.find("flow of request %s was broken, no server was lost: %s", id, o.Detail)
	case calm && !lost && (o.Result == stub.TimedOut || o.Result == stub.NotOpened || (o.Result == stub.Refused && route != idleRoute)):
		w.find("request %s was %s with nothing disturbed", id, o.Result)
	}
	return o
}

// opened checks that a server that leaves gets no new flows. The ledger calls
// it for each SYN that a server takes.
func (w *world) opened(s *stub.Server, at time.Time) {
	w.mu.Lock()
	state := w.servers[s.ID]
	late := state != nil && state.Server == s && !state.leftAt.IsZero() && at.Sub(state.leftAt) > drainBound && w.calm()
	w.mu.Unlock()
	if late {
		w.find("server %s got a new flow %v after the store had that it leaves", s.ID, at.Sub(state.leftAt))
	}
}

// probeLoop checks that the idle route is there or not, as the document says.
func (w *world) probeLoop() {
	for i := 0; !w.ended.Load(); i++ {
		w.mu.Lock()
		idle, changed, calm := w.idle, w.changedAt, w.calm()
		w.mu.Unlock()
		due := calm && time.Since(changed) > configBound
		o := w.request(idleRoute, fmt.Sprintf("p-%d", i), 10)
		w.mu.Lock()
		due = due && w.changedAt.Equal(changed) && w.calm()
		w.mu.Unlock()
		if due && idle && o.Result == stub.Refused {
			w.find("a route that was added is refused %v later", time.Since(changed))
		}
		if due && !idle && o.Result == stub.Answered {
			w.find("a route that was removed is served %v later", time.Since(changed))
		}
		time.Sleep(probeEvery)
	}
}

// versionLoop checks that no host goes back within a boot, and that all have
// the document in force in time.
func (w *world) versionLoop() {
	client := &http.Client{Timeout: time.Second}
	for !w.ended.Load() {
		for _, h := range w.hosts {
			w.checkVersion(client, h)
		}
		time.Sleep(probeEvery)
	}
}

func (w *world) checkVersion(client *http.Client, h *process) {
	h.mu.Lock()
	boot := h.boot
	h.mu.Unlock()
	got, err := clusterOf(client, h)
	if err != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if boot != h.boot {
		return
	}
	if got < h.seen {
		w.find("host %s went back from version %d to %d", h.name, h.seen, got)
	}
	h.seen = got
}

// clusterOf returns the version that a host has in force.
func clusterOf(client *http.Client, h *process) (uint64, error) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+h.admin+"/api/status", nil)
	if err != nil {
		return 0, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	var c wire.ClusterStatus
	if err := json.NewDecoder(resp.Body).Decode(&c); err != nil {
		return 0, err
	}
	for _, v := range c.Hosts {
		if v.Name == h.name && v.Status != nil {
			return v.Status.Revision, nil
		}
	}
	return 0, fmt.Errorf("host %s does not name itself", h.name)
}

// finish checks that everything recovers by itself.
func (w *world) finish() {
	if !w.waitReady() {
		w.find("%d of %d hosts are ready %v after the last fault", w.Router.HostsInRotation(), len(w.hosts), settle)
	}
	time.Sleep(calmFor)
	for i := range finalRequests {
		if o := w.request(deskRoute, fmt.Sprintf("f-%d", i), 1000); o.Result != stub.Answered {
			w.find("request f-%d was %s after the recovery", i, o.Result)
		}
	}
	client := &http.Client{Timeout: time.Second}
	for _, h := range w.hosts {
		if got, err := clusterOf(client, h); err != nil || got != uint64(w.version) {
			w.find("host %s has version %d, not %d, after the recovery: %v", h.name, got, w.version, err)
		}
	}
}
