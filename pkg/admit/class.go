package admit

import "time"

// classQueue is a fair queue of the waiting requests of one class. It serves
// callers round-robin and the requests of one caller in order of arrival.
type classQueue struct {
	callers map[uint64]*callerQueue
	// active lists the callers with requests in the order in which they are
	// served.
	active []*callerQueue
	// length is the number of waiting requests.
	length int
}

// callerQueue holds the requests of one caller.
type callerQueue struct {
	caller   uint64
	requests []*Request
	// waiting is the number of requests that are not marked as removed.
	waiting int
}

func newClassQueue() classQueue { return classQueue{callers: map[uint64]*callerQueue{}} }

// waitingFrom returns the number of waiting requests of a caller.
func (q *classQueue) waitingFrom(caller uint64) int {
	if c := q.callers[caller]; c != nil {
		return c.waiting
	}
	return 0
}

func (q *classQueue) push(r *Request) {
	c := q.callers[r.Caller]
	if c == nil {
		c = &callerQueue{caller: r.Caller}
		q.callers[r.Caller] = c
		q.active = append(q.active, c)
	}
	c.requests = append(c.requests, r)
	c.waiting++
	q.length++
}

// pop removes and returns the next request, or returns nil if none waits.
func (q *classQueue) pop() *Request {
	for len(q.active) > 0 {
		c := q.active[0]
		q.active = q.active[1:]
		r := c.pop()
		if c.waiting == 0 {
			delete(q.callers, c.caller)
		} else {
			q.active = append(q.active, c)
		}
		if r != nil {
			q.length--
			return r
		}
	}
	return nil
}

// pop removes and returns the first request that is not marked as removed, or
// returns nil if there is none.
func (c *callerQueue) pop() *Request {
	for len(c.requests) > 0 {
		r := c.requests[0]
		c.requests = c.requests[1:]
		if r.removed {
			continue
		}
		r.removed = true
		c.waiting--
		return r
	}
	return nil
}

// withdraw marks a waiting request as removed. Later calls of pop skip it.
func (q *classQueue) withdraw(r *Request) {
	c := q.callers[r.Caller]
	if c == nil {
		return
	}
	r.removed = true
	c.waiting--
	q.length--
}

// expire marks the requests whose deadline has passed as removed and returns
// them.
func (q *classQueue) expire(now time.Duration) []*Request {
	var expired []*Request
	for _, c := range q.active {
		for _, r := range c.requests {
			if !r.removed && r.Deadline <= now {
				expired = append(expired, r)
				r.removed = true
				c.waiting--
				q.length--
			}
		}
	}
	return expired
}
