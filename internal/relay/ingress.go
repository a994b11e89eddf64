package relay

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"lagoonramp.org/lagoonramp/internal/proxyp"
)

const (
	// headerTimeout bounds the wait for a PROXY header.
	headerTimeout = 5 * time.Second
	// quietFor is how long no connection may have come for Quiet.
	quietFor = 300 * time.Millisecond
)

// Acceptor takes a connection to a service. It owns the connection.
type Acceptor interface {
	Accept(conn *net.TCPConn, caller netip.AddrPort)
}

// Ingress accepts connections and hands each to its service.
type Ingress struct {
	mu        sync.Mutex
	services  atomic.Pointer[map[netip.AddrPort]Acceptor]
	listeners map[netip.AddrPort]*net.TCPListener
	fabric    *net.TCPListener
	direct    bool
	closing   atomic.Bool
	group     sync.WaitGroup
	callers   callerCount
	refused   atomic.Uint64
	// opening counts connections that were accepted and not handed to their
	// service yet, and movedAt is when that changed last, in nanoseconds since
	// the epoch.
	opening atomic.Int64
	movedAt atomic.Int64
	epoch   time.Time
}

// NewIngress returns an ingress. The fabric's listener may be nil. Direct
// makes it listen on the services' own addresses. Limit bounds the
// connections of one caller's address.
func NewIngress(fabric *net.TCPListener, direct bool, limit int) *Ingress {
	in := &Ingress{fabric: fabric, direct: direct, listeners: map[netip.AddrPort]*net.TCPListener{}, epoch: time.Now(),
		callers: callerCount{limit: limit, open: map[netip.Addr]int{}}}
	in.services.Store(&map[netip.AddrPort]Acceptor{})
	if fabric != nil {
		in.group.Add(1)
		go in.fabricLoop()
	}
	return in
}

// Refused returns how many connections were refused.
func (in *Ingress) Refused() uint64 { return in.refused.Load() }

// Quiet reports whether no connection is on its way to its service, nor was one
// just now. A host that leaves waits for it, or connections that the fabric
// handed over last would be reset.
func (in *Ingress) Quiet() bool {
	return in.opening.Load() == 0 && time.Since(in.epoch)-time.Duration(in.movedAt.Load()) >= quietFor
}

// move notes that a connection was accepted (1) or handed to its service (-1).
func (in *Ingress) move(n int64) {
	in.opening.Add(n)
	in.movedAt.Store(int64(time.Since(in.epoch)))
}

// SetServices names the services by address. It returns an error for each
// address on which it cannot listen.
func (in *Ingress) SetServices(services map[netip.AddrPort]Acceptor) error {
	in.services.Store(&services)
	if !in.direct {
		return nil
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	var errs []error
	for a := range services {
		if in.listeners[a] != nil || in.closing.Load() {
			continue
		}
		l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(a))
		if err != nil {
			errs = append(errs, eris.Wrapf(err, "listen on %s", a))
			continue
		}
		in.listeners[a] = l
		in.group.Add(1)
		go in.directLoop(l, a)
	}
	for a, l := range in.listeners {
		if services[a] == nil {
			_ = l.Close()
			delete(in.listeners, a)
		}
	}
	return errors.Join(errs...)
}

// Close stops accepting. Connections that were accepted go on.
func (in *Ingress) Close() {
	in.closing.Store(true)
	if in.fabric != nil {
		_ = in.fabric.Close()
	}
	in.mu.Lock()
	for _, l := range in.listeners {
		_ = l.Close()
	}
	in.mu.Unlock()
	in.group.Wait()
}

func (in *Ingress) fabricLoop() {
	defer in.group.Done()
	for {
		conn, err := in.fabric.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			in.move(1)
			go in.readHeader(conn)
		}
	}
}

func (in *Ingress) readHeader(conn *net.TCPConn) {
	defer in.move(-1)
	_ = conn.SetReadDeadline(time.Now().Add(headerTimeout))
	h, err := proxyp.Read(conn)
	if err != nil || h.Local || h.Transport != proxyp.Stream {
		in.refused.Add(1)
		_ = conn.Close()
		return
	}
	_ = conn.SetReadDeadline(time.Time{})
	in.hand(conn, h.Destination, h.Source)
}

func (in *Ingress) directLoop(l *net.TCPListener, service netip.AddrPort) {
	defer in.group.Done()
	for {
		conn, err := l.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			in.hand(conn, service, conn.RemoteAddr().(*net.TCPAddr).AddrPort())
		}
	}
}

// hand gives a connection to its service.
func (in *Ingress) hand(conn *net.TCPConn, service, caller netip.AddrPort) {
	s := (*in.services.Load())[service]
	if s == nil || !in.callers.enter(caller.Addr()) {
		in.refused.Add(1)
		abort(conn)
		return
	}
	go func() {
		defer in.callers.leave(caller.Addr())
		s.Accept(conn, caller)
	}()
}

// abort closes a connection with a reset, so that the peer does not take the
// end for a whole answer.
func abort(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// callerCount bounds the connections of each caller's address.
type callerCount struct {
	mu    sync.Mutex
	limit int
	open  map[netip.Addr]int
}

func (c *callerCount) enter(a netip.Addr) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.limit > 0 && c.open[a] >= c.limit {
		return false
	}
	c.open[a]++
	return true
}

func (c *callerCount) leave(a netip.Addr) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[a]--
	if c.open[a] <= 0 {
		delete(c.open, a)
	}
}
