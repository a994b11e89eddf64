package steer

import (
	"slices"
	"time"

	"lagoonramp.org/lagoonramp/pkg/fleet"
)

// holdIfFull holds the SYN of a new flow if its limiter is full or if SYNs are
// held that precede it, and reports whether it did. A SYN that is first seen as a
// retransmission is overdue from the start. If there is no limit and it is too old
// to be held, it is sent at once.
func (t *Table) holdIfFull(now time.Duration, f *flow, route *fleet.RouteState, p *Packet) bool {
	l := t.limiter(f.service)
	f.prepareHold(route, p)
	isFull := l.isFull(f.overdue)
	if !isFull && l.held.MayPass(&f.held, f.overdue) {
		return false
	}
	f.holdDeadline = now + t.limitedHoldTime(route) - p.SinceFirst
	if l.limit == 0 {
		f.holdDeadline = now + overdueHoldTime(route) - p.SinceFirst
		if f.holdDeadline <= now {
			return false
		}
	}
	l.heldInWindow = l.heldInWindow || isFull
	l.evictionPending = true
	t.startHold(now, f, route)
	return true
}

// prepareHold sets the rank of the SYN of a new flow among held ones.
func (f *flow) prepareHold(route *fleet.RouteState, p *Packet) {
	f.overdue = p.Retransmits > 0
	f.held = HeldSYN[*flow]{Owner: f, Priority: route.Priority, Route: f.key.Service, Caller: f.key.Caller.Addr()}
}

// startHold holds the SYN of a flow whose hold deadline is set.
func (t *Table) startHold(now time.Duration, f *flow, route *fleet.RouteState) {
	f.lastPacketAt, f.heldAt = now, now
	expiresAt := f.holdDeadline
	if !f.overdue {
		expiresAt = min(expiresAt, now+time.Duration(freshRatio*float64(route.Objective)))
	}
	t.enqueue(now, f)
	t.timers.push(timer{expiresAt: expiresAt, flow: f, generation: f.generation, kind: holdTimer})
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

// enqueue adds the held SYN of a flow to those of the link or of its service.
func (t *Table) enqueue(now time.Duration, f *flow) {
	if f.heldByLink {
		t.linkQueue.Push(&f.held, f.overdue)
		return
	}
	l := t.limiter(f.service)
	if l.held.Len() == 0 {
		l.releases.start(now)
	}
	l.held.Push(&f.held, f.overdue)
	if !l.isListed {
		l.isListed = true
		t.holdingLimiters = append(t.holdingLimiters, l)
	}
}

// unhold removes the SYN of a flow from the held ones if it is one of them.
func (t *Table) unhold(f *flow) {
	switch {
	case !f.held.IsHeld():
	case f.heldByLink:
		t.linkQueue.Remove(&f.held)
	default:
		t.limiter(f.service).held.Remove(&f.held)
	}
}

// mustWait reports whether the service of a held SYN has a limit or only cold
// servers, or the link that holds it is full.
func (t *Table) mustWait(f *flow) bool {
	return f.deferred || t.limiter(f.service).limit > 0 || f.heldByLink && t.link.isFull()
}

// nextReleased returns a held SYN that its limiter admits now, or else the refusal
// of one of too many; ok is false if there is neither.
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
		if r, ok := t.nextEvicted(now, l); ok {
			return r, true
		}
	}
	t.holdingLimiters = slices.DeleteFunc(t.holdingLimiters, func(l *limiter) bool {
		l.isListed = l.held.Len() > 0
		return !l.isListed
	})
	return Resend{}, false
}

// release sends a held SYN to a server. If there is none, it deletes the flow, and
// refuses it if no other host may have received the SYN, or defers the SYN if there
// are cold servers.
func (t *Table) release(now time.Duration, f *flow) (Resend, bool) {
	s := t.chooseServer(now, f.service, nil)
	if s == nil {
		return t.deferHeld(now, f)
	}
	return t.sendHeld(now, f, s), true
}

// sendHeld sends a held SYN to a server.
func (t *Table) sendHeld(now time.Duration, f *flow, s *fleet.Server) Resend {
	t.recordSYNSent(now, f, s)
	n := copy(t.resendBuffer[:], f.rawSYN[:f.rawSYNSize])
	return Resend{Key: f.key, Server: s, RawSYN: t.resendBuffer[:n]}
}

// handleHoldTimeout handles the expiry of a hold. A fresh SYN becomes overdue.
// An overdue one is sent to a server if it need not wait any more.
// Otherwise it is refused, or dropped if another host may have received the
// SYN. If a retransmission is due about now, that decision waits until it has
// arrived or should have.
func (t *Table) handleHoldTimeout(now time.Duration, f *flow) (Resend, bool) {
	if f.deferred {
		return Resend{}, false // Its other timer ends the hold.
	}
	if now < f.holdDeadline {
		f.overdue = true
		t.enqueue(now, f)
		t.timers.push(timer{expiresAt: f.holdDeadline, flow: f, generation: f.generation, kind: holdTimer})
		return Resend{}, false
	}
	if !t.mustWait(f) {
		return t.release(now, f)
	}
	if f.awaitsRetransmission(now) {
		t.timers.push(timer{expiresAt: f.nextSYNAt + refusalMargin, flow: f, generation: f.generation, kind: holdTimer})
		return Resend{}, false
	}
	return t.endHold(now, f)
}

// endHold refuses a flow whose hold ends, or drops its SYN if another host may have
// received the SYN.
func (t *Table) endHold(now time.Duration, f *flow) (Resend, bool) {
	refuse := f.canRefuse(now)
	return t.refuseHeld(now, f, f.holdReason()), refuse
}

// holdReason returns the reason for a refusal at the end of a hold.
func (f *flow) holdReason() Reason {
	if f.deferred {
		return ColdServers
	}
	return Overload
}

// refuseHeld deletes a flow whose SYN is held and returns its refusal.
func (t *Table) refuseHeld(now time.Duration, f *flow, reason Reason) Resend {
	r := Resend{Key: f.key, Reason: reason, Priority: f.held.Priority, Waited: now - f.heldAt, LinkFull: f.heldByLink}
	t.deleteFlow(f)
	return r
}

// handleHeldRetransmission handles a retransmission of a held SYN. If the hold
// has ended, the SYN must still wait and no other host can have received the
// SYN, it refuses the flow. Otherwise the SYN stays held.
func (t *Table) handleHeldRetransmission(now time.Duration, f *flow) Verdict {
	if now < f.holdDeadline || !t.mustWait(f) || !f.canRefuse(now) {
		return Verdict{Action: Hold, Priority: f.held.Priority}
	}
	r := t.refuseHeld(now, f, f.holdReason())
	return Verdict{Action: Refuse, Reason: r.Reason, Priority: r.Priority, Waited: r.Waited, LinkFull: r.LinkFull}
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
