package marked

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
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

// newTestPeers returns the peers of a host in data centre a that knows n hosts
// in each of two data centres.
func newTestPeers(t *testing.T, n int) (*peers, *control) {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	own := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	h := &Host{
		set: &Settings{Name: "h0", DataCentre: "a", PeerAddress: own}, log: zap.NewNop(), clock: newClock(),
		events: event.NewRing("h0", "a"), traffic: &traffic{}, client: &http.Client{}, stopped: make(chan struct{}),
	}
	t.Cleanup(func() { close(h.stopped) })
	c := &control{host: h, replica: mirror.New(mirror.Settings{})}
	c.peers = newPeers(h, conn)
	for i := range 2 * n {
		d := &digest{From: fmt.Sprint("h", i+1), DataCentre: []string{"a", "b"}[i%2], Address: fmt.Sprintf("127.0.9.%d:9", i+1)}
		c.peers.heard(0, d, c)
	}
	return c.peers, c
}

// TestPinsStayInTheDataCentre bounds what a joining host costs: when all pins
// went to all hosts, 91 hosts choked on them.
func TestPinsStayInTheDataCentre(t *testing.T) {
	is := is.New(t)
	p, c := newTestPeers(t, 45)
	is.True(p.host.traffic.wanted.Load())
	before := p.host.digestsSent.Load()
	p.pins = make([]steer.Pin, maxPins)
	p.tellPins(0, c)
	is.Equal(len(p.pins), 0)
	is.Equal(p.host.digestsSent.Load()-before, uint64(45))
	p.host.traffic.wanted.Store(false)
	p.heard(0, &digest{From: "new", DataCentre: "b", Address: "127.0.9.200:9"}, c)
	is.True(!p.host.traffic.wanted.Load())
}

func TestChangesThatDoNotFitAreLeftOut(t *testing.T) {
	is := is.New(t)
	p, _ := newTestPeers(t, 1)
	d := &digest{Items: []mirror.Item{{Key: "a", Value: make([]byte, 100), Revision: 1}}}
	is.True(p.fits(d))
	d.Items[0].Value = make([]byte, maxDigest)
	is.True(!p.fits(d))
}

// TestRoundsCostLittle bounds what a host sends that tells all others: at 540
// hosts a digest to each would be fifty times what a host may spend.
func TestRoundsCostLittle(t *testing.T) {
	is := is.New(t)
	p, c := newTestPeers(t, 90)
	before := p.host.digestsSent.Load()
	p.beginRound(p.digest(0, c, roundKnown))
	is.Equal(p.host.digestsSent.Load()-before, uint64(roundDegree+1)) // The other data centre gets one.
	few, c := newTestPeers(t, directHosts/2)
	before = few.host.digestsSent.Load()
	few.beginRound(few.digest(0, c, roundKnown))
	is.Equal(few.host.digestsSent.Load()-before, uint64(directHosts))
}

// TestRoundWaitsForTheState checks that a host that is behind hands a round on
// when it has caught up, so that others find the state at it.
func TestRoundWaitsForTheState(t *testing.T) {
	is := is.New(t)
	p, c := newTestPeers(t, 90)
	d := &digest{
		From: "h1", DataCentre: "a", Address: "127.0.9.1:9", Revision: 7,
		Round: &round{Origin: "127.0.9.2:9", DataCentre: "a", Part: gossip.FullRange},
	}
	before := p.host.digestsSent.Load()
	p.heard(0, d, c)
	is.Equal(p.host.digestsSent.Load(), before)
	_, err := c.replica.ApplyDelta(0, &mirror.Delta{Snapshot: true, Revision: 7})
	is.NoErr(err)
	p.handOnWaiting(0, c)
	is.Equal(p.host.digestsSent.Load()-before, uint64(roundDegree))
	p.heard(0, d, c) // Nothing to wait for now.
	is.Equal(p.host.digestsSent.Load()-before, uint64(2*roundDegree))
}

// TestDeadHostsAreForgotten checks that hosts which others still name do not
// come back by that.
func TestDeadHostsAreForgotten(t *testing.T) {
	is := is.New(t)
	p, c := newTestPeers(t, 2)
	later := forgetPeer + time.Second
	p.heard(later, &digest{
		From: "h1", DataCentre: "a", Address: "127.0.9.1:9",
		Known: []knownHost{{Address: "127.0.9.2:9", Age: later}, {Address: "127.0.9.3:9", Age: time.Second}},
	}, c)
	p.forget(later)
	is.Equal(len(p.known), 2)
	is.True(p.known[peerID(netip.MustParseAddrPort("127.0.9.2:9"))] == nil)
}

// recordDecoder takes every item for one of the product's own.
type recordDecoder struct{ Decoder }

func (recordDecoder) ParseOwnKey(i mirror.Item) (string, bool) { return i.Key, true }

// TestHostsKnowEachOtherByTheirRecords checks that a host knows the others of
// its data centre before one of them has told it anything: it has to tell them
// when it leaves.
func TestHostsKnowEachOtherByTheirRecords(t *testing.T) {
	is := is.New(t)
	p, _ := newTestPeers(t, 0)
	p.host.set.Decoder = recordDecoder{}
	record := []byte(`{"address":"127.0.9.1:9","dataCentre":"a"}`)
	p.learnRecords(0, []mirror.Item{
		{Key: hostRecords + "h1", Value: record},
		{Key: hostRecords + "gone", Value: []byte(`{"address":"127.0.9.2:9","dataCentre":"a"}`), Deleted: true},
		{Key: hostRecords + "broken", Value: []byte(`{`)},
		{Key: "other", Value: record},
	})
	is.Equal(p.centres["a"], []uint64{peerID(netip.MustParseAddrPort("127.0.9.1:9"))})
	is.Equal(len(p.known), 1)
}

// TestOnlyLiveHostsShareTheServers checks that hosts which may be down do not
// count: after a power-off of all, the first host that is back takes all flows.
func TestOnlyLiveHostsShareTheServers(t *testing.T) {
	is := is.New(t)
	p, c := newTestPeers(t, 0)
	p.host.set.Decoder = recordDecoder{}
	p.learnRecords(time.Second, []mirror.Item{
		{Key: hostRecords + "h1", Value: []byte(`{"address":"127.0.9.1:9","dataCentre":"a"}`)},
		{Key: hostRecords + "h2", Value: []byte(`{"address":"127.0.9.2:9","dataCentre":"b"}`)},
	})
	is.Equal(p.live(time.Second), 0)
	p.heard(time.Second, &digest{From: "h1", DataCentre: "a", Address: "127.0.9.1:9"}, c)
	is.Equal(p.live(time.Second), 1)
	p.heard(2*time.Second, &digest{
		From: "h1", DataCentre: "a", Address: "127.0.9.1:9",
		Known: []knownHost{{Address: "127.0.9.2:9", Age: 500 * time.Millisecond}},
	}, c)
	is.Equal(p.live(2*time.Second), 2)
	is.Equal(p.live(2*time.Second+liveFor+2*livePerHost), 0)
}

// TestNewHostIsGreeted checks that a host answers the first digest of another
// one of its data centre, so that both know each other.
func TestNewHostIsGreeted(t *testing.T) {
	is := is.New(t)
	p, c := newTestPeers(t, 0)
	for i, want := range []uint64{1, 1, 1} { // Once, and none to another data centre.
		centre := "a"
		if i == 2 {
			centre = "b"
		}
		p.heard(0, &digest{From: "h" + centre, DataCentre: centre, Address: "127.0.9." + fmt.Sprint(1+i/2) + ":9"}, c)
		is.Equal(p.host.digestsSent.Load(), want)
	}
}

// TestHostThatBecomesReadyUnsettlesItsDataCentre checks that hosts expect the
// routers to move flows when another one comes.
func TestHostThatBecomesReadyUnsettlesItsDataCentre(t *testing.T) {
	for _, tt := range []struct {
		name   string
		centre string
		report drain.Report
		want   time.Duration
	}{
		{"just ready", "a", drain.Report{ReadyFor: 10 * time.Millisecond}, time.Minute + joinFor - 10*time.Millisecond},
		{"not ready yet", "a", drain.Report{}, 0},
		{"ready for long", "a", drain.Report{ReadyFor: joinFor}, 0},
		{"elsewhere", "b", drain.Report{ReadyFor: 10 * time.Millisecond}, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p, c := newTestPeers(t, 0)
			p.heard(time.Minute, &digest{From: "h1", DataCentre: tt.centre, Address: "127.0.9.1:9", Report: tt.report}, c)
			is.Equal(time.Duration(p.host.traffic.unsettledEnd.Load()), tt.want)
		})
	}
}

// TestForgedDigestsAreBounded checks that digests of strangers neither make a
// view look fresh for ever nor pile up.
func TestForgedDigestsAreBounded(t *testing.T) {
	is := is.New(t)
	p, c := newTestPeers(t, 1)
	_, err := c.replica.ApplyDelta(0, &mirror.Delta{Snapshot: true, Revision: 7})
	is.NoErr(err)
	now := time.Minute
	p.heard(now, &digest{From: "x", Address: "127.0.9.77:9", Revision: 7, Age: -time.Hour}, c)
	is.Equal(c.replica.Age(2*time.Minute), time.Minute)
	for i := range 1000 {
		p.heard(now, &digest{
			From: "x", Address: "127.0.9.77:9", Revision: 9,
			Round: &round{Origin: fmt.Sprintf("127.0.8.1:%d", i+1), Part: gossip.FullRange},
		}, c)
	}
	is.True(len(p.waiting) <= maxWaiting)
}

func TestStatusTellsLimits(t *testing.T) {
	is := is.New(t)
	services := []wire.ServiceStatus{{Name: "desk"}, {Name: "press"}}
	addLimits(services, &[]steer.ServiceReport{{Service: "press", Limit: 7, Waiting: 3}, {Service: "gone", Limit: 9}})
	is.Equal(services, []wire.ServiceStatus{{Name: "desk"}, {Name: "press", Limit: 7, Waiting: 3}})
	addLimits(services, nil) // Before the first report.
}
