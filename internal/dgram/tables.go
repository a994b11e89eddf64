package dgram

import (
	"net/netip"
	"sync/atomic"

	"lagoonramp.org/lagoonramp/pkg/flow"
)

// Service is a service that is carried as datagrams.
type Service struct {
	// ID is the hash of Name.
	ID   uint64
	Name string
	// Address is where callers reach the service.
	Address netip.AddrPort
	// ProxyHeader makes hosts send a PROXY header to the servers.
	ProxyHeader bool
	// Servers holds all servers by ID, also those that take no new flows.
	Servers map[uint64]*Server
}

// Server is a backend server of a service.
type Server struct {
	ID      uint64
	Name    string
	Address netip.AddrPort
	// Limit bounds the flows that this host may pin to the server.
	MaxFlows int
	// Weight lies in (0, 1]; a server that ramps up has less than 1.
	Weight float64
	// Flows counts the flows pinned here, over all workers. It is shared
	// between successive Tables.
	Flows *atomic.Int64
}

// Tables is what the control thread decided. It is immutable.
type Tables struct {
	View *flow.View
	// Services holds the services by ID, and ByAddress by their address.
	Services  map[uint64]*Service
	ByAddress map[netip.AddrPort]*Service
	// Sets holds the servers' IDs in the form that package flow needs.
	ServerSets map[uint64]*flow.ServerSet
	// Peers holds the hosts' addresses by ID.
	Peers map[uint64]netip.AddrPort
	// Moved holds the server addresses that lately became another service's,
	// with the name of that service.
	Moved map[netip.AddrPort]string
}

// load is what package flow asks of a server.
type load struct {
	tables *Tables
	byID   map[uint64]*Server
}

func newLoad(t *Tables) *load {
	l := &load{tables: t, byID: map[uint64]*Server{}}
	for _, s := range t.Services {
		for id, server := range s.Servers {
			l.byID[id] = server
		}
	}
	return l
}

// Load implements flow.Loads.
func (l *load) Load(id uint64) float64 {
	s := l.byID[id]
	if s == nil {
		return -1
	}
	n := s.Flows.Load()
	if n >= int64(s.MaxFlows) {
		return -1
	}
	return float64(n) / s.Weight
}
