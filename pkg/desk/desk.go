// Package desk admits the requests of one service at one host: it ties the
// queue, the slots, the observations of servers and the choice of a server
// together. It is a pure state machine, driven alike by the daemon and by the
// experiments.
//
// Conventions. Time is a time.Duration since an epoch that the embedder
// chooses. A Desk belongs to one goroutine or lock. What a call decides is
// appended to an Output; the embedder carries it out.
package desk

import (
	"time"

	"lagoonramp.org/lagoonramp/pkg/admit"
	"lagoonramp.org/lagoonramp/pkg/pick"
	"lagoonramp.org/lagoonramp/pkg/retry"
	"lagoonramp.org/lagoonramp/pkg/slots"
)

// Server is a backend server.
type Server struct {
	ID    uint64
	Slots int
	// TakesNew tells that the server takes new requests.
	AcceptsNew bool
}

// Settings of a Desk. The zero value is usable but for Service and Self.
type Settings struct {
	// Service and Self are the hashes of the service's and the host's names.
	Service, Self uint64
	// Method chooses among servers with free slots. The default is
	// pick.LeastLoaded.
	Policy pick.Policy
	Queue  admit.Settings
	Slots  slots.Settings
	Health pick.HealthSettings
	Retry  retry.Settings
	// NoClasses treats all requests as short ones, for comparison.
	NoClasses bool
}

// Grant lets a request run.
type Grant struct {
	Request *admit.Request
	Slot    slots.Slot
	// At is when the grant was made.
	GrantedAt time.Duration
}

// Output is what a call decided.
type Output struct {
	Grants []Grant
	// Late are requests that waited and are refused; they were not run.
	TooLate []*admit.Request
	// Messages go to other hosts.
	Messages []slots.Message
}

// Reset empties the output for the next call.
func (o *Output) Reset() {
	o.Grants = o.Grants[:0]
	o.TooLate = o.TooLate[:0]
	o.Messages = o.Messages[:0]
}

// rampBusy is the weight below which a server gets one request at a time.
const rampBusy = 0.5

// Desk admits requests.
type Dispatcher struct {
	set     Settings
	queue   *admit.Queue
	learner *admit.DurationTracker
	book    *slots.Pool
	watch   *pick.HealthTracker
	budget  *retry.Budget
	servers map[uint64]Server
	// using counts this host's requests at each server.
	using   map[uint64]int
	started uint64
	free    []pick.Server
}

// New returns a desk without servers.
func New(set Settings) *Dispatcher {
	if set.Policy == nil {
		set.Policy = pick.LeastLoaded{}
	}
	l := admit.NewDurationTracker()
	return &Dispatcher{
		set:     set,
		queue:   admit.NewQueue(set.Queue, l),
		learner: l,
		book:    slots.NewPool(set.Service, set.Self, set.Slots),
		watch:   pick.NewHealthTracker(set.Health),
		budget:  retry.NewBudget(set.Retry),
		servers: map[uint64]Server{},
		using:   map[uint64]int{},
	}
}

// Set puts lists of servers and of the hosts that own slots in force. Warm
// tells that the servers are not new, only this host is.
func (d *Dispatcher) Reconfigure(now time.Duration, servers []Server, hosts []uint64, warm bool, out *Output) {
	ids := make([]uint64, len(servers))
	var open []slots.Server
	clear(d.servers)
	for i, s := range servers {
		ids[i] = s.ID
		d.servers[s.ID] = s
		if s.AcceptsNew {
			open = append(open, slots.Server{ID: s.ID, Slots: s.Slots})
		}
	}
	d.watch.SetServers(now, ids, warm)
	out.Messages = d.book.Reconfigure(now, hosts, open, out.Messages)
	d.dispatch(now, out)
}

// Queue returns the desk's queue, for its figures.
func (d *Dispatcher) Queue() *admit.Queue { return d.queue }

// Watch returns what the desk observed of the servers.
func (d *Dispatcher) Health() *pick.HealthTracker { return d.watch }

// Total returns how many slots the host may use now.
func (d *Dispatcher) TotalSlots() int { return d.book.Total() }

// Using calls f with each server that has requests of this host.
func (d *Dispatcher) EachInFlight(f func(server uint64, requests int)) {
	for id, n := range d.using {
		f(id, n)
	}
}

// Class tells whether requests of a kind are long ones, as far as is known.
func (d *Dispatcher) IsLong(kind string) (long bool) {
	if d.set.NoClasses {
		return false
	}
	long, _ = d.learner.IsLong(kind)
	return long
}

// Offer takes a request in, or refuses it; then it was not run.
func (d *Dispatcher) Offer(now time.Duration, r *admit.Request, out *Output) admit.Refusal {
	d.budget.AddRequest()
	if why := d.queue.Offer(now, r); why != admit.Accepted {
		return why
	}
	d.dispatch(now, out)
	return admit.Accepted
}

// Withdraw takes a waiting request back.
func (d *Dispatcher) Withdraw(r *admit.Request) { d.queue.Withdraw(r) }

// Retry takes a retry from the budget, if there is one.
func (d *Dispatcher) TakeRetry() bool { return d.budget.TakeRetry() }

// Done ends a granted request. Failed tells that the server failed it. It
// returns whether that ejected the server.
func (d *Dispatcher) Finish(now time.Duration, g Grant, failed bool, out *Output) (ejected bool) {
	took := now - g.GrantedAt
	ejected = d.watch.RecordResult(now, g.Slot.ID.Server, !failed, took)
	d.release(now, g, took, out)
	return ejected
}

// Drop ends a granted request that was never sent.
func (d *Dispatcher) FinishUnsent(now time.Duration, g Grant, out *Output) { d.release(now, g, 0, out) }

// Shed ends a granted request that its server shed. The slot rests, since
// somebody else uses it.
func (d *Dispatcher) FinishShed(now time.Duration, g Grant, out *Output) {
	// The slot has to rest before it could be granted again.
	out.Messages = d.book.Release(now, g.Slot, false, out.Messages)
	d.book.Suspend(now, g.Slot.ID)
	d.forget(g)
	d.queue.Finish(g.Request, 0)
	d.dispatch(now, out)
}

// forget no longer counts a request at its server.
func (d *Dispatcher) forget(g Grant) {
	id := g.Slot.ID.Server
	d.using[id]--
	if d.using[id] <= 0 {
		delete(d.using, id)
	}
}

func (d *Dispatcher) release(now time.Duration, g Grant, took time.Duration, out *Output) {
	d.forget(g)
	d.queue.Finish(g.Request, took)
	out.Messages = d.book.Release(now, g.Slot, d.queue.Len() > 0, out.Messages)
	d.dispatch(now, out)
}

// Receive handles a message of another host.
func (d *Dispatcher) Receive(now time.Duration, m *slots.Message, out *Output) {
	spare := d.book.Total() - d.book.InUse() - d.queue.Len()
	out.Messages = d.book.Receive(now, m, max(0, spare), out.Messages)
	d.dispatch(now, out)
}

// Tick does what is due. It should be called about every 20 ms.
func (d *Dispatcher) Tick(now time.Duration, out *Output) {
	out.TooLate = append(out.TooLate, d.queue.Expire(now)...)
	out.Messages = d.book.Tick(now, d.queue.Len() > 0, out.Messages)
	d.dispatch(now, out)
}

// dispatch gives free slots to waiting requests.
func (d *Dispatcher) dispatch(now time.Duration, out *Output) {
	d.queue.SetSlots(d.book.Total())
	for d.queue.Len() > 0 {
		d.listFree(now)
		if len(d.free) == 0 {
			out.Messages = d.book.Borrow(now, d.queue.Len(), out.Messages)
			return
		}
		r, late := d.queue.Next(now)
		out.TooLate = append(out.TooLate, late...)
		if r == nil {
			return
		}
		d.started++
		id := d.free[d.set.Policy.Pick(d.started, d.free)].ID
		s, ok := d.book.Acquire(now, id)
		if !ok {
			panic("desk: a free slot could not be taken")
		}
		d.using[id]++
		out.Grants = append(out.Grants, Grant{Request: r, Slot: s, GrantedAt: now})
	}
}

// listFree lists the servers with free slots here.
func (d *Dispatcher) listFree(now time.Duration) {
	d.free = d.free[:0]
	d.book.EachFree(now, func(id uint64, free int) {
		if _, ok := d.servers[id]; !ok {
			return
		}
		w := d.watch.Weight(now, id)
		if w <= 0 || w < rampBusy && d.using[id] > 0 {
			return // Ejected, or ramping up and busy already.
		}
		d.free = append(d.free, pick.Server{ID: id, InFlight: d.using[id], Free: free, Weight: w})
	})
}
