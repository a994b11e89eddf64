package marked_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"lagoonramp.org/lagoonramp/internal/marked"
	"lagoonramp.org/lagoonramp/pkg/mirror"
	"lagoonramp.org/lagoonramp/platform"
	"lagoonramp.org/lagoonramp/platform/stub"
)

// patience bounds the wait for something that has to happen.
const patience = 20 * time.Second

var (
	entryRoute = netip.MustParseAddrPort("198.18.0.1:443")
	pressRoute = netip.MustParseAddrPort("198.18.0.2:443")
)

// world is a platform of stand-ins with hosts in one process.
type world struct {
	*stub.Platform
	t *testing.T
	// mu guards hosts while hosts are restarted.
	mu      sync.Mutex
	hosts   []*hostProcess
	servers []*stub.Server
	version int
	// wrap changes the hosts' stores; it may be nil.
	wrap     func(marked.Store) marked.Store
	requests atomic.Int64
}

// hostProcess is a host that a test can stop.
type hostProcess struct {
	*marked.Host
	store      *gateStore
	soft, hard context.CancelFunc
	done       chan struct{}
}

// gateStore refuses calls while it is shut.
type gateStore struct {
	marked.Store
	shut atomic.Bool
}

var errShut = errors.New("the store turns this host away")

func (g *gateStore) Read(ctx context.Context, part func([]mirror.Item)) ([]mirror.Item, uint64, error) {
	if g.shut.Load() {
		return nil, 0, errShut
	}
	return g.Store.Read(ctx, part)
}

func (g *gateStore) Watch(ctx context.Context, after uint64, wait, grace time.Duration) ([]mirror.Item, uint64, error) {
	if g.shut.Load() {
		return nil, 0, errShut
	}
	items, revision, err := g.Store.Watch(ctx, after, wait, grace)
	if g.shut.Load() {
		return nil, 0, errShut
	}
	return items, revision, err
}

// networks hands each world a network of its own in 127.0.0.0/8.
var networks atomic.Uint32

func newWorld(t *testing.T) *world {
	t.Helper()

	inner, err := stub.StartPlatform(byte(10 + networks.Add(1)))
	if err != nil {
		t.Fatal(err)
	}
	w := &world{t: t, Platform: inner}
	t.Cleanup(func() {
		for _, h := range w.hosts {
			h.kill()
		}
		for _, s := range w.servers {
			s.Crash()
		}
		w.Close()
	})
	w.configure("entry-desk", "catalogue-press")
	return w
}

// configure writes a document that leads the two routes to two services.
func (w *world) configure(entryService, pressService string) {
	w.version += 3
	w.PutDocument(w.version, stub.Route{Address: entryRoute, Service: entryService}, stub.Route{Address: pressRoute, Service: pressService})
}

// addServer starts a server that has registered itself.
func (w *world) addServer(service string) *stub.Server {
	w.t.Helper()
	n := len(w.servers) + 1
	s := &stub.Server{ID: fmt.Sprintf("i-%010x", n), Service: service, DataCentre: "sapporo", Slots: 3}
	if err := w.AddServer(s, w.ServerAddress(n)); err != nil {
		w.t.Fatal(err)
	}
	w.servers = append(w.servers, s)
	return s
}

// addHost starts a host.
func (w *world) addHost() *hostProcess {
	w.t.Helper()
	return w.startHost(len(w.hosts) + 1)
}

// startHost starts a host that the routers do not know yet.
func (w *world) startHost(n int) *hostProcess {
	w.t.Helper()
	h := w.restart(n)
	w.AddToRouters(fmt.Sprintf("h%d", n), w.HostAddresses(n))
	return h
}

// restart starts a host that the routers know.
func (w *world) restart(n int) *hostProcess {
	w.t.Helper()
	at := w.HostAddresses(n)
	var store marked.Store = platform.NewStore(w.StoreAddress)
	if w.wrap != nil {
		store = w.wrap(store)
	}
	h := &hostProcess{store: &gateStore{Store: store}, done: make(chan struct{})}
	set := &marked.Settings{
		Name: fmt.Sprintf("h%d", n), DataCentre: "sapporo",
		PacketAddress: at.Packets, ReadinessAddress: at.Ready, PeerAddress: at.Peer, AdminAddress: at.Admin.String(), Seeds: []netip.AddrPort{w.HostAddresses(1).Peer},
		FlowLifetime: time.Minute, ShutdownTimeout: 6 * time.Second, DroppedLogLines: func() uint64 { return 0 },
		Codec: platform.Codec{}, Store: h.store, Decoder: platform.Decoder{}, ReadinessHandler: platform.ReadinessHandler,
	}
	var err error
	if h.Host, err = marked.New(set, zap.NewNop()); err != nil {
		w.t.Error(err)
		return nil
	}
	var soft, hard context.Context
	soft, h.soft = context.WithCancel(context.Background())
	hard, h.hard = context.WithCancel(context.Background())
	go func() {
		defer close(h.done)
		_ = h.Run(soft, hard)
	}()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hosts = append(w.hosts, h)
	return h
}

// kill ends a host at once.
func (h *hostProcess) kill() {
	h.hard()
	<-h.done
}

// eventually waits until something holds.
func (w *world) eventually(what string, holds func() bool) {
	w.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	w.t.Fatalf("it did not happen that %s", what)
}

// start starts hosts and servers and waits until all hosts are ready.
func (w *world) start(hosts, servers int) {
	w.t.Helper()
	for range servers {
		w.addServer("entry-desk")
	}
	w.addServer("catalogue-press")
	for range hosts {
		w.addHost()
	}
	w.eventually("all hosts are ready", func() bool { return w.Router.HostsInRotation() == hosts })
	for _, h := range w.hosts {
		w.eventually("a host knows all servers", func() bool { return w.knows(h, servers+1) })
	}
}

// knows reports whether a host has a number of servers for new flows.
func (w *world) knows(h *hostProcess, servers int) bool { return h.UsableServerCount() == servers }

// request sends one request and checks what must hold of any outcome.
func (w *world) request(route netip.AddrPort, size int) stub.Outcome {
	id := fmt.Sprintf("q%d", w.requests.Add(1))
	o := w.Caller.Do(route, id, size, time.Duration(rand.IntN(5))*time.Millisecond, 10*time.Second)
	ran := w.Ledger.RunCount(id)
	want := map[netip.AddrPort]string{entryRoute: "entry-desk", pressRoute: "catalogue-press"}[route]
	switch {
	case o.Result == stub.WrongAnswer:
		w.t.Errorf("%s: a wrong answer", id)
	case o.Result == stub.Answered && (o.Service != want || ran != 1):
		w.t.Errorf("%s: answered by %s, ran %d times", id, o.Service, ran)
	case (o.Result == stub.NotOpened || o.Result == stub.Refused || o.Result == stub.Shed) && ran != 0:
		w.t.Errorf("%s: %v, but it ran", id, o.Result)
	}
	return o
}

// load sends requests until stop is closed, and returns the outcomes by result.
func (w *world) load(callers, size int, stop <-chan struct{}) func() map[stub.Result]int {
	var mu sync.Mutex
	var group sync.WaitGroup
	out := map[stub.Result]int{}
	for i := range callers {
		route := entryRoute
		if i%4 == 3 {
			route = pressRoute
		}
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				o := w.request(route, size)
				mu.Lock()
				out[o.Result]++
				mu.Unlock()
			}
		})
	}
	return func() map[stub.Result]int {
		group.Wait()
		return out
	}
}

// unharmed checks that no packet was changed or taken for another server.
func (w *world) unharmed() {
	w.t.Helper()
	is := is.New(w.t)
	misdirected, forged := w.Ledger.RejectedPackets()
	is.Equal(misdirected, 0)
	is.Equal(forged, 0)
}
