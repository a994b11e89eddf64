package dgram

import (
	"net/netip"
	"sync"

	"lagoonramp.org/lagoonramp/pkg/flow"
)

// maxPacket bounds a datagram with its headers, in bytes.
const maxPacket = 2304

// packetKind says what a worker does with a packet.
type packetKind uint8

const (
	// fromCaller is a datagram of a caller.
	fromCaller packetKind = iota
	// fromHost is a flow.Message.
	fromHost
	// fromServer is an answer on a port that stands for its flow.
	fromServer
	// fromProxied is an answer with a PROXY header.
	fromProxied
)

// packet is a datagram on its way to a worker.
type packet struct {
	kind    packetKind
	key     flow.Key
	ingress uint64
	message flow.Message
	port    *localPort
	server  netip.AddrPort
	// data is the payload, a part of buf.
	data []byte
	buf  [maxPacket]byte
}

var packets = sync.Pool{New: func() any { return new(packet) }}

func newPacket() *packet { return packets.Get().(*packet) }

func (p *packet) free() {
	p.port = nil
	p.data = nil
	p.message = flow.Message{}
	packets.Put(p)
}
