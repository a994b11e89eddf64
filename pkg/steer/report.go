package steer

import (
	"cmp"
	"slices"
	"time"
)

// ServerReport is the state of a server that accepts new flows, as this host
// observes it.
type ServerReport struct {
	Service, ID, DataCentre string
	Slots                   int
	// InFlight is the number of flows of this host that are in flight to the
	// server.
	InFlight int
	// UnansweredSYNs is the number of SYNs that were not answered since the
	// latest answer. The server is avoided if it is above 0.
	UnansweredSYNs int
	// Slow reports whether the answers of the server take much longer than
	// those of others.
	Slow bool
	// Warming reports whether the server is warming up after its start.
	Warming bool
}

// ServerReports returns the servers that accept new flows, sorted by service
// and ID.
func (t *Table) ServerReports(now time.Duration) []ServerReport {
	if t.view == nil {
		return nil
	}
	var out []ServerReport
	for service, servers := range t.view.Usable {
		for _, s := range servers {
			h := t.health[s.Mark]
			out = append(out, ServerReport{
				Service: service, ID: s.ID, DataCentre: s.DataCentre, Slots: s.Slots,
				InFlight: h.inFlight, UnansweredSYNs: h.unansweredSYNs, Slow: h.slowness.isSlow, Warming: now < s.WarmupEnd || h.cold.isCold(now),
			})
		}
	}
	slices.SortFunc(out, func(a, b ServerReport) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
	return out
}

// ServiceReport is the load of a service, as this host observes it.
type ServiceReport struct {
	Service string
	// Limit is the maximum number of flows in flight; 0 for no limit.
	Limit float64
	// InFlight is the number of flows in flight, and Waiting that of held
	// SYNs.
	InFlight, Waiting int
}

// ServiceReports returns the load of each service that has had flows, sorted by
// service.
func (t *Table) ServiceReports() []ServiceReport {
	var out []ServiceReport
	for service, l := range t.limiters {
		out = append(out, ServiceReport{Service: service, Limit: l.limit, InFlight: l.inFlight, Waiting: l.held.Len()})
	}
	slices.SortFunc(out, func(a, b ServiceReport) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// LimitChange records that a limit was set on a service or removed.
type LimitChange struct {
	Service string
	// Limit is the new limit, 0 if it was removed.
	Limit float64
	// InFlight is the number of flows in flight.
	InFlight int
	// MedianRatio is the median, over the window that caused the change, of the
	// ratio of the answer time to the route's objective.
	MedianRatio float64
}

// TakeLimitChanges returns the changes of limits since the last call.
func (t *Table) TakeLimitChanges() []LimitChange {
	out := t.limitChanges
	t.limitChanges = nil
	return out
}
