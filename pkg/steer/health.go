package steer

import (
	"time"

	"lagoonramp.org/lagoonramp/pkg/fleet"
)

const (
	// firstRest is how long a server gets no flows after a SYN stayed without
	// answer; each further one doubles it up to maxRest.
	firstRest = 200 * time.Millisecond
	maxRest   = 1600 * time.Millisecond
)

// Health is what a host knows of a server from the flows that it forwarded.
type Health struct {
	started time.Time
	// busy is how many of this host's flows the server works for.
	busy int
	// misses counts the SYNs without an answer since the last answer.
	misses int
	// missedAt is when the latest of them was given up, and reachedAt when the
	// server answered last.
	missedAt, reachedAt time.Duration
	// retryAt is when the server may get a flow again after a miss.
	retryAt time.Duration
	speed   speed
}

// newHealth returns the health of a server whose former one, if any, was old.
func newHealth(s *fleet.Server, old *Health) *Health {
	h := &Health{started: s.Started}
	if old != nil {
		h.busy = old.busy
	}
	return h
}

// reached notes that the server answered.
func (h *Health) reached(now time.Duration) {
	h.reachedAt = now
	h.misses = 0
}

// unanswered notes that a SYN that was sent at a time stayed without answer.
func (h *Health) unanswered(now, sentAt time.Duration) {
	if h.reachedAt > sentAt {
		return
	}
	h.misses++
	h.missedAt = now
	h.retryAt = now + min(firstRest<<min(h.misses-1, 10), maxRest)
}

// suspect reports whether the server is to be avoided.
func (h *Health) suspect() bool { return h.misses > 0 }
