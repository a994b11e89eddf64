package steer

import "time"

// dueKind is why a flow has to be looked at.
type dueKind uint8

const (
	// dueHandshake: the server of the SYN should have answered by now.
	dueHandshake dueKind = iota
	// dueHold: the SYN waits at the host until then.
	dueHold
	// dueAnswer: the answer to the request should have begun by now.
	dueAnswer
)

// dueEntry is a flow that has to be looked at by a time.
type dueEntry struct {
	at   time.Duration
	flow *flow
	// serial is the flow's when the entry was made; another one tells that the
	// record was used for another flow since.
	serial uint32
	kind   dueKind
}

// over reports whether nothing is to be done for the flow any more.
func (e *dueEntry) over() bool {
	f := e.flow
	if f.serial != e.serial || f.ended {
		return true
	}
	switch e.kind {
	case dueHold:
		return f.tries > 0
	case dueAnswer:
		return !f.asked || f.busy == 0
	default:
		return f.pinned != 0
	}
}

// dueHeap is a binary heap with the earliest entry first. The library's heap
// would allocate for each entry.
type dueHeap []dueEntry

func (h *dueHeap) push(e dueEntry) {
	*h = append(*h, e)
	s := *h
	for i := len(s) - 1; i > 0; {
		parent := (i - 1) / 2
		if s[parent].at <= s[i].at {
			return
		}
		s[parent], s[i] = s[i], s[parent]
		i = parent
	}
}

// pop removes the earliest entry; there must be one.
func (h *dueHeap) pop() dueEntry {
	s := *h
	first := s[0]
	last := len(s) - 1
	s[0] = s[last]
	s[last] = dueEntry{}
	s = s[:last]
	*h = s
	for i := 0; ; {
		child := 2*i + 1
		if child >= len(s) {
			return first
		}
		if child+1 < len(s) && s[child+1].at < s[child].at {
			child++
		}
		if s[i].at <= s[child].at {
			return first
		}
		s[i], s[child] = s[child], s[i]
		i = child
	}
}
