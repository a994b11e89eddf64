// Package setup reads and checks the settings of a host, a JSON file. A check
// reports all faults at once. Unknown fields are errors.
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
	// Name is the name of the host, unique among all hosts.
	Name string `json:"name"`
	// DataCentre is the name of the host's data centre.
	DataCentre string `json:"dataCentre"`
	// Peer is the UDP and TCP address on which the host listens for other hosts,
	// as IP:port.
	Peer string `json:"peer"`
	// Admin is the address on which the host listens for operators, as IP:port.
	Admin string `json:"admin"`
	// Ingress holds the addresses for the traffic of callers.
	Ingress Ingress `json:"ingress"`
	// ServerBind is the local IP address of connections and datagrams to servers.
	// If it is empty, the operating system chooses one.
	ServerBind string `json:"serverBind,omitempty"`
	// Platform is the base URL of the platform.
	Platform string `json:"platform"`
	// Peers are the hosts that the host contacts at its start, in addition to
	// those that the platform lists.
	Peers []Peer `json:"peers,omitempty"`
	// Keys authenticate the messages between hosts. The first is used for
	// sending, all are accepted.
	Keys []Key `json:"keys"`
	// Tokens maps team names to the SHA-256 of the team's token in hex. The token
	// of the team "*" may write every section.
	Tokens map[string]string `json:"tokens,omitempty"`
	// TLS enables TLS on the admin address.
	TLS *TLS `json:"tls,omitempty"`
	// Limits are the limits of the host's resources and times.
	Limits Limits `json:"limits,omitzero"`
	// Log configures logging.
	Log Log `json:"log,omitzero"`
	// Marked, if set, makes the host forward flows whose packets carry marks. Of
	// the other fields, only Name, DataCentre and Log are then used.
	Marked *Marked `json:"marked,omitempty"`
}

// Ingress holds the addresses for the traffic of callers.
type Ingress struct {
	// UDP is the address on which the host receives datagrams from the fabric,
	// each with a PROXY protocol v2 header, as IP:port.
	UDP string `json:"udp,omitempty"`
	// TCP is the address on which the host accepts connections from the fabric,
	// each with a PROXY protocol v2 header, as IP:port.
	TCP string `json:"tcp,omitempty"`
	// Fabric is the address of the fabric that receives the replies to callers,
	// each with a PROXY protocol v2 header, as IP:port.
	Fabric string `json:"fabric,omitempty"`
	// Direct makes the host listen on the addresses of the services as well.
	Direct bool `json:"direct,omitempty"`
}

// Peer is another host that a host contacts at its start.
type Peer struct {
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	Address    string `json:"address"`
}

// Key is a secret that all hosts share.
type Key struct {
	// ID identifies the key in messages. It is 1 to 255.
	ID int `json:"id"`
	// Secret is the secret in hex, at least 16 bytes.
	Secret string `json:"secret"`
}

// TLS holds the paths of PEM files. Certificate and Key are reloaded when the
// certificate file changes. ClientCA is read only at the start.
type TLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	// ClientCA, if set, requires clients to present a certificate that this
	// certificate authority signed.
	ClientCA string `json:"clientCA,omitempty"`
}

// Limits are the limits of a host. A zero field selects its default.
type Limits struct {
	// Workers is the number of goroutines that forward datagrams. The default is
	// the number of processors, but at most 4.
	Workers int `json:"workers,omitempty"`
	// Flows is the maximum number of flow entries. The default is 500,000.
	Flows int `json:"flows,omitempty"`
	// ServerPorts is the maximum number of local ports for datagrams to servers
	// that accept no PROXY protocol header. The default is 512.
	ServerPorts int `json:"serverPorts,omitempty"`
	// CallerConnections is the maximum number of connections from one caller
	// address. The default is 256.
	CallerConnections int `json:"callerConnections,omitempty"`
	// Drain is the maximum duration of a graceful shutdown. The default is 30 s.
	Drain conf.Duration `json:"drain,omitempty"`
	// PlatformCalls is the maximum number of calls to the platform per second.
	// The default is 10.
	PlatformCalls float64 `json:"platformCalls,omitempty"`
}

// Log configures logging.
type Log struct {
	// Level is the lowest level that is logged: debug, info, warn or error. The
	// default is info.
	Level string `json:"level,omitempty"`
	// Format is the format of log lines: json or console. The default is json.
	Format string `json:"format,omitempty"`
}

// Load reads and checks a settings file. The error names the file and every
// fault.
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

// Parse decodes settings in JSON and checks them.
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

// checker collects the faults of settings.
type checker struct {
	faults []conf.Fault
}

// addFault records a problem of a field, formatted as by fmt.Sprintf.
func (c *checker) addFault(field, format string, args ...any) {
	c.faults = append(c.faults, conf.Fault{Field: field, Problem: fmt.Sprintf(format, args...)})
}

// checkAddress records a fault unless value is IP:port, or empty and not
// required.
func (c *checker) checkAddress(field, value string, required bool) {
	if value == "" && !required {
		return
	}
	if a, err := netip.ParseAddrPort(value); err != nil || a.Port() == 0 {
		c.addFault(field, "%q must be an IP address and a port, such as 192.0.2.1:7000", value)
	}
}

// Check returns a *conf.CheckError with every fault, or nil.
func (s *Settings) Check() error {
	var c checker
	if s.Name == "" {
		c.addFault("name", "it must not be empty")
	}
	if s.DataCentre == "" {
		c.addFault("dataCentre", "it must not be empty")
	}
	if s.Marked != nil {
		s.Marked.check(&c)
	} else {
		s.checkUnmarked(&c)
	}
	s.checkLog(&c)
	if len(c.faults) == 0 {
		return nil
	}
	return &conf.CheckError{Faults: c.faults}
}

// checkUnmarked checks the sections that only a host without Marked uses.
func (s *Settings) checkUnmarked(c *checker) {
	c.checkAddress("peer", s.Peer, true)
	c.checkAddress("admin", s.Admin, true)
	c.checkAddress("ingress.udp", s.Ingress.UDP, false)
	c.checkAddress("ingress.tcp", s.Ingress.TCP, false)
	c.checkAddress("ingress.fabric", s.Ingress.Fabric, s.Ingress.UDP != "")
	if s.Ingress.UDP == "" && s.Ingress.TCP == "" && !s.Ingress.Direct {
		c.addFault("ingress", "udp, tcp or direct must be set, or no caller can reach the host")
	}
	if s.ServerBind != "" {
		if _, err := netip.ParseAddr(s.ServerBind); err != nil {
			c.addFault("serverBind", "%q must be an IP address", s.ServerBind)
		}
	}
	if !strings.HasPrefix(s.Platform, "http://") && !strings.HasPrefix(s.Platform, "https://") {
		c.addFault("platform", "%q must be a URL that begins with http:// or https://", s.Platform)
	}
	for i, p := range s.Peers {
		c.checkAddress(fmt.Sprintf("peers[%d].address", i), p.Address, true)
		if p.Name == "" || p.DataCentre == "" {
			c.addFault(fmt.Sprintf("peers[%d]", i), "name and dataCentre must not be empty")
		}
	}
	s.checkKeysAndTokens(c)
	s.checkTLSAndLimits(c)
}

const (
	minSecretBytes = 16
	tokenHashBytes = 32
)

// checkKeysAndTokens checks the keys of the hosts and the tokens of the teams.
func (s *Settings) checkKeysAndTokens(c *checker) {
	if len(s.Keys) == 0 {
		c.addFault("keys", "at least one key must be given")
	}
	seen := map[int]bool{}
	for i, k := range s.Keys {
		field := fmt.Sprintf("keys[%d]", i)
		if k.ID < 1 || k.ID > 255 || seen[k.ID] {
			c.addFault(field+".id", "%d must be 1 to 255 and used once", k.ID)
		}
		seen[k.ID] = true
		if b, err := hex.DecodeString(k.Secret); err != nil || len(b) < minSecretBytes {
			c.addFault(field+".secret", "it must be at least %d bytes in hex", minSecretBytes)
		}
	}
	for team, h := range s.Tokens {
		if b, err := hex.DecodeString(h); err != nil || len(b) != tokenHashBytes {
			c.addFault("tokens."+team, "it must be the SHA-256 of the token in hex")
		}
	}
}

// checkTLSAndLimits checks the sections TLS and Limits.
func (s *Settings) checkTLSAndLimits(c *checker) {
	if s.TLS != nil && (s.TLS.Certificate == "" || s.TLS.Key == "") {
		c.addFault("tls", "certificate and key must both be given")
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
			c.addFault(l.field, "it must not be negative")
		}
	}
}

// checkLog checks the section Log.
func (s *Settings) checkLog(c *checker) {
	if !slices.Contains([]string{"", "debug", "info", "warn", "error"}, s.Log.Level) {
		c.addFault("log.level", "%q must be debug, info, warn or error", s.Log.Level)
	}
	if !slices.Contains([]string{"", "json", "console"}, s.Log.Format) {
		c.addFault("log.format", "%q must be json or console", s.Log.Format)
	}
}

// PeerKeys returns the keys as package peer uses them. It panics if a key is
// invalid; the settings must have passed Check.
func (s *Settings) PeerKeys() []peer.Key {
	out := make([]peer.Key, len(s.Keys))
	for i, k := range s.Keys {
		secret, err := hex.DecodeString(k.Secret)
		if err != nil {
			panic("setup: PeerKeys called on settings that did not pass Check")
		}
		out[i] = peer.Key{ID: uint8(k.ID), Secret: secret}
	}
	return out
}
