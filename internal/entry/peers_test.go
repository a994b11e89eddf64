package entry

import (
	"fmt"
	"net"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"lagoonramp.org/lagoonramp/internal/event"
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
		set: &Settings{Name: "h0", DataCentre: "a", Peer: own}, log: zap.NewNop(), clock: newClock(),
		events: event.NewRing("h0", "a"), traffic: &traffic{},
	}
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
	p.tellPins(0, make([]steer.Pin, maxPins), c)
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
