package steer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoonramp.org/lagoonramp/pkg/fleet"
)

// testSYNTimes are the times at which a caller sends a SYN and its
// retransmissions, and finally gives up.
var testSYNTimes = []time.Duration{0, 200 * ms, 600 * ms, 1400 * ms}

// newOverloadedTable returns a table with more flows in flight than its limit.
func newOverloadedTable(seed uint64) *Table {
	t := NewTable(Settings{DataCentre: "a", Rand: rand.New(rand.NewPCG(seed, 3))})
	v := testView("a", "b")
	v.Routes[routeAddress].Objective, v.Routes[routeAddress].Timeout = 250*ms, 1500*ms
	t.SetView(0, v)
	l := t.limiter("desk")
	l.limit, l.inFlight = minLimit, 100
	return t
}

func (t *Table) testSYNTransmission(now time.Duration, n, retransmits int) Verdict {
	return t.HandlePacket(now, &Packet{
		Key: key(n), Sequence: uint32(n), SYN: true, Retransmits: retransmits,
		SinceFirst: testSYNTimes[retransmits], UntilNext: testSYNTimes[retransmits+1] - testSYNTimes[retransmits],
	}, rawSYN)
}

// TestNewestHeldSYNIsReleasedFirst checks the release order of held SYNs: fresh
// before overdue, and the newest first among each.
func TestNewestHeldSYNIsReleasedFirst(t *testing.T) {
	is := is.New(t)
	table := newOverloadedTable(1)
	is.Equal(table.testSYNTransmission(0, 1, 0).Action, Hold)     // It is overdue when the limit is raised.
	is.Equal(table.testSYNTransmission(90*ms, 2, 1).Action, Hold) // A retransmission is overdue from the start.
	is.Equal(table.testSYNTransmission(100*ms, 3, 0).Action, Hold)
	is.Equal(table.testSYNTransmission(110*ms, 4, 0).Action, Hold)
	_, ok := table.NextResend(120 * ms)
	is.True(!ok)
	l := table.limiter("desk")
	l.limit, l.inFlight, l.slotShare = 50, 0, 50
	at, ok := table.NextDeadline()
	is.True(ok && at <= 120*ms)
	for _, want := range []int{4, 3, 1, 2} {
		r, ok := table.NextResend(120 * ms)
		is.True(ok)
		is.Equal(r.Key, key(want))
	}
	_, ok = table.NextResend(120 * ms)
	is.True(!ok)
}

// TestRefusedFlowIsNotOpenElsewhere guards against the refusal of a flow that
// another host has opened. SYNs and retransmissions go to two hosts at random,
// as while hosts join or leave, and some are lost. A host that refuses a flow
// must have received all SYNs so far, and no other host may receive one within
// the margin.
func TestRefusedFlowIsNotOpenElsewhere(t *testing.T) {
	refused := 0
	for seed := range uint64(400) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			rng := rand.New(rand.NewPCG(seed, 9))
			hosts := []*Table{newOverloadedTable(seed), newOverloadedTable(seed + 1)}
			moved := rng.IntN(4)
			elsewhere := make([]bool, len(hosts))
			for now := time.Duration(0); now < testSYNTimes[3]; now += 5 * ms {
				for c, at := range testSYNTimes[:3] {
					if at != now {
						continue
					}
					h := 0
					if c >= moved {
						h = 1
					}
					elsewhere[1-h] = true // Even if the SYN is lost before it reaches h.
					if rng.IntN(4) == 0 {
						continue
					}
					if v := hosts[h].testSYNTransmission(now, 1, c); v.Action == Refuse {
						is.True(!elsewhere[h])
						refused++
					}
				}
				for h, table := range hosts {
					for r, ok := table.NextResend(now); ok; r, ok = table.NextResend(now) {
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

// TestFlowIsRefusedWithoutDelay checks that a flow whose SYNs all arrived at
// one host is refused as soon as its hold ends.
func TestFlowIsRefusedWithoutDelay(t *testing.T) {
	is := is.New(t)
	table := newOverloadedTable(1)
	is.Equal(table.testSYNTransmission(0, 1, 0).Action, Hold)
	is.Equal(table.testResendAll(190*ms), nil)
	is.Equal(table.testSYNTransmission(200*ms, 1, 1).Action, Hold)
	is.Equal(table.testResendAll(600*ms), nil)
	is.Equal(table.testSYNTransmission(601*ms, 1, 2), Verdict{Action: Refuse, Reason: Overload, Waited: 601 * ms})
	is.Equal(table.FlowCount(), 0)
	// With a shorter timeout, the hold ends between two retransmissions.
	table.view.Routes[routeAddress].Timeout = 800 * ms
	table.testSYNTransmission(0, 2, 0)
	table.testSYNTransmission(200*ms, 2, 1)
	r, ok := table.NextResend(321 * ms)
	is.True(ok)
	is.Equal(r, Resend{Key: key(2), Reason: Overload, Waited: 321 * ms})
}

// TestLimitFollowsAnswerTimes checks that late answers set and lower the limit
// and that answers in time raise and remove it.
func TestLimitFollowsAnswerTimes(t *testing.T) {
	is := is.New(t)
	now := time.Second
	l := &limiter{windowStart: now}
	window := func(ratio float64, inFlight int) {
		l.addInFlight(inFlight - l.inFlight)
		for range windowAnswers {
			now += 10 * ms
			l.recordAnswer(now, now, ratio)
		}
	}
	window(0.3, 20)
	window(0.9, 20)
	is.Equal(l.limit, 0.0) // A short burst sets no limit.
	for range 8 {
		window(0.9, 20)
	}
	is.True(l.limit >= minLimit && l.limit < 20)
	low := l.limit
	l.recordAnswer(now, l.loweredAt-1, 9) // A flow from before the reduction is ignored.
	is.Equal(len(l.answerRatios), 0)
	for range 30 {
		window(0.2, int(low))
	}
	is.Equal(l.limit, 0.0)
}

// TestFlowsWithoutVisibleAnswerLeaveInFlight guards against a load that never
// falls because the acknowledgements of the answers go through other hosts: new
// flows would be held for no reason.
func TestFlowsWithoutVisibleAnswerLeaveInFlight(t *testing.T) {
	is := is.New(t)
	table := newTestTable(1, "a")
	v := testView("a", "b")
	v.Routes[routeAddress].Objective = 250 * ms
	table.SetView(0, v)
	for n := range 20 {
		s := table.testSYN(0, n, 0).Server
		table.testData(ms, n, s.Mark, 7, 10)
	}
	is.Equal(table.limiter("desk").inFlight, 20)
	table.testResendAll(600 * ms)
	is.Equal(table.limiter("desk").inFlight, 0)
}

// TestLimitersOfRemovedServicesAreDeleted checks that limiters of removed
// services do not accumulate.
func TestLimitersOfRemovedServicesAreDeleted(t *testing.T) {
	is := is.New(t)
	table := newTestTable(1, "a")
	s := table.testSYN(0, 1, 0).Server
	table.testData(ms, 1, s.Mark, 7, 0)
	is.Equal(len(table.limiters), 1)
	table.HandlePacket(2*ms, &Packet{Key: key(1), Mark: s.Mark, FIN: true}, nil)
	table.SetView(3*ms, &fleet.View{DocumentVersion: 2})
	is.Equal(len(table.limiters), 0)
}

// TestLimitChangesAreReported checks the change that is reported when a service
// becomes overloaded.
func TestLimitChangesAreReported(t *testing.T) {
	is := is.New(t)
	table := newOverloadedTable(1)
	l := table.limiter("desk")
	l.limit, l.inFlight, l.baseline = 0, 0, 0.2
	now := time.Second
	changeCount := 0
	for n := 0; changeCount == 0 && n < 200; n++ {
		now += 20 * ms
		s := table.testSYN(now, n, 0).Server
		table.testData(now+5*ms, n, s.Mark, 7, 10)
		table.testData(now+230*ms, n, s.Mark, 8, 0)
		changeCount = len(table.limitChanges)
	}
	changes := table.TakeLimitChanges()
	is.Equal(len(changes), 1)
	is.Equal(changes[0].Service, "desk")
	is.True(changes[0].Limit > 0 && changes[0].MedianRatio > overloadRatio)
	is.Equal(len(table.TakeLimitChanges()), 0)
	is.Equal(table.ServiceReports()[0].Limit, l.limit)
}
