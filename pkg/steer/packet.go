package steer

import (
	"net/netip"
	"time"

	"lagoonramp.org/lagoonramp/pkg/fleet"
)

// Key names a flow by its ends.
type Key struct {
	// Caller is the caller's end.
	Caller netip.AddrPort
	// Service is the route's address.
	Service netip.AddrPort
}

// Packet is what a host reads of a caller's packet.
type Packet struct {
	Key Key
	// Mark names the server that the flow's latest answer came from; a SYN
	// carries 0.
	Mark uint32
	// Sequence and Ack count bytes, as in TCP.
	Sequence, Ack uint32
	// Length is the number of data bytes.
	Length int
	// Copy counts the copies of a SYN; the first has 0.
	Copy int
	// Waited is how long before a copy of a SYN its caller sent the first one,
	// and Next how long after it the caller sends another or gives up.
	Waited, Next    time.Duration
	Syn, Fin, Reset bool
}

// Action is what is to be done with a packet.
type Action uint8

// The actions.
const (
	// Drop: the packet goes nowhere.
	Drop Action = iota
	// Forward: the packet goes to the server of the verdict.
	Forward
	// Refuse: the caller gets a reset, since its flow cannot be opened.
	Refuse
	// Hold: the packet waits at the Table, which returns it by Due.
	Hold
)

// Reason says why a packet was dropped or refused.
type Reason uint8

// The reasons.
const (
	None Reason = iota
	// NoView: the host does not know the configuration yet.
	NoView
	// NoRoute: no route has the packet's address.
	NoRoute
	// NoServer: no server takes flows of the service.
	NoServer
	// Overload: the service's servers cannot serve the flow in time.
	Overload
	// UnknownMark: the packet's mark names no server of the route.
	UnknownMark
	reasons
)

var reasonNames = [reasons]string{"none", "noView", "noRoute", "noServer", "overload", "unknownMark"}

// String returns the reason's name.
func (r Reason) String() string { return reasonNames[r] }

// Verdict is what a Table decided of a packet.
type Verdict struct {
	Action Action
	// Server is where the packet goes; nil unless Action is Forward.
	Server *fleet.Server
	Reason Reason
	// Silent is the server that did not answer the SYN, if a copy of it goes to
	// another one.
	Silent *fleet.Server
	// Handshake is how long the flow took to open, if the packet opened it at
	// the first server that got its SYN.
	Handshake time.Duration
	// Asked tells that the packet begins a request, and Answer how long the
	// request waited for the answer that the packet acknowledges.
	Asked  bool
	Answer time.Duration
	// Tries is how many servers got the flow's SYN, 0 if the flow is not
	// remembered.
	Tries int
}

// Resend is a SYN that was kept and goes to a server now: to another one, since
// the first did not answer, or to its first one after it was held.
type Resend struct {
	Key Key
	// Server is nil if the flow is to be refused because of Overload.
	Server *fleet.Server
	// Silent is the server that did not answer; nil if the SYN was held.
	Silent *fleet.Server
	// Opening is the SYN as it was received. It is valid until the next call
	// of the Table.
	Opening []byte
}
