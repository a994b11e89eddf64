package relay

import (
	"context"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoonramp.org/lagoonramp/internal/event"
	"lagoonramp.org/lagoonramp/internal/proxyp"
	"lagoonramp.org/lagoonramp/pkg/pick"
)

// listen starts a TCP server that calls f for each connection, and returns its
// address.
func listen(t testing.TB, f func(c *net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go f(c.(*net.TCPConn))
		}
	}()
	return l.Addr().String()
}

var serviceAddress = netip.MustParseAddrPort("192.0.2.1:443")

// startRelay starts an Ingress and a Service in front of the servers. The
// returned function connects as the fabric does for a caller: it sends a PROXY
// header first.
func startRelay(t testing.TB, targets ServiceConfig, servers ...string) (dial func() *net.TCPConn, s *Service, in *Ingress) {
	t.Helper()
	targets.Name, targets.Address = "press", serviceAddress
	for i, a := range servers {
		targets.Servers = append(targets.Servers, Server{ID: uint64(i + 1), Name: a, Address: a, MaxConnections: 100, AcceptsNewWork: true})
	}
	s = NewService(&targets, pick.LeastLoaded{}, event.NewRing("h", "dc"), nil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	in = NewIngress(l.(*net.TCPListener), false, 100)
	if err := in.SetServices(map[netip.AddrPort]Acceptor{serviceAddress: s}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(in.Close)
	return func() *net.TCPConn {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		h := proxyp.Header{Source: netip.MustParseAddrPort("192.0.2.9:999"), Destination: serviceAddress, Transport: proxyp.Stream}
		if _, err := c.Write(proxyp.Append(nil, h)); err != nil {
			t.Fatal(err)
		}
		return c.(*net.TCPConn)
	}, s, in
}

func TestHalfCloseBothWays(t *testing.T) {
	is := is.New(t)
	server := listen(t, func(c *net.TCPConn) {
		defer c.Close()
		b, _ := io.ReadAll(c) // Returns at the caller's half-close.
		_, _ = c.Write([]byte(strings.ToUpper(string(b))))
	})
	dial, _, _ := startRelay(t, ServiceConfig{}, server)
	c := dial()
	_, err := c.Write([]byte("question"))
	is.NoErr(err)
	is.NoErr(c.CloseWrite())
	b, err := io.ReadAll(c)
	is.NoErr(err)
	is.Equal(string(b), "QUESTION")
}

func TestServerResetReachesCaller(t *testing.T) {
	is := is.New(t)
	server := listen(t, func(c *net.TCPConn) {
		_, _ = io.ReadFull(c, make([]byte, 1))
		_, _ = c.Write([]byte("half"))
		abort(c)
	})
	dial, _, _ := startRelay(t, ServiceConfig{}, server)
	c := dial()
	_, err := c.Write([]byte("x"))
	is.NoErr(err)
	_, err = io.ReadAll(c)
	is.True(err != nil) // A reset must not look like the end of a response.
}

func TestFailoverFromUnreachableServer(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	dead := l.Addr().String()
	is.NoErr(l.Close())
	good := listen(t, func(c *net.TCPConn) {
		defer c.Close()
		_, _ = c.Write([]byte("good"))
	})
	dial, _, _ := startRelay(t, ServiceConfig{}, dead, good)
	for range 8 {
		b, err := io.ReadAll(dial())
		is.NoErr(err)
		is.Equal(string(b), "good")
	}
}

func TestDrainingServerGetsNoNewConnections(t *testing.T) {
	is := is.New(t)
	name := func(n string) func(c *net.TCPConn) {
		return func(c *net.TCPConn) {
			defer c.Close()
			_, _ = c.Write([]byte(n))
		}
	}
	a, b := listen(t, name("a")), listen(t, name("b"))
	dial, s, _ := startRelay(t, ServiceConfig{}, a, b)
	next := *s.targets.Load()
	next.Servers = []Server{{ID: 1, Address: a, MaxConnections: 100}, {ID: 2, Address: b, MaxConnections: 100, AcceptsNewWork: true}}
	s.SetConfig(&next)
	for range 6 {
		got, err := io.ReadAll(dial())
		is.NoErr(err)
		is.Equal(string(got), "b")
	}
}

func TestProxyHeaderCarriesCallerAddress(t *testing.T) {
	is := is.New(t)
	got := make(chan proxyp.Header, 1)
	server := listen(t, func(c *net.TCPConn) {
		defer c.Close()
		h, _ := proxyp.Read(c)
		got <- h
	})
	dial, _, _ := startRelay(t, ServiceConfig{ProxyHeader: true}, server)
	_, _ = io.ReadAll(dial())
	h := <-got
	is.Equal(h.Source.String(), "192.0.2.9:999")
	is.Equal(h.Destination, serviceAddress)
}

func TestIngressRefusesInvalidConnections(t *testing.T) {
	cases := []struct {
		name string
		send []byte
	}{
		{"no header", []byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n")},
		{"unknown service", proxyp.Append(nil, proxyp.Header{Source: serviceAddress, Destination: netip.MustParseAddrPort("192.0.2.5:1"), Transport: proxyp.Stream})},
		{"header of a datagram", proxyp.Append(nil, proxyp.Header{Source: serviceAddress, Destination: serviceAddress, Transport: proxyp.Datagram})},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, s, in := startRelay(t, ServiceConfig{}, listen(t, func(c *net.TCPConn) { c.Close() }))
			conn, err := net.Dial("tcp", in.fabric.Addr().String())
			is.NoErr(err)
			defer conn.Close()
			_, err = conn.Write(c.send)
			is.NoErr(err)
			_, _ = io.ReadAll(conn)
			is.Equal(in.Refused(), uint64(1))
			is.Equal(s.Accepted.Load(), uint64(0))
		})
	}
}

func TestDrainResetsConnectionsAfterTimeout(t *testing.T) {
	is := is.New(t)
	server := listen(t, func(c *net.TCPConn) { _, _ = io.Copy(c, c); c.Close() })
	dial, s, _ := startRelay(t, ServiceConfig{}, server)
	c := dial()
	_, err := c.Write([]byte("x"))
	is.NoErr(err)
	_, err = io.ReadFull(c, make([]byte, 1))
	is.NoErr(err)
	short, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	is.Equal(s.Drain(short), 1)
	_, err = io.ReadAll(c)
	is.True(err != nil)
}

func BenchmarkRelay(b *testing.B) {
	sink := listen(b, func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c); c.Close() })
	dial, _, _ := startRelay(b, ServiceConfig{}, sink)
	direct := func() *net.TCPConn {
		c, err := net.Dial("tcp", sink)
		if err != nil {
			b.Fatal(err)
		}
		return c.(*net.TCPConn)
	}
	copied := func() *net.TCPConn {
		l := listen(b, func(c *net.TCPConn) {
			up := direct()
			_, _ = io.Copy(up, c)
			up.Close()
		})
		c, err := net.Dial("tcp", l)
		if err != nil {
			b.Fatal(err)
		}
		return c.(*net.TCPConn)
	}
	chunk := make([]byte, 256<<10)
	for _, v := range []struct {
		name string
		dial func() *net.TCPConn
	}{{"direct", direct}, {"ioCopy", copied}, {"relayed", dial}} {
		b.Run(v.name, func(b *testing.B) {
			c := v.dial()
			defer c.Close()
			b.SetBytes(int64(len(chunk)))
			for range b.N {
				if _, err := c.Write(chunk); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
