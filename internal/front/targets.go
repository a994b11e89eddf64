package front

import (
	"net/netip"
	"time"

	"lagoonramp.org/lagoonramp/pkg/conf"
)

// Targets is the configuration of a service. It is immutable.
type Targets struct {
	// ID is the hash of Name.
	ID      uint64
	Name    string
	Address netip.AddrPort
	// Deadline bounds the wait for an answer's header.
	Deadline time.Duration
	// Idle ends an answer whose server sends nothing for so long.
	Idle    time.Duration
	MaxBody int64
	Queue   int
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
	TakesNew bool
}

// server returns a server by ID, or nil.
func (t *Targets) server(id uint64) *Server {
	for i := range t.Servers {
		if t.Servers[i].ID == id {
			return &t.Servers[i]
		}
	}
	return nil
}
