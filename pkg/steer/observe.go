package steer

import (
	"time"

	"lagoonramp.org/lagoonramp/pkg/fleet"
)

// handleNonSYN decides on a packet after the SYN.
func (t *Table) handleNonSYN(now time.Duration, p *Packet) Verdict {
	f := t.flows[p.Key]
	s := t.serverFor(p, f)
	if s == nil {
		return Verdict{Reason: UnknownMark}
	}
	v := Verdict{Action: Forward, Server: s}
	if f != nil {
		t.observe(now, f, p, &v)
	}
	return v
}

// serverFor returns the server of a packet after the SYN, or nil if there is
// none. A flow that this host saw open, or whose pin it received, stays at its
// server: if a packet carries another mark, the SYN or a retransmission reached
// that server too, perhaps through another host. A reset goes to the server
// whose answer caused it.
func (t *Table) serverFor(p *Packet, f *flow) *fleet.Server {
	m := p.Mark
	if f != nil && f.pinnedMark != 0 && !f.ended && !p.Reset {
		if m != f.pinnedMark {
			t.announcePin(f)
		}
		m = f.pinnedMark
	}
	if m == 0 && f != nil && f.tries > 0 {
		m = f.triedMarks[0]
	}
	s := t.view.ServersByMark[m]
	if s == nil {
		return nil
	}
	route := t.view.Routes[p.Key.Service]
	if route == nil || !route.AllowsService(s.Service) {
		return nil
	}
	return s
}

// observe updates the state of a flow, and of the server in v, from a packet
// after the SYN, and records its observations in v.
func (t *Table) observe(now time.Duration, f *flow, p *Packet, v *Verdict) {
	f.lastPacketAt = now
	v.Tries = f.tries
	if f.pinnedMark == 0 && f.tries > 0 {
		v.HandshakeTime = t.recordOpen(now, f, v.Server)
	}
	if p.Length > 0 && !f.requestPending {
		f.requestPending = true
		f.requestedAt = now
		f.requestAck = p.Ack
		v.RequestStarted = true
		t.setInFlight(f, v.Server.Mark)
		t.startAnswerTimer(now, f)
	}
	if f.requestPending && int32(p.Ack-f.requestAck) > 0 {
		f.requestPending = false
		v.AnswerTime = now - f.requestedAt
		t.recordAnswer(now, f, v)
	}
	if p.FIN || p.Reset {
		f.ended = true
		t.setInFlight(f, 0)
	}
}

// recordOpen records that a flow opened at a server. It returns the duration of
// the handshake if the SYN was sent to this server only, and 0 otherwise.
func (t *Table) recordOpen(now time.Duration, f *flow, s *fleet.Server) time.Duration {
	f.pinnedMark = s.Mark
	if f.tries > 1 && now < t.reroutingEnd {
		// The flow may be rerouted before a packet shows that both servers
		// answered.
		t.announcePin(f)
	}
	t.recordReachable(now, s)
	t.setInFlight(f, s.Mark)
	took := now - f.sentAt
	if f.triedMarks[f.tries-1] == s.Mark {
		t.estimator(s.DataCentre).add(took)
	}
	if f.tries > 1 {
		return 0
	}
	return took
}

// recordAnswer records that the answer to a request of a flow began.
func (t *Table) recordAnswer(now time.Duration, f *flow, v *Verdict) {
	t.setInFlight(f, 0)
	t.recordReachable(now, v.Server)
	typical := t.answerTimes[f.key.Service]
	if typical == nil {
		typical = &typicalAnswerTime{}
		t.answerTimes[f.key.Service] = typical
	}
	ratio := typical.add(v.AnswerTime)
	if h := t.health[v.Server.Mark]; h != nil {
		h.slowness.add(now, ratio)
	}
	if route := t.view.Routes[f.key.Service]; route != nil && route.Objective > 0 {
		l := t.limiter(f.service)
		limited := l.limit > 0
		l.recordAnswer(now, f.sentAt, v.AnswerTime.Seconds()/route.Objective.Seconds())
		if limited != (l.limit > 0) {
			t.limitChanges = append(t.limitChanges, LimitChange{Service: f.service, Limit: l.limit, InFlight: l.inFlight, MedianRatio: l.median})
		}
	}
}

// recordReachable records that a server answered.
func (t *Table) recordReachable(now time.Duration, s *fleet.Server) {
	if h := t.health[s.Mark]; h != nil {
		h.recordAnswer(now)
	}
}
