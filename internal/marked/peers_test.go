package marked

import (
	"cmp"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"lagoonramp.org/lagoonramp/internal/event"
	"lagoonramp.org/lagoonramp/internal/wire"
	"lagoonramp.org/lagoonramp/pkg/drain"
	"lagoonramp.org/lagoonramp/pkg/gossip"
	"lagoonramp.org/lagoonramp/pkg/mirror"
	"lagoonramp.org/lagoonramp/pkg/steer"
)

// testNow is when newTestPeers hears of the other hosts.
const testNow = time.Second

// newTestPeers returns the peers of a host in data centre a that knows n other
// hosts in each of the data centres a and b. All are ready.
func newTestPeers(t *testing.T, n int) (*peers, *control) {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	address := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	h := &Host{
		settings: &Settings{Name: "h0", DataCentre: "a", PeerAddress: address}, log: zap.NewNop(), sampledLog: zap.NewNop(), clock: newClock(),
		events: event.NewRing("h0", "a"), traffic: &traffic{conn: conn}, client: &http.Client{}, controlStopped: make(chan struct{}),
	}
	t.Cleanup(func() { close(h.controlStopped) })
	c := &control{host: h, replica: mirror.New(mirror.Settings{})}
	c.peers = newPeers(h, conn)
	for i := range 2 * n {
		d := &digest{From: fmt.Sprint("h", i+1), DataCentre: []string{"a", "b"}[i%2], Address: fmt.Sprintf("127.0.9.%d:9", i+1), Report: drain.Report{ReadyFor: time.Minute}}
		c.peers.handleDigest(testNow, d, c)
	}
	return c.peers, c
}

// TestPinsAreSentOnlyWithinDataCentre bounds the cost of a joining host: when
// all pins were sent to all hosts, 91 hosts were overloaded by them.
func TestPinsAreSentOnlyWithinDataCentre(t *testing.T) {
	is := is.New(t)
	p, c := newTestPeers(t, 45)
	is.True(p.host.traffic.allPinsRequested.Load())
	before := p.host.digestsSent.Load()
	p.pendingPins = make([]steer.Pin, maxPinsPerDigest)
	p.sendPins(testNow, c)
	is.Equal(len(p.pendingPins), 0)
	is.Equal(p.host.digestsSent.Load()-before, uint64(45))
	p.host.traffic.allPinsRequested.Store(false)
	p.handleDigest(testNow, &digest{From: "new", DataCentre: "b", Address: "127.0.9.200:9"}, c)
	is.True(!p.host.traffic.allPinsRequested.Load())
}

// TestRestartedHostIsSentPins guards against a restarted host that knows no pins,
// since the others did not tell its process from the former one (rollingTerm).
func TestRestartedHostIsSentPins(t *testing.T) {
	for _, tt := range []struct {
		name string
		next digest
		want bool
	}{
		{"same process", digest{Instance: 1, Report: drain.Report{ReadyFor: time.Minute}}, false},
		{"restarted", digest{Instance: 2}, true},
		{"ready again", digest{Instance: 1, Report: drain.Report{ReadyFor: time.Millisecond}}, true},
		{"restarted in another data centre with ready hosts", digest{Instance: 2, DataCentre: "b"}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p, c := newTestPeers(t, 3)
			first := digest{Instance: 1, Report: drain.Report{ReadyFor: time.Minute}}
			if tt.name == "ready again" {
				first.ReadyFor = 0
			}
			for i, d := range []digest{first, tt.next} {
				d.From, d.Address, d.DataCentre = "h1", "127.0.9.100:9", cmp.Or(tt.next.DataCentre, "a")
				clear(p.pinReceivers)
				p.handleDigest(testNow+time.Duration(i)*time.Second, &d, c)
			}
			_, got := p.pinReceivers[peerID(netip.MustParseAddrPort("127.0.9.100:9"))]
			is.Equal(got, tt.want)
		})
	}
}

// TestPinsReachHostsThatMayGetTheFlows guards against pins that die with the only
// host of a data centre (review/3): routers move its flows to other data centres.
func TestPinsReachHostsThatMayGetTheFlows(t *testing.T) {
	for _, tt := range []struct {
		name  string
		ready int // Of the two other hosts of the data centre.
		want  int
	}{{"no other host", 0, 2}, {"one other host", 1, 3}, {"two other hosts", 2, 2}} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p, c := newTestPeers(t, 0)
			for i := range 2 + tt.ready {
				d := &digest{From: fmt.Sprint("h", i), DataCentre: "b", Address: fmt.Sprintf("127.0.9.%d:9", i+1), Report: drain.Report{ReadyFor: time.Minute}}
				if i >= 2 {
					d.DataCentre = "a"
				}
				p.handleDigest(testNow, d, c)
			}
			before := p.host.digestsSent.Load()
			p.pendingPins = make([]steer.Pin, 1)
			p.sendPins(testNow, c)
			is.Equal(p.host.digestsSent.Load()-before, uint64(tt.want))
			clear(p.pinReceivers)
			p.handOverOnStop(testNow)
			is.Equal(len(p.pinReceivers), tt.want)
		})
	}
}

// TestInvalidPinsAreDropped checks that a request with pins that lack an address or
// a mark, or that is no list of pins, changes nothing else.
func TestInvalidPinsAreDropped(t *testing.T) {
	const valid = `{"Key":{"Caller":"100.64.0.7:40001","Service":"198.18.0.1:443"},"Mark":7}`
	for _, tt := range []struct {
		body         string
		status, pins int
	}{
		{"[" + valid + "]", http.StatusNoContent, 1},
		{"[" + valid + `,{"Mark":7},{"Key":{"Caller":"100.64.0.7:40001"},"Mark":7},{"Key":{"Caller":"100.64.0.7:40001","Service":"198.18.0.1:443"}}]`, http.StatusNoContent, 1},
		{"null", http.StatusNoContent, 0},
		{`[{"Mark":-1}]`, http.StatusBadRequest, 0},
		{`{}`, http.StatusBadRequest, 0},
		{strings.Repeat("[", 20_000), http.StatusBadRequest, 0},
		{"[" + strings.Repeat(valid+",", maxPinsRequestSize/len(valid)) + valid + "]", http.StatusBadRequest, 0},
	} {
		t.Run(tt.body[:min(40, len(tt.body))], func(t *testing.T) {
			is := is.New(t)
			p, _ := newTestPeers(t, 0)
			w := httptest.NewRecorder()
			p.host.servePins(w, httptest.NewRequest(http.MethodPost, pinsPath, strings.NewReader(tt.body)))
			is.Equal(w.Code, tt.status)
			is.Equal(len(p.host.traffic.receivedPins), tt.pins)
		})
	}
}

func TestFitsDatagramLimitsItems(t *testing.T) {
	is := is.New(t)
	p, _ := newTestPeers(t, 1)
	d := &digest{Items: []mirror.Item{{Key: "a", Value: make([]byte, 100), Revision: 1}}}
	is.True(p.fitsDatagram(d))
	d.Items[0].Value = make([]byte, maxDigestSize)
	is.True(!p.fitsDatagram(d))
}

// TestBroadcastFanoutIsBounded bounds the number of digests that a broadcaster
// sends. With 540 hosts, a digest to each would exceed the permitted traffic of
// a host fifty times.
func TestBroadcastFanoutIsBounded(t *testing.T) {
	is := is.New(t)
	p, c := newTestPeers(t, 90)
	before := p.host.digestsSent.Load()
	p.startBroadcast(p.newDigest(0, c, maxBroadcastKnownHosts))
	is.Equal(p.host.digestsSent.Load()-before, uint64(broadcastDegree+1)) // One of them to the other data centre.
	small, c := newTestPeers(t, maxDirectHosts/2)
	before = small.host.digestsSent.Load()
	small.startBroadcast(small.newDigest(0, c, maxBroadcastKnownHosts))
	is.Equal(small.host.digestsSent.Load()-before, uint64(maxDirectHosts))
}

// TestBroadcastIsForwardedAfterCatchUp checks that a host with a stale replica
// forwards a broadcast only when it has caught up, so that the receivers can
// fetch the state from it.
func TestBroadcastIsForwardedAfterCatchUp(t *testing.T) {
	is := is.New(t)
	p, c := newTestPeers(t, 90)
	d := &digest{
		From: "h1", DataCentre: "a", Address: "127.0.9.1:9", Revision: 7,
		Broadcast: &broadcast{Origin: "127.0.9.2:9", DataCentre: "a", Range: gossip.FullRange},
	}
	before := p.host.digestsSent.Load()
	p.handleDigest(0, d, c)
	is.Equal(p.host.digestsSent.Load(), before)
	_, err := c.replica.ApplyDelta(0, &mirror.Delta{Snapshot: true, Version: mirror.Version{Revision: 7}})
	is.NoErr(err)
	p.forwardPendingBroadcasts(0, c)
	is.Equal(p.host.digestsSent.Load()-before, uint64(broadcastDegree))
	p.handleDigest(0, d, c) // The replica is current, so it is forwarded at once.
	is.Equal(p.host.digestsSent.Load()-before, uint64(2*broadcastDegree))
}

// TestDeadHostsExpireDespiteGossip checks that a host which other hosts still
// name in their digests expires nevertheless.
func TestDeadHostsExpireDespiteGossip(t *testing.T) {
	is := is.New(t)
	p, c := newTestPeers(t, 2)
	later := testNow + peerTTL + time.Second
	p.handleDigest(later, &digest{
		From: "h1", DataCentre: "a", Address: "127.0.9.1:9",
		KnownHosts: []knownHost{{Address: "127.0.9.2:9", Age: later}, {Address: "127.0.9.3:9", Age: time.Second}},
	}, c)
	p.removeExpired(later)
	is.Equal(len(p.byID), 2)
	is.True(p.byID[peerID(netip.MustParseAddrPort("127.0.9.2:9"))] == nil)
}

// recordDecoder treats the key of each item as one of lagoonramp's own.
type recordDecoder struct{ Decoder }

func (recordDecoder) ParseOwnKey(i mirror.Item) (string, bool) { return i.Key, true }

// TestHostsAreFoundByStoreRecords checks that a host knows the others of its
// data centre from their records in the store before it receives a digest. It
// has to notify them when it leaves.
func TestHostsAreFoundByStoreRecords(t *testing.T) {
	is := is.New(t)
	p, _ := newTestPeers(t, 0)
	p.host.settings.Decoder = recordDecoder{}
	record := []byte(`{"address":"127.0.9.1:9","dataCentre":"a"}`)
	p.addRecords(0, []mirror.Item{
		{Key: hostRecordPrefix + "h1", Value: record},
		{Key: hostRecordPrefix + "gone", Value: []byte(`{"address":"127.0.9.2:9","dataCentre":"a"}`), Deleted: true},
		{Key: hostRecordPrefix + "broken", Value: []byte(`{`)},
		{Key: "other", Value: record},
	})
	is.Equal(p.idsByDataCentre["a"], []uint64{peerID(netip.MustParseAddrPort("127.0.9.1:9"))})
	is.Equal(len(p.byID), 1)
}

// TestCountLiveExcludesStoreRecords checks that hosts that are known only from
// their records in the store do not count as live, since they may be down:
// after a power failure of all hosts, the first one that returns receives all
// flows.
func TestCountLiveExcludesStoreRecords(t *testing.T) {
	is := is.New(t)
	p, c := newTestPeers(t, 0)
	p.host.settings.Decoder = recordDecoder{}
	p.addRecords(time.Second, []mirror.Item{
		{Key: hostRecordPrefix + "h1", Value: []byte(`{"address":"127.0.9.1:9","dataCentre":"a"}`)},
		{Key: hostRecordPrefix + "h2", Value: []byte(`{"address":"127.0.9.2:9","dataCentre":"b"}`)},
	})
	is.Equal(p.countLive(time.Second), 0)
	p.handleDigest(time.Second, &digest{From: "h1", DataCentre: "a", Address: "127.0.9.1:9"}, c)
	is.Equal(p.countLive(time.Second), 1)
	p.handleDigest(2*time.Second, &digest{
		From: "h1", DataCentre: "a", Address: "127.0.9.1:9",
		KnownHosts: []knownHost{{Address: "127.0.9.2:9", Age: 500 * time.Millisecond}},
	}, c)
	is.Equal(p.countLive(2*time.Second), 2)
	is.Equal(p.countLive(2*time.Second+liveWindow+2*liveWindowPerHost), 0)
}

// TestFirstDigestIsAnswered checks that a host answers the first digest of
// another host of its data centre, so that both know each other.
func TestFirstDigestIsAnswered(t *testing.T) {
	is := is.New(t)
	p, c := newTestPeers(t, 0)
	for i, want := range []uint64{1, 1, 1} { // One answer; none to another data centre.
		centre := "a"
		if i == 2 {
			centre = "b"
		}
		p.handleDigest(0, &digest{From: "h" + centre, DataCentre: centre, Address: "127.0.9." + fmt.Sprint(1+i/2) + ":9"}, c)
		is.Equal(p.host.digestsSent.Load(), want)
	}
}

// TestReadyHostStartsReroutingWindow guards against second servers for flows that
// routers move to a host that becomes ready (review/2): a host has to expect that
// from any host of its data centre, and from the first one of another.
func TestReadyHostStartsReroutingWindow(t *testing.T) {
	const now = time.Minute
	justReady := drain.Report{ReadyFor: 10 * time.Millisecond}
	const window = now + joinReroutingWindow - 10*time.Millisecond
	for _, tt := range []struct {
		name   string
		centre string
		report drain.Report
		// others are the reports of other hosts of data centre b, each sent at the
		// given time.
		others map[time.Duration]drain.Report
		want   time.Duration
	}{
		{name: "just ready", centre: "a", report: justReady, want: window},
		{name: "not ready yet", centre: "a"},
		{name: "ready for the whole window", centre: "a", report: drain.Report{ReadyFor: joinReroutingWindow}},
		{name: "only host of another data centre", centre: "b", report: justReady, want: window},
		{
			name: "another host of that data centre is ready", centre: "b", report: justReady,
			others: map[time.Duration]drain.Report{now: {ReadyFor: time.Minute}},
		},
		{
			name: "the other host of that data centre is stopping", centre: "b", report: justReady,
			others: map[time.Duration]drain.Report{now: {SinceStopRequest: time.Second}}, want: window,
		},
		{
			name: "the other host of that data centre is silent", centre: "b", report: justReady,
			others: map[time.Duration]drain.Report{now / 2: {ReadyFor: time.Minute}}, want: window,
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p, c := newTestPeers(t, 0)
			for at, report := range tt.others {
				p.handleDigest(at, &digest{From: "h2", DataCentre: "b", Address: "127.0.9.2:9", Report: report}, c)
			}
			p.handleDigest(now, &digest{From: "h1", DataCentre: tt.centre, Address: "127.0.9.1:9", Report: tt.report}, c)
			is.Equal(time.Duration(p.host.traffic.reroutingEnd.Load()), tt.want)
		})
	}
}

// TestReadinessReachesHostsWithFlowsOfDataCentre guards against a host of another
// data centre that does not learn that the only host of this one has returned
// (review/2). In a large data centre only hosts of it are told.
func TestReadinessReachesHostsWithFlowsOfDataCentre(t *testing.T) {
	for _, tt := range []struct{ own, other, want int }{
		{0, 0, 0}, {0, 6, 6}, {0, 40, 40}, {1, 40, 41}, {6, 6, 12}, {2, 40, 2}, {45, 45, maxDirectHosts},
	} {
		t.Run(fmt.Sprint(tt), func(t *testing.T) {
			is := is.New(t)
			p, c := newTestPeers(t, 0)
			for i := range tt.own + tt.other {
				centre := "a"
				if i >= tt.own {
					centre = "b"
				}
				p.observeHost(testNow, netip.MustParseAddrPort(fmt.Sprintf("127.0.9.%d:9", i+1)), centre, testNow)
			}
			p.updateHostLists()
			p.notifyReadiness(testNow, c)
			is.Equal(p.host.digestsSent.Load(), uint64(tt.want))
		})
	}
}

// TestForgedDigestsAreBounded checks that forged digests neither make the
// replica appear current in the future nor accumulate without limit.
func TestForgedDigestsAreBounded(t *testing.T) {
	is := is.New(t)
	p, c := newTestPeers(t, 1)
	_, err := c.replica.ApplyDelta(0, &mirror.Delta{Snapshot: true, Version: mirror.Version{Revision: 7}})
	is.NoErr(err)
	now := time.Minute
	p.handleDigest(now, &digest{From: "x", Address: "127.0.9.77:9", Revision: 7, Age: -time.Hour}, c)
	is.Equal(c.replica.Age(2*time.Minute), time.Minute)
	for i := range 1000 {
		p.handleDigest(now, &digest{
			From: "x", Address: "127.0.9.77:9", Revision: 9,
			Broadcast: &broadcast{Origin: fmt.Sprintf("127.0.8.1:%d", i+1), Range: gossip.FullRange},
		}, c)
	}
	is.True(len(p.pendingBroadcasts) <= maxPendingBroadcasts)
}

// TestQueuedDigestIsOld guards against a view that counts as current because of a
// digest that was received before a pause of the process and is handled after it.
func TestQueuedDigestIsOld(t *testing.T) {
	is := is.New(t)
	p, c := newTestPeers(t, 1)
	_, err := c.replica.ApplyDelta(0, &mirror.Delta{Snapshot: true, Version: mirror.Version{Revision: 7}})
	is.NoErr(err)
	p.host.controlTasks = make(chan func(*control), 1)
	p.queueDigest(&digest{From: "h1", DataCentre: "a", Address: "127.0.9.1:9", Revision: 7})
	handle := <-p.host.controlTasks
	received := p.host.now()
	time.Sleep(20 * time.Millisecond)
	handle(c)
	is.True(c.replica.Age(received) >= 0)
}

func TestSetLimits(t *testing.T) {
	is := is.New(t)
	services := []wire.ServiceStatus{{Name: "desk"}, {Name: "press"}}
	setLimits(services, &[]steer.ServiceReport{{Service: "press", Limit: 7, Waiting: 3}, {Service: "gone", Limit: 9}})
	is.Equal(services, []wire.ServiceStatus{{Name: "desk"}, {Name: "press", Limit: 7, Waiting: 3}})
	setLimits(services, nil) // As before the first report.
}
