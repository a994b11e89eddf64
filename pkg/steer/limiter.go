package steer

import (
	"slices"
	"time"
)

const (
	// lateAbove is the median answer, as a part of the route's latency
	// objective, from which on a service's servers have more work than they
	// can do in time.
	lateAbove = 0.6
	// windowAnswers and windowTime are how many answers, or after what time a
	// few, decide.
	windowAnswers = 8
	windowFew     = 2
	windowTime    = 150 * time.Millisecond
	// queuedAbove is how many times its base the median has to be: below it,
	// the requests' own work takes the time, and a limit would not help.
	queuedAbove = 2.0
	// baseFalls and baseRises are the weights of a window's median in the base
	// if it is shorter or longer, baseLimited that of a longer one while there
	// is a limit: then it is longer because of the load, or the work has
	// become longer.
	baseFalls   = 0.1
	baseRises   = 0.01
	baseLimited = 0.002
	// goal is the median answer that a cut of the limit aims at, maxCut the
	// most that is cut at a time, and grow the growth after answers in time.
	goal   = 0.4
	maxCut = 0.5
	grow   = 1.25
	// minLimit is the least limit. A lane has none any more when its limit is
	// above freeAbove times what the servers worked for at most.
	minLimit  = 2.0
	freeAbove = 2.0
	// freshShare is the part of the objective for which a SYN waits before it
	// is taken to be late.
	freshShare = 0.4
	// lateShare is the part of the route's timeout after which a SYN waits no
	// more and its flow is refused.
	lateShare = 0.4
	// maxLateWait bounds that age: callers give up at 1.4 s.
	maxLateWait = 1100 * time.Millisecond
	// patience is for how long answers have to be late before a limit is set:
	// a burst passes by itself.
	patience = 400 * time.Millisecond
	// serveShare is the part of the objective that is left of a caller's time
	// when a copy of its SYN has waited for as long as it may: an outage leaves
	// queues at the servers.
	serveShare = 2.0
	// answerShare is the part of the objective after which a flow does not
	// count as load any more: its answer went by another host, or its caller
	// has given up.
	answerShare = 2.0
	// copyMargin is how long before the next copy of a SYN is due its flow is not
	// refused any more: the copy may open it by another host, and a busy host
	// reads SYNs late.
	copyMargin = 100 * time.Millisecond
	// compactAbove is from how many entries on a stack is cleared of those
	// that are over.
	compactAbove = 256
)

// lane is a service's flows at a host. While the servers answer too late for the
// routes' objectives, a limit holds on how many of the host's flows they work
// for at a time, and new SYNs wait here: the newest goes first, since it can
// still be served in time, and one that has waited for too long goes when no
// other waits. Under first come, first served, all would be late.
//
// Newest first under overload is known from Maurer, "Fail at Scale" (ACM Queue,
// 2015).
type lane struct {
	// limit is 0 for none, and share this host's share of the slots.
	limit, share float64
	busy         int
	// peak is the most flows that the servers worked for in the window, and
	// held tells that a SYN had to wait in it.
	peak int
	held bool
	// lateSince is since when answers are late, 0 if they are not, and cutAt
	// when the limit was lowered last.
	lateSince, cutAt time.Duration
	answers          []float64
	windowAt         time.Duration
	// median is that of the latest window, and base what it is without
	// queues.
	median, base float64
	// fresh and late are the SYNs that wait, the newest last.
	fresh, late []waiting
	queued      bool
}

// waiting is a SYN that waits, unless the flow's serial has changed.
type waiting struct {
	flow   *flow
	serial uint32
}

// lane returns the lane of a service.
func (t *Table) lane(service string) *lane {
	l := t.lanes[service]
	if l == nil {
		l = &lane{answers: make([]float64, 0, windowAnswers), share: t.share(service)}
		t.lanes[service] = l
	}
	return l
}

// share returns this host's share of a service's slots.
func (t *Table) share(service string) float64 {
	slots := 0
	for _, s := range t.view.Usable[service] {
		slots += s.Slots
	}
	return float64(slots) / float64(t.hosts)
}

// SetHosts says how many hosts share the servers, this one included.
func (t *Table) SetHosts(n int) {
	t.hosts = max(1, n)
	for service, l := range t.lanes {
		l.share = t.share(service)
	}
}

// full reports whether new SYNs have to wait, late ones or others.
func (l *lane) full(late bool) bool {
	return l.limit > 0 && float64(l.busy) >= l.limit || late && float64(l.busy) >= l.share
}

// load notes that the servers work for n flows more.
func (l *lane) load(n int) {
	l.busy += n
	l.peak = max(l.peak, l.busy)
}

// answered notes the answer to a flow whose SYN went to a server at a time, by
// its time as a part of the route's objective. Answers to flows from before the
// latest cut say nothing of it.
func (l *lane) answered(now, sentAt time.Duration, part float64) {
	if sentAt < l.cutAt {
		return
	}
	l.answers = append(l.answers, part)
	n := len(l.answers)
	if n < windowAnswers && (n < windowFew || now-l.windowAt < windowTime) {
		return
	}
	l.judge(now)
	l.answers = l.answers[:0]
	l.windowAt, l.peak, l.held = now, l.busy, false
}

// judge changes the limit by the answers of a window.
func (l *lane) judge(now time.Duration) {
	slices.Sort(l.answers)
	median := l.answers[len(l.answers)/2]
	l.median = median
	l.learn(median)
	if median <= max(lateAbove, queuedAbove*l.base) {
		l.lateSince = 0
		if l.limit > 0 {
			l.raise()
		}
		return
	}
	if l.lateSince == 0 {
		l.lateSince = now
	}
	if l.limit > 0 || now-l.lateSince >= patience {
		l.lower(now, median)
	}
}

// learn takes a window's median into the base.
func (l *lane) learn(median float64) {
	weight := baseRises
	switch {
	case l.base == 0:
		weight = 1
	case median < l.base:
		weight = baseFalls
	case l.limit > 0:
		weight = baseLimited
	}
	l.base += weight * (median - l.base)
}

// raise lets more flows to the servers, and ends the limit if none waits for it.
func (l *lane) raise() {
	l.limit = max(l.limit+1, grow*l.limit)
	if !l.held && l.limit > freeAbove*float64(l.peak) {
		l.limit = 0
	}
}

// lower sets a limit at which the servers answer in time.
func (l *lane) lower(now time.Duration, median float64) {
	from := float64(l.peak)
	if l.limit > 0 {
		from = min(from, l.limit)
	}
	l.limit = max(minLimit, from*max(maxCut, max(goal, l.base)/median))
	l.cutAt = now
}

func push(stack []waiting, w waiting, late bool) []waiting {
	if len(stack) >= compactAbove {
		stack = slices.DeleteFunc(stack, func(w waiting) bool { return !w.waits(late) })
	}
	return append(stack, w)
}

// waits reports whether the SYN still waits, among the late ones or not.
func (w waiting) waits(late bool) bool {
	return w.flow.serial == w.serial && w.flow.tries == 0 && !w.flow.ended && w.flow.late == late
}

// next takes the SYN that goes next, or returns nil.
func (l *lane) next() *flow {
	if f := pop(&l.fresh, false); f != nil {
		return f
	}
	if l.full(true) {
		return nil
	}
	return pop(&l.late, true)
}

// pop takes the newest SYN of a stack that still waits, or returns nil.
func pop(stack *[]waiting, late bool) *flow {
	for len(*stack) > 0 {
		w := (*stack)[len(*stack)-1]
		*stack = (*stack)[:len(*stack)-1]
		if w.waits(late) {
			return w.flow
		}
	}
	return nil
}

// hasRoom reports whether a SYN that waits may go.
func (l *lane) hasRoom() bool {
	return len(l.fresh) > 0 && !l.full(false) || len(l.late) > 0 && !l.full(true)
}

// room reports whether a SYN that waits may go.
func (t *Table) room() bool { return slices.ContainsFunc(t.queued, (*lane).hasRoom) }
