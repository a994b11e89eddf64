package steer

import "time"

// flow is the state that a Table keeps on a flow.
type flow struct {
	key Key
	// sequence is the sequence number of the SYN or, if adopted is set, of the
	// first packet that this host saw. Another SYN starts a new flow.
	sequence uint32
	service  string
	// triedMarks holds the marks of the servers to which the SYN was sent, in
	// order.
	triedMarks [maxTries]uint32
	tries      int
	// pinnedMark is the mark of the server at which the flow opened, as far as
	// this host knows, 0 before.
	pinnedMark uint32
	// resentByTimeout reports whether a timeout has sent the SYN to another
	// server since the caller last sent it.
	resentByTimeout bool
	// sentAt is when the SYN was sent to the latest server, and lastPacketAt
	// when the latest packet arrived.
	sentAt, lastPacketAt time.Duration
	// overdue reports whether a held SYN has waited too long to be served in
	// time, and holdDeadline is when its hold ends.
	overdue      bool
	holdDeadline time.Duration
	// held is the entry among the held SYNs, and heldAt when the hold began.
	// heldByLink reports whether the SYN waits for the host's link and not for the
	// limiter.
	held       HeldSYN[*flow]
	heldAt     time.Duration
	heldByLink bool
	// deferred reports whether the held SYN waits for the turn of this host to feed
	// a cold server.
	deferred bool
	// synsSeen counts the SYNs received, if the first and all retransmissions
	// so far arrived at this host; otherwise it is -1. nextSYNAt is when the
	// next retransmission is due.
	synsSeen  int
	nextSYNAt time.Duration
	// inFlightMark is the mark of the server to which the flow is in flight, or
	// 0.
	inFlightMark uint32
	// requestPending reports whether a request waits for its answer. The
	// request began at requestedAt, with the acknowledgement number requestAck.
	requestPending bool
	requestedAt    time.Duration
	requestAck     uint32
	// answering reports whether an answer has begun since the latest request,
	// and answered whether any answer has begun.
	answering, answered bool
	// lastAck is the acknowledgement number of the latest packet, and packetMark
	// its mark. Both are valid if packetSeen is true.
	lastAck, packetMark uint32
	packetSeen          bool
	// dataEnd is the end of the data received so far, and dataAt when data last
	// extended it; 0 if there was none.
	dataEnd uint32
	dataAt  time.Duration
	// adopted reports whether the flow was opened through another host, or
	// before this host deleted its state. Its pin may be wrong until another host
	// announces one.
	adopted bool
	ended   bool
	// pinAnnounced reports whether the pin has been announced to other hosts, or
	// by one of them. pinReceived reports the latter.
	pinAnnounced, pinReceived bool
	// generation changes when the record is reused, which invalidates timers
	// of the former flow.
	generation uint32
	rawSYN     [maxSYNSize]byte
	rawSYNSize int
	nextFree   *flow
}

// newFlow adds the state of a flow to the table, reusing a free record if there
// is one.
func (t *Table) newFlow(p *Packet, service string, raw []byte) *flow {
	f := t.freeFlows
	if f == nil {
		f = &flow{}
	} else {
		t.freeFlows = f.nextFree
	}
	*f = flow{key: p.Key, sequence: p.Sequence, service: service, generation: f.generation}
	f.rawSYNSize = copy(f.rawSYN[:], raw)
	t.flows[p.Key] = f
	return f
}

// serverMark returns the mark of the server to which the packets of the flow go,
// or 0 before the first of them.
func (f *flow) serverMark() uint32 {
	if f.pinnedMark != 0 {
		return f.pinnedMark
	}
	return f.packetMark
}

// isSYN reports whether a SYN with a sequence number is one of the flow. The first
// packet after it, with which a flow may have been adopted, has the next number.
func (f *flow) isSYN(sequence uint32) bool {
	return f.sequence == sequence || f.adopted && f.sequence == sequence+1
}

// isSplit reports whether more than one server has probably received the SYN: this
// host sent it to two, another one received the first SYN and this one a later one,
// or two servers answered.
func (f *flow) isSplit() bool {
	return f.tries > 1 || f.pinAnnounced || f.synsSeen < 0 && !f.adopted
}

// mayBeSplit reports whether more than one server may have received the SYN: this
// host or another one may have sent it to a second one.
func (f *flow) mayBeSplit() bool { return f.isSplit() || f.synsSeen < 0 }

// needsServer reports whether the caller waits for an answer or may still be
// receiving one.
func (f *flow) needsServer() bool { return !f.ended && (f.requestPending || f.answering) }

// recordSYN counts a SYN of the flow. While every retransmission arrives at
// this host, no other host can have sent the SYN to a server, and the flow may
// be refused.
func (f *flow) recordSYN(now time.Duration, p *Packet) {
	switch p.Retransmits {
	case f.synsSeen:
		f.synsSeen++
		f.nextSYNAt = now + p.UntilNext
	case f.synsSeen - 1: // A duplicate of the latest SYN.
	default:
		f.synsSeen = -1
	}
}

// canRefuse reports whether no other host can have received the SYN so far or
// can receive a retransmission within refusalMargin.
func (f *flow) canRefuse(now time.Duration) bool {
	return f.synsSeen > 0 && now < f.nextSYNAt-refusalMargin
}

// awaitsRetransmission reports whether the end of a hold must wait until the next
// retransmission has arrived or should have, since the flow may be refused then.
func (f *flow) awaitsRetransmission(now time.Duration) bool {
	return f.synsSeen > 0 && !f.canRefuse(now) && now < f.nextSYNAt+refusalMargin
}

// deleteFlow deletes the state of a flow and keeps the record for reuse.
func (t *Table) deleteFlow(f *flow) {
	t.setInFlight(f, 0)
	t.unhold(f)
	t.endDeferral(f)
	delete(t.flows, f.key)
	f.generation++
	f.nextFree = t.freeFlows
	t.freeFlows = f
}

// sweep deletes idle flows. An idle flow that is kept longer, because more than
// one server may have received its SYN, is no longer in flight.
func (t *Table) sweep(now time.Duration) {
	t.nextSweepAt = now + sweepInterval
	for _, f := range t.flows {
		timeout := t.settings.IdleTimeout
		if f.mayBeSplit() && !f.ended {
			timeout = t.settings.SplitIdleTimeout
		}
		if now-f.lastPacketAt >= timeout {
			t.deleteFlow(f)
		} else if now-f.lastPacketAt >= t.settings.IdleTimeout {
			t.setInFlight(f, 0)
		}
	}
}

// setInFlight records that the flow is in flight to the server with mark m, and
// no longer to its previous one. Mark 0 stands for no server.
func (t *Table) setInFlight(f *flow, m uint32) {
	if f.inFlightMark == m {
		return
	}
	if h := t.health[f.inFlightMark]; h != nil && h.inFlight > 0 {
		h.inFlight--
	}
	if f.inFlightMark != 0 {
		t.limiter(f.service).addInFlight(-1)
	}
	f.inFlightMark = 0
	if h := t.health[m]; h != nil {
		h.inFlight++
		f.inFlightMark = m
		t.limiter(f.service).addInFlight(1)
	}
}
