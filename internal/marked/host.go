package marked

import (
	"context"
	"math"
	"math/rand/v2"
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
	"lagoonramp.org/lagoonramp/pkg/warmup"
)

// Settings holds the parameters of a Host.
type Settings struct {
	Name       string
	DataCentre string
	// PacketAddress is the address that receives the callers' packets.
	PacketAddress netip.AddrPort
	// ReadinessAddress is the address of the routers' readiness checks.
	ReadinessAddress netip.AddrPort
	// PeerAddress is the address of other hosts' requests and datagrams. It
	// identifies the host among its peers.
	PeerAddress netip.AddrPort
	// AdminAddress is the IP:port of operators' requests; if empty, none are
	// served.
	AdminAddress string
	// Seeds are the addresses of peers that are known at the start, before the
	// store names others.
	Seeds []netip.AddrPort
	// FlowLifetime is the maximum duration of a flow.
	FlowLifetime time.Duration
	// ShutdownTimeout is the maximum duration of a graceful shutdown, from the
	// request to stop to the end of the process.
	ShutdownTimeout time.Duration
	// LinkRate is the rate in bytes per second of the link on which the host
	// forwards packets, 0 for no limit.
	LinkRate float64

	// Warmup bounds the new flows of cold servers.
	Warmup warmup.Settings

	// DroppedLogLines returns the number of log lines that were dropped.
	DroppedLogLines func() uint64

	Codec   Codec
	Store   Store
	Decoder Decoder
	// ReadinessHandler returns the handler of readiness checks.
	ReadinessHandler func(ready func() bool) http.Handler
}

const (
	// minDrainTime is the minimum time that a stopping host continues to forward
	// after it reported that it is not ready: routers need two checks, half a
	// second apart, to stop sending packets to it.
	minDrainTime = 1200 * time.Millisecond
	// drainIdleTime is the time without packets after which draining ends.
	drainIdleTime = 400 * time.Millisecond
	// shutdownMargin is the part of Settings.ShutdownTimeout that is reserved
	// for the end of the process after draining.
	shutdownMargin = time.Second
	// unreadyPollInterval is the interval at which a host that was asked to stop
	// checks whether it may report that it is not ready.
	unreadyPollInterval = 50 * time.Millisecond
	// peerIdleTimeout is the time after which an idle connection to a peer is
	// closed.
	peerIdleTimeout = 5 * time.Second
	// controlQueueLength is the maximum number of tasks queued for the control
	// loop.
	controlQueueLength = 256
)

// Host is a host that forwards the packets of marked flows.
type Host struct {
	settings *Settings
	log      *zap.Logger
	// sampledLog is rate limited, for messages that other hosts can cause at any
	// rate.
	sampledLog *zap.Logger
	events     *event.Ring
	client     *http.Client
	started    time.Time
	// instance identifies this process among those of the same host. It is
	// positive.
	instance uint64
	clock    *clock
	traffic  *traffic
	// published is the view that the traffic loop uses, nil before the first.
	published atomic.Pointer[publishedView]
	// controlTasks queues functions for the control loop.
	controlTasks      chan func(*control)
	readinessListener net.Listener
	peerListener      net.Listener
	adminListener     net.Listener
	peerConn          *net.UDPConn
	// storeVersion is the version of the control loop's replica, nil before its first
	// snapshot, and keptItems the number of items of earlier eras that are in force.
	storeVersion atomic.Pointer[mirror.Version]
	keptItems    atomic.Uint64
	// needsSnapshot makes the watch loop read a snapshot instead of changes.
	needsSnapshot atomic.Bool
	// shortWatch makes the watch loop use shortWatchWait. It is set while the
	// view may change without a change in the store, for example because entries
	// of servers expired and may be written again.
	shortWatch atomic.Bool
	// shouldWatch is set while this host is to watch the store. served is set
	// if it does and the store served the latest call. storeUnavailable is set
	// from a failed call of the store to the next successful one.
	shouldWatch, served, storeUnavailable atomic.Bool
	leaving                               atomic.Bool
	// readyAt and stopRequestedAt are the times at which the host became ready
	// and was asked to stop, or 0.
	readyAt, stopRequestedAt atomic.Int64
	// watchWake wakes the watch loop when shouldWatch is set.
	watchWake chan struct{}

	storeCalls, storeErrors, snapshotReads, fetches, digestsSent, malformedMessages atomic.Uint64

	// firstView is closed when the host has a view with an operators' document.
	firstView chan struct{}
	// controlStopped is closed when the control loop ends.
	controlStopped chan struct{}
}

// New opens the host's sockets.
func New(settings *Settings, log *zap.Logger) (*Host, error) {
	h := &Host{
		settings: settings, log: log, sampledLog: newSampledLogger(log, unusualLinesPerSecond), started: time.Now(), instance: 1 + rand.Uint64N(math.MaxUint64), clock: newClock(), events: event.NewRing(settings.Name, settings.DataCentre),
		client:       &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: peerIdleTimeout}},
		controlTasks: make(chan func(*control), controlQueueLength), firstView: make(chan struct{}), controlStopped: make(chan struct{}), watchWake: make(chan struct{}, 1),
	}
	if err := h.openSockets(); err != nil {
		h.closeSockets()
		return nil, err
	}
	return h, nil
}

// openSockets opens all sockets. It opens that of the callers' packets first,
// since packets queue in it until the host has a view.
func (h *Host) openSockets() error {
	var err error
	if h.traffic, err = newTraffic(h.settings, h.clock, &h.published, newDecisionLog(h.log)); err != nil {
		return err
	}
	if h.readinessListener, err = net.Listen("tcp4", h.settings.ReadinessAddress.String()); err != nil {
		return eris.Wrap(err, "listen for readiness checks")
	}
	if h.peerListener, err = net.Listen("tcp4", h.settings.PeerAddress.String()); err != nil {
		return eris.Wrap(err, "listen for peers' requests")
	}
	if h.peerConn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(h.settings.PeerAddress)); err != nil {
		return eris.Wrap(err, "listen for peers' datagrams")
	}
	if h.settings.AdminAddress == "" {
		return nil
	}
	h.adminListener, err = net.Listen("tcp4", h.settings.AdminAddress)
	return eris.Wrap(err, "listen for admin requests")
}

// closeSockets closes the sockets that are open.
func (h *Host) closeSockets() {
	if h.traffic != nil {
		_ = h.traffic.conn.Close()
	}
	if h.peerConn != nil {
		_ = h.peerConn.Close()
	}
	for _, l := range []net.Listener{h.readinessListener, h.peerListener, h.adminListener} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// callControl runs f in the control loop and waits for it to return. It also
// returns if the control loop ends.
func (h *Host) callControl(f func(c *control)) {
	done := make(chan struct{})
	h.postToControl(func(c *control) {
		f(c)
		close(done)
	})
	select {
	case <-done:
	case <-h.controlStopped:
	}
}

// postToControl queues f for the control loop. It blocks while the queue is
// full.
func (h *Host) postToControl(f func(c *control)) {
	select {
	case h.controlTasks <- f:
	case <-h.controlStopped:
	}
}

func (h *Host) now() time.Duration { return h.clock.now() }

// isReady reports whether routers may send new flows to this host.
func (h *Host) isReady() bool {
	p := h.published.Load()
	return p != nil && p.view.DocumentVersion > 0 && !h.leaving.Load()
}

// Run serves until the context shutdown is cancelled and then shuts down
// gracefully. It stops at once when the context abort is cancelled.
func (h *Host) Run(shutdown, abort context.Context) error {
	run, cancel := context.WithCancel(context.Background())
	defer cancel()
	h.events.Add(event.Event{Kind: event.Started})
	h.log.Info("entry: started", zap.String("name", h.settings.Name), zap.String("dataCentre", h.settings.DataCentre))
	c := &control{
		host: h, replica: mirror.New(mirror.Settings{Precedence: h.settings.Decoder}), decoded: map[string]decodedServer{},
		builder: fleet.NewBuilder(fleet.Settings{FlowLifetime: h.settings.FlowLifetime}),
	}
	c.peers = newPeers(h, h.peerConn)
	h.connectPins()
	h.shouldWatch.Store(true)
	servers := map[net.Listener]*http.Server{
		h.readinessListener: {Handler: h.settings.ReadinessHandler(h.isReady)},
		h.peerListener:      {Handler: h.peerHandler()},
	}
	if h.adminListener != nil {
		servers[h.adminListener] = &http.Server{Handler: h.adminHandler()}
	}
	var group sync.WaitGroup
	group.Go(func() {
		defer close(h.controlStopped)
		c.loop(run)
	})
	group.Go(c.peers.readLoop)
	group.Go(func() { h.watchLoop(run) })
	group.Go(func() { h.traffic.loop(h.firstView, run.Done()) })
	for l, server := range servers {
		group.Go(func() {
			if err := server.Serve(l); err != http.ErrServerClosed {
				h.log.Error("entry: HTTP server failed", zap.Stringer("address", l.Addr()), zap.Error(err))
			}
		})
	}
	select {
	case <-shutdown.Done():
		h.drain(abort)
	case <-abort.Done():
	}
	cancel()
	for _, s := range servers {
		_ = s.Close()
	}
	h.closeSockets()
	h.settings.Store.Close()
	group.Wait()
	h.events.Add(event.Event{Kind: event.Stopped})
	h.log.Info("entry: stopped", zap.String("name", h.settings.Name))
	return nil
}

// readinessReport returns the report on this host for the other hosts of its
// data centre.
func (h *Host) readinessReport(now time.Duration) drain.Report {
	var r drain.Report
	if at := time.Duration(h.readyAt.Load()); at > 0 && h.isReady() {
		r.ReadyFor = max(1, now-at)
	}
	if at := time.Duration(h.stopRequestedAt.Load()); at > 0 {
		r.SinceStopRequest = max(1, now-at)
	}
	return r
}

// drain waits until enough other hosts are ready, reports that this host is not
// ready, and then lets it forward until routers send no more packets, the
// shutdown timeout is about to expire or abort is cancelled.
func (h *Host) drain(abort context.Context) {
	stopRequestedAt := h.now()
	h.stopRequestedAt.Store(int64(stopRequestedAt))
	h.events.Add(event.Event{Kind: event.Stopping, Cause: "asked to stop"})
	h.log.Info("entry: asked to stop")
	h.callControl(func(c *control) { c.peers.notifyReadiness(h.now(), c) })
	for abort.Err() == nil && !h.mayBecomeUnready(stopRequestedAt) {
		sleep(abort, unreadyPollInterval)
	}
	h.leaving.Store(true)
	h.traffic.leaving.Store(true)
	h.callControl(func(c *control) {
		c.peers.handOverOnStop(h.now())
		c.peers.notifyReadiness(h.now(), c)
	})
	h.log.Info("entry: leaving, not ready any more", zap.Duration("waited", h.now()-stopRequestedAt))
	sleep(abort, minDrainTime)
	end := stopRequestedAt + h.settings.ShutdownTimeout - shutdownMargin
	for abort.Err() == nil && h.now() < end && h.now()-time.Duration(h.traffic.lastBatchAt.Load()) < drainIdleTime {
		sleep(abort, drainIdleTime/4)
	}
}

// mayBecomeUnready reports whether this host, which was asked to stop at
// stopRequestedAt, may report that it is not ready.
func (h *Host) mayBecomeUnready(stopRequestedAt time.Duration) bool {
	allowed := true // Kept if the control loop has ended.
	h.callControl(func(c *control) { allowed = c.peers.coordinator.MayBecomeUnready(h.now(), stopRequestedAt) })
	return allowed
}

// UsableServerCount returns the number of servers that accept new flows.
func (h *Host) UsableServerCount() int {
	n := 0
	if p := h.published.Load(); p != nil {
		for _, s := range p.view.Usable {
			n += len(s)
		}
	}
	return n
}

// DocumentVersion returns the version of the operators' document in force, 0 for
// none.
func (h *Host) DocumentVersion() uint64 {
	if p := h.published.Load(); p != nil {
		return p.view.DocumentVersion
	}
	return 0
}

// StoreRevision returns the revision of the store up to which the host has all
// changes.
func (h *Host) StoreRevision() uint64 { return h.StoreVersion().Revision }

// StoreVersion returns the version of the store up to which the host has all changes.
// Its revision is 0 if the host has none yet.
func (h *Host) StoreVersion() mirror.Version {
	if v := h.storeVersion.Load(); v != nil {
		return *v
	}
	return mirror.Version{}
}
