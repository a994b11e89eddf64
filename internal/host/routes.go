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
	// quarantinePeriod is how long a server address accepts no new work after it
	// moved from one service to another.
	quarantinePeriod = 60 * time.Second
	// rampWindow is how long a new server of a udp service takes to reach its full
	// weight.
	rampWindow = 10 * time.Second
	// rampInterval is the interval between rebuilds of the routes while a server
	// ramps up or an address is in quarantine.
	rampInterval = time.Second
	// minRampWeight is the weight at the start of the ramp window.
	minRampWeight = 0.1
	// connectionShareFactor is the multiple of its even share of a server's
	// connections that one host may open.
	connectionShareFactor = 2
)

// routes holds the services of a configuration as the data path uses them. The
// maps are immutable.
type routes struct {
	// snapshot is the configuration, nil before the first one is adopted.
	snapshot *conf.Snapshot
	// teamByService holds the team of each service by name.
	teamByService map[string]string
	// http and tcp hold the services of these protocols by name.
	http map[string]*httplb.Service
	tcp  map[string]*relay.Service
	// httpByID holds the http services by the hash of their name.
	httpByID map[uint64]*httplb.Service
	// flowCounts holds the number of flows to each server of the udp services, by
	// server ID.
	flowCounts map[uint64]*atomic.Int64
	// quarantined contains the server addresses in quarantine, by AddressKey.
	quarantined map[string]bool
}

// abort closes all connections without draining.
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

// rampState holds the start of a server's ramp window.
type rampState struct {
	start time.Time
}

// serverID returns the ID of a server of a service.
func serverID(service, server string) uint64 { return rendez.Hash(service + "/" + server) }

// addressOwner is the service that a server address belonged to last. The entry
// is ignored after expires.
type addressOwner struct {
	service string
	expires time.Time
}

// quarantineMovedAddresses puts a server address in quarantine if the new
// configuration assigns it to a service other than its last owner. The last owner
// of an address that a configuration removed is kept for quarantinePeriod.
func (h *Host) quarantineMovedAddresses() {
	c := &h.control
	now := time.Now()
	if old := h.routes.Load().snapshot; old != nil {
		old.Document.EachServer(func(s *conf.Service, v *conf.Server) {
			c.lastOwners[s.AddressKey(v.Address)] = addressOwner{service: s.Name, expires: now.Add(quarantinePeriod)}
		})
	}
	for address, owner := range c.lastOwners {
		if now.After(owner.expires) {
			delete(c.lastOwners, address)
		}
	}
	c.adopter.InForce().Document.EachServer(func(s *conf.Service, v *conf.Server) {
		previous, ok := c.lastOwners[s.AddressKey(v.Address)]
		if !ok || previous.service == s.Name {
			return
		}
		c.quarantinedUntil[s.AddressKey(v.Address)] = now.Add(quarantinePeriod)
		h.events.Add(event.Event{Kind: event.Quarantined, Service: s.Name, Server: v.Name,
			Cause: "the address belonged to " + previous.service})
	})
}

// builder builds the routes, the datagram tables and the acceptors from the
// configuration in force and the view.
type builder struct {
	host *Host
	// old holds the routes in use, next those that are being built.
	old         *routes
	next        *routes
	tables      *dgram.Tables
	acceptors   map[netip.AddrPort]relay.Acceptor
	activeHosts []uint64
	// movedTCP maps the quarantined server addresses of tcp and http services to
	// the name of their new service, as Tables.Moved does for datagrams.
	movedTCP map[netip.AddrPort]string
	// firstConfig is set if this is the first configuration of the host.
	firstConfig bool
	// ramping is set if a server is within its ramp window.
	ramping bool
}

// rebuildRoutes rebuilds the routes from the configuration in force and the view,
// and publishes them to the data path. It is called from the control loop.
func (h *Host) rebuildRoutes() {
	snapshot := h.control.adopter.InForce()
	v := h.view.Load()
	b := &builder{
		host: h, old: h.routes.Load(), activeHosts: v.flow.Active,
		next: &routes{snapshot: snapshot, teamByService: map[string]string{}, http: map[string]*httplb.Service{},
			tcp: map[string]*relay.Service{}, httpByID: map[uint64]*httplb.Service{},
			flowCounts: map[uint64]*atomic.Int64{}, quarantined: map[string]bool{}},
		tables: &dgram.Tables{View: v.flow, Peers: v.peerAddresses, Services: map[uint64]*dgram.Service{},
			ByAddress: map[netip.AddrPort]*dgram.Service{}, ServerSets: map[uint64]*flow.ServerSet{},
			Moved: map[netip.AddrPort]string{}},
		acceptors: map[netip.AddrPort]relay.Acceptor{},
		movedTCP:  map[netip.AddrPort]string{},
	}
	b.firstConfig = b.old.snapshot == nil
	if snapshot != nil {
		for team, sec := range snapshot.Document.Teams {
			for i := range sec.Services {
				b.next.teamByService[sec.Services[i].Name] = team
				b.addService(&sec.Services[i])
			}
		}
	}
	h.routes.Store(b.next)
	h.deduplicator.SetServices(b.next.http)
	if err := h.plane.SetTables(b.tables); err != nil {
		h.recordListenError(err)
	}
	if err := h.ingress.SetServices(b.acceptors); err != nil {
		h.recordListenError(err)
	}
	for name, s := range b.next.tcp {
		s.EndMoved(name, b.movedTCP)
	}
	for name, s := range b.old.tcp {
		s.EndMoved(name, b.movedTCP)
	}
	b.drainRemoved()
	if b.ramping || len(b.next.quarantined) > 0 {
		h.control.rebuildAt = time.Now().Add(rampInterval)
	}
}

// recordListenError records that the address of a service cannot be listened on.
func (h *Host) recordListenError(err error) {
	h.events.Add(event.Event{Kind: event.Alarm, Cause: err.Error()})
	h.log.Error("host: cannot listen on a service address", zap.Error(err))
}

// addService adds a service to the routes and tables.
func (b *builder) addService(s *conf.Service) {
	local := b.localServers(s)
	switch s.Protocol {
	case conf.UDP:
		b.addUDP(s, local)
	case conf.TCP:
		b.addTCP(s, local)
	case conf.HTTP:
		b.addHTTP(s, local)
	}
}

// localServers returns the servers of s in this data centre, or all servers of s
// if none in this data centre accepts new work.
func (b *builder) localServers(s *conf.Service) []conf.Server {
	var own []conf.Server
	usable := false
	for _, v := range s.Servers {
		if v.DataCentre == b.host.settings.DataCentre {
			own = append(own, v)
			usable = usable || v.State.AcceptsNewWork()
		}
	}
	if usable {
		return own
	}
	return s.Servers
}

// acceptsNewWork reports whether a server accepts new work. If the server's address
// is in quarantine, it does not, and acceptsNewWork adds the address to the
// quarantined and the moved addresses.
func (b *builder) acceptsNewWork(s *conf.Service, v *conf.Server) bool {
	key := s.AddressKey(v.Address)
	until, ok := b.host.control.quarantinedUntil[key]
	if ok && time.Now().Before(until) {
		b.next.quarantined[key] = true
		movedServices := b.movedTCP
		if s.Protocol == conf.UDP {
			movedServices = b.tables.Moved
		}
		movedServices[v.AddrPort()] = s.Name
		return false
	}
	delete(b.host.control.quarantinedUntil, key)
	return v.State.AcceptsNewWork()
}

// connectionShare returns the number of connections to a server that this host
// may open, out of the given maximum for all hosts. It exceeds the even share,
// since callers are distributed unevenly among the hosts.
func (b *builder) connectionShare(connections int) int {
	n := max(1, len(b.activeHosts))
	return max(1, min(connections, (connections*connectionShareFactor+n-1)/n))
}

// rampWeight returns the weight of a udp server: 1, or less within its ramp window.
func (b *builder) rampWeight(id uint64) float64 {
	r := b.host.control.rampStates[id]
	if r == nil {
		r = &rampState{start: time.Now()}
		if b.firstConfig {
			r.start = r.start.Add(-rampWindow) // The host is new, not the server.
		}
		b.host.control.rampStates[id] = r
	}
	age := time.Since(r.start)
	if age >= rampWindow {
		return 1
	}
	b.ramping = true
	return max(minRampWeight, float64(age)/float64(rampWindow))
}

func (b *builder) addUDP(s *conf.Service, servers []conf.Server) {
	svc := &dgram.Service{ID: rendez.Hash(s.Name), Name: s.Name, Address: s.AddrPort(),
		ProxyHeader: s.ProxyHeader, Servers: map[uint64]*dgram.Server{}}
	set := &flow.ServerSet{IdleTimeout: time.Duration(s.IdleTimeout), UnresponsiveTimeout: time.Duration(s.SilentAfter)}
	for i := range servers {
		v := &servers[i]
		id := serverID(s.Name, v.Name)
		n := b.old.flowCounts[id]
		if n == nil {
			n = &atomic.Int64{}
		}
		b.next.flowCounts[id] = n
		svc.Servers[id] = &dgram.Server{ID: id, Name: v.Name, Address: v.AddrPort(),
			MaxFlows: b.connectionShare(v.Connections), Weight: b.rampWeight(id), Flows: n}
		if b.acceptsNewWork(s, v) {
			set.Accepting = append(set.Accepting, id)
		} else {
			set.NotAccepting = append(set.NotAccepting, id)
		}
	}
	b.tables.Services[svc.ID] = svc
	b.tables.ByAddress[svc.Address] = svc
	b.tables.ServerSets[svc.ID] = set
}

// addTCP adds a tcp service. It reuses the running service of that name.
func (b *builder) addTCP(s *conf.Service, servers []conf.Server) {
	config := &relay.ServiceConfig{Name: s.Name, Address: s.AddrPort(), ProxyHeader: s.ProxyHeader, IdleTimeout: time.Duration(s.IdleTimeout)}
	for i := range servers {
		v := &servers[i]
		config.Servers = append(config.Servers, relay.Server{ID: serverID(s.Name, v.Name), Name: v.Name, Address: v.Address,
			MaxConnections: b.connectionShare(v.Connections), AcceptsNewWork: b.acceptsNewWork(s, v)})
	}
	svc := b.old.tcp[s.Name]
	if svc == nil {
		svc = relay.NewService(config, pick.LeastLoaded{}, b.host.events, b.host.serverBind)
		go svc.Run(context.Background())
	} else {
		svc.SetConfig(config)
	}
	b.next.tcp[s.Name] = svc
	b.acceptors[config.Address] = svc
}

// addHTTP adds an http service. It reuses the running service of that name.
func (b *builder) addHTTP(s *conf.Service, servers []conf.Server) {
	config := &httplb.ServiceConfig{ID: rendez.Hash(s.Name), Name: s.Name, Address: s.AddrPort(),
		HeaderTimeout: time.Duration(s.Deadline), IdleTimeout: time.Duration(s.IdleTimeout), MaxBody: s.MaxBody,
		MaxWaiting: s.Queue, MaxLongRatio: s.LongShare, Classes: s.Classes, Hosts: b.activeHosts}
	for i := range servers {
		v := &servers[i]
		config.Servers = append(config.Servers, httplb.Server{ID: serverID(s.Name, v.Name), Name: v.Name, Address: v.Address,
			Slots: v.Slots, AcceptsNewWork: b.acceptsNewWork(s, v)})
	}
	svc := b.old.http[s.Name]
	if svc == nil {
		h := b.host
		settings := httplb.Settings{Self: h.id, Events: h.events, SendSlotMessage: h.sendSlotMessage, Deduplicator: h.deduplicator, Policy: pick.LeastLoaded{}}
		if h.serverBind != nil {
			settings.LocalAddr = h.serverBind
		}
		svc = httplb.NewService(config, settings)
	} else {
		svc.SetConfig(config)
	}
	b.next.http[s.Name] = svc
	b.next.httpByID[config.ID] = svc
	b.acceptors[config.Address] = svc
}

// drainRemoved drains the services that the new routes do not contain any more.
func (b *builder) drainRemoved() {
	timeout := b.host.settings.Limits.Drain.Or(defaultDrainTimeout)
	for name, s := range b.old.http {
		if b.next.http[name] == nil {
			go drainWithTimeout(timeout, func(ctx context.Context) { _ = s.Drain(ctx) })
		}
	}
	for name, s := range b.old.tcp {
		if b.next.tcp[name] == nil {
			go drainWithTimeout(timeout, func(ctx context.Context) { s.Drain(ctx) })
		}
	}
}

// drainWithTimeout calls drain with a context that ends after the timeout.
func drainWithTimeout(timeout time.Duration, drain func(ctx context.Context)) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	drain(ctx)
}
