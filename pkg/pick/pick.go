// Package pick implements load-balancing policies, which choose a backend
// server for a request, and a HealthTracker that ejects failing servers.
//
// Every policy implements the interface Policy, so that policies can be exchanged
// and compared. Policies keep no state about servers: Pick receives their
// current state as a slice of Server.
package pick

import (
	"math/rand/v2"

	"lagoonramp.org/lagoonramp/pkg/rendez"
)

// Server is the state of a backend server that a Policy chooses by.
type Server struct {
	// ID is the hash of the server's name.
	ID uint64
	// InFlight is the number of requests or connections of this host that the
	// server is serving.
	InFlight int
	// Free is the number of further requests or connections that the server
	// may take from this host. It is not negative.
	Free int
	// Weight is the server's relative share of the load, in (0, 1]. It is below
	// 1 while the server ramps up or is reported unhealthy.
	Weight float64
	// Latency is the observed mean latency in seconds, 0 if unknown.
	Latency float64
}

// Load returns the load of the server, with one more request, divided by its
// weight. A server without weight ranks behind all others.
func (s *Server) Load() float64 {
	if s.Weight <= 0 {
		return float64(s.InFlight) + 1e9
	}
	return (float64(s.InFlight) + 1) / s.Weight
}

// Policy is a load-balancing policy.
type Policy interface {
	// Pick returns the index of a server with Free > 0, or -1 if there is none.
	// The key is the hash of the caller or of the request.
	Pick(key uint64, servers []Server) int
}

// Hash picks the first server with free capacity in the rendezvous order of the
// key, regardless of load.
type Hash struct{}

// Pick implements Policy.
func (Hash) Pick(key uint64, servers []Server) int {
	best := -1
	var bestScore uint64
	for i := range servers {
		if servers[i].Free <= 0 {
			continue
		}
		if s := rendez.Score(key, servers[i].ID); best < 0 || s > bestScore {
			best, bestScore = i, s
		}
	}
	return best
}

// RoundRobin picks the servers one after the other, skipping those without free
// capacity.
type RoundRobin struct {
	next int
}

// Pick implements Policy.
func (r *RoundRobin) Pick(_ uint64, servers []Server) int {
	for range servers {
		i := r.next % len(servers)
		r.next++
		if servers[i].Free > 0 {
			return i
		}
	}
	return -1
}

// LeastLoaded picks the server with the lowest Load. Ties are broken by the
// rendezvous score of the key.
type LeastLoaded struct{}

// Pick implements Policy.
func (LeastLoaded) Pick(key uint64, servers []Server) int {
	best := -1
	for i := range servers {
		if servers[i].Free > 0 && (best < 0 || lessLoaded(key, &servers[i], &servers[best])) {
			best = i
		}
	}
	return best
}

// lessLoaded reports whether a has a lower load than b, or the same load and a
// higher rendezvous score for key.
func lessLoaded(key uint64, a, b *Server) bool {
	if a.Load() != b.Load() {
		return a.Load() < b.Load()
	}
	return rendez.Score(key, a.ID) > rendez.Score(key, b.ID)
}

// TwoChoices picks the less loaded of two random servers with free capacity, see
// M. Mitzenmacher, "The power of two choices in randomized load balancing",
// IEEE TPDS 12(10), 2001.
type TwoChoices struct {
	Rand *rand.Rand
}

// Pick implements Policy.
func (t TwoChoices) Pick(key uint64, servers []Server) int {
	a := t.randomFree(servers)
	b := t.randomFree(servers)
	if a < 0 || lessLoaded(key, &servers[a], &servers[b]) {
		return a
	}
	return b
}

// randomFree returns the index of a uniformly random server with free capacity,
// or -1 if there is none. It samples in one pass, by reservoir sampling.
func (t TwoChoices) randomFree(servers []Server) int {
	freeCount := 0
	chosen := -1
	for i := range servers {
		if servers[i].Free <= 0 {
			continue
		}
		freeCount++
		if t.Rand.IntN(freeCount) == 0 {
			chosen = i
		}
	}
	return chosen
}
