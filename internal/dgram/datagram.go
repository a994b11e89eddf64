package dgram

import (
	"net/netip"
	"sync"

	"lagoonramp.org/lagoonramp/pkg/flow"
)

// maxDatagram bounds the size of a received datagram in bytes, including a PROXY
// header or the header and tag of package peer.
const maxDatagram = 2304

// datagramKind is the origin of a datagram, which determines how a worker handles
// it.
type datagramKind uint8

const (
	// fromCaller is a datagram from a caller.
	fromCaller datagramKind = iota
	// fromHost is a flow.Message from another host.
	fromHost
	// fromServer is a server's reply whose flow is identified by the local port
	// and the server's address.
	fromServer
	// fromProxied is a server's reply whose flow is identified by its PROXY
	// header.
	fromProxied
)

// datagram is a received datagram that is queued for a worker. Datagrams are
// reused through datagramPool.
type datagram struct {
	kind    datagramKind
	key     flow.Key
	ingress uint64
	message flow.Message
	port    *localPort
	server  netip.AddrPort
	// data is the payload, a subslice of buf.
	data []byte
	buf  [maxDatagram]byte
}

var datagramPool = sync.Pool{New: func() any { return new(datagram) }}

// newDatagram returns a datagram from the pool.
func newDatagram() *datagram { return datagramPool.Get().(*datagram) }

// release returns the datagram to the pool.
func (dg *datagram) release() {
	dg.port = nil
	dg.data = nil
	dg.message = flow.Message{}
	datagramPool.Put(dg)
}
