package relay

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"lagoonramp.org/lagoonramp/internal/event"
	"lagoonramp.org/lagoonramp/internal/proxyp"
	"lagoonramp.org/lagoonramp/internal/track"
	"lagoonramp.org/lagoonramp/pkg/pick"
	"lagoonramp.org/lagoonramp/pkg/rendez"
)

const (
	// dialTimeout bounds one attempt to connect to a server.
	dialTimeout = 2 * time.Second
	// maxDialAttempts bounds the servers that are tried for one connection.
	maxDialAttempts = 3
	// UnresponsiveTimeout is the time after which a connection is ended whose
	// peer stopped responding without closing it. It is the TCP_USER_TIMEOUT of
	// the sockets, and the keepalive settings add up to it: keepaliveIdle +
	// keepaliveProbes * keepaliveInterval.
	UnresponsiveTimeout = 30 * time.Second
	keepaliveIdle       = 15 * time.Second
	keepaliveInterval   = 5 * time.Second
	keepaliveProbes     = 3
	// idleCheckInterval is the interval at which idle connections are sought.
	idleCheckInterval = 2 * time.Second
)

// Server is a backend server of a tcp service.
type Server struct {
	ID      uint64
	Name    string
	Address string
	// MaxConnections bounds the open connections of this host to the server.
	MaxConnections int
	// AcceptsNewWork is set if the server accepts new connections.
	AcceptsNewWork bool
}

// Targets is the configuration of a service and its backend servers. It is
// immutable.
type ServiceConfig struct {
	Name string
	// Address is the address that callers connect to.
	Address netip.AddrPort
	// ProxyHeader is set if connections to the servers start with a PROXY
	// protocol v2 header.
	ProxyHeader bool
	// IdleTimeout is the time without data in either direction after which a
	// connection is reset. If 0, idle connections stay open.
	IdleTimeout time.Duration
	Servers     []Server
}

// Service relays the connections of one tcp service.
type Service struct {
	targets atomic.Pointer[ServiceConfig]
	policy  pick.Policy
	events  *event.Ring
	epoch   time.Time
	bind    *net.TCPAddr
	// mu guards health, openByServer and pairs.
	mu     sync.Mutex
	health *pick.HealthTracker
	// openByServer counts connections by server ID, including those that are
	// being dialed.
	openByServer map[uint64]int
	pairs        map[*connPair]struct{}
	// active counts the running calls of Accept.
	active track.Counter
	// Accepted counts the connections that were passed to the service, Refused
	// those among them for which no server could be reached.
	Accepted, Refused atomic.Uint64
}

// connPair is a relayed connection: the caller's connection and the one to the
// server.
type connPair struct {
	caller, server *net.TCPConn
}

// NewService returns a Service that chooses servers with policy. bind is the
// local address of connections to servers; if nil, the kernel chooses it.
func NewService(t *ServiceConfig, policy pick.Policy, events *event.Ring, bind *net.TCPAddr) *Service {
	s := &Service{policy: policy, events: events, epoch: time.Now(), bind: bind,
		health: pick.NewHealthTracker(pick.HealthSettings{}), openByServer: map[uint64]int{}, pairs: map[*connPair]struct{}{}}
	s.setTargets(t, true)
	return s
}

// SetTargets replaces the configuration. Open connections are not affected.
func (s *Service) SetConfig(t *ServiceConfig) { s.setTargets(t, false) }

// setTargets replaces the configuration. If warm is set, servers that
// were not in the previous one start at full weight instead of ramping up.
func (s *Service) setTargets(t *ServiceConfig, warm bool) {
	ids := make([]uint64, len(t.Servers))
	for i := range t.Servers {
		ids[i] = t.Servers[i].ID
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.health.SetServers(time.Since(s.epoch), ids, warm)
	s.targets.Store(t)
}

// OpenConnections returns the number of open connections per server ID.
func (s *Service) OpenConnections() map[uint64]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[uint64]int, len(s.openByServer))
	for id, n := range s.openByServer {
		out[id] = n
	}
	return out
}

// Accept implements Acceptor.
func (s *Service) Accept(conn *net.TCPConn, caller netip.AddrPort) {
	s.active.Enter()
	defer s.active.Leave()
	s.Accepted.Add(1)
	t := s.targets.Load()
	setSocketOptions(conn)
	serverID, serverConn := s.dialAnyServer(t, caller)
	if serverConn == nil {
		s.Refused.Add(1)
		s.events.Add(event.Event{Kind: event.Shed, Service: t.Name, Cause: "no server took the connection"})
		abort(conn)
		return
	}
	p := &connPair{caller: conn, server: serverConn}
	s.mu.Lock()
	s.pairs[p] = struct{}{}
	s.mu.Unlock()
	p.copyBothWays()
	s.mu.Lock()
	delete(s.pairs, p)
	s.openByServer[serverID]--
	s.mu.Unlock()
}

// dialAnyServer dials up to maxDialAttempts servers until one accepts the
// connection. serverConn is nil if none does.
func (s *Service) dialAnyServer(t *ServiceConfig, caller netip.AddrPort) (serverID uint64, serverConn *net.TCPConn) {
	key := rendez.Hash(caller.String())
	tried := map[uint64]bool{}
	for range maxDialAttempts {
		i := s.pickServer(t, key, tried)
		if i < 0 {
			return 0, nil
		}
		target := &t.Servers[i]
		tried[target.ID] = true
		start := time.Now()
		conn, err := s.dial(target.Address, t, caller)
		s.mu.Lock()
		ejected := s.health.RecordResult(time.Since(s.epoch), target.ID, err == nil, time.Since(start))
		if err != nil {
			s.openByServer[target.ID]--
		}
		s.mu.Unlock()
		if ejected {
			s.events.Add(event.Event{Kind: event.Ejected, Service: t.Name, Server: target.Name, Cause: "dials failed in a row"})
		}
		if err == nil {
			return target.ID, conn
		}
	}
	return 0, nil
}

// pickServer chooses a server that was not tried yet, counts a connection to it
// and returns its index. It returns -1 if no server has free capacity.
func (s *Service) pickServer(t *ServiceConfig, key uint64, tried map[uint64]bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Since(s.epoch)
	candidates := make([]pick.Server, len(t.Servers))
	for i := range t.Servers {
		server := &t.Servers[i]
		candidates[i] = pick.Server{ID: server.ID, InFlight: s.openByServer[server.ID], Weight: s.health.Weight(now, server.ID)}
		if server.AcceptsNewWork && !tried[server.ID] && candidates[i].Weight > 0 {
			candidates[i].Free = server.MaxConnections - s.openByServer[server.ID]
		}
	}
	i := s.policy.Pick(key, candidates)
	if i >= 0 {
		s.openByServer[t.Servers[i].ID]++
	}
	return i
}

// dial connects to a server and sends the PROXY header if the service needs it.
func (s *Service) dial(address string, t *ServiceConfig, caller netip.AddrPort) (*net.TCPConn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	if s.bind != nil {
		d.LocalAddr = s.bind
	}
	c, err := d.DialContext(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	conn := c.(*net.TCPConn)
	setSocketOptions(conn)
	if !t.ProxyHeader {
		return conn, nil
	}
	h := proxyp.Append(nil, proxyp.Header{Source: caller, Destination: t.Address, Transport: proxyp.Stream})
	if _, err := conn.Write(h); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

// setSocketOptions disables Nagle's algorithm and makes the kernel end the
// connection if the peer is unresponsive.
func setSocketOptions(conn *net.TCPConn) {
	_ = conn.SetNoDelay(true)
	_ = conn.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: keepaliveIdle,
		Interval: keepaliveInterval, Count: keepaliveProbes})
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UnresponsiveTimeout.Milliseconds()))
	})
}

// copyBothWays copies data in both directions until both have ended. An error in
// one direction resets both connections.
func (p *connPair) copyBothWays() {
	done := make(chan error, 2)
	go func() { done <- copyHalf(p.server, p.caller) }()
	go func() { done <- copyHalf(p.caller, p.server) }()
	for range 2 {
		if err := <-done; err != nil {
			abort(p.caller)
			abort(p.server)
		}
	}
	_ = p.caller.Close()
	_ = p.server.Close()
}

// copyHalf copies data from src to dst until src is half-closed, and then
// half-closes dst.
func copyHalf(dst, src *net.TCPConn) error {
	if _, err := io.Copy(dst, src); err != nil {
		return err
	}
	return dst.CloseWrite()
}

// Run resets idle connections until the context is cancelled.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.resetIdle()
		}
	}
}

// resetIdle resets the connections on which neither side has sent data for
// IdleTimeout.
func (s *Service) resetIdle() {
	timeout := s.targets.Load().IdleTimeout
	if timeout <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for p := range s.pairs {
		if sinceLastReceive(p.caller) >= timeout && sinceLastReceive(p.server) >= timeout {
			abort(p.caller)
			abort(p.server)
		}
	}
}

// sinceLastReceive returns the time since data was last received, according to
// the kernel's TCP_INFO. It returns 0 if that is not available.
func sinceLastReceive(conn *net.TCPConn) time.Duration {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0
	}
	var ms uint32
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			ms = info.Last_data_recv
		}
	})
	return time.Duration(ms) * time.Millisecond
}

// EndMoved resets the connections of the service called name to server
// addresses that now belong to another service, so that no data reaches the
// wrong service. moved maps these addresses to the name of their new service.
func (s *Service) EndMoved(name string, moved map[netip.AddrPort]string) {
	if len(moved) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for p := range s.pairs {
		server := p.server.RemoteAddr().(*net.TCPAddr).AddrPort()
		if newService, ok := moved[netip.AddrPortFrom(server.Addr().Unmap(), server.Port())]; ok && newService != name {
			abort(p.caller)
			abort(p.server)
		}
	}
}

// Drain waits until all connections have ended or the context is cancelled. It
// then resets the remaining connections and returns their number.
func (s *Service) Drain(ctx context.Context) int {
	if s.active.Wait(ctx) == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for p := range s.pairs {
		abort(p.caller)
		abort(p.server)
	}
	return len(s.pairs)
}
