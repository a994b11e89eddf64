package flow

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Key names a flow: a service and a caller's address. It has no pointers, so
// that large tables cost the garbage collector nothing.
type Key struct {
	// Service is the hash of the service's name. A key contains its service,
	// so that no datagram can cross from one service to another.
	Service uint64
	// Caller is the caller's IP address in its 16-byte form.
	Caller [16]byte
	// Port is the caller's port.
	Port uint16
}

// KeyOf returns the key of a caller's flow to a service.
func KeyOf(service uint64, caller netip.AddrPort) Key {
	return Key{Service: service, Caller: caller.Addr().As16(), Port: caller.Port()}
}

// CallerAddr returns the caller's address. An IPv4 address comes back as IPv4.
func (k Key) CallerAddr() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom16(k.Caller).Unmap(), k.Port)
}

// Hash returns the 64-bit hash of the key, the same on every host.
func (k Key) Hash() uint64 {
	var b [26]byte
	binary.LittleEndian.PutUint64(b[0:], k.Service)
	copy(b[8:], k.Caller[:])
	binary.LittleEndian.PutUint16(b[24:], k.Port)
	return xxhash.Sum64(b[:])
}

// Hint tells what the carrier knows of a datagram's place in its flow.
type Hint uint8

// The hints. HintNone is the zero value: the carrier knows nothing.
const (
	HintNone Hint = iota
	HintOpens
	HintCloses
)
