package fleet

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoonramp.org/lagoonramp/pkg/mark"
)

var (
	deskRoute  = netip.MustParseAddrPort("198.18.0.1:443")
	pressRoute = netip.MustParseAddrPort("198.18.0.2:443")
)

func server(id, service, address string, state State) *Server {
	return &Server{ID: id, Token: 1, Service: service, Address: netip.MustParseAddrPort(address), Slots: 2, State: state}
}

func document(version uint64, service string) *Document {
	return &Document{Version: version, Routes: []Route{{Address: deskRoute, Targets: []Target{{Service: service, Weight: 1}}}}}
}

func byID(servers ...*Server) map[string]*Server {
	out := map[string]*Server{}
	for _, s := range servers {
		out[s.ID] = s
	}
	return out
}

// assertUsable checks the IDs of the usable servers of a service.
func assertUsable(is *is.I, v *View, service string, want ...string) {
	is.Helper()
	var got []string
	for _, s := range v.Usable[service] {
		got = append(got, s.ID)
	}
	is.Equal(got, want)
}

func TestServersForNewFlows(t *testing.T) {
	a := server("a", "desk", "10.0.0.1:80", Ready)
	draining := server("a", "desk", "10.0.0.1:80", Draining)
	b := server("b", "desk", "10.0.0.2:80", Ready)
	for _, tt := range []struct {
		name string
		// states are successive states of the store at intervals of 1 s.
		states []map[string]*Server
		want   []string
	}{
		{"ready", []map[string]*Server{byID(a, b)}, []string{"a", "b"}},
		{"draining", []map[string]*Server{byID(a, b), byID(draining, b)}, []string{"b"}},
		{"removed after draining", []map[string]*Server{byID(a, b), byID(draining, b), byID(b)}, []string{"b"}},
		{"expired within the grace period", []map[string]*Server{byID(a, b), byID(b)}, []string{"a", "b"}},
		{"expired for longer than the grace period", []map[string]*Server{byID(a, b), byID(b), byID(b), byID(b)}, []string{"b"}},
		{"registered again after the grace period", []map[string]*Server{byID(a, b), byID(b), byID(b), byID(b), byID(a, b)}, []string{"a", "b"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			builder := NewBuilder(Settings{})
			var v *View
			for i, s := range tt.states {
				v = builder.Build(time.Duration(i)*time.Second, time.Duration(i)*time.Second, uint64(i), document(1, "desk"), s)
			}
			assertUsable(is, v, "desk", tt.want...)
		})
	}
}

func TestExpiredServerIsUnusableAfterGrace(t *testing.T) {
	is := is.New(t)
	b := NewBuilder(Settings{})
	b.Build(0, 0, 1, document(1, "desk"), byID(server("a", "desk", "10.0.0.1:80", Ready)))
	b.Build(time.Second, time.Second, 2, document(1, "desk"), nil)
	is.Equal(b.NextChange(), 3*time.Second)
	assertUsable(is, b.Build(3*time.Second, 3*time.Second, 2, document(1, "desk"), nil), "desk")
	is.Equal(b.NextChange(), time.Duration(0))
}

// TestExpiredServersSurviveSecondStoreOutage guards against the loss of servers
// whose entries expire during an outage of the store, if the store becomes
// unavailable again before the servers have written them again. Soak seeds 227
// and 230 found it.
func TestExpiredServersSurviveSecondStoreOutage(t *testing.T) {
	is := is.New(t)
	b := NewBuilder(Settings{})
	b.Build(0, 0, 1, document(1, "desk"), byID(server("a", "desk", "10.0.0.1:80", Ready)))
	b.Build(time.Second, time.Second, 2, document(1, "desk"), nil)
	assertUsable(is, b.Build(time.Minute, 1900*time.Millisecond, 2, document(1, "desk"), nil), "desk", "a")
	assertUsable(is, b.Build(time.Minute, 2*time.Second, 2, document(1, "desk"), nil), "desk")
}

func TestMarkResolvesForFlowLifetimeAfterRemoval(t *testing.T) {
	is := is.New(t)
	b := NewBuilder(Settings{FlowLifetime: time.Minute})
	v := b.Build(0, 0, 1, document(1, "desk"), byID(server("a", "desk", "10.0.0.1:80", Ready)))
	m := v.Usable["desk"][0].Mark
	is.Equal(b.Build(59*time.Second, 59*time.Second, 2, document(1, "desk"), nil).ServersByMark[m].ID, "a")
	is.Equal(b.Build(120*time.Second, 120*time.Second, 2, document(1, "desk"), nil).ServersByMark[m], nil)
}

func TestReusedAddressBelongsToLatestServer(t *testing.T) {
	is := is.New(t)
	b := NewBuilder(Settings{})
	old := server("old", "desk", "10.0.0.1:80", Ready)
	old.Started = time.UnixMilli(1000)
	next := server("next", "press", "10.0.0.1:80", Ready)
	next.Started = time.UnixMilli(2000)
	v := b.Build(0, 0, 1, document(1, "desk"), byID(old, next))
	assertUsable(is, v, "desk")
	assertUsable(is, v, "press", "next")
	is.Equal(len(v.ServersByMark), 2)
}

// TestEntryOfUnknownServiceOwnsNoAddress guards against an entry of another writer
// that takes the address of a server: its service is none that operators have named.
func TestEntryOfUnknownServiceOwnsNoAddress(t *testing.T) {
	doc := document(1, "desk")
	doc.Services = []Service{{Name: "desk"}, {Name: "press"}}
	for _, tt := range []struct {
		service string
		want    []string
	}{{"agent", []string{"a"}}, {"press", nil}} {
		t.Run(tt.service, func(t *testing.T) {
			is := is.New(t)
			b := NewBuilder(Settings{})
			later := server("b", tt.service, "10.0.0.1:80", Ready)
			later.Started = time.Unix(100, 0)
			v := b.Build(0, 0, 1, doc, byID(server("a", "desk", "10.0.0.1:80", Ready), later))
			assertUsable(is, v, "desk", tt.want...)
			v = b.Build(time.Second, time.Second, 2, doc, byID(later))
			is.Equal(v.ServersByMark[mark.Of("a")].Replaced, tt.want == nil)
		})
	}
}

func TestFormerServiceIsAllowedAfterRouteChange(t *testing.T) {
	is := is.New(t)
	b := NewBuilder(Settings{FlowLifetime: time.Minute})
	b.Build(0, 0, 1, document(1, "desk"), nil)
	v := b.Build(time.Second, time.Second, 2, document(2, "press"), nil)
	is.True(v.Routes[deskRoute].AllowsService("desk"))
	is.True(v.Routes[deskRoute].AllowsService("press"))
	is.True(!v.Routes[deskRoute].AllowsService("other"))
	is.Equal(v.Routes[deskRoute].Targets[0].Service, "press")
	v = b.Build(2*time.Minute, 2*time.Minute, 2, document(2, "press"), nil)
	is.True(!v.Routes[deskRoute].AllowsService("desk"))
}

func TestRemovedRouteAcceptsNoNewFlows(t *testing.T) {
	is := is.New(t)
	b := NewBuilder(Settings{FlowLifetime: time.Minute})
	b.Build(0, 0, 1, document(1, "desk"), nil)
	empty := &Document{Version: 2}
	v := b.Build(time.Second, time.Second, 2, empty, nil)
	is.Equal(len(v.Routes[deskRoute].Targets), 0)
	is.True(v.Routes[deskRoute].AllowsService("desk"))
	is.Equal(v.Routes[pressRoute], nil)
	is.Equal(b.Build(2*time.Minute, 2*time.Minute, 3, empty, nil).Routes[deskRoute], nil)
}

func TestWarmupStartsAtFirstEntry(t *testing.T) {
	is := is.New(t)
	b := NewBuilder(Settings{})
	s := server("a", "desk", "10.0.0.1:80", Ready)
	s.WarmupDuration = 2 * time.Second
	v := b.Build(time.Second, time.Second, 1, document(1, "desk"), byID(s))
	is.Equal(v.Usable["desk"][0].WarmupEnd, 3*time.Second)
	again := *s
	v = b.Build(2*time.Second, 2*time.Second, 2, document(1, "desk"), byID(&again))
	is.Equal(v.Usable["desk"][0].WarmupEnd, 3*time.Second)
}

// TestFormerServiceExpiresFlowLifetimeAfterRouteChange guards against counting
// the lifetime of a former service from the previous Build, which may be long
// before the change of the route.
func TestFormerServiceExpiresFlowLifetimeAfterRouteChange(t *testing.T) {
	is := is.New(t)
	b := NewBuilder(Settings{})
	b.Build(0, 0, 1, document(1, "desk"), nil)
	v := b.Build(time.Hour, time.Hour, 2, document(2, "other"), nil)
	is.True(v.Routes[deskRoute].AllowsService("desk"))
	v = b.Build(time.Hour+59*time.Second, time.Hour, 2, document(2, "other"), nil)
	is.True(v.Routes[deskRoute].AllowsService("desk"))
	v = b.Build(time.Hour+61*time.Second, time.Hour, 2, document(2, "other"), nil)
	is.True(!v.Routes[deskRoute].AllowsService("desk"))
}

// TestViewIsIncompleteDuringGraceAfterStart guards against a host that takes
// services for empty because it starts just after an outage of the store in
// which all entries expired.
func TestViewIsIncompleteDuringGraceAfterStart(t *testing.T) {
	is := is.New(t)
	b := NewBuilder(Settings{})
	doc := document(1, "desk")
	const start = 10 * time.Second
	is.True(!b.Build(start-time.Second, start, 0, nil, nil).Incomplete) // There is no document.
	is.True(b.Build(start, start, 1, doc, nil).Incomplete)
	is.Equal(b.NextChange(), start+defaultExpiryGrace)
	is.True(b.Build(start+time.Second, start, 1, doc, nil).Incomplete)
	is.True(!b.Build(start+defaultExpiryGrace, start, 1, doc, nil).Incomplete)
	is.Equal(b.NextChange(), time.Duration(0))

	b = NewBuilder(Settings{})
	is.True(!b.Build(start, start, 1, doc, byID(server("a", "desk", "10.0.0.1:80", Ready))).Incomplete)
	is.Equal(b.NextChange(), time.Duration(0)) // No rebuild: the service has a server.
}

// TestServerThatLeftIsNotUsed guards against a server that a restored store showed
// again, and that is used for the grace period once a host learns that it has left.
func TestServerThatLeftIsNotUsed(t *testing.T) {
	is := is.New(t)
	b := NewBuilder(Settings{})
	servers := map[string]*Server{"s1": {ID: "s1", Service: "a", Address: netip.MustParseAddrPort("10.0.0.1:80")}}
	is.Equal(len(b.Build(0, 0, 1, nil, servers).Usable["a"]), 1)
	b.SetLeft(map[string]bool{"s1": true})
	v := b.Build(0, 0, 2, nil, nil)
	is.Equal(len(v.Usable["a"]), 0)
	is.Equal(len(v.ServersByMark), 1) // Its open flows continue.
	b.SetLeft(nil)                    // The store no longer shows it.
	is.Equal(len(b.Build(0, 0, 2, nil, nil).Usable["a"]), 0)
	is.Equal(len(b.Build(0, 0, 3, nil, servers).Usable["a"]), 1) // It has started again.
}
