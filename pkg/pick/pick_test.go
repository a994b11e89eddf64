package pick

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

func policies() map[string]Policy {
	return map[string]Policy{
		"hash":        Hash{},
		"roundRobin":  &RoundRobin{},
		"leastLoaded": LeastLoaded{},
		"twoChoices":  TwoChoices{Rand: rand.New(rand.NewPCG(1, 1))},
	}
}

func TestPoliciesPickOnlyFreeServers(t *testing.T) {
	for name, policy := range policies() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			rng := rand.New(rand.NewPCG(2, 2))
			for range 300 {
				servers := make([]Server, rng.IntN(6))
				anyFree := false
				for i := range servers {
					servers[i] = Server{ID: rng.Uint64(), Free: rng.IntN(2), Weight: 1}
					anyFree = anyFree || servers[i].Free > 0
				}
				got := policy.Pick(rng.Uint64(), servers)
				is.Equal(got >= 0, anyFree)
				is.True(got < 0 || servers[got].Free > 0)
			}
		})
	}
}

func TestEjectedRatioIsBounded(t *testing.T) {
	is := is.New(t)
	tracker := NewHealthTracker(HealthSettings{})
	ids := []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9}
	tracker.SetServers(0, ids, true)
	for range 20 {
		for _, id := range ids {
			tracker.RecordResult(time.Second, id, false, 0) // Every server fails.
		}
	}
	ejected := 0
	for _, id := range ids {
		if tracker.Ejected(time.Second, id) {
			ejected++
		}
	}
	is.Equal(ejected, 3) // 0.34 of 9, rounded down.
}

func TestRampAfterStartAndEjection(t *testing.T) {
	is := is.New(t)
	tracker := NewHealthTracker(HealthSettings{})
	tracker.SetServers(0, []uint64{1, 2, 3}, true)
	tracker.SetServers(time.Second, []uint64{1, 2, 3, 4}, false)
	is.Equal(tracker.Weight(time.Second, 1), 1.0)
	is.Equal(tracker.Weight(time.Second, 4), 0.1)
	is.Equal(tracker.Weight(6*time.Second, 4), 0.5)
	is.Equal(tracker.Weight(11*time.Second, 4), 1.0)
	for range 5 {
		tracker.RecordResult(20*time.Second, 1, false, 0)
	}
	is.Equal(tracker.Weight(21*time.Second, 1), 0.0)
	is.Equal(tracker.Weight(25*time.Second, 1), 0.1)
	is.Equal(tracker.Weight(35*time.Second, 1), 1.0)
}

func TestHealthEndpointAloneDoesNotReduceWeight(t *testing.T) {
	is := is.New(t)
	tracker := NewHealthTracker(HealthSettings{})
	tracker.SetServers(0, []uint64{1}, true)
	tracker.SetHealthCheck(1, false) // Has no effect without an observed failure.
	is.Equal(tracker.Weight(time.Minute, 1), 1.0)
	tracker.RecordResult(time.Minute, 1, false, 0)
	is.Equal(tracker.Weight(time.Minute, 1), 0.5)
}
