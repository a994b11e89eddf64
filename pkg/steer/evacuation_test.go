package steer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoonramp.org/lagoonramp/pkg/fleet"
)

// withEvacuated returns a copy of a view in which some data centres are evacuated.
func withEvacuated(v *fleet.View, dataCentres ...string) *fleet.View {
	out := *v
	out.Usable, out.Evacuated, out.EvacuatedServices = map[string][]*fleet.Server{}, map[string]bool{}, map[string]bool{}
	for _, d := range dataCentres {
		out.Evacuated[d] = true
	}
	for service, servers := range v.Usable {
		out.Usable[service] = slices.DeleteFunc(slices.Clone(servers), func(s *fleet.Server) bool { return out.Evacuated[s.DataCentre] })
		out.EvacuatedServices[service] = len(out.Usable[service]) == 0
	}
	return &out
}

// TestNoNewFlowToEvacuatedDataCentre guards against each way in which a new flow
// could go to a server that the view no longer offers. A case returns the data
// centres to which its SYNs went after b was evacuated at 100 ms.
func TestNoNewFlowToEvacuatedDataCentre(t *testing.T) {
	view := testView("b", "b", "a")
	evacuate := func(table *Table) { table.SetView(100*ms, withEvacuated(view, "b")) }
	// unanswered returns a table of which flow 1 was sent to a server in b.
	unanswered := func(seed uint64) *Table {
		table := NewTable(Settings{DataCentre: "b", Rand: rand.New(rand.NewPCG(seed, 3))})
		table.SetView(0, withEvacuated(view, "a"))
		table.testSYN(90*ms, 1, 0)
		return table
	}
	resends := func(table *Table, now time.Duration) (out []string) {
		for r, ok := table.NextResend(now); ok; r, ok = table.NextResend(now) {
			out = append(out, r.Server.DataCentre)
		}
		return out
	}
	for name, f := range map[string]func(seed uint64) []string{
		"new flow": func(seed uint64) []string {
			table := unanswered(seed)
			evacuate(table)
			return []string{table.testSYN(110*ms, 2, 0).Server.DataCentre}
		},
		"second try after a timeout": func(seed uint64) []string {
			table := unanswered(seed)
			evacuate(table)
			return resends(table, 90*ms+initialHandshakeTimeout)
		},
		"second try with a retransmission": func(seed uint64) []string {
			table := unanswered(seed)
			table.ExpectRerouting(time.Second)
			evacuate(table)
			return []string{table.testSYN(290*ms, 1, 1).Server.DataCentre}
		},
		"retransmission of a SYN of another host": func(seed uint64) []string {
			table := unanswered(seed)
			evacuate(table)
			return []string{table.testSYN(290*ms, 2, 1).Server.DataCentre}
		},
		"held SYN": func(seed uint64) []string {
			table := unanswered(seed)
			l := table.limiter("desk")
			l.limit, l.inFlight = minLimit, 100
			table.testSYNTransmission(95*ms, 2, 0)
			evacuate(table)
			l.limit, l.inFlight, l.slotShare = 50, 0, 50
			return resends(table, 110*ms)
		},
		"pinned flow whose caller starts a new one": func(seed uint64) []string {
			table := unanswered(seed)
			table.AddPin(95*ms, Pin{Key: key(2), Mark: 1})
			evacuate(table)
			return []string{table.testSYN(110*ms, 2, 0).Server.DataCentre}
		},
		"probe of a suspect server": func(seed uint64) []string {
			table := unanswered(seed)
			table.testResendAll(95 * ms)
			for _, h := range table.health {
				h.recordUnanswered(95*ms, 90*ms)
				h.reachability.answeredAt = 99 * ms
			}
			evacuate(table)
			return []string{table.testSYN(2*time.Second, 2, 0).Server.DataCentre}
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(10) {
				is.Equal(f(seed), []string{"a"})
			}
		})
	}
}

// TestHeldSYNIsRefusedWhenAllAreEvacuated guards against callers that wait for a
// held SYN although no server is left, and against the refusal of a flow that
// another host may have opened.
func TestHeldSYNIsRefusedWhenAllAreEvacuated(t *testing.T) {
	is := is.New(t)
	table := newOverloadedTable(1)
	is.Equal(table.testSYNTransmission(0, 1, 0).Action, Hold)
	is.Equal(table.testSYNTransmission(0, 2, 1).Action, Hold) // Another host got the first SYN.
	table.SetView(10*ms, withEvacuated(testView("a", "b"), "a", "b"))
	at, ok := table.NextDeadline()
	is.True(ok && at <= 10*ms)
	r, ok := table.NextResend(10 * ms)
	is.True(ok)
	is.Equal(r, Resend{Key: key(1), Reason: NoServer, Waited: 10 * ms})
	is.Equal(table.testResendAll(time.Second), nil)
	is.Equal(table.FlowCount(), 0)
	is.Equal(table.testSYN(20*ms, 3, 0), Verdict{Action: Refuse, Reason: NoServer})
	// Another host may have opened flow 4 at a server that still runs.
	is.Equal(table.testSYN(20*ms, 4, 1), Verdict{Reason: NoServer})
}

// TestEvacuatedServersAreNoReferences guards against probes that are inconclusive
// because the reference has been stopped, and against probes of servers without open
// flows in a data centre that gets no new ones.
func TestEvacuatedServersAreNoReferences(t *testing.T) {
	is := is.New(t)
	table := newIdempotentTable("a", "b", "b", "b", "b", "c")
	table.SetView(0, withEvacuated(table.view, "b"))
	for n := uint32(2); n <= 4; n++ { // Flows that are open at three servers in b.
		table.testRequest(time.Second, int(n), n, 1)
		table.testRequest(1200*ms, int(n), n, 1)
	}
	probed := map[uint32]bool{}
	for range 3 {
		for _, p := range table.TakeProbes() {
			is.True(p.Reference.DataCentre != "b")
			probed[p.Server.Mark] = true
			table.RecordProbe(1300*ms, p, ProbeFailed)
		}
	}
	is.Equal(probed, map[uint32]bool{2: true, 3: true, 4: true})
	is.Equal(len(table.testResets(1300*ms)), 3)
}

// TestNoHerdAfterEvacuation guards against new flows that all go to the empty servers
// of a data centre whose evacuation has ended. Twenty hosts learn of it at once or
// within a second.
func TestNoHerdAfterEvacuation(t *testing.T) {
	const start, end, settled = 2 * time.Second, 4 * time.Second, 6 * time.Second
	for _, load := range []float64{0.3, 0.6} {
		for _, spread := range []time.Duration{0, time.Second} {
			t.Run(fmt.Sprint(load, spread), func(t *testing.T) {
				is := is.New(t)
				plan := loadPlan{
					hosts: 20, servers: 45, slots: 2, workTime: 25 * ms, maxAnswerTime: 500 * ms,
					callerTimeout: 3 * time.Second, duration: 10 * time.Second,
				}
				plan.rate = load * float64(plan.servers*plan.slots) / plan.workTime.Seconds()
				w := newLoadSim(plan, 1, plan.hosts)
				for i, s := range w.view.Usable["desk"] {
					s.DataCentre = []string{"a", "b", "c"}[i%3]
				}
				for _, table := range w.tables {
					delay := time.Duration(w.rng.Float64() * float64(spread))
					w.After(start+delay, func() { table.SetView(w.Now(), withEvacuated(w.view, "c")) })
					w.After(end+delay, func() { table.SetView(w.Now(), w.view) })
				}
				var returning, others [2]serverLoad // Before and after settled.
				w.Every(10*ms, func() bool {
					phase := 0
					if w.Now() >= settled {
						phase = 1
					}
					for i := range plan.servers {
						switch {
						case w.Now() < end:
						case i%3 == 2:
							returning[phase].add(w.running[i] + len(w.queues[i]))
						default:
							others[phase].add(w.running[i] + len(w.queues[i]))
						}
					}
					return w.Now() < plan.duration
				})
				w.run()
				is.True(w.inTimeRatio() > 0.999)
				for phase := range returning {
					is.True(returning[phase].mean() < 1.1*others[phase].mean())
					is.True(returning[phase].peak <= others[phase].peak+2)
				}
				is.True(returning[1].mean() > 0.9*others[1].mean())
			})
		}
	}
}

// serverLoad collects the numbers of requests at servers.
type serverLoad struct {
	total, samples, peak int
}

func (l *serverLoad) add(n int) {
	l.total, l.samples, l.peak = l.total+n, l.samples+1, max(l.peak, n)
}

func (l *serverLoad) mean() float64 { return float64(l.total) / float64(l.samples) }
