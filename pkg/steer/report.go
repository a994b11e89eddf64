package steer

import (
	"cmp"
	"slices"
	"time"
)

// ServerReport is what a host knows of a server for new flows.
type ServerReport struct {
	Service, ID, DataCentre string
	Slots                   int
	// Busy is how many of this host's flows the server works for.
	Busy int
	// Misses counts the SYNs without an answer since the last answer; above 0
	// the server is avoided.
	Misses int
	// Slow tells that the server's answers take much longer than others'.
	Slow bool
	// Warming tells that the server is still slow after its start.
	Warming bool
}

// Report returns the servers for new flows, by service and ID.
func (t *Table) Report(now time.Duration) []ServerReport {
	if t.view == nil {
		return nil
	}
	var out []ServerReport
	for service, servers := range t.view.Usable {
		for _, s := range servers {
			h := t.servers[s.Mark]
			out = append(out, ServerReport{
				Service: service, ID: s.ID, DataCentre: s.DataCentre, Slots: s.Slots,
				Busy: h.busy, Misses: h.misses, Slow: h.speed.slow, Warming: now < s.WarmupEnd,
			})
		}
	}
	slices.SortFunc(out, func(a, b ServerReport) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
	return out
}

// LaneReport is what a host knows of a service's load.
type LaneReport struct {
	Service string
	// Limit bounds how many of the host's flows the servers work for; 0 for no
	// limit.
	Limit float64
	// Busy is how many they work for, and Waiting how many SYNs wait, some of
	// which may be over.
	Busy, Waiting int
}

// Lanes returns the load of each service with flows, by service.
func (t *Table) Lanes() []LaneReport {
	var out []LaneReport
	for service, l := range t.lanes {
		out = append(out, LaneReport{Service: service, Limit: l.limit, Busy: l.busy, Waiting: len(l.fresh) + len(l.late)})
	}
	slices.SortFunc(out, func(a, b LaneReport) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// LimitChange tells that a service got a limit, or has none any more.
type LimitChange struct {
	Service string
	// Limit is 0 if there is none any more.
	Limit float64
	Busy  int
	// Median is the median answer of the window that decided, as a part of the
	// routes' objectives.
	Median float64
}

// TakeLimits returns the changes since the last call.
func (t *Table) TakeLimits() []LimitChange {
	out := t.limits
	t.limits = nil
	return out
}
