package exper

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"lagoonramp.org/lagoonramp/pkg/rendez"
)

// sim is a virtual clock with a queue of events.
type sim struct {
	now    time.Duration
	rng    *rand.Rand
	events eventQueue
	serial uint64
}

type simEvent struct {
	at     time.Duration
	serial uint64
	run    func()
}

type eventQueue []simEvent

// Len implements heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].serial < q[j].serial
}

// Swap implements heap.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(simEvent)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	old[len(old)-1] = simEvent{}
	*q = old[:len(old)-1]
	return x
}

func newSim(seed uint64, stream uint64) *sim {
	return &sim{rng: rand.New(rand.NewPCG(seed, stream))}
}

// after runs f in virtual time.
func (s *sim) after(d time.Duration, f func()) {
	s.serial++
	heap.Push(&s.events, simEvent{at: s.now + d, serial: s.serial, run: f})
}

// at runs f at a virtual time.
func (s *sim) at(t time.Duration, f func()) { s.after(max(0, t-s.now), f) }

// every runs f again and again until it returns false.
func (s *sim) every(d time.Duration, f func() bool) {
	s.after(d, func() {
		if f() {
			s.every(d, f)
		}
	})
}

// until runs the events up to a time.
func (s *sim) until(end time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// exp returns an exponentially distributed time.
func (s *sim) exp(mean time.Duration) time.Duration {
	return time.Duration(s.rng.ExpFloat64() * float64(mean))
}

// between returns an even random time.
func (s *sim) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Int64N(int64(high-low)+1))
}

// ids returns the hashes of names with a prefix.
func ids(prefix string, n int) []uint64 {
	out := make([]uint64, n)
	for i := range out {
		out[i] = rendez.Hash(fmt.Sprintf("%s-%d", prefix, i+1))
	}
	return out
}
