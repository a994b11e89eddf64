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

// Fault is one violation of the rules for documents.
type Fault struct {
	// Field is the path of the invalid field, such as
	// teams.press.services[0].address.
	Field string `json:"field"`
	// Problem describes the value found and the values allowed.
	Problem string `json:"problem"`
}

// CheckError lists all faults of a document.
type CheckError struct {
	Faults []Fault
}

// Error returns the faults, one per line.
func (e *CheckError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.Field + ": " + f.Problem
	}
	return strings.Join(lines, "\n")
}

// namePattern matches valid names of teams, services, servers and data
// centres.
var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$`)

// Decode decodes a single JSON value into v. Unknown fields and trailing data
// are errors. Errors name the line and, if known, the field.
func Decode(data []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return decodeError(data, dec.InputOffset(), err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return fmt.Errorf("line %d: only one JSON value is expected", lineNumber(data, dec.InputOffset()))
	}
	return nil
}

// decodeError rewrites an error of encoding/json to name the line, and the
// field if the error has one. offset locates errors without a position.
func decodeError(data []byte, offset int64, err error) error {
	switch e := err.(type) {
	case *json.SyntaxError:
		return fmt.Errorf("line %d: %v", lineNumber(data, e.Offset), err)
	case *json.UnmarshalTypeError:
		return fmt.Errorf("line %d: field %q must be %s, not %s", lineNumber(data, e.Offset), e.Field, e.Type, e.Value)
	}
	return fmt.Errorf("line %d: %s", lineNumber(data, offset), strings.TrimPrefix(err.Error(), "json: "))
}

// lineNumber returns the one-based line of a byte offset.
func lineNumber(data []byte, offset int64) int {
	return 1 + bytes.Count(data[:min(int(offset), len(data))], []byte("\n"))
}

// Check validates d and returns nil or a *CheckError with all faults. Teams
// are checked in the order of their names, so the result is deterministic.
func Check(d *Document) error {
	checks := checker{
		serviceFields: map[string]string{},
		addressFields: map[string]string{},
		serverOwners:  map[string]serverOwner{},
		namesByHash:   map[uint64]string{},
	}
	teams := make([]string, 0, len(d.Teams))
	for team := range d.Teams {
		teams = append(teams, team)
	}
	slices.Sort(teams)
	for _, team := range teams {
		checks.checkSection(team, d.Teams[team])
	}
	if len(checks.faults) == 0 {
		return nil
	}
	return &CheckError{Faults: checks.faults}
}

// serverOwner identifies the service and the field that use a server address.
type serverOwner struct {
	service, field string
}

// checker collects the faults of one document, and what it has seen so far to
// find duplicates.
type checker struct {
	faults        []Fault
	serviceFields map[string]string
	addressFields map[string]string
	serverOwners  map[string]serverOwner
	namesByHash   map[uint64]string
}

func (c *checker) addFault(field, format string, args ...any) {
	c.faults = append(c.faults, Fault{Field: field, Problem: fmt.Sprintf(format, args...)})
}

func (c *checker) checkName(field, name string) {
	if !namePattern.MatchString(name) {
		c.addFault(field, "%q must be 1 to 63 letters, digits, dots, dashes or underscores", name)
	}
}

func (c *checker) checkAddress(field, addr string) {
	a, err := netip.ParseAddrPort(addr)
	if err != nil || a.Port() == 0 {
		c.addFault(field, "%q must be an IP address and a port, such as 192.0.2.1:80", addr)
	}
}

func (c *checker) checkSection(team string, s Section) {
	field := "teams." + team
	c.checkName(field, team)
	for i := range s.Services {
		c.checkService(fmt.Sprintf("%s.services[%d]", field, i), &s.Services[i])
	}
}

func (c *checker) checkService(field string, s *Service) {
	c.checkName(field+".name", s.Name)
	c.checkAddress(field+".address", s.Address)
	if other, ok := c.serviceFields[s.Name]; ok {
		c.addFault(field+".name", "%q is used by %s already", s.Name, other)
	}
	c.serviceFields[s.Name] = field
	if other, ok := c.namesByHash[rendez.Hash(s.Name)]; ok && other != s.Name {
		c.addFault(field+".name", "%q collides with %q; choose another name", s.Name, other)
	}
	c.namesByHash[rendez.Hash(s.Name)] = s.Name
	if other, ok := c.addressFields[s.AddressKey(s.Address)]; ok {
		c.addFault(field+".address", "%s is the address of %s already", s.Address, other)
	}
	c.addressFields[s.AddressKey(s.Address)] = field
	switch s.Protocol {
	case UDP, TCP, HTTP:
	default:
		c.addFault(field+".protocol", "%q must be udp, tcp or http", s.Protocol)
	}
	c.checkLimits(field, s)
	for i, h := range s.Classes {
		if h.Class != Short && h.Class != Long {
			c.addFault(fmt.Sprintf("%s.classes[%d].class", field, i), "%q must be short or long", h.Class)
		}
	}
	seen := map[string]bool{}
	for i := range s.Servers {
		f := fmt.Sprintf("%s.servers[%d]", field, i)
		if seen[s.Servers[i].Name] {
			c.addFault(f+".name", "%q is used twice in this service", s.Servers[i].Name)
		}
		seen[s.Servers[i].Name] = true
		c.checkServer(f, s, &s.Servers[i])
	}
}

func (c *checker) checkLimits(field string, s *Service) {
	if s.LongShare < 0 || s.LongShare > 1 {
		c.addFault(field+".longShare", "%v must lie between 0 and 1", s.LongShare)
	}
	if s.Queue < 0 {
		c.addFault(field+".queue", "%d must not be negative", s.Queue)
	}
	if s.MaxBody < 0 {
		c.addFault(field+".maxBody", "%d must not be negative", s.MaxBody)
	}
	if s.Deadline < 0 {
		c.addFault(field+".deadline", "it must not be negative")
	}
	if s.IdleTimeout < 0 {
		c.addFault(field+".idleTimeout", "it must not be negative")
	}
	if s.Health != "" && !strings.HasPrefix(s.Health, "/") {
		c.addFault(field+".health", "%q must be a path that begins with /", s.Health)
	}
}

func (c *checker) checkServer(field string, service *Service, s *Server) {
	c.checkName(field+".name", s.Name)
	c.checkAddress(field+".address", s.Address)
	c.checkName(field+".dataCentre", s.DataCentre)
	if owner, ok := c.serverOwners[service.AddressKey(s.Address)]; ok {
		c.addFault(field+".address", "%s is the address of %s of service %q already", s.Address, owner.field, owner.service)
	}
	c.serverOwners[service.AddressKey(s.Address)] = serverOwner{service: service.Name, field: field}
	if s.Slots < 1 {
		c.addFault(field+".slots", "%d must be at least 1", s.Slots)
	}
	if s.Connections < 1 {
		c.addFault(field+".connections", "%d must be at least 1", s.Connections)
	}
	switch s.State {
	case Joining, Active, Draining, Leaving:
	default:
		c.addFault(field+".state", "%q must be joining, active, draining or leaving", s.State)
	}
}
