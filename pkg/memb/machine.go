package memb

import (
	"math/rand/v2"
	"time"
)

// record is what is kept of another member.
type record struct {
	Member
	// changed is when the health last changed.
	changed time.Duration
	// sent counts the messages that carried the member as news.
	sent int
	note uint64
}

// Event tells an embedder that a member changed.
type Event struct {
	Member Member
	// Restarted tells that the host came back under its old name.
	Restarted bool
}

// Machine is the membership of one host.
type Machine struct {
	set     Settings
	rng     *rand.Rand
	self    Member
	members map[string]*record
	// names lists the members sorted, so that runs can be repeated.
	names []string
	// ring is the probing order; ringAt is the next place in it.
	ring       []string
	ringAt     int
	probe      *probe
	relays     map[uint64]relay
	sequence   uint64
	nextProbe  time.Duration
	nextVisit  time.Duration
	nextSync   time.Duration
	lastTick   time.Duration
	slowness   int
	generation uint64
	events     []Event
	note       uint64
	news       []*record
	// agreed tells that the latest digest received was the own one.
	agreed bool
	// settled tells that a digest received was the own one at least once.
	settled bool
	// changedAt is when the list last changed.
	changedAt time.Duration
}

// New returns a machine for a host. The incarnation must be higher than any
// that the host had before, for example the wall time of its start.
func New(self Member, set Settings, rng *rand.Rand) *Machine {
	if rng == nil {
		panic("memb: a random source must be given")
	}
	self.Health = Alive
	return &Machine{
		set:     set.withDefaults(),
		rng:     rng,
		self:    self,
		members: map[string]*record{},
		relays:  map[uint64]relay{},
	}
}

// Self returns the host's own entry.
func (m *Machine) Self() Member { return m.self }

// SetNote sets the note that travels with the host's messages.
func (m *Machine) SetAppVersion(n uint64) { m.note = n }

// Note returns the latest note heard from a member.
func (m *Machine) AppVersion(name string) uint64 {
	if r := m.members[name]; r != nil {
		return r.note
	}
	return 0
}

// Generation grows whenever the list of members or a state changes.
func (m *Machine) Generation() uint64 { return m.generation }

// Events returns the changes since the last call.
func (m *Machine) Events() []Event {
	e := m.events
	m.events = nil
	return e
}

// Members returns the other members sorted by name.
func (m *Machine) Members() []Member {
	out := make([]Member, 0, len(m.names))
	for _, n := range m.names {
		out = append(out, m.members[n].Member)
	}
	return out
}

// Leave makes the host say that it takes no new flows.
func (m *Machine) StartLeaving() {
	if m.self.Leaving {
		return
	}
	m.self.Leaving = true
	m.self.Incarnation++
	m.generation++
}

// SetJoining sets whether the host says that it is still joining.
func (m *Machine) SetJoining(joining bool) {
	if m.self.Joining == joining {
		return
	}
	m.self.Joining = joining
	m.self.Incarnation++
	m.generation++
}

// Agreed reports whether the host's list was the same as that of a host that
// sent a message lately.
func (m *Machine) InSync() bool { return m.agreed }

// SetForgot sets what the host says of its memory.
func (m *Machine) SetStateLost(forgot bool) {
	if m.self.StateLost == forgot {
		return
	}
	m.self.StateLost = forgot
	m.self.Incarnation++
	m.generation++
}

// Goodbye returns the messages that say that the host is gone.
func (m *Machine) AnnounceLeft() []Envelope {
	m.self.Health = Left
	m.self.Incarnation++
	var out []Envelope
	for _, n := range m.names {
		r := m.members[n]
		if r.Health != Alive && r.Health != Suspect {
			continue
		}
		out = append(out, m.message(r.Address, Message{Kind: Sync, Updates: []Member{m.self}}))
	}
	return out
}

// message frames a message with what always travels.
func (m *Machine) message(to string, msg Message) Envelope {
	msg.From = m.self
	msg.AppVersion = m.note
	if r := m.suspectAt(to); r != nil {
		msg.Updates = append([]Member{r.Member}, msg.Updates...)
	}
	msg.Digest = m.digest()
	return Envelope{Address: to, Message: msg}
}

// suspectAt returns the suspect with an address. Each message to a suspect
// tells it of the suspicion, so that it can refute.
func (m *Machine) suspectAt(address string) *record {
	for _, n := range m.names {
		if r := m.members[n]; r.Health == Suspect && r.Address == address {
			return r
		}
	}
	return nil
}

// Tick does what is due. It should be called at least four times a period.
func (m *Machine) Tick(now time.Duration) []Envelope {
	woke := m.lastTick > 0 && now-m.lastTick > wakeFactor*m.set.ProbeInterval
	m.lastTick = now
	if woke {
		m.wake(now)
	}
	var out []Envelope
	out = m.checkProbe(now, out)
	m.checkSuspects(now)
	m.forget(now)
	if now >= m.nextVisit {
		m.nextVisit = now + revisitEvery
		out = m.revisit(out)
	}
	if m.probe == nil && now >= m.nextProbe {
		m.nextProbe = now + m.set.ProbeInterval
		out = m.startProbe(now, out)
	}
	return out
}

// wake is called after a pause of the process. What was under way is
// forgotten and suspects get their time again; the own incarnation grows,
// since the others may have declared this host dead.
func (m *Machine) wake(now time.Duration) {
	m.probe = nil
	m.nextSync = 0
	m.settled = false
	m.self.Incarnation++
	m.generation++
	for _, n := range m.names {
		if r := m.members[n]; r.Health == Suspect {
			r.changed = now
		}
	}
}

// Receive handles a message of another host.
func (m *Machine) Receive(now time.Duration, msg *Message) []Envelope {
	if msg.From.Name == m.self.Name || msg.From.Name == "" {
		return nil
	}
	sender := m.heard(now, msg)
	for i := range msg.Updates {
		m.learn(now, &msg.Updates[i])
	}
	var out []Envelope
	switch msg.Kind {
	case Ping:
		out = append(out, m.message(msg.From.Address, Message{Kind: Ack, Sequence: msg.Sequence, Updates: m.takeNews()}))
	case Ack:
		out = m.acked(msg, out)
	case PingRequest:
		out = m.pingFor(now, msg, out)
	}
	if msg.WantReply {
		out = append(out, m.list(msg.From.Address, false)...)
	}
	return m.compare(now, sender, msg, out)
}
