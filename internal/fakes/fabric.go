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

// FabricHost describes a host to which the fabric sends traffic.
type FabricHost struct {
	Name string
	// UDP and TCP are the host's ingress addresses.
	UDP, TCP netip.AddrPort
}

// Fabric is a stand-in for the fabric. It sends each datagram and each
// connection of a caller to a random host. It puts a PROXY protocol header in
// front, so that hosts learn the addresses of the caller and the service.
type Fabric struct {
	// returnConn sends datagrams to the hosts and receives their replies.
	returnConn *net.UDPConn
	hosts      atomic.Pointer[[]FabricHost]
	mu         sync.Mutex
	// udpConns holds the sockets that listen on the addresses of UDP services.
	udpConns     map[netip.AddrPort]*net.UDPConn
	tcpListeners []net.Listener
	conns        map[net.Conn]struct{}
	closed       bool
}

// NewFabric starts a fabric that receives the hosts' replies to datagrams at
// returnAddress.
func NewFabric(returnAddress string) (*Fabric, error) {
	a, err := net.ResolveUDPAddr("udp", returnAddress)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", a)
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(fabricReadBufferBytes)
	f := &Fabric{returnConn: conn, udpConns: map[netip.AddrPort]*net.UDPConn{}, conns: map[net.Conn]struct{}{}}
	f.hosts.Store(&[]FabricHost{})
	go f.returnLoop()
	return f, nil
}

const (
	// fabricReadBufferBytes is the size of the sockets' receive buffers.
	fabricReadBufferBytes = 4 << 20
	// maxDatagramBytes is the size of the buffers for single datagrams.
	maxDatagramBytes      = 4096
	fabricDialTimeout     = 500 * time.Millisecond
	maxFabricDialAttempts = 4
)

// ReturnAddress returns the address to which hosts send replies to datagrams.
func (f *Fabric) ReturnAddress() netip.AddrPort {
	return f.returnConn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// SetHosts sets the hosts that receive traffic.
func (f *Fabric) SetHosts(hosts []FabricHost) { f.hosts.Store(&hosts) }

// HostCount returns the number of hosts that receive traffic.
func (f *Fabric) HostCount() int { return len(*f.hosts.Load()) }

// Close stops the fabric and closes its connections.
func (f *Fabric) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	_ = f.returnConn.Close()
	for _, c := range f.udpConns {
		_ = c.Close()
	}
	for _, l := range f.tcpListeners {
		_ = l.Close()
	}
	for c := range f.conns {
		_ = c.Close()
	}
}

// ServeUDP listens on a service's address and forwards datagrams to hosts.
func (f *Fabric) ServeUDP(service netip.AddrPort) error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(service))
	if err != nil {
		return err
	}
	_ = conn.SetReadBuffer(fabricReadBufferBytes)
	f.mu.Lock()
	f.udpConns[service] = conn
	f.mu.Unlock()
	go f.callerLoop(conn, service)
	return nil
}

// callerLoop forwards the datagrams of a service's callers to hosts.
func (f *Fabric) callerLoop(conn *net.UDPConn, service netip.AddrPort) {
	in := make([]byte, maxDatagramBytes)
	out := make([]byte, 0, maxDatagramBytes+proxyp.MaxBytes)
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
		_, _ = f.returnConn.WriteToUDPAddrPort(out, hosts[rand.IntN(len(hosts))].UDP)
	}
}

// returnLoop forwards the hosts' replies to the callers, from the service's
// address.
func (f *Fabric) returnLoop() {
	b := make([]byte, maxDatagramBytes)
	for {
		n, _, err := f.returnConn.ReadFromUDPAddrPort(b)
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
		conn := f.udpConns[h.Source]
		f.mu.Unlock()
		if conn != nil {
			_, _ = conn.WriteToUDPAddrPort(b[size:n], h.Destination)
		}
	}
}

// ServeTCP listens on a service's address and forwards connections to hosts.
func (f *Fabric) ServeTCP(service netip.AddrPort) error {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(service))
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.tcpListeners = append(f.tcpListeners, l)
	f.mu.Unlock()
	go func() {
		for {
			c, err := l.AcceptTCP()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err == nil {
				go f.proxyConnection(c, service)
			}
		}
	}()
	return nil
}

// proxyConnection copies data between a caller's connection and a new connection
// to a host. If either fails, it resets both.
func (f *Fabric) proxyConnection(caller *net.TCPConn, service netip.AddrPort) {
	defer caller.Close()
	host := f.dialHost(caller.RemoteAddr().(*net.TCPAddr).AddrPort(), service)
	if host == nil || !f.track(caller, host) {
		_ = caller.SetLinger(0)
		return
	}
	defer f.closeAndUntrack(caller, host)
	done := make(chan error, 2)
	go func() { done <- copyStream(host, caller) }()
	go func() { done <- copyStream(caller, host) }()
	for range 2 {
		if err := <-done; err != nil {
			_ = caller.SetLinger(0)
			_ = host.SetLinger(0)
			_ = caller.Close()
			_ = host.Close()
		}
	}
}

// copyStream copies data until the end of src, then closes dst for writing.
func copyStream(dst, src *net.TCPConn) error {
	if _, err := io.Copy(dst, src); err != nil {
		return err
	}
	return dst.CloseWrite()
}

// track records connections so that Close closes them. It reports whether the
// fabric is still open.
func (f *Fabric) track(conns ...net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range conns {
		f.conns[c] = struct{}{}
	}
	return !f.closed
}

// closeAndUntrack closes connections and removes their records.
func (f *Fabric) closeAndUntrack(conns ...net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(f.conns, c)
	}
}

// dialHost connects to a random host and sends it the PROXY protocol header. It
// returns nil if no host accepts within maxFabricDialAttempts attempts.
func (f *Fabric) dialHost(caller, service netip.AddrPort) *net.TCPConn {
	for range maxFabricDialAttempts {
		hosts := *f.hosts.Load()
		if len(hosts) == 0 {
			return nil
		}
		c, err := net.DialTimeout("tcp", hosts[rand.IntN(len(hosts))].TCP.String(), fabricDialTimeout)
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
