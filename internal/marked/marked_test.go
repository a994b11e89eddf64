package marked_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
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

func TestRequestsReachTheirService(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.start(3, 4)
	var n atomic.Int64
	stop := make(chan struct{})
	wait := w.load(8, 20_000, stop)
	w.eventually("300 requests ended", func() bool { n.Store(w.requests.Load()); return n.Load() >= 300 })
	close(stop)
	out := wait()
	is.Equal(len(out), 1) // Only answered ones.
	is.True(out[stub.Answered] >= 300)
	w.unharmed()
}

// TestFlowsSurviveHosts moves nearly all flows whenever a host leaves or joins.
func TestFlowsSurviveHosts(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.Router.Modulo = true
	w.start(3, 4)
	stop := make(chan struct{})
	wait := w.load(8, 400_000, stop)
	for i, h := range w.hosts[:2] {
		h.soft()
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
	w.unharmed()
}

func TestLeavingServerGetsNoNewFlows(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	var late atomic.Int64
	var closed atomic.Pointer[stub.Server]
	w.Ledger.OnSYN(func(s *stub.Server, _ time.Time) {
		if s == closed.Load() {
			late.Add(1)
		}
	})
	w.start(3, 3)
	leaving := w.servers[0]
	stop := make(chan struct{})
	wait := w.load(8, 2000, stop)
	leaving.Drain()
	w.Store.Put(leaving.Key(), leaving.Entry("draining"))
	for _, h := range w.hosts {
		w.eventually("a host knows that the server leaves", func() bool { return w.knows(h, 3) })
	}
	time.Sleep(100 * time.Millisecond) // SYNs on their way arrive.
	closed.Store(leaving)
	before := w.requests.Load()
	w.eventually("100 more requests ended", func() bool { return w.requests.Load() > before+100 })
	close(stop)
	out := wait()
	is.Equal(late.Load(), int64(0))
	is.Equal(out[stub.Broken], 0)
	w.unharmed()
}

// TestSilentServerCostsNoRequest mutes a server that the store still lists.
func TestSilentServerCostsNoRequest(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.start(2, 4)
	w.servers[1].SetMuted(true)
	for range 100 {
		is.Equal(w.request(entryRoute, 500).Result, stub.Answered)
	}
	w.unharmed()
}

// TestHostTurnedAwayLearnsFromPeers lets the store refuse one host.
func TestHostTurnedAwayLearnsFromPeers(t *testing.T) {
	w := newWorld(t)
	w.start(3, 3)
	away := w.hosts[2]
	away.store.shut.Store(true)
	w.addServer("entry-desk")
	w.configure("entry-desk", "catalogue-press")
	w.eventually("the host that is turned away knows the change", func() bool {
		return w.knows(away, 5) && away.DocumentVersion() == uint64(w.version)
	})
	// A host that starts anew while all are turned away learns from them too.
	for _, h := range w.hosts {
		h.store.shut.Store(true)
	}
	w.hosts[1].kill()
	w.Store.SetFault(stub.Unavailable)
	fresh := w.startHost(9)
	w.eventually("a fresh host knows the state", func() bool { return w.knows(fresh, 5) })
}

// TestLostAnswersAreNoticed hangs every call that waits, then changes the
// document: a watch that is never answered must not keep the hosts behind.
func TestLostAnswersAreNoticed(t *testing.T) {
	w := newWorld(t)
	w.start(3, 2)
	w.Store.SetFault(stub.Unresponsive)
	time.Sleep(50 * time.Millisecond)
	w.configure("entry-desk", "catalogue-press")
	w.Store.SetFault(stub.Healthy)
	for _, h := range w.hosts {
		w.eventually("a host knows the change", func() bool { return h.DocumentVersion() == uint64(w.version) })
	}
}

// TestStoreFaults fails the store in each way while a server joins.
func TestStoreFaults(t *testing.T) {
	for _, f := range []stub.Fault{stub.Unavailable, stub.RateLimited, stub.ConnectionReset, stub.Malformed, stub.Oversized} {
		t.Run(fmt.Sprint(f), func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t)
			w.start(2, 2)
			w.Store.SetFault(f)
			time.Sleep(300 * time.Millisecond)
			is.Equal(w.request(entryRoute, 100).Result, stub.Answered)
			w.Store.DiscardHistory()
			w.addServer("entry-desk")
			w.Store.SetFault(stub.Healthy)
			for _, h := range w.hosts {
				w.eventually("a host knows the new server", func() bool { return w.knows(h, 4) })
			}
			is.Equal(w.request(entryRoute, 100).Result, stub.Answered)
		})
	}
}

// TestForeignBytesHarmNothing sends broken packets, digests, entries and
// documents.
func TestForeignBytesHarmNothing(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.start(2, 2)
	conn, err := net.Dial("udp4", w.HostAddresses(1).Packets.String())
	is.NoErr(err)
	peer, err := net.Dial("udp4", w.HostAddresses(1).Peer.String())
	is.NoErr(err)
	for _, b := range [][]byte{{}, {1}, make([]byte, 35), make([]byte, 36), make([]byte, 2000), []byte(strings.Repeat("x", 100))} {
		_, _ = conn.Write(b)
		_, _ = peer.Write(b)
	}
	w.Store.Put("servers/i-zz", []byte(`{}`))
	w.Store.Put("servers/i-0badc0de", []byte(`{"Service":7`))
	w.Store.Put("op/config", []byte(`{"Version":"x"`))
	last := w.Store.Put("op/other", []byte{0, 1, 2})
	for _, h := range w.hosts {
		w.eventually("a host has read them", func() bool { return h.StoreRevision() >= last })
	}
	for range 20 {
		is.Equal(w.request(entryRoute, 500).Result, stub.Answered)
	}
	w.unharmed()
}

// TestServiceWithoutServersIsRefused leads a route to a service that has no
// server. A host that has just started says nothing: the entries may have
// lapsed with the store. Then every flow is refused.
func TestServiceWithoutServersIsRefused(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.start(1, 1)
	w.configure("entry-desk", "missing")
	w.eventually("the host knows the change", func() bool { return w.hosts[0].DocumentVersion() == uint64(w.version) })
	w.eventually("the flow is refused", func() bool { return w.request(pressRoute, 10).Result == stub.Refused })
	for range 5 {
		is.Equal(w.request(pressRoute, 10).Result, stub.Refused)
	}
}

func TestUnknownRouteIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.start(1, 1)
	is.Equal(w.request(netip.MustParseAddrPort("198.18.0.9:443"), 10).Result, stub.Refused)
}

func TestOperatorsSeeTheHosts(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.start(2, 2)
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

// TestRestartedHostKnowsServersThatLapsed moves a flow to a host that started
// after the entry of the flow's server had lapsed.
func TestRestartedHostKnowsServersThatLapsed(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.start(2, 1)
	w.Router.Remove("h2") // The flow goes by the first host.
	ended := make(chan stub.Outcome)
	go func() {
		ended <- w.Caller.Do(entryRoute, "long", 300_000, 6*time.Second, 15*time.Second)
	}()
	w.eventually("the request runs", func() bool { return w.Ledger.RunCount("long") == 1 })
	w.Store.Delete(w.servers[0].Key())
	for _, h := range w.hosts {
		w.eventually("a host knows that the entry is gone", func() bool { return w.knows(h, 1) })
	}
	fresh := w.startHost(3)
	w.eventually("the fresh host is ready", func() bool { return w.knows(fresh, 1) })
	w.Router.Remove("h1")
	w.hosts[0].kill()
	is.Equal((<-ended).Result, stub.Answered)
	w.unharmed()
}

// TestManyHostsLearnByRounds has more hosts than one tells itself: a few calls
// to the store bring a change to all.
func TestManyHostsLearnByRounds(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.start(20, 2)
	time.Sleep(4 * time.Second) // All but two leave the store alone by now.
	before := w.Store.Calls()
	for range 3 {
		w.configure("entry-desk", "catalogue-press")
		for _, h := range w.hosts {
			w.eventually("a host knows the change", func() bool { return h.DocumentVersion() == uint64(w.version) })
		}
	}
	is.True(w.Store.Calls()-before < 40)
}

// restartPause is how long the platform needs to start a process again.
const restartPause = 500 * time.Millisecond

// restartGap is the time between the restarts of a series.
const restartGap = 900 * time.Millisecond

// TestRollingRestartLosesNoFlow restarts all hosts of a data centre, one after
// the other and faster than a restart takes.
func TestRollingRestartLosesNoFlow(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.start(3, 4)
	for _, h := range w.hosts {
		w.eventually("the hosts know each other", func() bool { return len(h.Status().Members) == 2 })
	}
	time.Sleep(time.Second) // All are in rotation, and known to be.
	var down sync.Map       // The names of hosts whose processes ended.
	var lost atomic.Int64
	w.Router.OnRoute = func(host string) {
		if _, ok := down.Load(host); ok {
			lost.Add(1)
		}
	}
	stop := make(chan struct{})
	wait := w.load(8, 20_000, stop)
	var group sync.WaitGroup
	for i, h := range w.hosts[:3:3] {
		h.soft()
		name := fmt.Sprintf("h%d", i+1)
		group.Go(func() {
			<-h.done
			down.Store(name, true)
			time.Sleep(restartPause)
			w.restart(i + 1)
			down.Delete(name)
		})
		time.Sleep(restartGap)
	}
	group.Wait()
	w.eventually("all hosts are back", func() bool { return w.Router.HostsInRotation() == 3 })
	close(stop)
	out := wait()
	is.Equal(lost.Load(), int64(0)) // Packets to hosts that are down.
	is.Equal(len(out), 1)           // Only answered ones.
	is.True(out[stub.Answered] > 0)
	w.unharmed()
}

// partStore gives the first state in parts and keeps the rest to itself.
type partStore struct{ marked.Store }

func (p *partStore) Read(ctx context.Context, part func([]mirror.Item)) ([]mirror.Item, uint64, error) {
	items, _, err := p.Store.Read(ctx, part)
	if err != nil {
		return nil, 0, err
	}
	for _, i := range items {
		part([]mirror.Item{i})
	}
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// TestHostServesBeforeItHasReadAll starts a host whose first read of the store
// does not end.
func TestHostServesBeforeItHasReadAll(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.wrap = func(s marked.Store) marked.Store { return &partStore{s} }
	w.addServer("entry-desk")
	w.addHost()
	w.eventually("the host is ready", func() bool { return w.Router.HostsInRotation() == 1 })
	is.Equal(w.request(entryRoute, 100).Result, stub.Answered)
	is.Equal(w.hosts[0].StoreRevision(), uint64(0))
	// What is missing may be there all the same, so nothing is refused.
	is.Equal(w.request(pressRoute, 100).Result, stub.NotOpened)
	w.unharmed()
}
