package steer

import (
	"time"

	"lagoonramp.org/lagoonramp/pkg/fleet"
)

// send notes that a flow's SYN goes to a server.
func (t *Table) send(now time.Duration, f *flow, s *fleet.Server) {
	f.tried[f.tries] = s.Mark
	f.tries++
	f.sentAt = now
	f.lastAt = now
	t.setBusy(f, s.Mark)
	if h := t.servers[s.Mark]; h.suspect() {
		h.retryAt = now + maxRest
	}
	t.due.push(dueEntry{at: now + t.centre(s.DataCentre).wait(), flow: f, serial: f.serial, kind: dueHandshake})
}

// NextDue returns when Due has something to do; ok is false if nothing waits.
func (t *Table) NextDue() (at time.Duration, ok bool) {
	if t.room() {
		return 0, true
	}
	for len(t.due) > 0 {
		if e := &t.due[0]; !e.over() {
			return e.at, true
		}
		t.due.pop()
	}
	return 0, false
}

// Due returns the next SYN that is to be sent to another server by now. It is
// to be called after all packets that wait have been handled, so that a host
// that was paused does not take its own delay for the servers'.
func (t *Table) Due(now time.Duration) (r Resend, ok bool) {
	for len(t.due) > 0 && t.due[0].at <= now {
		e := t.due.pop()
		f := e.flow
		if e.over() {
			continue
		}
		switch e.kind {
		case dueHold:
			r, ok = t.holdEnded(now, f)
		case dueAnswer:
			t.setBusy(f, 0)
		case dueHandshake:
			r, ok = t.resend(now, f)
		}
		if ok {
			return r, true
		}
	}
	return t.released(now)
}

// resend sends a flow's SYN to another server, once for each time that the
// caller sends it. If two servers stay silent, routers have rather moved the
// flow to a host that sees what this one misses: each further server that gets
// the SYN would answer too, and may take the flow away from the one where it
// opened.
func (t *Table) resend(now time.Duration, f *flow) (Resend, bool) {
	moved := f.timed || now < t.unsettledEnd
	callerLeft := f.late && t.lane(f.service).limit > 0
	if moved || callerLeft || f.tries >= t.set.Tries {
		t.setBusy(f, 0)
		return Resend{}, false
	}
	f.timed = true
	silent := f.tried[f.tries-1]
	s := t.sendOn(now, f)
	if s == nil {
		return Resend{}, false
	}
	n := copy(t.opening[:], f.opening[:f.length])
	return Resend{Key: f.key, Server: s, Silent: t.view.ServersByMark[silent], Opening: t.opening[:n]}, true
}

// sendOn notes that the latest server of a flow's SYN did not answer, and
// returns the one that gets it next, or nil if none is left.
func (t *Table) sendOn(now time.Duration, f *flow) *fleet.Server {
	if h := t.servers[f.tried[f.tries-1]]; h != nil {
		h.unanswered(now, f.sentAt)
	}
	s := t.choose(now, f.service, f)
	if s != nil {
		t.send(now, f, s)
	}
	return s
}
