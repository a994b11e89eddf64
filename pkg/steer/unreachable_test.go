package steer

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newIdempotentTable returns a table for an idempotent route to a service with
// one server in each of the given data centres.
func newIdempotentTable(centres ...string) *Table {
	t := NewTable(Settings{DataCentre: "a", Rand: rand.New(rand.NewPCG(1, 8))})
	v := testView(centres...)
	v.Routes[routeAddress].Idempotent = true
	v.Routes[routeAddress].Objective = 200 * ms
	t.SetView(0, v)
	return t
}

// testRequest sends the nth transmission of a request on an open flow, as seen
// after the answers up to ack.
func (t *Table) testRequest(now time.Duration, n int, mark uint32, ack uint32) Verdict {
	return t.HandlePacket(now, &Packet{Key: key(n), Mark: mark, Sequence: 100 + ack, Ack: ack, Length: 50}, nil)
}

// testOpenTo opens a flow and returns the mark of its server.
func (t *Table) testOpenTo(now time.Duration, n int) uint32 {
	m := t.testSYN(now, n, 0).Server.Mark
	t.testData(now+ms, n, m, 1, 0)
	return m
}

// testProbeAll reports a result for all probes that the table requests, and
// returns the marks of their servers.
func (t *Table) testProbeAll(now time.Duration, result ProbeResult) []uint32 {
	var out []uint32
	for _, p := range t.TakeProbes() {
		out = append(out, p.Server.Mark)
		t.RecordProbe(now, p, result)
	}
	return out
}

// testResets returns the flows that the table resets.
func (t *Table) testResets(now time.Duration) []Reset {
	var out []Reset
	for r, ok := t.NextReset(now); ok; r, ok = t.NextReset(now) {
		out = append(out, r)
	}
	return out
}

// openSilent opens flow 1, sends a request on it at 1 s and its retransmission
// 200 ms later.
func openSilent(t *Table) uint32 {
	m := t.testOpenTo(0, 1)
	t.testRequest(time.Second, 1, m, 1)
	t.testRequest(1200*ms, 1, m, 1)
	return m
}

func TestOpenFlowToUnreachableServerIsReset(t *testing.T) {
	is := is.New(t)
	table := newIdempotentTable("a", "a", "b")
	m := openSilent(table)
	is.Equal(table.testResets(1200*ms), nil) // Silence alone resets no flow.
	is.Equal(table.testProbeAll(1300*ms, ProbeFailed), []uint32{m})
	resets := table.testResets(1300 * ms)
	is.Equal(len(resets), 1)
	is.Equal(resets[0].Key, key(1))
	is.Equal(resets[0].Sequence, uint32(1))
	for n := range 20 {
		is.True(table.testSYN(1300*ms, 10+n, 0).Server.Mark != m) // The next try goes elsewhere.
	}
}

func TestReusedPortIsNotReset(t *testing.T) {
	is := is.New(t)
	table := newIdempotentTable("a", "a", "b")
	openSilent(table)
	table.testProbeAll(1300*ms, ProbeFailed)
	v := table.HandlePacket(1300*ms, &Packet{Key: key(1), Sequence: 77, SYN: true}, rawSYN)
	is.Equal(v.Action, Forward) // The caller has given the flow up.
	is.Equal(table.testResets(1300*ms), nil)
}

func TestLostResetIsRepeated(t *testing.T) {
	is := is.New(t)
	table := newIdempotentTable("a", "a", "b")
	m := openSilent(table)
	table.testProbeAll(1300*ms, ProbeFailed)
	table.testResets(1300 * ms)
	v := table.testRequest(1600*ms, 1, m, 1)
	is.Equal(v.Action, ResetFlow)
	is.Equal(v.Server.Mark, m)
}

func TestFlowIsNotReset(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(table *Table, m uint32)
		result  ProbeResult
	}{
		{"the probe is answered", func(*Table, uint32) {}, ProbeAnswered},
		{"the host was paused during the probe", func(*Table, uint32) {}, ProbeInconclusive},
		{"the route is not idempotent", func(table *Table, _ uint32) { table.view.Routes[routeAddress].Idempotent = false }, ProbeFailed},
		{"an answer to another flow arrives during the probe", func(table *Table, m uint32) {
			table.recordReachable(1250*ms, table.view.ServersByMark[m])
		}, ProbeFailed},
		{"no other server answers", func(table *Table, m uint32) {
			for mark, h := range table.health {
				if mark != m {
					h.recordUnanswered(1200*ms, 1100*ms)
				}
			}
		}, ProbeFailed},
		{"the server restarted", func(table *Table, m uint32) {
			v := testView("a", "a", "b")
			v.Routes[routeAddress].Idempotent = true
			v.ServersByMark[m].Started = time.Unix(1, 0)
			table.SetView(1250*ms, v)
		}, ProbeFailed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := newIdempotentTable("a", "a", "b")
			m := openSilent(table)
			probes := table.TakeProbes()
			is.Equal(len(probes), 1)
			tt.prepare(table, m)
			table.RecordProbe(1300*ms, probes[0], tt.result)
			is.Equal(table.testResets(1300*ms), nil)
			is.Equal(table.testRequest(1600*ms, 1, m, 1).Action, Forward)
		})
	}
}

func TestSilenceThatRequestsNoProbe(t *testing.T) {
	t.Run("data and retransmission arrive together after a pause", func(t *testing.T) {
		is := is.New(t)
		table := newIdempotentTable("a", "a")
		m := table.testOpenTo(0, 1)
		table.testRequest(time.Second, 1, m, 1)
		table.testRequest(time.Second+ms, 1, m, 1)
		is.Equal(table.TakeProbes(), nil)
	})
	t.Run("only the retransmission arrives at this host", func(t *testing.T) {
		is := is.New(t)
		table := newIdempotentTable("a", "a")
		table.testRequest(time.Second, 1, 1, 1)
		is.Equal(table.TakeProbes(), nil)
	})
	t.Run("the server answers another caller", func(t *testing.T) {
		is := is.New(t)
		table := newIdempotentTable("a")
		table.testOpenTo(0, 1)
		table.testOpenTo(0, 2)
		table.testRequest(time.Second, 1, 1, 1)
		table.testData(1100*ms, 2, 1, 9, 0)
		table.testRequest(1200*ms, 1, 1, 1)
		is.Equal(table.TakeProbes(), nil)
	})
	t.Run("a slow answer while the server answers others", func(t *testing.T) {
		is := is.New(t)
		table := newIdempotentTable("a")
		table.testOpenTo(0, 1)
		table.testOpenTo(0, 2)
		table.testRequest(time.Second, 1, 1, 1)
		table.testData(1350*ms, 2, 1, 9, 0)
		table.testResendAll(1400 * ms)
		is.Equal(table.TakeProbes(), nil)
	})
}

// TestAcknowledgedRequestIsReset covers a server that becomes unreachable after
// it acknowledged a request: its caller retransmits nothing.
func TestAcknowledgedRequestIsReset(t *testing.T) {
	is := is.New(t)
	table := newIdempotentTable("a", "a", "b")
	m := table.testOpenTo(0, 1)
	table.testRequest(time.Second, 1, m, 1)
	table.testResendAll(1399 * ms)
	is.Equal(table.TakeProbes(), nil)
	table.testResendAll(1400 * ms)
	is.Equal(table.testProbeAll(1450*ms, ProbeAnswered), []uint32{m}) // Slow, but reachable.
	is.Equal(table.testResets(1450*ms), nil)
	table.testResendAll(3800 * ms) // The wait goes on, and so do the checks.
	is.Equal(table.testProbeAll(3900*ms, ProbeFailed), []uint32{m})
	is.Equal(len(table.testResets(3900*ms)), 1)
}

func TestPartialAnswerIsReset(t *testing.T) {
	is := is.New(t)
	table := newIdempotentTable("a", "a")
	for n := range 10 {
		table.testOpenTo(0, n)
		table.testRequest(time.Second, n, table.flows[key(n)].pinnedMark, 1)
		table.testData(1010*ms, n, table.flows[key(n)].pinnedMark, 500, 0)
	}
	table.testRequest(1100*ms, 0, 1, 500)
	table.testRequest(1300*ms, 0, 1, 500)
	table.testProbeAll(1400*ms, ProbeFailed)
	for _, r := range table.testResets(1400 * ms) {
		is.Equal(r.Server.Mark, uint32(1))
		is.Equal(r.Sequence, uint32(500))
	}
}

func TestAdoptedFlowIsReset(t *testing.T) {
	is := is.New(t)
	table := newIdempotentTable("a", "a")
	table.testRequest(time.Second, 1, 1, 1) // Opened through another host.
	table.testRequest(1200*ms, 1, 1, 1)
	table.testProbeAll(1300*ms, ProbeFailed)
	is.Equal(len(table.testResets(1300*ms)), 1)
}

func TestAdoptedFlowFollowsPin(t *testing.T) {
	is := is.New(t)
	table := newIdempotentTable("a", "a")
	is.Equal(table.testRequest(time.Second, 1, 1, 1).Server.Mark, uint32(1))
	table.AddPin(time.Second, Pin{Key: key(1), Mark: 2})
	is.Equal(table.testRequest(1010*ms, 1, 1, 1).Server.Mark, uint32(2))
}

func TestFlowToReplacedServerIsResetAtOnce(t *testing.T) {
	is := is.New(t)
	table := newIdempotentTable("a", "a")
	table.view.ServersByMark[1].Replaced = true
	is.Equal(table.testRequest(time.Second, 1, 1, 1).Action, ResetFlow)
	is.Equal(table.testRequest(time.Second, 2, 2, 1).Action, Forward)
}

func TestFirstRequestToDepartedServerIsProbed(t *testing.T) {
	is := is.New(t)
	table := newIdempotentTable("a", "a")
	table.view.ServersByMark[1].Departed = true
	is.Equal(table.testRequest(time.Second, 1, 1, 1).Action, Forward)
	is.Equal(table.testProbeAll(1002*ms, ProbeFailed), []uint32{1})
	is.Equal(len(table.testResets(1002*ms)), 1)
}

func TestReachableServerGetsFlowsAgain(t *testing.T) {
	is := is.New(t)
	table := newIdempotentTable("a", "a", "b")
	m := openSilent(table)
	table.testProbeAll(1300*ms, ProbeFailed)
	is.Equal(table.testRequest(1600*ms, 2, m, 1).Action, ResetFlow)
	now := 1300*ms + initialProbeInterval
	is.Equal(table.testRequest(now, 3, m, 1).Action, ResetFlow) // It also requests the next probe.
	is.Equal(table.testProbeAll(now+ms, ProbeAnswered), []uint32{m})
	is.Equal(table.testRequest(now+2*ms, 4, m, 1).Action, Forward)
	is.True(!table.isUnreachable(1300*ms+unreachableHold, table.view.ServersByMark[m]))
}

// silence opens flows to the servers with the given marks, lets a request on each
// be unanswered from now on, and fails the probes.
func (t *Table) silence(now time.Duration, marks ...uint32) {
	for _, m := range marks {
		t.testRequest(now, 100+int(m), m, 1)
		t.testRequest(now+200*ms, 100+int(m), m, 1)
		t.testProbeAll(now+300*ms, ProbeFailed)
	}
}

func TestUnreachableDataCentre(t *testing.T) {
	centres := slices.Concat([]string{"a", "a"}, slices.Repeat([]string{"b"}, minSilentServers+centreProbes+1))
	t.Run("after several of its servers", func(t *testing.T) {
		is := is.New(t)
		table := newIdempotentTable(centres...)
		table.silence(time.Second, 3, 4)
		is.Equal(table.TakeProbes(), nil)
		table.silence(time.Second, 5)
		probes := table.TakeProbes() // Of the servers that answered last.
		is.Equal(len(probes), centreProbes)
		for i, p := range probes {
			is.Equal(table.testRequest(1400*ms, 1, 14, 1).Action, Forward)
			is.Equal(p.Server.Mark, uint32(6+i))
			table.RecordProbe(1400*ms, p, ProbeFailed)
		}
		is.Equal(table.testRequest(1400*ms, 2, 14, 1).Action, Forward) // It may live.
		is.Equal(table.testProbeAll(1450*ms, ProbeFailed), []uint32{14})
		is.Equal(len(table.testResets(1450*ms)), 5) // Two of this server, three of those found first.
		is.Equal(table.testRequest(1450*ms, 4, 14, 1).Action, ResetFlow)
		is.Equal(table.testRequest(1400*ms, 3, 1, 1).Action, Forward) // Another data centre.
		for n := range 20 {
			is.Equal(table.testSYN(1400*ms, 20+n, 0).Server.DataCentre, "a")
		}
	})
	// It guards against the reset of flows to servers that live while all those of
	// another service have crashed (review/5).
	t.Run("resets no flow of a server that answers its probe", func(t *testing.T) {
		is := is.New(t)
		table := newIdempotentTable(centres...)
		table.testRequest(500*ms, 1, 14, 1)
		table.silence(time.Second, 3, 4, 5)
		for _, p := range table.TakeProbes() {
			is.True(p.Server.Mark != 14)
			table.RecordProbe(1400*ms, p, ProbeFailed)
		}
		is.True(table.isCentreUnreachable(1400*ms, "b"))
		for _, r := range table.testResets(1400 * ms) {
			is.True(r.Server.Mark != 14)
		}
		is.Equal(table.testProbeAll(1450*ms, ProbeAnswered), []uint32{14})
		is.Equal(table.testRequest(1500*ms, 1, 14, 1).Action, Forward)
		is.Equal(table.testResets(1500*ms), nil)
	})
	t.Run("not while another of its servers answers", func(t *testing.T) {
		is := is.New(t)
		table := newIdempotentTable(centres...)
		table.silence(time.Second, 3, 4, 5)
		probes := table.TakeProbes()
		table.RecordProbe(1300*ms, probes[0], ProbeAnswered)
		for _, p := range probes[1:] {
			table.RecordProbe(1400*ms, p, ProbeFailed)
		}
		is.Equal(table.testRequest(1400*ms, 2, 14, 1).Action, Forward)
	})
	t.Run("with few servers, after all of them", func(t *testing.T) {
		is := is.New(t)
		table := newIdempotentTable("a", "a", "b", "b", "b")
		table.silence(time.Second, 3, 4)
		is.True(table.centre("b").unreachableUntil == 0)
		table.silence(time.Second, 5)
		is.True(table.centre("b").unreachableUntil > 0)
	})
	t.Run("until one of its servers answers", func(t *testing.T) {
		is := is.New(t)
		table := newIdempotentTable(centres...)
		table.silence(time.Second, 3, 4, 5)
		table.testProbeAll(1400*ms, ProbeFailed)
		table.recordReachable(1400*ms, table.view.ServersByMark[14])
		is.Equal(table.testRequest(1400*ms, 2, 14, 1).Action, Forward)
		is.Equal(table.testRequest(1400*ms, 3, 3, 1).Action, ResetFlow) // No answer yet.
	})
}

// TestOpenFlowDoesNotWaitForSuspectServer checks that callers on open flows to a
// suspect server do not wait because a probe without a reference was recent.
func TestOpenFlowDoesNotWaitForSuspectServer(t *testing.T) {
	is := is.New(t)
	table := newIdempotentTable("a", "a", "b")
	m := table.testOpenTo(0, 1)
	table.health[m].recordUnanswered(100*ms, 50*ms)
	table.requestSimpleProbe(time.Second, table.view.ServersByMark[m])
	is.Equal(table.testProbeAll(1050*ms, ProbeInconclusive), []uint32{m})
	table.testRequest(time.Second, 1, m, 1)
	table.testRequest(1200*ms, 1, m, 1)
	is.Equal(table.testProbeAll(1300*ms, ProbeFailed), []uint32{m})
	is.Equal(len(table.testResets(1300*ms)), 1)
}

// TestProbeTimeoutsFollowHandshakes checks that servers in distant data centres get
// more time, and always at least twice that of their reference.
func TestProbeTimeoutsFollowHandshakes(t *testing.T) {
	for _, distant := range []string{"a", "b"} {
		is := is.New(t)
		table := newIdempotentTable("a", "b")
		for range 50 {
			table.estimator("a").add(2 * ms)
			table.estimator("b").add(2 * ms)
			table.estimator(distant).add(150 * ms)
		}
		for m := range uint32(2) {
			table.requestProbe(time.Second, table.view.ServersByMark[m+1])
		}
		for _, p := range table.TakeProbes() {
			is.True(p.Timeout >= 2*table.estimator(p.Server.DataCentre).timeout())
			is.True(p.Timeout >= 2*p.ReferenceTimeout)
			is.True(p.ReferenceTimeout >= table.estimator(p.Reference.DataCentre).timeout())
		}
	}
}

func TestLongFlowsCountByRequest(t *testing.T) {
	is := is.New(t)
	table := newIdempotentTable("a")
	table.testOpenTo(0, 1)
	for i := range 3 {
		at := time.Duration(i+1) * 350 * ms
		table.testResendAll(at)
		table.testRequest(at, 1, 1, uint32(10*i+1))
		// The timer of the previous request expires while this one is in flight.
		table.testResendAll(at + 60*ms)
		is.Equal(table.health[1].inFlight, 1)
		table.testData(at+70*ms, 1, 1, uint32(10*i+11), 0)
		is.Equal(table.health[1].inFlight, 0)
	}
}
