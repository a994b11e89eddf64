package marked_test

import (
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoonramp.org/lagoonramp/platform/stub"
)

const (
	// splitFlows is the number of open flows of a restart test. Two servers
	// answer the SYN of each.
	splitFlows = 6
	// answersEnd is the time until the server that did not get the end of the
	// handshake has given up.
	answersEnd = 10 * time.Second
)

// loseFirstSYNACK makes the servers of a testbed lose the first SYN-ACK to each
// caller, so that a host sends the SYN to a second server.
func (w *testbed) loseFirstSYNACK() {
	var seen sync.Map
	w.dropSYNACK = func(caller netip.AddrPort) bool {
		_, known := seen.LoadOrStore(caller, true)
		return !known
	}
}

// request is an outcome of a request on an open flow.
func (w *testbed) request(s *stub.Session, id string) stub.Outcome {
	return s.Do(id, 100, time.Millisecond, 5*time.Second)
}

// openSplitFlows opens flows whose SYNs two servers answer, and sends a request on
// each.
func (w *testbed) openSplitFlows() []*stub.Session {
	w.t.Helper()
	is := is.New(w.t)
	var out []*stub.Session
	for i := range splitFlows {
		s, result := w.Caller.Open(entryRoute, 5*time.Second)
		is.Equal(result, stub.Answered)
		w.t.Cleanup(s.Close)
		is.Equal(w.request(s, fmt.Sprintf("first%d", i)).Result, stub.Answered)
		out = append(out, s)
	}
	return out
}

// restart stops a host gracefully and starts it again.
func (w *testbed) restart(n int) {
	w.t.Helper()
	h := w.hosts[n-1]
	h.shutDown()
	<-h.done
	time.Sleep(processStartDelay)
	restarted := w.startKnownHost(n)
	w.hosts[n-1] = restarted
	w.eventually("the restarted host is ready", func() bool { return restarted.DocumentVersion() > 0 })
	time.Sleep(time.Second) // Routers know it, too.
}

// checkFlowsLive pauses flows until the time end, checks that none was reset, and
// sends another request on each.
func (w *testbed) checkFlowsLive(flows []*stub.Session, end time.Time) {
	w.t.Helper()
	is := is.New(w.t)
	var group sync.WaitGroup
	for i, s := range flows {
		group.Go(func() {
			is.True(s.Wait(time.Until(end))) // The flow was not reset in the pause.
			is.Equal(w.request(s, fmt.Sprintf("second%d", i)).Result, stub.Answered)
		})
	}
	group.Wait()
	w.checkLedger()
}

// TestRestartKeepsFlowsWithTwoAnswers guards against an open flow that is reset
// after a planned restart, since only the memory of its host named the server at
// which it was open (review/3, rollingTerm).
func TestRestartKeepsFlowsWithTwoAnswers(t *testing.T) {
	for _, tt := range []struct {
		name string
		// hosts is the number of hosts, and remote the numbers of those outside the
		// callers' data centre. The hosts in restarts are restarted in turn.
		hosts    int
		remote   []int
		restarts []int
	}{
		{"only host of a data centre", 3, []int{2, 3}, []int{1}},
		{"only host of a data centre, twice", 2, []int{2}, []int{1, 1}},
		{"all hosts of a data centre in turn", 3, nil, []int{1, 2, 3}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			w := newTestbed(t)
			w.loseFirstSYNACK()
			w.dataCentres = map[int]string{}
			for _, n := range tt.remote {
				w.dataCentres[n] = "yoichi"
			}
			w.startAndWait(tt.hosts, 4)
			for _, h := range w.hosts {
				w.eventually("the hosts know each other", func() bool { return len(h.Status().Members) == tt.hosts-1 })
			}
			time.Sleep(2 * time.Second) // The rerouting window of the start has ended.
			flows := w.openSplitFlows()
			var restarts sync.WaitGroup
			end := time.Now().Add(answersEnd)
			restarts.Go(func() {
				for _, n := range tt.restarts {
					w.restart(n)
				}
			})
			w.checkFlowsLive(flows, end)
			restarts.Wait()
		})
	}
}
