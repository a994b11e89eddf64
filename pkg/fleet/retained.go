package fleet

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"lagoonramp.org/lagoonramp/pkg/mark"
)

// RetainedState is the state that open flows may depend on and that is no longer
// in the store. A host that has just started can obtain it only from a host that
// has been running for longer.
type RetainedState struct {
	Servers []DepartedServer `json:"servers,omitempty"`
	Targets []FormerTarget   `json:"targets,omitempty"`
	// SinceEvacuation maps data centres to the times since the ends of their latest
	// evacuations. The times are not negative.
	SinceEvacuation map[string]time.Duration `json:"evacuated,omitempty"`
	// Marks reports the holders of marks that several servers claim.
	Marks mark.Report `json:"marks,omitzero"`
}

// IsEmpty reports whether r contains nothing that can change a view.
func (r *RetainedState) IsEmpty() bool {
	return len(r.Servers)+len(r.Targets)+len(r.SinceEvacuation)+len(r.Marks.Holdings) == 0
}

// DepartedServer is a server whose entry disappeared from the store.
type DepartedServer struct {
	Server Server `json:"server"`
	// SinceRemoval is the time since the entry disappeared. It is not negative.
	SinceRemoval time.Duration `json:"ago"`
}

// FormerTarget is a service that is no longer a target of a route.
type FormerTarget struct {
	Route   netip.AddrPort `json:"route"`
	Service string         `json:"service"`
	// Remaining is the time for which open flows of the route may still belong
	// to the service. It is positive.
	Remaining time.Duration `json:"left"`
}

// RetainedState returns the servers and targets that b retains although they are
// no longer in the store.
func (b *Builder) RetainedState(now time.Duration) RetainedState {
	out := RetainedState{Marks: b.marks.Report(now)}
	for _, id := range slices.Sorted(maps.Keys(b.servers)) {
		if r := b.servers[id]; !r.inStore && now-r.removedAt < b.settings.FlowLifetime {
			out.Servers = append(out.Servers, DepartedServer{Server: *r.server, SinceRemoval: now - r.removedAt})
		}
	}
	for dataCentre, end := range b.evacuationEnds {
		if now-end < b.settings.FlowLifetime && !b.evacuated[dataCentre] {
			if out.SinceEvacuation == nil {
				out.SinceEvacuation = map[string]time.Duration{}
			}
			out.SinceEvacuation[dataCentre] = now - end
		}
	}
	for a, r := range b.routes {
		for service, until := range r.serviceUntil {
			if !isTarget(r.Targets, service) && until > now {
				out.Targets = append(out.Targets, FormerTarget{Route: a, Service: service, Remaining: until - now})
			}
		}
	}
	slices.SortFunc(out.Targets, func(x, y FormerTarget) int {
		return cmp.Or(x.Route.Compare(y.Route), cmp.Compare(x.Service, y.Service))
	})
	return out
}

// MergeRetainedState adds the retained state of another host. Servers that b has
// already are not changed; of two lifetimes of a former target, the longer one
// applies, and of two ends of an evacuation, the later one. The change takes effect
// in the next Build.
func (b *Builder) MergeRetainedState(now time.Duration, r RetainedState) {
	b.marks.Adopt(now, r.Marks)
	for dataCentre, ago := range r.SinceEvacuation {
		if end, known := b.evacuationEnds[dataCentre]; ago < b.settings.FlowLifetime && (!known || now-ago > end) {
			b.evacuationEnds[dataCentre] = now - ago
		}
	}
	for _, d := range r.Servers {
		ago := d.SinceRemoval
		if b.servers[d.Server.ID] != nil || ago >= b.settings.FlowLifetime {
			continue
		}
		s := d.Server
		s.Mark, s.WarmupEnd = 0, 0
		b.servers[s.ID] = &serverRecord{server: &s, removedAt: now - ago}
	}
	for _, f := range r.Targets {
		route := b.routes[f.Route]
		if route == nil {
			route = &routeRecord{serviceUntil: map[string]time.Duration{}}
			b.routes[f.Route] = route
		}
		until := now + min(f.Remaining, b.settings.FlowLifetime)
		route.serviceUntil[f.Service] = max(route.serviceUntil[f.Service], until)
	}
}
