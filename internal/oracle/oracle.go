package oracle

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"lagoonramp.org/lagoonramp/internal/vtime"
)

// Result is the worth that the scheduler earns, as ratios of what the requests
// would earn if all were answered within their objectives.
type Result struct {
	Day          float64 `json:"day"`
	WorstWindows float64 `json:"windows"`
	WorstClass   float64 `json:"class"`
	// Worth is the weighted sum of the ratios minus Day.Deduction.
	Worth float64 `json:"worth"`
	// Bound is Worth if every request had a slot of its own. Its difference to
	// Worth is the cost of queueing.
	Bound float64 `json:"bound"`
}

// request is one request of a day.
type request struct {
	class *Class
	// span is the index in Day.Load of the span in which the request began.
	span        int
	start       time.Duration
	serviceTime time.Duration
	// objective and timeout are the times by which the server must finish for the
	// answer to earn Worth and LateWorth.
	objective, timeout time.Duration
	earned             float64
}

// Run simulates a day with the scheduler that the package describes.
func Run(d *Day, rng *rand.Rand) Result {
	requests := d.drawRequests(rng)
	d.schedule(requests, func(s *Service) int { return s.Slots })
	r := d.score(requests)
	for _, q := range requests {
		q.earned = 0
	}
	d.schedule(requests, func(*Service) int { return len(requests) })
	r.Bound = d.score(requests).Worth
	return r
}

// drawRequests draws the requests of a day and returns them in order of time.
func (d *Day) drawRequests(rng *rand.Rand) []*request {
	var out []*request
	for i, s := range d.Load {
		for range s.Count {
			c := d.drawClass(rng)
			start := time.Duration(s.From) + time.Duration(rng.Float64()*float64(s.To-s.From))
			out = append(out, &request{
				class: c, span: i, start: start, serviceTime: c.ServiceTime.draw(rng),
				objective: start + time.Duration(c.Objective-d.NetworkDelay), timeout: start + time.Duration(c.Timeout-d.NetworkDelay),
			})
		}
	}
	slices.SortStableFunc(out, func(a, b *request) int { return cmp.Compare(a.start, b.start) })
	return out
}

// drawClass draws a class with a probability proportional to its weight.
func (d *Day) drawClass(rng *rand.Rand) *Class {
	total := 0.0
	for _, c := range d.Classes {
		total += c.Weight
	}
	threshold := rng.Float64() * total
	for i := range d.Classes {
		c := &d.Classes[i]
		if threshold < c.Weight {
			return c
		}
		threshold -= c.Weight
	}
	return &d.Classes[len(d.Classes)-1]
}

// draw draws a service time. Mean is the mean of the distribution before it is
// limited to Max.
func (t *ServiceTime) draw(rng *rand.Rand) time.Duration {
	mean := float64(t.Mean) / (1 + t.TailRatio*(t.TailFactor-1))
	x := mean * math.Exp(t.LogStdDev*rng.NormFloat64()-t.LogStdDev*t.LogStdDev/2)
	if rng.Float64() < t.TailRatio {
		x *= t.TailFactor
	}
	if t.Max > 0 {
		x = min(x, float64(t.Max))
	}
	return time.Duration(x)
}

// serverPool holds the free slots of a service and the requests that wait for one.
type serverPool struct {
	clock     *vtime.Clock
	freeSlots int
	waiting   []*request
}

// schedule simulates the requests with the given number of slots for each service
// and records what each request earns.
func (d *Day) schedule(requests []*request, slots func(*Service) int) {
	clock := &vtime.Clock{}
	pools := map[string]*serverPool{}
	for i := range d.Services {
		s := &d.Services[i]
		pools[s.Name] = &serverPool{clock: clock, freeSlots: slots(s)}
	}
	end := time.Duration(0)
	for _, q := range requests {
		p := pools[q.class.Service]
		clock.At(d.earliestStart(q.start), func() {
			p.waiting = append(p.waiting, q)
			p.serve()
		})
		end = max(end, q.timeout)
	}
	clock.RunUntil(end)
}

// earliestStart returns the first time, not before at, outside all outages.
func (d *Day) earliestStart(at time.Duration) time.Duration {
	for _, o := range d.Outages {
		if at >= time.Duration(o.From) && at < time.Duration(o.To) {
			at = time.Duration(o.To)
		}
	}
	return at
}

// serve assigns free slots to waiting requests.
func (p *serverPool) serve() {
	for p.freeSlots > 0 {
		q := p.next()
		if q == nil {
			return
		}
		p.freeSlots--
		p.clock.After(q.serviceTime, func() {
			q.earn(p.clock.Now())
			p.freeSlots++
			p.serve()
		})
	}
}

// next removes and returns the request to run next, or returns nil if there is
// none. It drops the requests that can no longer earn anything.
func (p *serverPool) next() *request {
	now := p.clock.Now()
	p.waiting = slices.DeleteFunc(p.waiting, func(q *request) bool { return now+q.serviceTime > q.timeout })
	if len(p.waiting) == 0 {
		return nil
	}
	best := 0
	for i, q := range p.waiting {
		if runsBefore(now, q, p.waiting[best]) {
			best = i
		}
	}
	q := p.waiting[best]
	p.waiting = slices.Delete(p.waiting, best, best+1)
	return q
}

// runsBefore reports whether a runs before b. Requests that can still meet their
// objective run first, in order of their objectives, then the others, the shortest
// first.
func runsBefore(now time.Duration, a, b *request) bool {
	aInTime, bInTime := now+a.serviceTime <= a.objective, now+b.serviceTime <= b.objective
	switch {
	case aInTime != bInTime:
		return aInTime
	case aInTime:
		return a.objective < b.objective
	}
	return a.serviceTime < b.serviceTime
}

// earn records the worth of an answer for which the server finished at a time.
func (q *request) earn(at time.Duration) {
	switch {
	case at <= q.objective:
		q.earned = q.class.Worth
	case at <= q.timeout:
		q.earned = q.class.LateWorth
	}
}

// worthSum is the worth that requests earned and the maximum that they would have
// earned if all were answered within their objectives.
type worthSum struct{ earned, maximum float64 }

func (s *worthSum) add(q *request) {
	s.earned += q.earned
	s.maximum += q.class.Worth
}

// ratio returns the earned worth as a ratio of the maximum, 1 if there are no
// requests.
func (s worthSum) ratio() float64 {
	if s.maximum == 0 {
		return 1
	}
	return s.earned / s.maximum
}

// worstWindowCount is the number of load spans with the lowest worth that make up
// the worst windows.
const worstWindowCount = 2

// score computes the result of a day from what its requests earned.
func (d *Day) score(requests []*request) Result {
	var total worthSum
	spans := make([]worthSum, len(d.Load))
	classes := map[*Class]*worthSum{}
	for _, q := range requests {
		total.add(q)
		spans[q.span].add(q)
		if classes[q.class] == nil {
			classes[q.class] = &worthSum{}
		}
		classes[q.class].add(q)
	}
	r := Result{Day: total.ratio(), WorstClass: 1}
	for _, s := range classes {
		r.WorstClass = min(r.WorstClass, s.ratio())
	}
	slices.SortFunc(spans, func(a, b worthSum) int { return cmp.Compare(a.ratio(), b.ratio()) })
	worst := spans[:min(worstWindowCount, len(spans))]
	for _, s := range worst {
		r.WorstWindows += s.ratio() / float64(len(worst))
	}
	r.Worth = d.Weights.Day*r.Day + d.Weights.WorstWindows*r.WorstWindows + d.Weights.WorstClass*r.WorstClass - d.Deduction
	return r
}
