package front

import (
	"context"
	"strings"
	"sync"
	"time"

	"lagoonramp.org/lagoonramp/internal/event"
	"lagoonramp.org/lagoonramp/pkg/admit"
	"lagoonramp.org/lagoonramp/pkg/conf"
	"lagoonramp.org/lagoonramp/pkg/desk"
	"lagoonramp.org/lagoonramp/pkg/pick"
	"lagoonramp.org/lagoonramp/pkg/retry"
	"lagoonramp.org/lagoonramp/pkg/slots"
)

// deskTick is how often a desk looks at deadlines and loans.
const deskTick = 20 * time.Millisecond

// Desk is a desk.Desk behind a lock: requests wait at it in goroutines of
// their own.
type Dispatcher struct {
	epoch  time.Time
	events *event.Ring
	// send sends a message to another host.
	send func(m slots.Message)

	mu      sync.Mutex
	targets *ServiceConfig
	pure    *desk.Dispatcher
	out     desk.Output
	stats   Stats
}

// Stats count what a desk did since its start.
type Stats struct {
	Offered, Started, Refused, Expired, Retries uint64
	Answered, NotRun, Unknown                   uint64
}

// grant is a grant with its server.
type grant struct {
	desk.Grant
	server Server
}

// waiter is the value of a queued request.
type waiter struct {
	granted chan grant
	// refused is closed when the request is refused after it waited.
	refused chan struct{}
}

// refusal says why a request was not run.
type refusal struct {
	reason string
	// retryAfter is when a repeat may succeed.
	retryAfter time.Duration
}

// Error returns the reason.
func (r *refusal) Error() string { return r.reason }

// NewDesk returns a desk for a host.
func NewDispatcher(t *ServiceConfig, self uint64, method pick.Policy, events *event.Ring, send func(slots.Message)) *Dispatcher {
	d := &Dispatcher{epoch: time.Now(), events: events, send: send}
	d.pure = desk.New(desk.Settings{Service: t.ID, Self: self, Policy: method,
		Queue: admit.Settings{MaxWaiting: t.MaxWaiting, MaxLongRatio: t.LongShare}})
	d.set(t, true)
	return d
}

// SetTargets puts a configuration in force.
func (d *Dispatcher) SetConfig(t *ServiceConfig) { d.set(t, false) }

func (d *Dispatcher) set(t *ServiceConfig, warm bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.targets = t
	list := make([]desk.Server, len(t.Servers))
	for i, s := range t.Servers {
		list[i] = desk.Server{ID: s.ID, Slots: s.Slots, AcceptsNew: s.AcceptsNew}
	}
	d.pure.Reconfigure(d.now(), list, t.Hosts, warm, &d.out)
	d.carryOut()
}

func (d *Dispatcher) now() time.Duration { return time.Since(d.epoch) }

// Stats returns the counts, and how many requests wait and run.
func (d *Dispatcher) Stats() (s Stats, waiting, running, total int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	running, _ = d.pure.Queue().Running()
	return d.stats, d.pure.Queue().Len(), running, d.pure.TotalSlots()
}

// Using returns this host's requests at each server.
func (d *Dispatcher) InFlight() map[uint64]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := map[uint64]int{}
	d.pure.EachInFlight(func(id uint64, n int) { out[id] = n })
	return out
}

// carryOut does what the pure desk decided. The lock is held.
func (d *Dispatcher) carryOut() {
	for _, g := range d.out.Grants {
		d.stats.Started++
		x := grant{Grant: g}
		if s := d.targets.server(g.Slot.ID.Server); s != nil {
			x.server = *s
		}
		g.Request.Value.(*waiter).granted <- x
	}
	for _, r := range d.out.TooLate {
		d.stats.Expired++
		close(r.Value.(*waiter).refused)
	}
	for _, m := range d.out.Messages {
		d.send(m)
	}
	d.out.Reset()
}

// enter waits until the request may run. The error is a *refusal, or the
// context's; in both cases the request was not run.
func (d *Dispatcher) enter(ctx context.Context, r *admit.Request) (grant, error) {
	w := &waiter{granted: make(chan grant, 1), refused: make(chan struct{})}
	r.Value = w
	d.mu.Lock()
	d.stats.Offered++
	why := d.pure.Offer(d.now(), r, &d.out)
	wait := d.pure.Queue().EstimateWait(r.Long)
	d.carryOut()
	if why != admit.Accepted {
		d.stats.Refused++
		d.mu.Unlock()
		return grant{}, &refusal{reason: why.String(), retryAfter: wait}
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
		d.pure.FinishUnsent(d.now(), g.Grant, &d.out)
		d.carryOut()
	default:
		d.pure.Withdraw(r)
	}
	return grant{}, ctx.Err()
}

// leave gives a request's slot back. Failed tells that the server failed it.
func (d *Dispatcher) leave(g grant, failed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pure.Finish(d.now(), g.Grant, failed, &d.out) {
		d.events.Add(event.Event{Kind: event.Ejected, Service: d.targets.Name, Server: g.server.Name,
			Cause: "requests failed in a row"})
	}
	d.carryOut()
}

// shed gives back the slot of a request that its server shed.
func (d *Dispatcher) shed(g grant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pure.FinishShed(d.now(), g.Grant, &d.out)
	d.carryOut()
}

// receive handles a message of another host.
func (d *Dispatcher) receive(m *slots.Message) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pure.Receive(d.now(), m, &d.out)
	d.carryOut()
}

// loop ticks until the context ends.
func (d *Dispatcher) loop(ctx context.Context) {
	t := time.NewTicker(deskTick)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			d.mu.Lock()
			d.pure.Tick(d.now(), &d.out)
			d.carryOut()
			d.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// classify returns the kind of a request and whether it is a long one, by
// the operators' hints first, then by what was learned.
func (d *Dispatcher) classify(method, path string) (kind string, long bool) {
	kind = admit.Kind(method, path)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range d.targets.Classes {
		if (h.Method == "" || h.Method == method) && strings.HasPrefix(path, h.PathPrefix) {
			return kind, h.Class == conf.Long
		}
	}
	return kind, d.pure.IsLong(kind)
}

// mayRetry takes a retry from the budget.
func (d *Dispatcher) mayRetry() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	ok := d.pure.TakeRetry()
	if ok {
		d.stats.Retries++
	}
	return ok
}

// count notes a request's outcome.
func (d *Dispatcher) count(o retry.Outcome) {
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
