package host

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"lagoonramp.org/lagoonramp/internal/dgram"
	"lagoonramp.org/lagoonramp/internal/event"
	"lagoonramp.org/lagoonramp/internal/httplb"
	"lagoonramp.org/lagoonramp/internal/peer"
	"lagoonramp.org/lagoonramp/internal/relay"
	"lagoonramp.org/lagoonramp/internal/setup"
	"lagoonramp.org/lagoonramp/pkg/conf"
	"lagoonramp.org/lagoonramp/pkg/gossip"
	"lagoonramp.org/lagoonramp/pkg/memb"
	"lagoonramp.org/lagoonramp/pkg/rendez"
	"lagoonramp.org/lagoonramp/pkg/store"
)

const (
	defaultFlows       = 500_000
	defaultPorts       = 512
	defaultCallerConns = 256
	defaultDrain       = 30 * time.Second
	maxWorkers         = 4
	// controlQueue bounds what waits for the control loop.
	controlQueue = 1024
	// rememberKeys is how long a lost host still counts in the groups of keys,
	// so that a long cut does not let both sides run one.
	rememberKeys = time.Hour
	// slotsLane is the sealer lane of slot messages; lane 0 is the control
	// loop's.
	slotsLane = 255
)

// Host is one entry host.
type Host struct {
	set     *setup.Settings
	id      uint64
	started time.Time
	log     *zap.Logger
	events  *event.Ring
	metrics *metrics.Set
	keys    []peer.Key
	store   *store.Client

	peerConn *net.UDPConn
	peerWeb  net.Listener
	adminWeb net.Listener
	plane    *dgram.Plane
	ingress  *relay.Ingress
	once     *httplb.Deduplicator
	bind     *net.TCPAddr
	client   *http.Client

	// do hands work to the control loop.
	do chan func()
	// The control loop owns these.
	control controlState

	// view is what the control loop last published.
	view atomic.Pointer[view]
	// routes is the configuration in force as the traffic sees it.
	routes atomic.Pointer[routes]

	slotsMu     sync.Mutex
	slotsSealer *peer.Sealer

	foreign atomic.Pointer[[]store.Host]
	// platformDown, watching and alarm describe the way to the platform.
	platformDown, watching atomic.Bool
	alarm                  atomic.Value
	leaving                atomic.Bool
	// forgot tells that the host was restarted within the window of keys.
	forgot     atomic.Bool
	cancel     context.CancelFunc
	group      sync.WaitGroup
	webServers []*http.Server
}

// controlState belongs to the control loop.
type controlState struct {
	sealer     *peer.Sealer
	memb       *memb.Machine
	spread     *gossip.Machine
	adopter    conf.Adopter
	rng        *rand.Rand
	generation uint64
	// seen holds when each member was first seen.
	seen map[string]time.Time
	// lost holds when members died.
	lost map[string]time.Time
	// quarantine holds until when a server address rests, by AddressKey.
	quarantine map[string]time.Time
	// owners holds which service had each server address last, by AddressKey.
	owners    map[string]owner
	ramps     map[uint64]*rampState
	rebuildAt time.Time
	adoptedAt time.Time
	// forgotUntil is when the loss of the former process's memory is over.
	forgotUntil time.Time
}

// New opens the host's sockets. The log may be nil.
func New(set *setup.Settings, log *zap.Logger) (*Host, error) {
	if log == nil {
		log = zap.NewNop()
	}
	h := &Host{
		set:     set,
		id:      rendez.Hash(set.Name),
		started: time.Now(),
		log:     log,
		events:  event.NewRing(set.Name, set.DataCentre),
		metrics: metrics.NewSet(),
		keys:    set.PeerKeys(),
		do:      make(chan func(), controlQueue),
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: 30 * time.Second}},
	}
	h.store = store.New(store.Settings{URL: set.Platform, CallsPerSecond: set.Limits.PlatformCalls, Metrics: h.metrics})
	h.foreign.Store(&[]store.Host{})
	h.routes.Store(&routes{})
	h.alarm.Store("")
	start := uint64(h.started.UnixNano())
	h.slotsSealer = peer.NewSealer(h.keys[0], h.id, start, slotsLane)
	h.control = controlState{
		sealer: peer.NewSealer(h.keys[0], h.id, start, 0),
		rng:    rand.New(rand.NewPCG(start, h.id)),
		seen:   map[string]time.Time{}, lost: map[string]time.Time{},
		quarantine: map[string]time.Time{}, owners: map[string]owner{}, ramps: map[uint64]*rampState{},
	}
	c := &h.control
	self := memb.Member{Name: set.Name, Address: set.Peer, Joining: true, StateLost: true, Incarnation: uint64(h.started.UnixMilli())}
	c.memb = memb.New(self, memb.Settings{Retention: rememberKeys}, c.rng)
	c.spread = gossip.New(h.id, gossip.Settings{}, c.rng)
	c.memb.Seed(0, h.seeds())
	h.view.Store(&view{})
	if err := h.openSockets(); err != nil {
		h.closeSockets()
		return nil, err
	}
	h.once = httplb.NewDeduplicator(h, start)
	h.forgot.Store(true)
	c.forgotUntil = h.started.Add(h.once.Window())
	h.publish()
	return h, nil
}

// seeds returns the settings' peers of this data centre.
func (h *Host) seeds() []memb.Member {
	var out []memb.Member
	for _, p := range h.set.Peers {
		if p.DataCentre == h.set.DataCentre {
			out = append(out, memb.Member{Name: p.Name, Address: p.Address})
		}
	}
	return out
}

// openSockets opens every socket of the host.
func (h *Host) openSockets() error {
	var err error
	if h.peerConn, err = listenUDP(h.set.Peer); err != nil {
		return eris.Wrap(err, "listen for peers' datagrams")
	}
	if h.peerWeb, err = net.Listen("tcp", h.set.Peer); err != nil {
		return eris.Wrap(err, "listen for peers' requests")
	}
	if h.adminWeb, err = net.Listen("tcp", h.set.Admin); err != nil {
		return eris.Wrap(err, "listen for operators")
	}
	var fabric *net.UDPConn
	if h.set.Ingress.UDP != "" {
		if fabric, err = listenUDP(h.set.Ingress.UDP); err != nil {
			return eris.Wrap(err, "listen for the fabric's datagrams")
		}
	}
	var fabricTCP *net.TCPListener
	if h.set.Ingress.TCP != "" {
		l, err := net.Listen("tcp", h.set.Ingress.TCP)
		if err != nil {
			return eris.Wrap(err, "listen for the fabric's connections")
		}
		fabricTCP = l.(*net.TCPListener)
	}
	bind := netip.Addr{}
	if h.set.ServerBind != "" {
		bind = netip.MustParseAddr(h.set.ServerBind)
		h.bind = net.TCPAddrFromAddrPort(netip.AddrPortFrom(bind, 0))
	}
	fabricAddress, _ := netip.ParseAddrPort(h.set.Ingress.Fabric)
	l := h.set.Limits
	h.plane = dgram.NewPlane(dgram.Settings{
		Self: h.id, Start: uint64(h.started.UnixNano()), Keys: h.keys,
		Workers:  or(l.Workers, min(runtime.NumCPU(), maxWorkers)),
		MaxFlows: or(l.Flows, defaultFlows),
		MaxPorts: or(l.ServerPorts, defaultPorts),
		PeerConn: h.peerConn, FabricConn: fabric, FabricAddress: fabricAddress,
		ServerBind: bind, Direct: h.set.Ingress.Direct,
		HandleControl: h.fromPeer, Events: h.events,
	})
	h.ingress = relay.NewIngress(fabricTCP, h.set.Ingress.Direct, or(l.CallerConnections, defaultCallerConns))
	return nil
}

func or(v, def int) int {
	if v == 0 {
		return def
	}
	return v
}

func listenUDP(address string) (*net.UDPConn, error) {
	a, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	return net.ListenUDP("udp", a)
}

// closeSockets closes what New opened before it failed.
func (h *Host) closeSockets() {
	if h.peerConn != nil {
		_ = h.peerConn.Close()
	}
	for _, l := range []net.Listener{h.peerWeb, h.adminWeb} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// Events returns the host's time line.
func (h *Host) Events() *event.Ring { return h.events }

// Name returns the host's name.
func (h *Host) Name() string { return h.set.Name }

// Run serves until the context ends, then shuts down gracefully: it takes no
// new flows, lets what it holds end, within the limit of the settings, and
// returns. A second context, hard, ends the wait early.
func (h *Host) Run(ctx, hard context.Context) error {
	run, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	defer cancel()
	h.events.Add(event.Event{Kind: event.Started})
	h.log.Info("host: started", zap.String("name", h.set.Name), zap.String("dataCentre", h.set.DataCentre))
	h.serveWeb()
	for _, loop := range []func(context.Context){h.controlLoop, h.plane.Run, h.watchLoop, h.markLoop, h.seedLoop} {
		h.group.Add(1)
		go func() {
			defer h.group.Done()
			loop(run)
		}()
	}
	select {
	case <-ctx.Done():
		h.drain(hard)
	case <-hard.Done():
	}
	h.stop()
	return nil
}

// stop ends everything at once.
func (h *Host) stop() {
	h.goodbye()
	h.events.Add(event.Event{Kind: event.Stopped})
	h.log.Info("host: stopped", zap.String("name", h.set.Name))
	h.cancel()
	h.ingress.Close()
	for _, s := range h.webServers {
		_ = s.Close()
	}
	for _, s := range h.routes.Load().http {
		now, cancel := context.WithCancel(context.Background())
		cancel()
		_ = s.Drain(now)
	}
	for _, s := range h.routes.Load().tcp {
		now, cancel := context.WithCancel(context.Background())
		cancel()
		s.Drain(now)
	}
	h.store.Close()
	h.group.Wait()
}

// Kill ends the host as a crash would: nobody is told.
func (h *Host) Kill() {
	h.cancel()
	_ = h.peerConn.Close()
	h.ingress.Close()
	for _, s := range h.webServers {
		_ = s.Close()
	}
	h.routes.Load().abort()
	h.store.Close()
}

// drain lets flows, connections and requests end.
func (h *Host) drain(hard context.Context) {
	limit := h.set.Limits.Drain.Or(defaultDrain)
	ctx, cancel := context.WithTimeout(hard, limit)
	defer cancel()
	h.leaving.Store(true)
	h.events.Add(event.Event{Kind: event.Stopping, Cause: fmt.Sprintf("graceful, at most %v", limit)})
	h.call(func() {
		h.control.memb.StartLeaving()
		h.publish()
	})
	// The fabric needs a moment to see that the host is not ready any more.
	pause(ctx, leaveGrace)
	for ctx.Err() == nil && !h.ingress.Quiet() {
		pause(ctx, drainPoll)
	}
	var group sync.WaitGroup
	r := h.routes.Load()
	for _, s := range r.http {
		group.Add(1)
		go func() {
			defer group.Done()
			_ = s.Drain(ctx)
		}()
	}
	for _, s := range r.tcp {
		group.Add(1)
		go func() {
			defer group.Done()
			s.Drain(ctx)
		}()
	}
	for ctx.Err() == nil && h.plane.PinnedFlows() > 0 {
		pause(ctx, drainPoll)
	}
	group.Wait()
	h.handover(ctx)
	h.events.Add(event.Event{Kind: event.Drained, Cause: fmt.Sprintf("%d flows left", h.plane.PinnedFlows())})
}

const (
	// leaveGrace is how long a leaving host goes on as before, so that the
	// fabric and peers notice.
	leaveGrace = 1500 * time.Millisecond
	drainPoll  = 100 * time.Millisecond
)

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// call runs f in the control loop and waits for it.
func (h *Host) call(f func()) {
	done := make(chan struct{})
	select {
	case h.do <- func() { f(); close(done) }:
	case <-time.After(callTimeout):
		return
	}
	select {
	case <-done:
	case <-time.After(callTimeout):
	}
}

// callTimeout bounds the wait for the control loop.
const callTimeout = 2 * time.Second

// post runs f in the control loop soon. It drops f if too much waits.
func (h *Host) post(f func()) {
	select {
	case h.do <- f:
	default:
	}
}

// Active returns how many active hosts this one sees, itself included.
func (h *Host) ActiveHosts() int { return len(h.view.Load().flow.Active) }

// Held returns how many datagram flows the host holds.
func (h *Host) PinnedFlows() int { return h.plane.PinnedFlows() }
