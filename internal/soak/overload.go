package soak

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"lagoonramp.org/lagoonramp/platform/stub"
)

const (
	// overloadCallers and overloadRequestWork, the time that a server works on
	// a request, exceed what the servers can answer in time.
	overloadCallers     = 60
	overloadRequestWork = 40 * time.Millisecond
	overloadDuration    = 2 * time.Second
	// overloadRetryDelay is the delay before the next request of a caller whose
	// request was not answered.
	overloadRetryDelay = 50 * time.Millisecond
	// maxOverloadStart is the latest start of an overload within a cycle.
	maxOverloadStart = 4 * time.Second
)

// overloadLoop starts an overload in the fault phase of each cycle: many callers
// send requests at once, so that the hosts limit and refuse flows during other
// faults. It draws its schedule from a generator of its own, which leaves the
// schedule of the other faults unchanged.
func (t *testbed) overloadLoop() {
	rng := rand.New(rand.NewPCG(t.settings.Seed, 2))
	for cycle := 0; ; cycle++ {
		start := time.Duration(cycle)*cycleDuration + time.Duration(rng.Int64N(int64(maxOverloadStart)))
		for time.Since(t.startedAt) < start {
			if t.stopped.Load() {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
		if time.Since(t.startedAt) < t.settings.Duration {
			t.runOverload(cycle)
		}
	}
}

// runOverload sends requests from many callers for overloadDuration.
func (t *testbed) runOverload(cycle int) {
	t.logf("overload: %d callers for %v", overloadCallers, overloadDuration)
	t.during(unplanned, func() {
		t.sendBurst(t.Caller, entryDeskAddress, fmt.Sprintf("b%d", cycle), overloadDuration)
	})
}

// sendBurst sends requests to an address on overloadCallers flows at once.
func (t *testbed) sendBurst(c *stub.Caller, address netip.AddrPort, id string, d time.Duration) {
	end := time.Now().Add(d)
	var flows sync.WaitGroup
	for flow := range overloadCallers {
		flows.Go(func() {
			for attempt := 0; time.Now().Before(end); attempt++ {
				o := t.sendRequestFrom(c, address, fmt.Sprintf("%s-%d-%d", id, flow, attempt), 200, overloadRequestWork)
				if o.Result != stub.Answered {
					time.Sleep(overloadRetryDelay)
				}
			}
		})
	}
	flows.Wait()
}

// burstOfRoute sends many requests to a random route at once.
func (t *testbed) burstOfRoute(d time.Duration) {
	address := []netip.AddrPort{entryDeskAddress, cataloguePressAddress}[t.randomIntN(2)]
	t.sendBurst(t.Caller, address, fmt.Sprintf("br%d", t.burstCount.Add(1)), d)
}

// burstOfCaller sends many requests from one address at once.
func (t *testbed) burstOfCaller(d time.Duration) {
	t.sendBurst(t.bursting, entryDeskAddress, fmt.Sprintf("bc%d", t.burstCount.Add(1)), d)
}
