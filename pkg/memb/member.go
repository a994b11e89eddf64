package memb

import "lagoonramp.org/lagoonramp/pkg/rendez"

// Health is what is believed of a member.
type Health uint8

// The healths, in the order in which they override each other within one
// incarnation.
const (
	// Seeded members were named by a list and have not answered yet.
	Seeded Health = iota
	Alive
	Suspect
	Dead
	// Left members said goodbye.
	Left
)

var healthNames = [...]string{"seeded", "alive", "suspect", "dead", "left"}

// String returns the health's name.
func (h Health) String() string {
	if int(h) < len(healthNames) {
		return healthNames[h]
	}
	return "unknown"
}

// Member is a host as another host sees it.
type Member struct {
	// Name is unique in the data centre.
	Name string `json:"name"`
	// Address is where the host takes peers' datagrams and HTTP requests, as
	// IP:port.
	Address string `json:"address"`
	// Incarnation grows with each start and each refutation of the host.
	Incarnation uint64 `json:"incarnation"`
	// Health is what is believed of the host.
	Health Health `json:"health"`
	// Leaving tells that the host takes no new flows.
	Leaving bool `json:"leaving,omitempty"`
	// Joining tells that the host does not know the others well enough yet to
	// own anything.
	Joining bool `json:"joining,omitempty"`
	// Forgot tells that the host was restarted not long ago and lost what its
	// former process knew.
	StateLost bool `json:"forgot,omitempty"`
}

// ID returns the hash of the member's name.
func (m *Member) ID() uint64 { return rendez.Hash(m.Name) }

// overrides reports whether news a replace what is known as b.
func overrides(a, b *Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Health > b.Health
}

// MessageKind is the kind of a Message.
type MessageKind uint8

// The kinds of messages.
const (
	// Ping asks for an Ack.
	Ping MessageKind = iota + 1
	// Ack answers a Ping.
	Ack
	// PingRequest asks the receiver to ping Target.
	PingRequest
	// Sync carries a part of the member list; Reply asks for the receiver's.
	Sync
)

// Message goes from one host to another.
type Message struct {
	Kind MessageKind `json:"kind"`
	// From is the sender as it describes itself.
	From Member `json:"from"`
	// Sequence links an Ack to its Ping.
	Sequence uint64 `json:"sequence,omitempty"`
	// Target is the name of the host to ping, in PingRequest, and of the one
	// that was pinged, in a relayed Ack.
	Target string `json:"target,omitempty"`
	// Digest is the hash of the sender's list.
	Digest uint64 `json:"digest,omitempty"`
	// News are members that changed lately, or the list in Sync.
	Updates []Member `json:"news,omitempty"`
	// Reply asks for a Sync in return.
	WantReply bool `json:"reply,omitempty"`
	// Note is an embedder's note that travels with each message.
	AppVersion uint64 `json:"note,omitempty"`
}

// Send is a message and where to send it.
type Envelope struct {
	// Address is the receiver's address, as IP:port.
	Address string
	Message Message
}
