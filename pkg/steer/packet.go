package steer

import (
	"net/netip"
	"time"

	"lagoonramp.org/lagoonramp/pkg/fleet"
)

// Key identifies a flow by its two endpoints.
type Key struct {
	// Caller is the caller's address and port.
	Caller netip.AddrPort
	// Service is the address and port of the route.
	Service netip.AddrPort
}

// Packet holds the header fields of a caller's packet that a Table reads.
type Packet struct {
	Key Key
	// Mark is the mark in the latest packet that the caller received from a
	// server of the flow. It is 0 in a SYN.
	Mark uint32
	// Sequence and Ack are sequence numbers in bytes, as in TCP.
	Sequence, Ack uint32
	// Length is the size of the payload in bytes.
	Length int
	// Retransmits is the number of earlier transmissions of a SYN, 0 for the
	// first.
	Retransmits int
	// SinceFirst is the time since the caller first sent the SYN, and UntilNext
	// the time until the caller retransmits it or gives up.
	SinceFirst, UntilNext time.Duration
	SYN, FIN, Reset       bool
}

// Action is what the host does with a packet.
type Action uint8

// The actions.
const (
	// Drop discards the packet.
	Drop Action = iota
	// Forward sends the packet to Verdict.Server.
	Forward
	// Refuse sends the caller a reset, since its flow cannot be opened.
	Refuse
	// Hold keeps the packet in the Table, which returns it by NextResend.
	Hold
	// ResetFlow sends the caller a reset of its open flow, since
	// Verdict.Server is unreachable.
	ResetFlow
)

// Reason is why a packet is dropped or refused.
type Reason uint8

// The reasons.
const (
	None Reason = iota
	// NoView means that the host has no configuration yet.
	NoView
	// NoRoute means that no route has the destination address of the packet.
	NoRoute
	// NoServer means that no server accepts flows of the service.
	NoServer
	// Overload means that the servers of the service cannot serve the flow in
	// time.
	Overload
	// UnknownMark means that no server of the route has the mark of the packet.
	UnknownMark
	// Unreachable means that the server of an open flow does not receive
	// packets.
	Unreachable
	// ColdServers means that the service has only cold servers, which take no
	// further flow in time.
	ColdServers
	reasonCount
)

var reasonNames = [reasonCount]string{"none", "noView", "noRoute", "noServer", "overload", "unknownMark", "unreachable", "coldServers"}

// String returns the name of the reason.
func (r Reason) String() string { return reasonNames[r] }

// Verdict is the decision of a Table on a packet.
type Verdict struct {
	Action Action
	// Server is the destination of the packet; nil unless Action is Forward or
	// ResetFlow.
	Server *fleet.Server
	Reason Reason
	// Service is the service of the flow if Reason is ColdServers.
	Service string
	// Unresponsive is the server that did not answer the SYN, if the packet is
	// a retransmission that goes to another server.
	Unresponsive *fleet.Server
	// HandshakeTime is the duration of the handshake, if the packet completes
	// it and the SYN was sent to one server only.
	HandshakeTime time.Duration
	// RequestStarted reports whether the packet starts a request. AnswerTime is
	// the time from the request to its answer, if the packet is the first to
	// acknowledge the answer.
	RequestStarted bool
	AnswerTime     time.Duration
	// Tries is the number of servers to which the SYN was sent, 0 if the Table
	// has no state on the flow.
	Tries int
	// Priority is that of the route if the SYN is held or refused, and Waited how
	// long the SYN of a flow that is refused was held. LinkFull reports whether the
	// SYN waited for the host's link.
	Priority int
	Waited   time.Duration
	LinkFull bool
	// Adopted reports whether the Table had no state on the flow before the
	// packet. ForeignMark reports whether the packet carries the mark of another
	// server than that of the flow, to which the packet goes.
	Adopted, ForeignMark bool
}

// Resend is a stored SYN to be sent to a server: to another one, because the
// first did not answer, or to its first one, because it is no longer held. It is
// also the refusal of a flow whose hold ended.
type Resend struct {
	Key Key
	// Server is the destination, nil if the flow is to be refused for Reason.
	Server *fleet.Server
	Reason Reason
	// Unresponsive is the server that did not answer; nil if the SYN was held.
	Unresponsive *fleet.Server
	// Priority is that of the route of a refused flow, and Waited how long its SYN
	// was held. Evicted reports whether it is refused before the end of its hold,
	// because too many SYNs are held. LinkFull reports whether it waited for the
	// host's link.
	Priority          int
	Waited            time.Duration
	Evicted, LinkFull bool
	// RawSYN holds the bytes of the SYN as received. They are valid until the
	// next call of a method of the Table.
	RawSYN []byte
}
