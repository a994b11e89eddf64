package exper

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lagoonramp.org/lagoonramp/pkg/steer"
)

// OverloadName is the name of the experiment on the order of held SYNs.
const OverloadName = "overload"

// OverloadSize is the size of that experiment unless another one is chosen.
var OverloadSize = Size{Hosts: 69, Servers: 150, Slots: 2}

// overloadLoads are the offered loads, as multiples of what the slots can do.
var overloadLoads = []float64{1, 2, 4, 8}

// overloadClass is a kind of request, which has a route of its own.
type overloadClass struct {
	name     string
	priority int
	// rate is relative to the rates of the other classes.
	rate                     float64
	work, objective, timeout time.Duration
}

// overloadClasses are those of the first deployment of docs/design/hard-load.md.
var overloadClasses = []overloadClass{
	{"bookings", 1, 375, 29 * time.Millisecond, 500 * time.Millisecond, 4 * time.Second},
	{"reads", 2, 1312, 22 * time.Millisecond, 500 * time.Millisecond, 3 * time.Second},
	{"uploads", 2, 112, 5 * time.Millisecond, 1500 * time.Millisecond, 12 * time.Second},
}

// callerKind is a kind of callers, which together send a ratio of the requests.
type callerKind struct {
	name  string
	count int
	ratio float64
}

// callerKinds are ordinary callers, some of which each sends 100 times as much, and
// one that sends 1,000 times as much.
var callerKinds = []callerKind{{"ordinary", 3000, 0.6}, {"greedy", 10, 0.2}, {"greediest", 1, 0.2}}

const (
	// overdueRatio, holdRatio and longestHold are those of the hosts: the share of
	// the objective after which a held SYN is overdue, and the share of the
	// timeout, at most longestHold, after which it is refused.
	overdueRatio = 0.4
	holdRatio    = 0.4
	longestHold  = 1100 * time.Millisecond
	// Requests that arrive from overloadFrom to overloadTo are counted; arrivals go
	// on until overloadEnd, and the simulation until overloadStop.
	overloadFrom = 500 * time.Millisecond
	overloadTo   = 2500 * time.Millisecond
	overloadEnd  = 3500 * time.Millisecond
	overloadStop = 6 * time.Second
)

// OverloadMetrics holds the measurements of a policy at a load. Ratios are of the
// requests sent.
type OverloadMetrics struct {
	Load     float64 `json:"load"`
	Policy   string  `json:"policy"`
	Requests int     `json:"requests"`
	// ClassInTime and CallerInTime are the ratios of the requests that were
	// answered within the objective, by class and by kind of caller.
	ClassInTime  map[string]float64 `json:"classInTime"`
	CallerInTime map[string]float64 `json:"callerInTime"`
	RefusedRatio float64            `json:"refused"`
	// P99Ms is the 99th percentile latency of the requests that were answered.
	P99Ms float64 `json:"p99Ms"`
	// Jain is Jain's index over the callers, of the requests answered in time
	// relative to the max-min fair share; 1 is fair.
	Jain float64 `json:"jain"`
}

// heldRequest is a request whose SYN may be held.
type heldRequest struct {
	entry   steer.HeldSYN[*heldRequest]
	class   int
	caller  int
	arrived time.Duration
	counted bool
	// waiting reports whether the SYN is held, and overdue whether as overdue.
	// sequence orders the requests by when they were held or became overdue.
	waiting, overdue bool
	sequence         int
}

// overloadCaller counts the requests of a caller.
type overloadCaller struct{ sent, inTime int }

// overloadHost simulates a host that releases a SYN whenever one of its slots is
// free.
type overloadHost struct {
	*engine
	tally    *overloadTally
	order    heldOrder
	free     int
	sequence int
	// interval is the mean time between arrivals.
	interval time.Duration
}

// overloadTally holds the counts of all hosts.
type overloadTally struct {
	// callers lists the callers by kind.
	callers         []overloadCaller
	sent, inTime    []int
	refused         int
	answerLatencies *hdrhistogram.Histogram
}

// RunOverload runs the experiment on a seed. Each policy gets the same arrivals.
func RunOverload(size Size, seed uint64) []OverloadMetrics {
	var out []OverloadMetrics
	for _, load := range overloadLoads {
		for _, policy := range overloadPolicies {
			out = append(out, runOverloadPolicy(size, seed, load, policy))
		}
	}
	return out
}

// runOverloadPolicy simulates all hosts with a policy at a load.
func runOverloadPolicy(size Size, seed uint64, load float64, policy overloadPolicy) OverloadMetrics {
	callers := 0
	for _, k := range callerKinds {
		callers += k.count
	}
	tally := &overloadTally{
		callers: make([]overloadCaller, callers), sent: make([]int, len(overloadClasses)), inTime: make([]int, len(overloadClasses)),
		answerLatencies: hdrhistogram.New(1, 10_000_000, 3),
	}
	slots := size.Servers * size.Slots
	interval := time.Duration(float64(meanOverloadWork()) / load / float64(slots) * float64(size.Hosts))
	for i := range size.Hosts {
		h := &overloadHost{engine: newEngine(seed, uint64(i+1)), tally: tally, order: policy.newOrder(), interval: interval}
		h.free = (i+1)*slots/size.Hosts - i*slots/size.Hosts
		h.scheduleArrival()
		h.RunUntil(overloadStop)
	}
	return tally.metrics(load, policy.name)
}

// meanOverloadWork returns the mean work of a request.
func meanOverloadWork() time.Duration {
	var work time.Duration
	rate := 0.0
	for _, c := range overloadClasses {
		work += time.Duration(c.rate * float64(c.work))
		rate += c.rate
	}
	return time.Duration(float64(work) / rate)
}

// scheduleArrival schedules the next request.
func (h *overloadHost) scheduleArrival() {
	h.After(h.exponential(h.interval), func() {
		if h.Now() >= overloadEnd {
			return
		}
		h.handleArrival(h.newRequest())
		h.scheduleArrival()
	})
}

// newRequest returns a random request.
func (h *overloadHost) newRequest() *heldRequest {
	now := h.Now()
	r := &heldRequest{class: h.randomClass(), caller: h.randomCaller(), arrived: now, counted: now >= overloadFrom && now < overloadTo}
	c := overloadClasses[r.class]
	r.entry = steer.HeldSYN[*heldRequest]{
		Owner: r, Priority: c.priority,
		Route:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, 1}), uint16(r.class)),
		Caller: netip.AddrFrom4([4]byte{100, 64, byte(r.caller >> 8), byte(r.caller)}),
	}
	if r.counted {
		h.tally.sent[r.class]++
		h.tally.callers[r.caller].sent++
	}
	return r
}

// randomClass returns the index of a class, by their rates.
func (h *overloadHost) randomClass() int {
	total := 0.0
	for _, c := range overloadClasses {
		total += c.rate
	}
	point := h.rng.Float64() * total
	for i, c := range overloadClasses {
		if point < c.rate {
			return i
		}
		point -= c.rate
	}
	return len(overloadClasses) - 1
}

// randomCaller returns the index of a caller, by the ratios of the kinds.
func (h *overloadHost) randomCaller() int {
	point, first := h.rng.Float64(), 0
	for _, k := range callerKinds[:len(callerKinds)-1] {
		if point < k.ratio {
			return first + h.rng.IntN(k.count)
		}
		point -= k.ratio
		first += k.count
	}
	return first + h.rng.IntN(callerKinds[len(callerKinds)-1].count)
}

// handleArrival starts a request if a slot is free, and holds it otherwise.
func (h *overloadHost) handleArrival(r *heldRequest) {
	if h.free > 0 {
		h.serve(r)
		return
	}
	h.hold(r, false)
	c := overloadClasses[r.class]
	end := r.arrived + min(longestHold, time.Duration(holdRatio*float64(c.timeout)))
	h.After(time.Duration(overdueRatio*float64(c.objective)), func() {
		if r.waiting {
			h.hold(r, true)
			h.At(end, func() { h.refuse(r) })
		}
	})
}

// hold adds a request to the held ones, or moves it to the overdue ones.
func (h *overloadHost) hold(r *heldRequest, overdue bool) {
	h.sequence++
	r.waiting, r.overdue, r.sequence = true, overdue, h.sequence
	h.order.push(r)
}

// refuse refuses a request whose hold ends.
func (h *overloadHost) refuse(r *heldRequest) {
	if !r.waiting {
		return
	}
	r.waiting = false
	h.order.remove(r)
	if r.counted {
		h.tally.refused++
	}
}

// serve runs a request in a slot, which then takes the next one.
func (h *overloadHost) serve(r *heldRequest) {
	h.free--
	c := overloadClasses[r.class]
	h.After(h.uniform(c.work/2, c.work*3/2), func() {
		h.tally.recordAnswer(r, h.Now()-r.arrived)
		h.free++
		if next := h.order.pop(); next != nil {
			next.waiting = false
			h.serve(next)
		}
	})
}

// recordAnswer records the latency of a request.
func (t *overloadTally) recordAnswer(r *heldRequest, latency time.Duration) {
	if !r.counted {
		return
	}
	_ = t.answerLatencies.RecordValue(latency.Microseconds())
	if latency <= overloadClasses[r.class].objective {
		t.inTime[r.class]++
		t.callers[r.caller].inTime++
	}
}

// metrics returns the measurements.
func (t *overloadTally) metrics(load float64, policy string) OverloadMetrics {
	m := OverloadMetrics{Load: load, Policy: policy, ClassInTime: map[string]float64{}, CallerInTime: map[string]float64{}}
	for i, c := range overloadClasses {
		m.ClassInTime[c.name] = float64(t.inTime[i]) / float64(t.sent[i])
		m.Requests += t.sent[i]
	}
	first := 0
	for _, k := range callerKinds {
		m.CallerInTime[k.name] = inTimeRatio(t.callers[first : first+k.count])
		first += k.count
	}
	m.RefusedRatio = float64(t.refused) / float64(m.Requests)
	m.P99Ms = float64(t.answerLatencies.ValueAtQuantile(99)) / 1000
	m.Jain = jainIndex(t.callers)
	return m
}

// inTimeRatio returns the ratio of the requests answered in time.
func inTimeRatio(callers []overloadCaller) float64 {
	var total overloadCaller
	for _, c := range callers {
		total.sent += c.sent
		total.inTime += c.inTime
	}
	return float64(total.inTime) / float64(total.sent)
}

// jainIndex returns Jain's index of the requests answered in time, each relative
// to the caller's max-min fair share of their total.
func jainIndex(callers []overloadCaller) float64 {
	share := fairShare(callers)
	sum, squares, n := 0.0, 0.0, 0.0
	for _, c := range callers {
		if c.sent == 0 {
			continue
		}
		x := float64(c.inTime) / min(share, float64(c.sent))
		sum += x
		squares += x * x
		n++
	}
	return sum * sum / (n * squares)
}

// fairShare returns the share of the total answered in time at which callers that
// send less get all that they send, and the others the share.
func fairShare(callers []overloadCaller) float64 {
	var sent []int
	left := 0.0
	for _, c := range callers {
		sent = append(sent, c.sent)
		left += float64(c.inTime)
	}
	slices.Sort(sent)
	for i, n := range sent {
		if share := left / float64(len(sent)-i); share <= float64(n) {
			return share
		}
		left -= float64(n)
	}
	return math.Inf(1)
}
