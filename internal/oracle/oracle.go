package oracle

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"lagoonramp.org/lagoonramp/internal/vtime"
)

// Result is what the scheduler reaches, each part of what all requests would
// earn in time.
type Result struct {
	Day          float64 `json:"day"`
	WorstWindows float64 `json:"windows"`
	WorstClass   float64 `json:"class"`
	// Worth is the weighted sum of the parts less the prices.
	Worth float64 `json:"worth"`
	// Bound is Worth if every request had a server of its own: what waiting
	// costs is the difference.
	Bound float64 `json:"bound"`
}

// request is one request of a day.
type request struct {
	class *Class
	// span is the index of the span of the load in which it began.
	span  int
	start time.Duration
	work  time.Duration
	// objective and timeout are up to when its work has to end.
	objective, timeout time.Duration
	earned             float64
}

// Run plays a day.
func Run(d *Day, rng *rand.Rand) Result {
	requests := d.requests(rng)
	d.schedule(requests, func(s *Service) int { return s.Slots })
	r := d.sum(requests)
	for _, q := range requests {
		q.earned = 0
	}
	d.schedule(requests, func(*Service) int { return len(requests) })
	r.Bound = d.sum(requests).Worth
	return r
}

// requests draws the requests of a day, in order of time.
func (d *Day) requests(rng *rand.Rand) []*request {
	var out []*request
	for i, s := range d.Load {
		for range s.Count {
			c := d.class(rng)
			start := time.Duration(s.From) + time.Duration(rng.Float64()*float64(s.To-s.From))
			out = append(out, &request{
				class: c, span: i, start: start, work: c.ServiceTime.draw(rng),
				objective: start + time.Duration(c.Objective-d.NetworkDelay), timeout: start + time.Duration(c.Timeout-d.NetworkDelay),
			})
		}
	}
	slices.SortStableFunc(out, func(a, b *request) int { return cmp.Compare(a.start, b.start) })
	return out
}

// class draws a class by the shares.
func (d *Day) class(rng *rand.Rand) *Class {
	total := 0.0
	for _, c := range d.Classes {
		total += c.Weight
	}
	at := rng.Float64() * total
	for i := range d.Classes {
		c := &d.Classes[i]
		if at < c.Weight {
			return c
		}
		at -= c.Weight
	}
	return &d.Classes[len(d.Classes)-1]
}

// draw returns a work. Its mean is that of the distribution before the cap.
func (w *ServiceTime) draw(rng *rand.Rand) time.Duration {
	mean := float64(w.Mean) / (1 + w.TailRatio*(w.TailFactor-1))
	x := mean * math.Exp(w.LogStdDev*rng.NormFloat64()-w.LogStdDev*w.LogStdDev/2)
	if rng.Float64() < w.TailRatio {
		x *= w.TailFactor
	}
	if w.Max > 0 {
		x = min(x, float64(w.Max))
	}
	return time.Duration(x)
}

// pool is a service's slots and the requests that wait for one.
type pool struct {
	clock   *vtime.Clock
	free    int
	waiting []*request
}

// schedule places the requests and notes what each of them earns.
func (d *Day) schedule(requests []*request, slots func(*Service) int) {
	clock := &vtime.Clock{}
	pools := map[string]*pool{}
	for i := range d.Services {
		s := &d.Services[i]
		pools[s.Name] = &pool{clock: clock, free: slots(s)}
	}
	end := time.Duration(0)
	for _, q := range requests {
		p := pools[q.class.Service]
		clock.At(d.reachable(q.start), func() {
			p.waiting = append(p.waiting, q)
			p.serve()
		})
		end = max(end, q.timeout)
	}
	clock.RunUntil(end)
}

// reachable returns when a server can be reached first from a time on.
func (d *Day) reachable(at time.Duration) time.Duration {
	for _, o := range d.Outages {
		if at >= time.Duration(o.From) && at < time.Duration(o.To) {
			at = time.Duration(o.To)
		}
	}
	return at
}

// serve gives free slots to requests that wait.
func (p *pool) serve() {
	for p.free > 0 {
		q := p.next()
		if q == nil {
			return
		}
		p.free--
		p.clock.After(q.work, func() {
			q.earn(p.clock.Now())
			p.free++
			p.serve()
		})
	}
}

// next takes the request that is to run next, or returns nil. Requests that
// cannot earn anything any more are dropped.
func (p *pool) next() *request {
	now := p.clock.Now()
	p.waiting = slices.DeleteFunc(p.waiting, func(q *request) bool { return now+q.work > q.timeout })
	if len(p.waiting) == 0 {
		return nil
	}
	best := 0
	for i, q := range p.waiting {
		if goesBefore(now, q, p.waiting[best]) {
			best = i
		}
	}
	q := p.waiting[best]
	p.waiting = slices.Delete(p.waiting, best, best+1)
	return q
}

// goesBefore reports whether a rather than b is to run next.
func goesBefore(now time.Duration, a, b *request) bool {
	aInTime, bInTime := now+a.work <= a.objective, now+b.work <= b.objective
	switch {
	case aInTime != bInTime:
		return aInTime
	case aInTime:
		return a.objective < b.objective
	}
	return a.work < b.work
}

// earn notes the worth of an answer.
func (q *request) earn(at time.Duration) {
	switch {
	case at <= q.objective:
		q.earned = q.class.Worth
	case at <= q.timeout:
		q.earned = q.class.LateWorth
	}
}

// share is what some requests earned and what they would have earned in time.
type share struct{ earned, owed float64 }

func (s *share) add(q *request) {
	s.earned += q.earned
	s.owed += q.class.Worth
}

func (s share) part() float64 {
	if s.owed == 0 {
		return 1
	}
	return s.earned / s.owed
}

// worstWindows is how many spans of the load count as the worst.
const worstWindows = 2

// sum adds up what the requests earned.
func (d *Day) sum(requests []*request) Result {
	var all share
	spans := make([]share, len(d.Load))
	classes := map[*Class]*share{}
	for _, q := range requests {
		all.add(q)
		spans[q.span].add(q)
		if classes[q.class] == nil {
			classes[q.class] = &share{}
		}
		classes[q.class].add(q)
	}
	r := Result{Day: all.part(), WorstClass: 1}
	for _, s := range classes {
		r.WorstClass = min(r.WorstClass, s.part())
	}
	slices.SortFunc(spans, func(a, b share) int { return cmp.Compare(a.part(), b.part()) })
	worst := spans[:min(worstWindows, len(spans))]
	for _, s := range worst {
		r.WorstWindows += s.part() / float64(len(worst))
	}
	r.Worth = d.Weights.Day*r.Day + d.Weights.WorstWindows*r.WorstWindows + d.Weights.WorstClass*r.WorstClass - d.Deduction
	return r
}
