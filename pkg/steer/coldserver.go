package steer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lagoonramp.org/lagoonramp/pkg/fleet"
	"lagoonramp.org/lagoonramp/pkg/warmup"
)

// This file limits the new flows to cold servers, for services whose operators
// have set a rate (fleet.Service.WarmupRate).
//
// Load pattern: hundreds of hosts choose servers by themselves, and a server that
// has just started is the emptiest. Package warmup bounds what all hosts send to
// it together. A cold server gets a flow only from a host that has a turn. What the
// cold servers do not take goes to the others. If there are none, the SYN is
// deferred until the next turn of this host, or refused if that comes too late.
//
// A server that left a SYN unanswered may have restarted although its entry does
// not show it yet, so it counts as cold until WarmupDuration after its next answer.

const (
	// coldTurnCost is the cost of a cold server for a new flow while this host has a
	// turn: below that of any other server but one that is to be probed, since a
	// turn that passes unused lowers the rate that the server gets.
	coldTurnCost = -0.5
	// deferredRecheckInterval is the maximum interval at which a deferred SYN is
	// tried again, since other servers may become usable before the next turn.
	deferredRecheckInterval = 100 * time.Millisecond
)

// Feeders is what a host knows about the hosts of its data centre, which feed
// cold servers (warmup.Membership).
type Feeders struct {
	// Self is the ID of this host. Hosts holds the IDs of the known hosts, including
	// this one, in ascending order. It must not be changed.
	Self  uint64
	Hosts []uint64
	// From is when this host begins to feed servers. It is valid if Active is true;
	// otherwise the host feeds none.
	From   time.Duration
	Active bool
}

// coldState is the limit on the flows of this host to one server.
type coldState struct {
	// perSecond is the rate that the server can take from all hosts while it is
	// cold, 0 for no limit. duration is how long a server is cold after its start.
	perSecond float64
	duration  time.Duration
	// isLocal reports whether the server is in the data centre of this host.
	isLocal bool
	limit   warmup.Limit
	// generation is the Table.feedersGeneration for which limit is set.
	generation uint64
	// warmupEnd is the end of the warm-up by the server's entry.
	warmupEnd time.Duration
	// unanswered is set from an unanswered SYN to the next answer, and until is
	// when the warm-up ends that is assumed after that.
	unanswered bool
	until      time.Duration
}

// coldService counts the effects of the limit on the cold servers of a service.
type coldService struct {
	perSecond float64
	// deferred is the number of SYNs that are deferred at present.
	deferred                           int
	flows, deferredTotal, refusedTotal uint64
}

// isCold reports whether the server is cold and its service has a limit.
func (c *coldState) isCold(now time.Duration) bool {
	return c.perSecond > 0 && (now < c.warmupEnd || c.unanswered || now < c.until)
}

// end returns when the server stops being cold; ok is false if that depends on an
// answer.
func (c *coldState) end() (at time.Duration, ok bool) {
	return max(c.warmupEnd, c.until), !c.unanswered
}

// recordAnswer records that the server answered.
func (c *coldState) recordAnswer(now time.Duration) {
	if c.unanswered {
		c.unanswered = false
		c.assumeCold(now)
	}
}

// assumeCold records that the server may have started by now.
func (c *coldState) assumeCold(now time.Duration) {
	if !c.isCold(now) {
		c.limit.Start(now)
	}
	c.until = now + c.duration
}

// setEntry updates the state from the server's entry.
func (c *coldState) setEntry(now time.Duration, s *fleet.Server, service fleet.Service, isLocal bool) {
	if c.perSecond != service.WarmupRate {
		c.generation = 0
	}
	wasCold := c.isCold(now)
	c.perSecond, c.duration, c.isLocal = service.WarmupRate, service.WarmupDuration, isLocal
	c.warmupEnd = s.WarmupEnd
	if !wasCold && c.isCold(now) {
		c.limit.Start(now)
	}
}

// SetFeeders replaces the knowledge about the hosts that feed cold servers.
func (t *Table) SetFeeders(f Feeders) {
	if f.Self != t.feeders.Self || !slices.Equal(f.Hosts, t.feeders.Hosts) {
		t.feedersGeneration++
	}
	t.feeders = f
}

// HoldDown makes the host feed no cold servers before end, because its knowledge
// of the other hosts may be old.
func (t *Table) HoldDown(end time.Duration) { t.holdDownEnd = max(t.holdDownEnd, end) }

// updateColdServices updates the services with a limit from the view.
func (t *Table) updateColdServices() {
	for name, s := range t.view.Services {
		if s.WarmupRate > 0 && t.coldServices[name] == nil {
			t.coldServices[name] = &coldService{}
		}
	}
	for name, c := range t.coldServices {
		c.perSecond = t.view.Services[name].WarmupRate
		if c.perSecond == 0 && c.deferred == 0 {
			delete(t.coldServices, name)
		}
	}
}

// nextTurn returns when this host may send the next flow to a cold server; ok is
// false if it does not feed the server.
func (t *Table) nextTurn(s *fleet.Server, c *coldState) (at time.Duration, ok bool) {
	if !c.isLocal || !t.feeders.Active {
		return 0, false
	}
	if c.generation != t.feedersGeneration {
		c.generation = t.feedersGeneration
		feeders, spacing := t.settings.Warmup.Share(c.perSecond, len(t.feeders.Hosts))
		c.limit.SetShare(feeders, spacing, warmup.Rank(t.feeders.Self, t.feeders.Hosts, s.ID))
	}
	return c.limit.Next(max(t.feeders.From, t.holdDownEnd))
}

// mayOffer reports whether a new flow may be sent to a server.
func (t *Table) mayOffer(now time.Duration, s *fleet.Server, c *coldState) bool {
	if !c.isCold(now) {
		return true
	}
	at, ok := t.nextTurn(s, c)
	return ok && at <= now
}

// recordColdSYN records that a SYN is sent to a server, which may be cold. isNew
// reports whether the server has not got it before.
func (t *Table) recordColdSYN(now time.Duration, s *fleet.Server, isNew bool) {
	h := t.health[s.Mark]
	if h == nil || h.cold.perSecond == 0 {
		return
	}
	h.cold.limit.RecordSent(now)
	if service := t.coldServices[s.Service]; service != nil && isNew && h.cold.isCold(now) {
		service.flows++
	}
}

// coldTurns returns the number of flows that this host may send to the cold
// servers of a service up to end, and when the first one may be sent; anyCold reports
// whether there are cold servers.
func (t *Table) coldTurns(now, end time.Duration, service string) (turns int, first time.Duration, anyCold bool) {
	first = math.MaxInt64
	for _, s := range t.view.Usable[service] {
		c := &t.health[s.Mark].cold
		if !c.isCold(now) {
			continue
		}
		anyCold = true
		if at, ok := c.end(); ok && at <= end {
			turns, first = math.MaxInt32, min(first, at)
		}
		if at, ok := t.nextTurn(s, c); ok && at <= end {
			first = min(first, at)
			turns = min(math.MaxInt32, turns+1+int((end-max(at, now))/c.limit.Spacing()))
		}
	}
	return turns, first, anyCold
}

// handleNoServer decides on the SYN of a new flow for which no server may be
// chosen. If there are cold servers, it defers the SYN to a turn that is not
// claimed by one that was deferred earlier, or refuses it if that comes too late.
func (t *Table) handleNoServer(now time.Duration, p *Packet, raw []byte, route *fleet.RouteState, service string) Verdict {
	deadline := now + t.limitedHoldTime(route) - p.SinceFirst
	turns, first, anyCold := t.coldTurns(now, deadline, service)
	counts := t.coldServices[service]
	if !anyCold || counts == nil {
		if t.view.Incomplete {
			return Verdict{Reason: NoServer} // A retransmission may find one.
		}
		if p.Retransmits > 0 && t.view.EvacuatedServices[service] {
			return Verdict{Reason: NoServer} // Another host may have opened the flow before the evacuation.
		}
		return Verdict{Action: Refuse, Reason: NoServer, Priority: route.Priority}
	}
	if turns <= counts.deferred || len(t.flows) >= t.settings.MaxFlows || len(raw) > maxSYNSize {
		return t.refuseCold(p, route, service, counts)
	}
	f := t.newFlow(p, service, raw)
	f.recordSYN(now, p)
	f.prepareHold(route, p)
	f.lastPacketAt, f.heldAt = now, now
	f.holdDeadline = deadline
	t.deferUntil(now, first, f)
	return Verdict{Action: Hold, Reason: ColdServers, Service: service, Priority: route.Priority}
}

// refuseCold refuses the SYN of a new flow. It drops the SYN if another host may
// have opened the flow.
func (t *Table) refuseCold(p *Packet, route *fleet.RouteState, service string, counts *coldService) Verdict {
	v := Verdict{Reason: ColdServers, Service: service, Priority: route.Priority}
	if p.Retransmits == 0 && p.UntilNext > refusalMargin {
		v.Action = Refuse
		counts.refusedTotal++
	}
	return v
}

// deferUntil defers the held SYN of a flow until a turn.
func (t *Table) deferUntil(now, turn time.Duration, f *flow) {
	t.markDeferred(f)
	expiresAt := min(max(turn, now+time.Millisecond), now+deferredRecheckInterval)
	t.timers.push(timer{expiresAt: expiresAt, flow: f, generation: f.generation, kind: coldTimer})
}

// markDeferred records that the SYN of a flow is deferred.
func (t *Table) markDeferred(f *flow) {
	if f.deferred {
		return
	}
	f.deferred = true
	if counts := t.coldServices[f.service]; counts != nil {
		counts.deferred++
		counts.deferredTotal++
	}
}

// endDeferral records that the SYN of a flow is no longer deferred.
func (t *Table) endDeferral(f *flow) {
	if !f.deferred {
		return
	}
	f.deferred = false
	if counts := t.coldServices[f.service]; counts != nil {
		counts.deferred--
	}
}

// deferHeld defers a held SYN for which no server may be chosen, or ends its hold
// if no turn comes in time or no server is left.
func (t *Table) deferHeld(now time.Duration, f *flow) (Resend, bool) {
	_, first, anyCold := t.coldTurns(now, f.holdDeadline, f.service)
	switch {
	case !anyCold:
		refuse := f.canRefuse(now) && !t.view.Incomplete
		return t.refuseHeld(now, f, NoServer), refuse
	case now < f.holdDeadline && first <= f.holdDeadline:
		t.deferUntil(now, first, f)
		return Resend{}, false
	}
	return t.endDeferredHold(now, f)
}

// endDeferredHold refuses or drops a SYN for which no turn comes in time.
func (t *Table) endDeferredHold(now time.Duration, f *flow) (Resend, bool) {
	if f.awaitsRetransmission(now) {
		t.deferUntil(now, f.nextSYNAt+refusalMargin, f)
		return Resend{}, false
	}
	t.markDeferred(f) // A SYN that the limiter held may end here at once.
	if counts := t.coldServices[f.service]; counts != nil && f.canRefuse(now) {
		counts.refusedTotal++
	}
	return t.endHold(now, f)
}

// handleColdTimeout handles a deferred SYN whose turn has come.
func (t *Table) handleColdTimeout(now time.Duration, f *flow) (Resend, bool) {
	l := t.limiter(f.service)
	if l.isFull(f.overdue) {
		if now < f.holdDeadline {
			t.deferUntil(now, now+deferredRecheckInterval, f)
			return Resend{}, false
		}
		return t.endDeferredHold(now, f)
	}
	s := t.chooseServer(now, f.service, nil)
	if s == nil {
		return t.deferHeld(now, f)
	}
	if now < f.holdDeadline && l.isFull(true) && !t.health[s.Mark].cold.isCold(now) {
		t.holdDeferred(now, f)
		return Resend{}, false
	}
	return t.sendHeld(now, f, s), true
}

// holdDeferred holds a SYN that was deferred like one that is overdue: while the
// flows in flight fill this host's share of the slots, it is not sent. Many may
// have been deferred until the same server is warm.
func (t *Table) holdDeferred(now time.Duration, f *flow) {
	t.endDeferral(f)
	f.overdue = true
	t.enqueue(now, f)
	t.timers.push(timer{expiresAt: f.holdDeadline, flow: f, generation: f.generation, kind: holdTimer})
}

// ColdReport is the state of the cold servers of a service with a limit on them.
type ColdReport struct {
	Service string
	// Servers is the number of cold servers.
	Servers int
	// Flows counts the new flows that were sent to cold servers, Deferred the SYNs
	// that were deferred, and Refused those that were refused.
	Flows, Deferred, Refused uint64
}

// ColdReports returns the state of the services with a limit on cold servers,
// sorted by service.
func (t *Table) ColdReports(now time.Duration) []ColdReport {
	var out []ColdReport
	for name, c := range t.coldServices {
		r := ColdReport{Service: name, Flows: c.flows, Deferred: c.deferredTotal, Refused: c.refusedTotal}
		for _, s := range t.view.Usable[name] {
			if t.health[s.Mark].cold.isCold(now) {
				r.Servers++
			}
		}
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b ColdReport) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// ColdServer returns a cold server of a service, its rate and the number of hosts
// that feed it, for the log; s is nil if there is none.
func (t *Table) ColdServer(now time.Duration, service string) (s *fleet.Server, perSecond float64, feeders int) {
	for _, s := range t.view.Usable[service] {
		if c := &t.health[s.Mark].cold; c.isCold(now) {
			feeders, _ := t.settings.Warmup.Share(c.perSecond, len(t.feeders.Hosts))
			return s, c.perSecond, feeders
		}
	}
	return nil, 0, 0
}
