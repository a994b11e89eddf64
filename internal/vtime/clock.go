// Package vtime provides a virtual clock with an event queue, for simulations
// and tests that drive the state machines of pkg/. Events with the same time
// run in the order in which they were scheduled, so that runs are
// reproducible.
package vtime

import (
	"container/heap"
	"time"
)

// Clock is a virtual clock with scheduled events. The zero value is a clock at
// time 0 without events. A Clock is not safe for concurrent use.
type Clock struct {
	now          time.Duration
	events       eventHeap
	lastSequence uint64
}

// Now returns the current virtual time.
func (c *Clock) Now() time.Duration { return c.now }

// Set sets the current time. It panics if events are scheduled.
func (c *Clock) Set(now time.Duration) {
	if len(c.events) > 0 {
		panic("vtime: Set called with scheduled events")
	}
	c.now = now
}

// After schedules f to run d after the current time.
func (c *Clock) After(d time.Duration, f func()) {
	c.lastSequence++
	heap.Push(&c.events, event{at: c.now + d, sequence: c.lastSequence, run: f})
}

// At schedules f to run at time t, or at the current time if t has passed.
func (c *Clock) At(t time.Duration, f func()) { c.After(max(0, t-c.now), f) }

// Every schedules f to run each time d has passed, until f returns false.
func (c *Clock) Every(d time.Duration, f func() bool) {
	c.After(d, func() {
		if f() {
			c.Every(d, f)
		}
	})
}

// RunUntil runs all events up to and including time end, also those that they
// schedule, and sets the current time to end.
func (c *Clock) RunUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}

// event is a scheduled call of run.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// eventHeap is a heap of events, ordered by time and then by sequence.
type eventHeap []event

// Len implements heap.Interface.
func (q eventHeap) Len() int { return len(q) }

// Less implements heap.Interface.
func (q eventHeap) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}

// Swap implements heap.Interface.
func (q eventHeap) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventHeap) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventHeap) Pop() any {
	old := *q
	x := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return x
}
