package marked_test

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoonramp.org/lagoonramp/platform/stub"
)

// serverDataCentres are the data centres of the servers of an evacuation test.
var serverDataCentres = []string{"otaru", localDataCentre, "yoichi"}

// inTransit is the time in which SYNs that were sent before a change arrive.
const inTransit = 200 * time.Millisecond

// evacuationKey returns the key by which an operator evacuates a data centre.
func evacuationKey(dataCentre string) string { return "op/evacuate/" + dataCentre }

// startWithDataCentres starts hosts, and servers of both services in three data
// centres.
func (w *testbed) startWithDataCentres(hosts int) {
	w.t.Helper()
	for _, w.serverDataCentre = range serverDataCentres {
		w.addServer("entry-desk")
		w.addServer("catalogue-press")
	}
	for range hosts {
		w.addHost()
	}
	w.eventually("all hosts are ready", func() bool { return w.Router.HostsInRotation() == hosts })
	for _, h := range w.hosts {
		w.eventually("a host knows all servers", func() bool { return w.hasServers(h, len(w.servers)) })
		w.eventually("the hosts know each other", func() bool { return len(h.Status().Members) == hosts-1 })
	}
}

// flowCounter counts the flows that servers accept by their data centres.
type flowCounter struct {
	mu    sync.Mutex
	flows map[string]int
}

func (w *testbed) countFlows() *flowCounter {
	c := &flowCounter{flows: map[string]int{}}
	w.Ledger.OnSYN(func(s *stub.Server, _ time.Time) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.flows[s.DataCentre]++
	})
	return c
}

// reset returns the data centres with flows since the latest call, sorted.
func (c *flowCounter) reset() (out []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for dataCentre := range c.flows {
		out = append(out, dataCentre)
	}
	clear(c.flows)
	slices.Sort(out)
	return out
}

// waitEvacuated waits until all hosts evacuate some data centres and no others.
func (w *testbed) waitEvacuated(dataCentres ...string) {
	w.t.Helper()
	for _, h := range w.hosts {
		w.eventually("a host knows the evacuations", func() bool { return slices.Equal(h.Status().Evacuated, dataCentres) })
	}
	time.Sleep(inTransit)
}

// TestEvacuatedDataCentresGetNoNewFlows checks that evacuations reach all hosts, also
// one that starts while they are in force, and end for all of them. No new flow goes
// to the data centres meanwhile, and open flows stay.
func TestEvacuatedDataCentresGetNoNewFlows(t *testing.T) {
	for _, tt := range []struct {
		name      string
		evacuated []string
		// refused are the numbers of the hosts whose calls the store refuses from
		// before the evacuation, and fault is that of the store once a host knows it.
		refused []int
		fault   stub.Fault
	}{
		{name: "one data centre", evacuated: []string{localDataCentre}},
		{name: "two data centres", evacuated: []string{"otaru", localDataCentre}},
		{name: "all data centres", evacuated: serverDataCentres},
		{name: "the store answers one host only", evacuated: []string{localDataCentre}, refused: []int{1, 2}},
		{name: "the store is down once a host knows", evacuated: []string{localDataCentre}, fault: stub.Unavailable},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w := newTestbed(t)
			w.startWithDataCentres(3)
			open := w.openFlowsTo(tt.evacuated[0])
			for _, n := range tt.refused {
				w.hosts[n-1].store.refusing.Store(true)
			}
			for _, d := range tt.evacuated {
				w.Store.Put(evacuationKey(d), []byte("{}"))
			}
			w.eventually("a host knows an evacuation", func() bool {
				return slices.ContainsFunc(w.hosts, func(h *hostProcess) bool { return len(h.Status().Evacuated) > 0 })
			})
			w.Store.SetFault(tt.fault)
			w.waitEvacuated(tt.evacuated...)
			flows := w.countFlows()
			want := stub.Answered
			if len(tt.evacuated) == len(serverDataCentres) {
				want = stub.Refused
			}
			checkNewFlows := func() {
				for range 60 {
					is.Equal(w.sendRequest(entryRoute, 100).Result, want)
				}
				for _, d := range flows.reset() {
					is.True(!slices.Contains(tt.evacuated, d))
				}
			}
			checkNewFlows()
			is.Equal(w.request(open, "second").Result, stub.Answered)
			// A host that starts alone serves none of them either.
			for i, h := range w.hosts {
				w.Router.Remove([]string{"h1", "h2", "h3"}[i])
				defer h.kill()
			}
			w.startHost(4)
			w.eventually("the started host is ready", func() bool { return w.Router.HostsInRotation() == 1 })
			w.eventually("the started host is in use", func() bool { return w.sendRequest(entryRoute, 100).Result == want })
			checkNewFlows()
			w.Store.SetFault(stub.Healthy)
			for _, d := range tt.evacuated {
				w.Store.Delete(evacuationKey(d))
			}
			w.waitEvacuated()
			for _, d := range tt.evacuated {
				w.eventually("flows go to the data centre again", func() bool {
					is.Equal(w.sendRequest(entryRoute, 100).Result, stub.Answered)
					return slices.Contains(flows.reset(), d)
				})
			}
			w.checkLedger()
		})
	}
}

// openFlowsTo opens flows until one is at a server of a data centre, sends a request
// on it and returns it.
func (w *testbed) openFlowsTo(dataCentre string) *stub.Session {
	w.t.Helper()
	flows := w.countFlows()
	for {
		s, result := w.Caller.Open(entryRoute, 5*time.Second)
		is.New(w.t).Equal(result, stub.Answered)
		if flows.reset()[0] == dataCentre {
			w.t.Cleanup(s.Close)
			is.New(w.t).Equal(w.request(s, "first").Result, stub.Answered)
			return s
		}
		s.Close()
	}
}
