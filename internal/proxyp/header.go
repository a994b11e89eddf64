// Package proxyp encodes and decodes PROXY protocol version 2 headers.
//
// Append and Parse work at fixed offsets and do not allocate for each header.
// A fuzz test compares Parse with the library go-proxyproto, which serves as
// the reference implementation.
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
	// prefixBytes is the length of the signature, the version and command, the
	// address family and the length field.
	prefixBytes   = 16
	ipv4BodyBytes = 12
	ipv6BodyBytes = 36
	// MaxBytes is the length of the longest header that Append writes.
	MaxBytes = prefixBytes + ipv6BodyBytes
	// maxBodyBytes is the maximum number of bytes after the prefix of a header
	// that Read accepts.
	maxBodyBytes = 2048
)

// signature is the fixed start of a version 2 header.
var signature = [12]byte{0x0d, 0x0a, 0x0d, 0x0a, 0x00, 0x0d, 0x0a, 0x51, 0x55, 0x49, 0x54, 0x0a}

// Transport is the transport protocol of the proxied traffic, as encoded in
// the header.
type Transport byte

// The supported transports: TCP is a Stream, UDP a Datagram.
const (
	Stream   Transport = 1
	Datagram Transport = 2
)

// Errors returned by Parse and Read.
var (
	ErrTruncated = errors.New("the PROXY protocol header is truncated")
	ErrNotProxy  = errors.New("not a valid PROXY protocol v2 header")
	ErrFamily    = errors.New("the PROXY protocol header has an unsupported address family or transport")
)

// Header holds the original addresses of a proxied connection or datagram.
type Header struct {
	Source, Destination netip.AddrPort
	Transport           Transport
	// Local is set if the proxy itself opened the connection, for example for
	// a health check. The addresses are then unset.
	Local bool
}

// Append appends the encoded header to dst and returns the extended slice. Both
// addresses must be of the same family.
func Append(dst []byte, h Header) []byte {
	dst = append(dst, signature[:]...)
	source, destination := h.Source.Addr(), h.Destination.Addr()
	if source.Is4() && destination.Is4() {
		dst = append(dst, 0x21, 0x10|byte(h.Transport), 0, ipv4BodyBytes)
		a, b := source.As4(), destination.As4()
		dst = append(dst, a[:]...)
		dst = append(dst, b[:]...)
	} else {
		dst = append(dst, 0x21, 0x20|byte(h.Transport), 0, ipv6BodyBytes)
		a, b := source.As16(), destination.As16()
		dst = append(dst, a[:]...)
		dst = append(dst, b[:]...)
	}
	dst = binary.BigEndian.AppendUint16(dst, h.Source.Port())
	return binary.BigEndian.AppendUint16(dst, h.Destination.Port())
}

// Parse decodes the header at the start of b and returns its length in bytes.
func Parse(b []byte) (Header, int, error) {
	if len(b) < prefixBytes {
		return Header{}, 0, ErrTruncated
	}
	bodyBytes, err := checkPrefix(b)
	if err != nil {
		return Header{}, 0, err
	}
	if len(b) < prefixBytes+bodyBytes {
		return Header{}, 0, ErrTruncated
	}
	h, err := parseBody(b[12], b[13], b[prefixBytes:prefixBytes+bodyBytes])
	return h, prefixBytes + bodyBytes, err
}

// checkPrefix checks the signature and the version of a header and returns the
// length of its body.
func checkPrefix(b []byte) (bodyBytes int, err error) {
	if !bytes.Equal(b[:12], signature[:]) || b[12]>>4 != 2 {
		return 0, ErrNotProxy
	}
	return int(binary.BigEndian.Uint16(b[14:])), nil
}

// parseBody decodes what follows the prefix of a header. Bytes after the
// addresses, which hold optional fields, are ignored.
func parseBody(command, family byte, b []byte) (Header, error) {
	switch command & 0x0f {
	case 0:
		return Header{Local: true}, nil
	case 1:
	default:
		return Header{}, fmt.Errorf("%w: unknown command %d", ErrNotProxy, command&0x0f)
	}
	h := Header{Transport: Transport(family & 0x0f)}
	if h.Transport != Stream && h.Transport != Datagram {
		return Header{}, ErrFamily
	}
	switch family >> 4 {
	case 1:
		if len(b) < ipv4BodyBytes {
			return Header{}, ErrTruncated
		}
		h.Source = netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[0:4])), binary.BigEndian.Uint16(b[8:]))
		h.Destination = netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[4:8])), binary.BigEndian.Uint16(b[10:]))
	case 2:
		if len(b) < ipv6BodyBytes {
			return Header{}, ErrTruncated
		}
		h.Source = netip.AddrPortFrom(netip.AddrFrom16([16]byte(b[0:16])), binary.BigEndian.Uint16(b[32:]))
		h.Destination = netip.AddrPortFrom(netip.AddrFrom16([16]byte(b[16:32])), binary.BigEndian.Uint16(b[34:]))
	default:
		return Header{}, ErrFamily
	}
	return h, nil
}

// Read reads exactly one header from a stream. It consumes no byte after the
// header.
func Read(r io.Reader) (Header, error) {
	var prefix [prefixBytes]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return Header{}, fmt.Errorf("%w: %v", ErrTruncated, err)
	}
	bodyBytes, err := checkPrefix(prefix[:])
	if err != nil {
		return Header{}, err
	}
	if bodyBytes > maxBodyBytes {
		return Header{}, fmt.Errorf("%w: the body of %d bytes is too long", ErrNotProxy, bodyBytes)
	}
	b := make([]byte, bodyBytes)
	if _, err := io.ReadFull(r, b); err != nil {
		return Header{}, fmt.Errorf("%w: %v", ErrTruncated, err)
	}
	return parseBody(prefix[12], prefix[13], b)
}
