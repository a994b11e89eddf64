package memb

import (
	"math/bits"
	"slices"
	"strings"
	"time"
)

// probe is a ping under way.
type probe struct {
	target   string
	sequence uint64
	sentAt   time.Duration
	indirect bool
}

// relay is a ping made for another host.
type relay struct {
	origin   string
	sequence uint64
	at       time.Duration
}

func (m *Machine) startProbe(now time.Duration, out []Envelope) []Envelope {
	target := m.nextTarget()
	if target == nil {
		return out
	}
	m.sequence++
	m.probe = &probe{target: target.Name, sequence: m.sequence, sentAt: now}
	return append(out, m.message(target.Address, Message{Kind: Ping, Sequence: m.sequence, Updates: m.takeNews()}))
}

// nextTarget returns the next member in the probing order, which is shuffled
// after each round.
func (m *Machine) nextTarget() *record {
	for range 2 {
		for m.ringAt < len(m.ring) {
			r := m.members[m.ring[m.ringAt]]
			m.ringAt++
			if r != nil && (r.Health == Alive || r.Health == Suspect) {
				return r
			}
		}
		m.ring = slices.Clone(m.names)
		m.rng.Shuffle(len(m.ring), func(i, j int) { m.ring[i], m.ring[j] = m.ring[j], m.ring[i] })
		m.ringAt = 0
	}
	return nil
}

// checkProbe goes on with the ping under way.
func (m *Machine) checkProbe(now time.Duration, out []Envelope) []Envelope {
	p := m.probe
	if p == nil {
		return out
	}
	patience := m.set.AckTimeout * time.Duration(1+m.slowness)
	if !p.indirect && now-p.sentAt >= patience {
		p.indirect = true
		return m.askOthers(p, out)
	}
	if !p.indirect || now-p.sentAt < 3*patience {
		return out
	}
	m.probe = nil
	m.slowness = min(m.slowness+1, maxSlowness)
	r := m.members[p.target]
	if r == nil || r.Health != Alive {
		return out
	}
	m.suspect(now, r)
	m.sequence++
	return append(out, m.message(r.Address, Message{Kind: Ping, Sequence: m.sequence}))
}

func (m *Machine) askOthers(p *probe, out []Envelope) []Envelope {
	asked := 0
	for _, i := range m.rng.Perm(len(m.names)) {
		r := m.members[m.names[i]]
		if r.Health != Alive || r.Name == p.target {
			continue
		}
		out = append(out, m.message(r.Address, Message{Kind: PingRequest, Sequence: p.sequence, Target: p.target}))
		asked++
		if asked == m.set.IndirectProbes {
			break
		}
	}
	return out
}

func (m *Machine) suspect(now time.Duration, r *record) {
	r.Health = Suspect
	r.changed = now
	m.spread(r)
}

// suspicion returns how long a suspect may refute.
func (m *Machine) suspicion() time.Duration {
	grow := max(1, float64(bits.Len(uint(len(m.names)+1)))/3)
	return time.Duration(float64(m.set.SuspicionTimeout)*grow) + m.set.AckTimeout*time.Duration(m.slowness)
}

func (m *Machine) checkSuspects(now time.Duration) {
	limit := m.suspicion()
	for _, n := range m.names {
		r := m.members[n]
		if r.Health == Suspect && now-r.changed >= limit {
			m.become(now, r, Dead, false)
			m.spread(r)
		}
	}
}

// revisit pings a member that is dead or has not answered yet, so that the
// parts of a healed network find each other.
func (m *Machine) revisit(out []Envelope) []Envelope {
	var lost []*record
	for _, n := range m.names {
		if r := m.members[n]; r.Health == Dead || r.Health == Seeded {
			lost = append(lost, r)
		}
	}
	const most = 3
	for _, i := range m.rng.Perm(len(lost)) {
		if i >= most && len(lost) > 2*most {
			continue
		}
		m.sequence++
		out = append(out, m.message(lost[i].Address, Message{Kind: Ping, Sequence: m.sequence, Updates: []Member{lost[i].Member}}))
	}
	return out
}

// acked handles an Ack: of the ping under way, or of one made for another.
func (m *Machine) acked(msg *Message, out []Envelope) []Envelope {
	if r, ok := m.relays[msg.Sequence]; ok {
		delete(m.relays, msg.Sequence)
		if o := m.members[r.origin]; o != nil {
			out = append(out, m.message(o.Address, Message{Kind: Ack, Sequence: r.sequence, Target: msg.From.Name, Updates: []Member{msg.From}}))
		}
		return out
	}
	p := m.probe
	if p == nil || p.sequence != msg.Sequence {
		return out
	}
	if msg.From.Name == p.target || strings.EqualFold(msg.Target, p.target) {
		m.probe = nil
		m.slowness = max(m.slowness-1, 0)
	}
	return out
}

// pingFor pings a member for another host.
func (m *Machine) pingFor(now time.Duration, msg *Message, out []Envelope) []Envelope {
	t := m.members[msg.Target]
	if t == nil {
		return out
	}
	for seq, r := range m.relays {
		if now-r.at > 4*m.set.ProbeInterval {
			delete(m.relays, seq)
		}
	}
	m.sequence++
	m.relays[m.sequence] = relay{origin: msg.From.Name, sequence: msg.Sequence, at: now}
	return append(out, m.message(t.Address, Message{Kind: Ping, Sequence: m.sequence}))
}
