package flow

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a flow by its service and the caller's address and port. It
// contains no pointers, so that the garbage collector does not scan the keys
// of large tables.
type Key struct {
	// Service is the hash of the service's name. It is part of the key, so that
	// a datagram of one service never reaches a server of another.
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

// CallerAddr returns the caller's address and port. IPv4-mapped addresses are
// returned as IPv4.
func (k Key) CallerAddr() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom16(k.Caller).Unmap(), k.Port)
}

// Hash returns the 64-bit hash of the key. It is the same on every host.
func (k Key) Hash() uint64 {
	var b [26]byte
	binary.LittleEndian.PutUint64(b[0:], k.Service)
	copy(b[8:], k.Caller[:])
	binary.LittleEndian.PutUint16(b[24:], k.Port)
	return xxhash.Sum64(b[:])
}

// Hint says whether a datagram opens or closes its flow, if the protocol shows
// it.
type Hint uint8

// The hints.
const (
	// HintNone is the zero value: it is unknown whether the datagram opens or
	// closes the flow.
	HintNone Hint = iota
	// HintOpens marks the first datagram of a flow.
	HintOpens
	// HintCloses marks a datagram that ends its flow.
	HintCloses
)
