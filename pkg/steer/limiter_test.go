package steer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoonramp.org/lagoonramp/pkg/fleet"
)

// testCopies are when a caller sends a SYN and its copies, and gives up.
var testCopies = []time.Duration{0, 200 * ms, 600 * ms, 1400 * ms}

// newFullTable returns a table whose servers have no room for more flows.
func newFullTable(seed uint64) *Table {
	t := NewTable(Settings{DataCentre: "a", Rand: rand.New(rand.NewPCG(seed, 3))})
	v := testView("a", "b")
	v.Routes[route].Objective, v.Routes[route].Timeout = 250*ms, 1500*ms
	t.SetView(0, v)
	l := t.lane("desk")
	l.limit, l.busy = minLimit, 100
	return t
}

func (t *Table) copyOf(now time.Duration, n, copies int) Verdict {
	return t.Packet(now, &Packet{
		Key: key(n), Sequence: uint32(n), Syn: true, Copy: copies,
		Waited: testCopies[copies], Next: testCopies[copies+1] - testCopies[copies],
	}, rawSyn)
}

// TestNewestSynGoesFirst checks the order in which SYNs that wait go on.
func TestNewestSynGoesFirst(t *testing.T) {
	is := is.New(t)
	table := newFullTable(1)
	is.Equal(table.copyOf(0, 1, 0).Action, Hold)     // It is late by the time that there is room.
	is.Equal(table.copyOf(90*ms, 2, 1).Action, Hold) // A copy is late from the start.
	is.Equal(table.copyOf(100*ms, 3, 0).Action, Hold)
	is.Equal(table.copyOf(110*ms, 4, 0).Action, Hold)
	_, ok := table.Due(120 * ms)
	is.True(!ok)
	l := table.lane("desk")
	l.limit, l.busy, l.share = 50, 0, 50
	at, ok := table.NextDue()
	is.True(ok && at <= 120*ms)
	for _, want := range []int{4, 3, 1, 2} {
		r, ok := table.Due(120 * ms)
		is.True(ok)
		is.Equal(r.Key, key(want))
	}
	_, ok = table.Due(120 * ms)
	is.True(!ok)
}

// TestRefusedFlowWasNeverOpened sends the copies of SYNs to two hosts by chance,
// as routers do when hosts come and go, with copies that are lost. A host that
// refuses a flow must be the only one that got a copy so far, and no other may
// get one within the margin.
func TestRefusedFlowWasNeverOpened(t *testing.T) {
	refused := 0
	for seed := range uint64(400) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			rng := rand.New(rand.NewPCG(seed, 9))
			hosts := []*Table{newFullTable(seed), newFullTable(seed + 1)}
			moved := rng.IntN(4)
			elsewhere := make([]bool, len(hosts))
			for now := time.Duration(0); now < testCopies[3]; now += 5 * ms {
				for c, at := range testCopies[:3] {
					if at != now {
						continue
					}
					h := 0
					if c >= moved {
						h = 1
					}
					elsewhere[1-h] = true // Also if it is lost on the way to h: it might not have been.
					if rng.IntN(4) == 0 {
						continue
					}
					if v := hosts[h].copyOf(now, 1, c); v.Action == Refuse {
						is.True(!elsewhere[h])
						refused++
					}
				}
				for h, table := range hosts {
					for r, ok := table.Due(now); ok; r, ok = table.Due(now) {
						is.True(r.Server == nil)
						is.True(!elsewhere[h]) // Another host may have opened the flow.
						refused++
					}
				}
			}
		})
	}
	is.New(t).True(refused > 50)
}

// TestRefusalComesAtOnce checks that a caller whose SYNs all came here is told
// as soon as its SYN has waited for long enough.
func TestRefusalComesAtOnce(t *testing.T) {
	is := is.New(t)
	table := newFullTable(1)
	is.Equal(table.copyOf(0, 1, 0).Action, Hold)
	is.Equal(table.resendAll(190*ms), nil)
	is.Equal(table.copyOf(200*ms, 1, 1).Action, Hold)
	is.Equal(table.resendAll(600*ms), nil)
	is.Equal(table.copyOf(601*ms, 1, 2), Verdict{Action: Refuse, Reason: Overload})
	is.Equal(table.Held(), 0)
	// A shorter timeout ends between two copies.
	table.view.Routes[route].Timeout = 800 * ms
	table.copyOf(0, 2, 0)
	table.copyOf(200*ms, 2, 1)
	r, ok := table.Due(321 * ms)
	is.True(ok)
	is.Equal(r, Resend{Key: key(2)})
}

// TestLimitFollowsTheAnswers plays windows of answers.
func TestLimitFollowsTheAnswers(t *testing.T) {
	is := is.New(t)
	now := time.Second
	l := &lane{windowAt: now}
	window := func(part float64, busy int) {
		l.load(busy - l.busy)
		for range windowAnswers {
			now += 10 * ms
			l.answered(now, now, part)
		}
	}
	window(0.3, 20)
	window(0.9, 20)
	is.Equal(l.limit, 0.0) // A burst may pass.
	for range 8 {
		window(0.9, 20)
	}
	is.True(l.limit >= minLimit && l.limit < 20)
	low := l.limit
	l.answered(now, l.cutAt-1, 9) // A flow from before the cut says nothing.
	is.Equal(len(l.answers), 0)
	for range 30 {
		window(0.2, int(low))
	}
	is.Equal(l.limit, 0.0)
}

// TestUnseenAnswersAreNoLoad checks that flows whose answers go by other hosts do
// not keep new ones waiting.
func TestUnseenAnswersAreNoLoad(t *testing.T) {
	is := is.New(t)
	table := newTestTable(1, "a")
	v := testView("a", "b")
	v.Routes[route].Objective = 250 * ms
	table.SetView(0, v)
	for n := range 20 {
		s := table.testSyn(0, n, 0).Server
		table.testData(ms, n, s.Mark, 7, 10)
	}
	is.Equal(table.lane("desk").busy, 20)
	table.resendAll(600 * ms)
	is.Equal(table.lane("desk").busy, 0)
}

// TestLanesOfServicesThatLeftAreForgotten bounds what is kept of services.
func TestLanesOfServicesThatLeftAreForgotten(t *testing.T) {
	is := is.New(t)
	table := newTestTable(1, "a")
	s := table.testSyn(0, 1, 0).Server
	table.testData(ms, 1, s.Mark, 7, 0)
	is.Equal(len(table.lanes), 1)
	table.Packet(2*ms, &Packet{Key: key(1), Mark: s.Mark, Fin: true}, nil)
	table.SetView(3*ms, &fleet.View{Version: 2})
	is.Equal(len(table.lanes), 0)
}

// TestLimitsAreTold checks what operators see of a service that is overloaded.
func TestLimitsAreTold(t *testing.T) {
	is := is.New(t)
	table := newFullTable(1)
	l := table.lane("desk")
	l.limit, l.busy, l.base = 0, 0, 0.2
	now := time.Second
	told := 0
	for n := 0; told == 0 && n < 200; n++ {
		now += 20 * ms
		s := table.testSyn(now, n, 0).Server
		table.testData(now+5*ms, n, s.Mark, 7, 10)
		table.testData(now+230*ms, n, s.Mark, 8, 0)
		told = len(table.limits)
	}
	changes := table.TakeLimits()
	is.Equal(len(changes), 1)
	is.Equal(changes[0].Service, "desk")
	is.True(changes[0].Limit > 0 && changes[0].Median > lateAbove)
	is.Equal(len(table.TakeLimits()), 0)
	is.Equal(table.Lanes()[0].Limit, l.limit)
}
