package flow

import (
	"math"
	"time"

	"lagoonramp.org/lagoonramp/pkg/rendez"
)

// ServerSet is an immutable list of a service's backend servers.
type ServerSet struct {
	// IDs holds the hashes of the names of servers that take new flows.
	Accepting []uint64
	// Holding holds the hashes of servers that keep their flows but take no
	// new ones. It is disjoint from IDs.
	NotAccepting []uint64
	// Idle ends a flow of the service without datagrams; 0 takes the table's.
	IdleTimeout time.Duration
	// Silent is how long a flow may stay unanswered; 0 takes the table's,
	// negative is for ever.
	SilentAfter time.Duration
}

// Loads tells how loaded a server is. Implementations must be safe for the
// goroutine that owns the table.
type Loads interface {
	// Load returns the load of a server; higher is worse. A negative load
	// means that the server takes nothing now.
	Load(server uint64) float64
}

// LoadFunc makes Loads of a function.
type LoadFunc func(server uint64) float64

// Load calls f.
func (f LoadFunc) Load(server uint64) float64 { return f(server) }

// candidates returns the two servers that a flow's hash selects, 0 where
// there is none.
func (s *ServerSet) candidates(hash uint64) (first, second uint64) {
	var buf [2]int
	top := rendez.Top(hash, s.Accepting, 2, buf[:0])
	if len(top) > 0 {
		first = s.Accepting[top[0]]
	}
	if len(top) > 1 {
		second = s.Accepting[top[1]]
	}
	return first, second
}

// holds reports whether a server of the set may have flows pinned to it.
func (s *ServerSet) holds(server uint64) bool {
	for _, id := range s.Accepting {
		if id == server {
			return true
		}
	}
	for _, id := range s.NotAccepting {
		if id == server {
			return true
		}
	}
	return false
}

// loadSlack times the square root of a load is how far loads differ by chance.
const loadSlack = 2

// choose returns the candidate to take by load. The first candidate is kept
// unless its load exceeds the second's by the margin and by more than chance
// explains, since every second choice has to be told to the successor.
func choose(first, second uint64, l Loads, margin float64) uint64 {
	if second == 0 || l == nil {
		return first
	}
	a := l.Load(first)
	b := l.Load(second)
	switch {
	case b < 0:
		return first
	case a < 0:
		return second
	case a > b*(1+margin)+loadSlack*math.Sqrt(b+1):
		return second
	}
	return first
}
