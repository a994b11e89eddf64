package steer

import (
	"slices"
	"time"
)

const (
	// overloadRatio is the ratio of the median answer time to the route's
	// latency objective above which the servers of a service are overloaded.
	overloadRatio = 0.6
	// A window of answers ends after windowAnswers answers, or after
	// windowDuration if there are at least minWindowAnswers.
	windowAnswers    = 8
	minWindowAnswers = 2
	windowDuration   = 150 * time.Millisecond
	// overloadBaselineFactor is how many times its baseline the median must
	// exceed for an overload. Below that, most of the answer time is the work
	// of the requests themselves, and a limit would not help.
	overloadBaselineFactor = 2.0
	// baselineFallGain and baselineRiseGain are the weights of the median of a
	// window in the baseline if the median is below or above it. While there is
	// a limit, baselineLimitedGain replaces baselineRiseGain: a longer median
	// is then due to the load, or the requests have become more expensive.
	baselineFallGain    = 0.1
	baselineRiseGain    = 0.01
	baselineLimitedGain = 0.002
	// targetRatio is the median ratio that a reduction of the limit aims at.
	// minCutFactor bounds a single reduction, and growthFactor is the growth of
	// the limit after a window of answers in time.
	targetRatio  = 0.4
	minCutFactor = 0.5
	growthFactor = 1.25
	// minLimit is the least limit. The limit is removed when it exceeds
	// limitRemovalFactor times the peak number of flows in flight.
	minLimit           = 2.0
	limitRemovalFactor = 2.0
	// freshRatio is the fraction of the objective for which a SYN is held
	// before it is overdue.
	freshRatio = 0.4
	// maxHoldRatio is the fraction of the route's timeout after which a held
	// SYN is refused.
	maxHoldRatio = 0.4
	// maxHold bounds the age of a held SYN: callers give up after 1.4 s.
	maxHold = 1100 * time.Millisecond
	// overloadDelay is how long the servers must be overloaded before a limit
	// is set, so that a short burst sets none.
	overloadDelay = 400 * time.Millisecond
	// serverTimeRatio is the multiple of the objective that is left of a
	// caller's timeout when the hold of a retransmitted SYN ends. The servers
	// need that much because an outage leaves them with queues.
	serverTimeRatio = 2.0
	// answerTimeoutRatio is the multiple of the objective after which a flow
	// without an acknowledged answer no longer counts as in flight: its answer
	// was acknowledged through another host, or its caller has given up.
	answerTimeoutRatio = 2.0
	// refusalMargin is how long before the next retransmission of a SYN its
	// flow can no longer be refused: the retransmission may open the flow
	// through another host, and a busy host reads SYNs late. It is also how
	// long after that time the host waits for the retransmission.
	refusalMargin = 100 * time.Millisecond
)

// limiter limits the flows of a host that are in flight to the servers of a
// service. A flow is in flight from when its SYN is sent until the first
// answer, and again from each later request until its answer. While answers
// miss the latency objectives of the routes, a limit applies to the number of
// flows in flight, and new SYNs are held. The newest is released first, since
// it can still be served in time; overdue SYNs are released when no fresh one
// is held. In FIFO order, all of them would be served too late. Order ranks
// priorities, routes and callers.
//
// Adaptive LIFO under overload is described in Maurer, "Fail at Scale" (ACM
// Queue, 2015).
type limiter struct {
	// limit is the maximum number of flows in flight, 0 for no limit. slotShare
	// is this host's share of the slots of the service.
	limit, slotShare float64
	inFlight         int
	// peakInFlight is the maximum of inFlight in the present window, and
	// heldInWindow reports whether a SYN was held in it.
	peakInFlight int
	heldInWindow bool
	// overloadedSince is when the present overload began, 0 if there is none,
	// and loweredAt when the limit was last lowered.
	overloadedSince, loweredAt time.Duration
	answerRatios               []float64
	windowStart                time.Duration
	// median is the median ratio of the latest window, and baseline an estimate
	// of it without queueing.
	median, baseline float64
	// held holds the held SYNs, and releases measures how fast they are sent.
	held     Order[*flow]
	releases releaseMeter
	// evictionPending reports whether a SYN was held since NextResend last
	// checked whether too many are.
	evictionPending bool
	// isListed reports whether the limiter is in Table.holdingLimiters.
	isListed bool
	// hasNoServer reports whether no server accepts flows of the service any more, so
	// that held SYNs are refused at once.
	hasNoServer bool
}

// limiter returns the limiter of a service.
func (t *Table) limiter(service string) *limiter {
	l := t.limiters[service]
	if l == nil {
		l = &limiter{answerRatios: make([]float64, 0, windowAnswers), slotShare: t.slotShare(service)}
		t.limiters[service] = l
	}
	return l
}

// slotShare returns this host's share of the slots of a service.
func (t *Table) slotShare(service string) float64 {
	slots := 0
	for _, s := range t.view.Usable[service] {
		slots += s.Slots
	}
	return float64(slots) / float64(t.hostCount)
}

// SetHostCount sets the number of hosts that share the servers, including this
// one.
func (t *Table) SetHostCount(n int) {
	t.hostCount = max(1, n)
	for service, l := range t.limiters {
		l.slotShare = t.slotShare(service)
	}
}

// isFull reports whether new SYNs must be held. Overdue ones are also held
// while at least as many flows are in flight as this host's share of the slots.
func (l *limiter) isFull(overdue bool) bool {
	if l.hasNoServer {
		return false
	}
	return l.limit > 0 && float64(l.inFlight) >= l.limit || overdue && float64(l.inFlight) >= l.slotShare
}

// addInFlight adds n, which may be negative, to the number of flows in flight.
func (l *limiter) addInFlight(n int) {
	l.inFlight += n
	l.peakInFlight = max(l.peakInFlight, l.inFlight)
}

// recordAnswer records the ratio of an answer time to the route's objective,
// for a flow whose SYN was sent at sentAt. Flows from before the latest
// reduction of the limit are ignored, since they do not show its effect.
func (l *limiter) recordAnswer(now, sentAt time.Duration, ratio float64) {
	if sentAt < l.loweredAt {
		return
	}
	l.answerRatios = append(l.answerRatios, ratio)
	n := len(l.answerRatios)
	if n < windowAnswers && (n < minWindowAnswers || now-l.windowStart < windowDuration) {
		return
	}
	l.adjustLimit(now)
	l.answerRatios = l.answerRatios[:0]
	l.windowStart, l.peakInFlight, l.heldInWindow = now, l.inFlight, false
}

// adjustLimit sets the limit by the answers of a window.
func (l *limiter) adjustLimit(now time.Duration) {
	slices.Sort(l.answerRatios)
	median := l.answerRatios[len(l.answerRatios)/2]
	l.median = median
	l.updateBaseline(median)
	if median <= max(overloadRatio, overloadBaselineFactor*l.baseline) {
		l.overloadedSince = 0
		if l.limit > 0 {
			l.raiseLimit()
		}
		return
	}
	if l.overloadedSince == 0 {
		l.overloadedSince = now
	}
	if l.limit > 0 || now-l.overloadedSince >= overloadDelay {
		l.lowerLimit(now, median)
	}
}

// updateBaseline includes the median of a window in the baseline.
func (l *limiter) updateBaseline(median float64) {
	weight := baselineRiseGain
	switch {
	case l.baseline == 0:
		weight = 1
	case median < l.baseline:
		weight = baselineFallGain
	case l.limit > 0:
		weight = baselineLimitedGain
	}
	l.baseline += weight * (median - l.baseline)
}

// raiseLimit raises the limit, and removes it if no SYN was held in the window
// and the limit is well above the flows in flight.
func (l *limiter) raiseLimit() {
	l.limit = max(l.limit+1, growthFactor*l.limit)
	if !l.heldInWindow && l.limit > limitRemovalFactor*float64(l.peakInFlight) {
		l.limit = 0
	}
}

// lowerLimit sets a limit at which the servers are expected to answer in time.
func (l *limiter) lowerLimit(now time.Duration, median float64) {
	current := float64(l.peakInFlight)
	if l.limit > 0 {
		current = min(current, l.limit)
	}
	l.limit = max(minLimit, current*max(minCutFactor, max(targetRatio, l.baseline)/median))
	l.loweredAt = now
}

// popNext removes and returns the flow whose SYN is released next, or returns
// nil if there is none.
func (l *limiter) popNext() *flow {
	h := l.held.Pop(!l.isFull(true))
	if h == nil {
		return nil
	}
	return h.Owner
}

// canRelease reports whether a held SYN may be sent.
func (l *limiter) canRelease() bool {
	return l.held.Count(false) > 0 && !l.isFull(false) || l.held.Count(true) > 0 && !l.isFull(true)
}

// canRelease reports whether a held SYN of any service may be sent.
func (t *Table) canRelease() bool {
	return slices.ContainsFunc(t.holdingLimiters, (*limiter).canRelease)
}
