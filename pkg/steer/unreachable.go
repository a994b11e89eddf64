package steer

import (
	"cmp"
	"slices"
	"time"

	"lagoonramp.org/lagoonramp/pkg/fleet"
)

// This file decides which servers are unreachable, so that open flows to them
// are reset.
//
// Load pattern: callers keep flows open for many requests, or wait for an
// answer, when their server crashes or its data centre is cut off. The server
// sends no reset, so each caller would wait until its deadline. After a reset,
// the caller of an idempotent route repeats the request on a new flow.
//
// Silence is only a reason to probe a server: the packets of one flow may be
// lost, the host may have been paused or its link may be full, or the server may
// be slow. A server is unreachable if a probe fails while another server, the
// reference, is reached in less time, and the server has not answered any packet
// since the probe began. A data centre is unreachable if that holds for several
// of its servers, among them those that answered last. New flows avoid it, but that
// alone resets no flow: all servers of one service may have crashed while those of
// another one live. Each server with open flows is probed itself.

const (
	// minSilence is the least time between the first transmission of data and a
	// retransmission for the server to count as silent. Data that was queued at
	// this host arrives together with its retransmission.
	minSilence = 150 * time.Millisecond
	// unreachableHold is how long a server stays unreachable after a failed
	// probe. Flows that are still open continue after that.
	unreachableHold = 2 * time.Second
	// initialProbeInterval is the least time between two probes of a server. It
	// doubles with each probe that is not answered up to maxProbeInterval, which
	// must be less than unreachableHold.
	initialProbeInterval = 400 * time.Millisecond
	maxProbeInterval     = 1600 * time.Millisecond
	// answeredProbeInterval is the least time between a successful probe of a
	// server and the next one.
	answeredProbeInterval = 2 * time.Second
	// minReferenceTimeout is the least timeout of a connection to a reference.
	minReferenceTimeout = 25 * time.Millisecond
	// minSilentServers is the number of unreachable servers of a data centre from
	// which on centreProbes more are probed, those that answered last. If all of
	// these are unreachable too, the data centre is.
	minSilentServers = 3
	centreProbes     = 8
)

// Probe is a request to probe whether a server accepts connections.
type Probe struct {
	Server *fleet.Server
	// Reference is a server to be probed at the same time. If it is not reached
	// either, the fault is more likely to be at this host. If Reference is nil, one
	// connection is enough, and its failure is inconclusive: no flow depends on it.
	Reference *fleet.Server
	// Timeout is the timeout of each connection to the server, and
	// ReferenceTimeout that of one to the reference. It is at most half as long, so
	// that a delay at this host affects the reference first.
	Timeout, ReferenceTimeout time.Duration
	// StartedAt is when the probe was requested.
	StartedAt time.Duration
}

// Reset is the reset of an open flow, whose server is unreachable.
type Reset struct {
	Key Key
	// Sequence is the acknowledgement number of the caller's latest packet,
	// which the caller requires as the sequence number of the reset.
	Sequence uint32
	Server   *fleet.Server
}

// reachability is the state of the probes of a server.
type reachability struct {
	// probing is set while a probe is pending, and unansweredProbes counts the
	// probes since the latest answer.
	probing          bool
	unansweredProbes int
	// nextProbeAt is the earliest time of the next probe with a reference, and
	// nextSimpleProbeAt that of the next one without.
	nextProbeAt, nextSimpleProbeAt time.Duration
	// answeredAt is when a probe was last answered.
	answeredAt time.Duration
	// silentSince is when the first packet was sent that the server did not
	// answer before the latest failed probe, or 0.
	silentSince time.Duration
	// unreachableUntil is when the server no longer counts as unreachable, or 0.
	unreachableUntil time.Duration
}

// recordReachable records that the server is reachable.
func (r *reachability) recordReachable() {
	r.unansweredProbes, r.unreachableUntil, r.silentSince = 0, 0, 0
}

// centreReachability is the state of a data centre.
type centreReachability struct {
	// lastAnswerAt is when any of its servers last answered.
	lastAnswerAt time.Duration
	// unreachableUntil is when the data centre no longer counts as unreachable,
	// or 0.
	unreachableUntil time.Duration
}

// recordReachable records that a server of the data centre answered.
func (c *centreReachability) recordReachable(now time.Duration) {
	c.lastAnswerAt, c.unreachableUntil = now, 0
}

// centre returns the state of a data centre.
func (t *Table) centre(dataCentre string) *centreReachability {
	c := t.centres[dataCentre]
	if c == nil {
		c = &centreReachability{}
		t.centres[dataCentre] = c
	}
	return c
}

// isUnreachable reports whether a server probably does not receive packets, by
// what is known of it or of its data centre.
func (t *Table) isUnreachable(now time.Duration, s *fleet.Server) bool {
	return t.isShownUnreachable(now, s) || t.isCentreUnreachable(now, s.DataCentre)
}

// isShownUnreachable reports whether a server does not receive packets, by what is
// known of the server itself.
func (t *Table) isShownUnreachable(now time.Duration, s *fleet.Server) bool {
	if s.Replaced {
		return true
	}
	h := t.health[s.Mark]
	return h != nil && now < h.reachability.unreachableUntil
}

// isCentreUnreachable reports whether a data centre counts as unreachable.
func (t *Table) isCentreUnreachable(now time.Duration, dataCentre string) bool {
	c := t.centres[dataCentre]
	return c != nil && now < c.unreachableUntil
}

// recordSilence requests a probe of a server that has not answered a packet
// sent at sentAt.
func (t *Table) recordSilence(now, sentAt time.Duration, s *fleet.Server) {
	h := t.health[s.Mark]
	if h == nil || h.lastAnswerAt >= sentAt {
		return
	}
	if h.reachability.silentSince == 0 {
		h.reachability.silentSince = sentAt
	}
	t.requestProbe(now, s)
}

// mayProbe reports whether a server may be probed with a reference: no probe is
// pending, and the latest one was not recent.
func (t *Table) mayProbe(now time.Duration, s *fleet.Server) bool {
	h := t.health[s.Mark]
	return h != nil && !h.reachability.probing && now >= h.reachability.nextProbeAt
}

// requestProbe requests a probe of a server that shows whether its flows are to be
// reset, if it may be probed.
func (t *Table) requestProbe(now time.Duration, s *fleet.Server) {
	if !t.mayProbe(now, s) {
		return
	}
	if reference := t.chooseReference(now, s); reference != nil {
		t.addProbe(now, s, reference)
	}
}

// requestSimpleProbe requests a probe that shows whether a suspect server can be
// reached again, unless a probe is pending or the latest one was recent.
func (t *Table) requestSimpleProbe(now time.Duration, s *fleet.Server) {
	if r := &t.health[s.Mark].reachability; !r.probing && now >= r.nextSimpleProbeAt {
		t.addProbe(now, s, nil)
	}
}

func (t *Table) addProbe(now time.Duration, s, reference *fleet.Server) {
	p := Probe{Server: s, Reference: reference, StartedAt: now, ReferenceTimeout: minReferenceTimeout}
	if reference != nil {
		p.ReferenceTimeout = max(p.ReferenceTimeout, t.estimator(reference.DataCentre).timeout())
	}
	p.Timeout = 2 * max(p.ReferenceTimeout, t.estimator(s.DataCentre).timeout())
	t.health[s.Mark].reachability.probing = true
	t.newProbes = append(t.newProbes, p)
}

// chooseReference returns the reference for a probe of s: the server that
// answered last, preferably outside the data centre of s. It returns nil if there
// is no other server. A server of an evacuated data centre is no reference, since it
// may be stopped at any time.
func (t *Table) chooseReference(now time.Duration, s *fleet.Server) *fleet.Server {
	var best *fleet.Server
	for m, h := range t.health {
		other := t.view.ServersByMark[m]
		if other == nil || other == s || other.Departed || t.view.Evacuated[other.DataCentre] || h.isSuspect() || t.isUnreachable(now, other) {
			continue
		}
		if best == nil || t.isBetterReference(now, s, other, best) {
			best = other
		}
	}
	return best
}

// isBetterReference reports whether a is a better reference than b for a probe
// of s. Between servers that are equal otherwise, the choice varies with time, in
// case one of them does not answer.
func (t *Table) isBetterReference(now time.Duration, s, a, b *fleet.Server) bool {
	aOutside, bOutside := a.DataCentre != s.DataCentre, b.DataCentre != s.DataCentre
	if aOutside != bOutside {
		return aOutside
	}
	aAnswered, bAnswered := t.health[a.Mark].lastAnswerAt, t.health[b.Mark].lastAnswerAt
	if aAnswered != bAnswered {
		return aAnswered > bAnswered
	}
	return a.Mark^uint32(now) < b.Mark^uint32(now)
}

// TakeProbes returns the probes requested since the last call. The application
// passes each result to RecordProbe.
func (t *Table) TakeProbes() []Probe {
	out := t.newProbes
	t.newProbes = nil
	return out
}

// ProbeResult is the result of a probe.
type ProbeResult uint8

// The results of probes.
const (
	// ProbeInconclusive means that neither the server nor the reference, if any,
	// was reached, or that the host was paused.
	ProbeInconclusive ProbeResult = iota
	// ProbeAnswered means that the server accepted a connection.
	ProbeAnswered
	// ProbeFailed means that the reference accepted a connection in time and the
	// server none.
	ProbeFailed
)

var probeResultNames = [...]string{"inconclusive", "answered", "failed"}

// String returns the name of the result.
func (r ProbeResult) String() string { return probeResultNames[r] }

// RecordProbe records the result of a probe. If the server is now unreachable,
// NextReset returns its flows.
func (t *Table) RecordProbe(now time.Duration, p Probe, result ProbeResult) {
	h := t.health[p.Server.Mark]
	if h == nil || !h.started.Equal(p.Server.Started) {
		return
	}
	r := &h.reachability
	r.probing = false
	r.unansweredProbes++
	r.nextSimpleProbeAt = now + min(initialProbeInterval<<min(r.unansweredProbes-1, 10), maxProbeInterval)
	if p.Reference != nil {
		r.nextProbeAt = r.nextSimpleProbeAt
	}
	switch {
	case result == ProbeInconclusive:
	case result == ProbeAnswered || h.lastAnswerAt > p.StartedAt:
		r.recordReachable()
		h.cold.recordAnswer(now)
		r.answeredAt = now
		r.nextProbeAt = now + answeredProbeInterval
		r.nextSimpleProbeAt = r.nextProbeAt
		t.centre(p.Server.DataCentre).recordReachable(now)
	default:
		t.recordUnreachable(now, p, h)
	}
}

// recordUnreachable records a failed probe of a server that has not answered
// since the probe was requested.
func (t *Table) recordUnreachable(now time.Duration, p Probe, h *Health) {
	r := &h.reachability
	if r.silentSince == 0 {
		r.silentSince = p.StartedAt
	}
	r.unreachableUntil = now + unreachableHold
	h.recordUnanswered(now, p.StartedAt)
	t.queueResets(func(s *fleet.Server) bool { return s.Mark == p.Server.Mark })
	t.updateCentre(now, p.Server.DataCentre)
}

// updateCentre decides whether a data centre is unreachable, after a probe of one
// of its servers failed. If several servers have fallen silent since any last
// answered, it probes more of them. While others answer, the data centre is
// reachable, however many servers crash.
func (t *Table) updateCentre(now time.Duration, dataCentre string) {
	c := t.centre(dataCentre)
	silent := 0
	var others []*fleet.Server
	for m, h := range t.health {
		s := t.view.ServersByMark[m]
		if s == nil || s.DataCentre != dataCentre || s.Departed {
			continue
		}
		if r := &h.reachability; now < r.unreachableUntil && r.silentSince > c.lastAnswerAt {
			silent++
			continue
		}
		others = append(others, s)
	}
	if silent < min(minSilentServers, silent+len(others)) {
		return
	}
	if len(others) == 0 && silent > 1 || silent >= minSilentServers+centreProbes {
		c.unreachableUntil = now + unreachableHold
		t.probeResettable(now, others)
		return
	}
	if t.view.Evacuated[dataCentre] {
		t.probeResettable(now, others) // New flows avoid the others in any case.
		return
	}
	slices.SortFunc(others, func(a, b *fleet.Server) int {
		return cmp.Or(cmp.Compare(t.health[b.Mark].lastAnswerAt, t.health[a.Mark].lastAnswerAt), cmp.Compare(a.Mark, b.Mark))
	})
	for _, s := range others[:min(centreProbes, len(others))] {
		t.requestProbe(now, s)
	}
}

// probeResettable requests probes of those servers with open flows that may be reset.
func (t *Table) probeResettable(now time.Duration, servers []*fleet.Server) {
	for _, s := range servers {
		if t.mayProbe(now, s) && t.hasResettable(s.Mark) {
			t.requestProbe(now, s)
		}
	}
}

// pendingReset refers to a flow to be reset. It is stale if the generation of the
// flow has changed.
type pendingReset struct {
	flow       *flow
	generation uint32
}

// queueResets queues the flows whose callers wait for a server that include
// selects.
func (t *Table) queueResets(include func(*fleet.Server) bool) {
	for _, f := range t.flows {
		if s := t.view.ServersByMark[f.serverMark()]; s != nil && f.needsServer() && include(s) {
			t.pendingResets = append(t.pendingResets, pendingReset{flow: f, generation: f.generation})
		}
	}
}

// NextReset returns the next open flow to be reset because its server has
// become unreachable; ok is false if there is none.
func (t *Table) NextReset(now time.Duration) (r Reset, ok bool) {
	for len(t.pendingResets) > 0 {
		last := len(t.pendingResets) - 1
		f, generation := t.pendingResets[last].flow, t.pendingResets[last].generation
		t.pendingResets = t.pendingResets[:last]
		if f.generation != generation || !f.needsServer() {
			continue
		}
		s := t.view.ServersByMark[f.serverMark()]
		if s == nil || !t.canReset(now, f.key, s) {
			continue
		}
		t.recordReset(f)
		return Reset{Key: f.key, Sequence: f.lastAck, Server: s}, true
	}
	return Reset{}, false
}

// canReset reports whether an open flow to a server may be reset: the server is
// unreachable, the caller may repeat its request, and another server can serve
// it. If no server is reachable, it is more likely that this host is cut off.
func (t *Table) canReset(now time.Duration, k Key, s *fleet.Server) bool {
	route := t.view.Routes[k.Service]
	if route == nil || !route.Idempotent || !t.isShownUnreachable(now, s) {
		return false
	}
	for _, target := range route.Targets {
		for _, other := range t.view.Usable[target.Service] {
			if !t.health[other.Mark].isSuspect() && !t.isUnreachable(now, other) {
				return true
			}
		}
	}
	return false
}

// recordReset records that a flow is reset. Its state is kept: if the reset is
// lost, the caller's next packet is answered by another one.
func (t *Table) recordReset(f *flow) {
	f.requestPending, f.answering = false, false
	t.setInFlight(f, 0)
}

// checkOverdue requests a probe of the server of a request that has had no
// answer for a long time, unless the server has answered other packets lately.
// If the server acknowledged the request before it became unreachable, the
// caller sends nothing that could show its silence.
func (t *Table) checkOverdue(now time.Duration, f *flow) {
	route := t.view.Routes[f.key.Service]
	if route == nil || !route.Idempotent || !f.requestPending {
		return
	}
	if s := t.view.ServersByMark[f.serverMark()]; s != nil {
		t.recordSilence(now, now-minSilence, s)
	}
	t.timers.push(timer{expiresAt: now + answerTimeout(route), flow: f, generation: f.generation, kind: overdueTimer})
}

// hasResettable reports whether a caller waits for the server with a mark on a
// flow that may be reset.
func (t *Table) hasResettable(mark uint32) bool {
	for _, f := range t.flows {
		if f.serverMark() != mark || !f.needsServer() {
			continue
		}
		if route := t.view.Routes[f.key.Service]; route != nil && route.Idempotent {
			return true
		}
	}
	return false
}
