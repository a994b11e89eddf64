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

// traffic sends datagrams of many flows through random hosts until end.
func (n *fakeNet) traffic(flows int, gap time.Duration, end time.Duration, via func() []uint64) {
	for i := range flows {
		k := key(i)
		var next func()
		next = func() {
			if n.Now() > end {
				return
			}
			hosts := via()
			n.packet(hosts[n.rng.IntN(len(hosts))], k, HintNone)
			n.After(gap/2+time.Duration(n.rng.Int64N(int64(gap))), next)
		}
		n.After(time.Duration(n.rng.Int64N(int64(gap))), next)
	}
}

// broken counts the flows whose datagrams reached more than one server.
func (n *fakeNet) broken() int {
	count := 0
	for _, servers := range n.arrivals {
		if slices.ContainsFunc(servers, func(s uint64) bool { return s != servers[0] }) {
			count++
		}
	}
	return count
}

func serverSets(ids []uint64, holding ...uint64) map[uint64]*ServerSet {
	return map[uint64]*ServerSet{1: {Accepting: ids, NotAccepting: holding}}
}

// aged puts every view so far back in time that tables take it as settled.
func (n *fakeNet) aged() { n.Set(1000 * second) }

func TestPlannedChangesBreakNothing(t *testing.T) {
	steps := []struct {
		name         string
		loss, double float64
		run          func(n *fakeNet, h []uint64)
	}{
		{"join seen at different times", 0, 0.02, func(n *fakeNet, h []uint64) {
			v := View{Active: sortedIDs(h[:4]...)}
			n.After(second, func() { n.show(v, h[3], h[0]) })
			n.After(3*second, func() { n.show(v, h[1]) })
			n.After(5*second, func() { n.show(v, h[2]) })
		}},
		{"leave", 0, 0.02, func(n *fakeNet, h []uint64) {
			v := View{Active: sortedIDs(h[0], h[2]), Leaving: []uint64{h[1]}}
			n.After(second, func() { n.show(v, h[1], h[0]) })
			n.After(3*second, func() { n.show(v, h[2]) })
		}},
		{"join during a leave", 0, 0.05, func(n *fakeNet, h []uint64) {
			leave := View{Active: sortedIDs(h[0], h[2]), Leaving: []uint64{h[1]}}
			both := View{Active: sortedIDs(h[0], h[2], h[3]), Leaving: []uint64{h[1]}}
			n.After(second, func() { n.show(leave, h[1], h[0]) })
			n.After(2*second, func() { n.show(both, h[3]) })
			n.After(3*second, func() { n.show(both, h[0], h[1]) })
			n.After(4*second, func() { n.show(both, h[2]) })
		}},
		{"server drains during a leave", 0, 0, func(n *fakeNet, h []uint64) {
			s := names("server", 14)
			v := View{Active: sortedIDs(h[0], h[2]), Leaving: []uint64{h[1]}}
			n.After(second, func() {
				for i, id := range h[:3] {
					n.After(time.Duration(i)*second, func() { n.hosts[id].SetServers(n.Now(), serverSets(s[1:], s[0])) })
				}
			})
			n.After(2*second, func() { n.show(v, h[:3]...) })
		}},
		{"join with loss", 0.05, 0.02, func(n *fakeNet, h []uint64) {
			v := View{Active: sortedIDs(h[:4]...)}
			n.After(second, func() { n.show(v, h[:4]...) })
		}},
	}
	for _, s := range steps {
		t.Run(s.name, func(t *testing.T) {
			is := is.New(t)
			h := names("host", 4)
			n := newFakeNet(7)
			n.loss, n.double = s.loss, s.double
			n.aged()
			// Random loads make hosts choose differently, so that a flow that is
			// opened twice is seen.
			loads := LoadFunc(func(uint64) float64 { return 1000 * n.rng.Float64() })
			for _, id := range h {
				n.add(id, serverSets(names("server", 14)), Settings{SilentAfter: -1}, loads)
			}
			n.hosts[h[0]].viewAt, n.hosts[h[1]].viewAt, n.hosts[h[2]].viewAt = 0, 0, 0
			old := View{Active: sortedIDs(h[:3]...)}
			n.show(old, h[:3]...)
			n.show(View{Active: sortedIDs(h[:4]...)}, h[3])
			start := n.Now()
			n.traffic(600, 400*time.Millisecond, start+15*second, func() []uint64 { return h[:3] })
			n.Until(start + 5*second)
			s.run(n, h)
			n.Until(start + 20*second)
			is.Equal(len(n.arrivals), 600)
			is.Equal(n.broken(), 0)
		})
	}
}

func TestCrashKeepsServers(t *testing.T) {
	is := is.New(t)
	h := names("host", 7)
	servers := names("server", 14)
	n := newFakeNet(11)
	n.aged()
	// Loads are random, so that many flows are exceptions.
	rng := rand.New(rand.NewPCG(3, 3))
	loads := LoadFunc(func(uint64) float64 { return 1000 * rng.Float64() })
	for _, id := range h {
		n.add(id, serverSets(servers), Settings{}, loads)
	}
	n.show(View{Active: sortedIDs(h...)}, h...)
	start := n.Now()
	alive := h
	n.traffic(4000, 800*time.Millisecond, start+20*second, func() []uint64 { return alive })
	n.Until(start + 10*second)
	owned := n.hosts[h[2]].PinnedFlows()
	delete(n.hosts, h[2])
	alive = slices.Concat(h[:2], h[3:])
	n.Until(start + 12*second)
	n.show(View{Active: sortedIDs(alive...), Lost: []uint64{h[2]}}, alive...)
	n.Until(start + 25*second)
	is.True(owned > 300)
	is.True(n.broken()*100 < owned) // Under 1% of the lost host's flows.
}

func TestPausedHostThatWakes(t *testing.T) {
	is := is.New(t)
	h := names("host", 3)
	n := newFakeNet(5)
	n.aged()
	for _, id := range h {
		n.add(id, serverSets(names("server", 14)), Settings{}, nil)
	}
	n.show(View{Active: sortedIDs(h...)}, h...)
	start := n.Now()
	n.traffic(300, 300*time.Millisecond, start+20*second, func() []uint64 { return h })
	n.Until(start + 5*second)
	n.frozen[h[0]] = true
	n.Until(start + 8*second)
	n.show(View{Active: sortedIDs(h[1:]...), Lost: h[:1]}, h[1:]...)
	n.Until(start + 12*second)
	n.frozen[h[0]] = false
	n.show(View{Active: sortedIDs(h...)}, h...)
	n.Until(start + 25*second)
	is.Equal(n.broken(), 0) // Without exceptions, the first candidate is found again.
}

func TestSilentFlowIsEnded(t *testing.T) {
	is := is.New(t)
	self := rendez.Hash("a")
	tab := NewTable(Settings{}, nil)
	tab.SetServers(0, serverSets(names("server", 2)))
	tab.SetView(0, &View{Self: self, Active: []uint64{self}})
	now := 100 * second
	silent, quiet := key(1), key(2)
	for _, k := range []Key{silent, quiet} {
		tab.HandleDatagram(now, k, HintOpens, 0, nil, nil)
		tab.RecordReply(now, k)
	}
	other, _ := tab.Server(silent)
	endedAt := time.Duration(0)
	for now = 101 * second; now < 120*second && endedAt == 0; now += second {
		tab.answered[other] = now
		for _, a := range tab.HandleDatagram(now, silent, HintNone, 0, nil, nil) {
			if a.Kind == Ended {
				is.Equal(a.Reason, ReasonSilent)
				endedAt = now
			}
		}
		// A long download: answers come, the caller says nothing.
		tab.RecordReply(now, quiet)
	}
	is.True(endedAt > 0 && endedAt <= 110*second)
	_, ok := tab.Server(quiet)
	is.True(ok)
}

func TestEvictionSparesLiveFlows(t *testing.T) {
	is := is.New(t)
	self := rendez.Hash("a")
	tab := NewTable(Settings{MaxEntries: 2}, nil)
	tab.SetServers(0, serverSets(names("server", 2)))
	tab.SetView(0, &View{Self: self, Active: []uint64{self}})
	now := 100 * second
	tab.HandleDatagram(now, key(1), HintOpens, 0, nil, nil)
	tab.HandleDatagram(now, key(2), HintOpens, 0, nil, nil)
	out := tab.HandleDatagram(now+second, key(3), HintOpens, 0, nil, nil)
	is.Equal(out[0].Kind, Dropped)
	is.Equal(out[0].Reason, ReasonFull)
	tab.HandleDatagram(now+30*second, key(2), HintNone, 0, nil, nil)
	out = tab.HandleDatagram(now+31*second, key(3), HintOpens, 0, nil, nil)
	is.Equal(out[0].Kind, Ended)
	is.Equal(out[0].Key, key(1))
}

func TestFlowsOfServicesStayApart(t *testing.T) {
	is := is.New(t)
	self := rendez.Hash("a")
	tab := NewTable(Settings{}, nil)
	desk, press := names("desk", 3), names("press", 3)
	tab.SetServers(0, map[uint64]*ServerSet{1: {Accepting: desk}, 2: {Accepting: press}})
	tab.SetView(0, &View{Self: self, Active: []uint64{self}})
	for i := range 500 {
		for svc, set := range map[uint64][]uint64{1: desk, 2: press} {
			k := key(i)
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
	f.Fuzz(func(t *testing.T, body []byte) {
		unpackExceptions(body, func(x exception) {
			if x.print >= 1<<printBits {
				t.Fatal("fingerprint out of range")
			}
		})
	})
}

func BenchmarkPacketHeld(b *testing.B) {
	self := rendez.Hash("a")
	tab := NewTable(Settings{}, nil)
	tab.SetServers(0, serverSets(names("server", 14)))
	tab.SetView(0, &View{Self: self, Active: []uint64{self}})
	const flows = 100_000
	out := make([]Action, 0, 8)
	for i := range flows {
		out = tab.HandleDatagram(second, key(i), HintNone, 0, nil, out[:0])
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		out = tab.HandleDatagram(2*second, key(i%flows), HintNone, 0, nil, out[:0])
	}
}

// BenchmarkRecoveryBytes reports what a host of seven tells others in a second
// for the recovery of its flows, at 2,000 new flows a second.
func BenchmarkRecoveryBytes(b *testing.B) {
	const rate, seconds = 2000, 60
	for range b.N {
		h := names("host", 7)
		rng := rand.New(rand.NewPCG(1, 1))
		pinned := map[uint64]int{}
		tab := NewTable(Settings{}, LoadFunc(func(s uint64) float64 { return float64(pinned[s]) }))
		tab.SetServers(0, serverSets(names("server", 14)))
		tab.SetView(0, &View{Self: h[0], Active: sortedIDs(h...)})
		told := 0
		note := func(out []Action) {
			for _, a := range out {
				switch a.Kind {
				case Opened:
					pinned[a.Server]++
				case Ended:
					pinned[a.Server]--
				case SendToHost:
					told += len(a.Message.Payload) + 54 + 48 + 28
				}
			}
		}
		now := 1000 * second
		for opened := 0; opened < rate*seconds; {
			k := key(rng.IntN(1 << 30))
			if tab.view.Owner(k.Hash()) != h[0] {
				continue
			}
			opened++
			now += second / rate
			note(tab.HandleDatagram(now, k, HintNone, 0, nil, nil))
			if opened%80 == 0 {
				note(tab.Tick(now, nil))
			}
		}
		b.ReportMetric(float64(told)/seconds, "B/s")
	}
}

// BenchmarkEntryBytes reports the memory of a flow at 500,000 held flows.
func BenchmarkEntryBytes(b *testing.B) {
	const flows = 500_000
	for range b.N {
		self := rendez.Hash("a")
		runtime.GC()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		tab := NewTable(Settings{}, nil)
		tab.SetServers(0, serverSets(names("server", 14)))
		tab.SetView(0, &View{Self: self, Active: []uint64{self}})
		var out []Action
		for i := range flows {
			k := key(i)
			k.Caller[12] = byte(i >> 16)
			out = tab.HandleDatagram(1000*second, k, HintNone, 0, nil, out[:0])
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		if tab.PinnedFlows() != flows {
			b.Fatal("not all flows are held")
		}
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/flows, "B/flow")
	}
}

// TestLostTellIsToldAgain loses every other message of a host that tells its
// exceptions after a server began to drain.
func TestLostTellIsToldAgain(t *testing.T) {
	is := is.New(t)
	h := names("host", 2)
	servers := names("server", 4)
	tab, heir := NewTable(Settings{}, nil), NewTable(Settings{}, nil)
	for i, x := range []*Table{tab, heir} {
		x.SetServers(0, serverSets(servers))
		x.SetView(0, &View{Self: h[i], Active: sortedIDs(h...)})
	}
	now := 1000 * second
	drained := map[Key]bool{}
	for i := range 400 {
		tab.HandleDatagram(now, key(i), HintNone, 0, nil, nil)
		if s, ok := tab.Server(key(i)); ok && s == servers[0] {
			drained[key(i)] = true
		}
	}
	now += second
	for _, x := range []*Table{tab, heir} {
		x.SetServers(now, serverSets(servers[1:], servers[0]))
	}
	lose := false
	for range 5 {
		now += second
		for _, a := range tab.Tick(now, nil) {
			if a.Kind != SendToHost || a.Message.Kind != Exceptions {
				continue
			}
			lose = !lose
			if !lose {
				heir.HandleMessage(now, &a.Message, nil)
			}
		}
	}
	is.True(len(drained) > 20)
	for k := range drained {
		is.Equal(heir.recalled(k), servers[0])
	}
}
