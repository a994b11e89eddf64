package steer

import (
	"slices"
	"time"

	"lagoonramp.org/lagoonramp/pkg/fleet"
)

// holds decides whether a new flow's SYN waits at the host.
func (t *Table) holds(now time.Duration, f *flow, path *fleet.RouteState, p *Packet) bool {
	l := t.lane(f.service)
	f.late = p.Copy > 0
	if !l.full(f.late) {
		return false
	}
	f.lastAt = now
	f.lateEnd = now + t.lateWait(path) - p.Waited
	if l.limit == 0 {
		f.lateEnd = now + copyWait(path) - p.Waited
		if f.lateEnd <= now {
			return false
		}
	}
	l.held = true
	end := f.lateEnd
	if !f.late {
		end = min(end, now+time.Duration(freshShare*float64(path.Objective)))
	}
	t.enqueue(l, f)
	t.due.push(dueEntry{at: end, flow: f, serial: f.serial, kind: dueHold})
	return true
}

// lateWait returns the age up to which a SYN waits.
func (t *Table) lateWait(path *fleet.RouteState) time.Duration {
	if path.Timeout == 0 {
		return maxLateWait
	}
	return min(maxLateWait, time.Duration(lateShare*float64(path.Timeout)))
}

// copyWait returns the age up to which a copy of a SYN waits where there is no
// limit. What is left of the caller's time is for the server.
func copyWait(path *fleet.RouteState) time.Duration {
	if path.Timeout == 0 {
		return maxLateWait
	}
	return min(maxLateWait, path.Timeout-time.Duration(serveShare*float64(path.Objective)))
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
// becomes late, a late one is refused. If a copy may be on its way, it decides
// when that comes, or does not come.
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
	if end := f.copyEnd + copyMargin; f.copies > 0 && !f.refusable(now) && now < end {
		t.due.push(dueEntry{at: end, flow: f, serial: f.serial, kind: dueHold})
		return Resend{}, false
	}
	key, refuse := f.key, f.refusable(now)
	t.drop(f)
	return Resend{Key: key}, refuse
}

// heldCopy decides for a copy of a SYN that waits.
func (t *Table) heldCopy(now time.Duration, f *flow) Verdict {
	if now < f.lateEnd || t.lane(f.service).limit == 0 || !f.refusable(now) {
		return Verdict{Action: Hold}
	}
	t.drop(f)
	return Verdict{Action: Refuse, Reason: Overload}
}

// expect has a flow looked at whose answer may never be seen.
func (t *Table) expect(now time.Duration, f *flow) {
	if path := t.view.Routes[f.key.Service]; path != nil && path.Objective > 0 {
		end := now + time.Duration(answerShare*float64(path.Objective))
		t.due.push(dueEntry{at: end, flow: f, serial: f.serial, kind: dueAnswer})
	}
}
