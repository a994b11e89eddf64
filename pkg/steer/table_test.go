package steer

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoonramp.org/lagoonramp/pkg/fleet"
)

var (
	routeAddress = netip.MustParseAddrPort("198.18.0.1:443")
	caller       = netip.MustParseAddr("100.64.0.7")
)

const ms = time.Millisecond

// newTestTable returns a table for a service with one server in each of the
// given data centres.
func newTestTable(seed uint64, centres ...string) *Table {
	t := NewTable(Settings{DataCentre: "a", Rand: rand.New(rand.NewPCG(seed, 3))})
	t.SetView(0, testView(centres...))
	return t
}

// testView returns a view of a service with one server in each of the given
// data centres. The marks count from 1.
func testView(centres ...string) *fleet.View {
	v := &fleet.View{
		DocumentVersion: 1, Usable: map[string][]*fleet.Server{}, ServersByMark: map[uint32]*fleet.Server{},
		Routes: map[netip.AddrPort]*fleet.RouteState{routeAddress: {Targets: []fleet.Target{{Service: "desk", Weight: 1}}}},
	}
	for i, c := range centres {
		s := &fleet.Server{ID: fmt.Sprint(i + 1), Service: "desk", DataCentre: c, Slots: 2, Mark: uint32(i + 1)}
		v.Usable["desk"] = append(v.Usable["desk"], s)
		v.ServersByMark[s.Mark] = s
	}
	return v
}

func key(n int) Key {
	return Key{Caller: netip.AddrPortFrom(caller, uint16(1024+n)), Service: routeAddress}
}

// rawSYN is a placeholder for the bytes of a SYN.
var rawSYN = make([]byte, 36)

func (t *Table) testSYN(now time.Duration, n, retransmits int) Verdict {
	return t.HandlePacket(now, &Packet{Key: key(n), Sequence: uint32(n), SYN: true, Retransmits: retransmits}, rawSYN)
}

// testSYNAfter sends a retransmitted SYN that the caller first sent a given
// time ago.
func (t *Table) testSYNAfter(now time.Duration, n, retransmits int, sinceFirst time.Duration) Verdict {
	return t.HandlePacket(now, &Packet{Key: key(n), Sequence: uint32(n), SYN: true, Retransmits: retransmits, SinceFirst: sinceFirst, UntilNext: 200 * ms << retransmits}, rawSYN)
}

// testData sends a packet with a request or an acknowledgement.
func (t *Table) testData(now time.Duration, n int, mark uint32, ack uint32, length int) Verdict {
	return t.HandlePacket(now, &Packet{Key: key(n), Mark: mark, Ack: ack, Length: length}, nil)
}

func TestRetransmittedSYNGoesToSameServer(t *testing.T) {
	is := is.New(t)
	table := newTestTable(1, "a", "a", "b", "b")
	first := table.testSYN(0, 1, 0)
	is.Equal(first.Action, Forward)
	for i := range 2 {
		is.Equal(table.testSYN(ms, 1, i+1).Server, first.Server)
	}
}

func TestMarkedPacketsNeedNoFlowState(t *testing.T) {
	is := is.New(t)
	opened := newTestTable(1, "a", "a", "b").testSYN(0, 1, 0).Server
	for seed := range uint64(10) {
		restarted := newTestTable(seed, "a", "a", "b")
		v := restarted.testData(0, 1, opened.Mark, 7, 100)
		is.Equal(v.Action, Forward)
		is.Equal(v.Server.Mark, opened.Mark)
	}
}

func TestDropAndRefuseReasons(t *testing.T) {
	is := is.New(t)
	empty := NewTable(Settings{Rand: rand.New(rand.NewPCG(1, 1))})
	is.Equal(empty.testSYN(0, 1, 0), Verdict{Reason: NoView})
	table := newTestTable(1, "a")
	is.Equal(table.testData(0, 1, 99, 0, 1), Verdict{Reason: UnknownMark})
	is.Equal(table.testData(0, 1, 0, 0, 1), Verdict{Reason: UnknownMark})
	other := Key{Caller: key(1).Caller, Service: netip.MustParseAddrPort("198.18.0.9:443")}
	is.Equal(table.HandlePacket(0, &Packet{Key: other, SYN: true}, rawSYN), Verdict{Action: Refuse, Reason: NoRoute})
	v := testView()
	table.SetView(0, v)
	is.Equal(table.testSYN(0, 2, 0), Verdict{Action: Refuse, Reason: NoServer})
	v = testView()
	v.Incomplete = true
	table.SetView(0, v)
	is.Equal(table.testSYN(0, 2, 0), Verdict{Reason: NoServer})
}

func TestMarkOfAnotherServiceIsDropped(t *testing.T) {
	is := is.New(t)
	v := testView("a")
	v.ServersByMark[9] = &fleet.Server{ID: "x", Service: "press", Mark: 9}
	table := newTestTable(1)
	table.SetView(0, v)
	is.Equal(table.testData(0, 1, 9, 0, 1).Reason, UnknownMark)
}

// testResendAll returns the marks of the servers to which SYNs are resent by
// now.
func (t *Table) testResendAll(now time.Duration) []uint32 {
	var out []uint32
	for r, ok := t.NextResend(now); ok; r, ok = t.NextResend(now) {
		out = append(out, r.Server.Mark)
	}
	return out
}

func TestUnresponsiveServerIsReplacedAndAvoided(t *testing.T) {
	is := is.New(t)
	table := newTestTable(1, "a", "b", "c")
	unresponsive := table.testSYN(0, 1, 0).Server.Mark
	is.Equal(table.testResendAll(initialHandshakeTimeout-ms), nil)
	second := table.testResendAll(initialHandshakeTimeout)
	is.Equal(len(second), 1)
	is.True(second[0] != unresponsive)
	table.testData(initialHandshakeTimeout+5*ms, 1, second[0], 7, 10)
	is.Equal(table.testResendAll(time.Second), nil) // The flow is open.
	for n := range 20 {
		is.True(table.testSYN(initialHandshakeTimeout+6*ms, 10+n, 0).Server.Mark != unresponsive)
	}
}

// TestAvoidedServerIsProbedWithOneFlow checks that callers' flows go to a server
// that did not answer only after a probe has reached it: a server whose process
// has ended resets them. Then one flow goes to it.
func TestAvoidedServerIsProbedWithOneFlow(t *testing.T) {
	is := is.New(t)
	table := newTestTable(1, "a", "b", "c")
	unresponsive := table.testSYN(0, 1, 0).Server.Mark
	table.testResendAll(initialHandshakeTimeout)
	now := initialHandshakeTimeout + initialBackoff
	countTries := func(first int) int {
		tried := 0
		for n := range 20 {
			if table.testSYN(now, first+n, 0).Server.Mark == unresponsive {
				tried++
			}
		}
		return tried
	}
	is.Equal(countTries(10), 0)
	is.Equal(table.newProbes[0].Reference, nil) // No open flow depends on the server.
	is.Equal(table.testProbeAll(now, ProbeInconclusive), []uint32{unresponsive})
	now += 2 * initialBackoff
	is.Equal(countTries(30), 0)
	is.Equal(table.testProbeAll(now, ProbeAnswered), []uint32{unresponsive})
	is.Equal(countTries(50), 1)
}

func TestServiceWithOnlySuspectServersAcceptsFlows(t *testing.T) {
	is := is.New(t)
	table := newTestTable(1, "a", "b", "c")
	now := time.Duration(0)
	for n := range 50 {
		v := table.testSYN(now, n, 0)
		is.Equal(v.Action, Forward)
		now += 5 * ms
		table.testResendAll(now)
	}
	is.Equal(table.testSYN(now, 100, 0).Action, Forward)
}

// TestSecondTryAvoidsUnreachableDataCentre guards against a second try that fails
// with the first because a data centre is cut off: it goes to the host's own data
// centre, or to another one if the first try was there.
func TestSecondTryAvoidsUnreachableDataCentre(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(30) {
		table := newTestTable(seed, "a", "a", "b", "b", "c", "c")
		first := table.testSYN(0, 1, 0).Server
		second := table.view.ServersByMark[table.testResendAll(initialHandshakeTimeout)[0]]
		if first.DataCentre == "a" {
			is.True(second.DataCentre != "a")
		} else {
			is.Equal(second.DataCentre, "a")
		}
	}
}

// TestFlowStaysAtServerThatOpenedIt guards against a flow that changes servers
// because its SYN went to two and both answered. For every sequence of marks in
// the caller's packets, the packets must reach the server whose answer the
// caller received first, at this host and at another one that got the pin.
func TestFlowStaysAtServerThatOpenedIt(t *testing.T) {
	for order := range 64 {
		t.Run(fmt.Sprintf("%06b", order), func(t *testing.T) {
			is := is.New(t)
			table := newTestTable(uint64(order), "a", "b")
			first := table.testSYN(0, 1, 0).Server.Mark
			second := table.testResendAll(initialHandshakeTimeout)[0]
			opened := first
			if order&1 == 1 {
				opened = second
			}
			now := initialHandshakeTimeout + ms
			is.Equal(table.testData(now, 1, opened, 7, 10).Server.Mark, opened)
			informed := newTestTable(99, "a", "b")
			otherMarkSeen := false
			for bit := 1; bit < 6; bit++ {
				m := first
				if order>>bit&1 == 1 {
					m = second
				}
				now += ms
				is.Equal(table.testData(now, 1, m, 7, 10).Server.Mark, opened)
				otherMarkSeen = otherMarkSeen || m != opened
				for _, p := range table.TakePins() {
					informed.AddPin(now, p)
				}
				is.Equal(informed.testData(now, 1, m, 7, 10).Server.Mark, opened)
				_, received := informed.Pins()
				is.Equal(len(received) > 0, otherMarkSeen) // A pin is announced only if the packets carry two marks.
				reset := table.HandlePacket(now, &Packet{Key: key(1), Mark: m, Reset: true}, nil)
				is.Equal(reset.Server.Mark, m) // A reset goes to the server that caused it.
				table.flows[key(1)].ended = false
			}
		})
	}
}

// TestDelayedSYNFromAnotherHostKeepsFlowPinned guards against a broken flow
// that soak seed 117 found: a host that was paused sends a SYN to a server
// after its caller has opened the flow through another host. The answer of that
// second server changes the mark in the packets of the open flow.
func TestDelayedSYNFromAnotherHostKeepsFlowPinned(t *testing.T) {
	is := is.New(t)
	table := newTestTable(1, "a", "b")
	opened := table.testSYN(0, 1, 2).Server.Mark
	other := 3 - opened
	is.Equal(table.testData(ms, 1, opened, 7, 10).Server.Mark, opened)
	is.Equal(table.testData(2*ms, 1, other, 7, 0).Server.Mark, opened)
	is.Equal(len(table.TakePins()), 1)
}

// TestAdoptedFlowStaysAtItsFirstServer guards against an open flow that follows a
// late answer of a second server to its SYN (review/2): another host had sent the
// SYN to both, and routers moved the flow before it was open.
func TestAdoptedFlowStaysAtItsFirstServer(t *testing.T) {
	const pause = 12 * time.Second
	for _, tt := range []struct {
		name   string
		length int // Of the first packet, which completes the handshake.
	}{{"opened by data", 10}, {"opened by an acknowledgement", 0}} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := newTestTable(1, "a", "b")
			is.Equal(table.testData(0, 1, 1, 7, tt.length).Server.Mark, uint32(1))
			is.Equal(table.testData(ms, 1, 1, 7, 10).Server.Mark, uint32(1))
			v := table.testData(pause, 1, 2, 8, 10)
			is.Equal(v.Server.Mark, uint32(1))
			is.True(v.ForeignMark)
			is.Equal(table.TakePins(), []Pin{{Key: key(1), Mark: 1}})
			reset := table.HandlePacket(pause, &Packet{Key: key(1), Mark: 2, Reset: true}, nil)
			is.Equal(reset.Server.Mark, uint32(2)) // It goes to the server that caused it.
		})
	}
}

// TestOpenFlowsSYNReachesNoSecondServer guards against a host that gives an open
// flow a second server and takes it for the flow's (rollingTerm): a retransmitted SYN
// is held here, or arrives late, while the flow opens at the server to which another
// host sent the first SYN.
func TestOpenFlowsSYNReachesNoSecondServer(t *testing.T) {
	for _, opened := range []uint32{1, 2} {
		t.Run(fmt.Sprint("held, opened at ", opened), func(t *testing.T) {
			is := is.New(t)
			table := newOverloadedTable(uint64(opened))
			is.Equal(table.testSYNTransmission(0, 1, 1).Action, Hold)
			is.Equal(table.testData(ms, 1, opened, 7, 10).Server.Mark, opened)
			l := table.limiter("desk")
			l.limit, l.inFlight, l.slotShare = 50, 0, 50
			is.Equal(table.testResendAll(2*time.Second), nil)
			is.Equal(table.testData(3*time.Second, 1, 3-opened, 8, 0).Server.Mark, opened)
		})
		t.Run(fmt.Sprint("late, opened at ", opened), func(t *testing.T) {
			is := is.New(t)
			table := newTestTable(uint64(opened), "a", "b")
			first := &Packet{Key: key(1), Mark: opened, Sequence: 2, Ack: 7, Length: 10}
			is.Equal(table.HandlePacket(0, first, nil).Server.Mark, opened)
			is.Equal(table.testSYN(ms, 1, 1).Server.Mark, opened)
			is.Equal(table.testData(2*ms, 1, 3-opened, 8, 0).Server.Mark, opened)
		})
	}
}

// TestFlowOfRetransmittedSYNIsKept guards against a host that forgets the server
// of an open flow while a second one still answers the SYN: another host may have
// received the first SYN.
func TestFlowOfRetransmittedSYNIsKept(t *testing.T) {
	is := is.New(t)
	table := newTestTable(1, "a", "b")
	opened := table.testSYN(0, 1, 1).Server.Mark
	table.testData(ms, 1, opened, 7, 10)
	is.Equal(table.testData(12*time.Second, 1, 3-opened, 8, 10).Server.Mark, opened)
}

func TestReusedPortStartsNewFlow(t *testing.T) {
	is := is.New(t)
	table := newTestTable(1, "a", "b")
	table.testSYN(0, 1, 0)
	v := table.HandlePacket(ms, &Packet{Key: key(1), Sequence: 77, SYN: true}, rawSYN)
	is.Equal(v.Action, Forward)
	is.Equal(table.flows[key(1)].sequence, uint32(77))
	is.Equal(table.FlowCount(), 1)
}

func TestIdleFlowsAreDeleted(t *testing.T) {
	is := is.New(t)
	table := newTestTable(1, "a", "b")
	for n := range 100 {
		s := table.testSYN(0, n, 0).Server
		table.testData(ms, n, s.Mark, 7, 10)
	}
	table.testSYN(defaultIdleTimeout+time.Second, 200, 0)
	is.Equal(table.FlowCount(), 1)
	inFlight := 0
	for _, h := range table.health {
		inFlight += h.inFlight
	}
	is.Equal(inFlight, 1)
}

// TestInFlightCountsMatchFlows sends random packets and compares the in-flight
// counts of the servers with the flows in the table.
func TestInFlightCountsMatchFlows(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			rng := rand.New(rand.NewPCG(seed, 4))
			table := newTestTable(seed, "a", "b", "c")
			table.SetHostCount(3)
			now := time.Duration(0)
			for range 3000 {
				now += time.Duration(rng.IntN(8)) * ms
				n := rng.IntN(60)
				p := Packet{Key: key(n), Sequence: uint32(rng.IntN(3)), Mark: uint32(rng.IntN(4)), Ack: uint32(rng.IntN(5))}
				switch rng.IntN(5) {
				case 0, 1:
					p.SYN, p.Retransmits = true, rng.IntN(3)
				case 2:
					p.Length = 10
				case 3:
					p.FIN = true
				case 4:
					p.Reset = true
				}
				table.HandlePacket(now, &p, rawSYN)
				table.testResendAll(now)
				want := map[uint32]int{}
				for _, f := range table.flows {
					if f.inFlightMark != 0 {
						want[f.inFlightMark]++
					}
				}
				for m, h := range table.health {
					is.Equal(h.inFlight, want[m])
				}
			}
		})
	}
}

func TestNewFlowsFollowTargetWeights(t *testing.T) {
	is := is.New(t)
	targets := []fleet.Target{{Service: "desk", Weight: 90}, {Service: "press", Weight: 10}}
	press := 0
	for n := range 20_000 {
		if chooseService(targets, key(n)) == "press" {
			press++
		}
		is.Equal(chooseService(targets, key(n)), chooseService(targets, key(n)))
	}
	is.True(press > 1700 && press < 2300)
}

func TestHandshakeTimeoutFollowsHandshakes(t *testing.T) {
	is := is.New(t)
	var e handshakeEstimator
	is.Equal(e.timeout(), initialHandshakeTimeout)
	for range 100 {
		e.add(7 * ms)
	}
	is.Equal(e.timeout(), minHandshakeTimeout)
	for range 100 {
		e.add(80 * ms)
	}
	is.True(e.timeout() >= 80*ms && e.timeout() <= maxHandshakeTimeout)
}

func ExampleTable() {
	t := NewTable(Settings{Rand: rand.New(rand.NewPCG(1, 1))})
	t.SetView(0, testView("a", "b"))
	flow := key(1)
	opened := t.HandlePacket(0, &Packet{Key: flow, SYN: true}, rawSYN)
	later := t.HandlePacket(8*ms, &Packet{Key: flow, Mark: opened.Server.Mark, Length: 90}, nil)
	fmt.Println(later.Server == opened.Server)
	// Output: true
}

func BenchmarkForward(b *testing.B) {
	t := newTestTable(1, "a", "a", "b", "b", "c", "c")
	s := t.testSYN(0, 1, 0).Server
	p := Packet{Key: key(1), Mark: s.Mark, Ack: 7}
	b.ReportAllocs()
	for b.Loop() {
		t.HandlePacket(ms, &p, nil)
	}
}

func BenchmarkOpen(b *testing.B) {
	t := newTestTable(1, "a", "a", "b", "b", "c", "c")
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		n++
		now := time.Duration(n) * ms
		s := t.testSYN(now, n%1000, 0).Server
		t.testData(now, n%1000, s.Mark, 7, 10)
		t.HandlePacket(now, &Packet{Key: key(n % 1000), Mark: s.Mark, FIN: true, Ack: 9}, nil)
		t.NextResend(now)
	}
}

// TestReroutedFlowDoesNotMarkServerUnresponsive guards against second servers
// for flows that routers have moved: the rest of the handshake goes through
// another host, and this one must not take the server for unresponsive.
func TestReroutedFlowDoesNotMarkServerUnresponsive(t *testing.T) {
	t.Run("while hosts join or leave", func(t *testing.T) {
		is := is.New(t)
		table := newTestTable(1, "a", "b", "c")
		first := table.testSYN(0, 1, 0).Server
		table.ExpectRerouting(time.Second)
		is.Equal(table.testResendAll(900*ms), nil)
		is.Equal(table.health[first.Mark].inFlight, 0)
		is.True(!table.health[first.Mark].isSuspect())
	})
	t.Run("a retransmission shows that the flow still arrives here", func(t *testing.T) {
		is := is.New(t)
		table := newTestTable(1, "a", "b", "c")
		table.ExpectRerouting(time.Second)
		first := table.testSYN(0, 1, 0).Server
		is.Equal(table.testResendAll(199*ms), nil)
		v := table.testSYN(200*ms, 1, 1)
		is.Equal(v.Action, Forward)
		is.True(v.Server != first)
		is.Equal(v.Unresponsive, first) // The log names the server that did not answer.
	})
	t.Run("after the rerouting ended", func(t *testing.T) {
		is := is.New(t)
		table := newTestTable(1, "a", "b", "c")
		table.ExpectRerouting(time.Second)
		table.testSYN(time.Second, 1, 0)
		is.Equal(len(table.testResendAll(time.Second+initialHandshakeTimeout)), 1)
	})
}

// TestPinsAreAnnouncedBeforeRerouting checks that the pin of a flow whose SYN
// went to two servers is announced as soon as the flow opens, if routers may
// move it.
func TestPinsAreAnnouncedBeforeRerouting(t *testing.T) {
	for _, rerouting := range []bool{false, true} {
		t.Run(fmt.Sprint("rerouting ", rerouting), func(t *testing.T) {
			is := is.New(t)
			table := newTestTable(1, "a", "b", "c")
			table.testSYN(0, 1, 0)
			second := table.testResendAll(initialHandshakeTimeout)
			is.Equal(len(second), 1)
			if rerouting {
				table.ExpectRerouting(time.Second)
			}
			table.testData(initialHandshakeTimeout+5*ms, 1, second[0], 7, 10)
			want := 0
			if rerouting {
				want = 1
			}
			is.Equal(len(table.TakePins()), want)
		})
	}
}

// TestPinReplacesUncertainServer guards against a host that ignores a pin although
// it does not know itself where the flow opened (review/3): it has adopted the flow,
// or only seen a SYN of it.
func TestPinReplacesUncertainServer(t *testing.T) {
	for _, tt := range []struct {
		name   string
		before func(table *Table)
		want   uint32
	}{
		{"unknown flow", func(*Table) {}, 2},
		{"adopted flow", func(table *Table) { table.testData(0, 1, 1, 7, 10) }, 2},
		{"SYN sent only", func(table *Table) { table.testSYN(0, 1, 1) }, 2},
		{"opened here", func(table *Table) { table.testSYN(0, 1, 0); table.testData(0, 1, 1, 7, 10) }, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := newTestTable(1, "a", "b")
			tt.before(table)
			table.AddPin(ms, Pin{Key: key(1), Mark: 2})
			is.Equal(table.testData(2*ms, 1, 1, 7, 10).Server.Mark, tt.want)
		})
	}
}

// TestPinsTellOwnFromReceived checks that a host hands over the pins that it found
// out and those that it received separately, so that a joining host does not get
// each pin from each other host.
func TestPinsTellOwnFromReceived(t *testing.T) {
	is := is.New(t)
	table := newTestTable(1, "a", "b")
	table.testData(0, 1, 1, 7, 10)
	table.testData(0, 2, 1, 7, 10)
	table.testData(ms, 2, 2, 8, 10) // Two servers have answered.
	table.AddPin(ms, Pin{Key: key(3), Mark: 2})
	own, received := table.Pins()
	is.Equal(own, []Pin{{Key: key(2), Mark: 1}})
	is.Equal(received, []Pin{{Key: key(3), Mark: 2}})
}

// TestLeavingHostSendsSYNToOneServer guards against an open flow that breaks after a
// restart, which soak seed 9106 found: the host that left had sent the SYN to a second
// server, and the host through which the flow opened had no pin to hand over.
func TestLeavingHostSendsSYNToOneServer(t *testing.T) {
	withdraw := func(table *Table, s *fleet.Server) {
		usable := table.view.Usable["desk"]
		table.view.Usable["desk"] = slices.DeleteFunc(usable, func(other *fleet.Server) bool { return other == s })
	}
	for _, tt := range []struct {
		name string
		// change alters what the host knows of the server that got the SYN.
		change func(table *Table, s *fleet.Server)
		same   bool
	}{
		{"usable server", func(*Table, *fleet.Server) {}, true},
		{"server that gets no new flows", withdraw, false},
		{"server that is gone", func(table *Table, s *fleet.Server) { withdraw(table, s); delete(table.view.ServersByMark, s.Mark) }, false},
		{"cold server with a limit", func(table *Table, s *fleet.Server) {
			c := &table.health[s.Mark].cold
			c.perSecond, c.until = 1, time.Second
		}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			leaving, other := newTestTable(1, "a", "b"), newTestTable(1, "a", "b")
			first := leaving.testSYN(0, 1, 0).Server
			leaving.Leave()
			tt.change(leaving, first)
			is.Equal(leaving.testSYN(200*ms, 1, 1).Server == first, tt.same)
			is.True(leaving.health[first.Mark].isSuspect()) // New flows avoid it.
			other.testData(210*ms, 1, first.Mark, 7, 10)
			own, _ := other.Pins()
			is.Equal(own, nil) // It cannot know of a second server.
		})
	}
}

// TestFlowOfRetransmittedSYNHasPin guards against an open flow whose pin is not handed
// over, which soak seed 7019 found: its first SYN went through a host that was
// stopping, a later one through this host, so two servers may answer, although this
// host has sent the SYN to one and seen the mark of one.
func TestFlowOfRetransmittedSYNHasPin(t *testing.T) {
	is := is.New(t)
	table := newTestTable(1, "a", "b")
	table.testSYN(0, 1, 1)
	table.testData(ms, 1, 1, 7, 10)
	own, _ := table.Pins()
	is.Equal(own, []Pin{{Key: key(1), Mark: 1}})
	is.Equal(table.TakePins(), nil) // Not announced yet.
	table.ExpectRerouting(time.Second)
	table.testSYN(2*ms, 2, 1)
	table.testData(3*ms, 2, 1, 7, 10)
	is.Equal(table.TakePins(), []Pin{{Key: key(2), Mark: 1}})
}

// TestTimeoutTriesOneOtherServer checks that a SYN goes to two servers at most
// until its caller retransmits it. If the flow has moved to another host, all
// servers that this host takes for unresponsive would answer.
func TestTimeoutTriesOneOtherServer(t *testing.T) {
	is := is.New(t)
	table := newTestTable(1, "a", "b", "c", "d")
	table.testSYN(0, 1, 0)
	is.Equal(len(table.testResendAll(initialHandshakeTimeout)), 1)
	is.Equal(table.testResendAll(199*ms), nil)
	third := table.testSYN(200*ms, 1, 1)
	is.Equal(third.Action, Forward)
	is.Equal(len(table.testResendAll(599*ms)), 1)
	is.Equal(table.flows[key(1)].tries, 4)
}
