package httplb

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
	readHeaderTimeout     = 5 * time.Second
	idleConnTimeout       = 60 * time.Second
	maxHeaderBytes        = 64 << 10
	dialTimeout           = 2 * time.Second
	maxIdleConnsPerServer = 64
	// drainIdleTime is how long an open connection without requests is kept while
	// the service drains, and drainPollInterval the interval of checks for open
	// connections.
	drainIdleTime     = time.Second
	drainPollInterval = 10 * time.Millisecond
)

// Settings configures a Service.
type Settings struct {
	// Self is this host's ID.
	Self uint64
	// Events receives the events of the service.
	Events *event.Ring
	// SendSlotMessage sends a slot message to another host.
	SendSlotMessage func(m slots.Message)
	// Deduplicator serves the requests with an idempotency key.
	Deduplicator *Deduplicator
	// LocalAddr is the local address of connections to servers. It is chosen by the
	// system if nil.
	LocalAddr net.Addr
	// Policy chooses among the servers with free slots.
	Policy pick.Policy
}

// Service serves the callers of one HTTP service.
type Service struct {
	settings   Settings
	config     atomic.Pointer[ServiceConfig]
	dispatcher *Dispatcher
	server     *http.Server
	listener   *connListener
	// transport opens a connection to a server for each request. A connection that
	// is used again may carry a second copy of an earlier answer, and the server may
	// have closed it, which would leave unclear whether the request has run.
	transport *http.Transport
	cancel    context.CancelFunc
	draining  atomic.Bool
	// openConns is the number of open connections of callers.
	openConns atomic.Int64
	// detachedRequests counts the running requests that continue if their caller
	// disconnects.
	detachedRequests track.Counter
}

// NewService returns a running service. Its connections are passed to Accept.
func NewService(config *ServiceConfig, settings Settings) *Service {
	s := &Service{settings: settings, listener: newConnListener()}
	s.config.Store(config)
	s.dispatcher = NewDispatcher(config, settings.Self, settings.Policy, settings.Events, settings.SendSlotMessage)
	dialer := &net.Dialer{Timeout: dialTimeout, LocalAddr: settings.LocalAddr}
	s.transport = &http.Transport{
		DialContext:           dialer.DialContext,
		MaxIdleConnsPerHost:   -1, // None.
		DisableCompression:    true,
		ExpectContinueTimeout: time.Second,
	}
	s.server = &http.Server{
		Handler:           s,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleConnTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          discardLogger(),
		ConnState:         s.countConn,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, callerContextKey{}, c.(*callerConn).caller)
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	go s.dispatcher.tickLoop(ctx)
	go s.serveConns()
	return s
}

// serveConns serves the accepted connections until the server is closed.
func (s *Service) serveConns() {
	if err := s.server.Serve(s.listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		s.settings.Events.Add(event.Event{Kind: event.Alarm, Service: s.config.Load().Name, Cause: err.Error()})
	}
}

// SetConfig applies a new configuration.
func (s *Service) SetConfig(config *ServiceConfig) {
	s.config.Store(config)
	s.dispatcher.SetConfig(config)
}

// Dispatcher returns the dispatcher that admits the service's requests.
func (s *Service) Dispatcher() *Dispatcher { return s.dispatcher }

// HandleSlotMessage handles a slot message from another host.
func (s *Service) HandleSlotMessage(m *slots.Message) { s.dispatcher.handleSlotMessage(m) }

// Accept serves a connection of a caller and returns when it is closed.
func (s *Service) Accept(conn *net.TCPConn, caller netip.AddrPort) {
	c := &callerConn{TCPConn: conn, caller: caller, closed: make(chan struct{})}
	if !s.listener.deliver(c) {
		_ = conn.Close()
		return
	}
	<-c.closed
}

// countConn counts the open connections of callers.
func (s *Service) countConn(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.openConns.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.openConns.Add(-1)
	}
}

// Drain waits for the running requests and closes the service. Each open
// connection is closed after its next answer, which announces that, or when it has
// been idle for drainIdleTime: a request may be on its way. Drain returns an error
// if ctx is done before all requests have ended.
func (s *Service) Drain(ctx context.Context) error {
	s.draining.Store(true)
	for end := time.Now().Add(drainIdleTime); ctx.Err() == nil && s.openConns.Load() > 0 && time.Now().Before(end); {
		time.Sleep(drainPollInterval)
	}
	err := s.server.Shutdown(ctx)
	err = errors.Join(err, s.detachedRequests.Wait(ctx))
	s.cancel()
	_ = s.server.Close()
	return err
}

// callerContextKey is the context key of a caller's address.
type callerContextKey struct{}

// callerOf returns the caller's address from the context of a request.
func callerOf(ctx context.Context) netip.AddrPort {
	a, _ := ctx.Value(callerContextKey{}).(netip.AddrPort)
	return a
}

// callerConn is a connection from a caller or, on behalf of a caller, from the
// fabric. It keeps the caller's address.
type callerConn struct {
	*net.TCPConn
	caller    netip.AddrPort
	closeOnce sync.Once
	closed    chan struct{}
}

// RemoteAddr returns the caller's address.
func (c *callerConn) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(c.caller) }

// Close closes the connection and lets Accept return.
func (c *callerConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.TCPConn.Close()
}

// connListener is a net.Listener whose connections are accepted elsewhere and
// passed to deliver.
type connListener struct {
	conns     chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

func newConnListener() *connListener {
	return &connListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// deliver passes a connection to Accept. It returns false if the listener is
// closed.
func (l *connListener) deliver(c net.Conn) bool {
	select {
	case l.conns <- c:
		return true
	case <-l.closed:
		return false
	}
}

// Accept implements net.Listener.
func (l *connListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *connListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *connListener) Addr() net.Addr { return &net.TCPAddr{} }
