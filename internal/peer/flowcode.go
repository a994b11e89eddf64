package peer

import (
	"encoding/binary"

	"lagoonramp.org/lagoonramp/pkg/flow"
)

// flowBytes is the length of the fixed part of a flow message.
const flowBytes = 54

const flagRedirected = 1

// FlowOverhead is what a forwarded datagram grows by, in bytes.
const FlowOverhead = Overhead + flowBytes

// AppendFlow appends the fixed form of a flow message to dst. The sender and
// the receiver are in the envelope.
func AppendFlow(dst []byte, m *flow.Message) []byte {
	var h [flowBytes]byte
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

// ParseFlow decodes what AppendFlow encoded. The payload shares memory with
// b. Kinds that are not known are an error.
func ParseFlow(b []byte, from, to uint64, m *flow.Message) error {
	if len(b) < flowBytes {
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
		Payload:    b[flowBytes:],
	}
	m.Key.Service = binary.BigEndian.Uint64(b[4:])
	copy(m.Key.Caller[:], b[12:28])
	m.Key.Port = binary.BigEndian.Uint16(b[28:])
	return nil
}
