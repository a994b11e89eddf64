package steer

import "time"

// timerKind is what a timer waits for.
type timerKind uint8

const (
	// handshakeTimer expires when the server that got the SYN should have
	// answered.
	handshakeTimer timerKind = iota
	// holdTimer expires when a held SYN becomes overdue or must be released or
	// refused.
	holdTimer
	// coldTimer expires when a deferred SYN may be sent to a cold server.
	coldTimer
	// answerTimer expires when the answer to a request should have begun.
	answerTimer
	// overdueTimer expires when a request has had no answer for a long time.
	overdueTimer
)

// timer is a pending action on a flow.
type timer struct {
	expiresAt time.Duration
	flow      *flow
	// generation is that of the flow when the timer was set. If it differs from
	// the generation of the flow, the record has been reused for another flow.
	generation uint32
	kind       timerKind
}

// isStale reports whether the timer needs no action any more.
func (e *timer) isStale() bool {
	f := e.flow
	if f.generation != e.generation || f.ended {
		return true
	}
	switch e.kind {
	case holdTimer:
		return f.tries > 0
	case coldTimer:
		return f.tries > 0 || !f.deferred
	case answerTimer:
		return !f.requestPending
	case overdueTimer:
		return !f.requestPending
	default:
		return f.pinnedMark != 0
	}
}

// timerHeap is a binary heap with the earliest timer first. It does not use
// container/heap, which would allocate for each timer.
type timerHeap []timer

func (h *timerHeap) push(e timer) {
	*h = append(*h, e)
	s := *h
	for i := len(s) - 1; i > 0; {
		parent := (i - 1) / 2
		if s[parent].expiresAt <= s[i].expiresAt {
			return
		}
		s[parent], s[i] = s[i], s[parent]
		i = parent
	}
}

// pop removes and returns the earliest timer. The heap must not be empty.
func (h *timerHeap) pop() timer {
	s := *h
	first := s[0]
	last := len(s) - 1
	s[0] = s[last]
	s[last] = timer{}
	s = s[:last]
	*h = s
	for i := 0; ; {
		child := 2*i + 1
		if child >= len(s) {
			return first
		}
		if child+1 < len(s) && s[child+1].expiresAt < s[child].expiresAt {
			child++
		}
		if s[i].expiresAt <= s[child].expiresAt {
			return first
		}
		s[i], s[child] = s[child], s[i]
		i = child
	}
}
