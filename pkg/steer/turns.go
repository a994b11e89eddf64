package steer

import (
	"container/heap"
	"net/netip"
	"slices"
)

// routeRing holds the routes of a priority and stage that have held SYNs. They
// take turns.
type routeRing[T any] struct {
	routes []*routeQueue[T]
	// turn is the index of the route whose turn is next.
	turn int
}

// count returns the number of routes with held SYNs.
func (g *routeRing[T]) count() int { return len(g.routes) }

// find returns a route, or nil if it has no held SYN.
func (g *routeRing[T]) find(address netip.AddrPort) *routeQueue[T] {
	for _, r := range g.routes {
		if r.address == address {
			return r
		}
	}
	return nil
}

// add adds a route. Its turn is after all others.
func (g *routeRing[T]) add(r *routeQueue[T]) {
	g.routes = slices.Insert(g.routes, g.turn, r)
	if len(g.routes) > 1 {
		g.turn = (g.turn + 1) % len(g.routes)
	}
}

// remove removes a route.
func (g *routeRing[T]) remove(r *routeQueue[T]) {
	i := slices.Index(g.routes, r)
	g.routes = slices.Delete(g.routes, i, i+1)
	if i < g.turn {
		g.turn--
	}
	if g.turn >= len(g.routes) {
		g.turn = 0
	}
}

// next returns the route whose turn it is and passes the turn on.
func (g *routeRing[T]) next() *routeQueue[T] {
	r := g.routes[g.turn]
	g.turn = (g.turn + 1) % len(g.routes)
	return r
}

// routeQueue holds the SYNs of a route in a stage.
type routeQueue[T any] struct {
	address netip.AddrPort
	count   int
	callers map[netip.Addr]*callerQueue[T]
	// ready holds the callers that may have a release in the present round, and
	// served those that had one and have further SYNs, or had.
	ready  callerHeap[T]
	served []*callerQueue[T]
	// releasesLeft is the number of releases left in the round.
	releasesLeft int
}

// callerQueue holds the SYNs of a caller on a route in a stage.
type callerQueue[T any] struct {
	address netip.Addr
	newest  *HeldSYN[T]
	count   int
	// index is the index in routeQueue.ready, -1 if the caller is not in it.
	index int
}

// push adds a SYN.
func (r *routeQueue[T]) push(o *Order[T], h *HeldSYN[T]) {
	r.count++
	c := r.callers[h.Caller]
	isNew := c == nil
	if isNew {
		c = o.newCaller(h.Caller)
		r.callers[h.Caller] = c
	}
	h.caller = c
	h.newer, h.older = nil, c.newest
	if c.newest != nil {
		c.newest.newer = h
	}
	c.newest = h
	c.count++
	switch {
	case isNew:
		heap.Push(&r.ready, c)
	case c.index >= 0:
		heap.Fix(&r.ready, c.index)
	}
}

// remove removes a SYN.
func (r *routeQueue[T]) remove(o *Order[T], h *HeldSYN[T]) {
	r.count--
	c := h.caller
	c.count--
	wasNewest := c.newest == h
	if h.older != nil {
		h.older.newer = h.newer
	}
	if h.newer != nil {
		h.newer.older = h.older
	} else {
		c.newest = h.older
	}
	h.newer, h.older = nil, nil
	switch {
	case c.index < 0: // The next round starts without the caller if it has no SYN.
	case c.newest == nil:
		heap.Remove(&r.ready, c.index)
		r.forget(o, c)
	case wasNewest:
		heap.Fix(&r.ready, c.index)
	}
}

// pop returns the SYN that is released next, which the application must remove,
// and ends the turn of its caller. The queue must not be empty.
func (r *routeQueue[T]) pop(o *Order[T]) *HeldSYN[T] {
	if len(r.ready) == 0 || r.releasesLeft <= 0 {
		r.startRound(o)
	}
	r.releasesLeft--
	c := r.ready[0]
	if c.count > 1 {
		heap.Remove(&r.ready, 0)
		r.served = append(r.served, c)
	}
	return c.newest
}

// startRound starts a round of all callers with held SYNs.
func (r *routeQueue[T]) startRound(o *Order[T]) {
	for _, c := range r.served {
		if c.newest == nil {
			r.forget(o, c)
		} else {
			heap.Push(&r.ready, c)
		}
	}
	clear(r.served)
	r.served = r.served[:0]
	r.releasesLeft = len(r.ready)
}

// forget removes a caller without SYNs.
func (r *routeQueue[T]) forget(o *Order[T], c *callerQueue[T]) {
	delete(r.callers, c.address)
	o.freeCallers = append(o.freeCallers, c)
}

// newRoute returns an empty route queue, reusing a record if there is one.
func (o *Order[T]) newRoute(address netip.AddrPort) *routeQueue[T] {
	n := len(o.freeRoutes)
	if n == 0 {
		return &routeQueue[T]{address: address, callers: map[netip.Addr]*callerQueue[T]{}}
	}
	r := o.freeRoutes[n-1]
	o.freeRoutes = o.freeRoutes[:n-1]
	r.address = address
	return r
}

// recycleRoute keeps the record of a route without SYNs for reuse.
func (o *Order[T]) recycleRoute(r *routeQueue[T]) {
	r.startRound(o) // Forgets the callers that were served.
	o.freeRoutes = append(o.freeRoutes, r)
}

// newCaller returns an empty caller queue, reusing a record if there is one.
func (o *Order[T]) newCaller(address netip.Addr) *callerQueue[T] {
	n := len(o.freeCallers)
	if n == 0 {
		return &callerQueue[T]{address: address}
	}
	c := o.freeCallers[n-1]
	o.freeCallers = o.freeCallers[:n-1]
	*c = callerQueue[T]{address: address}
	return c
}

// callerHeap is a heap of callers with the newest SYN first.
type callerHeap[T any] []*callerQueue[T]

// Len implements heap.Interface.
func (q callerHeap[T]) Len() int { return len(q) }

// Less implements heap.Interface.
func (q callerHeap[T]) Less(i, j int) bool { return q[i].newest.sequence > q[j].newest.sequence }

// Swap implements heap.Interface.
func (q callerHeap[T]) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *callerHeap[T]) Push(x any) {
	c := x.(*callerQueue[T])
	c.index = len(*q)
	*q = append(*q, c)
}

// Pop implements heap.Interface.
func (q *callerHeap[T]) Pop() any {
	old := *q
	c := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	c.index = -1
	return c
}
