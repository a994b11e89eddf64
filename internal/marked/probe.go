package marked

import (
	"context"
	"net"
	"time"

	"lagoonramp.org/lagoonramp/pkg/steer"
)

const (
	// probeAttempts is the number of connection attempts of a probe, since the
	// packets of one may be lost, and probeTimeout the timeout of each.
	probeAttempts = 2
	probeTimeout  = 60 * time.Millisecond
	// maxProbeDelay is how much longer than its timeouts a probe may take. Beyond
	// that, the host was paused, and the server may have answered in time.
	maxProbeDelay = 60 * time.Millisecond
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

// probe tries to connect to a server. A refused connection counts as a failure:
// the server's process has ended.
func (t *traffic) probe(p steer.Probe) steer.ProbeResult {
	started := t.clock.now()
	for range probeAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		conn, err := new(net.Dialer).DialContext(ctx, "tcp4", p.Server.Address.String())
		cancel()
		if err == nil {
			_ = conn.Close()
			return steer.ProbeAnswered
		}
	}
	if t.clock.now()-started > probeAttempts*probeTimeout+maxProbeDelay {
		return steer.ProbeInconclusive
	}
	return steer.ProbeFailed
}

// reportProbe passes the result of a probe to the traffic loop and wakes it.
func (t *traffic) reportProbe(p steer.Probe, result steer.ProbeResult) {
	t.pendingProbes.Add(-1)
	t.receivedMu.Lock()
	t.probeReports = append(t.probeReports, probeReport{probe: p, result: result})
	t.receivedMu.Unlock()
	if err := t.conn.SetReadDeadline(time.Now()); err != nil && !isClosed(err) {
		t.log.operationFailed("wake the traffic loop", err)
	}
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
