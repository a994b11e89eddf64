// Package pick chooses a backend server among those that can take a request.
//
// The ways to choose are types behind the interface Method, so that they can
// stand side by side and be compared. None keeps state of servers: the caller
// passes what it knows in a slice of Server.
package pick

import (
	"math/rand/v2"

	"lagoonramp.org/lagoonramp/pkg/rendez"
)

// Server is what a Method may look at.
type Server struct {
	// ID is the hash of the server's name.
	ID uint64
	// InFlight is the work that the server holds for this host.
	InFlight int
	// Free is how much more it may take from this host, at least 0.
	Free int
	// Weight lies in (0, 1]; a server that ramps up has less than 1.
	Weight float64
	// Latency is the observed mean time of a request in seconds, 0 if unknown.
	Latency float64
}

// Load returns the server's work relative to its weight.
func (s *Server) Load() float64 {
	if s.Weight <= 0 {
		return float64(s.InFlight) + 1e9
	}
	return (float64(s.InFlight) + 1) / s.Weight
}

// Method chooses a server.
type Policy interface {
	// Pick returns the index of a server with Free above 0, or -1 if there
	// is none. The key is the hash of the caller or the request.
	Pick(key uint64, servers []Server) int
}

// Hash takes the server that the key's hash selects, whatever its load, if it
// is free, else the next in the order.
type Hash struct{}

// Pick implements Method.
func (Hash) Pick(key uint64, servers []Server) int {
	best := -1
	var top uint64
	for i := range servers {
		if servers[i].Free <= 0 {
			continue
		}
		if s := rendez.Score(key, servers[i].ID); best < 0 || s > top {
			best, top = i, s
		}
	}
	return best
}

// RoundRobin takes the servers in turn.
type RoundRobin struct {
	next int
}

// Pick implements Method.
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

// LeastLoaded takes the server with the least load, by the key's hash among
// equals.
type LeastLoaded struct{}

// Pick implements Method.
func (LeastLoaded) Pick(key uint64, servers []Server) int {
	best := -1
	for i := range servers {
		if servers[i].Free > 0 && (best < 0 || better(key, &servers[i], &servers[best])) {
			best = i
		}
	}
	return best
}

func better(key uint64, a, b *Server) bool {
	if a.Load() != b.Load() {
		return a.Load() < b.Load()
	}
	return rendez.Score(key, a.ID) > rendez.Score(key, b.ID)
}

// TwoChoices takes the less loaded of two random free servers, after
// M. Mitzenmacher, "The power of two choices in randomized load balancing",
// IEEE TPDS 12(10), 2001.
type TwoChoices struct {
	Rand *rand.Rand
}

// Pick implements Method.
func (t TwoChoices) Pick(key uint64, servers []Server) int {
	a := t.random(servers)
	b := t.random(servers)
	if a < 0 || better(key, &servers[a], &servers[b]) {
		return a
	}
	return b
}

func (t TwoChoices) random(servers []Server) int {
	seen := 0
	at := -1
	for i := range servers {
		if servers[i].Free <= 0 {
			continue
		}
		seen++
		if t.Rand.IntN(seen) == 0 {
			at = i
		}
	}
	return at
}
