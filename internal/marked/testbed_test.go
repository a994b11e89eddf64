package marked_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"lagoonramp.org/lagoonramp/internal/marked"
	"lagoonramp.org/lagoonramp/pkg/mirror"
	"lagoonramp.org/lagoonramp/pkg/warmup"
	"lagoonramp.org/lagoonramp/platform"
	"lagoonramp.org/lagoonramp/platform/stub"
)

// localDataCentre is the data centre of the callers and the servers.
const localDataCentre = "sapporo"

// testShutdownTimeout is the shutdown timeout of hosts.
const testShutdownTimeout = 6 * time.Second

// eventTimeout is the timeout of testbed.eventually.
const eventTimeout = 20 * time.Second

var (
	entryRoute = netip.MustParseAddrPort("198.18.0.1:443")
	pressRoute = netip.MustParseAddrPort("198.18.0.2:443")
)

// testbed runs hosts and a stub of the platform in one process.
type testbed struct {
	*stub.Platform
	t *testing.T
	// mu guards hosts against concurrent restarts.
	mu      sync.Mutex
	hosts   []*hostProcess
	servers []*stub.Server
	version int
	// dropSYNACK is the DropSYNACK of all servers.
	dropSYNACK func(caller netip.AddrPort) bool
	// serverDataCentre is the data centre of added servers, localDataCentre if it is
	// empty.
	serverDataCentre string
	// dataCentres holds the data centres of hosts outside that of the callers, by
	// their numbers.
	dataCentres map[int]string
	// wrapStore wraps the hosts' stores, if it is not nil.
	wrapStore func(marked.Store) marked.Store
	requests  atomic.Int64
}

// hostProcess is a running host. shutDown stops it gracefully, abort at once.
type hostProcess struct {
	*marked.Host
	store           *refusableStore
	shutDown, abort context.CancelFunc
	done            chan struct{}
}

// refusableStore fails all reads and watches while refusing is set.
type refusableStore struct {
	marked.Store
	refusing atomic.Bool
}

var errRefused = errors.New("the store refuses this host")

func (g *refusableStore) Read(ctx context.Context, onPart func([]mirror.Item)) ([]mirror.Item, mirror.Version, error) {
	if g.refusing.Load() {
		return nil, mirror.Version{}, errRefused
	}
	return g.Store.Read(ctx, onPart)
}

func (g *refusableStore) Watch(ctx context.Context, after mirror.Version, wait, grace time.Duration) ([]mirror.Item, mirror.Version, error) {
	if g.refusing.Load() {
		return nil, mirror.Version{}, errRefused
	}
	items, revision, err := g.Store.Watch(ctx, after, wait, grace)
	if g.refusing.Load() {
		return nil, mirror.Version{}, errRefused
	}
	return items, revision, err
}

// networkCount numbers the testbeds, so that each has its own network in
// 127.0.0.0/8.
var networkCount atomic.Uint32

func newTestbed(t *testing.T) *testbed {
	t.Helper()

	inner, err := stub.StartPlatform(byte(10 + networkCount.Add(1)))
	if err != nil {
		t.Fatal(err)
	}
	w := &testbed{t: t, Platform: inner}
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

// configure writes a document that sets the services of the two routes.
func (w *testbed) configure(entryService, pressService string) {
	w.version += 3
	w.PutDocument(w.version, stub.Route{Address: entryRoute, Service: entryService}, stub.Route{Address: pressRoute, Service: pressService})
}

// addServer starts a server, which registers itself.
func (w *testbed) addServer(service string) *stub.Server {
	w.t.Helper()
	n := len(w.servers) + 1
	s := &stub.Server{
		ID: fmt.Sprintf("i-%010x", n), Service: service, DataCentre: cmp.Or(w.serverDataCentre, localDataCentre),
		Slots: 3, DropSYNACK: w.dropSYNACK,
	}
	if err := w.AddServer(s, w.ServerAddress(n)); err != nil {
		w.t.Fatal(err)
	}
	w.servers = append(w.servers, s)
	return s
}

// addHost starts a host with the next number.
func (w *testbed) addHost() *hostProcess {
	w.t.Helper()
	return w.startHost(len(w.hosts) + 1)
}

// startHost starts a host and adds it to the routers.
func (w *testbed) startHost(n int) *hostProcess {
	w.t.Helper()
	h := w.startKnownHost(n)
	at := w.HostAddresses(n)
	w.Router.Add(stub.Host{Name: fmt.Sprintf("h%d", n), DataCentre: w.dataCentres[n], Packets: at.Packets, Ready: at.Ready})
	return h
}

// startKnownHost starts a host without adding it to the routers, which may know
// it already.
func (w *testbed) startKnownHost(n int) *hostProcess {
	w.t.Helper()
	at := w.HostAddresses(n)
	var store marked.Store = platform.NewStore(w.StoreAddress)
	if w.wrapStore != nil {
		store = w.wrapStore(store)
	}
	h := &hostProcess{store: &refusableStore{Store: store}, done: make(chan struct{})}
	settings := &marked.Settings{
		Name: fmt.Sprintf("h%d", n), DataCentre: cmp.Or(w.dataCentres[n], localDataCentre),
		PacketAddress: at.Packets, ReadinessAddress: at.Ready, PeerAddress: at.Peer, AdminAddress: at.Admin.String(), Seeds: []netip.AddrPort{w.HostAddresses(1).Peer},
		FlowLifetime: time.Minute, ShutdownTimeout: testShutdownTimeout, DroppedLogLines: func() uint64 { return 0 },
		Codec: platform.Codec{}, Store: h.store, Decoder: platform.Decoder{}, ReadinessHandler: platform.ReadinessHandler,
		Warmup: warmup.Settings{Overage: 1.5, Slack: 5},
	}
	var err error
	if h.Host, err = marked.New(settings, zap.NewNop()); err != nil {
		w.t.Error(err)
		return nil
	}
	var shutdown, abort context.Context
	shutdown, h.shutDown = context.WithCancel(context.Background())
	abort, h.abort = context.WithCancel(context.Background())
	go func() {
		defer close(h.done)
		_ = h.Run(shutdown, abort)
	}()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hosts = append(w.hosts, h)
	return h
}

// kill stops a host at once and waits for its end.
func (h *hostProcess) kill() {
	h.abort()
	<-h.done
}

// eventually waits until a condition holds. It fails the test after
// eventTimeout.
func (w *testbed) eventually(event string, condition func() bool) {
	w.t.Helper()
	for end := time.Now().Add(eventTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	w.t.Fatalf("timeout: not observed that %s", event)
}

// startAndWait starts hosts and servers and waits until all hosts are ready and
// know all servers.
func (w *testbed) startAndWait(hosts, servers int) {
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
		w.eventually("a host knows all servers", func() bool { return w.hasServers(h, servers+1) })
	}
}

// hasServers reports whether a host has exactly a number of servers for new
// flows.
func (w *testbed) hasServers(h *hostProcess, servers int) bool {
	return h.UsableServerCount() == servers
}

// sendRequest sends a request. It checks that the answer is right and from a
// server of the configured service, that an answered request ran once, and that
// one that was not opened, refused or shed did not run.
func (w *testbed) sendRequest(route netip.AddrPort, size int) stub.Outcome {
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

// startLoad starts callers that send requests until stop is closed. The
// returned function waits for them and returns the numbers of outcomes by
// result.
func (w *testbed) startLoad(callers, size int, stop <-chan struct{}) func() map[stub.Result]int {
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
				o := w.sendRequest(route, size)
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

// trace records what happens during a test, and logs it if the test fails.
type trace struct {
	mu    sync.Mutex
	begin time.Time
	lines []string
}

func newTrace(t *testing.T, begin time.Time) *trace {
	tr := &trace{begin: begin}
	t.Cleanup(func() {
		tr.mu.Lock()
		defer tr.mu.Unlock()
		if t.Failed() {
			t.Log(strings.Join(tr.lines, "\n"))
		}
	})
	return tr
}

// add records a line with the time since the beginning.
func (tr *trace) add(format string, args ...any) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.lines = append(tr.lines, fmt.Sprintf("%6.3f s ", time.Since(tr.begin).Seconds())+fmt.Sprintf(format, args...))
}

// checkLedger checks that no server received a forged packet or a packet for
// another server.
func (w *testbed) checkLedger() {
	w.t.Helper()
	is := is.New(w.t)
	misdirected, forged := w.Ledger.RejectedPackets()
	is.Equal(misdirected, 0)
	is.Equal(forged, 0)
}
