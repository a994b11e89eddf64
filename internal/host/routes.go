package host

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"lagoonramp.org/lagoonramp/internal/dgram"
	"lagoonramp.org/lagoonramp/internal/event"
	"lagoonramp.org/lagoonramp/internal/httplb"
	"lagoonramp.org/lagoonramp/internal/relay"
	"lagoonramp.org/lagoonramp/pkg/conf"
	"lagoonramp.org/lagoonramp/pkg/flow"
	"lagoonramp.org/lagoonramp/pkg/pick"
	"lagoonramp.org/lagoonramp/pkg/rendez"
)

const (
	// quarantineTime is how long a server address rests after it belonged to
	// another service.
	quarantineTime = 60 * time.Second
	// rampTime is how long a new server takes to reach its full weight.
	rampTime  = 10 * time.Second
	rampStep  = time.Second
	minWeight = 0.1
	// connectionSpread is the factor above an even share that one host may use
	// of a server's connections.
	connectionSpread = 2
)

// routes are the services as the traffic sees them. The maps are immutable.
type routes struct {
	adopted *conf.Snapshot
	// teams holds the team of each service by name.
	teams map[string]string
	http  map[string]*httplb.Service
	tcp   map[string]*relay.Service
	// byID holds the http services by the hash of their name.
	byID map[uint64]*httplb.Service
	// loads holds the flows at each server of udp services, by ID.
	loads map[uint64]*atomic.Int64
	// resting lists the server addresses under quarantine, by AddressKey.
	resting map[string]bool
}

// abort ends every connection at once.
func (r *routes) abort() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, s := range r.http {
		_ = s.Drain(ctx)
	}
	for _, s := range r.tcp {
		s.Drain(ctx)
	}
}

// rampState is when a server was first seen.
type rampState struct {
	since time.Time
}

// serverID names a server of a service.
func serverID(service, server string) uint64 { return rendez.Hash(service + "/" + server) }

// owner is the service that an address belonged to, and until when that
// counts.
type owner struct {
	service string
	until   time.Time
}

// quarantineMoved notes the server addresses that the new configuration gives
// to another service than the one that had them last. An address that was
// removed in between is remembered for quarantineTime.
func (h *Host) quarantineMoved() {
	c := &h.control
	now := time.Now()
	if old := h.routes.Load().adopted; old != nil {
		old.Document.EachServer(func(s *conf.Service, v *conf.Server) {
			c.owners[s.AddressKey(v.Address)] = owner{service: s.Name, until: now.Add(quarantineTime)}
		})
	}
	for a, o := range c.owners {
		if now.After(o.until) {
			delete(c.owners, a)
		}
	}
	c.adopter.InForce().Document.EachServer(func(s *conf.Service, v *conf.Server) {
		was, ok := c.owners[s.AddressKey(v.Address)]
		if !ok || was.service == s.Name {
			return
		}
		c.quarantine[s.AddressKey(v.Address)] = now.Add(quarantineTime)
		h.events.Add(event.Event{Kind: event.Quarantined, Service: s.Name, Server: v.Name,
			Cause: "the address belonged to " + was.service})
	})
}

// builder makes routes and tables from what is in force.
type builder struct {
	host   *Host
	old    *routes
	next   *routes
	tables *dgram.Tables
	accept map[netip.AddrPort]relay.Acceptor
	hosts  []uint64
	// movedTCP is to connections what Tables.Moved is to datagrams.
	movedTCP map[netip.AddrPort]string
	first    bool
	ramping  bool
}

// applyRoutes rebuilds what the traffic uses. It is called from the control
// loop. The traffic sees the change as one switch.
func (h *Host) applyRoutes() {
	a := h.control.adopter.InForce()
	v := h.view.Load()
	b := &builder{
		host: h, old: h.routes.Load(), hosts: v.flow.Active,
		next: &routes{adopted: a, teams: map[string]string{}, http: map[string]*httplb.Service{},
			tcp: map[string]*relay.Service{}, byID: map[uint64]*httplb.Service{},
			loads: map[uint64]*atomic.Int64{}, resting: map[string]bool{}},
		tables: &dgram.Tables{View: v.flow, Peers: v.peers, Services: map[uint64]*dgram.Service{},
			ByAddress: map[netip.AddrPort]*dgram.Service{}, ServerSets: map[uint64]*flow.ServerSet{},
			Moved: map[netip.AddrPort]string{}},
		accept:   map[netip.AddrPort]relay.Acceptor{},
		movedTCP: map[netip.AddrPort]string{},
	}
	b.first = b.old.adopted == nil
	if a != nil {
		for team, sec := range a.Document.Teams {
			for i := range sec.Services {
				b.next.teams[sec.Services[i].Name] = team
				b.service(&sec.Services[i])
			}
		}
	}
	h.routes.Store(b.next)
	h.once.SetServices(b.next.http)
	if err := h.plane.SetTables(b.tables); err != nil {
		h.listenFailed(err)
	}
	if err := h.ingress.SetServices(b.accept); err != nil {
		h.listenFailed(err)
	}
	for name, s := range b.next.tcp {
		s.EndMoved(name, b.movedTCP)
	}
	for name, s := range b.old.tcp {
		s.EndMoved(name, b.movedTCP)
	}
	b.retire()
	if b.ramping || len(b.next.resting) > 0 {
		h.control.rebuildAt = time.Now().Add(rampStep)
	}
}

func (h *Host) listenFailed(err error) {
	h.events.Add(event.Event{Kind: event.Alarm, Cause: err.Error()})
	h.log.Error("host: a service address cannot be used", zap.Error(err))
}

// service adds one service.
func (b *builder) service(s *conf.Service) {
	local := b.localServers(s)
	switch s.Protocol {
	case conf.UDP:
		b.udp(s, local)
	case conf.TCP:
		b.tcp(s, local)
	case conf.HTTP:
		b.http(s, local)
	}
}

// localServers returns the servers that this data centre uses: its own ones,
// or those of the others if it has none that takes new work.
func (b *builder) localServers(s *conf.Service) []conf.Server {
	var own []conf.Server
	usable := false
	for _, v := range s.Servers {
		if v.DataCentre == b.host.set.DataCentre {
			own = append(own, v)
			usable = usable || v.State.AcceptsNewWork()
		}
	}
	if usable {
		return own
	}
	return s.Servers
}

// takesNew reports whether a server takes new work, and notes a quarantine.
func (b *builder) takesNew(s *conf.Service, v *conf.Server) bool {
	key := s.AddressKey(v.Address)
	until, ok := b.host.control.quarantine[key]
	if ok && time.Now().Before(until) {
		b.next.resting[key] = true
		moved := b.movedTCP
		if s.Protocol == conf.UDP {
			moved = b.tables.Moved
		}
		moved[v.AddrPort()] = s.Name
		return false
	}
	delete(b.host.control.quarantine, key)
	return v.State.AcceptsNewWork()
}

// share returns how many of a server's connections this host may use. Callers
// are spread unevenly, so that it is more than an even share.
func (b *builder) share(connections int) int {
	n := max(1, len(b.hosts))
	return max(1, min(connections, (connections*connectionSpread+n-1)/n))
}

// weight returns the weight of a server that ramps up.
func (b *builder) weight(id uint64) float64 {
	r := b.host.control.ramps[id]
	if r == nil {
		r = &rampState{since: time.Now()}
		if b.first {
			r.since = r.since.Add(-rampTime) // Not new, only this host is.
		}
		b.host.control.ramps[id] = r
	}
	age := time.Since(r.since)
	if age >= rampTime {
		return 1
	}
	b.ramping = true
	return max(minWeight, float64(age)/float64(rampTime))
}

func (b *builder) udp(s *conf.Service, servers []conf.Server) {
	svc := &dgram.Service{ID: rendez.Hash(s.Name), Name: s.Name, Address: s.AddrPort(),
		ProxyHeader: s.ProxyHeader, Servers: map[uint64]*dgram.Server{}}
	set := &flow.ServerSet{IdleTimeout: time.Duration(s.IdleTimeout), SilentAfter: time.Duration(s.SilentAfter)}
	for i := range servers {
		v := &servers[i]
		id := serverID(s.Name, v.Name)
		n := b.old.loads[id]
		if n == nil {
			n = &atomic.Int64{}
		}
		b.next.loads[id] = n
		svc.Servers[id] = &dgram.Server{ID: id, Name: v.Name, Address: v.AddrPort(),
			MaxFlows: b.share(v.Connections), Weight: b.weight(id), Flows: n}
		if b.takesNew(s, v) {
			set.Accepting = append(set.Accepting, id)
		} else {
			set.NotAccepting = append(set.NotAccepting, id)
		}
	}
	b.tables.Services[svc.ID] = svc
	b.tables.ByAddress[svc.Address] = svc
	b.tables.ServerSets[svc.ID] = set
}

func (b *builder) tcp(s *conf.Service, servers []conf.Server) {
	t := &relay.Targets{Name: s.Name, Address: s.AddrPort(), ProxyHeader: s.ProxyHeader, IdleTimeout: time.Duration(s.IdleTimeout)}
	for i := range servers {
		v := &servers[i]
		t.Servers = append(t.Servers, relay.Server{ID: serverID(s.Name, v.Name), Name: v.Name, Address: v.Address,
			MaxConnections: b.share(v.Connections), AcceptsNewWork: b.takesNew(s, v)})
	}
	svc := b.old.tcp[s.Name]
	if svc == nil {
		svc = relay.NewService(t, pick.LeastLoaded{}, b.host.events, b.host.bind)
		go svc.Run(context.Background())
	} else {
		svc.SetTargets(t)
	}
	b.next.tcp[s.Name] = svc
	b.accept[t.Address] = svc
}

func (b *builder) http(s *conf.Service, servers []conf.Server) {
	t := &httplb.ServiceConfig{ID: rendez.Hash(s.Name), Name: s.Name, Address: s.AddrPort(),
		HeaderTimeout: time.Duration(s.Deadline), IdleTimeout: time.Duration(s.IdleTimeout), MaxBody: s.MaxBody,
		MaxWaiting: s.Queue, LongShare: s.LongShare, Classes: s.Classes, Hosts: b.hosts}
	for i := range servers {
		v := &servers[i]
		t.Servers = append(t.Servers, httplb.Server{ID: serverID(s.Name, v.Name), Name: v.Name, Address: v.Address,
			Slots: v.Slots, AcceptsNew: b.takesNew(s, v)})
	}
	svc := b.old.http[s.Name]
	if svc == nil {
		h := b.host
		set := httplb.Settings{Self: h.id, Events: h.events, SendSlotMessage: h.sendSlots, Deduplicator: h.once, Policy: pick.LeastLoaded{}}
		if h.bind != nil {
			set.LocalAddr = h.bind
		}
		svc = httplb.NewService(t, set)
	} else {
		svc.SetConfig(t)
	}
	b.next.http[s.Name] = svc
	b.next.byID[t.ID] = svc
	b.accept[t.Address] = svc
}

// retire lets the services that are gone end what they hold.
func (b *builder) retire() {
	limit := b.host.set.Limits.Drain.Or(defaultDrain)
	for name, s := range b.old.http {
		if b.next.http[name] == nil {
			go retireService(limit, func(ctx context.Context) { _ = s.Drain(ctx) })
		}
	}
	for name, s := range b.old.tcp {
		if b.next.tcp[name] == nil {
			go retireService(limit, func(ctx context.Context) { s.Drain(ctx) })
		}
	}
}

func retireService(limit time.Duration, drain func(ctx context.Context)) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	drain(ctx)
}
