package steer

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoonramp.org/lagoonramp/internal/vtime"
	"lagoonramp.org/lagoonramp/pkg/fleet"
)

const (
	// testLinkRate is the rate in bytes per second of a link of 10 Mbit/s.
	testLinkRate = 10e6 / 8
	// An upload has uploadPackets packets of uploadPacketSize bytes.
	uploadPackets, uploadPacketSize = 80, 1000
	readSize                        = 300
)

// linkSim simulates reads and uploads through a host whose link queues packets.
type linkSim struct {
	vtime.Clock
	table *Table
	// freeAt is when the link has sent all packets so far.
	freeAt time.Duration
	// readDelays holds the times that the packets of reads were queued.
	readDelays                          []time.Duration
	heldReads, heldUploads, doneUploads int
}

// runLink simulates 200 reads per second, and uploads that triple from 1 to 4 s to
// 1.9 times the link. The table knows the link if linkRate is not 0.
func runLink(seed uint64, linkRate float64) *linkSim {
	w := &linkSim{table: NewTable(Settings{DataCentre: "a", LinkRate: linkRate, Rand: rand.New(rand.NewPCG(seed, 3))})}
	v := testView("a")
	v.Usable["desk"][0].Slots = 10_000 // Only the link limits.
	for n := range 2 {
		v.Routes[burstRoute(n)] = &fleet.RouteState{
			Targets: []fleet.Target{{Service: "desk", Weight: 1}}, Objective: 1500 * ms, Timeout: 12 * time.Second,
		}
	}
	w.table.SetView(0, v)
	rng := rand.New(rand.NewPCG(seed, 4))
	start := func(route int, rate func() float64) {
		var next func()
		n := 0
		next = func() {
			w.open(Key{Caller: netip.AddrPortFrom(caller, uint16(n)), Service: burstRoute(route)})
			n++
			w.After(time.Duration(rng.ExpFloat64()/rate()*float64(time.Second)), next)
		}
		next()
	}
	start(0, func() float64 { return 200 })
	start(1, func() float64 {
		if w.Now() > time.Second && w.Now() < 4*time.Second {
			return 30
		}
		return 10
	})
	w.Every(ms, func() bool {
		for r, ok := w.table.NextResend(w.Now()); ok; r, ok = w.table.NextResend(w.Now()) {
			if r.Server != nil {
				w.send(r.Key, r.Server)
			}
		}
		return true
	})
	w.RunUntil(6 * time.Second)
	return w
}

// open sends the SYN of a flow.
func (w *linkSim) open(k Key) {
	v := w.table.HandlePacket(w.Now(), &Packet{Key: k, SYN: true, UntilNext: 200 * ms}, rawSYN)
	isRead := k.Service == burstRoute(0)
	switch {
	case v.Action == Forward:
		w.send(k, v.Server)
	case isRead:
		w.heldReads++
	default:
		w.heldUploads++
	}
}

// send sends the data of a flow that has opened.
func (w *linkSim) send(k Key, s *fleet.Server) {
	if k.Service == burstRoute(0) {
		w.readDelays = append(w.readDelays, w.forward(k, s, readSize))
		return
	}
	w.doneUploads++
	for i := range uploadPackets {
		w.After(time.Duration(i)*ms/2, func() { w.forward(k, s, uploadPacketSize) })
	}
}

// forward sends a packet through the link and returns how long it was queued.
func (w *linkSim) forward(k Key, s *fleet.Server, size int) time.Duration {
	w.table.HandlePacket(w.Now(), &Packet{Key: k, Mark: s.Mark, Length: size, Ack: 1}, make([]byte, size))
	queued := max(0, w.freeAt-w.Now())
	w.freeAt = w.Now() + queued + time.Duration(float64(size)/testLinkRate*float64(time.Second))
	return queued
}

// TestUploadsWaitForLink guards against a burst of uploads that fills the queue of
// the host's link and delays the flows of all routes.
func TestUploadsWaitForLink(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		without, with := runLink(seed, 0), runLink(seed, testLinkRate)
		is.Equal(without.heldUploads, 0)
		is.True(slices.Max(without.readDelays) > time.Second)
		// The backlog may exceed the window by an upload, which takes 64 ms.
		is.True(slices.Max(with.readDelays) < 300*ms)
		is.Equal(with.heldReads, 0)
		is.True(with.heldUploads > 0)
		// The link is used: at least 0.8 of what it carries in the 3 s of the burst.
		is.True(float64(with.doneUploads*uploadPackets*uploadPacketSize) > 0.8*3*testLinkRate+2*10*uploadPackets*uploadPacketSize)
	}
}

// TestLinkHoldEnds checks that a SYN that waits for the link is refused when its
// hold ends, that NextDeadline keeps the host awake for it until then, and that
// it is released if the link has room.
func TestLinkHoldEnds(t *testing.T) {
	for _, staysFull := range []bool{true, false} {
		is := is.New(t)
		table := NewTable(Settings{DataCentre: "a", LinkRate: 1000, Rand: rand.New(rand.NewPCG(1, 3))})
		v := testView("a")
		v.Routes[routeAddress].Objective, v.Routes[routeAddress].Timeout = 250*ms, 1200*ms
		table.SetView(0, v)
		s := table.testSYNTransmission(0, 1, 0).Server
		data := func(now time.Duration) {
			table.HandlePacket(now, &Packet{Key: key(1), Mark: s.Mark, Length: 500}, make([]byte, 500))
		}
		data(ms)
		is.Equal(table.testSYNTransmission(2*ms, 2, 0).Action, Hold)
		for now := 10 * ms; now < 700*ms; now += 10 * ms {
			at, ok := table.NextDeadline()
			is.True(ok && at <= now+linkBucket)
			if staysFull {
				data(now)
			}
			if now == 200*ms {
				table.testSYNTransmission(now, 2, 1)
			}
			if r, ok := table.NextResend(now); ok {
				is.Equal(r.Key, key(2))
				is.Equal(r.Server == nil, staysFull)
				is.Equal(r.LinkFull, staysFull)
				is.Equal(table.linkQueue.Len(), 0)
				break
			}
		}
		is.Equal(table.linkQueue.Len(), 0)
	}
}

// TestLinkReleasesAfterUrgentSYNs guards against a SYN that waited for the link and
// is sent ahead of more urgent ones that wait for the limiter of the service.
func TestLinkReleasesAfterUrgentSYNs(t *testing.T) {
	is := is.New(t)
	table := newOverloadedTable(1)
	upload := *table.view.Routes[routeAddress]
	upload.Priority = 1
	table.view.Routes[urgentKey(2).Service] = &upload
	table.testSYNTransmission(0, 1, 0)
	table.link.setRate(1000)
	table.link.recordFlow(0, urgentKey(2).Service)
	table.link.recordPacket(0, urgentKey(2).Service, 1000)
	is.Equal(table.HandlePacket(ms, &Packet{Key: urgentKey(2), SYN: true, UntilNext: 200 * ms}, rawSYN).Action, Hold)
	is.Equal(table.linkQueue.Len(), 1)
	l := table.limiter("desk")
	l.limit, l.inFlight, l.slotShare = 50, 49, 50 // Room for one.
	table.link.setRate(0)
	r, ok := table.NextResend(10 * ms)
	is.True(ok)
	is.Equal(r.Key, key(1))
	is.Equal(l.held.Len()+table.linkQueue.Len(), 1)
}
