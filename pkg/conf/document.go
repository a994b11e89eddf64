package conf

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"time"
)

// Protocol is the protocol that a service speaks.
type Protocol string

// Protocols of a service.
const (
	UDP  Protocol = "udp"
	TCP  Protocol = "tcp"
	HTTP Protocol = "http"
)

// Transport returns the transport protocol, "udp" or "tcp". An address may be
// used once with each of them.
func (p Protocol) Transport() string {
	if p == UDP {
		return "udp"
	}
	return "tcp"
}

// State is the state that operators set for a backend server.
type State string

// States of a backend server.
const (
	// Joining servers get new flows, connections and requests as Active ones
	// do. In either state, hosts ramp up the weight of a server that is new to
	// them.
	Joining State = "joining"
	// Active servers get new flows, connections and requests.
	Active State = "active"
	// Draining servers get no new flows, connections or requests; existing
	// ones continue.
	Draining State = "draining"
	// Leaving servers get no new flows, connections or requests and are about
	// to be removed.
	Leaving State = "leaving"
)

// AcceptsNewWork reports whether a server in this state gets new flows,
// connections and requests.
func (s State) AcceptsNewWork() bool { return s == Active || s == Joining }

// Class classifies requests by their expected duration.
type Class string

// Classes of requests.
const (
	Short Class = "short"
	Long  Class = "long"
)

// Duration is a time.Duration that is encoded in JSON as a string.
type Duration time.Duration

// MarshalJSON encodes d as a string such as "2.5s".
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

// Document is the configuration of all teams.
type Document struct {
	// Teams maps team names to sections.
	Teams map[string]Section `json:"teams"`
}

// Section is the part of the document that one team owns.
type Section struct {
	Services []Service `json:"services"`
}

// Service is an address that callers connect to, with the backend servers
// behind it.
type Service struct {
	// Name is unique in the document.
	Name string `json:"name"`
	// Address is the IP:port that callers connect to. The pair of address and
	// transport is unique in the document.
	Address string `json:"address"`
	// Protocol is udp, tcp or http.
	Protocol Protocol `json:"protocol"`
	// ProxyHeader makes hosts send a PROXY protocol v2 header to the servers.
	ProxyHeader bool `json:"proxyHeader,omitempty"`
	// IdleTimeout is how long a flow or connection may be without data before
	// it is ended.
	IdleTimeout Duration `json:"idleTimeout,omitempty"`
	// SilentAfter is the time after which a UDP flow is ended whose server has
	// stopped replying to it but still replies to other flows. Zero means 8 s; a
	// negative value such as "-1s" disables the timeout.
	SilentAfter Duration `json:"silentAfter,omitempty"`
	// Deadline bounds the time until the answer to a request starts, waiting
	// and retries included, if the caller sets no timeout. Zero means 30 s.
	Deadline Duration `json:"deadline,omitempty"`
	// MaxBody is the maximum size of a request body in bytes. Zero means
	// 1 GiB.
	MaxBody int64 `json:"maxBody,omitempty"`
	// Queue is the maximum number of requests queued on one host. Zero means
	// 1,000.
	Queue int `json:"queue,omitempty"`
	// LongShare is the maximum fraction of the slots that long requests
	// occupy, in [0, 1]. Zero means 0.5.
	LongShare float64 `json:"longShare,omitempty"`
	// Classes assigns classes to requests. The first hint that matches a
	// request applies.
	Classes []ClassHint `json:"classes,omitempty"`
	// Health is the path of the servers' health endpoint. Empty means
	// that they have none. Hosts do not query it.
	Health string `json:"health,omitempty"`
	// Servers lists the backend servers.
	Servers []Server `json:"servers"`
}

// ClassHint assigns a class to the requests that it matches.
type ClassHint struct {
	// Method is an HTTP method. If it is empty, all methods match.
	Method string `json:"method,omitempty"`
	// PathPrefix is the prefix of matching paths.
	PathPrefix string `json:"pathPrefix"`
	// Class is short or long.
	Class Class `json:"class"`
}

// Server is a backend server.
type Server struct {
	// Name is unique in the service.
	Name string `json:"name"`
	// Address is IP:port. The pair of address and transport belongs to only one
	// service of the document.
	Address string `json:"address"`
	// DataCentre is the name of the data centre that the server is in.
	DataCentre string `json:"dataCentre"`
	// Slots is the maximum number of requests that the server runs
	// concurrently, at least 1.
	Slots int `json:"slots"`
	// Connections is the maximum number of open connections or flows, at
	// least 1.
	Connections int `json:"connections"`
	// State is joining, active, draining or leaving.
	State State `json:"state"`
}

// AddressKey returns a key for an address with the transport of the service,
// such as "udp 192.0.2.1:443".
func (s *Service) AddressKey(address string) string {
	return s.Protocol.Transport() + " " + address
}

// AddrPort returns the parsed address of the service. It panics if the address
// is invalid, so the service must have passed Check.
func (s *Service) AddrPort() netip.AddrPort { return netip.MustParseAddrPort(s.Address) }

// AddrPort returns the parsed address of the server. It panics if the address
// is invalid, so the server must have passed Check.
func (s *Server) AddrPort() netip.AddrPort { return netip.MustParseAddrPort(s.Address) }

// EachServer calls f for every server of the document and its service.
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
