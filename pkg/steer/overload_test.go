package steer

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoonramp.org/lagoonramp/internal/vtime"
	"lagoonramp.org/lagoonramp/pkg/fleet"
)

// crestPlan is a load on one service, as the Association's entry-desk sees it.
type crestPlan struct {
	hosts, servers, slots int
	// rate is new requests a second, and work their mean time.
	rate float64
	work time.Duration
	// goal is within what time a request hopes to be answered, and patience
	// when its caller gives up.
	goal, patience time.Duration
	// outageFrom and outageTo are when no host takes packets.
	outageFrom, outageTo time.Duration
	// objective is what the route declares; 0 for nothing.
	objective time.Duration
	// slow is how many servers work five times as long, and dead how many do
	// not answer from dieAt on.
	slow, dead int
	dieAt      time.Duration
	end        time.Duration
}

// crestWorld plays a plan with a Table at each host.
type crestWorld struct {
	vtime.Clock
	plan   crestPlan
	rng    *rand.Rand
	tables []*Table
	view   *fleet.View
	busy   []int
	queues [][]func()
	// inTime and all count the requests that began after the outage or, if
	// there is none, all.
	inTime, all, served, total int
}

const (
	crestHop   = 4 * ms
	crestQueue = 12
)

func newCrestWorld(plan crestPlan, seed uint64, share int) *crestWorld {
	w := &crestWorld{plan: plan, rng: rand.New(rand.NewPCG(seed, 6)), busy: make([]int, plan.servers), queues: make([][]func(), plan.servers)}
	w.view = &fleet.View{
		Version: 1, Usable: map[string][]*fleet.Server{}, Marked: map[uint32]*fleet.Server{},
		Routes: map[netip.AddrPort]*fleet.Path{route: {Targets: []fleet.Target{{Service: "desk", Weight: 1}}, Objective: plan.objective, Timeout: plan.patience}},
	}
	for i := range plan.servers {
		s := &fleet.Server{Service: "desk", DataCentre: "a", Slots: plan.slots, Mark: uint32(i + 1)}
		w.view.Usable["desk"] = append(w.view.Usable["desk"], s)
		w.view.Marked[s.Mark] = s
	}
	for i := range plan.hosts {
		t := NewTable(Settings{DataCentre: "a", Rand: rand.New(rand.NewPCG(seed, uint64(i)))})
		t.SetView(0, w.view)
		t.SetHosts(share)
		w.tables = append(w.tables, t)
	}
	return w
}

func (w *crestWorld) run() *crestWorld {
	n := 0
	w.Every(time.Duration(float64(time.Second)/w.plan.rate), func() bool {
		n++
		w.begin(n)
		return w.Now() < w.plan.end
	})
	w.Every(ms, func() bool {
		for i, t := range w.tables {
			for r, ok := t.Due(w.Now()); ok; r, ok = t.Due(w.Now()) {
				if r.Server == nil {
					continue // The caller is refused.
				}
				w.syn(i, int(r.Key.Caller.Port())-1024, r.Server)
			}
		}
		return true
	})
	w.Until(w.plan.end + 3*time.Second)
	return w
}

// request is a request of a caller.
type crestRequest struct {
	n, host int
	start   time.Duration
	opened  bool
}

var crestRequests = map[int]*crestRequest{}

func (w *crestWorld) begin(n int) {
	r := &crestRequest{n: n % 60_000, host: w.rng.IntN(w.plan.hosts), start: w.Now()}
	crestRequests[r.n] = r
	w.total++
	if r.start >= w.plan.outageTo {
		w.all++
	}
	for i, after := range []time.Duration{0, 200 * ms, 600 * ms} {
		w.After(after+crestHop, func() {
			if r.opened || w.down() {
				return
			}
			v := w.tables[r.host].testSynAfter(w.Now(), r.n, i, after)
			if v.Action == Forward {
				w.syn(r.host, r.n, v.Server)
			}
		})
	}
}

func (w *crestWorld) down() bool {
	return w.Now() >= w.plan.outageFrom && w.Now() < w.plan.outageTo
}

// syn brings a SYN to a server; the caller's request follows.
func (w *crestWorld) syn(host, n int, s *fleet.Server) {
	r := crestRequests[n]
	at := int(s.Mark) - 1
	if at >= w.plan.servers-w.plan.dead && w.Now() >= w.plan.dieAt {
		return
	}
	w.After(2*crestHop, func() {
		if r.opened || w.down() {
			return
		}
		r.opened = true
		w.tables[host].testData(w.Now(), n, s.Mark, 7, 10)
		w.After(crestHop, func() { w.serve(r, s) })
	})
}

func (w *crestWorld) serve(r *crestRequest, s *fleet.Server) {
	at := int(s.Mark) - 1
	run := func() {
		w.busy[at]++
		work := time.Duration((0.5 + w.rng.Float64()) * float64(w.plan.work))
		if at < w.plan.slow {
			work *= 5
		}
		w.After(work, func() { w.ran(r, s) })
	}
	switch {
	case w.busy[at] < w.plan.slots:
		run()
	case len(w.queues[at]) < crestQueue:
		w.queues[at] = append(w.queues[at], run)
	}
}

func (w *crestWorld) ran(r *crestRequest, s *fleet.Server) {
	at := int(s.Mark) - 1
	w.busy[at]--
	if len(w.queues[at]) > 0 {
		next := w.queues[at][0]
		w.queues[at] = w.queues[at][1:]
		next()
	}
	took := w.Now() + crestHop - r.start
	if took <= w.plan.patience {
		w.served++
	}
	if took <= w.plan.goal && r.start >= w.plan.outageTo {
		w.inTime++
	}
	w.After(2*crestHop, func() { w.tables[r.host].testData(w.Now(), r.n, s.Mark, 8, 0) })
}

func (w *crestWorld) share() float64 { return float64(w.inTime) / float64(w.all) }

// association is the Association's entry-desk at its crest.
var association = crestPlan{
	hosts: 7, servers: 14, slots: 3, rate: 500, work: 50 * ms,
	goal: 250 * ms, patience: 1500 * ms, end: 20 * time.Second,
}

func TestCrestIsServedInTime(t *testing.T) {
	is := is.New(t)
	w := newCrestWorld(association, 1, 7).run()
	is.True(w.share() > 0.99)
}

// TestNewFlowsGoBeforeCopiesAfterAnOutage replays the return after a power-off
// of all hosts, with and without holding the callers' copies. Flows that begin
// after the outage have to be served as if there had been none, and those that
// waited must not be lost for it.
func TestNewFlowsGoBeforeCopiesAfterAnOutage(t *testing.T) {
	for _, outage := range []time.Duration{1200 * ms, 1600 * ms} {
		t.Run(outage.String(), func(t *testing.T) {
			is := is.New(t)
			plan := association
			plan.rate, plan.objective = 560, plan.goal
			plan.outageFrom, plan.outageTo = 3*time.Second, 3*time.Second+outage
			plan.end = plan.outageTo + 2*time.Second
			var with, without float64
			servedWith, servedWithout := 0, 0
			const seeds = 5
			for seed := range uint64(seeds) {
				w := newCrestWorld(plan, seed, 7).run()
				with += w.share() / seeds
				servedWith += w.served
				w = newCrestWorld(plan, seed, 1).run() // Each host has room for all copies.
				without += w.share() / seeds
				servedWithout += w.served
			}
			is.True(with > 0.97)
			is.True(with > without)
			is.True(servedWith >= servedWithout)
		})
	}
}

// TestOverloadedServersServeNewFlowsInTime replays a load beyond what the servers
// can do, with and without an objective by which the hosts limit it. Nine tenths
// of what they can do has to be in time; first come, first served, half is late.
func TestOverloadedServersServeNewFlowsInTime(t *testing.T) {
	for _, load := range []float64{1.05, 1.15, 1.3} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			is := is.New(t)
			plan := association
			plan.rate = load * float64(plan.servers*plan.slots) / plan.work.Seconds()
			plan.end = 8 * time.Second
			without := newCrestWorld(plan, 1, 7).run()
			plan.objective = plan.goal
			with := newCrestWorld(plan, 1, 7).run()
			is.True(with.share() > 0.9/load)
			is.True(with.share() > without.share())
			is.True(float64(with.served) > 0.97*float64(without.served))
		})
	}
}

// TestCalmServersKnowNoLimit checks that an objective changes nothing while the
// servers can do what is asked.
func TestCalmServersKnowNoLimit(t *testing.T) {
	is := is.New(t)
	plan := association
	plan.objective = plan.goal
	w := newCrestWorld(plan, 1, 7).run()
	is.True(w.share() > 0.99)
	for _, table := range w.tables {
		is.Equal(table.lane("desk").limit, 0.0)
		is.Equal(len(table.queued), 0)
	}
}

// TestDeadServersCostLittle lets a seventh of the servers go silent at the
// crest.
func TestDeadServersCostLittle(t *testing.T) {
	is := is.New(t)
	plan := association
	plan.rate = 350
	plan.dead, plan.dieAt = 2, 5*time.Second
	is.True(newCrestWorld(plan, 1, 7).run().share() > 0.97)
}

// TestSlowServersAreAvoided lets a seventh of the servers work five times as
// long.
func TestSlowServersAreAvoided(t *testing.T) {
	for _, rate := range []float64{200, 350, 450} {
		is := is.New(t)
		plan := association
		plan.rate, plan.slow = rate, 2
		is.True(newCrestWorld(plan, 1, 7).run().share() > 0.97)
	}
}

// TestObjectiveBelowTheWorkLimitsNothing declares an objective that requests
// cannot meet even at idle servers: fewer flows at a time would not help them.
func TestObjectiveBelowTheWorkLimitsNothing(t *testing.T) {
	for _, objective := range []time.Duration{50 * ms, 150 * ms, 250 * ms} {
		is := is.New(t)
		plan := association
		plan.work, plan.objective, plan.goal = 200*ms, objective, 600*ms
		plan.rate = 0.7 * float64(plan.servers*plan.slots) / plan.work.Seconds()
		w := newCrestWorld(plan, 1, 7).run()
		is.True(w.share() > 0.99)
	}
}
