package flow

import (
	"math"
	"time"

	"lagoonramp.org/lagoonramp/pkg/rendez"
)

// ServerSet holds the backend servers of a service. It is immutable.
type ServerSet struct {
	// Accepting holds the servers that accept new flows, as hashes of their
	// names.
	Accepting []uint64
	// NotAccepting holds the servers that keep their flows but accept no new
	// ones. It is disjoint from Accepting.
	NotAccepting []uint64
	// IdleTimeout is the time without datagrams after which a flow ends. If 0,
	// the table's setting applies.
	IdleTimeout time.Duration
	// SilentAfter is the time without a reply after which a flow may be ended
	// as silent. If 0, the table's setting applies; if negative, flows are
	// never ended as silent.
	UnresponsiveTimeout time.Duration
}

// Loads provides the loads of servers. Load must be safe to call from the
// goroutine that owns the Table.
type Loads interface {
	// Load returns the load of a server; higher is worse. A negative load
	// means that the server accepts no flows at present.
	Load(server uint64) float64
}

// LoadFunc adapts a function to Loads.
type LoadFunc func(server uint64) float64

// Load calls f.
func (f LoadFunc) Load(server uint64) float64 { return f(server) }

// candidates returns the two accepting servers that rank highest for a flow's
// hash, 0 for each that does not exist.
func (s *ServerSet) candidates(hash uint64) (first, second uint64) {
	var buf [2]int
	ranked := rendez.Top(hash, s.Accepting, 2, buf[:0])
	if len(ranked) > 0 {
		first = s.Accepting[ranked[0]]
	}
	if len(ranked) > 1 {
		second = s.Accepting[ranked[1]]
	}
	return first, second
}

// contains reports whether the server is in the set, accepting or not, so that
// flows may be pinned to it.
func (s *ServerSet) contains(server uint64) bool {
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

// loadNoiseFactor times the square root of a load is the difference between
// loads that is attributed to chance.
const loadNoiseFactor = 2

// chooseByLoad returns one of the two candidates. It prefers the first unless
// its load exceeds the load of the second by the margin and by more than chance
// explains, since every flow on a second candidate is an exception that has to
// be sent to the successor.
func chooseByLoad(first, second uint64, loads Loads, margin float64) uint64 {
	if second == 0 || loads == nil {
		return first
	}
	firstLoad := loads.Load(first)
	secondLoad := loads.Load(second)
	switch {
	case secondLoad < 0:
		return first
	case firstLoad < 0:
		return second
	case firstLoad > secondLoad*(1+margin)+loadNoiseFactor*math.Sqrt(secondLoad+1):
		return second
	}
	return first
}
