package steer

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoonramp.org/lagoonramp/pkg/fleet"
)

var (
	route  = netip.MustParseAddrPort("198.18.0.1:443")
	caller = netip.MustParseAddr("100.64.0.7")
)

const ms = time.Millisecond

// newTestTable returns a table before servers of the data centres.
func newTestTable(seed uint64, centres ...string) *Table {
	t := NewTable(Settings{DataCentre: "a", Rand: rand.New(rand.NewPCG(seed, 3))})
	t.SetView(0, testView(centres...))
	return t
}

// testView returns a view with a server in each of the data centres, whose
// marks count from 1.
func testView(centres ...string) *fleet.View {
	v := &fleet.View{
		DocumentVersion: 1, Usable: map[string][]*fleet.Server{}, ServersByMark: map[uint32]*fleet.Server{},
		Routes: map[netip.AddrPort]*fleet.RouteState{route: {Targets: []fleet.Target{{Service: "desk", Weight: 1}}}},
	}
	for i, c := range centres {
		s := &fleet.Server{ID: fmt.Sprint(i + 1), Service: "desk", DataCentre: c, Slots: 2, Mark: uint32(i + 1)}
		v.Usable["desk"] = append(v.Usable["desk"], s)
		v.ServersByMark[s.Mark] = s
	}
	return v
}

func key(n int) Key {
	return Key{Caller: netip.AddrPortFrom(caller, uint16(1024+n)), Service: route}
}

// rawSyn stands in for the bytes of a SYN.
var rawSyn = make([]byte, 36)

func (t *Table) testSyn(now time.Duration, n, copies int) Verdict {
	return t.Packet(now, &Packet{Key: key(n), Sequence: uint32(n), Syn: true, Copy: copies}, rawSyn)
}

// testSynAfter sends a copy of a SYN that waited for so long.
func (t *Table) testSynAfter(now time.Duration, n, copies int, waited time.Duration) Verdict {
	return t.Packet(now, &Packet{Key: key(n), Sequence: uint32(n), Syn: true, Copy: copies, Waited: waited, Next: 200 * ms << copies}, rawSyn)
}

// testData sends a packet with a request or an acknowledgement.
func (t *Table) testData(now time.Duration, n int, mark uint32, ack uint32, length int) Verdict {
	return t.Packet(now, &Packet{Key: key(n), Mark: mark, Ack: ack, Length: length}, nil)
}

func TestCopiesOfASynGoWhereTheFirstWent(t *testing.T) {
	is := is.New(t)
	table := newTestTable(1, "a", "a", "b", "b")
	first := table.testSyn(0, 1, 0)
	is.Equal(first.Action, Forward)
	for i := range 2 {
		is.Equal(table.testSyn(ms, 1, i+1).Server, first.Server)
	}
}

func TestLaterPacketsNeedNoMemory(t *testing.T) {
	is := is.New(t)
	opened := newTestTable(1, "a", "a", "b").testSyn(0, 1, 0).Server
	for seed := range uint64(10) {
		restarted := newTestTable(seed, "a", "a", "b")
		v := restarted.testData(0, 1, opened.Mark, 7, 100)
		is.Equal(v.Action, Forward)
		is.Equal(v.Server.Mark, opened.Mark)
	}
}

func TestWhatIsDroppedAndRefused(t *testing.T) {
	is := is.New(t)
	empty := NewTable(Settings{Rand: rand.New(rand.NewPCG(1, 1))})
	is.Equal(empty.testSyn(0, 1, 0), Verdict{Reason: NoView})
	table := newTestTable(1, "a")
	is.Equal(table.testData(0, 1, 99, 0, 1), Verdict{Reason: UnknownMark})
	is.Equal(table.testData(0, 1, 0, 0, 1), Verdict{Reason: UnknownMark})
	other := Key{Caller: key(1).Caller, Service: netip.MustParseAddrPort("198.18.0.9:443")}
	is.Equal(table.Packet(0, &Packet{Key: other, Syn: true}, rawSyn), Verdict{Action: Refuse, Reason: NoRoute})
	v := testView()
	table.SetView(0, v)
	is.Equal(table.testSyn(0, 2, 0), Verdict{Action: Refuse, Reason: NoServer})
	v = testView()
	v.Incomplete = true
	table.SetView(0, v)
	is.Equal(table.testSyn(0, 2, 0), Verdict{Reason: NoServer})
}

func TestMarkOfAnotherServiceIsDropped(t *testing.T) {
	is := is.New(t)
	v := testView("a")
	v.ServersByMark[9] = &fleet.Server{ID: "x", Service: "press", Mark: 9}
	table := newTestTable(1)
	table.SetView(0, v)
	is.Equal(table.testData(0, 1, 9, 0, 1).Reason, UnknownMark)
}

// resendAll collects the SYNs that are due by a time.
func (t *Table) resendAll(now time.Duration) []uint32 {
	var out []uint32
	for r, ok := t.Due(now); ok; r, ok = t.Due(now) {
		out = append(out, r.Server.Mark)
	}
	return out
}

func TestSilentServerIsReplacedAndAvoided(t *testing.T) {
	is := is.New(t)
	table := newTestTable(1, "a", "b", "c")
	silent := table.testSyn(0, 1, 0).Server.Mark
	is.Equal(table.resendAll(firstWait-ms), nil)
	second := table.resendAll(firstWait)
	is.Equal(len(second), 1)
	is.True(second[0] != silent)
	table.testData(firstWait+5*ms, 1, second[0], 7, 10)
	is.Equal(table.resendAll(time.Second), nil) // The flow is open.
	for n := range 20 {
		is.True(table.testSyn(firstWait+6*ms, 10+n, 0).Server.Mark != silent)
	}
}

func TestAvoidedServerIsTriedWithOneFlowAtATime(t *testing.T) {
	is := is.New(t)
	table := newTestTable(1, "a", "b", "c")
	silent := table.testSyn(0, 1, 0).Server.Mark
	table.resendAll(firstWait)
	now := firstWait + firstRest
	tried := 0
	for n := range 20 {
		if table.testSyn(now, 10+n, 0).Server.Mark == silent {
			tried++
		}
	}
	is.Equal(tried, 1)
}

func TestSignalsAgainstAllServersDoNotEmptyAService(t *testing.T) {
	is := is.New(t)
	table := newTestTable(1, "a", "b", "c")
	now := time.Duration(0)
	for n := range 50 {
		v := table.testSyn(now, n, 0)
		is.Equal(v.Action, Forward)
		now += 5 * ms
		table.resendAll(now)
	}
	is.Equal(table.testSyn(now, 100, 0).Action, Forward)
}

// TestSecondTryLeavesACutDataCentre checks that the second try goes to the
// host's own data centre, which a cut leaves to it.
func TestSecondTryLeavesACutDataCentre(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(30) {
		table := newTestTable(seed, "a", "a", "b", "b", "c", "c")
		first := table.testSyn(0, 1, 0).Server
		second := table.view.ServersByMark[table.resendAll(firstWait)[0]]
		if first.DataCentre == "a" {
			is.True(second.DataCentre != "a")
		} else {
			is.Equal(second.DataCentre, "a")
		}
	}
}

// TestFlowStaysWhereItOpened goes through all orders of the events of a flow
// whose SYN went to two servers that both answer: wherever the caller's packets
// are marked for, they reach the server whose answer the caller took first, at
// this host and at one that was told.
func TestFlowStaysWhereItOpened(t *testing.T) {
	for order := range 64 {
		t.Run(fmt.Sprintf("%06b", order), func(t *testing.T) {
			is := is.New(t)
			table := newTestTable(uint64(order), "a", "b")
			first := table.testSyn(0, 1, 0).Server.Mark
			second := table.resendAll(firstWait)[0]
			opened := first
			if order&1 == 1 {
				opened = second
			}
			now := firstWait + ms
			is.Equal(table.testData(now, 1, opened, 7, 10).Server.Mark, opened)
			told := newTestTable(99, "a", "b")
			poisoned := false
			for bit := 1; bit < 6; bit++ {
				m := first
				if order>>bit&1 == 1 {
					m = second
				}
				now += ms
				is.Equal(table.testData(now, 1, m, 7, 10).Server.Mark, opened)
				poisoned = poisoned || m != opened
				for _, p := range table.TakePins() {
					told.Told(now, p)
				}
				is.Equal(told.testData(now, 1, m, 7, 10).Server.Mark, opened)
				is.Equal(len(told.flows) > 0, poisoned) // Told only when it matters.
				reset := table.Packet(now, &Packet{Key: key(1), Mark: m, Reset: true}, nil)
				is.Equal(reset.Server.Mark, m) // A reset goes to the server that caused it.
				table.flows[key(1)].ended = false
			}
		})
	}
}

// TestLateSynByAnotherHostHarmsNoFlow is what soak seed 117 found: a host that
// was paused sends a SYN on that its caller had opened by another host since.
// The second server's answer changes the mark of the open flow's packets.
func TestLateSynByAnotherHostHarmsNoFlow(t *testing.T) {
	is := is.New(t)
	table := newTestTable(1, "a", "b")
	opened := table.testSyn(0, 1, 2).Server.Mark
	other := 3 - opened
	is.Equal(table.testData(ms, 1, opened, 7, 10).Server.Mark, opened)
	is.Equal(table.testData(2*ms, 1, other, 7, 0).Server.Mark, opened)
	is.Equal(len(table.TakePins()), 1)
}

func TestPortUsedAgainBeginsANewFlow(t *testing.T) {
	is := is.New(t)
	table := newTestTable(1, "a", "b")
	table.testSyn(0, 1, 0)
	v := table.Packet(ms, &Packet{Key: key(1), Sequence: 77, Syn: true}, rawSyn)
	is.Equal(v.Action, Forward)
	is.Equal(table.flows[key(1)].sequence, uint32(77))
	is.Equal(table.Held(), 1)
}

func TestFlowsAreForgotten(t *testing.T) {
	is := is.New(t)
	table := newTestTable(1, "a", "b")
	for n := range 100 {
		s := table.testSyn(0, n, 0).Server
		table.testData(ms, n, s.Mark, 7, 10)
	}
	table.testSyn(defaultForget+time.Second, 200, 0)
	is.Equal(table.Held(), 1)
	busy := 0
	for _, h := range table.servers {
		busy += h.busy
	}
	is.Equal(busy, 1)
}

// TestLoadIsCountedOnce plays flows by chance and compares the servers' load
// with the flows that are remembered.
func TestLoadIsCountedOnce(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			rng := rand.New(rand.NewPCG(seed, 4))
			table := newTestTable(seed, "a", "b", "c")
			table.SetHosts(3)
			now := time.Duration(0)
			for range 3000 {
				now += time.Duration(rng.IntN(8)) * ms
				n := rng.IntN(60)
				p := Packet{Key: key(n), Sequence: uint32(rng.IntN(3)), Mark: uint32(rng.IntN(4)), Ack: uint32(rng.IntN(5))}
				switch rng.IntN(5) {
				case 0, 1:
					p.Syn, p.Copy = true, rng.IntN(3)
				case 2:
					p.Length = 10
				case 3:
					p.Fin = true
				case 4:
					p.Reset = true
				}
				table.Packet(now, &p, rawSyn)
				table.resendAll(now)
				want := map[uint32]int{}
				for _, f := range table.flows {
					if f.busy != 0 {
						want[f.busy]++
					}
				}
				for m, h := range table.servers {
					is.Equal(h.busy, want[m])
				}
			}
		})
	}
}

func TestWeightsSplitNewFlows(t *testing.T) {
	is := is.New(t)
	targets := []fleet.Target{{Service: "desk", Weight: 90}, {Service: "press", Weight: 10}}
	press := 0
	for n := range 20_000 {
		if chooseTarget(targets, key(n)) == "press" {
			press++
		}
		is.Equal(chooseTarget(targets, key(n)), chooseTarget(targets, key(n)))
	}
	is.True(press > 1700 && press < 2300)
}

func TestEstimatorFollowsHandshakes(t *testing.T) {
	is := is.New(t)
	var e estimator
	is.Equal(e.wait(), firstWait)
	for range 100 {
		e.add(7 * ms)
	}
	is.Equal(e.wait(), minWait)
	for range 100 {
		e.add(80 * ms)
	}
	is.True(e.wait() >= 80*ms && e.wait() <= maxWait)
}

func ExampleTable() {
	t := NewTable(Settings{Rand: rand.New(rand.NewPCG(1, 1))})
	t.SetView(0, testView("a", "b"))
	flow := key(1)
	opened := t.Packet(0, &Packet{Key: flow, Syn: true}, rawSyn)
	later := t.Packet(8*ms, &Packet{Key: flow, Mark: opened.Server.Mark, Length: 90}, nil)
	fmt.Println(later.Server == opened.Server)
	// Output: true
}

func BenchmarkForward(b *testing.B) {
	t := newTestTable(1, "a", "a", "b", "b", "c", "c")
	s := t.testSyn(0, 1, 0).Server
	p := Packet{Key: key(1), Mark: s.Mark, Ack: 7}
	b.ReportAllocs()
	for b.Loop() {
		t.Packet(ms, &p, nil)
	}
}

func BenchmarkOpen(b *testing.B) {
	t := newTestTable(1, "a", "a", "b", "b", "c", "c")
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		n++
		now := time.Duration(n) * ms
		s := t.testSyn(now, n%1000, 0).Server
		t.testData(now, n%1000, s.Mark, 7, 10)
		t.Packet(now, &Packet{Key: key(n % 1000), Mark: s.Mark, Fin: true, Ack: 9}, nil)
		t.Due(now)
	}
}

// TestMovedFlowIsNotTakenForASilentServer checks that a host from which
// routers may take flows away does not send SYNs to second servers because the
// rest of the handshakes goes by other hosts.
func TestMovedFlowIsNotTakenForASilentServer(t *testing.T) {
	t.Run("while hosts come or go", func(t *testing.T) {
		is := is.New(t)
		table := newTestTable(1, "a", "b", "c")
		first := table.testSyn(0, 1, 0).Server
		table.Unsettle(time.Second)
		is.Equal(table.resendAll(900*ms), nil)
		is.Equal(table.servers[first.Mark].busy, 0)
		is.True(!table.servers[first.Mark].suspect())
	})
	t.Run("a copy shows that the flow still comes here", func(t *testing.T) {
		is := is.New(t)
		table := newTestTable(1, "a", "b", "c")
		table.Unsettle(time.Second)
		first := table.testSyn(0, 1, 0).Server
		is.Equal(table.resendAll(199*ms), nil)
		v := table.testSyn(200*ms, 1, 1)
		is.Equal(v.Action, Forward)
		is.True(v.Server != first)
		is.Equal(v.Silent, first) // Operators see why.
	})
	t.Run("until the hosts are settled", func(t *testing.T) {
		is := is.New(t)
		table := newTestTable(1, "a", "b", "c")
		table.Unsettle(time.Second)
		table.testSyn(time.Second, 1, 0)
		is.Equal(len(table.resendAll(time.Second+firstWait)), 1)
	})
}

// TestPinsAreToldBeforeFlowsMove checks that other hosts are told of a flow
// that two servers may answer as soon as it opens, if routers may move it.
func TestPinsAreToldBeforeFlowsMove(t *testing.T) {
	for _, unsettled := range []bool{false, true} {
		t.Run(fmt.Sprint("unsettled ", unsettled), func(t *testing.T) {
			is := is.New(t)
			table := newTestTable(1, "a", "b", "c")
			table.testSyn(0, 1, 0)
			second := table.resendAll(firstWait)
			is.Equal(len(second), 1)
			if unsettled {
				table.Unsettle(time.Second)
			}
			table.testData(firstWait+5*ms, 1, second[0], 7, 10)
			want := 0
			if unsettled {
				want = 1
			}
			is.Equal(len(table.TakePins()), want)
		})
	}
}

// TestTimeAloneTriesOneOtherServer checks that a SYN goes to two servers at
// most until its caller sends it again: the servers that a host takes for
// silent would all answer a flow that has moved to another host.
func TestTimeAloneTriesOneOtherServer(t *testing.T) {
	is := is.New(t)
	table := newTestTable(1, "a", "b", "c", "d")
	table.testSyn(0, 1, 0)
	is.Equal(len(table.resendAll(firstWait)), 1)
	is.Equal(table.resendAll(199*ms), nil)
	third := table.testSyn(200*ms, 1, 1)
	is.Equal(third.Action, Forward)
	is.Equal(len(table.resendAll(599*ms)), 1)
	is.Equal(table.flows[key(1)].tries, 4)
}
