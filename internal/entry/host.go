package entry

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

	"lagoonramp.org/lagoonramp/pkg/fleet"
	"lagoonramp.org/lagoonramp/pkg/mirror"
)

// Settings of a Host.
type Settings struct {
	Name       string
	DataCentre string
	// Packets takes the callers' packets.
	Packets netip.AddrPort
	// Ready takes the routers' readiness checks.
	Ready netip.AddrPort
	// Peer takes the requests of other hosts.
	Peer netip.AddrPort
	// Seeds are hosts to ask before the store names others.
	Seeds []netip.AddrPort
	// FlowLifetime is how long a flow may last.
	FlowLifetime time.Duration
	// Grace is how long the process has after it was told to stop.
	Grace time.Duration

	Codec   Codec
	Store   Store
	Decoder Decoder
	// ReadinessHandler answers the readiness checks.
	ReadinessHandler func(ready func() bool) http.Handler
}

const (
	// leaveFor is how long a leaving host forwards after it said that it is
	// not ready: the routers need two checks to turn away.
	leaveFor = 2 * time.Second
	// quietFor ends a graceful shutdown when no packet came for so long.
	quietFor = 400 * time.Millisecond
	// stopMargin is left of the grace for the end of the process.
	stopMargin = 1500 * time.Millisecond
	// controlQueue bounds what waits for the control loop.
	controlQueue = 256
)

// Host is one entry host.
type Host struct {
	set       *Settings
	log       *zap.Logger
	epoch     time.Time
	traffic   *traffic
	published atomic.Pointer[published]
	// do hands work to the control loop.
	do       chan func(*control)
	ready    net.Listener
	peerWeb  net.Listener
	peerConn *net.UDPConn
	revision atomic.Uint64
	// whole asks the watch loop to read the whole state.
	whole atomic.Bool
	// watch tells that it is this host's turn to watch the store, and served
	// that the store served its latest call.
	watch, served, storeAway atomic.Bool
	leaving                  atomic.Bool
	// viewed is closed when the host has a view for callers.
	viewed chan struct{}
	// stopped is closed when the control loop ends.
	stopped chan struct{}
}

// New opens the host's sockets.
func New(set *Settings, log *zap.Logger) (*Host, error) {
	h := &Host{set: set, log: log, epoch: time.Now(), do: make(chan func(*control), controlQueue), viewed: make(chan struct{}), stopped: make(chan struct{})}
	var err error
	if h.ready, err = net.Listen("tcp4", set.Ready.String()); err != nil {
		return nil, eris.Wrap(err, "listen for readiness checks")
	}
	if h.peerWeb, err = net.Listen("tcp4", set.Peer.String()); err != nil {
		return nil, eris.Wrap(err, "listen for peers' requests")
	}
	if h.peerConn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(set.Peer)); err != nil {
		return nil, eris.Wrap(err, "listen for peers' datagrams")
	}
	if h.traffic, err = newTraffic(set, h.epoch, &h.published, newDecisionLog(log)); err != nil {
		return nil, err
	}
	return h, nil
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

func (h *Host) now() time.Duration { return time.Since(h.epoch) }

// isReady reports whether callers' flows may come here.
func (h *Host) isReady() bool {
	p := h.published.Load()
	return p != nil && p.view.Version > 0 && !h.leaving.Load()
}

// Run serves until the context ends, then shuts down gracefully. A second
// context, hard, ends it at once.
func (h *Host) Run(ctx, hard context.Context) error {
	run, cancel := context.WithCancel(context.Background())
	defer cancel()
	h.log.Info("entry: started", zap.String("name", h.set.Name), zap.String("dataCentre", h.set.DataCentre))
	c := &control{
		host: h, replica: mirror.New(mirror.Settings{}), decoded: map[string]decodedServer{},
		builder: fleet.NewBuilder(fleet.Settings{FlowLifetime: h.set.FlowLifetime}),
	}
	c.peers = newPeers(h, h.peerConn)
	h.watch.Store(true)
	web := http.NewServeMux()
	web.HandleFunc("GET /state", h.stateHandler)
	servers := []*http.Server{{Handler: h.set.ReadinessHandler(h.isReady)}, {Handler: web}}
	var group sync.WaitGroup
	group.Go(func() {
		defer close(h.stopped)
		c.loop(run)
	})
	group.Go(c.peers.readLoop)
	group.Go(func() { h.watchLoop(run) })
	group.Go(func() { h.traffic.loop(h.viewed) })
	for i, l := range []net.Listener{h.ready, h.peerWeb} {
		group.Go(func() {
			if err := servers[i].Serve(l); err != http.ErrServerClosed {
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
	_ = h.peerConn.Close()
	_ = h.traffic.conn.Close()
	h.set.Store.Close()
	group.Wait()
	h.log.Info("entry: stopped", zap.String("name", h.set.Name))
	return nil
}

// leave goes on forwarding until the routers have turned away.
func (h *Host) leave(hard context.Context) {
	h.leaving.Store(true)
	h.log.Info("entry: leaving, not ready any more")
	pause(hard, leaveFor)
	end := time.Now().Add(h.set.Grace - leaveFor - stopMargin)
	for hard.Err() == nil && time.Now().Before(end) && h.now()-time.Duration(h.traffic.lastAt.Load()) < quietFor {
		pause(hard, quietFor/4)
	}
}
