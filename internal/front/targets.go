package front

import (
	"net/netip"
	"time"

	"lagoonramp.org/lagoonramp/pkg/conf"
)

// Targets is the configuration of a service. It is immutable.
type ServiceConfig struct {
	// ID is the hash of Name.
	ID      uint64
	Name    string
	Address netip.AddrPort
	// Deadline bounds the wait for an answer's header.
	HeaderTimeout time.Duration
	// Idle ends an answer whose server sends nothing for so long.
	IdleTimeout time.Duration
	MaxBody     int64
	MaxWaiting  int
	// LongShare bounds the share of the slots that long requests take.
	LongShare float64
	Classes   []conf.ClassHint
	Servers   []Server
	// Hosts are the hosts of the data centre that own slots.
	Hosts []uint64
}

// Server is a backend server of an http service.
type Server struct {
	ID      uint64
	Name    string
	Address string
	Slots   int
	// TakesNew tells that the server takes new requests.
	AcceptsNew bool
}

// server returns a server by ID, or nil.
func (t *ServiceConfig) server(id uint64) *Server {
	for i := range t.Servers {
		if t.Servers[i].ID == id {
			return &t.Servers[i]
		}
	}
	return nil
}
