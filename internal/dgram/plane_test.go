package dgram

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoonramp.org/lagoonramp/internal/event"
	"lagoonramp.org/lagoonramp/internal/peer"
	"lagoonramp.org/lagoonramp/internal/proxyp"
	"lagoonramp.org/lagoonramp/pkg/flow"
)

var (
	service = netip.MustParseAddrPort("192.0.2.1:443")
	caller  = netip.MustParseAddrPort("198.51.100.7:5000")
)

func socket(t testing.TB) *net.UDPConn {
	t.Helper()
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetReadBuffer(socketBuffer)
	return c
}

func addressOf(c *net.UDPConn) netip.AddrPort { return c.LocalAddr().(*net.UDPAddr).AddrPort() }

// echo answers every datagram with itself.
func echo(c *net.UDPConn) {
	b := make([]byte, maxPacket)
	for {
		n, from, err := c.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		_, _ = c.WriteToUDPAddrPort(b[:n], from)
	}
}

// plane runs a plane of one host before servers.
func plane(t testing.TB, workers int, servers ...netip.AddrPort) (p *Plane, ingress netip.AddrPort, fabric *net.UDPConn, tables *Tables) {
	t.Helper()
	fabric = socket(t)
	in := socket(t)
	p = NewPlane(Settings{Self: 1, Start: 1, Keys: []peer.Key{{ID: 1, Secret: []byte("k")}}, Workers: workers,
		MaxFlows: 1000, MaxPorts: 4, PeerConn: socket(t), FabricConn: in, FabricAddress: addressOf(fabric),
		ServerBind: netip.MustParseAddr("127.0.0.1"), HandleControl: func(peer.Header, []byte) {}, Events: event.NewRing("h", "dc")})
	s := &Service{ID: 9, Name: "press", Address: service, Servers: map[uint64]*Server{}}
	set := &flow.ServerSet{}
	for i, a := range servers {
		id := uint64(100 + i)
		s.Servers[id] = &Server{ID: id, Name: fmt.Sprint("s", i), Address: a, MaxFlows: 500, Weight: 1, Flows: &atomic.Int64{}}
		set.Accepting = append(set.Accepting, id)
	}
	tables = &Tables{View: &flow.View{Self: 1, Active: []uint64{1}}, Services: map[uint64]*Service{9: s},
		ByAddress: map[netip.AddrPort]*Service{service: s}, ServerSets: map[uint64]*flow.ServerSet{9: set},
		Peers: map[uint64]netip.AddrPort{}}
	if err := p.SetTables(tables); err != nil {
		t.Fatal(err)
	}
	run(t, p)
	return p, addressOf(in), fabric, tables
}

// run runs a plane until the test ends.
func run(t testing.TB, p *Plane) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		p.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() { cancel(); <-done })
}

// ask sends a datagram as the fabric would and returns the answer, "" if none
// came.
func ask(t *testing.T, fabric *net.UDPConn, ingress, from, to netip.AddrPort, body string) string {
	t.Helper()
	b := proxyp.Append(nil, proxyp.Header{Source: from, Destination: to, Transport: proxyp.Datagram})
	if _, err := fabric.WriteToUDPAddrPort(append(b, body...), ingress); err != nil {
		t.Fatal(err)
	}
	in := make([]byte, maxPacket)
	_ = fabric.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
	n, err := fabric.Read(in)
	if errors.Is(err, context.DeadlineExceeded) || err != nil {
		return ""
	}
	h, size, err := proxyp.Parse(in[:n])
	if err != nil || h.Source != to || h.Destination != from {
		t.Fatal("the answer's header is wrong", h, err)
	}
	return string(in[size:n])
}

func TestDatagramsPassBothWays(t *testing.T) {
	is := is.New(t)
	server := socket(t)
	go echo(server)
	p, ingress, fabric, _ := plane(t, 2, addressOf(server))
	is.Equal(ask(t, fabric, ingress, caller, service, "question"), "question")
	other := netip.MustParseAddrPort("192.0.2.2:443")
	is.Equal(ask(t, fabric, ingress, caller, other, "x"), "") // No such service.
	is.Equal(p.Counters().Malformed.Load(), uint64(1))
	_, err := fabric.WriteToUDPAddrPort([]byte("no header"), ingress)
	is.NoErr(err)
	is.Equal(ask(t, fabric, ingress, caller, service, "again"), "again")
}

func TestForgedPeersAreRefused(t *testing.T) {
	is := is.New(t)
	server := socket(t)
	go echo(server)
	p, ingress, fabric, _ := plane(t, 1, addressOf(server))
	forged := peer.NewSealer(peer.Key{ID: 1, Secret: []byte("guess")}, 5, 1, 0)
	m := flow.Message{Kind: flow.Forward, Key: flow.KeyOf(9, caller), Payload: []byte("x")}
	_, err := fabric.WriteToUDPAddrPort(forged.Seal(nil, peer.KindFlow, peer.AppendFlow(nil, &m)), addressOf(p.set.PeerConn))
	is.NoErr(err)
	is.Equal(ask(t, fabric, ingress, caller, service, "x"), "x") // Comes after it.
	for p.Counters().PeerRefused.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(p.Counters().Opened.Load(), uint64(1))
}

func TestPortsRunOutWithoutHoldingFlows(t *testing.T) {
	is := is.New(t)
	server := socket(t)
	go echo(server)
	p, ingress, fabric, _ := plane(t, 1, addressOf(server))
	answered := 0
	for i := range 6 { // There are four ports.
		from := netip.AddrPortFrom(caller.Addr(), uint16(6000+i))
		if ask(t, fabric, ingress, from, service, "x") != "" {
			answered++
		}
	}
	is.Equal(answered, 4)
	is.Equal(p.Counters().Ended[flow.ReasonNoPort].Load(), uint64(2))
}

func TestMovedAddressEndsItsFlows(t *testing.T) {
	is := is.New(t)
	server := socket(t)
	seen := &atomic.Int64{}
	go func() {
		b := make([]byte, maxPacket)
		for {
			n, from, err := server.ReadFromUDPAddrPort(b)
			if err != nil {
				return
			}
			seen.Add(1)
			_, _ = server.WriteToUDPAddrPort(b[:n], from)
		}
	}()
	p, ingress, fabric, tables := plane(t, 1, addressOf(server))
	is.Equal(ask(t, fabric, ingress, caller, service, "x"), "x")
	next := *tables
	next.ServerSets = map[uint64]*flow.ServerSet{9: {}}
	next.Moved = map[netip.AddrPort]string{addressOf(server): "entry-desk"}
	is.NoErr(p.SetTables(&next))
	is.Equal(ask(t, fabric, ingress, caller, service, "x"), "")
	is.Equal(seen.Load(), int64(1)) // Nothing crossed to the other service.
	is.Equal(p.Counters().Ended[flow.ReasonMoved].Load(), uint64(1))
}

// BenchmarkPlane compares a plane of one host with a plain echo and with a
// plain relay of one socket, for datagrams of 200 bytes, 64 under way.
func BenchmarkPlane(b *testing.B) {
	server := socket(b)
	go echo(server)
	_, ingress, fabric, _ := plane(b, 2, addressOf(server))
	relayIn, relayOut := socket(b), socket(b)
	client := socket(b)
	go plainRelay(relayIn, relayOut, addressOf(server), addressOf(client))
	body := make([]byte, 200)
	header := proxyp.Append(nil, proxyp.Header{Source: caller, Destination: service, Transport: proxyp.Datagram})
	for _, v := range []struct {
		name string
		conn *net.UDPConn
		to   netip.AddrPort
		send []byte
	}{
		{"echo", client, addressOf(server), body},
		{"oneSocketRelay", client, addressOf(relayIn), body},
		{"plane", fabric, ingress, append(header, body...)},
	} {
		b.Run(v.name, func(b *testing.B) {
			b.ReportAllocs()
			pingPong(b, v.conn, v.to, v.send)
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "packets/s")
		})
	}
}

// pingPong keeps 64 datagrams under way.
func pingPong(b *testing.B, conn *net.UDPConn, to netip.AddrPort, send []byte) {
	const window = 64
	in := make([]byte, maxPacket)
	sent, got := 0, 0
	for got < b.N {
		for sent < b.N && sent-got < window {
			_, _ = conn.WriteToUDPAddrPort(send, to)
			sent++
		}
		_ = conn.SetReadDeadline(time.Now().Add(time.Second))
		if _, _, err := conn.ReadFromUDPAddrPort(in); err != nil {
			got = sent // A lost datagram.
			continue
		}
		got++
	}
}

// plainRelay passes datagrams of one client to a server and back.
func plainRelay(in, out *net.UDPConn, server, client netip.AddrPort) {
	go func() {
		b := make([]byte, maxPacket)
		for {
			n, _, err := out.ReadFromUDPAddrPort(b)
			if err != nil {
				return
			}
			_, _ = in.WriteToUDPAddrPort(b[:n], client)
		}
	}()
	b := make([]byte, maxPacket)
	for {
		n, _, err := in.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		_, _ = out.WriteToUDPAddrPort(b[:n], server)
	}
}

// pair runs two planes that know each other: the first listens on the
// service's own address, the second owns all flows.
func pair(t *testing.T, server netip.AddrPort) (address netip.AddrPort, owner *Plane) {
	t.Helper()
	probe := socket(t)
	address = addressOf(probe)
	_ = probe.Close()
	conns := []*net.UDPConn{socket(t), socket(t)}
	peers := map[uint64]netip.AddrPort{1: addressOf(conns[0]), 2: addressOf(conns[1])}
	var planes []*Plane
	for i := range 2 {
		self := uint64(i + 1)
		p := NewPlane(Settings{Self: self, Start: 1, Keys: []peer.Key{{ID: 1, Secret: []byte("k")}}, Workers: 2, MaxFlows: 100,
			MaxPorts: 8, PeerConn: conns[i], Direct: i == 0, ServerBind: netip.MustParseAddr("127.0.0.1"),
			HandleControl: func(peer.Header, []byte) {}, Events: event.NewRing("h", "dc")})
		s := &Service{ID: 9, Name: "press", Address: address, Servers: map[uint64]*Server{
			100: {ID: 100, Name: "s", Address: server, MaxFlows: 50, Weight: 1, Flows: &atomic.Int64{}}}}
		err := p.SetTables(&Tables{View: &flow.View{Self: self, Active: []uint64{2}}, Services: map[uint64]*Service{9: s},
			ByAddress: map[netip.AddrPort]*Service{address: s}, ServerSets: map[uint64]*flow.ServerSet{9: {Accepting: []uint64{100}}}, Peers: peers})
		if err != nil {
			t.Fatal(err)
		}
		run(t, p)
		planes = append(planes, p)
	}
	return address, planes[1]
}

func TestPlainDatagramIsAnsweredFromTheAddressItWasSentTo(t *testing.T) {
	is := is.New(t)
	server := socket(t)
	go echo(server)
	address, owner := pair(t, addressOf(server))
	client := socket(t)
	for i := range 5 {
		body := fmt.Sprint("plain ", i)
		_, err := client.WriteToUDPAddrPort([]byte(body), address)
		is.NoErr(err)
		b := make([]byte, 100)
		is.NoErr(client.SetReadDeadline(time.Now().Add(10 * time.Second)))
		n, from, err := client.ReadFromUDPAddrPort(b)
		is.NoErr(err)
		is.Equal(string(b[:n]), body)
		is.Equal(from, address)
	}
	is.Equal(owner.Counters().Opened.Load(), uint64(1)) // The other host holds the flow.
}
