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
	dialTimeout = 2 * time.Second
	maxDials    = 3
	// SilentLimit is within which a connection is ended that lost its peer
	// without a word.
	UnresponsiveTimeout = 30 * time.Second
	keepaliveIdle       = 15 * time.Second
	keepaliveInterval   = 5 * time.Second
	keepaliveProbes     = 3
	// idleEvery is how often connections are checked for idleness.
	idleEvery = 2 * time.Second
)

// Server is a backend server of a tcp service.
type Server struct {
	ID      uint64
	Name    string
	Address string
	// Limit bounds the connections of this host to the server.
	MaxConnections int
	// TakesNew tells that the server takes new connections.
	AcceptsNewWork bool
}

// Targets is the configuration of a service. It is immutable.
type Targets struct {
	Name        string
	Address     netip.AddrPort
	ProxyHeader bool
	// Idle ends a connection without data; 0 is never.
	IdleTimeout time.Duration
	Servers     []Server
}

// Service relays the connections of one tcp service.
type Service struct {
	targets atomic.Pointer[Targets]
	method  pick.Policy
	events  *event.Ring
	epoch   time.Time
	bind    *net.TCPAddr
	mu      sync.Mutex
	watch   *pick.HealthTracker
	open    map[uint64]int
	pairs   map[*pair]struct{}
	active  track.Counter
	// Accepted, Relayed and Refused count connections.
	Accepted, Refused atomic.Uint64
}

// pair is a relayed connection.
type pair struct {
	caller, server *net.TCPConn
}

// NewService returns a service. The bind address towards servers may be nil.
func NewService(t *Targets, method pick.Policy, events *event.Ring, bind *net.TCPAddr) *Service {
	s := &Service{method: method, events: events, epoch: time.Now(), bind: bind,
		watch: pick.NewHealthTracker(pick.HealthSettings{}), open: map[uint64]int{}, pairs: map[*pair]struct{}{}}
	s.set(t, true)
	return s
}

// SetTargets puts a configuration in force. Connections that are open go on.
func (s *Service) SetTargets(t *Targets) { s.set(t, false) }

func (s *Service) set(t *Targets, warm bool) {
	ids := make([]uint64, len(t.Servers))
	for i := range t.Servers {
		ids[i] = t.Servers[i].ID
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watch.SetServers(time.Since(s.epoch), ids, warm)
	s.targets.Store(t)
}

// Open returns the open connections by server.
func (s *Service) OpenConnections() map[uint64]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[uint64]int, len(s.open))
	for id, n := range s.open {
		out[id] = n
	}
	return out
}

// Accept implements Acceptor. It returns when the connection has ended.
func (s *Service) Accept(conn *net.TCPConn, caller netip.AddrPort) {
	s.active.Enter()
	defer s.active.Leave()
	s.Accepted.Add(1)
	t := s.targets.Load()
	tune(conn)
	server, up := s.connect(t, caller)
	if up == nil {
		s.Refused.Add(1)
		s.events.Add(event.Event{Kind: event.Shed, Service: t.Name, Cause: "no server took the connection"})
		abort(conn)
		return
	}
	p := &pair{caller: conn, server: up}
	s.mu.Lock()
	s.pairs[p] = struct{}{}
	s.mu.Unlock()
	p.run()
	s.mu.Lock()
	delete(s.pairs, p)
	s.open[server]--
	s.mu.Unlock()
}

// connect dials servers until one takes the connection.
func (s *Service) connect(t *Targets, caller netip.AddrPort) (server uint64, up *net.TCPConn) {
	key := rendez.Hash(caller.String())
	tried := map[uint64]bool{}
	for range maxDials {
		i := s.choose(t, key, tried)
		if i < 0 {
			return 0, nil
		}
		target := &t.Servers[i]
		tried[target.ID] = true
		began := time.Now()
		conn, err := s.dial(target.Address, t, caller)
		s.mu.Lock()
		ejected := s.watch.RecordResult(time.Since(s.epoch), target.ID, err == nil, time.Since(began))
		if err != nil {
			s.open[target.ID]--
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

// choose picks a server and counts a connection to it. It returns -1 if there
// is none.
func (s *Service) choose(t *Targets, key uint64, tried map[uint64]bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Since(s.epoch)
	list := make([]pick.Server, len(t.Servers))
	for i := range t.Servers {
		v := &t.Servers[i]
		list[i] = pick.Server{ID: v.ID, InFlight: s.open[v.ID], Weight: s.watch.Weight(now, v.ID)}
		if v.AcceptsNewWork && !tried[v.ID] && list[i].Weight > 0 {
			list[i].Free = v.MaxConnections - s.open[v.ID]
		}
	}
	i := s.method.Pick(key, list)
	if i >= 0 {
		s.open[t.Servers[i].ID]++
	}
	return i
}

func (s *Service) dial(address string, t *Targets, caller netip.AddrPort) (*net.TCPConn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	if s.bind != nil {
		d.LocalAddr = s.bind
	}
	c, err := d.DialContext(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	conn := c.(*net.TCPConn)
	tune(conn)
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

// tune makes the kernel notice a peer that is gone.
func tune(conn *net.TCPConn) {
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

// run copies both ways until both halves have ended.
func (p *pair) run() {
	done := make(chan error, 2)
	go func() { done <- half(p.server, p.caller) }()
	go func() { done <- half(p.caller, p.server) }()
	for range 2 {
		if err := <-done; err != nil {
			abort(p.caller)
			abort(p.server)
		}
	}
	_ = p.caller.Close()
	_ = p.server.Close()
}

// half copies one way and passes the end on.
func half(dst, src *net.TCPConn) error {
	if _, err := io.Copy(dst, src); err != nil {
		return err
	}
	return dst.CloseWrite()
}

// Run ends idle connections until the context ends.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(idleEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.endIdle()
		}
	}
}

// endIdle ends the connections on which neither side sent data for long.
func (s *Service) endIdle() {
	limit := s.targets.Load().IdleTimeout
	if limit <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for p := range s.pairs {
		if lastData(p.caller) >= limit && lastData(p.server) >= limit {
			abort(p.caller)
			abort(p.server)
		}
	}
}

// lastData returns how long ago data was received, as the kernel counts it.
func lastData(conn *net.TCPConn) time.Duration {
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

// EndMoved resets the connections to addresses that now belong to another
// service, so that none crosses.
func (s *Service) EndMoved(name string, moved map[netip.AddrPort]string) {
	if len(moved) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for p := range s.pairs {
		a := p.server.RemoteAddr().(*net.TCPAddr).AddrPort()
		if to, ok := moved[netip.AddrPortFrom(a.Addr().Unmap(), a.Port())]; ok && to != name {
			abort(p.caller)
			abort(p.server)
		}
	}
}

// Drain waits until the connections have ended, at most until the context
// ends, and then resets those that are left. It returns how many those were.
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
