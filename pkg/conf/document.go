package conf

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"time"
)

// Protocol says how a service's traffic is carried.
type Protocol string

// The protocols.
const (
	UDP  Protocol = "udp"
	TCP  Protocol = "tcp"
	HTTP Protocol = "http"
)

// Transport returns the transport protocol, udp or tcp. One IP number and port
// may be used once with each.
func (p Protocol) Transport() string {
	if p == UDP {
		return "udp"
	}
	return "tcp"
}

// State is what an operator wants of a backend server.
type State string

// The states of a backend server.
const (
	// Joining servers take new work gradually.
	Joining State = "joining"
	// Active servers take new work.
	Active State = "active"
	// Draining servers take no new work; what they hold goes on.
	Draining State = "draining"
	// Leaving servers take no new work and are about to be removed.
	Leaving State = "leaving"
)

// TakesNew reports whether a server in this state takes new work.
func (s State) AcceptsNewWork() bool { return s == Active || s == Joining }

// Class is a hint on how long requests run.
type Class string

// The classes.
const (
	Short Class = "short"
	Long  Class = "long"
)

// Duration is a time.Duration that is a string in JSON.
type Duration time.Duration

// MarshalJSON encodes d as a string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON decodes a string such as "2.5s".
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return fmt.Errorf("a duration must be a string such as \"2.5s\", not %s", b)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return fmt.Errorf("a duration must look like \"2.5s\", not %q", s)
	}
	*d = Duration(v)
	return nil
}

// Or returns d, or def if d is zero.
func (d Duration) Or(def time.Duration) time.Duration {
	if d == 0 {
		return def
	}
	return time.Duration(d)
}

// Document is the whole configuration.
type Document struct {
	// Teams holds each team's section by the team's name.
	Teams map[string]Section `json:"teams"`
}

// Section is the part of the document that one team owns.
type Section struct {
	Services []Service `json:"services"`
}

// Service is one service that callers reach.
type Service struct {
	// Name is unique in the document.
	Name string `json:"name"`
	// Address is where callers reach the service, as IP:port. With the
	// transport it is unique in the document.
	Address string `json:"address"`
	// Protocol is udp, tcp or http.
	Protocol Protocol `json:"protocol"`
	// ProxyHeader makes hosts send a PROXY protocol v2 header to servers.
	ProxyHeader bool `json:"proxyHeader,omitempty"`
	// IdleTimeout ends flows and connections without data.
	IdleTimeout Duration `json:"idleTimeout,omitempty"`
	// SilentAfter ends a flow that the server stopped answering; "-1s" is
	// never.
	SilentAfter Duration `json:"silentAfter,omitempty"`
	// Deadline bounds a request of a caller that sends none of its own.
	Deadline Duration `json:"deadline,omitempty"`
	// MaxBody bounds a request's body, in bytes. Zero is 1 GiB.
	MaxBody int64 `json:"maxBody,omitempty"`
	// Queue bounds the requests that wait at one host. Zero is 1,000.
	Queue int `json:"queue,omitempty"`
	// LongShare bounds the share of the slots that long requests take. It
	// lies in [0, 1]. Zero is 0.5.
	LongShare float64 `json:"longShare,omitempty"`
	// Classes are hints on requests' duration; the first match counts.
	Classes []ClassHint `json:"classes,omitempty"`
	// Health is the path of the servers' health endpoint; empty is none.
	Health string `json:"health,omitempty"`
	// Servers are the backend servers.
	Servers []Server `json:"servers"`
}

// ClassHint tells the class of the requests that it matches.
type ClassHint struct {
	// Method is an HTTP method; empty matches all.
	Method string `json:"method,omitempty"`
	// PathPrefix matches paths that begin with it.
	PathPrefix string `json:"pathPrefix"`
	// Class is short or long.
	Class Class `json:"class"`
}

// Server is one backend server.
type Server struct {
	// Name is unique in the service.
	Name string `json:"name"`
	// Address is IP:port. With the transport it belongs to one service of the
	// document only.
	Address string `json:"address"`
	// DataCentre is where the server stands.
	DataCentre string `json:"dataCentre"`
	// Slots is how many requests the server runs at a time, at least 1.
	Slots int `json:"slots"`
	// Connections bounds the open connections or flows, at least 1.
	Connections int `json:"connections"`
	// State is joining, active, draining or leaving.
	State State `json:"state"`
}

// AddressKey names a server address of the service with its transport.
func (s *Service) AddressKey(address string) string {
	return s.Protocol.Transport() + " " + address
}

// AddrPort returns the service's address. It must have passed Check.
func (s *Service) AddrPort() netip.AddrPort { return netip.MustParseAddrPort(s.Address) }

// AddrPort returns the server's address. It must have passed Check.
func (s *Server) AddrPort() netip.AddrPort { return netip.MustParseAddrPort(s.Address) }

// EachServer calls f with every server of the document.
func (d *Document) EachServer(f func(s *Service, v *Server)) {
	for _, section := range d.Teams {
		for i := range section.Services {
			s := &section.Services[i]
			for j := range s.Servers {
				f(s, &s.Servers[j])
			}
		}
	}
}
