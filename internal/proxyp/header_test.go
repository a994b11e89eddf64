package proxyp

import (
	"bufio"
	"bytes"
	"net"
	"net/netip"
	"testing"

	"github.com/matryer/is"
	proxyproto "github.com/pires/go-proxyproto"
)

func TestRoundTripAndStream(t *testing.T) {
	for _, a := range []string{"192.0.2.1:80", "[2001:db8::1]:80"} {
		t.Run(a, func(t *testing.T) {
			is := is.New(t)
			h := Header{Source: netip.MustParseAddrPort(a), Destination: netip.MustParseAddrPort(a), Transport: Datagram}
			b := append(Append(nil, h), "payload"...)
			got, n, err := Parse(b)
			is.NoErr(err)
			is.Equal(got, h)
			is.Equal(string(b[n:]), "payload")
			r := bytes.NewReader(b)
			got, err = Read(r)
			is.NoErr(err)
			is.Equal(got, h)
			is.Equal(r.Len(), len("payload"))
			for cut := range n {
				_, _, err := Parse(b[:cut])
				is.True(err != nil)
			}
		})
	}
}

// FuzzParse checks that Parse and the library go-proxyproto decode the same
// addresses.
func FuzzParse(f *testing.F) {
	for _, a := range []string{"192.0.2.1:80", "[2001:db8::1]:80"} {
		ap := netip.MustParseAddrPort(a)
		f.Add(Append(nil, Header{Source: ap, Destination: ap, Transport: Datagram}))
		f.Add(Append(nil, Header{Source: ap, Destination: ap, Transport: Stream}))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		h, _, err := Parse(b)
		if err != nil || h.Local {
			return
		}
		want, libErr := proxyproto.Read(bufio.NewReader(bytes.NewReader(b)))
		if libErr != nil {
			return // The library also validates the optional fields.
		}
		if addrPort(want.SourceAddr) != h.Source || addrPort(want.DestinationAddr) != h.Destination {
			t.Fatalf("go-proxyproto decoded %v %v, Parse %v", want.SourceAddr, want.DestinationAddr, h)
		}
	})
}

// addrPort converts an address of the library.
func addrPort(a net.Addr) netip.AddrPort {
	switch a := a.(type) {
	case *net.UDPAddr:
		return unmap(a.AddrPort(), a.IP)
	case *net.TCPAddr:
		return unmap(a.AddrPort(), a.IP)
	}
	return netip.AddrPort{}
}

// unmap restores an IPv4 address that net.IP holds as an IPv4-mapped IPv6
// address.
func unmap(a netip.AddrPort, ip net.IP) netip.AddrPort {
	if len(ip) == net.IPv4len {
		return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
	}
	return a
}
