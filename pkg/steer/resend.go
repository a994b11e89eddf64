package steer

import (
	"time"

	"lagoonramp.org/lagoonramp/pkg/fleet"
)

// recordSYNSent records that the SYN of a flow is sent to a server.
func (t *Table) recordSYNSent(now time.Duration, f *flow, s *fleet.Server) {
	t.unhold(f)
	t.endDeferral(f)
	t.recordColdSYN(now, s, true)
	if f.tries == 0 {
		t.limiter(f.service).releases.record(now)
		t.link.recordFlow(now, f.key.Service)
	}
	f.triedMarks[f.tries] = s.Mark
	f.tries++
	f.sentAt = now
	f.lastPacketAt = now
	t.setInFlight(f, s.Mark)
	if h := t.health[s.Mark]; h.isSuspect() {
		h.retryAt = now + maxBackoff // No further probe while this one is pending.
	}
	t.timers.push(timer{expiresAt: now + t.estimator(s.DataCentre).timeout(), flow: f, generation: f.generation, kind: handshakeTimer})
}

// NextDeadline returns when NextResend must be called next; ok is false if no
// timer is set and no SYN can be released.
func (t *Table) NextDeadline() (at time.Duration, ok bool) {
	if t.canRelease() || t.mayEvict() {
		return 0, true
	}
	for len(t.timers) > 0 {
		if e := &t.timers[0]; !e.isStale() {
			return min(e.expiresAt, t.linkDeadline()), true
		}
		t.timers.pop()
	}
	return 0, false
}

// NextResend returns the next stored SYN to be sent or refused by now; ok is
// false if there is none. Call it after all received packets have been handled,
// so that a host that was paused does not mistake its own delay for that of the
// servers.
func (t *Table) NextResend(now time.Duration) (r Resend, ok bool) {
	for len(t.timers) > 0 && t.timers[0].expiresAt <= now {
		e := t.timers.pop()
		f := e.flow
		if e.isStale() {
			continue
		}
		switch e.kind {
		case holdTimer:
			r, ok = t.handleHoldTimeout(now, f)
		case coldTimer:
			r, ok = t.handleColdTimeout(now, f)
		case answerTimer:
			if t.isOverdue(now, f) {
				t.setInFlight(f, 0)
				t.checkOverdue(now, f)
			}
		case overdueTimer:
			if t.isOverdue(now, f) {
				t.checkOverdue(now, f)
			}
		case handshakeTimer:
			r, ok = t.resendAfterTimeout(now, f)
		}
		if ok {
			return r, true
		}
	}
	if r, ok = t.nextFromLink(now); ok {
		return r, true
	}
	return t.nextReleased(now)
}

// resendAfterTimeout sends the SYN of a flow to another server, at most once
// for each transmission by the caller. If two servers do not answer one after
// the other, it is more likely that routers have moved the flow to another host,
// which sees the packets that this host misses. Each further server that got the
// SYN would answer too, and its answer could move the flow from the server at
// which it opened. While the service has a limit, the SYN of an overdue flow is
// not resent either, since its caller has probably given up.
func (t *Table) resendAfterTimeout(now time.Duration, f *flow) (Resend, bool) {
	mayBeRerouted := f.resentByTimeout || now < t.reroutingEnd
	callerGaveUp := f.overdue && t.limiter(f.service).limit > 0
	if mayBeRerouted || callerGaveUp || f.tries >= t.settings.MaxTries {
		t.setInFlight(f, 0)
		return Resend{}, false
	}
	f.resentByTimeout = true
	unresponsive := f.triedMarks[f.tries-1]
	s := t.failOver(now, f)
	if s == nil {
		return Resend{}, false
	}
	n := copy(t.resendBuffer[:], f.rawSYN[:f.rawSYNSize])
	return Resend{Key: f.key, Server: s, Unresponsive: t.view.ServersByMark[unresponsive], RawSYN: t.resendBuffer[:n]}, true
}

// recordUnansweredSYN requests a probe of the server that did not answer the SYN
// of a flow, if other callers wait for that server on open flows.
func (t *Table) recordUnansweredSYN(now time.Duration, f *flow) {
	s := t.view.ServersByMark[f.triedMarks[f.tries-1]]
	if s != nil && t.mayProbe(now, s) && t.hasResettable(s.Mark) {
		t.recordSilence(now, f.sentAt, s)
	}
}

// recordUnansweredTry records that the latest server did not answer the SYN of a
// flow in time.
func (t *Table) recordUnansweredTry(now time.Duration, f *flow) {
	if h := t.health[f.triedMarks[f.tries-1]]; h != nil {
		h.recordUnanswered(now, f.sentAt)
		t.recordUnansweredSYN(now, f)
	}
}

// failOver records that the latest server did not answer the SYN of a flow, and
// returns the next server for it, or nil if none is left.
func (t *Table) failOver(now time.Duration, f *flow) *fleet.Server {
	t.recordUnansweredTry(now, f)
	s := t.chooseServer(now, f.service, f)
	if s != nil {
		t.recordSYNSent(now, f, s)
	}
	return s
}
