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
	// headerTimeout bounds the wait for the PROXY header of a connection.
	headerTimeout = 5 * time.Second
	// quietPeriod is the time without new connections after which Ingress.Quiet
	// returns true.
	quietPeriod = 300 * time.Millisecond
)

// Acceptor handles the connections of a service. Accept takes ownership of conn
// and blocks until the connection has ended.
type Acceptor interface {
	Accept(conn *net.TCPConn, caller netip.AddrPort)
}

// Ingress accepts connections and passes each to the Acceptor of its service.
type Ingress struct {
	// mu guards listeners.
	mu        sync.Mutex
	services  atomic.Pointer[map[netip.AddrPort]Acceptor]
	listeners map[netip.AddrPort]*net.TCPListener
	fabric    *net.TCPListener
	direct    bool
	closing   atomic.Bool
	wg        sync.WaitGroup
	callers   callerLimiter
	refused   atomic.Uint64
	// pending counts the connections of the fabric that were accepted but not
	// yet passed to their service. pendingChangedAt is the time of its last
	// change, in nanoseconds since the epoch.
	pending          atomic.Int64
	pendingChangedAt atomic.Int64
	epoch            time.Time
}

// NewIngress returns an Ingress and starts to accept connections from fabric,
// which may be nil. If direct is set, the Ingress also listens on the addresses
// of the services. maxPerCaller bounds the open connections per caller IP
// address; 0 means no limit.
func NewIngress(fabric *net.TCPListener, direct bool, maxPerCaller int) *Ingress {
	in := &Ingress{fabric: fabric, direct: direct, listeners: map[netip.AddrPort]*net.TCPListener{}, epoch: time.Now(),
		callers: callerLimiter{maxPerCaller: maxPerCaller, open: map[netip.Addr]int{}}}
	in.services.Store(&map[netip.AddrPort]Acceptor{})
	if fabric != nil {
		in.wg.Add(1)
		go in.fabricLoop()
	}
	return in
}

// Refused returns the number of connections that were refused.
func (in *Ingress) Refused() uint64 { return in.refused.Load() }

// Quiet reports whether no connection of the fabric is pending and none was
// during the last quietPeriod. A leaving host waits for this before it stops;
// otherwise the connections that the fabric sent last would be reset.
func (in *Ingress) Quiet() bool {
	return in.pending.Load() == 0 && time.Since(in.epoch)-time.Duration(in.pendingChangedAt.Load()) >= quietPeriod
}

// addPending adds n to the pending connections: 1 when a connection is accepted,
// -1 when it has been passed to its service or refused.
func (in *Ingress) addPending(n int64) {
	in.pending.Add(n)
	in.pendingChangedAt.Store(int64(time.Since(in.epoch)))
}

// SetServices replaces the services, which are keyed by their address. If the
// Ingress accepts direct connections, it opens and closes listeners accordingly
// and returns the joined errors of the addresses on which it cannot listen.
func (in *Ingress) SetServices(services map[netip.AddrPort]Acceptor) error {
	in.services.Store(&services)
	if !in.direct {
		return nil
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	var errs []error
	for addr := range services {
		if in.listeners[addr] != nil || in.closing.Load() {
			continue
		}
		l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
		if err != nil {
			errs = append(errs, eris.Wrapf(err, "listen on %s", addr))
			continue
		}
		in.listeners[addr] = l
		in.wg.Add(1)
		go in.directLoop(l, addr)
	}
	for addr, l := range in.listeners {
		if services[addr] == nil {
			_ = l.Close()
			delete(in.listeners, addr)
		}
	}
	return errors.Join(errs...)
}

// Close stops accepting connections. Accepted connections stay open.
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
	in.wg.Wait()
}

// fabricLoop accepts connections from the fabric.
func (in *Ingress) fabricLoop() {
	defer in.wg.Done()
	for {
		conn, err := in.fabric.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			in.addPending(1)
			go in.readHeader(conn)
		}
	}
}

// readHeader reads the PROXY header of a connection from the fabric and
// dispatches the connection. It refuses connections without a valid header.
func (in *Ingress) readHeader(conn *net.TCPConn) {
	defer in.addPending(-1)
	_ = conn.SetReadDeadline(time.Now().Add(headerTimeout))
	h, err := proxyp.Read(conn)
	if err != nil || h.Local || h.Transport != proxyp.Stream {
		in.refused.Add(1)
		_ = conn.Close()
		return
	}
	_ = conn.SetReadDeadline(time.Time{})
	in.dispatch(conn, h.Destination, h.Source)
}

// directLoop accepts connections on a service's own address.
func (in *Ingress) directLoop(l *net.TCPListener, service netip.AddrPort) {
	defer in.wg.Done()
	for {
		conn, err := l.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			in.dispatch(conn, service, conn.RemoteAddr().(*net.TCPAddr).AddrPort())
		}
	}
}

// dispatch passes a connection to the Acceptor of its service. It resets the
// connection if the service is unknown or the caller has too many connections.
func (in *Ingress) dispatch(conn *net.TCPConn, service, caller netip.AddrPort) {
	s := (*in.services.Load())[service]
	if s == nil || !in.callers.acquire(caller.Addr()) {
		in.refused.Add(1)
		abort(conn)
		return
	}
	go func() {
		defer in.callers.release(caller.Addr())
		s.Accept(conn, caller)
	}()
}

// abort closes a connection with a reset, so that the peer does not mistake the
// end of the data for a complete response.
func abort(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// callerLimiter limits the open connections per caller IP address.
type callerLimiter struct {
	mu           sync.Mutex
	maxPerCaller int
	open         map[netip.Addr]int
}

// acquire counts a connection of a caller. It returns false, and counts nothing,
// if the caller has reached its limit.
func (c *callerLimiter) acquire(a netip.Addr) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.maxPerCaller > 0 && c.open[a] >= c.maxPerCaller {
		return false
	}
	c.open[a]++
	return true
}

// release undoes an acquire when the connection has ended.
func (c *callerLimiter) release(a netip.Addr) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[a]--
	if c.open[a] <= 0 {
		delete(c.open, a)
	}
}
