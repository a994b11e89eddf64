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
	// requestTimeout bounds the wait of a caller for an answer.
	requestTimeout = 6 * time.Second
	// recoveryTimeout bounds the time until all hosts are ready at the start and
	// after the last fault.
	recoveryTimeout = 12 * time.Second
	// requestsPerFlow is the number of requests on a flow that stays open, with
	// openFlowPause between them.
	requestsPerFlow = 20
	openFlowPause   = 50 * time.Millisecond
	// probeInterval is the interval between checks of the optional route and of
	// the document versions of the hosts.
	probeInterval = 150 * time.Millisecond
	// finalRequestCount is the number of requests sent after the recovery. Each
	// must be answered without a retry.
	finalRequestCount = 40
)

// Report is the result of a soak run.
type Report struct {
	Seed     uint64 `json:"seed"`
	Requests int64  `json:"requests"`
	// Results counts the requests by result.
	Results map[string]int `json:"results"`
	// Findings describes the violations of the checked guarantees.
	Findings []string `json:"findings"`
	// LogDir is the directory with the logs and the settings of the hosts.
	LogDir string `json:"logs"`
}

// Run starts the hosts, injects faults for settings.Duration, waits for the
// recovery and returns the findings. The error is non-nil if the hosts do not
// start or do not become ready.
func Run(settings Settings) (*Report, error) {
	t, err := newTestbed(settings)
	if err != nil {
		return nil, err
	}
	defer t.close()
	if !t.waitReady() {
		return nil, fmt.Errorf("the hosts are not ready; see %s", t.dir)
	}
	time.Sleep(time.Until(t.startedAt.Add(initialWarmup)))
	var group sync.WaitGroup
	for i := range settings.Callers {
		address := entryDeskAddress
		if i%3 == 2 {
			address = cataloguePressAddress
		}
		group.Go(func() { t.callLoop(address, i) })
		group.Go(func() { t.openFlowLoop(address, i) })
	}
	for i := range pausedFlows {
		group.Go(func() { t.pausedFlowLoop(i) })
	}
	group.Go(t.optionalRouteLoop)
	group.Go(t.versionLoop)
	group.Go(t.overloadLoop)
	group.Go(t.orderLoop)
	t.injectFaults()
	t.logf("no more faults")
	t.checkRecovery()
	t.stopped.Store(true)
	group.Wait()
	if misdirected, forged := t.Ledger.RejectedPackets(); forged > 0 {
		t.recordFinding("servers received %d forged packets (and %d misdirected ones)", forged, misdirected)
	}
	report := &Report{Seed: settings.Seed, Requests: t.requestCount.Load(), Results: map[string]int{}, Findings: t.findings, LogDir: t.dir}
	for r, n := range t.resultCounts {
		report.Results[r.String()] = n
	}
	return report, nil
}

// waitReady waits until the routers use all hosts, and reports whether they do
// within recoveryTimeout.
func (t *testbed) waitReady() bool {
	for deadline := time.Now().Add(recoveryTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if t.Router.HostsInRotation() == len(t.hosts) {
			return true
		}
	}
	return false
}

// recordFinding records a violation of a guarantee.
func (t *testbed) recordFinding(format string, args ...any) {
	finding := fmt.Sprintf("%.3f s: %s", time.Since(t.startedAt).Seconds(), fmt.Sprintf(format, args...))
	t.logf("finding: %s", finding)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.findings = append(t.findings, finding)
}

// recordOnce records the first violation with a key, and logs the others.
func (t *testbed) recordOnce(key, format string, args ...any) {
	t.mu.Lock()
	known := t.recorded[key]
	t.recorded[key] = true
	t.mu.Unlock()
	if known {
		t.logf("again: "+format, args...)
		return
	}
	t.recordFinding(format, args...)
}

// callLoop sends requests of different sizes to a service address until the end
// of the soak.
func (t *testbed) callLoop(address netip.AddrPort, caller int) {
	for i := 0; !t.stopped.Load(); i++ {
		size := []int{200, 4000, 80_000, 300_000}[(caller+i)%4]
		t.sendRequest(address, fmt.Sprintf("c%d-%d", caller, i), size)
		time.Sleep(5 * time.Millisecond)
	}
}

// openFlowLoop keeps a flow to a service address open for several requests, again
// and again until the end of the soak.
func (t *testbed) openFlowLoop(address netip.AddrPort, caller int) {
	for i := 0; !t.stopped.Load(); i++ {
		openedAt := time.Now()
		if s, _ := t.Caller.Open(address, requestTimeout); s != nil {
			t.useOpenFlow(s, address, fmt.Sprintf("o%d-%d", caller, i), openedAt)
			s.Close()
		}
		time.Sleep(openFlowPause)
	}
}

// useOpenFlow sends requests on an open flow until one fails or the server closes
// the flow.
func (t *testbed) useOpenFlow(s *stub.Session, address netip.AddrPort, id string, openedAt time.Time) {
	for i := 0; i < requestsPerFlow && s.IsOpen() && !t.stopped.Load(); i++ {
		request := fmt.Sprintf("%s-%d", id, i)
		o := s.Do(request, 1000, 2*time.Millisecond, requestTimeout)
		t.checkOutcome(address, request, openedAt, o)
		if o.Result != stub.Answered {
			return
		}
		time.Sleep(openFlowPause)
	}
}

// sendRequest sends a request whose work depends on its size, and checks the
// guarantees for its outcome.
func (t *testbed) sendRequest(address netip.AddrPort, id string, size int) stub.Outcome {
	return t.sendRequestFrom(t.Caller, address, id, size, time.Duration(size%7+2)*time.Millisecond)
}

// sendRequestFrom sends a request of a caller that a server works on for the given time,
// and checks the guarantees for its outcome. A request may break if a server was
// lost during the request or in the second before it. A request for the optional
// route may be refused, since the document may not have that route.
func (t *testbed) sendRequestFrom(c *stub.Caller, address netip.AddrPort, id string, size int, work time.Duration) stub.Outcome {
	startedAt := time.Now()
	o := c.Do(address, id, size, work, requestTimeout)
	t.checkOutcome(address, id, startedAt, o)
	return o
}

// checkOutcome checks the guarantees for the outcome of a request whose flow was
// opened at openedAt.
func (t *testbed) checkOutcome(address netip.AddrPort, id string, openedAt time.Time, o stub.Outcome) {
	t.requestCount.Add(1)
	runs := t.Ledger.RunCount(id)
	t.mu.Lock()
	t.resultCounts[o.Result]++
	serverLost := t.lastServerLoss.After(openedAt.Add(-time.Second))
	hadNoServer := t.isQuiet() && t.lastUsable[serviceOf[address]].Before(openedAt)
	quiet := t.isQuiet() && !t.lastShortage[serviceOf[address]].After(openedAt.Add(-shortageGrace))
	t.mu.Unlock()
	switch {
	case runs > 1:
		t.recordFinding("request %s ran %d times", id, runs)
	case o.Result == stub.WrongAnswer:
		t.recordFinding("request %s got a wrong answer", id)
	case o.Result == stub.Answered && o.Service != serviceOf[address]:
		t.recordFinding("request %s for %s was answered by %s", id, serviceOf[address], o.Service)
	case runs > 0 && (o.Result == stub.Refused || o.Result == stub.NotOpened || o.Result == stub.Shed || o.Result == stub.Closed):
		t.recordFinding("request %s ran, but its caller got the result %s", id, o.Result)
	case o.Result == stub.Broken && !serverLost:
		t.recordFinding("the flow of request %s broke although no server was lost: %s", id, o.Detail)
	case hadNoServer && (o.Result == stub.NotOpened || o.Result == stub.TimedOut):
		t.recordFinding("request %s was %s rather than refused, although its service had no server", id, o.Result)
	case quiet && !serverLost && (o.Result == stub.TimedOut || o.Result == stub.NotOpened || (o.Result == stub.Refused && address != optionalAddress)):
		t.recordFinding("request %s was %s although no unplanned fault was active", id, o.Result)
	case o.Result == stub.Broken && address == cataloguePressAddress:
		t.recordFinding("the flow of request %s broke although its route is not idempotent: %s", id, o.Detail)
	}
}

// optionalRouteLoop checks that the optional route is served if and only if the
// latest document has it.
func (t *testbed) optionalRouteLoop() {
	for i := 0; !t.stopped.Load(); i++ {
		t.mu.Lock()
		hasRoute, changedAt, quiet := t.hasOptionalRoute, t.optionalRouteChangedAt, t.isQuiet()
		inForce := t.optionalRoute.inForce
		t.mu.Unlock()
		mustBeInForce := quiet && time.Since(changedAt) > maxConfigDelay
		o := t.sendRequest(optionalAddress, fmt.Sprintf("p-%d", i), 10)
		t.mu.Lock()
		unchanged := t.optionalRouteChangedAt.Equal(changedAt)
		mustBeInForce = mustBeInForce && unchanged && t.isQuiet()
		short := t.lastShortage[serviceOf[optionalAddress]].After(time.Now().Add(-shortageGrace))
		t.mu.Unlock()
		if mustBeInForce && hasRoute && !short && o.Result == stub.Refused {
			t.recordFinding("an added route still refuses requests after %v", time.Since(changedAt))
		}
		if (mustBeInForce || inForce && unchanged) && !hasRoute && o.Result == stub.Answered {
			t.recordFinding("a removed route still answers requests after %v", time.Since(changedAt))
		}
		time.Sleep(probeInterval)
	}
}

// versionLoop checks that the document version in force on a host does not
// decrease between two starts of the host.
func (t *testbed) versionLoop() {
	client := &http.Client{Timeout: time.Second}
	for !t.stopped.Load() {
		for _, h := range t.hosts {
			t.checkVersion(client, h)
		}
		time.Sleep(probeInterval)
	}
}

// checkVersion compares the document version in force on a host with the last one
// seen since its start, and with the last one that was in force on all hosts. It
// ignores hosts that do not answer.
func (t *testbed) checkVersion(client *http.Client, h *hostProcess) {
	h.mu.Lock()
	starts := h.starts
	h.mu.Unlock()
	t.mu.Lock()
	inForce := uint64(t.versionInForce)
	t.mu.Unlock()
	version, err := versionInForce(client, h)
	if err != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if starts != h.starts {
		return
	}
	if violation := versionViolation(version, h.lastVersion, inForce); violation != "" {
		t.recordOnce(fmt.Sprintf("%s-%d-%d", h.name, starts, version), "host %s: %s", h.name, violation)
	}
	h.lastVersion = version
}

// versionViolation returns which guarantee a host violates whose document has a
// version, after it had the version last and after the version inForce was in force
// on all hosts. A host that has just started has no document, which is version 0.
func versionViolation(version, last, inForce uint64) string {
	switch {
	case version < last:
		return fmt.Sprintf("the document version decreased from %d to %d", last, version)
	case version != 0 && version < inForce:
		return fmt.Sprintf("the document version is %d, although %d was in force before", version, inForce)
	}
	return ""
}

// versionInForce returns the document version in force on a host.
func versionInForce(client *http.Client, h *hostProcess) (uint64, error) {
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
	return 0, fmt.Errorf("the status of host %s does not include the host itself", h.name)
}

// checkRecovery checks that after the last fault all hosts become ready, requests
// are answered and the latest document is in force on each host.
func (t *testbed) checkRecovery() {
	if !t.waitReady() {
		t.recordFinding("%d of %d hosts are ready %v after the last fault", t.Router.HostsInRotation(), len(t.hosts), recoveryTimeout)
	}
	time.Sleep(quietPeriod)
	for i := range finalRequestCount {
		if o := t.sendRequest(entryDeskAddress, fmt.Sprintf("f-%d", i), 1000); o.Result != stub.Answered {
			t.recordFinding("request f-%d was %s after the recovery", i, o.Result)
		}
	}
	client := &http.Client{Timeout: time.Second}
	for _, h := range t.hosts {
		if version, err := versionInForce(client, h); err != nil || version != uint64(t.documentVersion) {
			t.recordFinding("host %s has version %d, not %d, after the recovery: %v", h.name, version, t.documentVersion, err)
		}
	}
}
