package marked_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoonramp.org/lagoonramp/platform/stub"
)

// limitColdServers writes a document with a rate for the cold servers of
// entry-desk.
func (w *testbed) limitColdServers(rate float64) {
	w.version += 3
	w.Store.Put("op/config", stub.Document(w.version,
		stub.Route{Address: entryRoute, Service: "entry-desk", Warmup: time.Minute, WarmupRate: rate},
		stub.Route{Address: pressRoute, Service: "catalogue-press"}))
}

// makeCold writes an entry that says that a server remains cold for a minute.
func (w *testbed) makeCold(s *stub.Server) {
	s.Warmup = time.Minute
	s.MakeCold()
	w.Store.Put(s.Key(), s.Entry("ready"))
}

// metric returns the sum over all hosts of a metric.
func (w *testbed) metric(name string) (sum float64) {
	w.t.Helper()
	for i := range w.hosts {
		response, err := http.Get("http://" + w.HostAddresses(i+1).Admin.String() + "/metrics")
		if err != nil {
			w.t.Fatal(err)
		}
		text, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			w.t.Fatal(err)
		}
		for line := range strings.Lines(string(text)) {
			var value float64
			if rest, ok := strings.CutPrefix(line, name+" "); ok {
				_, _ = fmt.Sscan(rest, &value)
				sum += value
			}
		}
	}
	return sum
}

// TestColdServerIsFedByAllHostsTogether guards against hosts that do not know which
// of them feed a cold server, so that it gets nothing or too much.
func TestColdServerIsFedByAllHostsTogether(t *testing.T) {
	is := is.New(t)
	w := newTestbed(t)
	w.startAndWait(3, 3)
	const rate = 5.0
	w.limitColdServers(rate)
	w.makeCold(w.servers[0])
	w.eventually("all hosts see a cold server", func() bool {
		w.sendRequest(entryRoute, 10)
		return w.metric(`lagoonramp_cold_servers{service="entry-desk"}`) == 3
	})
	begin := time.Now()
	var atCold atomic.Int64
	stop := make(chan struct{})
	var group sync.WaitGroup
	for range 12 {
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if o := w.sendRequest(entryRoute, 10); o.Server == w.servers[0].ID {
					atCold.Add(1)
				}
			}
		})
	}
	w.eventually("the cold server gets flows", func() bool { return atCold.Load() >= 20 })
	close(stop)
	group.Wait()
	is.True(float64(atCold.Load()) <= 1.5*rate*time.Since(begin).Seconds()+5)
	w.eventually("the metrics show the flows", func() bool {
		w.sendRequest(entryRoute, 10) // Reports are updated with packets.
		return w.metric(`lagoonramp_cold_flows_total{service="entry-desk"}`) >= 20
	})
	w.checkLedger()
}
