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
	deskTick  = 20 * time.Millisecond
	requestID = 33
	// forever is a deadline that never passes.
	forever = 1 << 60
)

// deskPolicy serves requests over desks and ledgers, as the daemon does.
type deskPolicy struct {
	w       *requestWorld
	fifo    bool
	desks   []*sched.Dispatcher
	ledgers []*once.Ledger
	out     sched.Output
	index   map[uint64]int
	first   bool
	runSeq  uint64
}

// newDesks returns lagoonramp's own policy.
func newDesks(w *requestWorld) policy { return newDeskPolicy(w, false) }

// newFIFO returns the baseline with one queue in order of arrival, without
// classes and deadlines.
func newFIFO(w *requestWorld) policy { return newDeskPolicy(w, true) }

func newDeskPolicy(w *requestWorld, fifo bool) *deskPolicy {
	p := &deskPolicy{w: w, fifo: fifo, index: map[uint64]int{}, first: true}
	for i, id := range w.ids {
		set := sched.Settings{Service: requestID, Self: id, NoClasses: fifo}
		if fifo {
			set.Queue.MaxWaiting = forever
			set.Queue.MaxLongRatio = 1
		}
		p.index[id] = i
		p.desks = append(p.desks, sched.New(set))
		p.ledgers = append(p.ledgers, once.NewLedger(id, once.Settings{}))
		w.Every(deskTick+time.Duration(i)*100*time.Microsecond, func() bool {
			if w.hosts[i].dead {
				return false
			}
			p.desks[i].Tick(w.Now(), &p.out)
			p.carryOut(i)
			return true
		})
	}
	return p
}

func (p *deskPolicy) queues() bool { return false }

func (p *deskPolicy) changed() {
	for i, d := range p.desks {
		if !p.w.hosts[i].dead {
			d.Reconfigure(p.w.Now(), p.w.deskServers(), p.w.hosts[i].activeHosts(), p.first, &p.out)
			p.carryOut(i)
		}
	}
	p.first = false
}

func (p *deskPolicy) submit(host int, r *request) {
	if r.key == "" || p.fifo {
		p.offer(host, r, func(o outcome) { p.w.conclude(r, o) })
		return
	}
	p.keyed(host, r)
}

// keyed runs a request with a key at the key's owner.
func (p *deskPolicy) keyed(host int, r *request) {
	w := p.w
	h := w.hosts[host]
	hash := rendez.Hash(r.key)
	plan := once.MakePlan(w.Now(), hash, h.id, h.known, p.ledgers[host].Window())
	owner, ok := p.index[plan.Owner]
	if !ok || w.hosts[owner].dead || w.hosts[owner].part != h.part {
		w.conclude(r, unknown)
		return
	}
	w.After(w.between(hostDelay, hostDelay+hostJitter), func() { p.lead(owner, hash, r) })
}

// lead handles a keyed request at the host that was taken for its owner.
func (p *deskPolicy) lead(host int, hash uint64, r *request) {
	w := p.w
	h := w.hosts[host]
	if h.dead {
		w.conclude(r, unknown)
		return
	}
	ledger := p.ledgers[host]
	plan := once.MakePlan(w.Now(), hash, h.id, h.known, ledger.Window())
	if plan.Owner != h.id {
		w.conclude(r, unknown)
		return
	}
	verdict, _ := ledger.Begin(w.Now(), r.key, 1)
	switch verdict {
	case once.Proceed:
	case once.Replay:
		w.conclude(r, answered)
		return
	default:
		w.conclude(r, unknown)
		return
	}
	p.runSeq++
	run := p.runSeq
	confirmed, clean := p.reserve(h, r.key, plan, run)
	if !clean {
		p.release(h, r.key, confirmed, run)
		w.conclude(r, unknown)
		return
	}
	p.offer(host, r, func(o outcome) {
		switch o {
		case answered, failed:
			ledger.Finish(w.Now(), r.key, &once.Answer{Status: 201})
		case notRun:
			p.release(h, r.key, confirmed, run)
		case unknown:
			ledger.MarkUnanswered(w.Now(), r.key)
		}
		w.conclude(r, o)
	})
}

// reserve reserves a key as the daemon does.
func (p *deskPolicy) reserve(h *reqHost, key string, plan once.Plan, run uint64) (confirmed []uint64, clean bool) {
	w := p.w
	for _, id := range plan.Replicas {
		o := w.hosts[p.index[id]]
		if o.dead || o.part != h.part {
			continue
		}
		known, ok := p.ledgers[o.index].Reserve(w.Now(), key, 1, h.id, run)
		if known != nil {
			return confirmed, false
		}
		if ok {
			confirmed = append(confirmed, id)
		}
	}
	return confirmed, plan.HasQuorum(len(confirmed))
}

func (p *deskPolicy) release(h *reqHost, key string, at []uint64, run uint64) {
	p.ledgers[h.index].Release(key, h.id, run)
	for _, id := range at {
		p.ledgers[p.index[id]].Release(key, h.id, run)
	}
}

// offer admits a request at a host's desk. Done is told the outcome once.
func (p *deskPolicy) offer(host int, r *request, done func(o outcome)) {
	w := p.w
	d := p.desks[host]
	a := &admit.Request{Caller: r.caller, Kind: r.kind, Long: d.IsLong(r.kind), Deadline: r.patient}
	if p.fifo {
		a.Deadline = forever
		a.Caller = 0
	}
	x := &admitted{req: r, done: done}
	a.Value = x
	if why := d.Offer(w.Now(), a, &p.out); why != admit.Accepted {
		done(notRun)
	}
	p.carryOut(host)
}

// admitted is a request at a desk.
type admitted struct {
	req   *request
	done  func(o outcome)
	tries int
}

// carryOut does what a desk decided.
func (p *deskPolicy) carryOut(host int) {
	out := p.out
	p.out = sched.Output{}
	for _, a := range out.TooLate {
		a.Value.(*admitted).done(notRun)
	}
	for _, m := range out.Messages {
		p.send(host, m)
	}
	for _, g := range out.Grants {
		p.grant(host, g)
	}
}

// send carries a message on slots to another host.
func (p *deskPolicy) send(from int, m slots.Message) {
	w := p.w
	to, ok := p.index[m.To]
	if !ok {
		return
	}
	w.After(w.between(hostDelay, hostDelay+hostJitter), func() {
		if w.hosts[to].dead || w.hosts[to].part != w.hosts[from].part {
			return
		}
		p.desks[to].Receive(w.Now(), &m, &p.out)
		p.carryOut(to)
	})
}

// grant sends a request to its server. The server is told to stop when the
// caller gives up.
func (p *deskPolicy) grant(host int, g sched.Grant) {
	w := p.w
	x := g.Request.Value.(*admitted)
	s := w.index[g.Slot.ID.Server]
	over := false
	j := &job{req: x.req}
	finish := func(failed bool, o outcome) {
		if over {
			return
		}
		over = true
		if w.hosts[host].dead {
			w.conclude(x.req, unknown)
			return
		}
		p.desks[host].Finish(w.Now(), g, failed, &p.out)
		p.carryOut(host)
		x.done(o)
	}
	j.ended = func(o jobOutcome) {
		switch o {
		case jobAnswered:
			finish(false, answered)
		case jobFailed:
			finish(true, failed)
		case jobShed:
			p.again(host, g, x, &over)
		case jobLost, jobCancelled:
			finish(false, unknown)
		}
	}
	w.place(s, j)
	if !p.fifo {
		w.At(x.req.patient, func() {
			if !over {
				w.cancel(s, j)
				finish(false, unknown)
			}
		})
	}
}

// again offers a request anew that its server shed: it was not run.
func (p *deskPolicy) again(host int, g sched.Grant, x *admitted, over *bool) {
	if *over {
		return
	}
	*over = true
	d := p.desks[host]
	d.FinishShed(p.w.Now(), g, &p.out)
	p.carryOut(host)
	x.tries++
	if x.tries >= maxRepeats || !d.TakeRetry() || !retry.Allowed("POST", retry.NotRun) {
		x.done(notRun)
		return
	}
	p.offer(host, x.req, x.done)
}

// pushPolicy is the baseline that gives each request to a server at once;
// servers queue what they cannot run.
type pushPolicy struct {
	w      *requestWorld
	method func(host int) pick.Policy
	choose []pick.Policy
	list   []pick.Server
}

// newTurns returns the baseline that takes servers in turn, without those
// whose health endpoint says that they are ill.
func newTurns(w *requestWorld) policy {
	return &pushPolicy{w: w, method: func(int) pick.Policy { return &pick.RoundRobin{} }}
}

// newHashes returns the baseline that hashes the caller's address.
func newHashes(w *requestWorld) policy {
	return &pushPolicy{w: w, method: func(int) pick.Policy { return pick.Hash{} }}
}

func (p *pushPolicy) queues() bool { return true }

func (p *pushPolicy) changed() {
	if p.choose == nil {
		for i := range p.w.hosts {
			p.choose = append(p.choose, p.method(i))
		}
	}
	p.list = p.list[:0]
	for _, s := range p.w.servers {
		v := pick.Server{ID: s.id, Weight: 1}
		if s.health {
			v.Free = 1
		}
		p.list = append(p.list, v)
	}
}

func (p *pushPolicy) submit(host int, r *request) {
	w := p.w
	i := p.choose[host].Pick(r.caller, p.list)
	if i < 0 {
		w.conclude(r, notRun)
		return
	}
	j := &job{req: r}
	over := false
	j.ended = func(o jobOutcome) {
		if over {
			return
		}
		over = true
		switch o {
		case jobAnswered:
			w.conclude(r, answered)
		case jobFailed:
			w.conclude(r, failed)
		default:
			w.conclude(r, unknown)
		}
	}
	w.place(w.servers[i], j)
	w.At(r.patient, func() {
		if !over {
			over = true
			w.conclude(r, unknown)
		}
	})
}
