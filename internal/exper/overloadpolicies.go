package exper

import (
	"cmp"
	"container/heap"

	"lagoonramp.org/lagoonramp/pkg/steer"
)

// heldOrder decides which held request is released next. In all of them, fresh
// requests precede overdue ones.
type heldOrder interface {
	// push adds a request, or moves one that has become overdue.
	push(r *heldRequest)
	// remove removes a request that no longer waits.
	remove(r *heldRequest)
	// pop removes and returns the next request, or returns nil.
	pop() *heldRequest
}

// overloadPolicy is a policy of the overload experiment.
type overloadPolicy struct {
	name     string
	newOrder func() heldOrder
}

// overloadPolicies lists the policies in the order of the rows of tables.
var overloadPolicies = []overloadPolicy{
	{"lagoonramp", func() heldOrder { return &chosenOrder{} }},
	{"newestFirst", func() heldOrder { return newRankedOrder(newestFirst) }},
	{"strictPriority", func() heldOrder { return newRankedOrder(mostUrgentFirst) }},
	{"weightedFair", func() heldOrder { return newWeightedOrder() }},
	{"deadline", func() heldOrder { return newRankedOrder(earliestDeadlineFirst) }},
}

// chosenOrder is the order of the hosts.
type chosenOrder struct {
	order steer.Order[*heldRequest]
}

func (o *chosenOrder) push(r *heldRequest)   { o.order.Push(&r.entry, r.overdue) }
func (o *chosenOrder) remove(r *heldRequest) { o.order.Remove(&r.entry) }

func (o *chosenOrder) pop() *heldRequest {
	h := o.order.Pop(true)
	if h == nil {
		return nil
	}
	return h.Owner
}

// rankedRequest is a held request with its sequence number when it was added.
type rankedRequest struct {
	*heldRequest
	sequence int
}

// newestFirst is the order of hosts without priorities.
func newestFirst(a, b rankedRequest) int { return cmp.Compare(b.sequence, a.sequence) }

func mostUrgentFirst(a, b rankedRequest) int {
	return cmp.Or(cmp.Compare(overloadClasses[a.class].priority, overloadClasses[b.class].priority), newestFirst(a, b))
}

func earliestDeadlineFirst(a, b rankedRequest) int {
	deadline := func(r rankedRequest) int64 { return int64(r.arrived + overloadClasses[r.class].objective) }
	return cmp.Or(cmp.Compare(deadline(a), deadline(b)), newestFirst(b, a))
}

// rankedOrder is a heap of requests for each stage. Removed requests stay in it
// until they come first.
type rankedOrder struct {
	stages  [2]requestHeap
	waiting [2]int
}

func newRankedOrder(compare func(a, b rankedRequest) int) *rankedOrder {
	return &rankedOrder{stages: [2]requestHeap{{compare: compare}, {compare: compare}}}
}

// stageIndex returns the index of the stage of a request.
func stageIndex(r *heldRequest) int {
	if r.overdue {
		return 1
	}
	return 0
}

func (o *rankedOrder) push(r *heldRequest) {
	if r.overdue {
		o.waiting[0]--
	}
	o.waiting[stageIndex(r)]++
	heap.Push(&o.stages[stageIndex(r)], rankedRequest{r, r.sequence})
}

func (o *rankedOrder) remove(r *heldRequest) { o.waiting[stageIndex(r)]-- }

func (o *rankedOrder) pop() *heldRequest {
	if r := o.popStage(0); r != nil {
		return r
	}
	return o.popStage(1)
}

// popStage removes and returns the next request of a stage, or returns nil.
func (o *rankedOrder) popStage(stage int) *heldRequest {
	for o.waiting[stage] > 0 {
		r := heap.Pop(&o.stages[stage]).(rankedRequest)
		if r.waiting && r.sequence == r.heldRequest.sequence {
			o.waiting[stage]--
			return r.heldRequest
		}
	}
	return nil
}

// weightedOrder shares the releases between the classes by weights. Within a
// class, the newest request is first.
type weightedOrder struct {
	classes []*rankedOrder
	// tags holds the virtual times of the next releases, and now the present one.
	tags []float64
	now  float64
}

// urgentWeight is the weight of the most urgent class; the others have 1. It gives
// that class its whole demand at twice the load.
const urgentWeight = 4.0

func newWeightedOrder() *weightedOrder {
	o := &weightedOrder{tags: make([]float64, len(overloadClasses))}
	for range overloadClasses {
		o.classes = append(o.classes, newRankedOrder(newestFirst))
	}
	return o
}

func (o *weightedOrder) push(r *heldRequest) {
	if c := o.classes[r.class]; c.waiting == [2]int{} {
		o.tags[r.class] = max(o.tags[r.class], o.now)
	}
	o.classes[r.class].push(r)
}

func (o *weightedOrder) remove(r *heldRequest) { o.classes[r.class].remove(r) }

func (o *weightedOrder) pop() *heldRequest {
	for stage := range 2 {
		best := -1
		for i, c := range o.classes {
			if c.waiting[stage] > 0 && (best < 0 || o.tags[i] < o.tags[best]) {
				best = i
			}
		}
		if best < 0 {
			continue
		}
		o.now = o.tags[best]
		weight := 1.0
		if overloadClasses[best].priority == 1 {
			weight = urgentWeight
		}
		o.tags[best] += 1 / weight
		return o.classes[best].popStage(stage)
	}
	return nil
}

// requestHeap implements heap.Interface.
type requestHeap struct {
	compare func(a, b rankedRequest) int
	items   []rankedRequest
}

// Len implements heap.Interface.
func (q *requestHeap) Len() int { return len(q.items) }

// Less implements heap.Interface.
func (q *requestHeap) Less(i, j int) bool { return q.compare(q.items[i], q.items[j]) < 0 }

// Swap implements heap.Interface.
func (q *requestHeap) Swap(i, j int) { q.items[i], q.items[j] = q.items[j], q.items[i] }

// Push implements heap.Interface.
func (q *requestHeap) Push(x any) { q.items = append(q.items, x.(rankedRequest)) }

// Pop implements heap.Interface.
func (q *requestHeap) Pop() any {
	last := q.items[len(q.items)-1]
	q.items = q.items[:len(q.items)-1]
	return last
}
