package dgram

import (
	"net/netip"
	"sync/atomic"

	"lagoonramp.org/lagoonramp/pkg/flow"
)

// Service is the configuration of a udp service.
type Service struct {
	// ID is the hash of Name.
	ID   uint64
	Name string
	// Address is the address that callers send to.
	Address netip.AddrPort
	// ProxyHeader is set if datagrams to and from the servers start with a PROXY
	// protocol v2 header.
	ProxyHeader bool
	// Servers holds all servers by ID, including those that accept no new
	// flows.
	Servers map[uint64]*Server
}

// Server is a backend server of a service.
type Server struct {
	ID      uint64
	Name    string
	Address netip.AddrPort
	// MaxFlows bounds the flows that this host pins to the server.
	MaxFlows int
	// Weight is the relative capacity, in (0, 1]. It is less than 1 while the
	// server ramps up.
	Weight float64
	// Flows counts the flows that all workers of this host have pinned to the
	// server. Successive Tables share the counter.
	Flows *atomic.Int64
}

// Tables holds the routing tables that the control loop publishes to the
// workers. It is immutable.
type Tables struct {
	View *flow.View
	// Services holds the services by ID, and ByAddress by address.
	Services  map[uint64]*Service
	ByAddress map[netip.AddrPort]*Service
	// ServerSets holds the server IDs of each service, by service ID, in the form
	// that package flow needs.
	ServerSets map[uint64]*flow.ServerSet
	// Peers holds the addresses of the hosts by ID.
	Peers map[uint64]netip.AddrPort
	// Moved maps server addresses that were recently reassigned to another
	// service to the name of that service.
	Moved map[netip.AddrPort]string
}

// serverLoads provides the loads of the servers to package flow.
type serverLoads struct {
	tables *Tables
	byID   map[uint64]*Server
}

// newServerLoads returns the loads of the servers in t.
func newServerLoads(t *Tables) *serverLoads {
	l := &serverLoads{tables: t, byID: map[uint64]*Server{}}
	for _, s := range t.Services {
		for id, server := range s.Servers {
			l.byID[id] = server
		}
	}
	return l
}

// Load implements flow.Loads. The load is the number of pinned flows relative to
// the server's weight, or -1 if the server is unknown or has MaxFlows flows.
func (l *serverLoads) Load(id uint64) float64 {
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
