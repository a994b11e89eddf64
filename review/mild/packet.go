//go:build review

package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// Flags of a packet.
const (
	flagReset = 2
	flagSYN   = 4
	flagACK   = 8
	flagFIN   = 32
)

// headerLength is the length of a packet header in bytes, and maxData the
// maximum length of a packet's data.
const (
	headerLength = 36
	maxData      = 1200
)

// packet is a decoded packet.
type packet struct {
	echo                uint32
	source, destination netip.AddrPort
	sequence, ack       uint32
	flags               uint8
	data                []byte
	// sumOK reports whether the sum is right, and noSum whether it is 0, as in
	// the resets of hosts.
	sumOK, noSum bool
}

func (p *packet) has(flag uint8) bool { return p.flags&flag != 0 }

// encode returns the encoded packet. The sum is that of platform/stub, whose
// servers check it.
func (p *packet) encode() []byte {
	b := make([]byte, headerLength, headerLength+len(p.data))
	binary.BigEndian.PutUint32(b[0:], p.echo)
	source, destination := p.source.Addr().As4(), p.destination.Addr().As4()
	copy(b[4:], source[:])
	copy(b[8:], destination[:])
	binary.BigEndian.PutUint16(b[12:], p.destination.Port())
	binary.BigEndian.PutUint16(b[14:], p.source.Port())
	binary.BigEndian.PutUint32(b[16:], p.sequence)
	binary.BigEndian.PutUint32(b[20:], p.ack)
	binary.BigEndian.PutUint16(b[28:], uint16(len(p.data)))
	b[30] = p.flags
	b = append(b, p.data...)
	binary.BigEndian.PutUint32(b[24:], sum(b))
	return b
}

// sum returns the sum of an encoded packet, which is never 0.
func sum(b []byte) uint32 {
	c := crc32.NewIEEE()
	_, _ = c.Write([]byte("stub"))
	_, _ = c.Write(b[4:24])
	_, _ = c.Write(b[28:])
	return c.Sum32() | 1
}

// decode decodes a packet. It returns false if the length is wrong.
func decode(b []byte) (packet, bool) {
	if len(b) < headerLength || int(binary.BigEndian.Uint16(b[28:])) != len(b)-headerLength {
		return packet{}, false
	}
	got := binary.BigEndian.Uint32(b[24:])
	return packet{
		echo:        binary.BigEndian.Uint32(b),
		source:      netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[4:])), binary.BigEndian.Uint16(b[14:])),
		destination: netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[8:])), binary.BigEndian.Uint16(b[12:])),
		sequence:    binary.BigEndian.Uint32(b[16:]),
		ack:         binary.BigEndian.Uint32(b[20:]),
		flags:       b[30],
		data:        append([]byte(nil), b[headerLength:]...),
		sumOK:       got == sum(b),
		noSum:       got == 0,
	}, true
}
