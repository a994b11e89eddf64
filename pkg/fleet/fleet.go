// Package fleet holds what operators and backend servers declared: routes,
// services and servers, and how a host derives from it the view by which it
// forwards.
//
// A View is immutable. A Builder makes one from each new state of the store; it
// keeps for a while what an open flow may still need after the store dropped
// it: servers that left, and routes that were removed.
//
// Conventions. Time is a time.Duration since an epoch that the embedder
// chooses.
package fleet

import (
	"net/netip"
	"time"
)

// State is what a server says of itself.
type State uint8

// The states of servers.
const (
	// Ready: the server takes new flows.
	Ready State = iota
	// Draining: the server is leaving and must get no new flows.
	Draining
)

// Server is a backend server's entry.
type Server struct {
	// ID names the server; a restart may keep it.
	ID string `json:"id"`
	// Token is the number by which the server recognises packets that are
	// meant for it.
	Token      uint64         `json:"token"`
	Service    string         `json:"service"`
	Address    netip.AddrPort `json:"address"`
	DataCentre string         `json:"dataCentre"`
	// Slots is how many requests the server runs at a time, at least 1.
	Slots int   `json:"slots"`
	State State `json:"state"`
	// WarmFor is how long the server stays slow after it wrote the entry.
	WarmupDuration time.Duration `json:"warmFor"`
	// Started is when the server's process started; it may be zero.
	Started time.Time `json:"started"`
	// Mark names the server in packets. It is never 0 and belongs to no other
	// server of the view.
	Mark uint32 `json:"-"`
	// WarmUntil is when the server stops being slow, by this host's clock.
	WarmupEnd time.Duration `json:"-"`
}

// Target is a service of a route with its share of the flows.
type Target struct {
	Service string
	// Weight is relative to the other targets' and not negative.
	Weight float64
}

// Route says where the flows to an address go.
type Route struct {
	Name    string
	Address netip.AddrPort
	Targets []Target
	// Objective is within what time a request should be answered, and Timeout
	// when its caller gives up; 0 if the operators do not say.
	Objective, Timeout time.Duration
}

// Document is a configuration of the operators.
type Document struct {
	// Version rises with each document.
	Version uint64
	Routes  []Route
}

// Path is a route as the view knows it.
type RouteState struct {
	// Targets are the services for new flows. It is empty if the route was
	// removed.
	Targets []Target
	// Former are the services that new flows went to before, within a flow's
	// lifetime.
	FormerServices []string
	// Objective and Timeout are the route's.
	Objective, Timeout time.Duration
}

// Allows reports whether an open flow of the route may be at a service.
func (p *RouteState) AllowsService(service string) bool {
	for _, t := range p.Targets {
		if t.Service == service {
			return true
		}
	}
	for _, f := range p.FormerServices {
		if f == service {
			return true
		}
	}
	return false
}

// View is what a host forwards by. It is immutable.
type View struct {
	// Version is the version of the operators' document, 0 if none is known.
	DocumentVersion uint64
	// Revision is the store's revision that the view is of.
	StoreRevision uint64
	Routes        map[netip.AddrPort]*RouteState
	// Incomplete tells that a service without servers may have some: their
	// entries may have lapsed while the store was away, before the host started.
	Incomplete bool
	// Usable holds the servers for new flows, by service, in order of their
	// IDs.
	Usable map[string][]*Server
	// Marked holds every server to which an open flow may belong, by mark.
	ServersByMark map[uint32]*Server
}
