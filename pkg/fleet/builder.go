package fleet

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"lagoonramp.org/lagoonramp/pkg/mark"
)

// Settings configures a Builder. The zero value selects the defaults.
type Settings struct {
	// FlowLifetime is how long a removed server or route is retained for open
	// flows. The default is 60 s.
	FlowLifetime time.Duration
	// ExpiryGrace is how long a ready server remains usable after its entry
	// disappeared from the store. The entry may have expired during an outage
	// of the store, in which case the server writes it again. If the state of
	// the store is not confirmed in the second half of the grace period, the
	// server remains usable beyond it, since the store may be unavailable
	// again. The default is 2 s.
	ExpiryGrace time.Duration
}

const (
	defaultFlowLifetime = 60 * time.Second
	defaultExpiryGrace  = 2 * time.Second
)

// Builder builds views from successive states of the store.
type Builder struct {
	settings Settings
	marks    *mark.Table
	// servers maps IDs to the servers that were in the store within the last
	// FlowLifetime.
	servers map[string]*serverRecord
	// routes maps addresses to the routes that were in the document within the
	// last FlowLifetime.
	routes map[netip.AddrPort]*routeRecord
	// services maps names to the services of the document.
	services map[string]Service
	// evacuated holds the data centres whose servers get no new flows, and
	// evacuationEnds the times at which this host learned of the ends of earlier
	// evacuations.
	evacuated      map[string]bool
	evacuationEnds map[string]time.Duration
	// left holds the IDs of servers that have left although the store may have shown
	// their entries since.
	left map[string]bool
	// nextChange is the earliest time at which the view may change without a
	// change in the store, 0 if there is none.
	nextChange time.Duration
	// confirmedAt is when the state of the store was last known to be current.
	confirmedAt time.Duration
	// firstDocumentAt is when Build first received a document. It is valid if
	// hasDocument is true.
	firstDocumentAt time.Duration
	hasDocument     bool
}

// serverRecord is a server that is or was in the store.
type serverRecord struct {
	server *Server
	// inStore is true while the store contains the server's entry.
	inStore bool
	// removedAt is when the entry disappeared. It is valid if inStore is false.
	removedAt time.Duration
	// left is set if the server is known to have left (SetLeft), until its entry
	// appears again.
	left bool
}

// routeRecord is a route with its present and former services.
type routeRecord struct {
	// Route is the route of the current document, or the zero Route if it was
	// removed.
	Route
	// serviceUntil maps services to the time until which flows of the route may
	// belong to them.
	serviceUntil map[string]time.Duration
}

// NewBuilder returns a Builder without servers and routes.
func NewBuilder(settings Settings) *Builder {
	if settings.FlowLifetime == 0 {
		settings.FlowLifetime = defaultFlowLifetime
	}
	if settings.ExpiryGrace == 0 {
		settings.ExpiryGrace = defaultExpiryGrace
	}
	return &Builder{
		settings: settings, marks: mark.NewTable(settings.FlowLifetime),
		servers: map[string]*serverRecord{}, routes: map[netip.AddrPort]*routeRecord{}, evacuationEnds: map[string]time.Duration{},
	}
}

// SetEvacuated replaces the set of data centres whose servers get no new flows. It
// takes effect with the next Build.
func (b *Builder) SetEvacuated(now time.Duration, dataCentres map[string]bool) {
	for dataCentre := range b.evacuated {
		if !dataCentres[dataCentre] {
			b.evacuationEnds[dataCentre] = now
		}
	}
	b.evacuated = dataCentres
}

// SetLeft replaces the set of servers that have left although the store shows their
// entries, or has shown them, since it was restored from an older copy. Such a
// server is not used for ExpiryGrace. It takes effect with the next Build.
func (b *Builder) SetLeft(ids map[string]bool) { b.left = ids }

// Build returns the view for a state of the store that was known to be current
// at confirmedAt. The document is nil if there is none; servers maps IDs to
// entries. Build sets WarmupEnd in these entries and retains them.
func (b *Builder) Build(now, confirmedAt time.Duration, revision uint64, doc *Document, servers map[string]*Server) *View {
	b.nextChange = 0
	b.confirmedAt = confirmedAt
	b.updateServers(now, servers)
	v := &View{
		StoreRevision:     revision,
		Routes:            map[netip.AddrPort]*RouteState{},
		Usable:            map[string][]*Server{},
		ServersByMark:     map[uint32]*Server{},
		Evacuated:         b.evacuated,
		EvacuatedServices: map[string]bool{},
	}
	if doc != nil {
		v.DocumentVersion = doc.Version
		b.updateServices(doc)
		b.updateRoutes(now, doc)
	}
	v.Services = b.services
	b.addServers(now, v)
	b.addRoutes(now, v)
	if doc != nil {
		v.Incomplete = b.isIncomplete(now, v)
	}
	return v
}

// updateServices replaces the services by those of the document.
func (b *Builder) updateServices(doc *Document) {
	b.services = make(map[string]Service, len(doc.Services))
	for _, s := range doc.Services {
		b.services[s.Name] = s
	}
}

// isIncomplete reports whether a target of a route has no usable server and
// ExpiryGrace has not yet passed since the first document. Entries that expired
// during an outage of the store are written again within that time. A service whose
// servers are in evacuated data centres is not incomplete.
func (b *Builder) isIncomplete(now time.Duration, v *View) bool {
	if !b.hasDocument {
		b.hasDocument = true
		b.firstDocumentAt = now
	}
	end := b.firstDocumentAt + b.settings.ExpiryGrace
	if now >= end {
		return false
	}
	for _, r := range v.Routes {
		if slices.ContainsFunc(r.Targets, func(t Target) bool { return len(v.Usable[t.Service]) == 0 && !v.EvacuatedServices[t.Service] }) {
			b.scheduleChange(end)
			return true
		}
	}
	return false
}

// NextChange returns the earliest time at which the view may change without a
// change in the store, or 0 if there is none. Build must be called again at that
// time, until NextChange returns 0 or a later time.
func (b *Builder) NextChange() time.Duration { return b.nextChange }

// scheduleChange lowers nextChange to t.
func (b *Builder) scheduleChange(t time.Duration) {
	if b.nextChange == 0 || t < b.nextChange {
		b.nextChange = t
	}
}

// updateServers records the entries of the store, and deletes servers that have
// been absent for FlowLifetime.
func (b *Builder) updateServers(now time.Duration, servers map[string]*Server) {
	for id, s := range servers {
		r := b.servers[id]
		if r == nil {
			r = &serverRecord{}
			b.servers[id] = r
		}
		if r.server == nil || r.server.WarmupDuration != s.WarmupDuration || r.server.Started != s.Started {
			s.WarmupEnd = now + s.WarmupDuration
		} else {
			s.WarmupEnd = r.server.WarmupEnd
		}
		r.server = s
		r.inStore, r.left = true, false
	}
	for id, r := range b.servers {
		if servers[id] != nil {
			continue
		}
		if r.inStore {
			r.inStore = false
			r.removedAt = now
		}
		r.left = r.left || b.left[id]
		if now-r.removedAt >= b.settings.FlowLifetime {
			delete(b.servers, id)
		}
	}
}

// addServers adds the servers to the view, except those whose mark belongs to
// another server.
func (b *Builder) addServers(now time.Duration, v *View) {
	marks := b.updateMarks(now)
	addresses := b.addressOwners()
	for _, id := range slices.Sorted(maps.Keys(b.servers)) {
		r := b.servers[id]
		m, ok := marks[id]
		if !ok {
			continue
		}
		s := *r.server
		s.Mark = m
		s.Departed = !r.inStore
		s.Replaced = b.isReplaced(id, addresses)
		s.WarmupEnd = b.warmupEnd(&s)
		v.ServersByMark[m] = &s
		switch {
		case addresses[s.Address] != id || !b.isUsable(now, r) || !b.marks.AcceptsFlows(now, id):
		case b.evacuated[s.DataCentre]:
			v.EvacuatedServices[s.Service] = true
		default:
			v.Usable[s.Service] = append(v.Usable[s.Service], &s)
		}
	}
	maps.DeleteFunc(v.EvacuatedServices, func(service string, _ bool) bool { return len(v.Usable[service]) > 0 })
}

// updateMarks returns the marks of the servers that hold one.
func (b *Builder) updateMarks(now time.Duration) map[string]uint32 {
	claims := make([]mark.Claim, 0, len(b.servers))
	for id, r := range b.servers {
		claims = append(claims, mark.Claim{ID: id, Started: r.server.Started, Departed: !r.inStore})
	}
	marks := b.marks.Update(now, claims)
	if next := b.marks.NextChange(); next > 0 {
		b.scheduleChange(next)
	}
	return marks
}

// warmupEnd returns the end of the warm-up of a server. After an evacuation, a
// server may have become cold without an entry that shows it yet, so if its service
// has a limit on cold servers, it counts as cold from the end of the evacuation.
func (b *Builder) warmupEnd(s *Server) time.Duration {
	end, wasEvacuated := b.evacuationEnds[s.DataCentre]
	service := b.services[s.Service]
	if !wasEvacuated || service.WarmupRate == 0 {
		return s.WarmupEnd
	}
	return max(s.WarmupEnd, end+service.WarmupDuration)
}

// isReplaced reports whether another server, which is in the store, has
// registered the address of a server that is no longer in the store. An address
// is registered again only after the process that had it has ended.
func (b *Builder) isReplaced(id string, addresses map[netip.AddrPort]string) bool {
	r := b.servers[id]
	owner := addresses[r.server.Address]
	return !r.inStore && owner != "" && owner != id && b.servers[owner].inStore
}

// addressOwners returns the ID of the server that owns each address. Servers in
// the store take precedence over removed ones, then those that started later. An
// entry with a service that the document does not name is not that of a server.
func (b *Builder) addressOwners() map[netip.AddrPort]string {
	out := map[netip.AddrPort]string{}
	for id, r := range b.servers {
		if _, known := b.services[r.server.Service]; len(b.services) > 0 && !known {
			continue
		}
		owner := b.servers[out[r.server.Address]]
		if owner == nil || hasAddressPriority(r, owner) {
			out[r.server.Address] = id
		}
	}
	return out
}

// hasAddressPriority reports whether a takes precedence over b for an address
// that both have registered.
func hasAddressPriority(a, b *serverRecord) bool {
	if a.inStore != b.inStore {
		return a.inStore
	}
	if c := a.server.Started.Compare(b.server.Started); c != 0 {
		return c > 0
	}
	return cmp.Less(a.server.ID, b.server.ID)
}

// isUsable reports whether a server may receive new flows unless its data centre is
// evacuated.
func (b *Builder) isUsable(now time.Duration, r *serverRecord) bool {
	if r.server.State != Ready {
		return false
	}
	if r.inStore {
		return true
	}
	if r.left {
		return false
	}
	end := r.removedAt + b.settings.ExpiryGrace
	if now >= end && b.confirmedAt >= end-b.settings.ExpiryGrace/2 {
		return false
	}
	b.scheduleChange(end)
	return true
}

// updateRoutes records the routes of the document. The targets that it replaces
// become former services.
func (b *Builder) updateRoutes(now time.Duration, doc *Document) {
	current := make(map[netip.AddrPort]Route, len(doc.Routes))
	for _, r := range doc.Routes {
		current[r.Address] = r
		if b.routes[r.Address] == nil {
			b.routes[r.Address] = &routeRecord{serviceUntil: map[string]time.Duration{}}
		}
	}
	for a, r := range b.routes {
		// The lifetime of the replaced targets starts now, since flows were
		// opened to them until now, even if the previous Build was long ago.
		for _, t := range slices.Concat(r.Targets, current[a].Targets) {
			r.serviceUntil[t.Service] = now + b.settings.FlowLifetime
		}
		r.Route = current[a]
	}
}

// addRoutes adds the routes to the view, and deletes expired former services.
func (b *Builder) addRoutes(now time.Duration, v *View) {
	for a, r := range b.routes {
		state := &RouteState{Targets: r.Targets, Objective: r.Objective, Timeout: r.Timeout, Idempotent: r.Idempotent, Priority: r.Priority}
		for service, until := range r.serviceUntil {
			if isTarget(r.Targets, service) {
				continue
			}
			if now >= until {
				delete(r.serviceUntil, service)
				continue
			}
			state.FormerServices = append(state.FormerServices, service)
		}
		if len(r.serviceUntil) == 0 && len(r.Targets) == 0 {
			delete(b.routes, a)
			continue
		}
		slices.Sort(state.FormerServices)
		v.Routes[a] = state
	}
}

func isTarget(targets []Target, service string) bool {
	return slices.ContainsFunc(targets, func(t Target) bool { return t.Service == service })
}
