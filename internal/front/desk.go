package front

import (
	"context"
	"sync"
	"time"

	"lagoonramp.org/lagoonramp/internal/event"
	"lagoonramp.org/lagoonramp/pkg/admit"
	"lagoonramp.org/lagoonramp/pkg/pick"
	"lagoonramp.org/lagoonramp/pkg/retry"
	"lagoonramp.org/lagoonramp/pkg/slots"
)

// deskTick is how often a desk looks at deadlines and loans.
const deskTick = 20 * time.Millisecond

// Desk admits the requests of one service: it queues them, holds the host's
// share of the slots and picks servers. The pure machines that decide are
// under one lock.
type Desk struct {
	epoch  time.Time
	events *event.Ring
	// send sends a message to another host.
	send func(m slots.Message)

	mu      sync.Mutex
	targets *Targets
	queue   *admit.Queue
	learner *admit.Learner
	book    *slots.Book
	watch   *pick.Watch
	method  pick.Method
	budget  *retry.Budget
	// using counts this host's requests at each server.
	using map[uint64]int
	stats Stats
}

// Stats count what a desk did since its start.
type Stats struct {
	Offered, Started, Refused, Late, Retries uint64
	Answered, NotRun, Unknown                uint64
}

// grant lets a request run on a slot.
type grant struct {
	slot   slots.Slot
	server Server
	at     time.Duration
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
func NewDesk(t *Targets, self uint64, method pick.Method, events *event.Ring, send func(slots.Message)) *Desk {
	learner := admit.NewLearner()
	d := &Desk{
		epoch: time.Now(), events: events, send: send, method: method, learner: learner,
		book:   slots.NewBook(t.ID, self, slots.Settings{}),
		watch:  pick.NewWatch(pick.WatchSettings{}),
		budget: retry.NewBudget(retry.Settings{}),
		using:  map[uint64]int{},
	}
	d.queue = admit.NewQueue(admit.Settings{Limit: t.Queue, LongShare: t.LongShare}, learner)
	d.set(t, true)
	return d
}

// SetTargets puts a configuration in force.
func (d *Desk) SetTargets(t *Targets) { d.set(t, false) }

func (d *Desk) set(t *Targets, warm bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.targets = t
	ids := make([]uint64, len(t.Servers))
	for i := range t.Servers {
		ids[i] = t.Servers[i].ID
	}
	d.watch.Set(now, ids, warm)
	d.book.Set(now, t.Hosts, t.slotServers())
	d.dispatch(now)
}

func (d *Desk) now() time.Duration { return time.Since(d.epoch) }

// Stats returns the counts, and how many requests wait and run.
func (d *Desk) Stats() (s Stats, waiting, running, total int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	running, _ = d.queue.Running()
	return d.stats, d.queue.Len(), running, d.book.Total()
}

// Using returns this host's requests at each server.
func (d *Desk) Using() map[uint64]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[uint64]int, len(d.using))
	for id, n := range d.using {
		out[id] = n
	}
	return out
}

// enter waits until the request may run. The error is a *refusal, or the
// context's; in both cases the request was not run.
func (d *Desk) enter(ctx context.Context, r *admit.Request) (grant, error) {
	w := &waiter{granted: make(chan grant, 1), refused: make(chan struct{})}
	r.Value = w
	d.mu.Lock()
	now := d.now()
	d.stats.Offered++
	if why := d.queue.Offer(now, r); why != admit.Accepted {
		d.stats.Refused++
		wait := d.queue.Wait(r.Long)
		d.mu.Unlock()
		return grant{}, &refusal{reason: why.String(), retryAfter: wait}
	}
	d.dispatch(now)
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
		d.release(r, g, 0)
	default:
		d.queue.Withdraw(r)
	}
	return grant{}, ctx.Err()
}

// leave gives a request's slot back. Failed tells that the server failed it.
func (d *Desk) leave(r *admit.Request, g grant, failed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	took := now - g.at
	if d.watch.Done(now, g.server.ID, !failed, took) {
		d.events.Add(event.Event{Kind: event.Ejected, Service: d.targets.Name, Server: g.server.Name,
			Cause: "requests failed in a row"})
	}
	d.release(r, g, took)
}

// release ends a request's use of its slot. The lock is held.
func (d *Desk) release(r *admit.Request, g grant, took time.Duration) {
	now := d.now()
	d.using[g.server.ID]--
	if d.using[g.server.ID] <= 0 {
		delete(d.using, g.server.ID)
	}
	d.queue.Done(r, took)
	d.post(d.book.Release(now, g.slot, d.queue.Len() > 0, nil))
	d.dispatch(now)
}

func (d *Desk) post(out []slots.Message) {
	for _, m := range out {
		d.send(m)
	}
}

// receive handles a message of another host.
func (d *Desk) receive(m *slots.Message) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	spare := d.book.Total() - d.book.Busy() - d.queue.Len()
	d.post(d.book.Receive(now, m, max(0, spare), nil))
	d.dispatch(now)
}

// tick does what is due.
func (d *Desk) tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.refuse(d.queue.Expire(now))
	d.post(d.book.Tick(now, d.queue.Len() > 0, nil))
	d.dispatch(now)
}

func (d *Desk) refuse(late []*admit.Request) {
	for _, r := range late {
		d.stats.Late++
		close(r.Value.(*waiter).refused)
	}
}

// dispatch gives free slots to waiting requests. The lock is held.
func (d *Desk) dispatch(now time.Duration) {
	d.queue.SetSlots(d.book.Total())
	for d.queue.Len() > 0 {
		list, any := d.freeServers(now)
		if !any {
			d.post(d.book.Need(now, d.queue.Len(), nil))
			return
		}
		r, late := d.queue.Next(now)
		d.refuse(late)
		if r == nil {
			return
		}
		i := d.method.Pick(d.stats.Started, list)
		s, ok := d.book.Acquire(now, list[i].ID)
		if !ok {
			panic("front: a free slot could not be taken")
		}
		d.using[list[i].ID]++
		d.stats.Started++
		server := d.targets.server(list[i].ID)
		r.Value.(*waiter).granted <- grant{slot: s, server: *server, at: now}
	}
}

// freeServers lists the servers with free slots here.
func (d *Desk) freeServers(now time.Duration) (list []pick.Server, any bool) {
	d.book.Free(now, func(id uint64, free int) {
		if d.targets.server(id) == nil {
			return
		}
		w := d.watch.Weight(now, id)
		if w <= 0 || w < 0.5 && d.using[id] > 0 {
			return // Ejected, or ramping up and busy already.
		}
		list = append(list, pick.Server{ID: id, InFlight: d.using[id], Free: free, Weight: w})
	})
	return list, len(list) > 0
}

// loop ticks until the context ends.
func (d *Desk) loop(ctx context.Context) {
	t := time.NewTicker(deskTick)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			d.tick()
		case <-ctx.Done():
			return
		}
	}
}

// classify returns the kind of a request and whether it is a long one, by
// the operators' hints first, then by what was learned.
func (d *Desk) classify(method, path string) (kind string, long bool) {
	kind = admit.Kind(method, path)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range d.targets.Classes {
		if (h.Method == "" || h.Method == method) && len(path) >= len(h.PathPrefix) && path[:len(h.PathPrefix)] == h.PathPrefix {
			return kind, h.Class == "long"
		}
	}
	long, _ = d.learner.Long(kind)
	return kind, long
}

// mayRetry takes a retry from the budget.
func (d *Desk) mayRetry() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	ok := d.budget.Take()
	if ok {
		d.stats.Retries++
	}
	return ok
}

// count notes a request's outcome.
func (d *Desk) count(o retry.Outcome) {
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
