package flow

import (
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoonramp.org/lagoonramp/pkg/rendez"
)

const second = time.Second

// startTraffic schedules the datagrams of many flows until end. Each goes to a
// random host of those that via returns, at random intervals around gap.
func (n *fakeNet) startTraffic(flows int, gap time.Duration, end time.Duration, via func() []uint64) {
	for i := range flows {
		k := testKey(i)
		var next func()
		next = func() {
			if n.Now() > end {
				return
			}
			hosts := via()
			n.sendDatagram(hosts[n.rng.IntN(len(hosts))], k, HintNone)
			n.After(gap/2+time.Duration(n.rng.Int64N(int64(gap))), next)
		}
		n.After(time.Duration(n.rng.Int64N(int64(gap))), next)
	}
}

// brokenFlows returns the number of flows whose datagrams reached more than
// one server.
func (n *fakeNet) brokenFlows() int {
	count := 0
	for _, servers := range n.arrivals {
		if slices.ContainsFunc(servers, func(s uint64) bool { return s != servers[0] }) {
			count++
		}
	}
	return count
}

// serverSets returns the servers of service 1.
func serverSets(accepting []uint64, notAccepting ...uint64) map[uint64]*ServerSet {
	return map[uint64]*ServerSet{1: {Accepting: accepting, NotAccepting: notAccepting}}
}

// settleViews sets the clock far ahead, so that tables treat views that were
// set at time 0 as settled.
func (n *fakeNet) settleViews() { n.Set(1000 * second) }

// Flows must stay on their servers while hosts join and leave. A flow breaks if
// two hosts that have different views at the same time both open it.
func TestMembershipChangesKeepFlowsPinned(t *testing.T) {
	cases := []struct {
		name            string
		loss, duplicate float64
		run             func(n *fakeNet, h []uint64)
	}{
		{"join seen at different times", 0, 0.02, func(n *fakeNet, h []uint64) {
			v := View{Active: sortedIDs(h[:4]...)}
			n.After(second, func() { n.setView(v, h[3], h[0]) })
			n.After(3*second, func() { n.setView(v, h[1]) })
			n.After(5*second, func() { n.setView(v, h[2]) })
		}},
		{"leave", 0, 0.02, func(n *fakeNet, h []uint64) {
			v := View{Active: sortedIDs(h[0], h[2]), Leaving: []uint64{h[1]}}
			n.After(second, func() { n.setView(v, h[1], h[0]) })
			n.After(3*second, func() { n.setView(v, h[2]) })
		}},
		{"join during a leave", 0, 0.05, func(n *fakeNet, h []uint64) {
			leave := View{Active: sortedIDs(h[0], h[2]), Leaving: []uint64{h[1]}}
			both := View{Active: sortedIDs(h[0], h[2], h[3]), Leaving: []uint64{h[1]}}
			n.After(second, func() { n.setView(leave, h[1], h[0]) })
			n.After(2*second, func() { n.setView(both, h[3]) })
			n.After(3*second, func() { n.setView(both, h[0], h[1]) })
			n.After(4*second, func() { n.setView(both, h[2]) })
		}},
		{"server drains during a leave", 0, 0, func(n *fakeNet, h []uint64) {
			servers := hashedNames("server", 14)
			v := View{Active: sortedIDs(h[0], h[2]), Leaving: []uint64{h[1]}}
			n.After(second, func() {
				for i, id := range h[:3] {
					n.After(time.Duration(i)*second, func() { n.hosts[id].SetServers(n.Now(), serverSets(servers[1:], servers[0])) })
				}
			})
			n.After(2*second, func() { n.setView(v, h[:3]...) })
		}},
		{"join with loss", 0.05, 0.02, func(n *fakeNet, h []uint64) {
			v := View{Active: sortedIDs(h[:4]...)}
			n.After(second, func() { n.setView(v, h[:4]...) })
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			h := hashedNames("host", 4)
			n := newFakeNet(7)
			n.loss, n.duplicate = tc.loss, tc.duplicate
			n.settleViews()
			// With random loads, two hosts that open the same flow usually choose
			// different servers, so that the test detects it.
			loads := LoadFunc(func(uint64) float64 { return 1000 * n.rng.Float64() })
			for _, id := range h {
				n.add(id, serverSets(hashedNames("server", 14)), Settings{UnresponsiveTimeout: -1}, loads)
			}
			n.hosts[h[0]].viewChangedAt, n.hosts[h[1]].viewChangedAt, n.hosts[h[2]].viewChangedAt = 0, 0, 0
			old := View{Active: sortedIDs(h[:3]...)}
			n.setView(old, h[:3]...)
			n.setView(View{Active: sortedIDs(h[:4]...)}, h[3])
			start := n.Now()
			n.startTraffic(600, 400*time.Millisecond, start+15*second, func() []uint64 { return h[:3] })
			n.RunUntil(start + 5*second)
			tc.run(n, h)
			n.RunUntil(start + 20*second)
			is.Equal(len(n.arrivals), 600)
			is.Equal(n.brokenFlows(), 0)
		})
	}
}

// After the crash of a host, its successors must pin its flows to the servers
// that they had. Flows that are not on their first candidate break if their
// exceptions did not reach the successor.
func TestCrashRecoversServers(t *testing.T) {
	is := is.New(t)
	h := hashedNames("host", 7)
	servers := hashedNames("server", 14)
	n := newFakeNet(11)
	n.settleViews()
	// Random loads make many flows exceptions.
	rng := rand.New(rand.NewPCG(3, 3))
	loads := LoadFunc(func(uint64) float64 { return 1000 * rng.Float64() })
	for _, id := range h {
		n.add(id, serverSets(servers), Settings{}, loads)
	}
	n.setView(View{Active: sortedIDs(h...)}, h...)
	start := n.Now()
	alive := h
	n.startTraffic(4000, 800*time.Millisecond, start+20*second, func() []uint64 { return alive })
	n.RunUntil(start + 10*second)
	owned := n.hosts[h[2]].PinnedFlows()
	delete(n.hosts, h[2])
	alive = slices.Concat(h[:2], h[3:])
	n.RunUntil(start + 12*second)
	n.setView(View{Active: sortedIDs(alive...), Lost: []uint64{h[2]}}, alive...)
	n.RunUntil(start + 25*second)
	is.True(owned > 300)
	is.True(n.brokenFlows()*100 < owned) // Less than 1% of the lost host's flows.
}

// A host that pauses until the others regard it as lost, and then resumes with
// its old table, must not move flows to other servers.
func TestPausedHostResumes(t *testing.T) {
	is := is.New(t)
	h := hashedNames("host", 3)
	n := newFakeNet(5)
	n.settleViews()
	for _, id := range h {
		n.add(id, serverSets(hashedNames("server", 14)), Settings{}, nil)
	}
	n.setView(View{Active: sortedIDs(h...)}, h...)
	start := n.Now()
	n.startTraffic(300, 300*time.Millisecond, start+20*second, func() []uint64 { return h })
	n.RunUntil(start + 5*second)
	n.paused[h[0]] = true
	n.RunUntil(start + 8*second)
	n.setView(View{Active: sortedIDs(h[1:]...), Lost: h[:1]}, h[1:]...)
	n.RunUntil(start + 12*second)
	n.paused[h[0]] = false
	n.setView(View{Active: sortedIDs(h...)}, h...)
	n.RunUntil(start + 25*second)
	is.Equal(n.brokenFlows(), 0) // There are no exceptions, so each host finds the first candidate.
}

// A flow on which the server has stopped replying must be ended if the server
// still replies on other flows. A flow on which only the server sends datagrams
// must stay.
func TestSilentFlowIsEnded(t *testing.T) {
	is := is.New(t)
	self := rendez.Hash("a")
	tab := NewTable(Settings{}, nil)
	tab.SetServers(0, serverSets(hashedNames("server", 2)))
	tab.SetView(0, &View{Self: self, Active: []uint64{self}})
	now := 100 * second
	silent, download := testKey(1), testKey(2)
	for _, k := range []Key{silent, download} {
		tab.HandleDatagram(now, k, HintOpens, 0, nil, nil)
		tab.RecordReply(now, k)
	}
	server, _ := tab.Server(silent)
	endedAt := time.Duration(0)
	for now = 101 * second; now < 120*second && endedAt == 0; now += second {
		tab.lastServerReply[server] = now
		for _, a := range tab.HandleDatagram(now, silent, HintNone, 0, nil, nil) {
			if a.Kind == Ended {
				is.Equal(a.Reason, ReasonUnresponsive)
				endedAt = now
			}
		}
		// In a long download only the server sends datagrams.
		tab.RecordReply(now, download)
	}
	is.True(endedAt > 0 && endedAt <= 110*second)
	_, ok := tab.Server(download)
	is.True(ok)
}

// A full table must drop a new flow while all of its flows are active, and evict
// the least recently used flow only after a quarter of its idle timeout.
func TestEvictionKeepsActiveFlows(t *testing.T) {
	is := is.New(t)
	self := rendez.Hash("a")
	tab := NewTable(Settings{MaxEntries: 2}, nil)
	tab.SetServers(0, serverSets(hashedNames("server", 2)))
	tab.SetView(0, &View{Self: self, Active: []uint64{self}})
	now := 100 * second
	tab.HandleDatagram(now, testKey(1), HintOpens, 0, nil, nil)
	tab.HandleDatagram(now, testKey(2), HintOpens, 0, nil, nil)
	out := tab.HandleDatagram(now+second, testKey(3), HintOpens, 0, nil, nil)
	is.Equal(out[0].Kind, Dropped)
	is.Equal(out[0].Reason, ReasonFull)
	tab.HandleDatagram(now+30*second, testKey(2), HintNone, 0, nil, nil)
	out = tab.HandleDatagram(now+31*second, testKey(3), HintOpens, 0, nil, nil)
	is.Equal(out[0].Kind, Ended)
	is.Equal(out[0].Key, testKey(1))
}

// Flows with the same caller and different services must reach only the servers
// of their own service.
func TestFlowsStayWithinTheirService(t *testing.T) {
	is := is.New(t)
	self := rendez.Hash("a")
	tab := NewTable(Settings{}, nil)
	desk, press := hashedNames("desk", 3), hashedNames("press", 3)
	tab.SetServers(0, map[uint64]*ServerSet{1: {Accepting: desk}, 2: {Accepting: press}})
	tab.SetView(0, &View{Self: self, Active: []uint64{self}})
	for i := range 500 {
		for svc, set := range map[uint64][]uint64{1: desk, 2: press} {
			k := testKey(i)
			k.Service = svc
			out := tab.HandleDatagram(second, k, HintNone, 0, nil, nil)
			is.True(slices.Contains(set, out[len(out)-1].Server))
		}
	}
}

func TestExceptionsRoundTrip(t *testing.T) {
	is := is.New(t)
	xs := []exception{{5, 0}, {3, 99}, {1 << 27, 0}}
	var got []exception
	is.True(unpackExceptions(packExceptions(slices.Clone(xs)), func(x exception) { got = append(got, x) }))
	is.Equal(got, []exception{{3, 99}, {5, 0}, {1 << 27, 0}})
}

func FuzzUnpackExceptions(f *testing.F) {
	f.Add(packExceptions([]exception{{5, 0}, {3, 99}}))
	f.Fuzz(func(t *testing.T, payload []byte) {
		unpackExceptions(payload, func(x exception) {
			if x.fingerprint >= 1<<fingerprintBits {
				t.Fatal("fingerprint out of range")
			}
		})
	})
}

// BenchmarkDatagramOfPinnedFlow measures a datagram of one of 100,000 pinned
// flows.
func BenchmarkDatagramOfPinnedFlow(b *testing.B) {
	self := rendez.Hash("a")
	tab := NewTable(Settings{}, nil)
	tab.SetServers(0, serverSets(hashedNames("server", 14)))
	tab.SetView(0, &View{Self: self, Active: []uint64{self}})
	const flows = 100_000
	out := make([]Action, 0, 8)
	for i := range flows {
		out = tab.HandleDatagram(second, testKey(i), HintNone, 0, nil, out[:0])
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		out = tab.HandleDatagram(2*second, testKey(i%flows), HintNone, 0, nil, out[:0])
	}
}

// BenchmarkRecoveryBytes reports the bytes per second, headers included, that
// one of seven hosts sends for the recovery of its flows at 2,000 new flows per
// second.
func BenchmarkRecoveryBytes(b *testing.B) {
	const rate, seconds = 2000, 60
	for range b.N {
		h := hashedNames("host", 7)
		rng := rand.New(rand.NewPCG(1, 1))
		pinned := map[uint64]int{}
		tab := NewTable(Settings{}, LoadFunc(func(s uint64) float64 { return float64(pinned[s]) }))
		tab.SetServers(0, serverSets(hashedNames("server", 14)))
		tab.SetView(0, &View{Self: h[0], Active: sortedIDs(h...)})
		sent := 0
		account := func(out []Action) {
			for _, a := range out {
				switch a.Kind {
				case Opened:
					pinned[a.Server]++
				case Ended:
					pinned[a.Server]--
				case SendToHost:
					sent += len(a.Message.Payload) + 54 + 48 + 28
				}
			}
		}
		now := 1000 * second
		for opened := 0; opened < rate*seconds; {
			k := testKey(rng.IntN(1 << 30))
			if tab.view.Owner(k.Hash()) != h[0] {
				continue
			}
			opened++
			now += second / rate
			account(tab.HandleDatagram(now, k, HintNone, 0, nil, nil))
			if opened%80 == 0 {
				account(tab.Tick(now, nil))
			}
		}
		b.ReportMetric(float64(sent)/seconds, "B/s")
	}
}

// BenchmarkEntryBytes reports the heap memory per flow with 500,000 pinned
// flows.
func BenchmarkEntryBytes(b *testing.B) {
	const flows = 500_000
	for range b.N {
		self := rendez.Hash("a")
		runtime.GC()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		tab := NewTable(Settings{}, nil)
		tab.SetServers(0, serverSets(hashedNames("server", 14)))
		tab.SetView(0, &View{Self: self, Active: []uint64{self}})
		var out []Action
		for i := range flows {
			k := testKey(i)
			k.Caller[12] = byte(i >> 16)
			out = tab.HandleDatagram(1000*second, k, HintNone, 0, nil, out[:0])
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		if tab.PinnedFlows() != flows {
			b.Fatal("not all flows are pinned")
		}
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/flows, "B/flow")
	}
}

// Flows on a server that starts to drain become exceptions. If the message that
// carries them is lost, the successor must still receive them. The test drops
// every other message.
func TestLostExceptionsAreResent(t *testing.T) {
	is := is.New(t)
	h := hashedNames("host", 2)
	servers := hashedNames("server", 4)
	tab, successor := NewTable(Settings{}, nil), NewTable(Settings{}, nil)
	for i, x := range []*Table{tab, successor} {
		x.SetServers(0, serverSets(servers))
		x.SetView(0, &View{Self: h[i], Active: sortedIDs(h...)})
	}
	now := 1000 * second
	onDraining := map[Key]bool{}
	for i := range 400 {
		tab.HandleDatagram(now, testKey(i), HintNone, 0, nil, nil)
		if s, ok := tab.Server(testKey(i)); ok && s == servers[0] {
			onDraining[testKey(i)] = true
		}
	}
	now += second
	for _, x := range []*Table{tab, successor} {
		x.SetServers(now, serverSets(servers[1:], servers[0]))
	}
	drop := false
	for range 5 {
		now += second
		for _, a := range tab.Tick(now, nil) {
			if a.Kind != SendToHost || a.Message.Kind != Exceptions {
				continue
			}
			drop = !drop
			if !drop {
				successor.HandleMessage(now, &a.Message, nil)
			}
		}
	}
	is.True(len(onDraining) > 20)
	for k := range onDraining {
		is.Equal(successor.recoveredServer(k), servers[0])
	}
}
