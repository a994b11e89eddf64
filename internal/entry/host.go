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
)

// Host is one entry host.
type Host struct {
	set       *Settings
	log       *zap.Logger
	epoch     time.Time
	traffic   *traffic
	published atomic.Pointer[published]
	updates   chan update
	ask       chan func(*control)
	ready     net.Listener
	revision  atomic.Uint64
	// whole asks the watch loop to read the whole state.
	whole     atomic.Bool
	storeAway atomic.Bool
	leaving   atomic.Bool
}

// New opens the host's sockets.
func New(set *Settings, log *zap.Logger) (*Host, error) {
	h := &Host{set: set, log: log, epoch: time.Now(), updates: make(chan update), ask: make(chan func(*control))}
	var err error
	if h.ready, err = net.Listen("tcp4", set.Ready.String()); err != nil {
		return nil, eris.Wrap(err, "listen for readiness checks")
	}
	if h.traffic, err = newTraffic(set, h.epoch, &h.published, newDecisionLog(log)); err != nil {
		_ = h.ready.Close()
		return nil, err
	}
	return h, nil
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
	server := &http.Server{Handler: h.set.ReadinessHandler(h.isReady)}
	var group sync.WaitGroup
	group.Go(func() { c.loop(run) })
	group.Go(func() { h.watchLoop(run) })
	group.Go(h.traffic.loop)
	group.Go(func() {
		if err := server.Serve(h.ready); err != http.ErrServerClosed {
			h.log.Error("entry: readiness checks are not answered any more", zap.Error(err))
		}
	})
	select {
	case <-ctx.Done():
		h.leave(hard)
	case <-hard.Done():
	}
	cancel()
	_ = server.Close()
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
