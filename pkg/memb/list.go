package memb

import (
	"math/bits"
	"slices"
	"time"

	"lagoonramp.org/lagoonramp/pkg/rendez"
)

// Seed adds hosts from the platform's list of hosts or from the settings. They
// do not count as live members until a message from them or an update about
// them arrives.
func (m *Machine) Seed(now time.Duration, hosts []Member) {
	for _, h := range hosts {
		if h.Name == m.self.Name || m.members[h.Name] != nil {
			continue
		}
		h.Health = Seeded
		h.Incarnation = 0
		m.insert(now, h)
	}
}

// insert adds a member to the map and to the sorted list of names.
func (m *Machine) insert(now time.Duration, h Member) *record {
	r := &record{Member: h, updatedAt: now}
	m.members[h.Name] = r
	i, _ := slices.BinarySearch(m.names, h.Name)
	m.names = slices.Insert(m.names, i, h.Name)
	return r
}

// digest returns a hash of the live members, this host included, with their
// incarnations. A suspect is hashed as alive, since hosts may differ on
// suspicions without having to exchange their lists. The hashes of the members
// are summed, so their order does not matter.
func (m *Machine) digest() uint64 {
	var sum uint64
	add := func(h *Member) {
		state := uint64(h.Health)<<1 | 1
		if h.Health == Suspect {
			state = uint64(Alive)<<1 | 1
		}
		sum += rendez.Score(rendez.Hash(h.Name)^h.Incarnation, state)
	}
	add(&m.self)
	for _, n := range m.names {
		if r := m.members[n]; r.Health == Alive || r.Health == Suspect {
			add(&r.Member)
		}
	}
	return sum
}

// takeUpdates returns the updates to piggyback on one message, those with the
// fewest transmissions first. An update is dropped after a number of
// transmissions that grows with the logarithm of the group size.
func (m *Machine) takeUpdates() []Member {
	maxTransmissions := 3 * bits.Len(uint(len(m.names)+1))
	slices.SortStableFunc(m.updates, func(a, b *record) int { return a.transmissions - b.transmissions })
	var out []Member
	for _, r := range m.updates {
		if len(out) == maxUpdates {
			break
		}
		r.transmissions++
		out = append(out, r.Member)
	}
	m.updates = slices.DeleteFunc(m.updates, func(r *record) bool { return r.transmissions >= maxTransmissions })
	return out
}

// enqueueUpdate queues a member's state for dissemination to other hosts.
func (m *Machine) enqueueUpdate(r *record) {
	r.transmissions = 0
	if !slices.Contains(m.updates, r) {
		m.updates = append(m.updates, r)
	}
}

// setHealth changes a member's health and records an event.
func (m *Machine) setHealth(now time.Duration, r *record, h Health, restarted bool) {
	r.Health = h
	r.updatedAt = now
	m.listChangedAt = now
	m.generation++
	m.events = append(m.events, Event{Member: r.Member, Restarted: restarted})
}

// removeExpired removes members that have been dead, left or seeded for longer
// than the retention.
func (m *Machine) removeExpired(now time.Duration) {
	m.names = slices.DeleteFunc(m.names, func(n string) bool {
		r := m.members[n]
		removable := r.Health == Dead || r.Health == Left || r.Health == Seeded
		if removable && now-r.updatedAt > m.settings.Retention {
			delete(m.members, n)
			m.generation++
			return true
		}
		return false
	})
}

// recordSender updates the record of a message's sender. A message from a
// suspect is direct evidence that it is alive and clears the suspicion.
func (m *Machine) recordSender(now time.Duration, msg *Message) *record {
	from := msg.From
	m.mergeUpdate(now, &from)
	r := m.members[from.Name]
	if r != nil && msg.AppVersion > r.appVersion {
		r.appVersion = msg.AppVersion
	}
	if r != nil && r.Health == Suspect && from.Incarnation == r.Incarnation {
		m.clearSuspicion(now, r)
	}
	return r
}

// clearSuspicion marks a suspect as alive. It neither records an event nor
// queues an update, since other hosts accept a refutation only with a higher
// incarnation, which the suspect itself has to announce.
func (m *Machine) clearSuspicion(now time.Duration, r *record) {
	r.Health = Alive
	r.updatedAt = now
}

// mergeUpdate merges an update about one member into the list. It ignores
// invalid updates and those that the known state overrides.
func (m *Machine) mergeUpdate(now time.Duration, update *Member) {
	if update.Name == m.self.Name && update.Incarnation <= maxIncarnation {
		m.refute(update)
		return
	}
	if update.Incarnation > maxIncarnation || update.Health == Seeded || update.Health > Left || update.Name == "" {
		return
	}
	r := m.members[update.Name]
	if r == nil {
		if len(m.members) >= maxMembers {
			return
		}
		r = m.insert(now, *update)
		m.listChangedAt = now
		m.generation++
		m.events = append(m.events, Event{Member: r.Member})
		m.enqueueUpdate(r)
		return
	}
	if !overrides(update, &r.Member) {
		return
	}
	previous := r.Member
	r.Member = *update
	r.updatedAt = now
	m.listChangedAt = now
	m.enqueueUpdate(r)
	sameLiveness := previous.Health == update.Health || previous.Health == Alive && update.Health == Suspect || previous.Health == Suspect && update.Health == Alive
	if sameLiveness && previous.Leaving == update.Leaving && previous.Address == update.Address && previous.StateLost == update.StateLost && previous.Joining == update.Joining {
		return
	}
	m.generation++
	restarted := previous.Health == Alive && update.Health == Alive && update.StateLost && !previous.StateLost
	m.events = append(m.events, Event{Member: r.Member, Restarted: restarted})
}

// refute raises this host's incarnation above that of an update that describes
// it wrongly, so that its own state overrides the update.
func (m *Machine) refute(update *Member) {
	if m.self.Health == Left || update.Incarnation < m.self.Incarnation {
		return
	}
	if update.Health == Alive && update.Incarnation == m.self.Incarnation && update.Leaving == m.self.Leaving {
		return
	}
	m.self.Incarnation = update.Incarnation + 1
}

// compareDigest compares the digest in a message with this host's. If they
// differ, it sends the whole list and asks for the sender's, at a limited rate
// and, once the host has been in sync, only after the list was unchanged for
// QuietPeriod. A Sync does not start an exchange.
func (m *Machine) compareDigest(now time.Duration, sender *record, msg *Message, out []Envelope) []Envelope {
	if sender == nil {
		return out
	}
	m.inSync = msg.Digest == m.digest()
	m.everInSync = m.everInSync || m.inSync
	if m.inSync || msg.Kind == Sync || now < m.nextSync {
		return out
	}
	m.nextSync = now + joinSyncInterval
	if m.everInSync {
		if now-m.listChangedAt < m.settings.QuietPeriod {
			return out
		}
		m.nextSync = now + m.settings.SyncInterval
	}
	return append(out, m.syncMessages(sender.Address, true)...)
}

// syncMessages returns the whole list, split into messages of at most
// maxSyncMembers members. If wantReply is set, the first message asks the
// receiver for its list.
func (m *Machine) syncMessages(to string, wantReply bool) []Envelope {
	var out []Envelope
	var batch []Member
	for i, n := range m.names {
		if r := m.members[n]; r.Health != Seeded {
			batch = append(batch, r.Member)
		}
		if len(batch) == maxSyncMembers || i == len(m.names)-1 {
			out = append(out, m.envelope(to, Message{Kind: Sync, Updates: batch, WantReply: wantReply}))
			batch = nil
			wantReply = false
		}
	}
	if len(m.names) == 0 {
		out = append(out, m.envelope(to, Message{Kind: Sync, WantReply: wantReply}))
	}
	return out
}
