package memb

import (
	"math/rand/v2"
	"time"
)

// record holds what this host knows of another member.
type record struct {
	Member
	// updatedAt is when the member's state last changed or, for a suspect, when
	// its suspicion timeout was last restarted.
	updatedAt time.Duration
	// transmissions counts the messages that carried the member's current
	// state as an update.
	transmissions int
	// appVersion is the highest application version received from the member.
	appVersion uint64
}

// Event reports a change of a member to the application.
type Event struct {
	Member Member
	// Restarted is set if the host restarted under the same name, without the
	// state of its former process, while this host considered it Alive. It is
	// not set if the host was Suspect or Dead before.
	Restarted bool
}

// Machine is the membership protocol's state machine for one host.
type Machine struct {
	settings Settings
	rng      *rand.Rand
	self     Member
	members  map[string]*record
	// names holds the names of the members, sorted so that iteration is
	// deterministic and simulations can be repeated.
	names []string
	// probeOrder holds the names of the members in the order in which they are
	// probed; probeIndex is the index of the next one.
	probeOrder []string
	probeIndex int
	probe      *probe
	// relays holds the pings sent on behalf of other hosts, by the sequence
	// numbers of these pings.
	relays        map[uint64]relay
	sequence      uint64
	nextProbe     time.Duration
	nextReconnect time.Duration
	nextSync      time.Duration
	lastTick      time.Duration
	// healthMultiplier is Lifeguard's local health multiplier: it grows with
	// each failed probe, falls with each acknowledged one and scales the
	// timeouts.
	healthMultiplier int
	generation       uint64
	events           []Event
	appVersion       uint64
	// updates holds the members whose states are still to be disseminated.
	updates []*record
	// inSync reports whether the last received digest equals this host's.
	inSync bool
	// everInSync reports whether a received digest has equalled this host's
	// since the start or the last pause of the process.
	everInSync bool
	// listChangedAt is when the list of members or the state of a member last
	// changed. A suspicion raised or cleared by this host does not count.
	listChangedAt time.Duration
}

// New returns a Machine for the host self. Its incarnation must be higher than
// any that the host used before, for example the wall-clock time of its start.
// New panics if rng is nil.
func New(self Member, settings Settings, rng *rand.Rand) *Machine {
	if rng == nil {
		panic("memb: a random source must be given")
	}
	self.Health = Alive
	return &Machine{
		settings: settings.withDefaults(),
		rng:      rng,
		self:     self,
		members:  map[string]*record{},
		relays:   map[uint64]relay{},
	}
}

// Self returns this host's own member state.
func (m *Machine) Self() Member { return m.self }

// SetAppVersion sets the application version that is attached to each message of
// this host.
func (m *Machine) SetAppVersion(version uint64) { m.appVersion = version }

// AppVersion returns the highest application version received from a member, or
// 0 if none was received.
func (m *Machine) AppVersion(name string) uint64 {
	if r := m.members[name]; r != nil {
		return r.appVersion
	}
	return 0
}

// Generation returns a counter that grows when the list of members or the state
// of a member changes. New seeds and suspicions do not count as changes.
func (m *Machine) Generation() uint64 { return m.generation }

// Events returns the events recorded since the last call.
func (m *Machine) Events() []Event {
	e := m.events
	m.events = nil
	return e
}

// Members returns the other members in any state, sorted by name.
func (m *Machine) Members() []Member {
	out := make([]Member, 0, len(m.names))
	for _, n := range m.names {
		out = append(out, m.members[n].Member)
	}
	return out
}

// StartLeaving announces that this host is draining and accepts no new flows.
func (m *Machine) StartLeaving() {
	if m.self.Leaving {
		return
	}
	m.self.Leaving = true
	m.self.Incarnation++
	m.generation++
}

// SetJoining sets whether this host announces that it is still joining.
func (m *Machine) SetJoining(joining bool) {
	if m.self.Joining == joining {
		return
	}
	m.self.Joining = joining
	m.self.Incarnation++
	m.generation++
}

// InSync reports whether the digest of the last received message equals this
// host's, that is whether the sender had the same list of live members.
func (m *Machine) InSync() bool { return m.inSync }

// SetStateLost sets whether this host announces that it has lost the state of
// its former process.
func (m *Machine) SetStateLost(lost bool) {
	if m.self.StateLost == lost {
		return
	}
	m.self.StateLost = lost
	m.self.Incarnation++
	m.generation++
}

// AnnounceLeft marks this host as left and returns the messages that announce it
// to all live members.
func (m *Machine) AnnounceLeft() []Envelope {
	m.self.Health = Left
	m.self.Incarnation++
	var out []Envelope
	for _, n := range m.names {
		r := m.members[n]
		if r.Health != Alive && r.Health != Suspect {
			continue
		}
		out = append(out, m.envelope(r.Address, Message{Kind: Sync, Updates: []Member{m.self}}))
	}
	return out
}

// envelope completes a message with the fields that every message carries and
// addresses it. A message to a suspect carries the suspicion, so that the
// suspect can refute it.
func (m *Machine) envelope(to string, msg Message) Envelope {
	msg.From = m.self
	msg.AppVersion = m.appVersion
	if r := m.suspectByAddress(to); r != nil {
		msg.Updates = append([]Member{r.Member}, msg.Updates...)
	}
	msg.Digest = m.digest()
	return Envelope{Address: to, Message: msg}
}

// suspectByAddress returns the suspect with the given address, or nil.
func (m *Machine) suspectByAddress(address string) *record {
	for _, n := range m.names {
		if r := m.members[n]; r.Health == Suspect && r.Address == address {
			return r
		}
	}
	return nil
}

// Tick runs the timers of the protocol and returns the messages to send. It
// should be called at least four times per probe interval.
func (m *Machine) Tick(now time.Duration) []Envelope {
	resumed := m.lastTick > 0 && now-m.lastTick > pauseFactor*m.settings.ProbeInterval
	m.lastTick = now
	if resumed {
		m.resume(now)
	}
	var out []Envelope
	out = m.advanceProbe(now, out)
	m.expireSuspects(now)
	m.removeExpired(now)
	if now >= m.nextReconnect {
		m.nextReconnect = now + reconnectInterval
		out = m.probeUnreachable(out)
	}
	if m.probe == nil && now >= m.nextProbe {
		m.nextProbe = now + m.settings.ProbeInterval
		out = m.startProbe(now, out)
	}
	return out
}

// resume resets the timers after a pause of the process. It cancels the
// current probe and restarts the timeouts of suspects, since their messages may
// have been missed during the pause. It raises this host's incarnation, since
// other hosts may have declared it dead.
func (m *Machine) resume(now time.Duration) {
	m.probe = nil
	m.nextSync = 0
	m.everInSync = false
	m.self.Incarnation++
	m.generation++
	for _, n := range m.names {
		if r := m.members[n]; r.Health == Suspect {
			r.updatedAt = now
		}
	}
}

// Receive handles a message from another host and returns the messages to send.
func (m *Machine) Receive(now time.Duration, msg *Message) []Envelope {
	if msg.From.Name == m.self.Name || msg.From.Name == "" {
		return nil
	}
	sender := m.recordSender(now, msg)
	for i := range msg.Updates {
		m.mergeUpdate(now, &msg.Updates[i])
	}
	var out []Envelope
	switch msg.Kind {
	case Ping:
		out = append(out, m.envelope(msg.From.Address, Message{Kind: Ack, Sequence: msg.Sequence, Updates: m.takeUpdates()}))
	case Ack:
		out = m.handleAck(msg, out)
	case PingRequest:
		out = m.relayPing(now, msg, out)
	}
	if msg.WantReply {
		out = append(out, m.syncMessages(msg.From.Address, false)...)
	}
	return m.compareDigest(now, sender, msg, out)
}
