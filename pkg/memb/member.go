package memb

import "lagoonramp.org/lagoonramp/pkg/rendez"

// Health is the state of a member in this host's view.
type Health uint8

// The states of a member. Within one incarnation, a state overrides those listed
// before it.
const (
	// Seeded members come from a list of hosts; neither a message from them nor
	// an update about them has arrived yet.
	Seeded Health = iota
	// Alive members take part in the protocol.
	Alive
	// Suspect members did not acknowledge a probe and can still refute the
	// suspicion.
	Suspect
	// Dead members did not refute a suspicion in time.
	Dead
	// Left members announced their shutdown.
	Left
)

var healthNames = [...]string{"seeded", "alive", "suspect", "dead", "left"}

// String returns the lower-case name of the state.
func (h Health) String() string {
	if int(h) < len(healthNames) {
		return healthNames[h]
	}
	return "unknown"
}

// Member describes a host of the group.
type Member struct {
	// Name is unique in the data centre.
	Name string `json:"name"`
	// Address is the IP:port on which the host receives datagrams and HTTP
	// requests from peers.
	Address string `json:"address"`
	// Incarnation orders the states that the host announces of itself. It grows
	// with each start, each change of its state and each refutation.
	Incarnation uint64 `json:"incarnation"`
	// Health is the state of the host.
	Health Health `json:"health"`
	// Leaving is set while the host drains and accepts no new flows.
	Leaving bool `json:"leaving,omitempty"`
	// Joining is set until the host's view of the group is complete enough to
	// own flows and idempotency keys.
	Joining bool `json:"joining,omitempty"`
	// StateLost is set if the host restarted recently and lost the state of its
	// former process.
	StateLost bool `json:"forgot,omitempty"`
}

// ID returns the hash of the member's name.
func (m *Member) ID() uint64 { return rendez.Hash(m.Name) }

// overrides reports whether an update replaces the current state of a member.
func overrides(update, current *Member) bool {
	if update.Incarnation != current.Incarnation {
		return update.Incarnation > current.Incarnation
	}
	return update.Health > current.Health
}

// MessageKind is the kind of a Message.
type MessageKind uint8

// The kinds of messages.
const (
	// Ping asks for an Ack.
	Ping MessageKind = iota + 1
	// Ack answers a Ping.
	Ack
	// PingRequest asks the receiver to ping Target on the sender's behalf.
	PingRequest
	// Sync carries the member list or a part of it.
	Sync
)

// Message is a message of the membership protocol.
type Message struct {
	Kind MessageKind `json:"kind"`
	// From is the sender's own state.
	From Member `json:"from"`
	// Sequence matches an Ack to its Ping.
	Sequence uint64 `json:"sequence,omitempty"`
	// Target is the name of the host to ping in a PingRequest, or of the host
	// that acknowledged the ping in a relayed Ack.
	Target string `json:"target,omitempty"`
	// Digest is the hash of the sender's list of live members.
	Digest uint64 `json:"digest,omitempty"`
	// Updates holds the states of members that changed recently or, in a Sync,
	// of the members of the sender's list.
	Updates []Member `json:"news,omitempty"`
	// WantReply asks the receiver to send its own list as Sync messages.
	WantReply bool `json:"reply,omitempty"`
	// AppVersion is a version number of the application's state that the sender
	// attaches to each message, for example the revision of its configuration.
	// Receivers keep the highest one.
	AppVersion uint64 `json:"note,omitempty"`
}

// Envelope is a message with the address of its receiver.
type Envelope struct {
	// Address is the receiver's address, as IP:port.
	Address string
	Message Message
}
