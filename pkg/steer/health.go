package steer

import (
	"time"

	"lagoonramp.org/lagoonramp/pkg/fleet"
)

const (
	// initialBackoff is how long a server gets no new flows after a SYN to it
	// was not answered. Each further unanswered SYN doubles the backoff, up to
	// maxBackoff.
	initialBackoff = 200 * time.Millisecond
	maxBackoff     = 1600 * time.Millisecond
)

// Health is the state of a server as a host observes it in the flows that it
// forwards.
type Health struct {
	started time.Time
	// inFlight counts the flows of this host that are in flight to the server.
	inFlight int
	// unansweredSYNs counts the SYNs that were not answered since the latest
	// answer.
	unansweredSYNs int
	// lastUnansweredAt is when the latest of them timed out, and lastAnswerAt
	// when the server last answered.
	lastUnansweredAt, lastAnswerAt time.Duration
	// retryAt is when the backoff of a suspect server ends.
	retryAt      time.Duration
	cold         coldState
	slowness     slowness
	reachability reachability
}

// newHealth returns the initial health of a server. If the server restarted,
// old is its health before the restart, of which only the flows in flight and the
// limit on cold servers are kept; otherwise old is nil.
func newHealth(s *fleet.Server, old *Health) *Health {
	h := &Health{started: s.Started}
	if old != nil {
		h.inFlight = old.inFlight
		h.cold = old.cold
	}
	return h
}

// recordAnswer records that the server answered.
func (h *Health) recordAnswer(now time.Duration) {
	h.lastAnswerAt = now
	h.unansweredSYNs = 0
	h.cold.recordAnswer(now)
	h.reachability.recordReachable()
}

// recordUnanswered records that a SYN sent at sentAt was not answered. It is
// ignored if the server has answered another packet since.
func (h *Health) recordUnanswered(now, sentAt time.Duration) {
	if h.lastAnswerAt > sentAt {
		return
	}
	h.unansweredSYNs++
	h.cold.unanswered = true
	h.lastUnansweredAt = now
	h.retryAt = now + min(initialBackoff<<min(h.unansweredSYNs-1, 10), maxBackoff)
}

// isSuspect reports whether the latest SYNs to the server were not answered. A
// suspect server gets no new flows but probes while others answer.
func (h *Health) isSuspect() bool { return h.unansweredSYNs > 0 }
