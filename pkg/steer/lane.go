package steer

import (
	"slices"
	"time"

	"lagoonramp.org/lagoonramp/pkg/fleet"
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
	// copyWait is how long the first copy of a SYN waits at most where there
	// is no limit: callers send the second one 400 ms later and may give up
	// soon after.
	copyWait = 120 * time.Millisecond
	// answerShare is the part of the objective after which a flow does not
	// count as load any more: its answer went by another host, or its caller
	// has given up.
	answerShare = 2.0
	// copyMargin is how long before the next copy of a SYN is due its flow is not
	// refused any more: the copy may open it by another host.
	copyMargin = 20 * time.Millisecond
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
	// median is that of the latest window.
	median float64
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
	if median <= lateAbove {
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
	l.limit = max(minLimit, from*max(maxCut, goal/median))
	l.cutAt = now
}

// holds decides whether a new flow's SYN waits at the host.
func (t *Table) holds(now time.Duration, f *flow, path *fleet.Path, p *Packet) bool {
	l := t.lane(f.service)
	objective := time.Duration(freshShare * float64(path.Objective))
	f.late = p.Copy > 0 || path.Objective > 0 && p.Waited >= objective
	if !l.full(f.late) {
		return false
	}
	f.lastAt = now
	f.lateEnd = now + t.lateWait(path) - p.Waited
	if l.limit == 0 {
		if p.Copy > 1 {
			return false
		}
		f.lateEnd = now + copyWait
	}
	l.held = true
	end := f.lateEnd
	if !f.late {
		end = min(end, now+objective)
	}
	t.enqueue(l, f)
	t.due.push(dueEntry{at: end, flow: f, serial: f.serial, kind: dueHold})
	return true
}

// expect has a flow looked at whose answer may never be seen.
func (t *Table) expect(now time.Duration, f *flow) {
	if path := t.view.Routes[f.key.Service]; path != nil && path.Objective > 0 {
		end := now + time.Duration(answerShare*float64(path.Objective))
		t.due.push(dueEntry{at: end, flow: f, serial: f.serial, kind: dueAnswer})
	}
}

// lateWait returns the age up to which a SYN waits.
func (t *Table) lateWait(path *fleet.Path) time.Duration {
	if path.Timeout == 0 {
		return maxLateWait
	}
	return min(maxLateWait, time.Duration(lateShare*float64(path.Timeout)))
}

// enqueue puts a held flow's SYN into its lane.
func (t *Table) enqueue(l *lane, f *flow) {
	w := waiting{flow: f, serial: f.serial}
	if f.late {
		l.late = push(l.late, w, true)
	} else {
		l.fresh = push(l.fresh, w, false)
	}
	if !l.queued {
		l.queued = true
		t.queued = append(t.queued, l)
	}
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

// released returns a held SYN for which there is room now; ok is false if there
// is none.
func (t *Table) released(now time.Duration) (Resend, bool) {
	for _, l := range t.queued {
		for l.hasRoom() {
			f := l.next()
			if f == nil {
				break
			}
			if r, ok := t.release(now, f); ok {
				return r, true
			}
		}
	}
	t.queued = slices.DeleteFunc(t.queued, func(l *lane) bool {
		l.queued = len(l.fresh)+len(l.late) > 0
		return !l.queued
	})
	return Resend{}, false
}

// room reports whether a SYN that waits may go.
func (t *Table) room() bool { return slices.ContainsFunc(t.queued, (*lane).hasRoom) }

// release sends a held SYN.
func (t *Table) release(now time.Duration, f *flow) (Resend, bool) {
	s := t.choose(now, f.service, nil)
	if s == nil {
		t.drop(f)
		return Resend{}, false
	}
	t.send(now, f, s)
	n := copy(t.opening[:], f.opening[:f.length])
	return Resend{Key: f.key, Server: s, Opening: t.opening[:n]}, true
}

// holdEnded decides for a SYN that has waited for as long as it may: a fresh one
// becomes late, a late one is refused.
func (t *Table) holdEnded(now time.Duration, f *flow) (Resend, bool) {
	if now < f.lateEnd {
		f.late = true
		t.enqueue(t.lane(f.service), f)
		t.due.push(dueEntry{at: f.lateEnd, flow: f, serial: f.serial, kind: dueHold})
		return Resend{}, false
	}
	if t.lane(f.service).limit == 0 {
		return t.release(now, f)
	}
	key, mine := f.key, f.copies > 0 && now < f.copyEnd-copyMargin
	t.drop(f)
	return Resend{Key: key}, mine
}

// noteCopy notes a copy of a SYN. While all of them come here, no other host can
// have sent one to a server, and the flow may be refused.
func (f *flow) noteCopy(now time.Duration, p *Packet) {
	switch p.Copy {
	case f.copies:
		f.copies++
	case f.copies - 1: // It came twice.
	default:
		f.copies = -1
	}
	f.copyEnd = now + p.Next
}
