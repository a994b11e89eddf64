// Package sched dispatches the requests of one service at one host to backend
// servers. It combines the admission queue, the slots of the servers, the health
// tracker, the load-balancing policy and the retry budget. It is a pure state
// machine without I/O, used by both the daemon, through httplb.Dispatcher, and
// the experiments.
//
// Times are durations since an epoch that the application chooses. A Dispatcher
// is not safe for concurrent use. Calls append their decisions to an Output,
// which the application carries out.
package sched

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
	// AcceptsNewWork reports whether the server accepts new requests.
	AcceptsNewWork bool
}

// Settings configures a Dispatcher. Service and Self are required; the zero
// value of any other field selects its default.
type Settings struct {
	// Service and Self are the hashes of the service's and the host's names.
	Service, Self uint64
	// Policy is the load-balancing policy, which chooses among the servers with
	// free slots. The default is pick.LeastLoaded.
	Policy pick.Policy
	Queue  admit.Settings
	Slots  slots.Settings
	Health pick.HealthSettings
	Retry  retry.Settings
	// NoClasses classifies all requests as short. It serves as a baseline in
	// experiments.
	NoClasses bool
}

// Grant permits a request to run on a slot.
type Grant struct {
	Request *admit.Request
	Slot    slots.Slot
	// GrantedAt is when the grant was made.
	GrantedAt time.Duration
}

// Output collects the decisions of calls.
type Output struct {
	Grants []Grant
	// TooLate lists waiting requests that are refused because they cannot meet
	// their deadline. They have not been run.
	TooLate []*admit.Request
	// Messages are to be sent to other hosts.
	Messages []slots.Message
}

// Reset empties the output for the next call.
func (o *Output) Reset() {
	o.Grants = o.Grants[:0]
	o.TooLate = o.TooLate[:0]
	o.Messages = o.Messages[:0]
}

// minParallelWeight is the weight below which a server gets at most one request
// at a time from this host.
const minParallelWeight = 0.5

// Dispatcher decides which requests of one service run at one host, when, and
// at which servers. It neither sends requests nor waits for them.
type Dispatcher struct {
	settings    Settings
	queue       *admit.Queue
	durations   *admit.DurationTracker
	pool        *slots.Pool
	health      *pick.HealthTracker
	retryBudget *retry.Budget
	servers     map[uint64]Server
	// inFlight is the number of this host's requests at each server.
	inFlight map[uint64]int
	// grantCount is the number of grants, which is the key for the policy.
	grantCount uint64
	// candidates is the list of servers passed to the policy, kept to reuse its
	// memory.
	candidates []pick.Server
}

// New returns a Dispatcher without servers.
func New(settings Settings) *Dispatcher {
	if settings.Policy == nil {
		settings.Policy = pick.LeastLoaded{}
	}
	durations := admit.NewDurationTracker()
	return &Dispatcher{
		settings:    settings,
		queue:       admit.NewQueue(settings.Queue, durations),
		durations:   durations,
		pool:        slots.NewPool(settings.Service, settings.Self, settings.Slots),
		health:      pick.NewHealthTracker(settings.Health),
		retryBudget: retry.NewBudget(settings.Retry),
		servers:     map[uint64]Server{},
		inFlight:    map[uint64]int{},
	}
}

// Reconfigure replaces the lists of servers and of hosts that own slots.
// Servers that were not in the list ramp up unless warm is true. It should be true
// only in the first call, when d is new but its servers usually are not.
func (d *Dispatcher) Reconfigure(now time.Duration, servers []Server, hosts []uint64, warm bool, out *Output) {
	ids := make([]uint64, len(servers))
	var accepting []slots.Server
	clear(d.servers)
	for i, s := range servers {
		ids[i] = s.ID
		d.servers[s.ID] = s
		if s.AcceptsNewWork {
			accepting = append(accepting, slots.Server{ID: s.ID, Slots: s.Slots})
		}
	}
	d.health.SetServers(now, ids, warm)
	out.Messages = d.pool.Reconfigure(now, hosts, accepting, out.Messages)
	d.dispatch(now, out)
}

// Queue returns the admission queue, for statistics.
func (d *Dispatcher) Queue() *admit.Queue { return d.queue }

// Health returns the health tracker of the servers.
func (d *Dispatcher) Health() *pick.HealthTracker { return d.health }

// TotalSlots returns the number of slots that this host owns and has not lent,
// plus those that it has borrowed.
func (d *Dispatcher) TotalSlots() int { return d.pool.Total() }

// EachInFlight calls f for each server that has requests of this host in
// flight, with their number.
func (d *Dispatcher) EachInFlight(f func(server uint64, requests int)) {
	for id, n := range d.inFlight {
		f(id, n)
	}
}

// IsLong reports whether requests of a kind are classified as long. Kinds that
// are not classified yet count as short.
func (d *Dispatcher) IsLong(kind string) (long bool) {
	if d.settings.NoClasses {
		return false
	}
	long, _ = d.durations.IsLong(kind)
	return long
}

// Offer adds a request to the queue and returns admit.Accepted, or returns the
// reason why it refuses the request. A refused request has not been run.
func (d *Dispatcher) Offer(now time.Duration, r *admit.Request, out *Output) admit.Refusal {
	d.retryBudget.AddRequest()
	if refusal := d.queue.Offer(now, r); refusal != admit.Accepted {
		return refusal
	}
	d.dispatch(now, out)
	return admit.Accepted
}

// Withdraw removes a waiting request.
func (d *Dispatcher) Withdraw(r *admit.Request) { d.queue.Withdraw(r) }

// TakeRetry takes a token for one retry from the retry budget. It returns false
// if there is none, in which case the request must not be retried.
func (d *Dispatcher) TakeRetry() bool { return d.retryBudget.TakeRetry() }

// Finish ends a granted request and records its result in the health tracker.
// It reports whether this result ejected the server.
func (d *Dispatcher) Finish(now time.Duration, g Grant, failed bool, out *Output) (ejected bool) {
	duration := now - g.GrantedAt
	ejected = d.health.RecordResult(now, g.Slot.ID.Server, !failed, duration)
	d.release(now, g, duration, out)
	return ejected
}

// FinishUnsent ends a granted request that was not sent to the server.
func (d *Dispatcher) FinishUnsent(now time.Duration, g Grant, out *Output) { d.release(now, g, 0, out) }

// FinishShed ends a granted request that its server shed, which shows that the
// slot is in use elsewhere. If this host owns the slot, it is suspended for
// slots.Settings.ShedBackoff. A borrowed slot returns to its lender.
func (d *Dispatcher) FinishShed(now time.Duration, g Grant, out *Output) {
	// Suspend the slot before dispatch can grant it again.
	out.Messages = d.pool.Release(now, g.Slot, false, out.Messages)
	d.pool.Suspend(now, g.Slot.ID)
	d.removeInFlight(g)
	d.queue.Finish(g.Request, 0)
	d.dispatch(now, out)
}

// removeInFlight decrements the number of requests in flight at the server of a
// grant.
func (d *Dispatcher) removeInFlight(g Grant) {
	id := g.Slot.ID.Server
	d.inFlight[id]--
	if d.inFlight[id] <= 0 {
		delete(d.inFlight, id)
	}
}

// release ends a granted request after duration, or 0 if it was not run, and
// dispatches waiting requests.
func (d *Dispatcher) release(now time.Duration, g Grant, duration time.Duration, out *Output) {
	d.removeInFlight(g)
	d.queue.Finish(g.Request, duration)
	out.Messages = d.pool.Release(now, g.Slot, d.queue.Len() > 0, out.Messages)
	d.dispatch(now, out)
}

// Receive handles a message from another host. Free slots that waiting requests
// need are not lent.
func (d *Dispatcher) Receive(now time.Duration, m *slots.Message, out *Output) {
	spare := d.pool.Total() - d.pool.InUse() - d.queue.Len()
	out.Messages = d.pool.Receive(now, m, max(0, spare), out.Messages)
	d.dispatch(now, out)
}

// Tick refuses expired requests, reclaims and renews slots and dispatches waiting
// requests. It must be called about every 20 ms.
func (d *Dispatcher) Tick(now time.Duration, out *Output) {
	out.TooLate = append(out.TooLate, d.queue.Expire(now)...)
	out.Messages = d.pool.Tick(now, d.queue.Len() > 0, out.Messages)
	d.dispatch(now, out)
}

// dispatch grants free slots to waiting requests. If requests wait and no slot is
// free, it requests slots from another host.
func (d *Dispatcher) dispatch(now time.Duration, out *Output) {
	d.queue.SetSlots(d.pool.Total())
	for d.queue.Len() > 0 {
		d.listCandidates(now)
		if len(d.candidates) == 0 {
			out.Messages = d.pool.Borrow(now, d.queue.Len(), out.Messages)
			return
		}
		r, tooLate := d.queue.Next(now)
		out.TooLate = append(out.TooLate, tooLate...)
		if r == nil {
			return
		}
		d.grantCount++
		id := d.candidates[d.settings.Policy.Pick(d.grantCount, d.candidates)].ID
		s, ok := d.pool.Acquire(now, id)
		if !ok {
			panic("sched: the server chosen by the policy has no free slot")
		}
		d.inFlight[id]++
		out.Grants = append(out.Grants, Grant{Request: r, Slot: s, GrantedAt: now})
	}
}

// listCandidates sets candidates to the servers with free slots that may get a
// request.
func (d *Dispatcher) listCandidates(now time.Duration) {
	d.candidates = d.candidates[:0]
	d.pool.EachFree(now, func(id uint64, free int) {
		if _, ok := d.servers[id]; !ok {
			return
		}
		w := d.health.Weight(now, id)
		if w <= 0 || w < minParallelWeight && d.inFlight[id] > 0 {
			return // Ejected, or ramping up with a request in flight.
		}
		d.candidates = append(d.candidates, pick.Server{ID: id, InFlight: d.inFlight[id], Free: free, Weight: w})
	})
}
