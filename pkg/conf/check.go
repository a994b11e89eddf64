package conf

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"regexp"
	"slices"
	"strings"

	"lagoonramp.org/lagoonramp/pkg/rendez"
)

// Fault is one thing that is wrong with a document.
type Fault struct {
	// Field is where, such as teams.press.services[0].address.
	Field string `json:"field"`
	// Problem is what was found and what was expected.
	Problem string `json:"problem"`
}

// CheckError lists all faults of a document.
type CheckError struct {
	Faults []Fault
}

// Error returns all faults, one a line.
func (e *CheckError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.Field + ": " + f.Problem
	}
	return strings.Join(lines, "\n")
}

// namePattern is what names of teams, services and servers look like.
var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$`)

// Decode reads one JSON value strictly into v: unknown fields and trailing
// data are errors.
func Decode(data []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return decodeError(data, dec.InputOffset(), err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return fmt.Errorf("line %d: only one JSON value is expected", lineOf(data, dec.InputOffset()))
	}
	return nil
}

func decodeError(data []byte, offset int64, err error) error {
	switch e := err.(type) {
	case *json.SyntaxError:
		return fmt.Errorf("line %d: %v", lineOf(data, e.Offset), err)
	case *json.UnmarshalTypeError:
		return fmt.Errorf("line %d: field %q must be %s, not %s", lineOf(data, e.Offset), e.Field, e.Type, e.Value)
	}
	return fmt.Errorf("line %d: %s", lineOf(data, offset), strings.TrimPrefix(err.Error(), "json: "))
}

func lineOf(data []byte, offset int64) int {
	return 1 + bytes.Count(data[:min(int(offset), len(data))], []byte("\n"))
}

// Check returns a *CheckError with every fault of the document, or nil.
func Check(d *Document) error {
	c := checker{
		names:     map[string]string{},
		addresses: map[string]string{},
		servers:   map[string]serverUse{},
		hashes:    map[uint64]string{},
	}
	teams := make([]string, 0, len(d.Teams))
	for team := range d.Teams {
		teams = append(teams, team)
	}
	slices.Sort(teams)
	for _, team := range teams {
		c.section(team, d.Teams[team])
	}
	if len(c.faults) == 0 {
		return nil
	}
	return &CheckError{Faults: c.faults}
}

// serverUse remembers which service uses a server address.
type serverUse struct {
	service, field string
}

type checker struct {
	faults    []Fault
	names     map[string]string
	addresses map[string]string
	servers   map[string]serverUse
	hashes    map[uint64]string
}

func (c *checker) fault(field, format string, args ...any) {
	c.faults = append(c.faults, Fault{Field: field, Problem: fmt.Sprintf(format, args...)})
}

func (c *checker) name(field, name string) {
	if !namePattern.MatchString(name) {
		c.fault(field, "%q must be 1 to 63 letters, digits, dots, dashes or underscores", name)
	}
}

func (c *checker) address(field, addr string) {
	a, err := netip.ParseAddrPort(addr)
	if err != nil || a.Port() == 0 {
		c.fault(field, "%q must be an IP address and a port, such as 192.0.2.1:80", addr)
	}
}

func (c *checker) section(team string, s Section) {
	base := "teams." + team
	c.name(base, team)
	for i := range s.Services {
		c.service(fmt.Sprintf("%s.services[%d]", base, i), &s.Services[i])
	}
}

func (c *checker) service(field string, s *Service) {
	c.name(field+".name", s.Name)
	c.address(field+".address", s.Address)
	if other, ok := c.names[s.Name]; ok {
		c.fault(field+".name", "%q is used by %s already", s.Name, other)
	}
	c.names[s.Name] = field
	if other, ok := c.hashes[rendez.Hash(s.Name)]; ok && other != s.Name {
		c.fault(field+".name", "%q collides with %q; choose another name", s.Name, other)
	}
	c.hashes[rendez.Hash(s.Name)] = s.Name
	if other, ok := c.addresses[s.AddressKey(s.Address)]; ok {
		c.fault(field+".address", "%s is the address of %s already", s.Address, other)
	}
	c.addresses[s.AddressKey(s.Address)] = field
	switch s.Protocol {
	case UDP, TCP, HTTP:
	default:
		c.fault(field+".protocol", "%q must be udp, tcp or http", s.Protocol)
	}
	c.limits(field, s)
	for i, h := range s.Classes {
		if h.Class != Short && h.Class != Long {
			c.fault(fmt.Sprintf("%s.classes[%d].class", field, i), "%q must be short or long", h.Class)
		}
	}
	seen := map[string]bool{}
	for i := range s.Servers {
		f := fmt.Sprintf("%s.servers[%d]", field, i)
		if seen[s.Servers[i].Name] {
			c.fault(f+".name", "%q is used twice in this service", s.Servers[i].Name)
		}
		seen[s.Servers[i].Name] = true
		c.server(f, s, &s.Servers[i])
	}
}

func (c *checker) limits(field string, s *Service) {
	if s.LongShare < 0 || s.LongShare > 1 {
		c.fault(field+".longShare", "%v must lie between 0 and 1", s.LongShare)
	}
	if s.Queue < 0 {
		c.fault(field+".queue", "%d must not be negative", s.Queue)
	}
	if s.MaxBody < 0 {
		c.fault(field+".maxBody", "%d must not be negative", s.MaxBody)
	}
	if s.Deadline < 0 {
		c.fault(field+".deadline", "it must not be negative")
	}
	if s.IdleTimeout < 0 {
		c.fault(field+".idleTimeout", "it must not be negative")
	}
	if s.Health != "" && !strings.HasPrefix(s.Health, "/") {
		c.fault(field+".health", "%q must be a path that begins with /", s.Health)
	}
}

func (c *checker) server(field string, service *Service, s *Server) {
	c.name(field+".name", s.Name)
	c.address(field+".address", s.Address)
	c.name(field+".dataCentre", s.DataCentre)
	if use, ok := c.servers[service.AddressKey(s.Address)]; ok {
		c.fault(field+".address", "%s is the address of %s of service %q already", s.Address, use.field, use.service)
	}
	c.servers[service.AddressKey(s.Address)] = serverUse{service: service.Name, field: field}
	if s.Slots < 1 {
		c.fault(field+".slots", "%d must be at least 1", s.Slots)
	}
	if s.Connections < 1 {
		c.fault(field+".connections", "%d must be at least 1", s.Connections)
	}
	switch s.State {
	case Joining, Active, Draining, Leaving:
	default:
		c.fault(field+".state", "%q must be joining, active, draining or leaving", s.State)
	}
}
