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
	// The defaults apply if the settings do not set a limit.
	defaultMaxFlows             = 500_000
	defaultMaxServerPorts       = 512
	defaultMaxCallerConnections = 256
	defaultDrainTimeout         = 30 * time.Second
	// maxWorkers bounds the default number of datagram workers, which is the
	// number of CPUs.
	maxWorkers = 4
	// controlQueueSize bounds the number of functions that wait to run in the
	// control loop.
	controlQueueSize = 1024
	// memberRetention is how long a lost host still counts as a replica of
	// idempotency keys. During a shorter partition, the two sides therefore do
	// not both run the request of a key.
	memberRetention = time.Hour
	// slotsSealerID is the sealer ID of slot messages. The control loop uses 0 and
	// the datagram workers use the IDs from 1.
	slotsSealerID = 255
)

// Host is an entry host. It forwards the traffic of all services and answers
// other hosts and operators.
type Host struct {
	settings *setup.Settings
	id       uint64
	started  time.Time
	log      *zap.Logger
	events   *event.Ring
	metrics  *metrics.Set
	keys     []peer.Key
	store    *store.Client

	peerConn      *net.UDPConn
	peerListener  net.Listener
	adminListener net.Listener
	plane         *dgram.Plane
	ingress       *relay.Ingress
	deduplicator  *httplb.Deduplicator
	serverBind    *net.TCPAddr
	peerClient    *http.Client

	// controlCalls queues functions to run in the control loop.
	controlCalls chan func()
	// control is owned by the control loop.
	control controlState

	// view is the membership that the control loop published last.
	view atomic.Pointer[view]
	// routes holds the services of the configuration in force, as the data path
	// uses them.
	routes atomic.Pointer[routes]

	// slotsMu guards slotsSealer, which seals the slot messages.
	slotsMu     sync.Mutex
	slotsSealer *peer.Sealer

	// foreignHosts lists the hosts of other data centres.
	foreignHosts atomic.Pointer[[]store.Host]
	// platformDown reports whether the last watch of the platform failed, and
	// watching whether this host is one of the watchers of the platform.
	platformDown, watching atomic.Bool
	// alarm is the conf.Alarm, as a string, of the last refused configuration. It
	// is empty if there was none or the platform has offered a valid one since.
	alarm   atomic.Value
	leaving atomic.Bool
	// recordsLost is set if the host restarted, or may have restarted, within the
	// retention window of idempotency keys.
	recordsLost atomic.Bool
	cancel      context.CancelFunc
	group       sync.WaitGroup
	webServers  []*http.Server
}

// controlState is the state of the control loop.
type controlState struct {
	sealer  *peer.Sealer
	memb    *memb.Machine
	gossip  *gossip.Machine
	adopter conf.Adopter
	rng     *rand.Rand
	// generation is the generation of the membership that was published last.
	generation uint64
	// firstSeen holds the time at which each member was first seen, by name.
	firstSeen map[string]time.Time
	// lostAt holds the time at which each dead member was lost, by name.
	lostAt map[string]time.Time
	// quarantinedUntil holds the end of the quarantine of server addresses, by
	// AddressKey.
	quarantinedUntil map[string]time.Time
	// lastOwners holds the service that each server address belonged to last, by
	// AddressKey.
	lastOwners map[string]addressOwner
	// rampStates holds the ramp state of each server, by server ID.
	rampStates map[uint64]*rampState
	// rebuildAt is when the routes are rebuilt next because of ramp windows and
	// quarantines. It is zero if no rebuild is scheduled.
	rebuildAt time.Time
	// adoptedAt is when the configuration in force was adopted.
	adoptedAt time.Time
	// recordsLostUntil is the end of the retention window that began when this
	// process started. The records of the former process, which may be lost, would
	// have expired by then. It is zero afterwards.
	recordsLostUntil time.Time
}

// New returns a host with open sockets. The log may be nil.
func New(settings *setup.Settings, log *zap.Logger) (*Host, error) {
	if log == nil {
		log = zap.NewNop()
	}
	h := &Host{
		settings:     settings,
		id:           rendez.Hash(settings.Name),
		started:      time.Now(),
		log:          log,
		events:       event.NewRing(settings.Name, settings.DataCentre),
		metrics:      metrics.NewSet(),
		keys:         settings.PeerKeys(),
		controlCalls: make(chan func(), controlQueueSize),
		peerClient:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: 30 * time.Second}},
	}
	h.store = store.New(store.Settings{URL: settings.Platform, CallsPerSecond: settings.Limits.PlatformCalls, Metrics: h.metrics})
	h.foreignHosts.Store(&[]store.Host{})
	h.routes.Store(&routes{})
	h.alarm.Store("")
	start := uint64(h.started.UnixNano())
	h.slotsSealer = peer.NewSealer(h.keys[0], h.id, start, slotsSealerID)
	h.control = controlState{
		sealer:    peer.NewSealer(h.keys[0], h.id, start, 0),
		rng:       rand.New(rand.NewPCG(start, h.id)),
		firstSeen: map[string]time.Time{}, lostAt: map[string]time.Time{},
		quarantinedUntil: map[string]time.Time{}, lastOwners: map[string]addressOwner{}, rampStates: map[uint64]*rampState{},
	}
	c := &h.control
	self := memb.Member{Name: settings.Name, Address: settings.Peer, Joining: true, StateLost: true, Incarnation: uint64(h.started.UnixMilli())}
	c.memb = memb.New(self, memb.Settings{Retention: memberRetention}, c.rng)
	c.gossip = gossip.New(h.id, gossip.Settings{}, c.rng)
	c.memb.Seed(0, h.seeds())
	h.view.Store(&view{})
	if err := h.openSockets(); err != nil {
		h.closeSockets()
		return nil, err
	}
	h.deduplicator = httplb.NewDeduplicator(h, start)
	h.recordsLost.Store(true)
	c.recordsLostUntil = h.started.Add(h.deduplicator.Window())
	h.publishView()
	return h, nil
}

// seeds returns the configured peers of this data centre.
func (h *Host) seeds() []memb.Member {
	var out []memb.Member
	for _, p := range h.settings.Peers {
		if p.DataCentre == h.settings.DataCentre {
			out = append(out, memb.Member{Name: p.Name, Address: p.Address})
		}
	}
	return out
}

// openSockets opens every socket of the host.
func (h *Host) openSockets() error {
	var err error
	if h.peerConn, err = listenUDP(h.settings.Peer); err != nil {
		return eris.Wrap(err, "listen for peer datagrams")
	}
	if h.peerListener, err = net.Listen("tcp", h.settings.Peer); err != nil {
		return eris.Wrap(err, "listen for peer requests")
	}
	if h.adminListener, err = net.Listen("tcp", h.settings.Admin); err != nil {
		return eris.Wrap(err, "listen for operator requests")
	}
	var fabric *net.UDPConn
	if h.settings.Ingress.UDP != "" {
		if fabric, err = listenUDP(h.settings.Ingress.UDP); err != nil {
			return eris.Wrap(err, "listen for datagrams of the fabric")
		}
	}
	var fabricTCP *net.TCPListener
	if h.settings.Ingress.TCP != "" {
		l, err := net.Listen("tcp", h.settings.Ingress.TCP)
		if err != nil {
			return eris.Wrap(err, "listen for connections of the fabric")
		}
		fabricTCP = l.(*net.TCPListener)
	}
	bind := netip.Addr{}
	if h.settings.ServerBind != "" {
		bind = netip.MustParseAddr(h.settings.ServerBind)
		h.serverBind = net.TCPAddrFromAddrPort(netip.AddrPortFrom(bind, 0))
	}
	fabricAddress, _ := netip.ParseAddrPort(h.settings.Ingress.Fabric)
	l := h.settings.Limits
	h.plane = dgram.NewPlane(dgram.Settings{
		Self: h.id, Start: uint64(h.started.UnixNano()), Keys: h.keys,
		Workers:  orDefault(l.Workers, min(runtime.NumCPU(), maxWorkers)),
		MaxFlows: orDefault(l.Flows, defaultMaxFlows),
		MaxPorts: orDefault(l.ServerPorts, defaultMaxServerPorts),
		PeerConn: h.peerConn, FabricConn: fabric, FabricAddress: fabricAddress,
		ServerBind: bind, Direct: h.settings.Ingress.Direct,
		HandleControl: h.handleControl, Events: h.events,
	})
	h.ingress = relay.NewIngress(fabricTCP, h.settings.Ingress.Direct, orDefault(l.CallerConnections, defaultMaxCallerConnections))
	return nil
}

// orDefault returns v, or def if v is 0.
func orDefault(v, def int) int {
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

// closeSockets closes the peer and admin sockets if New fails.
func (h *Host) closeSockets() {
	if h.peerConn != nil {
		_ = h.peerConn.Close()
	}
	for _, l := range []net.Listener{h.peerListener, h.adminListener} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// Events returns the events of this host.
func (h *Host) Events() *event.Ring { return h.events }

// Name returns the host's name.
func (h *Host) Name() string { return h.settings.Name }

// Run serves until shutdown is done and then shuts down gracefully: after
// drainDelay it waits until the open flows, connections and requests have ended or
// the drain timeout of the settings has passed. When abort is done, Run stops
// without waiting.
func (h *Host) Run(shutdown, abort context.Context) error {
	runCtx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	defer cancel()
	h.events.Add(event.Event{Kind: event.Started})
	h.log.Info("host: started", zap.String("name", h.settings.Name), zap.String("dataCentre", h.settings.DataCentre))
	h.startServers()
	for _, loop := range []func(context.Context){h.controlLoop, h.plane.Run, h.watchLoop, h.startedKeyLoop, h.hostListLoop} {
		h.group.Add(1)
		go func() {
			defer h.group.Done()
			loop(runCtx)
		}()
	}
	select {
	case <-shutdown.Done():
		h.drain(abort)
	case <-abort.Done():
	}
	h.stop()
	return nil
}

// stop announces that the host left and stops without draining.
func (h *Host) stop() {
	h.announceLeft()
	h.events.Add(event.Event{Kind: event.Stopped})
	h.log.Info("host: stopped", zap.String("name", h.settings.Name))
	h.cancel()
	h.ingress.Close()
	for _, s := range h.webServers {
		_ = s.Close()
	}
	for _, s := range h.routes.Load().http {
		canceled, cancel := context.WithCancel(context.Background())
		cancel()
		_ = s.Drain(canceled)
	}
	for _, s := range h.routes.Load().tcp {
		canceled, cancel := context.WithCancel(context.Background())
		cancel()
		s.Drain(canceled)
	}
	h.store.Close()
	h.group.Wait()
}

// Kill stops the host as a crash would: it sends nothing to other hosts.
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

// drain marks the host as leaving, waits until the open flows, connections and
// requests have ended, at most for the drain timeout, and hands over the records
// of idempotency keys.
func (h *Host) drain(abort context.Context) {
	timeout := h.settings.Limits.Drain.Or(defaultDrainTimeout)
	ctx, cancel := context.WithTimeout(abort, timeout)
	defer cancel()
	h.leaving.Store(true)
	h.events.Add(event.Event{Kind: event.Stopping, Cause: fmt.Sprintf("graceful, at most %v", timeout)})
	h.callControl(func() {
		h.control.memb.StartLeaving()
		h.publishView()
	})
	// Keep accepting until the fabric has detected that the host is not ready.
	sleep(ctx, drainDelay)
	for ctx.Err() == nil && !h.ingress.Quiet() {
		sleep(ctx, drainPollInterval)
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
		sleep(ctx, drainPollInterval)
	}
	group.Wait()
	h.handOverRecords(ctx)
	h.events.Add(event.Event{Kind: event.Drained, Cause: fmt.Sprintf("%d flows left", h.plane.PinnedFlows())})
}

const (
	// drainDelay is how long a leaving host still accepts traffic as before, which
	// gives the fabric and the peers time to detect that it is leaving.
	drainDelay = 1500 * time.Millisecond
	// drainPollInterval is the interval at which a leaving host checks whether
	// its flows and connections have ended.
	drainPollInterval = 100 * time.Millisecond
)

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// callControl runs f in the control loop and waits until it has returned. It
// stops waiting after controlCallTimeout; f may then run later or never.
func (h *Host) callControl(f func()) {
	done := make(chan struct{})
	select {
	case h.controlCalls <- func() { f(); close(done) }:
	case <-time.After(controlCallTimeout):
		return
	}
	select {
	case <-done:
	case <-time.After(controlCallTimeout):
	}
}

// controlCallTimeout bounds the wait for a place in the queue of the control
// loop, and then the wait for the call to return.
const controlCallTimeout = 2 * time.Second

// postControl queues f to run in the control loop and does not wait. It drops f
// if the queue is full.
func (h *Host) postControl(f func()) {
	select {
	case h.controlCalls <- f:
	default:
	}
}

// ActiveHosts returns the number of active hosts in this host's view, including
// itself.
func (h *Host) ActiveHosts() int { return len(h.view.Load().flow.Active) }

// PinnedFlows returns the number of datagram flows that this host has pinned.
func (h *Host) PinnedFlows() int { return h.plane.PinnedFlows() }
