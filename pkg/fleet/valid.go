package fleet

import (
	"fmt"
	"time"
)

const (
	// maxSlots is the maximum number of slots of a server.
	maxSlots = 1 << 20
	// maxWarmupDuration is the maximum duration of a server's warm-up.
	maxWarmupDuration = 1 << 31 * time.Millisecond
)

// Start times of servers are from minStarted to before maxStarted.
var (
	minStarted = time.Unix(0, 0)
	maxStarted = time.Date(3000, 1, 1, 0, 0, 0, 0, time.UTC)
)

// Validate returns an error if a field of an entry is missing or out of range.
// Entries from other processes must be valid.
func (s *Server) Validate() error {
	switch {
	case s.ID == "" || s.Service == "":
		return fmt.Errorf("server %q of service %q: the ID or the service is missing", s.ID, s.Service)
	case !s.Address.Addr().Is4() || s.Address.Port() == 0:
		return fmt.Errorf("server %s: %q is not an IPv4 address with a nonzero port", s.ID, s.Address)
	case s.Slots < 1 || s.Slots > maxSlots:
		return fmt.Errorf("server %s: %d slots are out of range", s.ID, s.Slots)
	case s.State > Draining:
		return fmt.Errorf("server %s: unknown state %d", s.ID, s.State)
	case s.WarmupDuration < 0 || s.WarmupDuration > maxWarmupDuration:
		return fmt.Errorf("server %s: the warm-up is out of range", s.ID)
	case !s.Started.IsZero() && (s.Started.Before(minStarted) || !s.Started.Before(maxStarted)):
		return fmt.Errorf("server %s: the start time is out of range", s.ID)
	}
	return nil
}

// Validate returns an error if a field is missing or out of range.
func (d *DepartedServer) Validate() error {
	if d.SinceRemoval < 0 {
		return fmt.Errorf("server %s: removed in the future", d.Server.ID)
	}
	return d.Server.Validate()
}

// Validate returns an error if a field is missing or out of range.
func (f *FormerTarget) Validate() error {
	if !f.Route.IsValid() || f.Service == "" || f.Remaining <= 0 {
		return fmt.Errorf("former target %q of route %q: a field is missing or out of range", f.Service, f.Route)
	}
	return nil
}
