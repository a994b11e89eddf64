package fleet

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"lagoonramp.org/lagoonramp/pkg/mark"
)

// Settings of a Builder. The zero value is usable.
type Settings struct {
	// FlowLifetime is how long an open flow may need a server or a route that
	// is gone. The default is 60 s.
	FlowLifetime time.Duration
	// LapseGrace is how long a server that was ready stays in use after its
	// entry vanished: the store may have been away, and the server writes its
	// entry again. If the store is not heard of in the second half of it, the
	// server stays in use, since the store may be away again. The default is
	// 2 s.
	ExpiryGrace time.Duration
}

const (
	defaultFlowLifetime = 60 * time.Second
	defaultLapseGrace   = 2 * time.Second
)

// Builder derives views from successive states of the store.
type Builder struct {
	set   Settings
	marks *mark.Table
	// known holds every server seen within a flow's lifetime, by ID.
	known map[string]*record
	// routes holds every route seen within a flow's lifetime.
	routes map[netip.AddrPort]*routeRecord
	// next is when the view changes by itself; 0 means never.
	next time.Duration
	// confirmed is when the state was known to be current.
	confirmed time.Duration
	// began is when a document was known first, and begun tells that one is.
	began time.Duration
	begun bool
}

type record struct {
	server *Server
	// there tells that the store has the entry now.
	there bool
	// gone is when the entry vanished.
	gone time.Duration
}

type routeRecord struct {
	// Route is the document's; it has no targets if the document lacks it.
	Route
	// until holds how long each former service is remembered.
	until map[string]time.Duration
}

// NewBuilder returns a builder that knows nothing.
func NewBuilder(set Settings) *Builder {
	if set.FlowLifetime == 0 {
		set.FlowLifetime = defaultFlowLifetime
	}
	if set.ExpiryGrace == 0 {
		set.ExpiryGrace = defaultLapseGrace
	}
	return &Builder{
		set: set, marks: mark.NewTable(set.FlowLifetime),
		known: map[string]*record{}, routes: map[netip.AddrPort]*routeRecord{},
	}
}

// Build returns the view of a state of the store, which was known to be current
// at the time confirmed: the document, or nil if none is known, and the servers'
// entries by ID.
func (b *Builder) Build(now, confirmed time.Duration, revision uint64, doc *Document, servers map[string]*Server) *View {
	b.next = 0
	b.confirmed = confirmed
	b.noteServers(now, servers)
	v := &View{
		StoreRevision: revision,
		Routes:        map[netip.AddrPort]*RouteState{},
		Usable:        map[string][]*Server{},
		ServersByMark: map[uint32]*Server{},
	}
	if doc != nil {
		v.DocumentVersion = doc.Version
		b.noteRoutes(now, doc)
	}
	b.addServers(now, v)
	b.addRoutes(now, v)
	if doc != nil {
		v.Incomplete = b.incomplete(now, v)
	}
	return v
}

// incomplete reports whether a service of a route has no server, and the first
// state is too young to tell that it has none: entries that lapsed with the
// store come back within the grace.
func (b *Builder) incomplete(now time.Duration, v *View) bool {
	if !b.begun {
		b.begun = true
		b.began = now
	}
	end := b.began + b.set.ExpiryGrace
	if now >= end {
		return false
	}
	for _, p := range v.Routes {
		if slices.ContainsFunc(p.Targets, func(t Target) bool { return len(v.Usable[t.Service]) == 0 }) {
			b.wakeAt(end)
			return true
		}
	}
	return false
}

// Next returns when the view may change by itself, 0 for never: the embedder
// builds it anew then, and again until Next is later.
func (b *Builder) NextChange() time.Duration { return b.next }

func (b *Builder) wakeAt(t time.Duration) {
	if b.next == 0 || t < b.next {
		b.next = t
	}
}

func (b *Builder) noteServers(now time.Duration, servers map[string]*Server) {
	for id, s := range servers {
		r := b.known[id]
		if r == nil {
			r = &record{}
			b.known[id] = r
		}
		if r.server == nil || r.server.WarmupDuration != s.WarmupDuration || r.server.Started != s.Started {
			s.WarmupEnd = now + s.WarmupDuration
		} else {
			s.WarmupEnd = r.server.WarmupEnd
		}
		r.server = s
		r.there = true
	}
	for id, r := range b.known {
		if servers[id] != nil {
			continue
		}
		if r.there {
			r.there = false
			r.gone = now
		}
		if now-r.gone >= b.set.FlowLifetime {
			delete(b.known, id)
		}
	}
}

// addServers fills the view's servers.
func (b *Builder) addServers(now time.Duration, v *View) {
	marks := b.marks.Update(now, slices.Collect(maps.Keys(b.known)))
	addresses := b.addressHolders()
	for _, id := range slices.Sorted(maps.Keys(b.known)) {
		r := b.known[id]
		m, ok := marks[id]
		if !ok {
			continue
		}
		s := *r.server
		s.Mark = m
		v.ServersByMark[m] = &s
		if b.usable(now, r) && addresses[s.Address] == id {
			v.Usable[s.Service] = append(v.Usable[s.Service], &s)
		}
	}
}

// addressHolders returns which server holds each address: the one that started
// last among those that the store has.
func (b *Builder) addressHolders() map[netip.AddrPort]string {
	out := map[netip.AddrPort]string{}
	for id, r := range b.known {
		other := b.known[out[r.server.Address]]
		if other == nil || holdsBefore(r, other) {
			out[r.server.Address] = id
		}
	}
	return out
}

// holdsBefore reports whether a rather than b has the address of both.
func holdsBefore(a, b *record) bool {
	if a.there != b.there {
		return a.there
	}
	if c := a.server.Started.Compare(b.server.Started); c != 0 {
		return c > 0
	}
	return cmp.Less(a.server.ID, b.server.ID)
}

// usable reports whether a server takes new flows.
func (b *Builder) usable(now time.Duration, r *record) bool {
	if r.server.State != Ready {
		return false
	}
	if r.there {
		return true
	}
	end := r.gone + b.set.ExpiryGrace
	if now >= end && b.confirmed >= end-b.set.ExpiryGrace/2 {
		return false
	}
	b.wakeAt(end)
	return true
}

// noteRoutes remembers the routes and the services that they left.
func (b *Builder) noteRoutes(now time.Duration, doc *Document) {
	current := make(map[netip.AddrPort]Route, len(doc.Routes))
	for _, r := range doc.Routes {
		current[r.Address] = r
		if b.routes[r.Address] == nil {
			b.routes[r.Address] = &routeRecord{until: map[string]time.Duration{}}
		}
	}
	for a, r := range b.routes {
		// The view may have been built last long ago: until now, flows began
		// at the targets that the route leaves.
		for _, t := range slices.Concat(r.Targets, current[a].Targets) {
			r.until[t.Service] = now + b.set.FlowLifetime
		}
		r.Route = current[a]
	}
}

// addRoutes fills the view's routes.
func (b *Builder) addRoutes(now time.Duration, v *View) {
	for a, r := range b.routes {
		p := &RouteState{Targets: r.Targets, Objective: r.Objective, Timeout: r.Timeout}
		for service, until := range r.until {
			if isTarget(r.Targets, service) {
				continue
			}
			if now >= until {
				delete(r.until, service)
				continue
			}
			p.FormerServices = append(p.FormerServices, service)
		}
		if len(r.until) == 0 && len(r.Targets) == 0 {
			delete(b.routes, a)
			continue
		}
		slices.Sort(p.FormerServices)
		v.Routes[a] = p
	}
}

func isTarget(targets []Target, service string) bool {
	return slices.ContainsFunc(targets, func(t Target) bool { return t.Service == service })
}
