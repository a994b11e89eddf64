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
				Busy: h.busy, Misses: h.misses, Slow: h.speed.slow, Warming: now < s.WarmUntil,
			})
		}
	}
	slices.SortFunc(out, func(a, b ServerReport) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
	return out
}
