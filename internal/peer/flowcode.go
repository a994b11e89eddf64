package peer

import (
	"encoding/binary"

	"lagoonramp.org/lagoonramp/pkg/flow"
)

// flowHeaderBytes is the length of the fixed part of an encoded flow message.
const flowHeaderBytes = 54

// flagRedirected is the bit of the flags byte for Message.Redirected.
const flagRedirected = 1

// FlowOverhead is the number of bytes that forwarding between hosts adds to a
// datagram of a flow.
const FlowOverhead = Overhead + flowHeaderBytes

// AppendFlow appends the binary encoding of a flow message to dst: a header of
// fixed length and the payload. From and To are not encoded: the header of the
// sealed datagram names the sender, and the receiver is its destination.
func AppendFlow(dst []byte, m *flow.Message) []byte {
	var h [flowHeaderBytes]byte
	h[0] = byte(m.Kind)
	if m.Redirected {
		h[1] |= flagRedirected
	}
	h[2] = byte(m.Hint)
	h[3] = m.Hops
	binary.BigEndian.PutUint64(h[4:], m.Key.Service)
	copy(h[12:28], m.Key.Caller[:])
	binary.BigEndian.PutUint16(h[28:], m.Key.Port)
	binary.BigEndian.PutUint64(h[30:], m.Ingress)
	binary.BigEndian.PutUint64(h[38:], m.Holder)
	binary.BigEndian.PutUint64(h[46:], m.Server)
	dst = append(dst, h[:]...)
	return append(dst, m.Payload...)
}

// ParseFlow decodes a message encoded by AppendFlow into m. The payload shares
// memory with b. It returns ErrKind for a message of an unknown kind.
func ParseFlow(b []byte, from, to uint64, m *flow.Message) error {
	if len(b) < flowHeaderBytes {
		return ErrTruncated
	}
	kind := flow.MessageKind(b[0])
	if kind < flow.Forward || kind > flow.Exceptions {
		return ErrKind
	}
	*m = flow.Message{
		Kind:       kind,
		From:       from,
		To:         to,
		Redirected: b[1]&flagRedirected != 0,
		Hint:       flow.Hint(b[2]),
		Hops:       b[3],
		Ingress:    binary.BigEndian.Uint64(b[30:]),
		Holder:     binary.BigEndian.Uint64(b[38:]),
		Server:     binary.BigEndian.Uint64(b[46:]),
		Payload:    b[flowHeaderBytes:],
	}
	m.Key.Service = binary.BigEndian.Uint64(b[4:])
	copy(m.Key.Caller[:], b[12:28])
	m.Key.Port = binary.BigEndian.Uint16(b[28:])
	return nil
}
