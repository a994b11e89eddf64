package marked

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"lagoonramp.org/lagoonramp/internal/event"
	"lagoonramp.org/lagoonramp/pkg/drain"
	"lagoonramp.org/lagoonramp/pkg/fleet"
	"lagoonramp.org/lagoonramp/pkg/mirror"
	"lagoonramp.org/lagoonramp/pkg/steer"
)

// Settings of a Host.
type Settings struct {
	Name       string
	DataCentre string
	// Packets takes the callers' packets.
	PacketAddress netip.AddrPort
	// Ready takes the routers' readiness checks.
	ReadinessAddress netip.AddrPort
	// Peer takes the requests of other hosts.
	PeerAddress netip.AddrPort
	// Admin takes the requests of operators, as IP:port; empty for none.
	AdminAddress string
	// Seeds are hosts to ask before the store names others.
	Seeds []netip.AddrPort
	// FlowLifetime is how long a flow may last.
	FlowLifetime time.Duration
	// Grace is how long the process has after it was told to stop.
	ShutdownTimeout time.Duration

	// LinesDropped returns how many lines of the log were dropped.
	DroppedLogLines func() uint64

	Codec   Codec
	Store   Store
	Decoder Decoder
	// ReadinessHandler answers the readiness checks.
	ReadinessHandler func(ready func() bool) http.Handler
}

const (
	// leaveFor is how long a leaving host forwards at least after it said that
	// it is not ready: the routers need two checks, half a second apart, to turn
	// away.
	leaveFor = 1200 * time.Millisecond
	// quietFor ends a graceful shutdown when no packet came for so long.
	quietFor = 400 * time.Millisecond
	// stopMargin is left of the grace for the end of the process.
	stopMargin = time.Second
	// turnStep is how often a host that was asked to stop looks whether it may
	// leave.
	turnStep = 50 * time.Millisecond
	// peerIdle is how long an unused connection to a peer is kept.
	peerIdle = 5 * time.Second
	// controlQueue bounds what waits for the control loop.
	controlQueue = 256
)

// Host is one entry host.
type Host struct {
	set     *Settings
	log     *zap.Logger
	events  *event.Ring
	client  *http.Client
	started time.Time
	clock   *clock
	traffic *traffic
	// published is what the traffic loop forwards by.
	published atomic.Pointer[published]
	// do hands work to the control loop.
	do       chan func(*control)
	ready    net.Listener
	peerWeb  net.Listener
	adminWeb net.Listener
	peerConn *net.UDPConn
	// revision is that of the control loop's replica.
	revision atomic.Uint64
	// whole asks the watch loop to read the whole state.
	whole atomic.Bool
	// lapsing tells that servers' entries vanished and may come back.
	lapsing atomic.Bool
	// watch tells that it is this host's turn to watch the store, and served
	// that the store served its latest call.
	watch, served, storeAway atomic.Bool
	leaving                  atomic.Bool
	// readyAt and askedAt are when the host became ready and when it was asked
	// to stop; 0 before.
	readyAt, askedAt atomic.Int64
	// turn wakes the watch loop when it is this host's turn.
	turn chan struct{}

	storeCalls, storeErrors, fetches, digestsSent atomic.Uint64

	// viewed is closed when the host has a view for callers.
	viewed chan struct{}
	// stopped is closed when the control loop ends.
	stopped chan struct{}
}

// New opens the host's sockets.
func New(set *Settings, log *zap.Logger) (*Host, error) {
	h := &Host{
		set: set, log: log, started: time.Now(), clock: newClock(), events: event.NewRing(set.Name, set.DataCentre),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: peerIdle}},
		do:     make(chan func(*control), controlQueue), viewed: make(chan struct{}), stopped: make(chan struct{}), turn: make(chan struct{}, 1),
	}
	if err := h.openSockets(); err != nil {
		h.closeSockets()
		return nil, err
	}
	return h, nil
}

// openSockets opens every socket, that of the callers' packets first: packets
// wait in it until the host knows a view.
func (h *Host) openSockets() error {
	var err error
	if h.traffic, err = newTraffic(h.set, h.clock, &h.published, newDecisionLog(h.log)); err != nil {
		return err
	}
	if h.ready, err = net.Listen("tcp4", h.set.ReadinessAddress.String()); err != nil {
		return eris.Wrap(err, "listen for readiness checks")
	}
	if h.peerWeb, err = net.Listen("tcp4", h.set.PeerAddress.String()); err != nil {
		return eris.Wrap(err, "listen for peers' requests")
	}
	if h.peerConn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(h.set.PeerAddress)); err != nil {
		return eris.Wrap(err, "listen for peers' datagrams")
	}
	if h.set.AdminAddress == "" {
		return nil
	}
	h.adminWeb, err = net.Listen("tcp4", h.set.AdminAddress)
	return eris.Wrap(err, "listen for operators")
}

// closeSockets closes what is open.
func (h *Host) closeSockets() {
	if h.traffic != nil {
		_ = h.traffic.conn.Close()
	}
	if h.peerConn != nil {
		_ = h.peerConn.Close()
	}
	for _, l := range []net.Listener{h.ready, h.peerWeb, h.adminWeb} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// call runs f in the control loop and waits for it.
func (h *Host) call(f func(c *control)) {
	done := make(chan struct{})
	h.post(func(c *control) {
		f(c)
		close(done)
	})
	select {
	case <-done:
	case <-h.stopped:
	}
}

// post runs f in the control loop soon.
func (h *Host) post(f func(c *control)) {
	select {
	case h.do <- f:
	case <-h.stopped:
	}
}

func (h *Host) now() time.Duration { return h.clock.now() }

// isReady reports whether callers' flows may come here.
func (h *Host) isReady() bool {
	p := h.published.Load()
	return p != nil && p.view.DocumentVersion > 0 && !h.leaving.Load()
}

// Run serves until the context ends, then shuts down gracefully. A second
// context, hard, ends it at once.
func (h *Host) Run(ctx, hard context.Context) error {
	run, cancel := context.WithCancel(context.Background())
	defer cancel()
	h.events.Add(event.Event{Kind: event.Started})
	h.log.Info("entry: started", zap.String("name", h.set.Name), zap.String("dataCentre", h.set.DataCentre))
	c := &control{
		host: h, replica: mirror.New(mirror.Settings{}), decoded: map[string]decodedServer{},
		builder: fleet.NewBuilder(fleet.Settings{FlowLifetime: h.set.FlowLifetime}),
	}
	c.peers = newPeers(h, h.peerConn)
	h.traffic.tell = func(pins []steer.Pin) {
		select {
		case h.do <- func(c *control) { c.peers.pins = append(c.peers.pins, pins...) }:
		default:
			h.log.Warn("traffic: the control loop is busy, pins of flows were not told", zap.Int("flows", len(pins)))
		}
	}
	h.watch.Store(true)
	servers := map[net.Listener]*http.Server{
		h.ready:   {Handler: h.set.ReadinessHandler(h.isReady)},
		h.peerWeb: {Handler: h.peerHandler()},
	}
	if h.adminWeb != nil {
		servers[h.adminWeb] = &http.Server{Handler: h.adminHandler()}
	}
	var group sync.WaitGroup
	group.Go(func() {
		defer close(h.stopped)
		c.loop(run)
	})
	group.Go(c.peers.readLoop)
	group.Go(func() { h.watchLoop(run) })
	group.Go(func() { h.traffic.loop(h.viewed) })
	for l, server := range servers {
		group.Go(func() {
			if err := server.Serve(l); err != http.ErrServerClosed {
				h.log.Error("entry: requests are not answered any more", zap.Stringer("address", l.Addr()), zap.Error(err))
			}
		})
	}
	select {
	case <-ctx.Done():
		h.leave(hard)
	case <-hard.Done():
	}
	cancel()
	for _, s := range servers {
		_ = s.Close()
	}
	h.closeSockets()
	h.set.Store.Close()
	group.Wait()
	h.events.Add(event.Event{Kind: event.Stopped})
	h.log.Info("entry: stopped", zap.String("name", h.set.Name))
	return nil
}

// standing returns what the host says of itself to its data centre.
func (h *Host) standing(now time.Duration) drain.Report {
	var r drain.Report
	if at := time.Duration(h.readyAt.Load()); at > 0 && h.isReady() {
		r.ReadyFor = max(1, now-at)
	}
	if at := time.Duration(h.askedAt.Load()); at > 0 {
		r.SinceStopRequest = max(1, now-at)
	}
	return r
}

// leave waits until enough other hosts are ready, then goes on forwarding until
// the routers have turned away.
func (h *Host) leave(hard context.Context) {
	asked := h.now()
	h.askedAt.Store(int64(asked))
	h.events.Add(event.Event{Kind: event.Stopping, Cause: "asked to stop"})
	h.log.Info("entry: asked to stop")
	h.call(func(c *control) { c.peers.tellCentre(h.now(), c) })
	for hard.Err() == nil && !h.mayLeave(asked) {
		pause(hard, turnStep)
	}
	h.leaving.Store(true)
	h.traffic.leaving.Store(true)
	h.traffic.wanted.Store(true)
	h.call(func(c *control) { c.peers.tellCentre(h.now(), c) })
	h.log.Info("entry: leaving, not ready any more", zap.Duration("waited", h.now()-asked))
	pause(hard, leaveFor)
	end := asked + h.set.ShutdownTimeout - stopMargin
	for hard.Err() == nil && h.now() < end && h.now()-time.Duration(h.traffic.lastAt.Load()) < quietFor {
		pause(hard, quietFor/4)
	}
}

// mayLeave reports whether it is this host's turn to say that it is not ready.
func (h *Host) mayLeave(asked time.Duration) bool {
	may := true // If the control loop has ended.
	h.call(func(c *control) { may = c.peers.queue.MayBecomeUnready(h.now(), asked) })
	return may
}

// Servers returns how many servers the host has for new flows.
func (h *Host) UsableServerCount() int {
	n := 0
	if p := h.published.Load(); p != nil {
		for _, s := range p.view.Usable {
			n += len(s)
		}
	}
	return n
}

// Version returns the version of the operators' document in force, 0 for none.
func (h *Host) DocumentVersion() uint64 {
	if p := h.published.Load(); p != nil {
		return p.view.DocumentVersion
	}
	return 0
}

// Revision returns the store's revision up to which the host knows all
// changes.
func (h *Host) StoreRevision() uint64 { return h.revision.Load() }
