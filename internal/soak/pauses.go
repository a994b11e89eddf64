package soak

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"syscall"
	"time"

	"lagoonramp.org/lagoonramp/platform/stub"
)

const (
	// pausedFlows is the number of flows that pause at a time.
	pausedFlows = 12
	// maxPause is the maximum pause of an open flow, close to the idle timeout of
	// the documents, 15 s.
	maxPause = 13 * time.Second
	// lostSYNACKRatio is the ratio of the SYN-ACKs to pausing callers that are lost.
	lostSYNACKRatio = 0.2
	// pausingCaller is the number of the address of the callers that pause, and
	// burstingCaller that of the caller that sends bursts.
	pausingCaller  = 2
	burstingCaller = 3
)

// startCallers starts two callers with addresses of their own. The pausing one loses
// SYN-ACKs, so that servers answer the SYNs of its flows twice.
func (t *testbed) startCallers() error {
	var err error
	if t.pausing, err = t.AddCaller(pausingCaller); err != nil {
		return err
	}
	t.bursting, err = t.AddCaller(burstingCaller)
	return err
}

// losesSYNACK reports whether the next SYN-ACK to a caller is lost.
func (t *testbed) losesSYNACK(caller netip.AddrPort) bool {
	if caller.Addr() != t.CallerAddress(pausingCaller) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.networkRand.Float64() < lostSYNACKRatio
}

// pausedFlowLoop opens a flow, sends a request, pauses and sends another one, again
// and again until the end of the soak.
func (t *testbed) pausedFlowLoop(loop int) {
	rng := rand.New(rand.NewPCG(t.settings.Seed, 100+uint64(loop)))
	for i := 0; !t.stopped.Load(); i++ {
		openedAt := time.Now()
		s, _ := t.pausing.Open(cataloguePressAddress, requestTimeout)
		if s == nil {
			time.Sleep(openFlowPause)
			continue
		}
		t.usePausedFlow(s, fmt.Sprintf("w%d-%d", loop, i), openedAt, time.Duration(rng.Int64N(int64(maxPause))))
		s.Close()
	}
}

// usePausedFlow sends two requests on an open flow with a pause between them, and
// checks that the flow is not reset. A host that is killed or paused may not have
// announced yet where the flow is open.
func (t *testbed) usePausedFlow(s *stub.Session, id string, openedAt time.Time, pause time.Duration) {
	first := s.Do(id+"-0", 500, time.Millisecond, requestTimeout)
	broken := first.Result == stub.Broken
	if first.Result == stub.Answered {
		broken = !s.Wait(pause)
		if !broken && s.IsOpen() {
			broken = s.Do(id+"-1", 500, time.Millisecond, requestTimeout).Result == stub.Broken
		}
	}
	t.requestCount.Add(1)
	t.mu.Lock()
	excused := t.lastServerLoss.After(openedAt.Add(-time.Second)) || t.lastHostLoss.After(openedAt.Add(-time.Second))
	t.mu.Unlock()
	if broken && !excused {
		t.recordFinding("the paused flow %s broke %v after it opened, although no server and no host was lost", id, time.Since(openedAt).Round(time.Millisecond))
	}
}

// stopStartingHost restarts a random host and asks it to stop again while it starts.
func (t *testbed) stopStartingHost(time.Duration) {
	t.restartMu.Lock()
	defer t.restartMu.Unlock()
	h := t.randomHost()
	h.stop(t)
	if err := h.start(t); err != nil {
		t.recordFinding("a host does not start: %v", err)
		return
	}
	time.Sleep(time.Duration(t.randomIntN(int(maxStartTime))))
	h.stop(t)
	if err := h.start(t); err != nil {
		t.recordFinding("a host does not start: %v", err)
	}
	t.waitAllInRotation()
}

const (
	// maxStartTime is the maximum time after the start of a host at which it is
	// asked to stop again.
	maxStartTime = 300 * time.Millisecond
	// maxStopTime is the grace time of a host.
	maxStopTime = 6 * time.Second
)

// stop asks the process of a host to stop, and checks that it ends in time.
func (p *hostProcess) stop(t *testbed) {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGTERM)
	ended := make(chan struct{})
	go func() {
		p.wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(maxStopTime):
		t.recordFinding("host %s has not stopped %v after it was asked to", p.name, maxStopTime)
		p.signal(syscall.SIGKILL)
		<-ended
	}
}
