package soak

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoonramp.org/lagoonramp/platform/stub"
)

// TestOrderNeedsTouchOnlyOnce guards against checks that demand what hosts cannot
// know yet, and against checks that a later fault excuses.
func TestOrderNeedsTouchOnlyOnce(t *testing.T) {
	is := is.New(t)
	o := order{bound: 3 * time.Second, since: time.Unix(100, 0)}
	at := func(second int64, inTouch bool) bool {
		o.observe(time.Unix(second, 0), inTouch)
		return o.inForce
	}
	is.True(!at(102, true))
	is.True(!at(103, false)) // Starts the bound again.
	is.True(!at(106, true))
	is.True(at(107, true))
	is.True(at(108, false))
}

// TestNewFlowViolations guards against checks of new flows that cannot fail, or that
// fail for a server that may get them.
func TestNewFlowViolations(t *testing.T) {
	now := time.Now()
	inForce, pending := &order{inForce: true}, &order{}
	for _, tt := range []struct {
		name       string
		server     testServer
		evacuation *order
		seed       uint64
		coldFlows  int
		violated   bool
	}{
		{name: "ready"},
		{name: "drain in force", server: testServer{leavingAt: now, drain: inForce}, violated: true},
		{name: "drain pending", server: testServer{leavingAt: now, drain: pending}},
		{name: "late in a quiet period", server: testServer{leavingAt: now.Add(-maxDrainDelay - time.Second), drain: pending}, violated: true},
		{name: "evacuation in force", evacuation: inForce, violated: true},
		{name: "evacuation pending", evacuation: pending},
		{name: "cold at the limit", seed: 1, coldFlows: 17},
		{name: "cold beyond the limit", seed: 1, coldFlows: 18, violated: true},
		{name: "cold without a limit", seed: limitSeeds, coldFlows: 18},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := &testbed{settings: Settings{Seed: tt.seed}, tracker: newTracker()}
			s := &tt.server
			s.Server = &stub.Server{DataCentre: "a", Warmup: time.Minute}
			s.MakeCold()
			for range tt.coldFlows {
				s.CountFlow(now)
			}
			if tt.evacuation != nil {
				b.evacuations["a"] = tt.evacuation
			}
			is.Equal(b.newFlowViolation(s, now) != "", tt.violated)
		})
	}
}

// TestVersionViolations guards against a host that returns to an older document, also
// if it has started since.
func TestVersionViolations(t *testing.T) {
	is := is.New(t)
	is.Equal(versionViolation(7, 7, 7), "")
	is.Equal(versionViolation(0, 0, 7), "")
	is.True(versionViolation(6, 7, 0) != "")
	is.True(versionViolation(6, 0, 7) != "")
}

// TestScheduleOfSequences guards against faults that cut hosts off the store while a
// sequence needs them in touch, and against cycles without other faults.
func TestScheduleOfSequences(t *testing.T) {
	is := is.New(t)
	s := newSchedule(2, nil)
	f, ok := s.next(0, false)
	is.True(ok)
	is.Equal(f.severity, sequence)
	seen := map[severity]int{}
	for range 500 {
		if f, ok := s.next(time.Second, true); ok {
			seen[f.severity]++
		}
	}
	is.True(seen[planned] > 0 && seen[unplanned] > 0)
	is.Equal(seen[sequence]+seen[outOfTouch], 0)
	for range 500 {
		f, _ := s.next(cycleDuration, false)
		is.True(f.severity != sequence)
	}
	only := newSchedule(2, []string{"evacuate a data centre"})
	_, ok = only.next(cycleDuration, true)
	is.True(!ok)
	f, _ = only.next(cycleDuration, false)
	is.Equal(f.name, "evacuate a data centre")
}
