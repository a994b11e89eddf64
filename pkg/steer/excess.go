package steer

import (
	"slices"
	"time"
)

const (
	// releaseWindow is the length of the windows in which releases are counted.
	// The slowest hosts release some tens of SYNs a second while they hold any.
	releaseWindow = 250 * time.Millisecond
	// evictionMargin is how many times what can be released by the end of a SYN's
	// hold must precede it before it is refused earlier, since the limit, and with
	// it the rate, may grow.
	evictionMargin = growthFactor
	// minEvictionBacklog is the least number of preceding SYNs: estimates of a few
	// releases are too coarse.
	minEvictionBacklog = 8
)

// releaseMeter measures the rate at which the SYNs of a service are sent while some
// are held, that is, while the rate is what the servers can do and not what the
// callers want.
type releaseMeter struct {
	windowStart time.Duration
	count       int
	// rates holds the releases per second of the latest two complete windows. The
	// higher one counts, so that a short stall refuses nothing.
	rates [2]float64
	// complete is the number of complete windows so far.
	complete int
}

// start starts the measurement when the first SYN is held.
func (m *releaseMeter) start(now time.Duration) { *m = releaseMeter{windowStart: now} }

// record records that a SYN was sent.
func (m *releaseMeter) record(now time.Duration) {
	m.update(now)
	m.count++
}

// update ends the window if it is over. A window of twice the length means that
// the process was paused, or that there were hardly any SYNs, and the measurement
// starts again.
func (m *releaseMeter) update(now time.Duration) {
	elapsed := now - m.windowStart
	switch {
	case elapsed >= 2*releaseWindow:
		m.start(now)
	case elapsed >= releaseWindow:
		m.rates[0], m.rates[1] = m.rates[1], float64(m.count)/elapsed.Seconds()
		m.complete++
		m.windowStart, m.count = now, 0
	}
}

// perSecond returns the rate; ok is false if it is not known yet.
func (m *releaseMeter) perSecond() (rate float64, ok bool) {
	return max(m.rates[0], m.rates[1]), m.complete >= len(m.rates)
}

// mayEvict reports whether NextResend must check whether too many SYNs are held.
func (t *Table) mayEvict() bool {
	return slices.ContainsFunc(t.holdingLimiters, func(l *limiter) bool { return l.evictionPending })
}

// nextEvicted refuses a held SYN that cannot be released before its hold ends,
// since too many SYNs precede it; ok is false if there is none. It refuses only
// while the service is at its limit, and only if SYNs of several routes compete:
// the callers of a single route gain nothing from an earlier refusal, and those
// that try again add to the load.
func (t *Table) nextEvicted(now time.Duration, l *limiter) (r Resend, ok bool) {
	if !l.evictionPending {
		return Resend{}, false
	}
	l.releases.update(now)
	rate, measured := l.releases.perSecond()
	if measured && l.limit > 0 && l.isFull(false) && l.held.HasCompetition() {
		h := l.held.Evictable(func(h *HeldSYN[*flow]) bool {
			return h.Owner.canRefuse(now) && l.isHopeless(now, h.Owner, rate)
		})
		if h != nil {
			r = t.refuseHeld(now, h.Owner, Overload)
			r.Evicted = true
			return r, true
		}
	}
	l.evictionPending = false
	return Resend{}, false
}

// isHopeless reports whether many more SYNs are held than can be released, at rate
// per second, before the hold of the flow ends, and more of its route than the share
// of that. The flow must be one that the others precede.
func (l *limiter) isHopeless(now time.Duration, f *flow, rate float64) bool {
	preceding := l.held.Len() - 1
	releasable := evictionMargin * rate * (f.holdDeadline - now).Seconds()
	return preceding >= minEvictionBacklog && float64(preceding) > releasable &&
		float64(f.held.route.count) > releasable*l.held.routeShare(&f.held)
}
