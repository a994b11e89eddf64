package memb

import (
	"math/bits"
	"slices"
	"strings"
	"time"
)

// probe is a ping of this host that has not been acknowledged yet.
type probe struct {
	target   string
	sequence uint64
	sentAt   time.Duration
	// indirect reports whether other hosts were asked to ping the target.
	indirect bool
}

// relay is a ping that this host sent on behalf of the host origin, whose
// PingRequest had the given sequence number.
type relay struct {
	origin    string
	sequence  uint64
	startedAt time.Duration
}

// startProbe pings the next member in the probe order.
func (m *Machine) startProbe(now time.Duration, out []Envelope) []Envelope {
	target := m.nextTarget()
	if target == nil {
		return out
	}
	m.sequence++
	m.probe = &probe{target: target.Name, sequence: m.sequence, sentAt: now}
	return append(out, m.envelope(target.Address, Message{Kind: Ping, Sequence: m.sequence, Updates: m.takeUpdates()}))
}

// nextTarget returns the next live member in the probe order, which is shuffled
// after each round, or nil if there is none.
func (m *Machine) nextTarget() *record {
	for range 2 {
		for m.probeIndex < len(m.probeOrder) {
			r := m.members[m.probeOrder[m.probeIndex]]
			m.probeIndex++
			if r != nil && (r.Health == Alive || r.Health == Suspect) {
				return r
			}
		}
		m.probeOrder = slices.Clone(m.names)
		m.rng.Shuffle(len(m.probeOrder), func(i, j int) { m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i] })
		m.probeIndex = 0
	}
	return nil
}

// advanceProbe handles the timeouts of the current probe: the first one leads
// to indirect probes, the second one to a suspicion. A new suspect is pinged
// once more, so that it learns of the suspicion and can refute it.
func (m *Machine) advanceProbe(now time.Duration, out []Envelope) []Envelope {
	p := m.probe
	if p == nil {
		return out
	}
	timeout := m.settings.AckTimeout * time.Duration(1+m.healthMultiplier)
	if !p.indirect && now-p.sentAt >= timeout {
		p.indirect = true
		return m.requestIndirectProbes(p, out)
	}
	if !p.indirect || now-p.sentAt < 3*timeout {
		return out
	}
	m.probe = nil
	m.healthMultiplier = min(m.healthMultiplier+1, maxHealthMultiplier)
	r := m.members[p.target]
	if r == nil || r.Health != Alive {
		return out
	}
	m.markSuspect(now, r)
	m.sequence++
	return append(out, m.envelope(r.Address, Message{Kind: Ping, Sequence: m.sequence}))
}

// requestIndirectProbes asks random live members to ping the probe's target.
func (m *Machine) requestIndirectProbes(p *probe, out []Envelope) []Envelope {
	asked := 0
	for _, i := range m.rng.Perm(len(m.names)) {
		r := m.members[m.names[i]]
		if r.Health != Alive || r.Name == p.target {
			continue
		}
		out = append(out, m.envelope(r.Address, Message{Kind: PingRequest, Sequence: p.sequence, Target: p.target}))
		asked++
		if asked == m.settings.IndirectProbes {
			break
		}
	}
	return out
}

// markSuspect marks a member as suspect and disseminates the suspicion.
func (m *Machine) markSuspect(now time.Duration, r *record) {
	r.Health = Suspect
	r.updatedAt = now
	m.enqueueUpdate(r)
}

// suspicionTimeout returns how long a suspect has to refute the suspicion
// before it is declared dead. It grows with the logarithm of the group size and
// with the health multiplier.
func (m *Machine) suspicionTimeout() time.Duration {
	scale := max(1, float64(bits.Len(uint(len(m.names)+1)))/3)
	return time.Duration(float64(m.settings.SuspicionTimeout)*scale) + m.settings.AckTimeout*time.Duration(m.healthMultiplier)
}

// expireSuspects declares suspects dead that did not refute the suspicion in
// time.
func (m *Machine) expireSuspects(now time.Duration) {
	timeout := m.suspicionTimeout()
	for _, n := range m.names {
		r := m.members[n]
		if r.Health == Suspect && now-r.updatedAt >= timeout {
			m.setHealth(now, r, Dead, false)
			m.enqueueUpdate(r)
		}
	}
}

// probeUnreachable pings the dead and seeded members, or the first maxPings by
// name if there are more than twice as many, so that the group merges again
// after a network partition has healed. Each ping carries the member's state, so
// that a live member can refute its death.
func (m *Machine) probeUnreachable(out []Envelope) []Envelope {
	var unreachable []*record
	for _, n := range m.names {
		if r := m.members[n]; r.Health == Dead || r.Health == Seeded {
			unreachable = append(unreachable, r)
		}
	}
	const maxPings = 3
	for _, i := range m.rng.Perm(len(unreachable)) {
		if i >= maxPings && len(unreachable) > 2*maxPings {
			continue
		}
		m.sequence++
		out = append(out, m.envelope(unreachable[i].Address, Message{Kind: Ping, Sequence: m.sequence, Updates: []Member{unreachable[i].Member}}))
	}
	return out
}

// handleAck handles the Ack of the current probe or of a relayed ping, which is
// forwarded to the host that asked for it.
func (m *Machine) handleAck(msg *Message, out []Envelope) []Envelope {
	if r, ok := m.relays[msg.Sequence]; ok {
		delete(m.relays, msg.Sequence)
		if o := m.members[r.origin]; o != nil {
			out = append(out, m.envelope(o.Address, Message{Kind: Ack, Sequence: r.sequence, Target: msg.From.Name, Updates: []Member{msg.From}}))
		}
		return out
	}
	p := m.probe
	if p == nil || p.sequence != msg.Sequence {
		return out
	}
	if msg.From.Name == p.target || strings.EqualFold(msg.Target, p.target) {
		m.probe = nil
		m.healthMultiplier = max(m.healthMultiplier-1, 0)
	}
	return out
}

// relayPing pings a member on behalf of another host. It first drops relays
// that have not been acknowledged for four probe intervals.
func (m *Machine) relayPing(now time.Duration, msg *Message, out []Envelope) []Envelope {
	target := m.members[msg.Target]
	if target == nil {
		return out
	}
	for seq, r := range m.relays {
		if now-r.startedAt > 4*m.settings.ProbeInterval {
			delete(m.relays, seq)
		}
	}
	m.sequence++
	m.relays[m.sequence] = relay{origin: msg.From.Name, sequence: msg.Sequence, startedAt: now}
	return append(out, m.envelope(target.Address, Message{Kind: Ping, Sequence: m.sequence}))
}
