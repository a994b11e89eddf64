package drain

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoonramp.org/lagoonramp/internal/vtime"
)

const ms = time.Millisecond

// simHost is a simulated host that is restarted.
type simHost struct {
	coordinator *Coordinator
	// running is the state of the process, and ready the state that the host
	// reports.
	running, ready           bool
	readyAt, stopRequestedAt time.Duration
	// failedChecks is the number of consecutive readiness checks that failed.
	failedChecks int
}

// restartSim simulates a rolling restart of the hosts of a data centre.
type restartSim struct {
	vtime.Clock
	hosts []*simHost
	// lostFlows is the fraction of flows that were sent to hosts that were down,
	// summed over the steps of the simulation.
	lostFlows float64
	// maxStopTime is the longest time from the stop request of a host to the
	// end of its process.
	maxStopTime time.Duration
	// coordinated makes hosts wait for MayBecomeUnready.
	coordinated bool
}

const (
	simStep         = 10 * ms
	checkInterval   = 500 * ms
	drainDuration   = 1600 * ms
	restartDuration = 700 * ms
)

// simulateRestart runs a rolling restart in which one host after the other is
// asked to stop, at intervals of gap.
func simulateRestart(hosts int, gap time.Duration, coordinated bool) *restartSim {
	r := &restartSim{coordinated: coordinated}
	for i := range hosts {
		h := &simHost{coordinator: NewCoordinator(uint64(i+1), Settings{}), running: true, ready: true, readyAt: -time.Minute}
		r.hosts = append(r.hosts, h)
		r.After(time.Second+time.Duration(i)*gap, func() { r.requestStop(h) })
	}
	for i := range hosts {
		r.sendReport(i)
	}
	r.Every(checkInterval, func() bool { r.runReadinessChecks(); return true })
	r.Every(simStep, func() bool { r.addLostFlows(); return true })
	r.RunUntil(time.Second + time.Duration(hosts)*(gap+2*time.Second))
	return r
}

// sendReport delivers the report of host i to all other hosts.
func (r *restartSim) sendReport(i int) {
	h := r.hosts[i]
	var report Report
	if h.ready {
		report.ReadyFor = r.Now() - h.readyAt + 1
	}
	if h.stopRequestedAt > 0 {
		report.SinceStopRequest = r.Now() - h.stopRequestedAt + 1
	}
	for j, other := range r.hosts {
		if j != i {
			other.coordinator.RecordReport(r.Now(), uint64(i+1), report)
		}
	}
}

func (r *restartSim) index(h *simHost) int { return int(h.coordinator.self) - 1 }

func (r *restartSim) requestStop(h *simHost) {
	h.stopRequestedAt = r.Now()
	r.sendReport(r.index(h))
	r.Every(simStep, func() bool {
		if r.coordinated && !h.coordinator.MayBecomeUnready(r.Now(), h.stopRequestedAt) {
			return true
		}
		h.ready = false
		r.sendReport(r.index(h))
		r.After(drainDuration, func() { r.endProcess(h) })
		return false
	})
}

func (r *restartSim) endProcess(h *simHost) {
	h.running = false
	r.maxStopTime = max(r.maxStopTime, r.Now()-h.stopRequestedAt)
	r.After(restartDuration, func() {
		h.running, h.ready, h.readyAt, h.stopRequestedAt = true, true, r.Now(), 0
		h.coordinator = NewCoordinator(h.coordinator.self, Settings{})
		for i, other := range r.hosts {
			if other.running {
				r.sendReport(i)
			}
		}
	})
}

func (r *restartSim) runReadinessChecks() {
	for _, h := range r.hosts {
		h.failedChecks++
		if h.running && h.ready {
			h.failedChecks = 0
		}
	}
}

// addLostFlows adds the fraction of flows that routers send in this step to hosts
// that are down. Routers use the hosts with fewer than two consecutive failed
// checks, or all hosts if these are fewer than half.
func (r *restartSim) addLostFlows() {
	inRotation, down, downInRotation := 0, 0, 0
	for _, h := range r.hosts {
		if !h.running {
			down++
		}
		if h.failedChecks < 2 {
			inRotation++
			if !h.running {
				downInRotation++
			}
		}
	}
	switch {
	case inRotation == 0: // Routers use another data centre.
	case 2*inRotation < len(r.hosts):
		r.lostFlows += float64(down) / float64(len(r.hosts))
	default:
		r.lostFlows += float64(downInRotation) / float64(inRotation)
	}
}

// TestRollingRestartLosesNoFlow guards against a rolling restart that stops hosts
// at shorter intervals than a restart takes. If fewer than half of the hosts are
// ready, routers send flows to hosts that are down. Each case also runs without
// coordination to show whether flows would be lost.
func TestRollingRestartLosesNoFlow(t *testing.T) {
	for _, tt := range []struct {
		hosts int
		gap   time.Duration
		// lossExpected is true if flows are lost without coordination.
		lossExpected bool
	}{
		{1, time.Second, false}, {2, 1200 * ms, false}, {3, 1200 * ms, true}, {3, 2500 * ms, false}, {16, 1200 * ms, false},
	} {
		t.Run(fmt.Sprintf("%d hosts, %v", tt.hosts, tt.gap), func(t *testing.T) {
			is := is.New(t)
			is.Equal(simulateRestart(tt.hosts, tt.gap, false).lostFlows > 0, tt.lossExpected)
			coordinated := simulateRestart(tt.hosts, tt.gap, true)
			is.Equal(coordinated.lostFlows, 0.0)
			is.True(coordinated.maxStopTime <= defaultMaxWait+drainDuration+simStep)
		})
	}
}

func TestMayBecomeUnready(t *testing.T) {
	ready := Report{ReadyFor: time.Minute}
	for _, tt := range []struct {
		name   string
		others []Report
		want   bool
	}{
		{"alone", nil, true},
		{"one of two", []Report{ready}, true},
		{"no other is ready", []Report{{}, {}}, true},
		{"one of three is not ready", []Report{ready, {}}, false},
		{"one of four is not ready", []Report{ready, ready, {}}, true},
		{"another has just become ready", []Report{ready, {ReadyFor: 100 * ms}}, false},
		{"the only other has just become ready", []Report{{ReadyFor: 100 * ms}}, false},
		{"all others have just become ready", []Report{{ReadyFor: 100 * ms}, {ReadyFor: 200 * ms}}, false},
		{"another was asked before", []Report{ready, {ReadyFor: time.Minute, SinceStopRequest: 2 * time.Second}}, false},
		{"another was asked later", []Report{ready, {ReadyFor: time.Minute, SinceStopRequest: 500 * ms}}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := NewCoordinator(99, Settings{})
			now := time.Minute
			for i, r := range tt.others {
				c.RecordReport(now, uint64(i+1), r)
			}
			is.Equal(c.MayBecomeUnready(now, now-time.Second), tt.want)
			is.True(c.MayBecomeUnready(now, now-defaultMaxWait)) // Waits no longer than MaxWait.
			for i := range tt.others {
				c.RemoveHost(uint64(i + 1))
			}
			is.True(c.MayBecomeUnready(now, now-time.Second))
		})
	}
}

// TestTwoHostsDoNotStopAtOnce guards against two hosts that become unready at the
// same time: the second one has not heard yet that a third, which was restarted, is
// ready again, and takes itself for the only one left. Routers then use the hosts
// that are down.
func TestTwoHostsDoNotStopAtOnce(t *testing.T) {
	is := is.New(t)
	c := NewCoordinator(99, Settings{})
	const asked = time.Minute
	c.RecordReport(0, 1, Report{ReadyFor: time.Minute})
	c.RecordReport(10*time.Second, 1, Report{SinceStopRequest: time.Second}) // It is being restarted.
	c.RecordReport(asked, 2, Report{ReadyFor: time.Minute, SinceStopRequest: time.Second})
	c.RecordReport(asked+ms, 2, Report{SinceStopRequest: time.Second + ms})
	is.True(!c.MayBecomeUnready(asked+2*ms, asked))
	c.RecordReport(asked+500*ms, 1, Report{ReadyFor: time.Second})
	is.True(!c.MayBecomeUnready(asked+500*ms, asked)) // One of three would remain.
	c.RecordReport(asked+time.Second, 2, Report{ReadyFor: time.Second})
	is.True(c.MayBecomeUnready(asked+time.Second, asked))
}
