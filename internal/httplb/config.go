package httplb

import (
	"net/netip"
	"time"

	"lagoonramp.org/lagoonramp/pkg/conf"
)

// ServiceConfig is the configuration of a service. It must not be modified after
// it is passed to NewService or SetConfig.
type ServiceConfig struct {
	// ID is the hash of Name.
	ID      uint64
	Name    string
	Address netip.AddrPort
	// HeaderTimeout bounds the time until an answer starts, waiting and retries
	// included, unless the caller sets a timeout. The default is 30 s.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time in which a server sends no data of an answer.
	// The default is 60 s.
	IdleTimeout time.Duration
	// MaxBody is the maximum size of a request body in bytes. The default is
	// 1 GiB.
	MaxBody int64
	// MaxWaiting is the maximum number of waiting requests.
	MaxWaiting int
	// LongShare is the maximum share of the slots that long requests may hold.
	MaxLongRatio float64
	// Classes are the operators' hints on which requests are short or long.
	Classes []conf.ClassHint
	Servers []Server
	// Hosts lists the IDs of the data centre's hosts that own slots.
	Hosts []uint64
}

// Server is a backend server of an HTTP service.
type Server struct {
	ID      uint64
	Name    string
	Address string
	// Slots is the maximum number of requests in flight at the server, from all
	// hosts together.
	Slots int
	// AcceptsNew reports whether the server accepts new requests.
	AcceptsNewWork bool
}

// server returns the server with the given ID, or nil if there is none.
func (c *ServiceConfig) server(id uint64) *Server {
	for i := range c.Servers {
		if c.Servers[i].ID == id {
			return &c.Servers[i]
		}
	}
	return nil
}
