package admit

import "time"

// lane holds waiting requests of one class. Callers take turns; the requests
// of one caller keep their order.
type lane struct {
	callers map[uint64]*line
	// turns holds the callers with waiting requests, the next one first.
	turns []*line
	count int
}

type line struct {
	caller   uint64
	requests []*Request
	// live counts requests that were not taken back.
	live int
}

func newLane() lane { return lane{callers: map[uint64]*line{}} }

func (l *lane) waiting(caller uint64) int {
	if n := l.callers[caller]; n != nil {
		return n.live
	}
	return 0
}

func (l *lane) push(r *Request) {
	n := l.callers[r.Caller]
	if n == nil {
		n = &line{caller: r.Caller}
		l.callers[r.Caller] = n
		l.turns = append(l.turns, n)
	}
	n.requests = append(n.requests, r)
	n.live++
	l.count++
}

// pop removes and returns the next request, or nil.
func (l *lane) pop() *Request {
	for len(l.turns) > 0 {
		n := l.turns[0]
		l.turns = l.turns[1:]
		r := n.take()
		if n.live == 0 {
			delete(l.callers, n.caller)
		} else {
			l.turns = append(l.turns, n)
		}
		if r != nil {
			l.count--
			return r
		}
	}
	return nil
}

// take removes and returns the first request that was not taken back.
func (n *line) take() *Request {
	for len(n.requests) > 0 {
		r := n.requests[0]
		n.requests = n.requests[1:]
		if r.gone {
			continue
		}
		r.gone = true
		n.live--
		return r
	}
	return nil
}

func (l *lane) withdraw(r *Request) {
	n := l.callers[r.Caller]
	if n == nil {
		return
	}
	r.gone = true
	n.live--
	l.count--
}

func (l *lane) expire(now time.Duration) []*Request {
	var out []*Request
	for _, n := range l.turns {
		for _, r := range n.requests {
			if !r.gone && r.Deadline <= now {
				out = append(out, r)
				r.gone = true
				n.live--
				l.count--
			}
		}
	}
	return out
}
