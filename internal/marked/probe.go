package marked

import (
	"context"
	"net"
	"time"

	"lagoonramp.org/lagoonramp/pkg/fleet"
	"lagoonramp.org/lagoonramp/pkg/steer"
)

const (
	// comparedAttempts is the number of connection attempts of a probe that are
	// compared with the reference, since the packets of one may be lost.
	comparedAttempts = 2
	// maxConcurrentProbes limits the sockets of probes.
	maxConcurrentProbes = 16
)

// probeReport is the result of a probe for the traffic loop.
type probeReport struct {
	probe  steer.Probe
	result steer.ProbeResult
}

// startProbes starts the probes that the table requests.
func (t *traffic) startProbes() {
	for _, p := range t.table.TakeProbes() {
		if t.pendingProbes.Add(1) > maxConcurrentProbes {
			t.reportProbe(p, steer.ProbeInconclusive)
			continue
		}
		t.counters.Probes.Add(1)
		go func() { t.reportProbe(p, t.probe(p)) }()
	}
}

// probe tries to connect to a server. If that fails and there is a reference, it
// tries again and compares each attempt with a connection to the reference at the
// same time. A refused connection counts as a failure: the server's process has
// ended.
func (t *traffic) probe(p steer.Probe) steer.ProbeResult {
	if t.connect(p.Server, p.Timeout) {
		return steer.ProbeAnswered
	}
	if p.Reference == nil {
		return steer.ProbeInconclusive
	}
	for range comparedAttempts {
		reference := make(chan bool, 1)
		go func() { reference <- t.connect(p.Reference, p.ReferenceTimeout) }()
		if t.connect(p.Server, p.Timeout) {
			return steer.ProbeAnswered
		}
		if !<-reference {
			return steer.ProbeInconclusive
		}
	}
	return steer.ProbeFailed
}

// connect reports whether a server accepts a connection within a timeout. If
// this process was paused meanwhile, the timeout counts as exceeded.
func (t *traffic) connect(s *fleet.Server, timeout time.Duration) bool {
	started := t.clock.now()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	conn, err := new(net.Dialer).DialContext(ctx, "tcp4", s.Address.String())
	if err != nil {
		return false
	}
	_ = conn.Close()
	return t.clock.now()-started <= timeout
}

// reportProbe passes the result of a probe to the traffic loop and wakes it.
func (t *traffic) reportProbe(p steer.Probe, result steer.ProbeResult) {
	t.pendingProbes.Add(-1)
	t.receivedMu.Lock()
	t.probeReports = append(t.probeReports, probeReport{probe: p, result: result})
	t.receivedMu.Unlock()
	t.wake()
}

// recordProbes passes the results of probes to the table.
func (t *traffic) recordProbes(now time.Duration) {
	t.receivedMu.Lock()
	reports := t.probeReports
	t.probeReports = nil
	t.receivedMu.Unlock()
	for _, r := range reports {
		t.log.probeEnded(r, t.current)
		t.table.RecordProbe(now, r.probe, r.result)
	}
}

// resetUnreachable resets the open flows whose servers have become unreachable.
func (t *traffic) resetUnreachable(now time.Duration) {
	for {
		r, ok := t.table.NextReset(now)
		if !ok {
			return
		}
		t.resetFlow(now, r)
		t.writer.Flush()
	}
}

// resetFlow resets an open flow.
func (t *traffic) resetFlow(now time.Duration, r steer.Reset) {
	t.counters.Reset.Add(1)
	t.log.flowReset(now, r, t.current)
	t.sendReset(r.Key, r.Sequence)
}
