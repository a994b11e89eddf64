package marked_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoonramp.org/lagoonramp/internal/marked"
	"lagoonramp.org/lagoonramp/pkg/mirror"
	"lagoonramp.org/lagoonramp/platform"
	"lagoonramp.org/lagoonramp/platform/stub"
)

const (
	// evacuated is a data centre that the tests evacuate.
	evacuated = "otaru"
	// restoredFor is the time for which a test checks what hosts do with the state
	// that a restored store lacks.
	restoredFor = 3 * time.Second
)

// addEvacuatedServer adds a server of the evacuated data centre.
func (w *testbed) addEvacuatedServer() *stub.Server {
	w.t.Helper()
	s := w.addServer("entry-desk")
	s.DataCentre = evacuated
	w.Store.Put(s.Key(), s.Entry("ready"))
	return s
}

// checkFor checks a condition of all hosts repeatedly.
func (w *testbed) checkFor(d time.Duration, name string, condition func(h *hostProcess) bool) {
	w.t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for _, h := range w.hosts {
			if !condition(h) {
				w.t.Fatalf("not at all times: %s: %s has document %d, %d servers, version %v",
					name, h.Status().Name, h.DocumentVersion(), h.UsableServerCount(), h.StoreVersion())
			}
		}
	}
}

// allHosts waits until a condition holds at all hosts.
func (w *testbed) allHosts(name string, condition func(h *hostProcess) bool) {
	w.t.Helper()
	for _, h := range w.hosts {
		w.eventually(name, func() bool { return condition(h) })
	}
}

// TestRestoredStoreIsFollowed guards against hosts that ignore a restored store until
// its revisions pass those that they know: they learn of no new server.
func TestRestoredStoreIsFollowed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newTestbed(t)
	w.startAndWait(2, 2)
	backup := w.Store.Copy()
	for range 50 {
		w.Store.Put("op/other", nil)
	}
	last := w.Store.Revision()
	w.allHosts("a host has all changes", func(h *hostProcess) bool { return h.StoreRevision() == last })
	w.Store.Restore(backup)
	w.addServer("entry-desk")
	w.allHosts("a host knows the new server", func(h *hostProcess) bool { return w.hasServers(h, 4) })
	is.True(w.Store.Revision() < last)
}

// TestRestoreUnderLoad guards against hosts that go back with the store: to an older
// document, to servers that drain or have left, or to those of an evacuated data
// centre. That includes a host that starts before the store has all of that again.
func TestRestoreUnderLoad(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newTestbed(t)
	w.startAndWait(2, 3)
	w.addEvacuatedServer()
	w.allHosts("a host knows all servers", func(h *hostProcess) bool { return w.hasServers(h, 5) })
	stop := make(chan struct{})
	results := w.startLoad(4, 100, stop)
	backup := w.Store.Copy()

	draining, gone := w.servers[0], w.servers[1]
	operators := func() {
		w.configure("entry-desk", "catalogue-press")
		w.Store.Put("op/evacuate/"+evacuated, []byte("{}"))
	}
	operators()
	draining.Drain()
	lost := draining.Entry("draining")
	w.Store.Put(draining.Key(), lost)
	gone.Drain()
	w.Store.Put(gone.Key(), gone.Entry("draining"))
	w.allHosts("a host knows the drains", func(h *hostProcess) bool { return w.hasServers(h, 2) })
	w.Store.Delete(gone.Key())
	last := w.Store.Revision()
	w.allHosts("a host has all changes", func(h *hostProcess) bool { return h.StoreRevision() == last })

	var badFlows atomic.Int64
	w.Ledger.OnSYN(func(s *stub.Server, _ time.Time) {
		if s == draining || s == gone || s.DataCentre == evacuated {
			badFlows.Add(1)
		}
	})
	w.Store.Restore(backup)
	inForce := func(h *hostProcess) bool {
		known := h.DocumentVersion() // 0 before the first view of a host that starts.
		return known == 0 || known == uint64(w.version) && w.hasServers(h, 2)
	}
	w.checkFor(restoredFor, "what was in force stays", inForce)
	started := w.addHost()
	w.eventually("the new host has a view", func() bool { return started.DocumentVersion() > 0 })
	w.eventually("the new host knows what the store lost", func() bool { return inForce(started) })
	w.checkFor(restoredFor, "what was in force stays at a new host", inForce)
	w.allHosts("a host is in the new era", func(h *hostProcess) bool {
		return h.StoreVersion() == mirror.Version{Era: 1, Revision: w.Store.Revision()}
	})

	operators() // A newer document, and the evacuation.
	w.Store.Put(draining.Key(), lost)
	w.Store.Delete(gone.Key())
	w.allHosts("a host has the new document", func(h *hostProcess) bool { return h.DocumentVersion() == uint64(w.version) })
	w.checkFor(10*time.Second, "the evacuation that is written again stays", inForce)
	is.Equal(badFlows.Load(), int64(0))
	w.Ledger.OnSYN(nil)
	w.Store.Delete("op/evacuate/" + evacuated)
	w.allHosts("the evacuation ends", func(h *hostProcess) bool { return w.hasServers(h, 3) })
	close(stop)
	out := results()
	is.True(out[stub.Answered] > 0)
	w.checkLedger()
}

// TestLostEvacuationEnds checks that an evacuation ends that the restored store lacks
// for some time.
func TestLostEvacuationEnds(t *testing.T) {
	t.Parallel()
	w := newTestbed(t)
	w.startAndWait(2, 1)
	w.addEvacuatedServer()
	w.allHosts("a host knows all servers", func(h *hostProcess) bool { return w.hasServers(h, 3) })
	backup := w.Store.Copy()
	w.Store.Put("op/evacuate/"+evacuated, []byte("{}"))
	w.allHosts("a host knows the evacuation", func(h *hostProcess) bool { return w.hasServers(h, 2) })
	w.Store.Restore(backup)
	w.allHosts("a host is in the new era", func(h *hostProcess) bool { return h.StoreVersion().Era == 1 })
	w.checkFor(7*time.Second, "the evacuation stays", func(h *hostProcess) bool { return w.hasServers(h, 2) })
	w.allHosts("the evacuation ends", func(h *hostProcess) bool { return w.hasServers(h, 3) })
}

// switchableStore calls the store of one of two clients.
type switchableStore struct {
	marked.Store
	other    *platform.Store
	switched *atomic.Bool
}

func (s *switchableStore) Watch(ctx context.Context, after mirror.Version, wait, grace time.Duration) ([]mirror.Item, mirror.Version, error) {
	if s.switched.Load() {
		return s.other.Watch(ctx, after, wait, grace)
	}
	return s.Store.Watch(ctx, after, wait, grace)
}

func (s *switchableStore) Read(ctx context.Context, onPart func([]mirror.Item)) ([]mirror.Item, mirror.Version, error) {
	if s.switched.Load() {
		return s.other.Read(ctx, onPart)
	}
	return s.Store.Read(ctx, onPart)
}

// TestDataCentresSeeDifferentEras checks that the higher era wins while the store
// answers one data centre from before a restore, and another from after it.
func TestDataCentresSeeDifferentEras(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newTestbed(t)
	w.dataCentres = map[int]string{3: "yoichi", 4: "yoichi"}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	restored := stub.NewStore()
	server := &http.Server{Handler: restored}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	var switched [5]atomic.Bool
	started := 0
	w.wrapStore = func(s marked.Store) marked.Store {
		started++
		return &switchableStore{Store: s, other: platform.NewStore(listener.Addr().String()), switched: &switched[started]}
	}
	w.startAndWait(4, 2)
	backup := w.Store.Copy()
	w.configure("entry-desk", "catalogue-press")
	w.allHosts("a host has the document", func(h *hostProcess) bool { return h.DocumentVersion() == uint64(w.version) })
	restored.Restore(backup)
	switched[3].Store(true)
	switched[4].Store(true)
	w.Store.Put("op/other", nil) // In the lower era, whose revisions are ahead.
	inForce := func(h *hostProcess) bool { return h.DocumentVersion() == uint64(w.version) && w.hasServers(h, 3) }
	w.checkFor(restoredFor, "document and servers stay", inForce)
	w.allHosts("the higher era wins", func(h *hostProcess) bool { return h.StoreVersion().Era == 1 })
	switched[1].Store(true)
	switched[2].Store(true)
	last := mirror.Version{Era: 1, Revision: restored.Put("op/other", nil)}
	w.allHosts("a host follows the restored store", func(h *hostProcess) bool { return h.StoreVersion() == last && inForce(h) })
}
