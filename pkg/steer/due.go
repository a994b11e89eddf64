package steer

import "time"

// dueEntry is a flow that has to be looked at by a time.
type dueEntry struct {
	at   time.Duration
	flow *flow
	// serial is the flow's when the entry was made; another one tells that the
	// record was used for another flow since.
	serial uint32
}

// over reports whether nothing is to be done for the flow any more.
func (e *dueEntry) over() bool {
	return e.flow.serial != e.serial || e.flow.pinned != 0 || e.flow.ended
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
