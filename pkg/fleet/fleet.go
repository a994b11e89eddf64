// Package fleet defines the routes that operators configure and the backend
// servers that register themselves, and builds the View by which a host forwards
// flows.
//
// A View is immutable. A Builder derives one from each new state of the store.
// It retains servers and routes for a flow's lifetime after they are removed
// from the store, since open flows may still depend on them.
//
// Times are durations since an epoch that the application chooses.
package fleet

import (
	"net/netip"
	"slices"
	"time"
)

// State is the state that a server registers for itself.
type State uint8

// The states of servers.
const (
	// Ready means that the server accepts new flows.
	Ready State = iota
	// Draining means that the server is shutting down and must not receive new
	// flows.
	Draining
)

// Server is the entry of a backend server in the store.
type Server struct {
	// ID identifies the server. It may stay the same over a restart.
	ID string `json:"id"`
	// Token is the number in packets by which the server recognises that it is
	// their destination.
	Token      uint64         `json:"token"`
	Service    string         `json:"service"`
	Address    netip.AddrPort `json:"address"`
	DataCentre string         `json:"dataCentre"`
	// Slots is the number of requests that the server runs concurrently, at
	// least 1.
	Slots int   `json:"slots"`
	State State `json:"state"`
	// Sequence orders the versions of the entry that one process of the server
	// writes. It is not negative.
	Sequence int64 `json:"sequence,omitempty"`
	// WarmupDuration is how long the server remains slow after it wrote the
	// entry.
	WarmupDuration time.Duration `json:"warmFor"`
	// Started is when the server's process started, or the zero time if it is
	// unknown.
	Started time.Time `json:"started"`
	// Mark identifies the server in packets. It is not 0 and is unique in the
	// view.
	Mark uint32 `json:"-"`
	// WarmupEnd is the end of the warm-up, by this host's clock.
	WarmupEnd time.Duration `json:"-"`
	// Departed reports whether the store no longer has the server's entry, and
	// Replaced whether another server has registered its address since, so that
	// its process has ended.
	Departed, Replaced bool `json:"-"`
}

// Target is a service to which a route sends a fraction of its flows.
type Target struct {
	Service string
	// Weight is relative to the weights of the other targets. It is not
	// negative.
	Weight float64
}

// Route configures the services that receive the flows to an address.
type Route struct {
	Name    string
	Address netip.AddrPort
	Targets []Target
	// Objective is the time within which a request should be answered, and
	// Timeout the time after which its caller gives up. Either is 0 if the
	// operators have not set it.
	Objective, Timeout time.Duration
	// Idempotent reports whether callers may repeat a request whose outcome they
	// do not know.
	Idempotent bool
	// Priority ranks the route's requests under overload. 0 is the most urgent.
	Priority int
}

// Service configures the servers of a service.
type Service struct {
	Name string
	// WarmupDuration is how long a server is cold after its start.
	WarmupDuration time.Duration
	// WarmupRate is the number of requests per second that a cold server can
	// serve, 0 for no limit. It is not negative.
	WarmupRate float64
}

// Document is a version of the operators' configuration.
type Document struct {
	// Version increases with each document.
	Version uint64
	Routes  []Route
	// Services are the services, including those without a route. If it is empty,
	// servers of any service are valid.
	Services []Service
}

// RouteState is the state of a route in a view, including its former services.
type RouteState struct {
	// Targets lists the services for new flows. It is empty if the route was
	// removed.
	Targets []Target
	// FormerServices lists the services, sorted by name, that were targets
	// within the last flow lifetime and no longer are.
	FormerServices []string
	// Objective, Timeout, Idempotent and Priority are those of the Route.
	Objective, Timeout time.Duration
	Idempotent         bool
	Priority           int
}

// AllowsService reports whether an open flow of the route may belong to service,
// that is, whether service is a present or a former target.
func (r *RouteState) AllowsService(service string) bool {
	for _, t := range r.Targets {
		if t.Service == service {
			return true
		}
	}
	for _, f := range r.FormerServices {
		if f == service {
			return true
		}
	}
	return false
}

// View is the immutable forwarding state of a host.
type View struct {
	// DocumentVersion is the version of the operators' document, 0 if there is
	// none.
	DocumentVersion uint64
	// StoreRevision is the revision of the store from which the view was built.
	StoreRevision uint64
	Routes        map[netip.AddrPort]*RouteState
	// Incomplete means that services without servers in the view may have some:
	// their entries may have expired during an outage of the store before the
	// host started.
	Incomplete bool
	// Services maps names to the services of the document.
	Services map[string]Service
	// Evacuated holds the data centres whose servers get no new flows, and
	// EvacuatedServices the services that have servers for new flows in these data
	// centres only.
	Evacuated, EvacuatedServices map[string]bool
	// Usable maps each service to its servers for new flows, sorted by ID.
	Usable map[string][]*Server
	// ServersByMark maps marks to servers. It contains every server to which an
	// open flow may belong.
	ServersByMark map[uint32]*Server
}

// IsEvacuated reports whether all servers for new flows of a route are in evacuated
// data centres. However old the view is, such flows are to be refused.
func (v *View) IsEvacuated(route netip.AddrPort) bool {
	r := v.Routes[route]
	return r != nil && len(r.Targets) > 0 &&
		!slices.ContainsFunc(r.Targets, func(t Target) bool { return !v.EvacuatedServices[t.Service] })
}
