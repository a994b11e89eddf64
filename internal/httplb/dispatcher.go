package httplb

import (
	"context"
	"strings"
	"sync"
	"time"

	"lagoonramp.org/lagoonramp/internal/event"
	"lagoonramp.org/lagoonramp/pkg/admit"
	"lagoonramp.org/lagoonramp/pkg/conf"
	"lagoonramp.org/lagoonramp/pkg/pick"
	"lagoonramp.org/lagoonramp/pkg/retry"
	"lagoonramp.org/lagoonramp/pkg/sched"
	"lagoonramp.org/lagoonramp/pkg/slots"
)

// tickInterval is the interval at which a dispatcher checks the deadlines of
// waiting requests and the slots lent between hosts.
const tickInterval = 20 * time.Millisecond

// Dispatcher admits the requests of a service and assigns them to the slots of
// backend servers. A sched.Dispatcher makes the decisions. This type guards it
// with a lock, passes it the time, blocks the goroutine of each request until a
// slot is granted, sends the slot messages to other hosts and counts.
type Dispatcher struct {
	epoch  time.Time
	events *event.Ring
	// send sends a slot message to another host.
	send func(m slots.Message)

	mu      sync.Mutex
	config  *ServiceConfig
	machine *sched.Dispatcher
	output  sched.Output
	stats   Stats
}

// Stats holds the counts of a dispatcher since it was created.
type Stats struct {
	// Offered counts tries of requests that asked for a slot, Started those that
	// got one, Refused those that were refused on arrival, Expired those that
	// were refused while they waited, and Retries those after a request's first.
	Offered, Started, Refused, Expired, Retries uint64
	// Answered, NotRun and Unknown count the requests that this host answers, by
	// outcome, except those that it rejects before they ask for a slot.
	Answered, NotRun, Unknown uint64
}

// grant is a granted slot together with its server.
type grant struct {
	sched.Grant
	server Server
}

// waiter is the Value of a queued admit.Request. It notifies the goroutine that
// waits for the slot.
type waiter struct {
	granted chan grant
	// refused is closed when a waiting request is refused.
	refused chan struct{}
}

// refusal is the error of a request that was refused and did not run.
type refusal struct {
	reason string
	// retryAfter is the estimated delay after which a retry may succeed.
	retryAfter time.Duration
}

// Error returns the reason.
func (r *refusal) Error() string { return r.reason }

// NewDispatcher returns the dispatcher of a service at the host with ID self.
func NewDispatcher(config *ServiceConfig, self uint64, policy pick.Policy, events *event.Ring, send func(slots.Message)) *Dispatcher {
	d := &Dispatcher{epoch: time.Now(), events: events, send: send}
	d.machine = sched.New(sched.Settings{Service: config.ID, Self: self, Policy: policy,
		Queue: admit.Settings{MaxWaiting: config.MaxWaiting, MaxLongRatio: config.MaxLongRatio}})
	d.applyConfig(config, true)
	return d
}

// SetConfig applies a new configuration.
func (d *Dispatcher) SetConfig(config *ServiceConfig) { d.applyConfig(config, false) }

// applyConfig passes the servers and hosts of a configuration to the state
// machine. warm is true for the first configuration of the dispatcher, whose
// servers do not ramp up: they are usually not new, only this dispatcher is.
func (d *Dispatcher) applyConfig(config *ServiceConfig, warm bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.config = config
	servers := make([]sched.Server, len(config.Servers))
	for i, s := range config.Servers {
		servers[i] = sched.Server{ID: s.ID, Slots: s.Slots, AcceptsNewWork: s.AcceptsNewWork}
	}
	d.machine.Reconfigure(d.now(), servers, config.Hosts, warm, &d.output)
	d.applyOutput()
}

func (d *Dispatcher) now() time.Duration { return time.Since(d.epoch) }

// Stats returns the counts, the numbers of waiting and running requests, and
// the total number of slots that the host may use.
func (d *Dispatcher) Stats() (s Stats, waiting, running, total int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	running, _ = d.machine.Queue().Running()
	return d.stats, d.machine.Queue().Len(), running, d.machine.TotalSlots()
}

// InFlight returns the number of this host's requests in flight at each server.
func (d *Dispatcher) InFlight() map[uint64]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := map[uint64]int{}
	d.machine.EachInFlight(func(id uint64, n int) { out[id] = n })
	return out
}

// applyOutput carries out the decisions of the state machine. d.mu must be held.
func (d *Dispatcher) applyOutput() {
	for _, g := range d.output.Grants {
		d.stats.Started++
		granted := grant{Grant: g}
		if s := d.config.server(g.Slot.ID.Server); s != nil {
			granted.server = *s
		}
		g.Request.Value.(*waiter).granted <- granted
	}
	for _, r := range d.output.TooLate {
		d.stats.Expired++
		close(r.Value.(*waiter).refused)
	}
	for _, m := range d.output.Messages {
		d.send(m)
	}
	d.output.Reset()
}

// acquire waits until the request is granted a slot. It returns a *refusal if
// the request is refused and the context's error if the context ends. In both
// cases the request has not run.
func (d *Dispatcher) acquire(ctx context.Context, r *admit.Request) (grant, error) {
	w := &waiter{granted: make(chan grant, 1), refused: make(chan struct{})}
	r.Value = w
	d.mu.Lock()
	d.stats.Offered++
	decision := d.machine.Offer(d.now(), r, &d.output)
	estimatedWait := d.machine.Queue().EstimateWait(r.Long)
	d.applyOutput()
	if decision != admit.Accepted {
		d.stats.Refused++
		d.mu.Unlock()
		return grant{}, &refusal{reason: decision.String(), retryAfter: estimatedWait}
	}
	d.mu.Unlock()
	select {
	case g := <-w.granted:
		return g, nil
	case <-w.refused:
		return grant{}, &refusal{reason: admit.TooLate.String()}
	case <-ctx.Done():
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case g := <-w.granted:
		d.machine.FinishUnsent(d.now(), g.Grant, &d.output)
		d.applyOutput()
	default:
		d.machine.Withdraw(r)
	}
	return grant{}, ctx.Err()
}

// release frees the slot of a request. failed reports that the server failed to
// handle it; repeated failures eject the server.
func (d *Dispatcher) release(g grant, failed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.machine.Finish(d.now(), g.Grant, failed, &d.output) {
		d.events.Add(event.Event{Kind: event.Ejected, Service: d.config.Name, Server: g.server.Name,
			Cause: "requests failed in a row"})
	}
	d.applyOutput()
}

// releaseShed frees the slot of a request that its server shed.
func (d *Dispatcher) releaseShed(g grant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machine.FinishShed(d.now(), g.Grant, &d.output)
	d.applyOutput()
}

// handleSlotMessage handles a slot message from another host.
func (d *Dispatcher) handleSlotMessage(m *slots.Message) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machine.Receive(d.now(), m, &d.output)
	d.applyOutput()
}

// tickLoop ticks the state machine every tickInterval until ctx is done.
func (d *Dispatcher) tickLoop(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			d.mu.Lock()
			d.machine.Tick(d.now(), &d.output)
			d.applyOutput()
			d.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// classify returns the kind of a request and whether it is long. The operators'
// class hints take precedence over the recorded durations.
func (d *Dispatcher) classify(method, path string) (kind string, long bool) {
	kind = admit.Kind(method, path)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range d.config.Classes {
		if (h.Method == "" || h.Method == method) && strings.HasPrefix(path, h.PathPrefix) {
			return kind, h.Class == conf.Long
		}
	}
	return kind, d.machine.IsLong(kind)
}

// takeRetry takes a token for one retry from the retry budget. It returns false
// if there is none.
func (d *Dispatcher) takeRetry() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	ok := d.machine.TakeRetry()
	if ok {
		d.stats.Retries++
	}
	return ok
}

// countOutcome counts a request by its outcome.
func (d *Dispatcher) countOutcome(o retry.Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch o {
	case retry.Answered:
		d.stats.Answered++
	case retry.NotRun:
		d.stats.NotRun++
	default:
		d.stats.Unknown++
	}
}
