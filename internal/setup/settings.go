// Package setup reads the settings of a host: a JSON file that is checked
// whole at start. Every fault is named at once, and unknown fields are
// refused.
package setup

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"lagoonramp.org/lagoonramp/internal/peer"
	"lagoonramp.org/lagoonramp/pkg/conf"
)

// Settings are the settings of one host.
type Settings struct {
	// Name is unique among the hosts.
	Name string `json:"name"`
	// DataCentre is where the host stands.
	DataCentre string `json:"dataCentre"`
	// Peer is the address for other hosts, UDP and TCP, as IP:port.
	Peer string `json:"peer"`
	// Admin is the address for operators, as IP:port.
	Admin string `json:"admin"`
	// Ingress is how callers' traffic arrives.
	Ingress Ingress `json:"ingress"`
	// ServerBind is the IP address from which servers are reached; empty lets
	// the system choose.
	ServerBind string `json:"serverBind,omitempty"`
	// Platform is the base URL of the platform's service.
	Platform string `json:"platform"`
	// Peers are hosts to begin with; the platform's list is used as well.
	Peers []Peer `json:"peers,omitempty"`
	// Keys seal what hosts send each other; the first is used for sending.
	Keys []Key `json:"keys"`
	// Tokens holds the SHA-256 of each team's token in hex, by team. The team
	// "*" may write every section.
	Tokens map[string]string `json:"tokens,omitempty"`
	// TLS secures the admin address.
	TLS *TLS `json:"tls,omitempty"`
	// Limits bound the host.
	Limits Limits `json:"limits,omitzero"`
	// Log says what is logged.
	Log Log `json:"log,omitzero"`
	// Marked makes the host carry flows with marks; of the other sections only
	// Log is then used.
	Marked *Marked `json:"marked,omitempty"`
}

// Ingress is how callers' traffic arrives.
type Ingress struct {
	// UDP takes datagrams of the fabric with a PROXY protocol v2 header, as
	// IP:port.
	UDP string `json:"udp,omitempty"`
	// TCP takes connections of the fabric with such a header, as IP:port.
	TCP string `json:"tcp,omitempty"`
	// Fabric is where answers to callers go, under such a header, as IP:port.
	Fabric string `json:"fabric,omitempty"`
	// Direct makes the host listen on the services' own addresses too.
	Direct bool `json:"direct,omitempty"`
}

// Peer is a host to begin with.
type Peer struct {
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	Address    string `json:"address"`
}

// Key is a shared secret of all hosts.
type Key struct {
	// ID is 1 to 255.
	ID int `json:"id"`
	// Secret is at least 16 bytes in hex.
	Secret string `json:"secret"`
}

// TLS names the files of a certificate; they are read again when they change.
type TLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	// ClientCA makes clients show a certificate of this authority.
	ClientCA string `json:"clientCA,omitempty"`
}

// Limits bound a host. Zero takes the default.
type Limits struct {
	// Workers is how many workers carry datagrams. The default is the number
	// of processors, at most 4.
	Workers int `json:"workers,omitempty"`
	// Flows bounds the flows held. The default is 500,000.
	Flows int `json:"flows,omitempty"`
	// ServerPorts bounds the local ports towards servers that take no PROXY
	// header. The default is 512.
	ServerPorts int `json:"serverPorts,omitempty"`
	// CallerConnections bounds the connections of one caller's address. The
	// default is 256.
	CallerConnections int `json:"callerConnections,omitempty"`
	// Drain bounds a graceful shutdown. The default is 30 s.
	Drain conf.Duration `json:"drain,omitempty"`
	// PlatformCalls bounds the calls to the platform in a second. The default
	// is 10.
	PlatformCalls float64 `json:"platformCalls,omitempty"`
}

// Log says what is logged.
type Log struct {
	// Level is debug, info, warn or error. The default is info.
	Level string `json:"level,omitempty"`
	// Format is json or console. The default is json.
	Format string `json:"format,omitempty"`
}

// Load reads and checks a file. The error names the file and every fault.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read the settings")
	}
	s, err := Parse(data)
	if err != nil {
		return nil, eris.Wrapf(err, "settings file %s", path)
	}
	return s, nil
}

// Parse decodes and checks settings.
func Parse(data []byte) (*Settings, error) {
	s := &Settings{}
	if err := conf.Decode(data, s); err != nil {
		return nil, err
	}
	if err := s.Check(); err != nil {
		return nil, err
	}
	return s, nil
}

// checker collects faults.
type checker struct {
	faults []conf.Fault
}

func (c *checker) fault(field, format string, args ...any) {
	c.faults = append(c.faults, conf.Fault{Field: field, Problem: fmt.Sprintf(format, args...)})
}

func (c *checker) address(field, value string, needed bool) {
	if value == "" && !needed {
		return
	}
	if a, err := netip.ParseAddrPort(value); err != nil || a.Port() == 0 {
		c.fault(field, "%q must be an IP address and a port, such as 192.0.2.1:7000", value)
	}
}

// Check returns a *conf.CheckError with every fault, or nil.
func (s *Settings) Check() error {
	var c checker
	if s.Name == "" {
		c.fault("name", "it must not be empty")
	}
	if s.DataCentre == "" {
		c.fault("dataCentre", "it must not be empty")
	}
	if s.Marked != nil {
		s.Marked.check(&c)
	} else {
		s.checkProxy(&c)
	}
	s.checkLog(&c)
	if len(c.faults) == 0 {
		return nil
	}
	return &conf.CheckError{Faults: c.faults}
}

// checkProxy checks the sections of a host that keeps its flows in tables.
func (s *Settings) checkProxy(c *checker) {
	c.address("peer", s.Peer, true)
	c.address("admin", s.Admin, true)
	c.address("ingress.udp", s.Ingress.UDP, false)
	c.address("ingress.tcp", s.Ingress.TCP, false)
	c.address("ingress.fabric", s.Ingress.Fabric, s.Ingress.UDP != "")
	if s.Ingress.UDP == "" && s.Ingress.TCP == "" && !s.Ingress.Direct {
		c.fault("ingress", "udp, tcp or direct must be set, or no caller can reach the host")
	}
	if s.ServerBind != "" {
		if _, err := netip.ParseAddr(s.ServerBind); err != nil {
			c.fault("serverBind", "%q must be an IP address", s.ServerBind)
		}
	}
	if !strings.HasPrefix(s.Platform, "http://") && !strings.HasPrefix(s.Platform, "https://") {
		c.fault("platform", "%q must be a URL that begins with http:// or https://", s.Platform)
	}
	for i, p := range s.Peers {
		c.address(fmt.Sprintf("peers[%d].address", i), p.Address, true)
		if p.Name == "" || p.DataCentre == "" {
			c.fault(fmt.Sprintf("peers[%d]", i), "name and dataCentre must not be empty")
		}
	}
	s.checkKeys(c)
	s.checkRest(c)
}

const (
	minSecret = 16
	hashBytes = 32
)

func (s *Settings) checkKeys(c *checker) {
	if len(s.Keys) == 0 {
		c.fault("keys", "at least one key must be given")
	}
	seen := map[int]bool{}
	for i, k := range s.Keys {
		field := fmt.Sprintf("keys[%d]", i)
		if k.ID < 1 || k.ID > 255 || seen[k.ID] {
			c.fault(field+".id", "%d must be 1 to 255 and used once", k.ID)
		}
		seen[k.ID] = true
		if b, err := hex.DecodeString(k.Secret); err != nil || len(b) < minSecret {
			c.fault(field+".secret", "it must be at least %d bytes in hex", minSecret)
		}
	}
	for team, h := range s.Tokens {
		if b, err := hex.DecodeString(h); err != nil || len(b) != hashBytes {
			c.fault("tokens."+team, "it must be the SHA-256 of the token in hex")
		}
	}
}

func (s *Settings) checkRest(c *checker) {
	if s.TLS != nil && (s.TLS.Certificate == "" || s.TLS.Key == "") {
		c.fault("tls", "certificate and key must both be given")
	}
	for _, l := range []struct {
		field string
		value int
	}{
		{"limits.workers", s.Limits.Workers},
		{"limits.flows", s.Limits.Flows},
		{"limits.serverPorts", s.Limits.ServerPorts},
		{"limits.callerConnections", s.Limits.CallerConnections},
		{"limits.drain", int(s.Limits.Drain)},
		{"limits.platformCalls", int(s.Limits.PlatformCalls)},
	} {
		if l.value < 0 {
			c.fault(l.field, "it must not be negative")
		}
	}
}

func (s *Settings) checkLog(c *checker) {
	if !slices.Contains([]string{"", "debug", "info", "warn", "error"}, s.Log.Level) {
		c.fault("log.level", "%q must be debug, info, warn or error", s.Log.Level)
	}
	if !slices.Contains([]string{"", "json", "console"}, s.Log.Format) {
		c.fault("log.format", "%q must be json or console", s.Log.Format)
	}
}

// PeerKeys returns the keys in the form that package peer uses. The settings
// must have passed Check.
func (s *Settings) PeerKeys() []peer.Key {
	out := make([]peer.Key, len(s.Keys))
	for i, k := range s.Keys {
		secret, err := hex.DecodeString(k.Secret)
		if err != nil {
			panic("setup: settings must be checked before they are used")
		}
		out[i] = peer.Key{ID: uint8(k.ID), Secret: secret}
	}
	return out
}
