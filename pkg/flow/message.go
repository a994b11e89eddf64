package flow

// MessageKind is the kind of a Message.
type MessageKind uint8

// The kinds of messages between hosts.
const (
	// Forward carries a datagram to the host that is the flow's owner or holder
	// in the sender's view.
	Forward MessageKind = iota + 1
	// Bounce returns a datagram that followed a redirect to a host that has no
	// entry for the flow.
	Bounce
	// Query asks a host whether it holds a flow. It is also a claim: a host
	// that does not know the flow redirects later datagrams to the sender.
	Query
	// QueryReply is the reply to a Query.
	QueryReply
	// Exceptions carries the exceptions by which the receiver recovers the
	// sender's flows if the sender crashes.
	Exceptions
)

// Message is a message from one host to another.
type Message struct {
	Kind MessageKind
	// From and To are the sending and the receiving host.
	From, To uint64
	// Key is the key of the flow. It is unset in Exceptions.
	Key Key
	// Hops is the number of times that the datagram was forwarded or bounced.
	Hops uint8
	// Redirected is set if the datagram was forwarded to the flow's holder,
	// not to its owner.
	Redirected bool
	// Hint is the hint that came with the datagram.
	Hint Hint
	// Ingress is the host that received the datagram from the caller and sends
	// the replies to it, 0 for the fabric.
	Ingress uint64
	// Holder is set in QueryReply: the host that holds the flow, 0 if unknown.
	Holder uint64
	// Server is set in QueryReply: the server that the received exceptions give
	// for the flow, 0 if there is no exception.
	Server uint64
	// Payload is the datagram or the encoded exceptions. HandleMessage does not
	// retain it; Action states how long it is valid in an action.
	Payload []byte
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of actions.
const (
	// SendToServer sends Payload, a datagram of the flow Key, to Server.
	SendToServer ActionKind = iota + 1
	// SendToHost sends Message to another host.
	SendToHost
	// Opened reports that the flow Key was pinned to Server.
	Opened
	// Ended reports that the flow Key is no longer pinned, for Reason.
	Ended
	// Dropped reports that a datagram of the flow Key was dropped, for Reason.
	Dropped
)

// Reason is the reason why a flow ended or a datagram was dropped.
type Reason uint8

// The reasons.
const (
	// ReasonIdle: no datagram passed within the idle timeout.
	ReasonIdle Reason = iota + 1
	// ReasonClosed: the caller closed the flow.
	ReasonClosed
	// ReasonUnresponsive: the server stopped replying on this flow, but not on
	// others. Its text is "silent".
	ReasonUnresponsive
	// ReasonEvicted: the table was full and the flow was the least recently
	// used.
	ReasonEvicted
	// ReasonNoServer: the service has no server that accepts the flow.
	ReasonNoServer
	// ReasonNoHost: the view has no active host that could own the flow.
	ReasonNoHost
	// ReasonFull: the table or a queue of datagrams or queries was full.
	ReasonFull
	// ReasonHops: the datagram was forwarded too often.
	ReasonHops
	// ReasonMoved: the server's address now belongs to another service.
	ReasonMoved
	// ReasonNoPort: no local port is free for a flow to the server.
	ReasonNoPort
)

var reasonNames = [...]string{"", "idle", "closed", "silent", "evicted", "noServer", "noHost", "full", "hops", "moved", "noPort"}

// String returns the name of the reason.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "unknown"
}

// Action is an action that the application must carry out. Payloads are valid
// until the next call of a method of the Table.
type Action struct {
	Kind    ActionKind
	Key     Key
	Server  uint64
	Reason  Reason
	Message Message
	Payload []byte
}
