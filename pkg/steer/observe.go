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
	v := Verdict{Action: Forward, Server: s, ForeignMark: p.Mark != 0 && p.Mark != s.Mark}
	switch {
	case p.Reset:
	case f == nil && !p.FIN:
		f = t.adoptFlow(p, s)
		v.Adopted = f != nil
	case f != nil && f.tries == 0:
		// The SYN is held here, and the flow opened through another host.
		t.unhold(f)
		t.endDeferral(f)
		f.adopt(s)
		v.Adopted = true
	}
	if f == nil {
		return v
	}
	t.observe(now, f, p, &v)
	if p.Length > 0 && !f.ended && t.canReset(now, p.Key, s) {
		t.recordReset(f)
		t.requestProbe(now, s)
		return Verdict{Action: ResetFlow, Server: s, Reason: Unreachable}
	}
	if p.Length > 0 && t.isCentreUnreachable(now, s.DataCentre) {
		t.requestProbe(now, s)
	}
	return v
}

// adoptFlow adds the state of an open flow whose SYN this host has not seen, or
// returns nil if the table is full. The flow is pinned to s, the server that the
// mark of its first packet names: if a second server got the SYN, its late answers
// change the mark.
func (t *Table) adoptFlow(p *Packet, s *fleet.Server) *flow {
	if len(t.flows) >= t.settings.MaxFlows {
		return nil
	}
	f := t.newFlow(p, s.Service, nil)
	f.adopt(s)
	return f
}

// adopt pins the flow to the server that its first packet names.
func (f *flow) adopt(s *fleet.Server) {
	f.triedMarks[0], f.tries = s.Mark, 1
	f.pinnedMark = s.Mark
	f.adopted = true
	f.synsSeen = -1
}

// serverFor returns the server of a packet after the SYN, or nil if there is
// none. A flow that this host saw open or adopted, or whose pin it received, stays
// at its server: if a packet carries another mark, the SYN or a retransmission reached
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
	if f.service == "" {
		f.service = v.Server.Service // The flow is known by its pin only.
	}
	if f.pinnedMark == 0 && f.tries > 0 && !f.adopted {
		v.HandshakeTime = t.recordOpen(now, f, v.Server)
	}
	t.observeProgress(now, f, p, v.Server)
	if p.Length > 0 && !f.requestPending {
		f.requestPending, f.answering = true, false
		f.requestedAt = now
		f.requestAck = p.Ack
		v.RequestStarted = true
		t.setInFlight(f, v.Server.Mark)
		t.startAnswerTimer(now, f)
	}
	if f.requestPending && int32(p.Ack-f.requestAck) > 0 {
		f.requestPending, f.answering = false, true
		v.AnswerTime = now - f.requestedAt
		t.recordAnswer(now, f, v)
		f.answered = true
	}
	if p.FIN || p.Reset {
		f.ended = true
		t.unhold(f)
		t.setInFlight(f, 0)
	}
}

// observeProgress updates the reachability of a server from a packet: an
// acknowledgement of further data shows that the server sent it, and data that
// the caller retransmits was not acknowledged in time.
func (t *Table) observeProgress(now time.Duration, f *flow, p *Packet, s *fleet.Server) {
	if f.packetSeen && int32(p.Ack-f.lastAck) > 0 {
		t.recordReachable(now, s)
	}
	if !f.packetSeen || int32(p.Ack-f.lastAck) > 0 {
		f.lastAck = p.Ack
	}
	f.packetSeen, f.packetMark = true, s.Mark
	if p.Length == 0 {
		return
	}
	if end := p.Sequence + uint32(p.Length); f.dataAt == 0 || int32(end-f.dataEnd) > 0 {
		f.dataEnd, f.dataAt = end, now
		if s.Departed {
			t.requestProbe(now, s)
		}
		return
	}
	if now-f.dataAt >= minSilence {
		t.recordSilence(now, f.dataAt, s)
	}
}

// recordOpen records that a flow opened at a server. It returns the duration of
// the handshake if the SYN was sent to this server only, and 0 otherwise.
func (t *Table) recordOpen(now time.Duration, f *flow, s *fleet.Server) time.Duration {
	f.pinnedMark = s.Mark
	if f.isSplit() && now < t.reroutingEnd {
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
		startedAt := f.sentAt
		if f.answered || f.adopted {
			startedAt = f.requestedAt
		}
		l.recordAnswer(now, startedAt, v.AnswerTime.Seconds()/route.Objective.Seconds())
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
	t.centre(s.DataCentre).recordReachable(now)
}
