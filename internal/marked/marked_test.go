package marked_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoonramp.org/lagoonramp/internal/marked"
	"lagoonramp.org/lagoonramp/internal/wire"
	"lagoonramp.org/lagoonramp/pkg/mirror"
	"lagoonramp.org/lagoonramp/platform/stub"
)

func TestRequestsReachConfiguredService(t *testing.T) {
	is := is.New(t)
	w := newTestbed(t)
	w.startAndWait(3, 4)
	var n atomic.Int64
	stop := make(chan struct{})
	wait := w.startLoad(8, 20_000, stop)
	w.eventually("300 requests ended", func() bool { n.Store(w.requests.Load()); return n.Load() >= 300 })
	close(stop)
	out := wait()
	is.Equal(len(out), 1) // All were answered.
	is.True(out[stub.Answered] >= 300)
	w.checkLedger()
}

// TestFlowsSurviveHostChanges checks that flows continue when hosts leave and
// join, with routers that move nearly all flows on each change.
func TestFlowsSurviveHostChanges(t *testing.T) {
	is := is.New(t)
	w := newTestbed(t)
	w.Router.Modulo = true
	w.startAndWait(3, 4)
	stop := make(chan struct{})
	wait := w.startLoad(8, 400_000, stop)
	for i, h := range w.hosts[:2] {
		h.shutDown()
		<-h.done
		w.Router.Remove(fmt.Sprintf("h%d", i+1))
	}
	w.addHost()
	w.eventually("the new host is ready", func() bool { return w.Router.HostsInRotation() == 2 })
	close(stop)
	out := wait()
	is.Equal(out[stub.Broken], 0)
	is.Equal(out[stub.TimedOut], 0)
	is.Equal(out[stub.Refused], 0)
	is.True(out[stub.Answered] > 0)
	w.checkLedger()
}

// TestDrainingServerGetsNoNewFlows checks that no flow opens at a server once
// the hosts know that it is draining.
func TestDrainingServerGetsNoNewFlows(t *testing.T) {
	is := is.New(t)
	w := newTestbed(t)
	var misrouted atomic.Int64
	var closed atomic.Pointer[stub.Server]
	w.Ledger.OnSYN(func(s *stub.Server, _ time.Time) {
		if s == closed.Load() {
			misrouted.Add(1)
		}
	})
	w.startAndWait(3, 3)
	leaving := w.servers[0]
	stop := make(chan struct{})
	wait := w.startLoad(8, 2000, stop)
	leaving.Drain()
	w.Store.Put(leaving.Key(), leaving.Entry("draining"))
	for _, h := range w.hosts {
		w.eventually("a host knows that the server is draining", func() bool { return w.hasServers(h, 3) })
	}
	time.Sleep(100 * time.Millisecond) // SYNs in transit arrive.
	closed.Store(leaving)
	before := w.requests.Load()
	w.eventually("100 more requests ended", func() bool { return w.requests.Load() > before+100 })
	close(stop)
	out := wait()
	is.Equal(misrouted.Load(), int64(0))
	is.Equal(out[stub.Broken], 0)
	w.checkLedger()
}

// TestUnresponsiveServerFailsNoRequest checks that all requests are answered
// while a server that the store still lists does not respond.
func TestUnresponsiveServerFailsNoRequest(t *testing.T) {
	is := is.New(t)
	w := newTestbed(t)
	w.startAndWait(2, 4)
	w.servers[1].SetMuted(true)
	for range 100 {
		is.Equal(w.sendRequest(entryRoute, 500).Result, stub.Answered)
	}
	w.checkLedger()
}

// TestHostWithoutStoreSyncsFromPeers checks that a host whose calls the store
// refuses gets changes from its peers, and that a started host does so too
// while the store refuses all hosts.
func TestHostWithoutStoreSyncsFromPeers(t *testing.T) {
	w := newTestbed(t)
	w.startAndWait(3, 3)
	refused := w.hosts[2]
	refused.store.refusing.Store(true)
	w.addServer("entry-desk")
	w.configure("entry-desk", "catalogue-press")
	w.eventually("the refused host knows the change", func() bool {
		return w.hasServers(refused, 5) && refused.DocumentVersion() == uint64(w.version)
	})
	// A host that starts while the store refuses all hosts gets the state from
	// its peers as well.
	for _, h := range w.hosts {
		h.store.refusing.Store(true)
	}
	w.hosts[1].kill()
	w.Store.SetFault(stub.Unavailable)
	fresh := w.startHost(9)
	w.eventually("the started host knows the state", func() bool { return w.hasServers(fresh, 5) })
}

// TestUnansweredWatchTimesOut checks that hosts learn of a change of the
// document although the store never answers the watches that were waiting
// before it.
func TestUnansweredWatchTimesOut(t *testing.T) {
	w := newTestbed(t)
	w.startAndWait(3, 2)
	w.Store.SetFault(stub.Unresponsive)
	time.Sleep(50 * time.Millisecond)
	w.configure("entry-desk", "catalogue-press")
	w.Store.SetFault(stub.Healthy)
	for _, h := range w.hosts {
		w.eventually("a host knows the change", func() bool { return h.DocumentVersion() == uint64(w.version) })
	}
}

// TestHostStopsAtAnyStage guards against a process that outlives its shutdown timeout
// (hangingStop of the review): it has no view, since the store does not serve it, or
// gets no packets.
func TestHostStopsAtAnyStage(t *testing.T) {
	for _, tt := range []struct {
		name   string
		fault  stub.Fault
		uptime time.Duration
		// abort ends the host at once, as a second signal does.
		abort bool
	}{
		{"at once after its start", stub.Healthy, 0, false},
		{"without packets", stub.Healthy, time.Second, false},
		{"store unavailable", stub.Unavailable, time.Second, false},
		{"store unavailable, second signal", stub.Unavailable, time.Second, true},
		{"store does not answer", stub.Unresponsive, time.Second, false},
		{"store does not answer, second signal", stub.Unresponsive, time.Second, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			w := newTestbed(t)
			w.Store.SetFault(tt.fault)
			h := w.addHost()
			time.Sleep(tt.uptime)
			h.shutDown()
			if tt.abort {
				h.abort()
			}
			select {
			case <-h.done:
			case <-time.After(testShutdownTimeout):
				t.Error("the host has not stopped in time")
			}
		})
	}
}

// TestFlowToServiceWithoutServersIsRefused checks the refusal of flows to a
// service without servers. A host that has just started drops them instead,
// since the entries may have expired during an outage of the store. After that,
// it refuses each flow.
func TestFlowToServiceWithoutServersIsRefused(t *testing.T) {
	is := is.New(t)
	w := newTestbed(t)
	w.startAndWait(1, 1)
	w.configure("entry-desk", "missing")
	w.eventually("the host knows the change", func() bool { return w.hosts[0].DocumentVersion() == uint64(w.version) })
	w.eventually("the flow is refused", func() bool { return w.sendRequest(pressRoute, 10).Result == stub.Refused })
	for range 5 {
		is.Equal(w.sendRequest(pressRoute, 10).Result, stub.Refused)
	}
}

func TestFlowOfUnknownRouteIsRefused(t *testing.T) {
	is := is.New(t)
	w := newTestbed(t)
	w.startAndWait(1, 1)
	is.Equal(w.sendRequest(netip.MustParseAddrPort("198.18.0.9:443"), 10).Result, stub.Refused)
}

func TestAdminEndpoints(t *testing.T) {
	is := is.New(t)
	w := newTestbed(t)
	w.startAndWait(2, 2)
	admin := "http://" + w.HostAddresses(1).Admin.String()
	get := func(path string) *http.Response {
		resp, err := http.Get(admin + path)
		is.NoErr(err)
		t.Cleanup(func() { _ = resp.Body.Close() })
		return resp
	}
	w.eventually("the status names both hosts", func() bool {
		var got wire.ClusterStatus
		return json.NewDecoder(get("/api/status").Body).Decode(&got) == nil && len(got.Hosts) == 2 &&
			got.Hosts[1].Status != nil && got.Latest == uint64(w.version)
	})
	var events struct{ Events []struct{ Kind, Host string } }
	is.NoErr(json.NewDecoder(get("/api/events").Body).Decode(&events))
	is.True(len(events.Events) > 0)
	is.Equal(get("/metrics").StatusCode, http.StatusOK)
	is.Equal(get("/readyz").StatusCode, http.StatusOK)
}

// TestStartedHostFetchesDepartedServers checks that a flow continues through a
// host that started after the entry of the flow's server had expired. The store
// no longer has the entry, so the host has to get it from a peer.
func TestStartedHostFetchesDepartedServers(t *testing.T) {
	is := is.New(t)
	w := newTestbed(t)
	w.startAndWait(2, 1)
	w.Router.Remove("h2") // The flow goes through the first host.
	ended := make(chan stub.Outcome)
	go func() {
		ended <- w.Caller.Do(entryRoute, "long", 300_000, 6*time.Second, 15*time.Second)
	}()
	w.eventually("the request runs", func() bool { return w.Ledger.RunCount("long") == 1 })
	w.Store.Delete(w.servers[0].Key())
	for _, h := range w.hosts {
		w.eventually("a host processes the deletion of the entry", func() bool { return w.hasServers(h, 1) })
	}
	fresh := w.startHost(3)
	w.eventually("the started host is ready", func() bool { return w.hasServers(fresh, 1) })
	w.Router.Remove("h1")
	w.hosts[0].kill()
	is.Equal((<-ended).Result, stub.Answered)
	w.checkLedger()
}

// TestBroadcastLimitsStoreCalls checks that a change reaches all hosts with few
// calls to the store, with more hosts than a host sends a broadcast to
// directly.
func TestBroadcastLimitsStoreCalls(t *testing.T) {
	is := is.New(t)
	w := newTestbed(t)
	w.startAndWait(20, 2)
	time.Sleep(4 * time.Second) // By now, only two hosts call the store.
	before := w.Store.Calls()
	for range 3 {
		w.configure("entry-desk", "catalogue-press")
		for _, h := range w.hosts {
			w.eventually("a host knows the change", func() bool { return h.DocumentVersion() == uint64(w.version) })
		}
	}
	is.True(w.Store.Calls()-before < 40)
}

// processStartDelay is the time that the platform needs to restart a process.
const processStartDelay = 500 * time.Millisecond

// restartInterval is the interval between the restarts of a rolling restart.
const restartInterval = 900 * time.Millisecond

// TestRollingRestartLosesNoFlow checks that no flow is lost when all hosts of a
// data centre are restarted at shorter intervals than a restart takes. If fewer
// than half of the hosts were ready, routers would send flows to stopped hosts.
func TestRollingRestartLosesNoFlow(t *testing.T) {
	is := is.New(t)
	w := newTestbed(t)
	w.startAndWait(3, 4)
	for _, h := range w.hosts {
		w.eventually("the hosts know each other", func() bool { return len(h.Status().Members) == 2 })
	}
	time.Sleep(time.Second) // Routers and hosts know that all are ready.
	var down sync.Map       // The names of the hosts whose processes have ended.
	var lost atomic.Int64
	begin := time.Now()
	trace := newTrace(t, begin)
	w.Router.OnRoute = func(host string) {
		if _, ok := down.Load(host); ok {
			if lost.Add(1) == 1 {
				trace.add("first packet to %s, which is down", host)
			}
		}
	}
	w.Router.OnRotation(func(host string, inRotation bool) { trace.add("routers: %s in rotation: %v", host, inRotation) })
	stop := make(chan struct{})
	wait := w.startLoad(8, 20_000, stop)
	var group sync.WaitGroup
	for i, h := range w.hosts[:3:3] {
		name := fmt.Sprintf("h%d", i+1)
		trace.add("%s asked to stop", name)
		h.shutDown()
		group.Go(func() {
			<-h.done
			trace.add("%s ended", name)
			down.Store(name, true)
			time.Sleep(processStartDelay)
			w.startKnownHost(i + 1)
			down.Delete(name)
			trace.add("%s started", name)
		})
		time.Sleep(restartInterval)
	}
	group.Wait()
	w.eventually("all hosts are ready again", func() bool { return w.Router.HostsInRotation() == 3 })
	close(stop)
	out := wait()
	is.Equal(lost.Load(), int64(0)) // Packets to hosts that are down.
	is.Equal(len(out), 1)           // All were answered.
	is.True(out[stub.Answered] > 0)
	w.checkLedger()
}

// partialStore passes the items of the first snapshot on in parts, but does not
// complete the read.
type partialStore struct{ marked.Store }

func (p *partialStore) Read(ctx context.Context, onPart func([]mirror.Item)) ([]mirror.Item, mirror.Version, error) {
	items, _, err := p.Store.Read(ctx, onPart)
	if err != nil {
		return nil, mirror.Version{}, err
	}
	for _, i := range items {
		onPart([]mirror.Item{i})
	}
	<-ctx.Done()
	return nil, mirror.Version{}, ctx.Err()
}

// TestHostServesDuringFirstRead checks that a host serves flows while its first
// read of the store has not completed.
func TestHostServesDuringFirstRead(t *testing.T) {
	is := is.New(t)
	w := newTestbed(t)
	w.wrapStore = func(s marked.Store) marked.Store { return &partialStore{s} }
	w.addServer("entry-desk")
	w.addHost()
	w.eventually("the host is ready", func() bool { return w.Router.HostsInRotation() == 1 })
	is.Equal(w.sendRequest(entryRoute, 100).Result, stub.Answered)
	is.Equal(w.hosts[0].StoreRevision(), uint64(0))
	// The items that are not read yet may include a server of this service, so
	// the flow is not refused.
	is.Equal(w.sendRequest(pressRoute, 100).Result, stub.NotOpened)
	w.checkLedger()
}
