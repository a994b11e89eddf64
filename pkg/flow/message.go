package flow

// MessageKind is the kind of a Message.
type MessageKind uint8

// The kinds of messages between hosts.
const (
	// Forward passes a datagram to the host that the sender takes for the
	// owner or the holder.
	Forward MessageKind = iota + 1
	// Bounce gives a datagram back to the host that passed it on by a
	// redirect, since the receiver does not hold the flow.
	Bounce
	// Ask asks whether a host holds a flow. It is a claim too: a host that
	// does not hold the flow sends later datagrams to the asker.
	Query
	// Answer answers an Ask.
	QueryReply
	// Tell carries exceptions for the recovery of flows after a crash.
	Exceptions
)

// Message goes from one host to another.
type Message struct {
	Kind MessageKind
	// From and To are hosts.
	From, To uint64
	// Key is the flow; unset in Tell.
	Key Key
	// Hops counts how often a datagram was passed on.
	Hops uint8
	// Redirected tells that a datagram follows a redirect.
	Redirected bool
	// Hint is the carrier's hint on a datagram.
	Hint Hint
	// Ingress is the host that answers the caller, 0 for the fabric.
	Ingress uint64
	// Holder is, in Answer, the host that holds the flow, 0 if unknown.
	Holder uint64
	// Server is, in Answer, the server that recovery would choose, 0 if
	// nothing is known.
	Server uint64
	// Payload is the datagram or the packed exceptions. It is valid only
	// during the call that takes or returns it.
	Payload []byte
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of actions.
const (
	// ToServer sends Payload to Server for the flow Key.
	SendToServer ActionKind = iota + 1
	// ToHost sends Message to another host.
	SendToHost
	// Opened tells that the flow Key was pinned to Server.
	Opened
	// Ended tells that the flow Key is no longer held; Reason says why.
	Ended
	// Dropped tells that a datagram of Key went nowhere; Reason says why.
	Dropped
)

// Reason says why a flow ended or a datagram was dropped.
type Reason uint8

// The reasons.
const (
	ReasonIdle Reason = iota + 1
	ReasonClosed
	ReasonSilent
	ReasonEvicted
	ReasonNoServer
	ReasonNoHost
	ReasonFull
	ReasonHops
	// ReasonMoved: the server's address became another service's.
	ReasonMoved
	// ReasonNoPort: no local port is left towards the server.
	ReasonNoPort
)

var reasonNames = [...]string{"", "idle", "closed", "silent", "evicted", "noServer", "noHost", "full", "hops", "moved", "noPort"}

// String returns the reason's name.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "unknown"
}

// Action is what the embedder has to do. Payloads are valid until the next
// call of the table.
type Action struct {
	Kind    ActionKind
	Key     Key
	Server  uint64
	Reason  Reason
	Message Message
	Payload []byte
}
