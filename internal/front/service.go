package front

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"lagoonramp.org/lagoonramp/internal/event"
	"lagoonramp.org/lagoonramp/internal/track"
	"lagoonramp.org/lagoonramp/pkg/pick"
	"lagoonramp.org/lagoonramp/pkg/slots"
)

const (
	readHeaderTimeout = 5 * time.Second
	keepIdle          = 60 * time.Second
	maxHeader         = 64 << 10
	dialTimeout       = 2 * time.Second
	idlePerServer     = 64
)

// Settings of a Service.
type Settings struct {
	// Self is this host's ID.
	Self   uint64
	Events *event.Ring
	// SendSlots sends a message to another host.
	SendSlotMessage func(m slots.Message)
	// Once keeps the keys of non-idempotent requests.
	Deduplicator *Deduplicator
	// Bind is the local address towards servers; may be nil.
	LocalAddr net.Addr
	Policy    pick.Policy
}

// Service serves the callers of one http service.
type Service struct {
	set     Settings
	targets atomic.Pointer[ServiceConfig]
	desk    *Dispatcher
	server  *http.Server
	accept  *acceptor
	// pooled keeps connections to servers; fresh does not.
	pooled, fresh *http.Transport
	cancel        context.CancelFunc
	closing       atomic.Bool
	// detached counts requests that go on without their caller.
	detached track.Counter
}

// NewService returns a service that serves what it accepts.
func NewService(t *ServiceConfig, set Settings) *Service {
	s := &Service{set: set, accept: newAcceptor()}
	s.targets.Store(t)
	s.desk = NewDispatcher(t, set.Self, set.Policy, set.Events, set.SendSlotMessage)
	dialer := &net.Dialer{Timeout: dialTimeout, LocalAddr: set.LocalAddr}
	s.pooled = &http.Transport{
		DialContext:           dialer.DialContext,
		MaxIdleConnsPerHost:   idlePerServer,
		IdleConnTimeout:       keepIdle,
		DisableCompression:    true,
		ExpectContinueTimeout: time.Second,
	}
	s.fresh = s.pooled.Clone()
	s.fresh.DisableKeepAlives = true
	s.server = &http.Server{
		Handler:           s,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       keepIdle,
		MaxHeaderBytes:    maxHeader,
		ErrorLog:          quietLog(),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, callerKey{}, c.(*callerConn).caller)
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	go s.desk.loop(ctx)
	go s.run()
	return s
}

func (s *Service) run() {
	if err := s.server.Serve(s.accept); err != nil && !errors.Is(err, http.ErrServerClosed) {
		s.set.Events.Add(event.Event{Kind: event.Alarm, Service: s.targets.Load().Name, Cause: err.Error()})
	}
}

// SetTargets puts a configuration in force.
func (s *Service) SetConfig(t *ServiceConfig) {
	s.targets.Store(t)
	s.desk.SetConfig(t)
}

// Desk returns the service's desk.
func (s *Service) Dispatcher() *Dispatcher { return s.desk }

// Receive handles a message on slots of another host.
func (s *Service) HandleSlotMessage(m *slots.Message) { s.desk.receive(m) }

// Accept takes a connection of a caller.
func (s *Service) Accept(conn *net.TCPConn, caller netip.AddrPort) {
	c := &callerConn{TCPConn: conn, caller: caller, done: make(chan struct{})}
	if !s.accept.put(c) {
		_ = conn.Close()
		return
	}
	<-c.done
}

// Drain lets requests end and closes the service. New requests on open
// connections are still served until their connection is idle. It returns an
// error if the context ended first.
func (s *Service) Drain(ctx context.Context) error {
	s.closing.Store(true)
	err := s.server.Shutdown(ctx)
	err = errors.Join(err, s.detached.Wait(ctx))
	s.cancel()
	_ = s.server.Close()
	s.pooled.CloseIdleConnections()
	return err
}

type callerKey struct{}

// callerOf returns the address of a request's caller.
func callerOf(ctx context.Context) netip.AddrPort {
	a, _ := ctx.Value(callerKey{}).(netip.AddrPort)
	return a
}

// callerConn is a connection of a caller that the fabric handed over.
type callerConn struct {
	*net.TCPConn
	caller netip.AddrPort
	once   sync.Once
	done   chan struct{}
}

// RemoteAddr returns the caller's address.
func (c *callerConn) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(c.caller) }

// Close closes the connection.
func (c *callerConn) Close() error {
	c.once.Do(func() { close(c.done) })
	return c.TCPConn.Close()
}

// acceptor is a net.Listener over connections that were accepted elsewhere.
type acceptor struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newAcceptor() *acceptor {
	return &acceptor{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (a *acceptor) put(c net.Conn) bool {
	select {
	case a.conns <- c:
		return true
	case <-a.closed:
		return false
	}
}

// Accept implements net.Listener.
func (a *acceptor) Accept() (net.Conn, error) {
	select {
	case c := <-a.conns:
		return c, nil
	case <-a.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (a *acceptor) Close() error {
	a.once.Do(func() { close(a.closed) })
	return nil
}

// Addr implements net.Listener.
func (a *acceptor) Addr() net.Addr { return &net.TCPAddr{} }
