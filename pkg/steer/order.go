package steer

import (
	"cmp"
	"net/netip"
	"slices"
)

const (
	// lowerInterval bounds starvation: of so many releases in a row, at least one
	// goes to a lower priority while a SYN of one is held.
	lowerInterval = 8
	// evictionCandidates is the number of oldest SYNs among which Evictable chooses.
	// It bounds the cost of an eviction.
	evictionCandidates = 8
)

// Order decides in which order the held SYNs of a service are released.
//
// It answers overload in which the arrivals of some routes or callers exceed
// what is released. Newest first alone gives each of them releases in proportion
// to its arrivals, so that a burst displaces the others. The order is:
//
//   - Fresh SYNs precede overdue ones of any priority: a SYN that cannot be
//     served in time any more must not displace one that can.
//   - The most urgent priority is first. While SYNs of lower priorities can be
//     released too, they get at least one release in lowerInterval, and among them
//     this rule applies again. An overdue SYN takes part in this if no fresh one
//     of the lower priorities is held.
//   - Within a priority, the routes with held SYNs take turns.
//   - Within a route, the callers take turns in rounds. A round has as many
//     releases as callers had held SYNs at its start. Each caller has at most
//     one of them, and the caller with the newest SYN is first.
//   - Of a caller, the newest SYN is first.
//
// With one priority, one route and one held SYN of each caller, the order is
// newest first among fresh SYNs and then among overdue ones.
//
// A release takes O(log n) for n callers of its route, amortised over the
// releases of a round, and the number of active routes. Records are reused. T
// identifies a SYN for the application. The zero value is an empty Order. An Order
// is not safe for concurrent use.
type Order[T any] struct {
	// classes holds the priorities seen so far, the most urgent first.
	classes []*priorityClass[T]
	// counts holds the number of held SYNs by stage.
	counts       [stageCount]int
	lastSequence uint64
	freeRoutes   []*routeQueue[T]
	freeCallers  []*callerQueue[T]
}

// HeldSYN is a SYN in an Order. The zero value is not held.
type HeldSYN[T any] struct {
	Owner T
	// Priority is that of the route; 0 is the most urgent.
	Priority int
	Route    netip.AddrPort
	Caller   netip.Addr

	// class, route and caller are nil unless the SYN is held.
	class  *priorityClass[T]
	route  *routeQueue[T]
	caller *callerQueue[T]
	stage  stage
	// sequence orders the SYNs of a stage by their addition.
	sequence uint64
	// newer and older link the SYNs of a caller, and earlier and later those of a
	// priority by age.
	newer, older, earlier, later *HeldSYN[T]
}

// stage is what a held SYN has waited for.
type stage uint8

const (
	freshStage stage = iota
	overdueStage
	stageCount
)

// stageOf returns the stage of a SYN that is overdue or not.
func stageOf(overdue bool) stage {
	if overdue {
		return overdueStage
	}
	return freshStage
}

// priorityClass holds the SYNs of a priority.
type priorityClass[T any] struct {
	priority, count int
	// streak counts the releases since the latest one of a lower priority, as far
	// as one of a lower priority was possible.
	streak int
	stages [stageCount]routeRing[T]
	// oldest and latest are the ends of the list of all SYNs by age.
	oldest, latest *HeldSYN[T]
}

// Count returns the number of held SYNs that are overdue or not.
func (o *Order[T]) Count(overdue bool) int { return o.counts[stageOf(overdue)] }

// Len returns the number of held SYNs.
func (o *Order[T]) Len() int { return o.counts[freshStage] + o.counts[overdueStage] }

// IsHeld reports whether the SYN is in an Order.
func (h *HeldSYN[T]) IsHeld() bool { return h.class != nil }

// Push adds a SYN, or moves one that is held to the given stage. Its age counts
// from when it was added first.
func (o *Order[T]) Push(h *HeldSYN[T], overdue bool) {
	if h.IsHeld() {
		o.detach(h)
	} else {
		h.class = o.classOf(h.Priority)
		h.class.appendLatest(h)
	}
	o.lastSequence++
	h.sequence = o.lastSequence
	h.stage = stageOf(overdue)
	o.counts[h.stage]++
	ring := &h.class.stages[h.stage]
	r := ring.find(h.Route)
	if r == nil {
		r = o.newRoute(h.Route)
		ring.add(r)
	}
	h.route = r
	r.push(o, h)
}

// Remove removes a SYN. It does nothing if the SYN is not held.
func (o *Order[T]) Remove(h *HeldSYN[T]) {
	if !h.IsHeld() {
		return
	}
	o.detach(h)
	h.class.unlink(h)
	h.class = nil
}

// Pop removes the SYN that is released next and returns it, or nil if there is
// none. Overdue SYNs are released only if includeOverdue is true.
func (o *Order[T]) Pop(includeOverdue bool) *HeldSYN[T] {
	i, s := o.choose(0, includeOverdue)
	if i < 0 {
		return nil
	}
	for _, c := range o.classes[:i] {
		c.streak = 0
	}
	ring := &o.classes[i].stages[s]
	h := ring.next().pop(o)
	o.Remove(h)
	return h
}

// choose returns the index of the priority and the stage of the SYN that is
// released next from the priorities from index first on; the index is -1 if there
// is none.
func (o *Order[T]) choose(first int, includeOverdue bool) (int, stage) {
	i, s := o.mostUrgent(first, includeOverdue)
	if i < 0 {
		return i, s
	}
	if lower, _ := o.mostUrgent(i+1, includeOverdue); lower < 0 {
		return i, s
	}
	if o.classes[i].streak >= lowerInterval-1 {
		return o.choose(i+1, includeOverdue)
	}
	o.classes[i].streak++
	return i, s
}

// mostUrgent returns the first stage with SYNs that can be released, and the index
// of the most urgent priority in it, from index first on; the index is -1 if there
// is none.
func (o *Order[T]) mostUrgent(first int, includeOverdue bool) (int, stage) {
	for s := range stageCount {
		if o.counts[s] == 0 || s == overdueStage && !includeOverdue {
			continue
		}
		for i := first; i < len(o.classes); i++ {
			if o.classes[i].stages[s].count() > 0 {
				return i, s
			}
		}
	}
	return -1, freshStage
}

// MayPass reports whether a new SYN may be sent at once although others are held:
// none of them competes with it, except by other callers of its route, which it
// precedes as the newest.
func (o *Order[T]) MayPass(h *HeldSYN[T], overdue bool) bool {
	for _, c := range o.classes {
		for s := range stageOf(overdue) + 1 {
			for _, r := range c.stages[s].routes {
				if c.priority != h.Priority || r.address != h.Route || r.callers[h.Caller] != nil {
					return false
				}
			}
		}
	}
	return true
}

// HasCompetition reports whether SYNs of more than one priority or route are held.
func (o *Order[T]) HasCompetition() bool {
	var first *routeQueue[T]
	for _, c := range o.classes {
		for s := range c.stages {
			for _, r := range c.stages[s].routes {
				if first == nil {
					first = r
				}
				if first.address != r.address {
					return true
				}
			}
		}
	}
	return false
}

// Evictable returns the SYN that is given up first when too many are held: one
// of the oldest of the least urgent priority for which mayEvict is true, of the
// route that has the most, and of its callers of the one that has the most. It
// returns nil if there is none.
func (o *Order[T]) Evictable(mayEvict func(h *HeldSYN[T]) bool) *HeldSYN[T] {
	for _, c := range slices.Backward(o.classes) {
		if c.count == 0 {
			continue
		}
		var best *HeldSYN[T]
		h := c.oldest
		for n := 0; h != nil && n < evictionCandidates; n++ {
			if mayEvict(h) && (best == nil || h.hasMoreCompanions(best)) {
				best = h
			}
			h = h.later
		}
		return best
	}
	return nil
}

// hasMoreCompanions reports whether more SYNs of the route of h are held than of
// that of another SYN, or as many and more of its caller.
func (h *HeldSYN[T]) hasMoreCompanions(other *HeldSYN[T]) bool {
	return cmp.Or(h.route.count-other.route.count, h.caller.count-other.caller.count) > 0
}

// routeShare returns the least share of the releases that the route of a held SYN
// gets in its stage while as many priorities and routes compete as now.
func (o *Order[T]) routeShare(h *HeldSYN[T]) float64 {
	if h.stage == overdueStage && h.class.stages[freshStage].count() > 0 {
		return 0
	}
	share := 1 / float64(h.class.stages[h.stage].count())
	for _, c := range o.classes {
		if c.priority < h.Priority && c.count > 0 {
			share /= lowerInterval
		}
	}
	return share
}

// classOf returns the class of a priority.
func (o *Order[T]) classOf(priority int) *priorityClass[T] {
	i, found := slices.BinarySearchFunc(o.classes, priority, func(c *priorityClass[T], p int) int { return c.priority - p })
	if !found {
		o.classes = slices.Insert(o.classes, i, &priorityClass[T]{priority: priority})
	}
	return o.classes[i]
}

// detach removes a SYN from its stage, but not from the list by age.
func (o *Order[T]) detach(h *HeldSYN[T]) {
	o.counts[h.stage]--
	r := h.route
	r.remove(o, h)
	if r.count == 0 {
		h.class.stages[h.stage].remove(r)
		o.recycleRoute(r)
	}
	h.route, h.caller = nil, nil
}

// appendLatest adds a SYN to the list by age.
func (c *priorityClass[T]) appendLatest(h *HeldSYN[T]) {
	c.count++
	h.earlier, h.later = c.latest, nil
	if c.latest != nil {
		c.latest.later = h
	} else {
		c.oldest = h
	}
	c.latest = h
}

// unlink removes a SYN from the list by age.
func (c *priorityClass[T]) unlink(h *HeldSYN[T]) {
	c.count--
	if h.earlier != nil {
		h.earlier.later = h.later
	} else {
		c.oldest = h.later
	}
	if h.later != nil {
		h.later.earlier = h.earlier
	} else {
		c.latest = h.earlier
	}
	h.earlier, h.later = nil, nil
}
