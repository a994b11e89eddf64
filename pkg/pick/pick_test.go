package pick

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

func methods() map[string]Policy {
	return map[string]Policy{
		"hash":        Hash{},
		"roundRobin":  &RoundRobin{},
		"leastLoaded": LeastLoaded{},
		"twoChoices":  TwoChoices{Rand: rand.New(rand.NewPCG(1, 1))},
	}
}

func TestMethodsTakeOnlyFreeServers(t *testing.T) {
	for name, m := range methods() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			rng := rand.New(rand.NewPCG(2, 2))
			for range 300 {
				servers := make([]Server, rng.IntN(6))
				free := false
				for i := range servers {
					servers[i] = Server{ID: rng.Uint64(), Free: rng.IntN(2), Weight: 1}
					free = free || servers[i].Free > 0
				}
				got := m.Pick(rng.Uint64(), servers)
				is.Equal(got >= 0, free)
				is.True(got < 0 || servers[got].Free > 0)
			}
		})
	}
}

func TestEjectionIsBounded(t *testing.T) {
	is := is.New(t)
	w := NewHealthTracker(HealthSettings{})
	ids := []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9}
	w.SetServers(0, ids, true)
	for range 20 {
		for _, id := range ids {
			w.RecordResult(time.Second, id, false, 0) // A bad signal for all of them.
		}
	}
	out := 0
	for _, id := range ids {
		if w.Ejected(time.Second, id) {
			out++
		}
	}
	is.Equal(out, 3) // A third of nine.
}

func TestRampAfterStartAndEjection(t *testing.T) {
	is := is.New(t)
	w := NewHealthTracker(HealthSettings{})
	w.SetServers(0, []uint64{1, 2, 3}, true)
	w.SetServers(time.Second, []uint64{1, 2, 3, 4}, false)
	is.Equal(w.Weight(time.Second, 1), 1.0)
	is.Equal(w.Weight(time.Second, 4), 0.1)
	is.Equal(w.Weight(6*time.Second, 4), 0.5)
	is.Equal(w.Weight(11*time.Second, 4), 1.0)
	for range 5 {
		w.RecordResult(20*time.Second, 1, false, 0)
	}
	is.Equal(w.Weight(21*time.Second, 1), 0.0)
	is.Equal(w.Weight(25*time.Second, 1), 0.1)
	is.Equal(w.Weight(35*time.Second, 1), 1.0)
}

func TestHealthEndpointAloneDoesNothing(t *testing.T) {
	is := is.New(t)
	w := NewHealthTracker(HealthSettings{})
	w.SetServers(0, []uint64{1}, true)
	w.SetHealthCheck(1, false) // It may lie: own observations are needed as well.
	is.Equal(w.Weight(time.Minute, 1), 1.0)
	w.RecordResult(time.Minute, 1, false, 0)
	is.Equal(w.Weight(time.Minute, 1), 0.5)
}
