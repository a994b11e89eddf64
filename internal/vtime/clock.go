// Package vtime is a virtual clock with a queue of events, for experiments
// and tests that drive the pure machines of pkg/. Events of one time run in
// the order in which they were planned, so that runs can be repeated.
package vtime

import (
	"container/heap"
	"time"
)

// Clock is a virtual clock. The zero value stands at 0.
type Clock struct {
	now    time.Duration
	events queue
	serial uint64
}

// Now returns the virtual time.
func (c *Clock) Now() time.Duration { return c.now }

// Set moves the clock, which must have no events yet. It panics otherwise.
func (c *Clock) Set(now time.Duration) {
	if len(c.events) > 0 {
		panic("vtime: the clock must have no events to be set")
	}
	c.now = now
}

// After runs f when d has passed.
func (c *Clock) After(d time.Duration, f func()) {
	c.serial++
	heap.Push(&c.events, event{at: c.now + d, serial: c.serial, run: f})
}

// At runs f at a time, or now if that has passed.
func (c *Clock) At(t time.Duration, f func()) { c.After(max(0, t-c.now), f) }

// Every runs f again and again until it returns false.
func (c *Clock) Every(d time.Duration, f func() bool) {
	c.After(d, func() {
		if f() {
			c.Every(d, f)
		}
	})
}

// Until runs the events up to a time and stands there.
func (c *Clock) RunUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}

type event struct {
	at     time.Duration
	serial uint64
	run    func()
}

type queue []event

// Len implements heap.Interface.
func (q queue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q queue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].serial < q[j].serial
}

// Swap implements heap.Interface.
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	x := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return x
}
