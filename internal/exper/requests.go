package exper

import (
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lagoonramp.org/lagoonramp/pkg/once"
	"lagoonramp.org/lagoonramp/pkg/rendez"
	"lagoonramp.org/lagoonramp/pkg/sched"
)

// requestPlan says what happens to the requests of an experiment. Times are
// virtual; zero means never.
type requestPlan struct {
	hosts, servers, slots int
	// load is the offered work relative to the slots.
	load float64
	// short is the mean time of a short request; a share of longShare runs
	// longFactor times longer.
	short      time.Duration
	longShare  float64
	longFactor float64
	// patience is what callers give short and long requests.
	patience, longPatience time.Duration
	// keyed is the share of non-idempotent requests with a key, loss the
	// share of answers that get lost after the run.
	keyed, loss float64
	// The crest multiplies the arrivals by swing.
	swing              float64
	swingFrom, swingTo time.Duration
	warm, end          time.Duration
	crash              time.Duration
	liarsFrom, liarsTo time.Duration
	cutFrom, cutTo     time.Duration
}

// requestResult is what callers and servers counted.
type requestResult struct {
	requests, answered, notRun, unknown int
	failed, shed                        int
	doubled, lost, falseNotRun          int
	// useful is slot time spent on answers that came in time at the crest,
	// of capacity.
	useful, capacity time.Duration
	// late counts requests that were started for callers that had given up.
	late      int
	short     *hdrhistogram.Histogram
	imbalance float64
	// inTime counts those of the requests outside of the crest that got a good
	// answer in time. The last ten seconds are left out.
	inTime, outside int
}

// request is one request of a caller.
type request struct {
	serial           int
	kind, key        string
	long             bool
	caller           uint64
	size             time.Duration
	arrived, patient time.Duration
	tries            int
	doubt            bool
	done             bool
	// outside tells that the request arrived after the start and outside of
	// the crest; steady that it arrived before any crest.
	outside, steady bool
}

// reqServer is a backend server: it runs slots requests at a time and queues
// or sheds the rest.
type reqServer struct {
	id      uint64
	busy    int
	waiting []*job
	used    time.Duration
	broken  bool
	health  bool
}

// job is a request at a server.
type job struct {
	req *request
	// ended is told how it went: answered, failed or shed.
	ended     func(outcome jobOutcome)
	cancelled bool
	started   time.Duration
}

type jobOutcome uint8

const (
	jobAnswered jobOutcome = iota
	jobFailed
	jobShed
	jobLost
	jobCancelled
)

// requestWorld makes requests and counts what becomes of them.
type requestWorld struct {
	*sim
	plan    requestPlan
	policy  policy
	hosts   []*reqHost
	ids     []uint64
	servers []*reqServer
	index   map[uint64]*reqServer
	result  requestResult
	start   time.Duration
	serial  int
	runs    map[string]int
}

// policy is a way to serve requests.
type policy interface {
	// submit takes a request at a host.
	submit(host int, r *request)
	// changed tells of new lists of hosts or servers.
	changed()
	// queues reports whether servers queue what they cannot run.
	queues() bool
}

// reqHost is a host as requests see it.
type reqHost struct {
	index int
	id    uint64
	dead  bool
	// part is the side of a cut that the host is on.
	part  int
	known []once.Peer
}

const (
	// jobDelay is one way between a host and a server of one data centre.
	jobDelay    = 150 * time.Microsecond
	steadyTail  = time.Second
	maxRepeats  = 3
	repeatAfter = 300 * time.Millisecond
	brokenTime  = time.Millisecond
	callers     = 400
)

func newRequestWorld(seed uint64, p requestPlan, make func(w *requestWorld) policy) *requestWorld {
	w := &requestWorld{sim: newSim(seed, 2), plan: p, ids: ids("host", p.hosts), index: map[uint64]*reqServer{}, runs: map[string]int{}}
	w.Set(time.Hour)
	w.start = w.Now()
	w.result.short = hdrhistogram.New(1, 600_000, 3)
	for i, id := range w.ids {
		w.hosts = append(w.hosts, &reqHost{index: i, id: id})
	}
	for _, h := range w.hosts {
		for _, id := range w.ids {
			h.known = append(h.known, once.Peer{ID: id})
		}
	}
	for _, id := range ids("server", p.servers) {
		s := &reqServer{id: id, health: true}
		w.servers = append(w.servers, s)
		w.index[id] = s
	}
	w.policy = make(w)
	w.policy.changed()
	return w
}

// meanSize is the mean time of a request at a server.
func (p *requestPlan) meanSize() time.Duration {
	return time.Duration(float64(p.short) * (1 - p.longShare + p.longShare*p.longFactor))
}

// rate returns the arrivals in a second.
func (p *requestPlan) rate() float64 {
	return p.load * float64(p.servers*p.slots) / p.meanSize().Seconds()
}

// run plays the plan and returns what was counted.
func (w *requestWorld) run() requestResult {
	w.arrivals()
	w.script()
	w.RunUntil(w.start + w.plan.end)
	w.balance()
	return w.result
}

func (w *requestWorld) arrivals() {
	rate := w.plan.rate()
	if t := w.Now() - w.start; w.plan.swing > 0 && t >= w.plan.swingFrom && t < w.plan.swingTo {
		rate *= min(w.plan.swing, 1+(w.plan.swing-1)*(t-w.plan.swingFrom).Seconds()/3)
	}
	w.After(w.exp(time.Duration(float64(time.Second)/rate)), func() {
		w.arrive()
		w.arrivals()
	})
}

func (w *requestWorld) script() {
	p := w.plan
	step := func(at time.Duration, f func()) {
		if at > 0 {
			w.At(w.start+at, f)
		}
	}
	step(p.crash, func() { w.crash(3) })
	step(p.liarsFrom, func() { w.liars(true) })
	step(p.liarsTo, func() { w.liars(false) })
	step(p.cutFrom, w.cut)
	step(p.cutTo, w.heal)
}

// crash ends a host; the others learn of it later.
func (w *requestWorld) crash(i int) {
	w.hosts[i].dead = true
	w.After(deathAfter, func() {
		for _, h := range w.hosts {
			markPeer(h, w.ids[i], true)
		}
		w.policy.changed()
	})
}

func markPeer(h *reqHost, id uint64, lost bool) {
	for j := range h.known {
		if h.known[j].ID == id {
			h.known[j].Lost = lost
		}
	}
}

// liars makes two servers fail at once while a third of the health reports
// are inverted or old.
func (w *requestWorld) liars(on bool) {
	for i, s := range w.servers {
		s.broken = on && i < 2
		s.health = !s.broken
		if i%3 == 0 {
			s.health = !s.health // Inverted or stale.
		}
		if !on {
			s.health = true
		}
	}
	w.policy.changed()
}

// cut parts the hosts; each side finds the other one dead.
func (w *requestWorld) cut() {
	for i, h := range w.hosts {
		if i >= 4 {
			h.part = 1
		}
	}
	w.After(deathAfter, func() {
		for _, h := range w.hosts {
			for _, o := range w.hosts {
				if o.part != h.part {
					markPeer(h, o.id, true)
				}
			}
		}
		w.policy.changed()
	})
}

func (w *requestWorld) heal() {
	for _, h := range w.hosts {
		h.part = 0
		for _, o := range w.hosts {
			markPeer(h, o.id, o.dead)
		}
	}
	w.policy.changed()
}

// arrive makes a request and hands it to any host.
func (w *requestWorld) arrive() {
	w.serial++
	t := w.Now() - w.start
	r := &request{serial: w.serial, kind: "GET /status", arrived: w.Now(), patient: w.Now() + w.plan.patience,
		caller: rendez.Hash(fmt.Sprint("caller-", w.rng.IntN(callers))), size: w.exp(w.plan.short)}
	atCrest := w.plan.swing > 0 && t >= w.plan.swingFrom && t < w.plan.swingTo+w.plan.patience
	r.outside = t >= w.plan.warm && t < w.plan.end-w.plan.longPatience/3 && !atCrest
	r.steady = t >= w.plan.warm && (w.plan.swing == 0 || t < w.plan.swingFrom-steadyTail)
	switch {
	case w.rng.Float64() < w.plan.longShare:
		r.long = true
		r.kind = "GET /export"
		r.size = time.Duration(float64(r.size) * w.plan.longFactor)
		r.patient = w.Now() + w.plan.longPatience
	case w.rng.Float64() < w.plan.keyed:
		r.kind = "POST /registrations"
		r.key = fmt.Sprint("key-", w.serial)
	}
	w.result.requests++
	if r.outside {
		w.result.outside++
	}
	w.submit(r)
}

// submit hands a request to a random host that is up.
func (w *requestWorld) submit(r *request) {
	for range 20 {
		i := w.rng.IntN(len(w.hosts))
		if !w.hosts[i].dead {
			w.policy.submit(i, r)
			return
		}
	}
}

// outcome tells the caller what became of its request.
type outcome uint8

const (
	answered outcome = iota
	failed
	notRun
	unknown
)

// conclude notes an outcome. A caller repeats a keyed request whose outcome
// is unknown.
func (w *requestWorld) conclude(r *request, o outcome) {
	if r.done {
		return
	}
	late := w.Now() > r.patient
	switch o {
	case answered, failed:
		w.concludeAnswer(r, o, late)
	case notRun:
		if r.key != "" && !r.doubt && w.runs[r.key] > 0 {
			w.result.falseNotRun++
		}
		w.result.notRun++
	case unknown:
		r.doubt = true
		if r.key != "" && r.tries < maxRepeats {
			r.tries++
			r.patient = w.Now() + w.plan.patience
			w.After(repeatAfter, func() { w.submit(r) })
			return
		}
		w.result.unknown++
	}
	r.done = true
}

func (w *requestWorld) concludeAnswer(r *request, o outcome, late bool) {
	if o == failed {
		w.result.failed++
		return
	}
	if late {
		w.result.unknown++
		return
	}
	w.result.answered++
	if r.key != "" && w.runs[r.key] == 0 {
		w.result.lost++
	}
	if r.steady && !r.long && r.tries == 0 {
		_ = w.result.short.RecordValue((w.Now() - r.arrived).Microseconds() / 10)
	}
	if r.outside {
		w.result.inTime++
	}
}

// place gives a job to a server.
func (w *requestWorld) place(s *reqServer, j *job) {
	w.After(jobDelay, func() {
		switch {
		case s.broken:
			w.After(brokenTime, func() { j.ended(jobFailed) })
		case s.busy < w.plan.slots:
			w.startJob(s, j)
		case w.policy.queues():
			s.waiting = append(s.waiting, j)
		default:
			w.result.shed++
			j.ended(jobShed)
		}
	})
}

func (w *requestWorld) startJob(s *reqServer, j *job) {
	if j.cancelled {
		j.ended(jobCancelled)
		return
	}
	s.busy++
	j.started = w.Now()
	if w.Now() > j.req.patient {
		w.result.late++
	}
	if j.req.key != "" {
		w.runs[j.req.key]++
		if w.runs[j.req.key] == 2 {
			w.result.doubled++
		}
	}
	w.After(j.req.size, func() { w.endJob(s, j, false) })
}

// cancel ends a running job early, as a server that accepts cancellation does.
func (w *requestWorld) cancel(s *reqServer, j *job) {
	if j.cancelled {
		return
	}
	if j.started == 0 {
		j.cancelled = true
		return
	}
	w.endJob(s, j, true)
}

func (w *requestWorld) endJob(s *reqServer, j *job, early bool) {
	if j.cancelled {
		return
	}
	j.cancelled = true
	s.busy--
	w.spend(s, j, early)
	if len(s.waiting) > 0 {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		w.startJob(s, next)
	}
	switch {
	case early:
		j.ended(jobCancelled)
	case j.req.key != "" && w.rng.Float64() < w.plan.loss:
		j.ended(jobLost)
	default:
		w.After(jobDelay, func() { j.ended(jobAnswered) })
	}
}

// spend notes the slot time of a job, and how much of it was useful at the
// crest.
func (w *requestWorld) spend(s *reqServer, j *job, early bool) {
	t := w.Now() - w.start
	if t >= w.plan.warm && (w.plan.swing == 0 || t < w.plan.swingFrom) {
		s.used += w.Now() - j.started
	}
	if w.plan.swing == 0 || early || w.Now() > j.req.patient {
		return
	}
	from := w.start + w.plan.swingFrom + time.Second
	to := w.start + w.plan.swingTo
	w.result.useful += max(0, min(w.Now(), to)-max(j.started, from))
	w.result.capacity = (to - from) * time.Duration(w.plan.servers*w.plan.slots)
}

// balance notes the highest use of a server over the mean.
func (w *requestWorld) balance() {
	var sum, top time.Duration
	for _, s := range w.servers {
		sum += s.used
		top = max(top, s.used)
	}
	if sum > 0 {
		w.result.imbalance = float64(top) * float64(len(w.servers)) / float64(sum)
	}
}

// activeHosts returns the hosts that a host takes for alive.
func (h *reqHost) activeHosts() []uint64 {
	var out []uint64
	for _, p := range h.known {
		if !p.Lost {
			out = append(out, p.ID)
		}
	}
	slices.Sort(out)
	return out
}

// deskServers returns the servers in the form that package sched needs.
func (w *requestWorld) deskServers() []sched.Server {
	out := make([]sched.Server, len(w.servers))
	for i, s := range w.servers {
		out[i] = sched.Server{ID: s.id, Slots: w.plan.slots, AcceptsNew: true}
	}
	return out
}
