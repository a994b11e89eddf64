package memb

import (
	"math/bits"
	"slices"
	"time"

	"lagoonramp.org/lagoonramp/pkg/rendez"
)

// Seed names hosts that a list or the settings know. They count as members
// only after they have answered.
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

// insert adds a member.
func (m *Machine) insert(now time.Duration, h Member) *record {
	r := &record{Member: h, changed: now}
	m.members[h.Name] = r
	at, _ := slices.BinarySearch(m.names, h.Name)
	m.names = slices.Insert(m.names, at, h.Name)
	return r
}

// digest hashes the states that hosts should agree on.
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

// takeNews returns news for one message, the least told first.
func (m *Machine) takeNews() []Member {
	limit := 3 * bits.Len(uint(len(m.names)+1))
	slices.SortStableFunc(m.news, func(a, b *record) int { return a.sent - b.sent })
	var out []Member
	for _, r := range m.news {
		if len(out) == maxNews {
			break
		}
		r.sent++
		out = append(out, r.Member)
	}
	m.news = slices.DeleteFunc(m.news, func(r *record) bool { return r.sent >= limit })
	return out
}

// spread queues a member as news.
func (m *Machine) spread(r *record) {
	r.sent = 0
	if !slices.Contains(m.news, r) {
		m.news = append(m.news, r)
	}
}

// become changes a member's health and reports it.
func (m *Machine) become(now time.Duration, r *record, h Health, restarted bool) {
	r.Health = h
	r.changed = now
	m.changedAt = now
	m.generation++
	m.events = append(m.events, Event{Member: r.Member, Restarted: restarted})
}

// forget drops members that are gone for long.
func (m *Machine) forget(now time.Duration) {
	m.names = slices.DeleteFunc(m.names, func(n string) bool {
		r := m.members[n]
		gone := r.Health == Dead || r.Health == Left || r.Health == Seeded
		if gone && now-r.changed > m.set.Retention {
			delete(m.members, n)
			m.generation++
			return true
		}
		return false
	})
}

// heard notes that the sender lives.
func (m *Machine) heard(now time.Duration, msg *Message) *record {
	from := msg.From
	m.learn(now, &from)
	r := m.members[from.Name]
	if r != nil && msg.AppVersion > r.note {
		r.note = msg.AppVersion
	}
	if r != nil && r.Health == Suspect && from.Incarnation == r.Incarnation {
		m.becomeQuietly(now, r)
	}
	return r
}

// becomeQuietly clears a suspicion by direct evidence.
func (m *Machine) becomeQuietly(now time.Duration, r *record) {
	r.Health = Alive
	r.changed = now
}

// learn merges news of one member.
func (m *Machine) learn(now time.Duration, news *Member) {
	if news.Name == m.self.Name && news.Incarnation <= maxIncarnation {
		m.refute(news)
		return
	}
	if news.Incarnation > maxIncarnation || news.Health == Seeded || news.Health > Left || news.Name == "" {
		return
	}
	r := m.members[news.Name]
	if r == nil {
		if len(m.members) >= maxMembers {
			return
		}
		r = m.insert(now, *news)
		m.changedAt = now
		m.generation++
		m.events = append(m.events, Event{Member: r.Member})
		m.spread(r)
		return
	}
	if !overrides(news, &r.Member) {
		return
	}
	was := r.Member
	r.Member = *news
	r.changed = now
	m.changedAt = now
	m.spread(r)
	same := was.Health == news.Health || was.Health == Alive && news.Health == Suspect || was.Health == Suspect && news.Health == Alive
	if same && was.Leaving == news.Leaving && was.Address == news.Address && was.StateLost == news.StateLost && was.Joining == news.Joining {
		return
	}
	m.generation++
	restarted := was.Health == Alive && news.Health == Alive && news.StateLost && !was.StateLost
	m.events = append(m.events, Event{Member: r.Member, Restarted: restarted})
}

// refute answers a belief about this host that is not true.
func (m *Machine) refute(news *Member) {
	if m.self.Health == Left || news.Incarnation < m.self.Incarnation {
		return
	}
	if news.Health == Alive && news.Incarnation == m.self.Incarnation && news.Leaving == m.self.Leaving {
		return
	}
	m.self.Incarnation = news.Incarnation + 1
}

// compare starts an exchange of lists if the sender's differs from this one.
func (m *Machine) compare(now time.Duration, sender *record, msg *Message, out []Envelope) []Envelope {
	if sender == nil {
		return out
	}
	m.agreed = msg.Digest == m.digest()
	m.settled = m.settled || m.agreed
	if m.agreed || msg.Kind == Sync || now < m.nextSync {
		return out
	}
	m.nextSync = now + firstSync
	if m.settled {
		if now-m.changedAt < m.set.QuietPeriod {
			return out
		}
		m.nextSync = now + m.set.SyncInterval
	}
	return append(out, m.list(sender.Address, true)...)
}

// list returns the whole list in as many messages as it needs.
func (m *Machine) list(to string, reply bool) []Envelope {
	var out []Envelope
	var part []Member
	for i, n := range m.names {
		if r := m.members[n]; r.Health != Seeded {
			part = append(part, r.Member)
		}
		if len(part) == maxSync || i == len(m.names)-1 {
			out = append(out, m.message(to, Message{Kind: Sync, Updates: part, WantReply: reply}))
			part = nil
			reply = false
		}
	}
	if len(m.names) == 0 {
		out = append(out, m.message(to, Message{Kind: Sync, WantReply: reply}))
	}
	return out
}
