package fleet

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"
)

// Remnants are what open flows may still need although the store does not hold
// it any more. A host that has just started cannot read them anywhere but from
// a host that runs for longer.
type RetainedState struct {
	Servers []DepartedServer `json:"servers,omitempty"`
	Targets []FormerTarget   `json:"targets,omitempty"`
}

// DepartedServer is a server whose entry vanished.
type DepartedServer struct {
	Server Server `json:"server"`
	// Ago is how long ago the entry vanished; it is not negative.
	SinceRemoval time.Duration `json:"ago"`
}

// FormerTarget is a service that a route led to before.
type FormerTarget struct {
	Route   netip.AddrPort `json:"route"`
	Service string         `json:"service"`
	// Left is for how long open flows of the route may still be there; it is
	// above 0.
	Remaining time.Duration `json:"left"`
}

// Remnants returns what this builder remembers beyond the store's state.
func (b *Builder) RetainedState(now time.Duration) RetainedState {
	var out RetainedState
	for _, id := range slices.Sorted(maps.Keys(b.known)) {
		if r := b.known[id]; !r.there && now-r.gone < b.set.FlowLifetime {
			out.Servers = append(out.Servers, DepartedServer{Server: *r.server, SinceRemoval: now - r.gone})
		}
	}
	for a, r := range b.routes {
		for service, until := range r.until {
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

// Recall takes the remnants of another host. What this builder knows itself
// stands. The next view has the result.
func (b *Builder) MergeRetainedState(now time.Duration, r RetainedState) {
	for _, d := range r.Servers {
		ago := max(0, d.SinceRemoval)
		if b.known[d.Server.ID] != nil || ago >= b.set.FlowLifetime {
			continue
		}
		s := d.Server
		s.Mark, s.WarmupEnd = 0, 0
		b.known[s.ID] = &record{server: &s, gone: now - ago}
	}
	for _, f := range r.Targets {
		route := b.routes[f.Route]
		if route == nil {
			route = &routeRecord{until: map[string]time.Duration{}}
			b.routes[f.Route] = route
		}
		until := now + min(f.Remaining, b.set.FlowLifetime)
		route.until[f.Service] = max(route.until[f.Service], until)
	}
}
