package exper

import (
	"time"

	"lagoonramp.org/lagoonramp/pkg/admit"
	"lagoonramp.org/lagoonramp/pkg/once"
	"lagoonramp.org/lagoonramp/pkg/pick"
	"lagoonramp.org/lagoonramp/pkg/rendez"
	"lagoonramp.org/lagoonramp/pkg/retry"
	"lagoonramp.org/lagoonramp/pkg/sched"
	"lagoonramp.org/lagoonramp/pkg/slots"
)

const (
	dispatcherTickInterval = 20 * time.Millisecond
	requestServiceID       = 33
	// unlimited is a deadline that never passes and a queue length that is never
	// reached.
	unlimited = 1 << 60
)

// dispatcherBalancer serves requests over one dispatcher and one ledger for each
// host, as the daemon does. With fifo set it is a baseline instead: requests run
// in order of arrival, and idempotency keys and deadlines are ignored.
type dispatcherBalancer struct {
	sim         *requestSim
	fifo        bool
	dispatchers []*sched.Dispatcher
	ledgers     []*once.Ledger
	out         sched.Output
	hostIndex   map[uint64]int
	// initial is true until the first reconfiguration.
	initial     bool
	lastAttempt uint64
}

// newDispatcherBalancer returns the balancer of lagoonramp.
func newDispatcherBalancer(sim *requestSim) requestBalancer {
	return buildDispatcherBalancer(sim, false)
}

// newFIFOBalancer returns the baseline with one unbounded queue per host in order
// of arrival, without request classes and deadlines.
func newFIFOBalancer(sim *requestSim) requestBalancer { return buildDispatcherBalancer(sim, true) }

func buildDispatcherBalancer(sim *requestSim, fifo bool) *dispatcherBalancer {
	b := &dispatcherBalancer{sim: sim, fifo: fifo, hostIndex: map[uint64]int{}, initial: true}
	for i, id := range sim.hostIDs {
		settings := sched.Settings{Service: requestServiceID, Self: id, NoClasses: fifo}
		if fifo {
			settings.Queue.MaxWaiting = unlimited
			settings.Queue.MaxLongRatio = 1
		}
		b.hostIndex[id] = i
		b.dispatchers = append(b.dispatchers, sched.New(settings))
		b.ledgers = append(b.ledgers, once.NewLedger(id, once.Settings{}))
		sim.Every(dispatcherTickInterval+time.Duration(i)*100*time.Microsecond, func() bool {
			if sim.hosts[i].crashed {
				return false
			}
			b.dispatchers[i].Tick(sim.Now(), &b.out)
			b.apply(i)
			return true
		})
	}
	return b
}

func (b *dispatcherBalancer) serversQueue() bool { return false }

func (b *dispatcherBalancer) reconfigure() {
	for i, d := range b.dispatchers {
		if !b.sim.hosts[i].crashed {
			d.Reconfigure(b.sim.Now(), b.sim.dispatcherServers(), b.sim.hosts[i].activeHosts(), b.initial, &b.out)
			b.apply(i)
		}
	}
	b.initial = false
}

func (b *dispatcherBalancer) submit(host int, r *request) {
	if r.key == "" || b.fifo {
		b.offer(host, r, func(o outcome) { b.sim.conclude(r, o) })
		return
	}
	b.submitKeyed(host, r)
}

// submitKeyed forwards a request with an idempotency key to the owner of the key.
func (b *dispatcherBalancer) submitKeyed(host int, r *request) {
	sim := b.sim
	h := sim.hosts[host]
	hash := rendez.Hash(r.key)
	plan := once.MakePlan(sim.Now(), hash, h.id, h.peers, b.ledgers[host].Window())
	owner, ok := b.hostIndex[plan.Owner]
	if !ok || sim.hosts[owner].crashed || sim.hosts[owner].partition != h.partition {
		sim.conclude(r, unknown)
		return
	}
	sim.After(sim.uniform(minHostDelay, minHostDelay+hostJitter), func() { b.handleAtOwner(owner, hash, r) })
}

// handleAtOwner handles a keyed request at the host that another host considers
// the owner of the key. If this host disagrees, the outcome is unknown.
func (b *dispatcherBalancer) handleAtOwner(host int, hash uint64, r *request) {
	sim := b.sim
	h := sim.hosts[host]
	if h.crashed {
		sim.conclude(r, unknown)
		return
	}
	ledger := b.ledgers[host]
	plan := once.MakePlan(sim.Now(), hash, h.id, h.peers, ledger.Window())
	if plan.Owner != h.id {
		sim.conclude(r, unknown)
		return
	}
	decision, _ := ledger.Begin(sim.Now(), r.key, 1)
	switch decision {
	case once.Proceed:
	case once.Replay:
		sim.conclude(r, answered)
		return
	default:
		sim.conclude(r, unknown)
		return
	}
	b.lastAttempt++
	attempt := b.lastAttempt
	confirmed, reserved := b.reserveKey(h, r.key, plan, attempt)
	if !reserved {
		b.releaseKey(h, r.key, confirmed, attempt)
		sim.conclude(r, unknown)
		return
	}
	b.offer(host, r, func(o outcome) {
		switch o {
		case answered, failed:
			ledger.Finish(sim.Now(), r.key, &once.Answer{Status: 201})
		case notRun:
			b.releaseKey(h, r.key, confirmed, attempt)
		case unknown:
			ledger.MarkUnanswered(sim.Now(), r.key)
		}
		sim.conclude(r, o)
	})
}

// reserveKey reserves a key at its replicas, as the daemon does. It returns the
// replicas that confirmed, and whether they form a quorum and none of them has a
// record of the key.
func (b *dispatcherBalancer) reserveKey(h *requestHost, key string, plan once.Plan, attempt uint64) (confirmed []uint64, reserved bool) {
	sim := b.sim
	for _, id := range plan.Replicas {
		o := sim.hosts[b.hostIndex[id]]
		if o.crashed || o.partition != h.partition {
			continue
		}
		existing, ok := b.ledgers[o.index].Reserve(sim.Now(), key, 1, h.id, attempt)
		if existing != nil {
			return confirmed, false
		}
		if ok {
			confirmed = append(confirmed, id)
		}
	}
	return confirmed, plan.HasQuorum(len(confirmed))
}

// releaseKey withdraws the reservation of a key at a host and at its replicas.
func (b *dispatcherBalancer) releaseKey(h *requestHost, key string, replicas []uint64, attempt uint64) {
	b.ledgers[h.index].Release(key, h.id, attempt)
	for _, id := range replicas {
		b.ledgers[b.hostIndex[id]].Release(key, h.id, attempt)
	}
}

// offer passes a request to a host's dispatcher. It calls done once, with the
// outcome.
func (b *dispatcherBalancer) offer(host int, r *request, done func(o outcome)) {
	sim := b.sim
	d := b.dispatchers[host]
	admission := &admit.Request{Caller: r.caller, Kind: r.kind, Long: d.IsLong(r.kind), Deadline: r.deadline}
	if b.fifo {
		admission.Deadline = unlimited
		admission.Caller = 0
	}
	q := &queuedRequest{request: r, done: done}
	admission.Value = q
	if reason := d.Offer(sim.Now(), admission, &b.out); reason != admit.Accepted {
		done(notRun)
	}
	b.apply(host)
}

// queuedRequest is a request that a dispatcher has taken.
type queuedRequest struct {
	request *request
	done    func(o outcome)
	tries   int
}

// apply carries out the pending output of the dispatchers on behalf of a host.
func (b *dispatcherBalancer) apply(host int) {
	out := b.out
	b.out = sched.Output{}
	for _, a := range out.TooLate {
		a.Value.(*queuedRequest).done(notRun)
	}
	for _, m := range out.Messages {
		b.sendMessage(host, m)
	}
	for _, g := range out.Grants {
		b.runGrant(host, g)
	}
}

// sendMessage delivers a message about borrowed slots to another host. Messages
// across a partition are dropped.
func (b *dispatcherBalancer) sendMessage(from int, m slots.Message) {
	sim := b.sim
	to, ok := b.hostIndex[m.To]
	if !ok {
		return
	}
	sim.After(sim.uniform(minHostDelay, minHostDelay+hostJitter), func() {
		if sim.hosts[to].crashed || sim.hosts[to].partition != sim.hosts[from].partition {
			return
		}
		b.dispatchers[to].Receive(sim.Now(), &m, &b.out)
		b.apply(to)
	})
}

// runGrant sends a granted request to its server. At the caller's deadline it
// cancels the request at the server, except in the FIFO baseline.
func (b *dispatcherBalancer) runGrant(host int, g sched.Grant) {
	sim := b.sim
	q := g.Request.Value.(*queuedRequest)
	server := sim.serverByID[g.Slot.ID.Server]
	ended := false
	j := &job{request: q.request}
	finish := func(failed bool, o outcome) {
		if ended {
			return
		}
		ended = true
		if sim.hosts[host].crashed {
			sim.conclude(q.request, unknown)
			return
		}
		b.dispatchers[host].Finish(sim.Now(), g, failed, &b.out)
		b.apply(host)
		q.done(o)
	}
	j.onEnd = func(o jobOutcome) {
		switch o {
		case jobAnswered:
			finish(false, answered)
		case jobFailed:
			finish(true, failed)
		case jobShed:
			b.retryShed(host, g, q, &ended)
		case jobLost, jobCancelled:
			finish(false, unknown)
		}
	}
	sim.sendToServer(server, j)
	if !b.fifo {
		sim.At(q.request.deadline, func() {
			if !ended {
				sim.cancelJob(server, j)
				finish(false, unknown)
			}
		})
	}
}

// retryShed offers a request again that its server shed. Shed requests have not
// run, so that a retry is safe for any method.
func (b *dispatcherBalancer) retryShed(host int, g sched.Grant, q *queuedRequest, ended *bool) {
	if *ended {
		return
	}
	*ended = true
	d := b.dispatchers[host]
	d.FinishShed(b.sim.Now(), g, &b.out)
	b.apply(host)
	q.tries++
	if q.tries >= maxRetries || !d.TakeRetry() || !retry.Allowed("POST", retry.NotRun) {
		q.done(notRun)
		return
	}
	b.offer(host, q.request, q.done)
}

// immediateBalancer is a baseline that sends each request to a server at once.
// Servers queue the requests that they have no free slot for.
type immediateBalancer struct {
	sim           *requestSim
	newPickPolicy func(host int) pick.Policy
	pickPolicies  []pick.Policy
	servers       []pick.Server
}

// newImmediateRoundRobin returns the baseline that selects servers in round-robin
// order and skips those whose health endpoint reports a failure.
func newImmediateRoundRobin(sim *requestSim) requestBalancer {
	return &immediateBalancer{sim: sim, newPickPolicy: func(int) pick.Policy { return &pick.RoundRobin{} }}
}

// newImmediateHash returns the baseline that selects a server by the hash of the
// caller's address.
func newImmediateHash(sim *requestSim) requestBalancer {
	return &immediateBalancer{sim: sim, newPickPolicy: func(int) pick.Policy { return pick.Hash{} }}
}

func (b *immediateBalancer) serversQueue() bool { return true }

func (b *immediateBalancer) reconfigure() {
	if b.pickPolicies == nil {
		for i := range b.sim.hosts {
			b.pickPolicies = append(b.pickPolicies, b.newPickPolicy(i))
		}
	}
	b.servers = b.servers[:0]
	for _, s := range b.sim.servers {
		server := pick.Server{ID: s.id, Weight: 1}
		if s.reportsHealthy {
			server.Free = 1
		}
		b.servers = append(b.servers, server)
	}
}

func (b *immediateBalancer) submit(host int, r *request) {
	sim := b.sim
	index := b.pickPolicies[host].Pick(r.caller, b.servers)
	if index < 0 {
		sim.conclude(r, notRun)
		return
	}
	j := &job{request: r}
	ended := false
	j.onEnd = func(o jobOutcome) {
		if ended {
			return
		}
		ended = true
		switch o {
		case jobAnswered:
			sim.conclude(r, answered)
		case jobFailed:
			sim.conclude(r, failed)
		default:
			sim.conclude(r, unknown)
		}
	}
	sim.sendToServer(sim.servers[index], j)
	sim.At(r.deadline, func() {
		if !ended {
			ended = true
			sim.conclude(r, unknown)
		}
	})
}
