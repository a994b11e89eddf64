package marked_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoonramp.org/lagoonramp/platform/stub"
)

// sessionsPerRoute is the number of open flows of a test to each route.
const sessionsPerRoute = 24

// openSessions opens flows to the entry route and sends a request on each.
func (w *testbed) openSessions(kind string) []*stub.Session {
	w.t.Helper()
	w.version += 3
	w.PutDocument(w.version,
		stub.Route{Address: entryRoute, Service: "entry-desk", Kind: kind, Objective: 200 * time.Millisecond, Timeout: 5 * time.Second},
		stub.Route{Address: pressRoute, Service: "catalogue-press"})
	for _, h := range w.hosts {
		w.eventually("a host has the document", func() bool { return h.DocumentVersion() == uint64(w.version) })
	}
	var out []*stub.Session
	for range sessionsPerRoute {
		s, result := w.Caller.Open(entryRoute, 2*time.Second)
		if s == nil {
			w.t.Fatalf("a flow was not opened: %v", result)
		}
		w.t.Cleanup(s.Close)
		out = append(out, s)
		w.checkAnswered(w.sendOn(s, time.Second))
	}
	return out
}

// sendOn sends a request on an open flow.
func (w *testbed) sendOn(s *stub.Session, deadline time.Duration) stub.Outcome {
	return s.Do(fmt.Sprintf("q%d", w.requests.Add(1)), 1000, time.Millisecond, deadline)
}

func (w *testbed) checkAnswered(o stub.Outcome) {
	w.t.Helper()
	if o.Result != stub.Answered {
		w.t.Errorf("an open flow to a sound server: %v after %v, %s", o.Result, o.Elapsed, o.Detail)
	}
}

func TestOpenFlowsToSilentServerAreReset(t *testing.T) {
	is := is.New(t)
	w := newTestbed(t)
	w.startAndWait(2, 3)
	sessions := w.openSessions("safe")
	w.servers[0].SetMuted(true)
	broken := 0
	for _, s := range sessions {
		o := w.sendOn(s, 3*time.Second)
		if o.Result == stub.Broken {
			broken++
			is.True(o.Elapsed < time.Second) // Far below the deadline.
			continue
		}
		w.checkAnswered(o)
	}
	is.True(broken > 0)
	w.checkLedger()
}

func TestOpenFlowsOfUnsafeRouteAreNotReset(t *testing.T) {
	is := is.New(t)
	w := newTestbed(t)
	w.startAndWait(2, 3)
	sessions := w.openSessions("unsafe")
	w.servers[0].SetMuted(true)
	for _, s := range sessions {
		o := w.sendOn(s, 700*time.Millisecond)
		is.True(o.Result == stub.Answered || o.Result == stub.TimedOut)
	}
}

func TestOpenFlowsToSlowServerAreNotReset(t *testing.T) {
	w := newTestbed(t)
	w.startAndWait(2, 3)
	sessions := w.openSessions("safe")
	w.servers[0].SetSlowdown(1200) // Answers take 1.2 s.
	for _, s := range sessions[:sessionsPerRoute/2] {
		w.checkAnswered(w.sendOn(s, 5*time.Second))
	}
}

// TestOpenFlowsSurviveRestartOfHost checks that the flows that a host adopts after
// its restart are not reset.
func TestOpenFlowsSurviveRestartOfHost(t *testing.T) {
	w := newTestbed(t)
	w.startAndWait(2, 3)
	sessions := w.openSessions("safe")
	w.hosts[0].kill()
	w.hosts[0] = w.startKnownHost(1)
	w.hosts = w.hosts[:2]
	for range 3 {
		for _, s := range sessions {
			w.checkAnswered(w.sendOn(s, 5*time.Second))
		}
	}
}
