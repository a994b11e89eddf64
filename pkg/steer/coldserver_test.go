package steer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoonramp.org/lagoonramp/pkg/fleet"
	"lagoonramp.org/lagoonramp/pkg/warmup"
)

// coldSettings are the bounds of the tests of cold servers.
var coldSettings = warmup.Settings{Overage: 1.5, Slack: 5}

// coldView returns a view of a service whose cold servers take rate flows per
// second. The first cold of its servers, one in each of the data centres, are cold
// until end.
func coldView(rate float64, cold int, end time.Duration, centres ...string) *fleet.View {
	v := testView(centres...)
	v.Services = map[string]fleet.Service{"desk": {Name: "desk", WarmupRate: rate, WarmupDuration: 2 * time.Second}}
	for _, s := range v.Usable["desk"][:cold] {
		s.WarmupEnd = end
	}
	return v
}

// coldTable returns the table of one of n hosts of data centre a. All know each
// other from the start.
func coldTable(v *fleet.View, self, n int) *Table {
	t := NewTable(Settings{DataCentre: "a", Warmup: coldSettings, Rand: rand.New(rand.NewPCG(uint64(self), 3))})
	f := Feeders{Self: uint64(self), Active: true}
	for i := range n {
		f.Hosts = append(f.Hosts, uint64(i+1))
	}
	t.SetFeeders(f)
	t.SetView(0, v)
	return t
}

// newSYN sends the first SYN of a flow, which the caller repeats after 200 ms.
func (t *Table) newSYN(now time.Duration, n int) Verdict { return t.testSYNAfter(now, n, 0, 0) }

// TestUnlimitedServiceIsServedAsBefore guards against an effect of the limit where
// the operators have set no rate: all choices must stay the same.
func TestUnlimitedServiceIsServedAsBefore(t *testing.T) {
	is := is.New(t)
	centres := []string{"a", "a", "b", "b", "a"}
	plain, limited := newTestTable(1, centres...), newTestTable(1, centres...)
	for i, table := range []*Table{plain, limited} {
		v := coldView(0, 2, 3*time.Second, centres...)
		if i == 0 {
			v.Services = nil
		} else {
			table.settings.Warmup = coldSettings
			table.SetFeeders(Feeders{Self: 1, Hosts: []uint64{1, 2}, Active: true})
			table.HoldDown(time.Second)
		}
		table.SetView(0, v)
	}
	rng := rand.New(rand.NewPCG(4, 4))
	for i := range 4000 {
		now := time.Duration(i) * ms
		n, what := rng.IntN(400), rng.IntN(3)
		step := func(table *Table) (Verdict, Resend) {
			v := table.newSYN(now, n)
			if what > 0 && v.Server != nil && v.Server.Mark != 3 { // The third server is silent.
				v = table.testData(now, n, v.Server.Mark, uint32(i), 100*(what-1))
			}
			r, _ := table.NextResend(now)
			return v, r
		}
		v1, r1 := step(plain)
		v2, r2 := step(limited)
		is.Equal(fmt.Sprint(v1.Action, v1.Reason, v1.Server, r1.Key, r1.Server), fmt.Sprint(v2.Action, v2.Reason, v2.Server, r2.Key, r2.Server))
	}
}

// TestColdServerGetsItsRateFromAllHosts checks the bound and the rate with one table
// per host, beside warm servers that take the rest.
func TestColdServerGetsItsRateFromAllHosts(t *testing.T) {
	for _, rate := range []float64{0.3, 7, 30} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			is := is.New(t)
			v := coldView(rate, 1, time.Hour, "a", "a", "b")
			var tables []*Table
			for i := range 23 {
				tables = append(tables, coldTable(v, i+1, 23))
			}
			outside := coldTable(v, 1, 23)
			outside.settings.DataCentre = "b"
			outside.SetView(0, v)
			var sent []time.Duration
			const seconds = 40
			for now := time.Duration(0); now < seconds*time.Second; now += 4 * ms {
				n := int(now / (4 * ms))
				is.True(outside.newSYN(now, n).Server.Mark != 1)
				for _, table := range tables {
					s := table.newSYN(now, n).Server
					if s.Mark == 1 {
						sent = append(sent, now)
					}
					table.testData(now, n, s.Mark, 1, 0)
					table.HandlePacket(now, &Packet{Key: key(n), Mark: s.Mark, Reset: true}, nil)
				}
			}
			for i, at := range sent {
				if last := i + int(coldSettings.Bound(rate)); last < len(sent) {
					is.True(sent[last]-at >= time.Second)
				}
			}
			is.True(float64(len(sent)) >= 0.9*rate*seconds-1)
		})
	}
}

// TestColdServerWithBusySlots guards against a queue at a cold server: its own flows
// fill its slots, so another server is better.
func TestColdServerWithBusySlots(t *testing.T) {
	is := is.New(t)
	table := coldTable(coldView(100, 1, time.Hour, "a", "a", "a"), 1, 1)
	count := map[uint32]int{}
	for i := range 6 {
		count[table.newSYN(time.Duration(i)*20*ms, i).Server.Mark]++
	}
	is.Equal(count[1], 2)
}

// TestDeferredSYNs checks what happens to SYNs of a service with only cold servers.
func TestDeferredSYNs(t *testing.T) {
	is := is.New(t)
	view := coldView(4, 1, time.Hour, "a")
	feeder := coldTable(view, 1, 1) // One flow each 263 ms.
	is.Equal(feeder.newSYN(0, 1).Server.Mark, uint32(1))
	for n := 2; n <= 5; n++ {
		v := feeder.newSYN(0, n)
		is.Equal(v.Action, Hold)
		is.Equal(v.Service, "desk")
	}
	// Four turns come within 1.1 s, so a fifth SYN is refused at once, and one that
	// another host may have sent is dropped.
	is.Equal(feeder.newSYN(0, 6).Action, Refuse)
	is.Equal(feeder.testSYNAfter(0, 7, 1, 100*ms).Action, Drop)
	var sent []time.Duration
	for now := time.Duration(0); now < 2*time.Second; now += ms {
		if r, ok := feeder.NextResend(now); ok {
			is.True(r.Server != nil)
			sent = append(sent, now)
		}
	}
	is.Equal(sent, []time.Duration{264 * ms, 528 * ms, 792 * ms, 1056 * ms})
	is.Equal(feeder.ColdReports(0), []ColdReport{{Service: "desk", Servers: 1, Flows: 5, Deferred: 4, Refused: 1}})
}

// TestDeferredSYNEndsAtItsDeadline checks that a deferred SYN is refused, or dropped
// if another host may have received it, when its turn fails to come.
func TestDeferredSYNEndsAtItsDeadline(t *testing.T) {
	is := is.New(t)
	table := coldTable(coldView(4, 1, time.Hour, "a"), 1, 1)
	table.newSYN(0, 1)
	held := &Packet{Key: key(2), Sequence: 2, SYN: true, UntilNext: 5 * time.Second}
	is.Equal(table.HandlePacket(0, held, rawSYN).Action, Hold)
	is.Equal(table.testSYNAfter(0, 3, 1, 0).Action, Hold)
	table.SetFeeders(Feeders{})
	var refused []Key
	for now := time.Duration(0); now < 2*time.Second; now += 10 * ms {
		if r, ok := table.NextResend(now); ok {
			is.True(r.Server == nil && r.Reason == ColdServers)
			refused = append(refused, r.Key)
		}
	}
	is.Equal(refused, []Key{key(2)})
	is.Equal(table.coldServices["desk"].deferred, 0)
	is.Equal(table.FlowCount(), 1)
}

// TestDeferredSYNGoesToServerThatTurnsWarm checks that a deferred SYN does not wait
// for a turn longer than the server is cold.
func TestDeferredSYNGoesToServerThatTurnsWarm(t *testing.T) {
	is := is.New(t)
	table := coldTable(coldView(4, 1, 300*ms, "a"), 9, 0) // No feeder.
	table.SetFeeders(Feeders{})
	is.Equal(table.newSYN(0, 1).Action, Hold)
	_, ok := table.NextResend(299 * ms)
	is.True(!ok)
	r, ok := table.NextResend(300 * ms)
	is.True(ok)
	is.Equal(r.Server.Mark, uint32(1))
}

// TestDeferredSYNsDoNotFillQueues guards against a burst at the end of a warm-up, for
// example after a power failure of all servers: the SYNs of a second at once would
// exceed the slots and the queues.
func TestDeferredSYNsDoNotFillQueues(t *testing.T) {
	is := is.New(t)
	table := coldTable(coldView(4, 1, 300*ms, "a"), 9, 0) // No feeder; two slots.
	for n := range 9 {
		is.Equal(table.newSYN(0, n).Action, Hold)
	}
	sent := map[Key]bool{}
	release := func(now time.Duration) {
		for r, ok := table.NextResend(now); ok; r, ok = table.NextResend(now) {
			sent[r.Key] = r.Server != nil
		}
	}
	release(300 * ms)
	is.Equal(len(sent), 2)
	for k := range sent {
		table.HandlePacket(310*ms, &Packet{Key: k, Mark: 1, FIN: true}, nil)
	}
	release(310 * ms)
	is.Equal(len(sent), 4)
	for k := range sent { // Answered, but still in flight.
		table.HandlePacket(320*ms, &Packet{Key: k, Mark: 1}, nil)
	}
	release(maxHold) // At its deadline, a SYN is sent in any case.
	is.Equal(len(sent), 9)
	is.Equal(table.coldServices["desk"].deferred, 0)
}

// TestServerThatMayHaveRestartedIsCold guards against flows to a server that has
// restarted although its entry does not show that it is cold.
func TestServerThatMayHaveRestartedIsCold(t *testing.T) {
	const answered = time.Second
	for name, restart := range map[string]func(*Table){
		"unanswered SYN": func(table *Table) {
			h := table.health[1]
			h.recordUnanswered(500*ms, 400*ms)
			h.recordAnswer(answered)
		},
		"unanswered SYN, probe answered": func(table *Table) {
			table.health[1].recordUnanswered(500*ms, 400*ms)
			table.RecordProbe(answered, Probe{Server: table.view.ServersByMark[1]}, ProbeAnswered)
		},
		"new start time": func(table *Table) {
			v := coldView(4, 0, 0, "a", "a")
			v.ServersByMark[1].Started = time.Unix(7, 0)
			table.SetView(answered, v)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := coldTable(coldView(4, 0, 0, "a", "a"), 1, 1)
			restart(table)
			h := table.health[1]
			is.True(h.cold.isCold(answered + 2*time.Second - 1))
			is.True(!h.cold.isCold(answered + 2*time.Second))
		})
	}
}

// TestColdServersAllocateNothing keeps the path of a packet free of allocations.
func TestColdServersAllocateNothing(t *testing.T) {
	is := is.New(t)
	table := coldTable(coldView(4, 2, time.Hour, "a", "a", "a"), 1, 40)
	only := coldTable(coldView(4, 1, time.Hour, "b"), 1, 40)
	p, refused := Packet{Key: key(1), SYN: true}, Packet{Key: key(1), SYN: true, UntilNext: time.Second}
	now := time.Duration(0)
	is.Equal(testing.AllocsPerRun(200, func() {
		now += 10 * ms
		p.Sequence++
		table.HandlePacket(now, &p, rawSYN)
		table.NextResend(now)
		only.HandlePacket(now, &refused, rawSYN)
	}), 0.0)
}

// TestHoldDownSurvivesNewKnowledge guards against a host that feeds servers right
// after a pause, because the control loop has not noticed the pause yet.
func TestHoldDownSurvivesNewKnowledge(t *testing.T) {
	is := is.New(t)
	table := coldTable(coldView(4, 1, time.Hour, "a", "a"), 1, 1)
	table.HoldDown(3 * time.Second)
	table.SetFeeders(Feeders{Self: 1, Hosts: []uint64{1}, Active: true})
	is.Equal(table.newSYN(3*time.Second-1, 1).Server.Mark, uint32(2))
	is.Equal(table.newSYN(3*time.Second, 2).Server.Mark, uint32(1))
}
