package fakes

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"lagoonramp.org/lagoonramp/internal/proxyp"
)

// FabricHost is an entry host as the fabric sees it.
type FabricHost struct {
	Name string
	// UDP and TCP are the host's ingress addresses.
	UDP, TCP netip.AddrPort
}

// Fabric is a stand-in for the fabric: it hands every datagram of a caller to
// any host, and every connection to any host.
type Fabric struct {
	// back takes the hosts' answers.
	back  *net.UDPConn
	hosts atomic.Pointer[[]FabricHost]
	mu    sync.Mutex
	// udp holds the sockets on the services' addresses.
	udp    map[netip.AddrPort]*net.UDPConn
	tcp    []net.Listener
	conns  map[net.Conn]struct{}
	closed bool
}

// NewFabric returns a fabric that takes answers at an address.
func NewFabric(back string) (*Fabric, error) {
	a, err := net.ResolveUDPAddr("udp", back)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", a)
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(fabricBuffer)
	f := &Fabric{back: conn, udp: map[netip.AddrPort]*net.UDPConn{}, conns: map[net.Conn]struct{}{}}
	f.hosts.Store(&[]FabricHost{})
	go f.backLoop()
	return f, nil
}

const (
	fabricBuffer   = 4 << 20
	fabricDatagram = 4096
	fabricDial     = 500 * time.Millisecond
	fabricTries    = 4
)

// Back returns where hosts send answers.
func (f *Fabric) ReturnAddress() netip.AddrPort { return f.back.LocalAddr().(*net.UDPAddr).AddrPort() }

// SetHosts names the hosts that get traffic.
func (f *Fabric) SetHosts(hosts []FabricHost) { f.hosts.Store(&hosts) }

// Hosts returns how many hosts get traffic.
func (f *Fabric) HostCount() int { return len(*f.hosts.Load()) }

// Close stops the fabric.
func (f *Fabric) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	_ = f.back.Close()
	for _, c := range f.udp {
		_ = c.Close()
	}
	for _, l := range f.tcp {
		_ = l.Close()
	}
	for c := range f.conns {
		_ = c.Close()
	}
}

// ServeUDP hands on the datagrams of a service.
func (f *Fabric) ServeUDP(service netip.AddrPort) error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(service))
	if err != nil {
		return err
	}
	_ = conn.SetReadBuffer(fabricBuffer)
	f.mu.Lock()
	f.udp[service] = conn
	f.mu.Unlock()
	go f.callerLoop(conn, service)
	return nil
}

func (f *Fabric) callerLoop(conn *net.UDPConn, service netip.AddrPort) {
	in := make([]byte, fabricDatagram)
	out := make([]byte, 0, fabricDatagram+proxyp.MaxBytes)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(in)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		hosts := *f.hosts.Load()
		if err != nil || len(hosts) == 0 {
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		out = proxyp.Append(out[:0], proxyp.Header{Source: from, Destination: service, Transport: proxyp.Datagram})
		out = append(out, in[:n]...)
		_, _ = f.back.WriteToUDPAddrPort(out, hosts[rand.IntN(len(hosts))].UDP)
	}
}

// backLoop gives answers to callers from the service's address.
func (f *Fabric) backLoop() {
	b := make([]byte, fabricDatagram)
	for {
		n, _, err := f.back.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		h, size, err := proxyp.Parse(b[:n])
		if err != nil {
			continue
		}
		f.mu.Lock()
		conn := f.udp[h.Source]
		f.mu.Unlock()
		if conn != nil {
			_, _ = conn.WriteToUDPAddrPort(b[size:n], h.Destination)
		}
	}
}

// ServeTCP hands on the connections of a service.
func (f *Fabric) ServeTCP(service netip.AddrPort) error {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(service))
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.tcp = append(f.tcp, l)
	f.mu.Unlock()
	go func() {
		for {
			c, err := l.AcceptTCP()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err == nil {
				go f.carry(c, service)
			}
		}
	}()
	return nil
}

// carry joins a caller's connection to a host's.
func (f *Fabric) carry(caller *net.TCPConn, service netip.AddrPort) {
	defer caller.Close()
	host := f.dial(caller.RemoteAddr().(*net.TCPAddr).AddrPort(), service)
	if host == nil || !f.enter(caller, host) {
		_ = caller.SetLinger(0)
		return
	}
	defer f.leave(caller, host)
	done := make(chan error, 2)
	go func() { done <- pipe(host, caller) }()
	go func() { done <- pipe(caller, host) }()
	for range 2 {
		if err := <-done; err != nil {
			_ = caller.SetLinger(0)
			_ = host.SetLinger(0)
			_ = caller.Close()
			_ = host.Close()
		}
	}
}

func pipe(dst, src *net.TCPConn) error {
	if _, err := io.Copy(dst, src); err != nil {
		return err
	}
	return dst.CloseWrite()
}

func (f *Fabric) enter(conns ...net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range conns {
		f.conns[c] = struct{}{}
	}
	return !f.closed
}

func (f *Fabric) leave(conns ...net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(f.conns, c)
	}
}

func (f *Fabric) dial(caller, service netip.AddrPort) *net.TCPConn {
	for range fabricTries {
		hosts := *f.hosts.Load()
		if len(hosts) == 0 {
			return nil
		}
		c, err := net.DialTimeout("tcp", hosts[rand.IntN(len(hosts))].TCP.String(), fabricDial)
		if err != nil {
			continue
		}
		h := proxyp.Header{Source: netip.AddrPortFrom(caller.Addr().Unmap(), caller.Port()), Destination: service, Transport: proxyp.Stream}
		if _, err := c.Write(proxyp.Append(nil, h)); err != nil {
			_ = c.Close()
			continue
		}
		return c.(*net.TCPConn)
	}
	return nil
}
