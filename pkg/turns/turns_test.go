package turns

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoonramp.org/lagoonramp/internal/vtime"
)

const ms = time.Millisecond

// rollHost is a host that is restarted.
type rollHost struct {
	queue *Coordinator
	// up tells that its process runs, and ready that it says so.
	up, ready        bool
	readyAt, askedAt time.Duration
	// misses counts the routers' checks that failed in a row.
	misses int
}

// roll plays a rolling restart of the hosts of a data centre.
type roll struct {
	vtime.Clock
	hosts []*rollHost
	// lost is the share of flows that went to hosts that were down, summed up
	// over the steps.
	lost float64
	// longest is the longest time from the signal to the end of a process.
	longest time.Duration
	polite  bool
}

const (
	rollStep    = 10 * ms
	rollCheck   = 500 * ms
	rollLeave   = 1600 * ms
	rollRestart = 700 * ms
)

// newRoll asks each of the hosts to stop, one after the other with a gap.
func newRoll(hosts int, gap time.Duration, polite bool) *roll {
	r := &roll{polite: polite}
	for i := range hosts {
		h := &rollHost{queue: NewCoordinator(uint64(i+1), Settings{}), up: true, ready: true, readyAt: -time.Minute}
		r.hosts = append(r.hosts, h)
		r.After(time.Second+time.Duration(i)*gap, func() { r.stop(h) })
	}
	for i := range hosts {
		r.tell(i)
	}
	r.Every(rollCheck, func() bool { r.check(); return true })
	r.Every(rollStep, func() bool { r.measure(); return true })
	r.Until(time.Second + time.Duration(hosts)*(gap+2*time.Second))
	return r
}

// tell has a host report to all others.
func (r *roll) tell(i int) {
	h := r.hosts[i]
	var report Report
	if h.ready {
		report.ReadyFor = r.Now() - h.readyAt + 1
	}
	if h.askedAt > 0 {
		report.SinceStopRequest = r.Now() - h.askedAt + 1
	}
	for j, other := range r.hosts {
		if j != i {
			other.queue.RecordReport(r.Now(), uint64(i+1), report)
		}
	}
}

func (r *roll) index(h *rollHost) int { return int(h.queue.self) - 1 }

func (r *roll) stop(h *rollHost) {
	h.askedAt = r.Now()
	r.tell(r.index(h))
	r.Every(rollStep, func() bool {
		if r.polite && !h.queue.MayBecomeUnready(r.Now(), h.askedAt) {
			return true
		}
		h.ready = false
		r.tell(r.index(h))
		r.After(rollLeave, func() { r.end(h) })
		return false
	})
}

func (r *roll) end(h *rollHost) {
	h.up = false
	r.longest = max(r.longest, r.Now()-h.askedAt)
	r.After(rollRestart, func() {
		h.up, h.ready, h.readyAt, h.askedAt = true, true, r.Now(), 0
		h.queue = NewCoordinator(h.queue.self, Settings{})
		for i, other := range r.hosts {
			if other.up {
				r.tell(i)
			}
		}
	})
}

func (r *roll) check() {
	for _, h := range r.hosts {
		h.misses++
		if h.up && h.ready {
			h.misses = 0
		}
	}
}

// measure adds the share of flows that the routers send to hosts that are down.
func (r *roll) measure() {
	in, down, downIn := 0, 0, 0
	for _, h := range r.hosts {
		if !h.up {
			down++
		}
		if h.misses < 2 {
			in++
			if !h.up {
				downIn++
			}
		}
	}
	switch {
	case in == 0: // Another data centre serves.
	case 2*in < len(r.hosts):
		r.lost += float64(down) / float64(len(r.hosts))
	default:
		r.lost += float64(downIn) / float64(in)
	}
}

// TestRollingRestartLosesNoFlow restarts the hosts of data centres faster than a
// restart takes, with and without turns.
func TestRollingRestartLosesNoFlow(t *testing.T) {
	for _, tt := range []struct {
		hosts int
		gap   time.Duration
		// without tells whether flows are lost without turns.
		without bool
	}{
		{1, time.Second, false}, {2, 1200 * ms, false}, {3, 1200 * ms, true}, {3, 2500 * ms, false}, {16, 1200 * ms, false},
	} {
		t.Run(fmt.Sprintf("%d hosts, %v", tt.hosts, tt.gap), func(t *testing.T) {
			is := is.New(t)
			is.Equal(newRoll(tt.hosts, tt.gap, false).lost > 0, tt.without)
			polite := newRoll(tt.hosts, tt.gap, true)
			is.Equal(polite.lost, 0.0)
			is.True(polite.longest <= defaultMaxWait+rollLeave+rollStep)
		})
	}
}

func TestMayLeave(t *testing.T) {
	ready := Report{ReadyFor: time.Minute}
	for _, tt := range []struct {
		name   string
		others []Report
		want   bool
	}{
		{"alone", nil, true},
		{"one of two", []Report{ready}, true},
		{"no other is ready", []Report{{}, {}}, true},
		{"one of three is away", []Report{ready, {}}, false},
		{"one of four is away", []Report{ready, ready, {}}, true},
		{"another has just come back", []Report{ready, {ReadyFor: 100 * ms}}, false},
		{"the only other has just come back", []Report{{ReadyFor: 100 * ms}}, false},
		{"all others have just started", []Report{{ReadyFor: 100 * ms}, {ReadyFor: 200 * ms}}, false},
		{"another was asked before", []Report{ready, {ReadyFor: time.Minute, SinceStopRequest: 2 * time.Second}}, false},
		{"another was asked later", []Report{ready, {ReadyFor: time.Minute, SinceStopRequest: 500 * ms}}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			q := NewCoordinator(99, Settings{})
			now := time.Minute
			for i, r := range tt.others {
				q.RecordReport(now, uint64(i+1), r)
			}
			is.Equal(q.MayBecomeUnready(now, now-time.Second), tt.want)
			is.True(q.MayBecomeUnready(now, now-defaultMaxWait)) // No longer than the grace.
			for i := range tt.others {
				q.RemoveHost(uint64(i + 1))
			}
			is.True(q.MayBecomeUnready(now, now-time.Second))
		})
	}
}
