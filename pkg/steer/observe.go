package steer

import (
	"time"

	"lagoonramp.org/lagoonramp/pkg/fleet"
)

// later decides for a packet after the SYN.
func (t *Table) later(now time.Duration, p *Packet) Verdict {
	f := t.flows[p.Key]
	s := t.marked(p, f)
	if s == nil {
		return Verdict{Reason: UnknownMark}
	}
	v := Verdict{Action: Forward, Server: s}
	if f != nil {
		t.observe(now, f, p, &v)
	}
	return v
}

// marked returns the server of a packet after the SYN, or nil. A flow stays
// where this host saw it open: a mark of another server shows that a copy of
// the SYN reached that server too, maybe by another host. A reset goes to the
// server whose answer caused it.
func (t *Table) marked(p *Packet, f *flow) *fleet.Server {
	m := p.Mark
	if f != nil && f.pinned != 0 && !f.ended && !p.Reset {
		if m != f.pinned {
			t.tellPin(f)
		}
		m = f.pinned
	}
	if m == 0 && f != nil && f.tries > 0 {
		m = f.tried[0]
	}
	s := t.view.ServersByMark[m]
	if s == nil {
		return nil
	}
	path := t.view.Routes[p.Key.Service]
	if path == nil || !path.AllowsService(s.Service) {
		return nil
	}
	return s
}

// observe learns from a packet of a remembered flow, which goes to the server
// of the verdict, and notes in the verdict what it learned.
func (t *Table) observe(now time.Duration, f *flow, p *Packet, v *Verdict) {
	f.lastAt = now
	v.Tries = f.tries
	if f.pinned == 0 && f.tries > 0 {
		v.Handshake = t.open(now, f, v.Server)
	}
	if p.Length > 0 && !f.asked {
		f.asked = true
		f.askedAt = now
		f.askedAck = p.Ack
		v.Asked = true
		t.setBusy(f, v.Server.Mark)
		t.expect(now, f)
	}
	if f.asked && int32(p.Ack-f.askedAck) > 0 {
		f.asked = false
		v.Answer = now - f.askedAt
		t.answered(now, f, v)
	}
	if p.Fin || p.Reset {
		f.ended = true
		t.setBusy(f, 0)
	}
}

// open notes that a flow opened at a server. It returns how long the handshake
// took, if the server was the only one that got the SYN.
func (t *Table) open(now time.Duration, f *flow, s *fleet.Server) time.Duration {
	f.pinned = s.Mark
	if f.tries > 1 && now < t.unsettledEnd {
		// The flow may move before a mark shows that two servers answered.
		t.tellPin(f)
	}
	t.reached(now, s)
	t.setBusy(f, s.Mark)
	took := now - f.sentAt
	if f.tried[f.tries-1] == s.Mark {
		t.centre(s.DataCentre).add(took)
	}
	if f.tries > 1 {
		return 0
	}
	return took
}

// answered notes that the answer to a flow's request began.
func (t *Table) answered(now time.Duration, f *flow, v *Verdict) {
	t.setBusy(f, 0)
	t.reached(now, v.Server)
	y := t.routes[f.key.Service]
	if y == nil {
		y = &typical{}
		t.routes[f.key.Service] = y
	}
	ratio := y.add(v.Answer)
	if h := t.servers[v.Server.Mark]; h != nil {
		h.speed.add(now, ratio)
	}
	if path := t.view.Routes[f.key.Service]; path != nil && path.Objective > 0 {
		l := t.lane(f.service)
		limited := l.limit > 0
		l.answered(now, f.sentAt, v.Answer.Seconds()/path.Objective.Seconds())
		if limited != (l.limit > 0) {
			t.limits = append(t.limits, LimitChange{Service: f.service, Limit: l.limit, Busy: l.busy, Median: l.median})
		}
	}
}

// reached notes that a server answered.
func (t *Table) reached(now time.Duration, s *fleet.Server) {
	if h := t.servers[s.Mark]; h != nil {
		h.reached(now)
	}
}
