// Package proxyp reads and writes the header of the PROXY protocol, version
// 2, at fixed offsets and without allocation. The library go-proxyproto is
// the reference: a fuzz test holds both to agree.
package proxyp

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net/netip"
)

const (
	prefixBytes = 16
	v4Bytes     = 12
	v6Bytes     = 36
	// MaxBytes is the longest header that Append writes.
	MaxBytes = prefixBytes + v6Bytes
	// maxRest bounds what a received header may carry after its prefix.
	maxRest = 2048
)

var signature = [12]byte{0x0d, 0x0a, 0x0d, 0x0a, 0x00, 0x0d, 0x0a, 0x51, 0x55, 0x49, 0x54, 0x0a}

// Transport is the protocol of the proxied traffic.
type Transport byte

// The transports.
const (
	Stream   Transport = 1
	Datagram Transport = 2
)

// The reasons why a header is refused.
var (
	ErrTruncated = errors.New("the PROXY header is truncated")
	ErrNotProxy  = errors.New("there is no PROXY protocol v2 header")
	ErrFamily    = errors.New("the PROXY header has an unknown address family")
)

// Header says between whom traffic passes.
type Header struct {
	Source, Destination netip.AddrPort
	Transport           Transport
	// Local tells that the connection is the proxy's own, as for health
	// checks; the addresses are then unset.
	Local bool
}

// Append appends the header to dst. Both addresses must be of one family.
func Append(dst []byte, h Header) []byte {
	dst = append(dst, signature[:]...)
	src, to := h.Source.Addr(), h.Destination.Addr()
	if src.Is4() && to.Is4() {
		dst = append(dst, 0x21, 0x10|byte(h.Transport), 0, v4Bytes)
		a, b := src.As4(), to.As4()
		dst = append(dst, a[:]...)
		dst = append(dst, b[:]...)
	} else {
		dst = append(dst, 0x21, 0x20|byte(h.Transport), 0, v6Bytes)
		a, b := src.As16(), to.As16()
		dst = append(dst, a[:]...)
		dst = append(dst, b[:]...)
	}
	dst = binary.BigEndian.AppendUint16(dst, h.Source.Port())
	return binary.BigEndian.AppendUint16(dst, h.Destination.Port())
}

// Parse reads a header and returns how many bytes it took.
func Parse(b []byte) (Header, int, error) {
	if len(b) < prefixBytes {
		return Header{}, 0, ErrTruncated
	}
	rest, err := checkPrefix(b)
	if err != nil {
		return Header{}, 0, err
	}
	if len(b) < prefixBytes+rest {
		return Header{}, 0, ErrTruncated
	}
	h, err := parseRest(b[12], b[13], b[prefixBytes:prefixBytes+rest])
	return h, prefixBytes + rest, err
}

func checkPrefix(b []byte) (rest int, err error) {
	if !bytes.Equal(b[:12], signature[:]) || b[12]>>4 != 2 {
		return 0, ErrNotProxy
	}
	return int(binary.BigEndian.Uint16(b[14:])), nil
}

func parseRest(command, family byte, b []byte) (Header, error) {
	switch command & 0x0f {
	case 0:
		return Header{Local: true}, nil
	case 1:
	default:
		return Header{}, fmt.Errorf("%w: command %d", ErrNotProxy, command&0x0f)
	}
	h := Header{Transport: Transport(family & 0x0f)}
	if h.Transport != Stream && h.Transport != Datagram {
		return Header{}, ErrFamily
	}
	switch family >> 4 {
	case 1:
		if len(b) < v4Bytes {
			return Header{}, ErrTruncated
		}
		h.Source = netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[0:4])), binary.BigEndian.Uint16(b[8:]))
		h.Destination = netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[4:8])), binary.BigEndian.Uint16(b[10:]))
	case 2:
		if len(b) < v6Bytes {
			return Header{}, ErrTruncated
		}
		h.Source = netip.AddrPortFrom(netip.AddrFrom16([16]byte(b[0:16])), binary.BigEndian.Uint16(b[32:]))
		h.Destination = netip.AddrPortFrom(netip.AddrFrom16([16]byte(b[16:32])), binary.BigEndian.Uint16(b[34:]))
	default:
		return Header{}, ErrFamily
	}
	return h, nil
}

// Read reads exactly one header from a stream, so that what follows stays in
// the stream.
func Read(r io.Reader) (Header, error) {
	var prefix [prefixBytes]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return Header{}, fmt.Errorf("%w: %v", ErrTruncated, err)
	}
	rest, err := checkPrefix(prefix[:])
	if err != nil {
		return Header{}, err
	}
	if rest > maxRest {
		return Header{}, fmt.Errorf("%w: %d bytes", ErrNotProxy, rest)
	}
	b := make([]byte, rest)
	if _, err := io.ReadFull(r, b); err != nil {
		return Header{}, fmt.Errorf("%w: %v", ErrTruncated, err)
	}
	return parseRest(prefix[12], prefix[13], b)
}
