package soak

import (
	"fmt"
	"time"

	"lagoonramp.org/lagoonramp/platform/stub"
)

const (
	// observeInterval is the interval at which orders and servers are observed.
	observeInterval = 20 * time.Millisecond
	// shortageGrace is the time after a shortage of warm servers during which
	// requests may still wait or be refused. Hosts may learn 1 s late that servers
	// are cold, and take them as cold for warmupDuration from then on.
	shortageGrace = warmupDuration + 2*time.Second
)

// order is what an operator or a server wrote to the store and the hosts have to
// follow, such as a drain.
type order struct {
	// bound is the time within which hosts that are in touch with the store follow
	// the order.
	bound time.Duration
	// since is the time of the write, or a later time at which hosts were last out of
	// touch with the store.
	since time.Time
	// inForce is set once the hosts were in touch for the bound. Whatever fails
	// later, the order remains in force.
	inForce bool
}

func newOrder(bound time.Duration) *order { return &order{bound: bound, since: time.Now()} }

// observe updates the order at a time at which the hosts are in touch with the store
// or not.
func (o *order) observe(now time.Time, inTouch bool) {
	switch {
	case o.inForce:
	case !inTouch:
		o.since = now
	default:
		o.inForce = now.Sub(o.since) > o.bound
	}
}

// tracker holds the orders that are not part of a server. It is guarded by the lock
// of the testbed.
type tracker struct {
	// evacuations are the data centres that are evacuated.
	evacuations map[string]*order
	// pendingVersions are the versions of the document that are not yet in force,
	// and versionInForce is the highest one that is.
	pendingVersions map[int]*order
	versionInForce  int
	// optionalRoute is the latest addition or removal of the optional route.
	optionalRoute *order
	// lastShortage is the time at which a service last had no warm server, and
	// lastUsable that at which it last had a server whose evacuation is not in force.
	lastShortage, lastUsable map[string]time.Time
}

func newTracker() tracker {
	return tracker{
		evacuations: map[string]*order{}, pendingVersions: map[int]*order{}, optionalRoute: newOrder(maxConfigDelay),
		lastShortage: map[string]time.Time{}, lastUsable: map[string]time.Time{},
	}
}

// orderLoop observes orders and servers until the end of the soak.
func (t *testbed) orderLoop() {
	for !t.stopped.Load() {
		t.mu.Lock()
		t.observeOrders(time.Now(), t.isInTouch())
		t.observeServers(time.Now())
		t.mu.Unlock()
		time.Sleep(observeInterval)
	}
}

// observeOrders updates all orders. The caller holds t.mu.
func (t *testbed) observeOrders(now time.Time, inTouch bool) {
	t.optionalRoute.observe(now, inTouch)
	for _, o := range t.evacuations {
		o.observe(now, inTouch)
	}
	for _, s := range t.servers {
		if s.drain != nil {
			s.drain.observe(now, inTouch)
		}
	}
	for version, o := range t.pendingVersions {
		o.observe(now, inTouch)
		if o.inForce {
			t.versionInForce = max(t.versionInForce, version)
			delete(t.pendingVersions, version)
		}
	}
}

// observeServers records which services have servers for new flows, and warm ones. The
// caller holds t.mu.
func (t *testbed) observeServers(now time.Time) {
	warm := map[string]bool{}
	for _, s := range t.servers {
		evacuation := t.evacuations[s.DataCentre]
		if s.leavingAt.IsZero() && evacuation == nil && !s.IsCold(now) {
			warm[s.Service] = true
		}
		if evacuation == nil || !evacuation.inForce {
			t.lastUsable[s.Service] = now
		}
	}
	for _, service := range serviceOf {
		if !warm[service] {
			t.lastShortage[service] = now
		}
	}
}

// checkNewFlow checks that a server may get a new flow. The ledger calls it for each
// SYN that a server accepts, with the server locked.
func (t *testbed) checkNewFlow(s *stub.Server, at time.Time) {
	t.mu.Lock()
	violation := ""
	if current := t.servers[s.ID]; current != nil && current.Server == s {
		violation = t.newFlowViolation(current, at)
	}
	t.mu.Unlock()
	if violation != "" {
		t.recordOnce(violation+s.ID, "server %s of %s, data centre %s, got a new flow %s", s.ID, s.Service, s.DataCentre, violation)
	}
}

// newFlowViolation returns which guarantee a new flow of a server violates, or "". The
// caller holds t.mu.
func (t *testbed) newFlowViolation(s *testServer, at time.Time) string {
	evacuation := t.evacuations[s.DataCentre]
	switch {
	case s.drain != nil && s.drain.inForce:
		return "although its drain is in force"
	case !s.leavingAt.IsZero() && at.Sub(s.leavingAt) > maxDrainDelay && t.isQuiet():
		return fmt.Sprintf("more than %v after the store listed it as draining", maxDrainDelay)
	case evacuation != nil && evacuation.inForce:
		return "although the evacuation of its data centre is in force"
	case t.coldLimit() > 0 && float64(s.PeakColdFlows()) > warmupRate*warmupOverage+warmupSlack:
		return fmt.Sprintf("beyond the limit of %.0f in one second while it is cold", warmupRate*warmupOverage+warmupSlack)
	}
	return ""
}
