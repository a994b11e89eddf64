package steer

import (
	"slices"
	"time"

	"lagoonramp.org/lagoonramp/pkg/fleet"
)

// holdIfFull holds the SYN of a new flow if its limiter is full, and reports
// whether it did. A SYN that is first seen as a retransmission is overdue from
// the start. If there is no limit and it is too old to be held, it is sent at
// once.
func (t *Table) holdIfFull(now time.Duration, f *flow, route *fleet.RouteState, p *Packet) bool {
	l := t.limiter(f.service)
	f.overdue = p.Retransmits > 0
	if !l.isFull(f.overdue) {
		return false
	}
	f.lastPacketAt = now
	f.holdDeadline = now + t.limitedHoldTime(route) - p.SinceFirst
	if l.limit == 0 {
		f.holdDeadline = now + overdueHoldTime(route) - p.SinceFirst
		if f.holdDeadline <= now {
			return false
		}
	}
	l.heldInWindow = true
	expiresAt := f.holdDeadline
	if !f.overdue {
		expiresAt = min(expiresAt, now+time.Duration(freshRatio*float64(route.Objective)))
	}
	t.enqueue(l, f)
	t.timers.push(timer{expiresAt: expiresAt, flow: f, generation: f.generation, kind: holdTimer})
	return true
}

// limitedHoldTime returns the age up to which a SYN is held while the service
// has a limit.
func (t *Table) limitedHoldTime(route *fleet.RouteState) time.Duration {
	if route.Timeout == 0 {
		return maxHold
	}
	return min(maxHold, time.Duration(maxHoldRatio*float64(route.Timeout)))
}

// overdueHoldTime returns the age up to which a retransmitted SYN is held while
// the service has no limit. The rest of the caller's timeout is left to the
// server.
func overdueHoldTime(route *fleet.RouteState) time.Duration {
	if route.Timeout == 0 {
		return maxHold
	}
	return min(maxHold, route.Timeout-time.Duration(serverTimeRatio*float64(route.Objective)))
}

// enqueue adds the held SYN of a flow to the queue of its service.
func (t *Table) enqueue(l *limiter, f *flow) {
	w := heldSYN{flow: f, generation: f.generation}
	if f.overdue {
		l.overdue = pushHeld(l.overdue, w, true)
	} else {
		l.fresh = pushHeld(l.fresh, w, false)
	}
	if !l.isListed {
		l.isListed = true
		t.holdingLimiters = append(t.holdingLimiters, l)
	}
}

// nextReleased returns a held SYN that its limiter admits now; ok is false if
// there is none.
func (t *Table) nextReleased(now time.Duration) (Resend, bool) {
	for _, l := range t.holdingLimiters {
		for l.canRelease() {
			f := l.popNext()
			if f == nil {
				break
			}
			if r, ok := t.release(now, f); ok {
				return r, true
			}
		}
	}
	t.holdingLimiters = slices.DeleteFunc(t.holdingLimiters, func(l *limiter) bool {
		l.isListed = len(l.fresh)+len(l.overdue) > 0
		return !l.isListed
	})
	return Resend{}, false
}

// release sends a held SYN to a server. If there is none, it deletes the flow, or
// defers the SYN if there are cold servers.
func (t *Table) release(now time.Duration, f *flow) (Resend, bool) {
	s := t.chooseServer(now, f.service, nil)
	if s == nil {
		return t.deferHeld(now, f)
	}
	t.recordSYNSent(now, f, s)
	n := copy(t.resendBuffer[:], f.rawSYN[:f.rawSYNSize])
	return Resend{Key: f.key, Server: s, RawSYN: t.resendBuffer[:n]}, true
}

// handleHoldTimeout handles the expiry of a hold. A fresh SYN becomes overdue.
// An overdue one is sent to a server if the service has no limit any more.
// Otherwise it is refused, or dropped if another host may have received the
// SYN. If a retransmission is due about now, that decision waits until it has
// arrived or should have.
func (t *Table) handleHoldTimeout(now time.Duration, f *flow) (Resend, bool) {
	if f.deferred {
		return Resend{}, false // Its other timer ends the hold.
	}
	if now < f.holdDeadline {
		f.overdue = true
		t.enqueue(t.limiter(f.service), f)
		t.timers.push(timer{expiresAt: f.holdDeadline, flow: f, generation: f.generation, kind: holdTimer})
		return Resend{}, false
	}
	if t.limiter(f.service).limit == 0 {
		return t.release(now, f)
	}
	if f.deferUnrefusable(now) {
		t.timers.push(timer{expiresAt: f.nextSYNAt + refusalMargin, flow: f, generation: f.generation, kind: holdTimer})
		return Resend{}, false
	}
	return t.endHold(now, f)
}

// endHold refuses a flow whose hold ends, or drops its SYN if another host may have
// received the SYN.
func (t *Table) endHold(now time.Duration, f *flow) (Resend, bool) {
	r, refuse := Resend{Key: f.key, OnlyCold: f.deferred}, f.canRefuse(now)
	t.deleteFlow(f)
	return r, refuse
}

// handleHeldRetransmission handles a retransmission of a held SYN. If the hold
// has ended, the service has a limit or the SYN is deferred, and no other host can have received the
// SYN, it refuses the flow. Otherwise the SYN stays held.
func (t *Table) handleHeldRetransmission(now time.Duration, f *flow) Verdict {
	if now < f.holdDeadline || !f.deferred && t.limiter(f.service).limit == 0 || !f.canRefuse(now) {
		return Verdict{Action: Hold}
	}
	reason := Overload
	if f.deferred {
		reason = ColdServers
	}
	t.deleteFlow(f)
	return Verdict{Action: Refuse, Reason: reason}
}

// startAnswerTimer sets the timer after which a flow is no longer in flight, since
// this host may never see the acknowledgement of its answer.
func (t *Table) startAnswerTimer(now time.Duration, f *flow) {
	if route := t.view.Routes[f.key.Service]; route != nil && route.Objective > 0 {
		t.timers.push(timer{expiresAt: now + answerTimeout(route), flow: f, generation: f.generation, kind: answerTimer})
	}
}

// answerTimeout returns the time after which an answer on a route is overdue.
func answerTimeout(route *fleet.RouteState) time.Duration {
	return time.Duration(answerTimeoutRatio * float64(route.Objective))
}

// isOverdue reports whether the answer to the pending request of a flow is
// overdue. It is false if the timer was set for an earlier request.
func (t *Table) isOverdue(now time.Duration, f *flow) bool {
	route := t.view.Routes[f.key.Service]
	return route == nil || now-f.requestedAt >= answerTimeout(route)
}
