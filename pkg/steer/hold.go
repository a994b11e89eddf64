package steer

import "time"

const (
	// holdStep is how often a held SYN is looked at.
	holdStep = 10 * time.Millisecond
	// maxHold bounds how long a SYN is held, which is the first copy: callers
	// send the second one 400 ms later and may give up soon after.
	maxHold = 120 * time.Millisecond
)

// SetHosts says how many hosts share the servers, this one included.
func (t *Table) SetHosts(n int) { t.hosts = max(1, n) }

// holds decides whether a new flow's SYN waits at the host. After an outage the
// callers' copies come together with new flows, and the servers cannot serve
// all at once. A copy belongs to a caller that waits for long already, mostly
// beyond the time that it hopes for; a new flow can still be served in time and
// goes first.
func (t *Table) holds(now time.Duration, f *flow, copies int) bool {
	if copies != 1 || !t.saturated(f.service) {
		return false
	}
	f.lastAt = now
	f.holdEnd = now + maxHold
	t.due.push(dueEntry{at: now + holdStep, flow: f, serial: f.serial})
	return true
}

// release sends a held SYN if the servers have room or it was held for long
// enough.
func (t *Table) release(now time.Duration, f *flow) (Resend, bool) {
	if now < f.holdEnd && t.saturated(f.service) {
		t.due.push(dueEntry{at: now + holdStep, flow: f, serial: f.serial})
		return Resend{}, false
	}
	s := t.choose(now, f.service, nil)
	if s == nil {
		t.drop(f)
		return Resend{}, false
	}
	t.send(now, f, s)
	n := copy(t.opening[:], f.opening[:f.length])
	return Resend{Key: f.key, Server: s, Opening: t.opening[:n]}, true
}

// saturated reports whether this host's flows take its share of a service's
// slots or more.
func (t *Table) saturated(service string) bool {
	busy, slots := 0, 0
	for _, s := range t.view.Usable[service] {
		slots += s.Slots
		busy += t.servers[s.Mark].busy
	}
	return busy*t.hosts >= slots
}
