package steer

import "time"

// flow is what is remembered of a flow.
type flow struct {
	key Key
	// sequence is that of the SYN; another one begins a new flow.
	sequence uint32
	service  string
	// tried holds the marks of the servers that got the SYN, in order.
	tried [maxTries]uint32
	tries int
	// pinned is the mark of the server at which the flow opened, 0 before.
	pinned uint32
	// timed tells that the SYN went to another server since its caller sent it
	// last.
	timed bool
	// sentAt is when the SYN went to the latest server and lastAt when the
	// latest packet came.
	sentAt, lastAt time.Duration
	// late tells that a SYN that waits at the host has done so for too long to
	// be served in time, and lateEnd up to when it waits.
	late    bool
	lateEnd time.Duration
	// copies is how many copies of the SYN came here, counted from the first,
	// or -1 if one went elsewhere; copyEnd is when the next one is due.
	copies  int
	copyEnd time.Duration
	// busy is the mark of the server that is taken to work for the flow, or 0.
	busy uint32
	// asked tells that a request waits for its answer, since askedAt, when the
	// caller had acknowledged askedAck.
	asked    bool
	askedAt  time.Duration
	askedAck uint32
	ended    bool
	// told tells that other hosts were told the pin.
	told bool
	// serial tells a new use of the record from entries of the heap.
	serial  uint32
	opening [maxOpening]byte
	length  int
	next    *flow
}

// newFlow begins to remember a flow.
func (t *Table) newFlow(p *Packet, service string, raw []byte) *flow {
	f := t.free
	if f == nil {
		f = &flow{}
	} else {
		t.free = f.next
	}
	*f = flow{key: p.Key, sequence: p.Sequence, service: service, serial: f.serial}
	f.length = copy(f.opening[:], raw)
	t.flows[p.Key] = f
	return f
}

// noteCopy notes a copy of a SYN. While all of them come here, no other host can
// have sent one to a server, and the flow may be refused.
func (f *flow) noteCopy(now time.Duration, p *Packet) {
	switch p.Copy {
	case f.copies:
		f.copies++
		f.copyEnd = now + p.Next
	case f.copies - 1: // It came twice.
	default:
		f.copies = -1
	}
}

// refusable reports whether no other host can have got a copy of the SYN, nor
// gets one within the margin.
func (f *flow) refusable(now time.Duration) bool {
	return f.copies > 0 && now < f.copyEnd-copyMargin
}

// drop forgets a flow.
func (t *Table) drop(f *flow) {
	t.setBusy(f, 0)
	delete(t.flows, f.key)
	f.serial++
	f.next = t.free
	t.free = f
}

// sweep forgets flows without packets.
func (t *Table) sweep(now time.Duration) {
	t.sweepAt = now + sweepEvery
	for _, f := range t.flows {
		limit := t.set.Forget
		if f.tries > 1 && !f.ended {
			limit = t.set.ForgetSplit
		}
		if now-f.lastAt >= limit {
			t.drop(f)
		} else if now-f.lastAt >= t.set.Forget {
			t.setBusy(f, 0)
		}
	}
}

// setBusy moves the load of a flow to a server, 0 for none.
func (t *Table) setBusy(f *flow, m uint32) {
	if f.busy == m {
		return
	}
	if h := t.servers[f.busy]; h != nil && h.busy > 0 {
		h.busy--
	}
	if f.busy != 0 {
		t.lane(f.service).load(-1)
	}
	f.busy = 0
	if h := t.servers[m]; h != nil {
		h.busy++
		f.busy = m
		t.lane(f.service).load(1)
	}
}
