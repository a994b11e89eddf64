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

// requestPlan holds the load and the faults of a request simulation. Times are
// measured from its start; zero means never.
type requestPlan struct {
	hosts, servers, slots int
	// load is the offered load as a ratio of the capacity of all slots.
	load float64
	// meanShort is the mean service time of short requests. The ratio longRatio
	// of all requests takes longFactor times as long.
	meanShort  time.Duration
	longRatio  float64
	longFactor float64
	// timeout and longTimeout are the time limits of callers for short and long
	// requests.
	timeout, longTimeout time.Duration
	// keyedRatio is the ratio of short requests that are non-idempotent and have
	// an idempotency key, answerLossRate the ratio of keyed requests whose answer
	// is lost after the run.
	keyedRatio, answerLossRate float64
	// The arrival rate is multiplied by peakFactor from peakFrom to peakTo.
	peakFactor       float64
	peakFrom, peakTo time.Duration
	// warmUp is the initial time that is left out of the measurements.
	warmUp, duration               time.Duration
	crashAt                        time.Duration
	falseHealthFrom, falseHealthTo time.Duration
	partitionFrom, partitionTo     time.Duration
}

// requestResult holds the measurements of a request simulation. duplicated counts
// keys that ran at least twice, answeredWithoutRun keyed requests that were
// answered although they never ran, and falseNotRun keyed requests that were
// reported as not run although they ran.
type requestResult struct {
	requests, answered, notRun, unknown         int
	failed, shed                                int
	duplicated, answeredWithoutRun, falseNotRun int
	// peakGoodput is the slot time spent during the load peak on requests that
	// ended before their deadline, peakCapacity the slot time that was available.
	peakGoodput, peakCapacity time.Duration
	// startedTooLate counts requests that servers started after their deadline.
	startedTooLate int
	// shortLatency holds the latencies, in units of 10 µs, of short requests that
	// arrived before any load peak and were answered without a retry by the caller.
	shortLatency *hdrhistogram.Histogram
	imbalance    float64
	// offPeak counts the requests outside the load peak, without the warm-up and
	// the last ten seconds, and offPeakInTime those of them that were answered
	// successfully before their deadline.
	offPeakInTime, offPeak int
}

// request is one request of a caller.
type request struct {
	serial            int
	kind, key         string
	long              bool
	caller            uint64
	serviceTime       time.Duration
	arrived, deadline time.Duration
	tries             int
	outcomeUnknown    bool
	concluded         bool
	// offPeak is true if the request arrived after the warm-up, outside the load
	// peak and before the last seconds. beforePeak is true if it arrived after the
	// warm-up and before any load peak.
	offPeak, beforePeak bool
}

// requestServer is a backend server. It runs up to requestPlan.slots requests at a
// time and queues or sheds the others.
type requestServer struct {
	id             uint64
	inFlight       int
	queue          []*job
	busyTime       time.Duration
	failing        bool
	reportsHealthy bool
}

// job is a request at a server.
type job struct {
	request *request
	// onEnd is called with the outcome.
	onEnd func(outcome jobOutcome)
	// finished is true if the job has ended or was cancelled before it started.
	finished  bool
	startedAt time.Duration
}

// jobOutcome is the outcome of a job as its host sees it.
type jobOutcome uint8

const (
	jobAnswered jobOutcome = iota
	jobFailed
	jobShed
	jobLost
	jobCancelled
)

// requestSim simulates callers and backend servers and measures a
// requestBalancer.
type requestSim struct {
	*engine
	plan       requestPlan
	balancer   requestBalancer
	hosts      []*requestHost
	hostIDs    []uint64
	servers    []*requestServer
	serverByID map[uint64]*requestServer
	result     requestResult
	start      time.Duration
	serial     int
	runsByKey  map[string]int
}

// requestBalancer distributes requests to servers.
type requestBalancer interface {
	// submit handles a request that a host received.
	submit(host int, r *request)
	// reconfigure applies the current lists of hosts and servers.
	reconfigure()
	// serversQueue reports whether servers queue requests that they have no free
	// slot for. Otherwise they shed them.
	serversQueue() bool
}

// requestHost is a host of a request simulation.
type requestHost struct {
	index   int
	id      uint64
	crashed bool
	// partition is the side of a network partition that the host is on.
	partition int
	peers     []once.Peer
}

const (
	// serverDelay is the one-way delay between a host and a server of one data
	// centre.
	serverDelay = 150 * time.Microsecond
	// peakMargin is the time before the load peak that is left out of the latency
	// measurement.
	peakMargin = time.Second
	// maxRetries bounds the retries of a caller and the tries of a request that
	// servers shed.
	maxRetries = 3
	// retryDelay is the time after which a caller retries.
	retryDelay = 300 * time.Millisecond
	// errorDelay is the time after which a failing server answers with an error.
	errorDelay  = time.Millisecond
	callerCount = 400
)

// newRequestSim returns a simulation of a plan. The seed determines all random
// choices.
func newRequestSim(seed uint64, p requestPlan, newBalancer func(sim *requestSim) requestBalancer) *requestSim {
	sim := &requestSim{engine: newEngine(seed, 2), plan: p, hostIDs: hashIDs("host", p.hosts), serverByID: map[uint64]*requestServer{}, runsByKey: map[string]int{}}
	sim.Set(time.Hour)
	sim.start = sim.Now()
	sim.result.shortLatency = hdrhistogram.New(1, 600_000, 3)
	for i, id := range sim.hostIDs {
		sim.hosts = append(sim.hosts, &requestHost{index: i, id: id})
	}
	for _, h := range sim.hosts {
		for _, id := range sim.hostIDs {
			h.peers = append(h.peers, once.Peer{ID: id})
		}
	}
	for _, id := range hashIDs("server", p.servers) {
		s := &requestServer{id: id, reportsHealthy: true}
		sim.servers = append(sim.servers, s)
		sim.serverByID[id] = s
	}
	sim.balancer = newBalancer(sim)
	sim.balancer.reconfigure()
	return sim
}

// meanServiceTime returns the mean service time over short and long requests.
func (p *requestPlan) meanServiceTime() time.Duration {
	return time.Duration(float64(p.meanShort) * (1 - p.longRatio + p.longRatio*p.longFactor))
}

// arrivalRate returns the number of requests per second without a load peak.
func (p *requestPlan) arrivalRate() float64 {
	return p.load * float64(p.servers*p.slots) / p.meanServiceTime().Seconds()
}

// run simulates the plan and returns the measurements.
func (sim *requestSim) run() requestResult {
	sim.scheduleArrivals()
	sim.scheduleFaults()
	sim.RunUntil(sim.start + sim.plan.duration)
	sim.recordImbalance()
	return sim.result
}

// scheduleArrivals generates requests at random times until the end of the
// simulation. At the start of the load peak the rate rises linearly for 3 s.
func (sim *requestSim) scheduleArrivals() {
	rate := sim.plan.arrivalRate()
	if elapsed := sim.Now() - sim.start; sim.plan.peakFactor > 0 && elapsed >= sim.plan.peakFrom && elapsed < sim.plan.peakTo {
		rate *= min(sim.plan.peakFactor, 1+(sim.plan.peakFactor-1)*(elapsed-sim.plan.peakFrom).Seconds()/3)
	}
	sim.After(sim.exponential(time.Duration(float64(time.Second)/rate)), func() {
		sim.generateRequest()
		sim.scheduleArrivals()
	})
}

// scheduleFaults schedules the faults of the plan.
func (sim *requestSim) scheduleFaults() {
	p := sim.plan
	schedule := func(at time.Duration, f func()) {
		if at > 0 {
			sim.At(sim.start+at, f)
		}
	}
	schedule(p.crashAt, func() { sim.crashHost(3) })
	schedule(p.falseHealthFrom, func() { sim.setFalseHealth(true) })
	schedule(p.falseHealthTo, func() { sim.setFalseHealth(false) })
	schedule(p.partitionFrom, sim.partitionHosts)
	schedule(p.partitionTo, sim.healPartition)
}

// crashHost crashes a host. The other hosts learn of it later.
func (sim *requestSim) crashHost(i int) {
	sim.hosts[i].crashed = true
	sim.After(crashDetectionDelay, func() {
		for _, h := range sim.hosts {
			setPeerLost(h, sim.hostIDs[i], true)
		}
		sim.balancer.reconfigure()
	})
}

// setPeerLost sets whether a host considers a peer lost.
func setPeerLost(h *requestHost, id uint64, lost bool) {
	for j := range h.peers {
		if h.peers[j].ID == id {
			h.peers[j].Lost = lost
		}
	}
}

// setFalseHealth makes two servers fail all requests while the health reports of
// a third of the servers are inverted or stale. If enabled is false, it ends both
// faults.
func (sim *requestSim) setFalseHealth(enabled bool) {
	for i, s := range sim.servers {
		s.failing = enabled && i < 2
		s.reportsHealthy = !s.failing
		if i%3 == 0 {
			s.reportsHealthy = !s.reportsHealthy // Inverted or stale.
		}
		if !enabled {
			s.reportsHealthy = true
		}
	}
	sim.balancer.reconfigure()
}

// partitionHosts partitions the hosts. Each side later considers the hosts of the
// other side lost.
func (sim *requestSim) partitionHosts() {
	for i, h := range sim.hosts {
		if i >= 4 {
			h.partition = 1
		}
	}
	sim.After(crashDetectionDelay, func() {
		for _, h := range sim.hosts {
			for _, o := range sim.hosts {
				if o.partition != h.partition {
					setPeerLost(h, o.id, true)
				}
			}
		}
		sim.balancer.reconfigure()
	})
}

// healPartition ends the network partition.
func (sim *requestSim) healPartition() {
	for _, h := range sim.hosts {
		h.partition = 0
		for _, o := range sim.hosts {
			setPeerLost(h, o.id, o.crashed)
		}
	}
	sim.balancer.reconfigure()
}

// generateRequest generates a random request and submits it.
func (sim *requestSim) generateRequest() {
	sim.serial++
	elapsed := sim.Now() - sim.start
	r := &request{serial: sim.serial, kind: "GET /status", arrived: sim.Now(), deadline: sim.Now() + sim.plan.timeout,
		caller: rendez.Hash(fmt.Sprint("caller-", sim.rng.IntN(callerCount))), serviceTime: sim.exponential(sim.plan.meanShort)}
	duringPeak := sim.plan.peakFactor > 0 && elapsed >= sim.plan.peakFrom && elapsed < sim.plan.peakTo+sim.plan.timeout
	r.offPeak = elapsed >= sim.plan.warmUp && elapsed < sim.plan.duration-sim.plan.longTimeout/3 && !duringPeak
	r.beforePeak = elapsed >= sim.plan.warmUp && (sim.plan.peakFactor == 0 || elapsed < sim.plan.peakFrom-peakMargin)
	switch {
	case sim.rng.Float64() < sim.plan.longRatio:
		r.long = true
		r.kind = "GET /export"
		r.serviceTime = time.Duration(float64(r.serviceTime) * sim.plan.longFactor)
		r.deadline = sim.Now() + sim.plan.longTimeout
	case sim.rng.Float64() < sim.plan.keyedRatio:
		r.kind = "POST /registrations"
		r.key = fmt.Sprint("key-", sim.serial)
	}
	sim.result.requests++
	if r.offPeak {
		sim.result.offPeak++
	}
	sim.submit(r)
}

// submit passes a request to a random host that has not crashed.
func (sim *requestSim) submit(r *request) {
	for range 20 {
		host := sim.rng.IntN(len(sim.hosts))
		if !sim.hosts[host].crashed {
			sim.balancer.submit(host, r)
			return
		}
	}
}

// outcome is the outcome of a request as reported to the caller.
type outcome uint8

const (
	answered outcome = iota
	failed
	notRun
	unknown
)

// conclude records the outcome of a request. The caller retries a keyed request
// whose outcome is unknown.
func (sim *requestSim) conclude(r *request, o outcome) {
	if r.concluded {
		return
	}
	expired := sim.Now() > r.deadline
	switch o {
	case answered, failed:
		sim.recordAnswer(r, o, expired)
	case notRun:
		if r.key != "" && !r.outcomeUnknown && sim.runsByKey[r.key] > 0 {
			sim.result.falseNotRun++
		}
		sim.result.notRun++
	case unknown:
		r.outcomeUnknown = true
		if r.key != "" && r.tries < maxRetries {
			r.tries++
			r.deadline = sim.Now() + sim.plan.timeout
			sim.After(retryDelay, func() { sim.submit(r) })
			return
		}
		sim.result.unknown++
	}
	r.concluded = true
}

// recordAnswer records an answer. An answer after the deadline leaves the outcome
// unknown to the caller.
func (sim *requestSim) recordAnswer(r *request, o outcome, expired bool) {
	if o == failed {
		sim.result.failed++
		return
	}
	if expired {
		sim.result.unknown++
		return
	}
	sim.result.answered++
	if r.key != "" && sim.runsByKey[r.key] == 0 {
		sim.result.answeredWithoutRun++
	}
	if r.beforePeak && !r.long && r.tries == 0 {
		_ = sim.result.shortLatency.RecordValue((sim.Now() - r.arrived).Microseconds() / 10)
	}
	if r.offPeak {
		sim.result.offPeakInTime++
	}
}

// sendToServer sends a job to a server, which runs, queues, sheds or fails it.
func (sim *requestSim) sendToServer(s *requestServer, j *job) {
	sim.After(serverDelay, func() {
		switch {
		case s.failing:
			sim.After(errorDelay, func() { j.onEnd(jobFailed) })
		case s.inFlight < sim.plan.slots:
			sim.startJob(s, j)
		case sim.balancer.serversQueue():
			s.queue = append(s.queue, j)
		default:
			sim.result.shed++
			j.onEnd(jobShed)
		}
	})
}

// startJob runs a job in a free slot of a server.
func (sim *requestSim) startJob(s *requestServer, j *job) {
	if j.finished {
		j.onEnd(jobCancelled)
		return
	}
	s.inFlight++
	j.startedAt = sim.Now()
	if sim.Now() > j.request.deadline {
		sim.result.startedTooLate++
	}
	if j.request.key != "" {
		sim.runsByKey[j.request.key]++
		if sim.runsByKey[j.request.key] == 2 {
			sim.result.duplicated++
		}
	}
	sim.After(j.request.serviceTime, func() { sim.endJob(s, j, false) })
}

// cancelJob ends a running job early, as a server that supports cancellation
// does. A job that has not started never runs.
func (sim *requestSim) cancelJob(s *requestServer, j *job) {
	if j.finished {
		return
	}
	if j.startedAt == 0 {
		j.finished = true
		return
	}
	sim.endJob(s, j, true)
}

// endJob frees the slot of a job, starts the next queued one and reports the
// outcome.
func (sim *requestSim) endJob(s *requestServer, j *job, cancelled bool) {
	if j.finished {
		return
	}
	j.finished = true
	s.inFlight--
	sim.recordSlotTime(s, j, cancelled)
	if len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		sim.startJob(s, next)
	}
	switch {
	case cancelled:
		j.onEnd(jobCancelled)
	case j.request.key != "" && sim.rng.Float64() < sim.plan.answerLossRate:
		j.onEnd(jobLost)
	default:
		sim.After(serverDelay, func() { j.onEnd(jobAnswered) })
	}
}

// recordSlotTime records the slot time of a job, and the part of it that counts as
// goodput during the load peak. The busy time of servers is measured only between
// the warm-up and the load peak, the goodput without the first second of the peak.
func (sim *requestSim) recordSlotTime(s *requestServer, j *job, cancelled bool) {
	elapsed := sim.Now() - sim.start
	if elapsed >= sim.plan.warmUp && (sim.plan.peakFactor == 0 || elapsed < sim.plan.peakFrom) {
		s.busyTime += sim.Now() - j.startedAt
	}
	if sim.plan.peakFactor == 0 || cancelled || sim.Now() > j.request.deadline {
		return
	}
	peakStart := sim.start + sim.plan.peakFrom + time.Second
	peakEnd := sim.start + sim.plan.peakTo
	sim.result.peakGoodput += max(0, min(sim.Now(), peakEnd)-max(j.startedAt, peakStart))
	sim.result.peakCapacity = (peakEnd - peakStart) * time.Duration(sim.plan.servers*sim.plan.slots)
}

// recordImbalance records the ratio of the highest busy time of a server to the
// mean.
func (sim *requestSim) recordImbalance() {
	var sum, highest time.Duration
	for _, s := range sim.servers {
		sum += s.busyTime
		highest = max(highest, s.busyTime)
	}
	if sum > 0 {
		sim.result.imbalance = float64(highest) * float64(len(sim.servers)) / float64(sum)
	}
}

// activeHosts returns the sorted IDs of the hosts that a host does not consider
// lost.
func (h *requestHost) activeHosts() []uint64 {
	var out []uint64
	for _, p := range h.peers {
		if !p.Lost {
			out = append(out, p.ID)
		}
	}
	slices.Sort(out)
	return out
}

// dispatcherServers returns the list of servers for package sched.
func (sim *requestSim) dispatcherServers() []sched.Server {
	out := make([]sched.Server, len(sim.servers))
	for i, s := range sim.servers {
		out[i] = sched.Server{ID: s.id, Slots: sim.plan.slots, AcceptsNewWork: true}
	}
	return out
}
