package fleet

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoonramp.org/lagoonramp/pkg/mark"
)

// restartedBuilder returns a new Builder that received the retained state of from
// at time now, encoded as JSON, and its view. Time 0 of the new Builder is now.
func restartedBuilder(is *is.I, from *Builder, now time.Duration, doc *Document, servers map[string]*Server) (*Builder, *View) {
	is.Helper()
	data, err := json.Marshal(from.RetainedState(now))
	is.NoErr(err)
	var r RetainedState
	is.NoErr(json.Unmarshal(data, &r))
	b := NewBuilder(Settings{})
	b.Build(0, 0, 1, doc, servers)
	b.MergeRetainedState(0, r)
	return b, b.Build(0, 0, 1, doc, servers)
}

// TestRestartedHostKnowsDepartedServers guards against a restarted host that
// drops open flows of servers whose entries expired before its start. It must
// forward them for as long as other hosts do.
func TestRestartedHostKnowsDepartedServers(t *testing.T) {
	is := is.New(t)
	a, b := server("a", "desk", "10.0.0.1:80", Ready), server("b", "desk", "10.0.0.2:80", Ready)
	doc := document(1, "desk")
	old := NewBuilder(Settings{})
	before := old.Build(0, 0, 1, doc, byID(a, b))
	old.Build(10*time.Second, 10*time.Second, 2, doc, byID(b))
	fresh, v := restartedBuilder(is, old, 30*time.Second, doc, byID(b))
	mark := before.Usable["desk"][0].Mark
	is.Equal(v.ServersByMark[mark].ID, "a")
	assertUsable(is, v, "desk", "b")
	// 20 s of the flow lifetime of 60 s had passed when the host started.
	v = fresh.Build(39*time.Second, 39*time.Second, 3, doc, byID(b))
	is.True(v.ServersByMark[mark] != nil)
	v = fresh.Build(41*time.Second, 41*time.Second, 3, doc, byID(b))
	is.True(v.ServersByMark[mark] == nil)
}

// TestRestartedHostUsesRecentlyExpiredServers checks that a restarted host sends
// new flows to a server whose entry expired within the grace period, as other
// hosts do.
func TestRestartedHostUsesRecentlyExpiredServers(t *testing.T) {
	is := is.New(t)
	a := server("a", "desk", "10.0.0.1:80", Ready)
	doc := document(1, "desk")
	old := NewBuilder(Settings{})
	old.Build(0, 0, 1, doc, byID(a))
	old.Build(10*time.Second, 10*time.Second, 2, doc, byID())
	fresh, v := restartedBuilder(is, old, 11*time.Second, doc, byID())
	assertUsable(is, v, "desk", "a")
	assertUsable(is, fresh.Build(time.Second, time.Second, 2, doc, byID()), "desk")
}

// TestRestartedHostKnowsFormerServices guards against the loss of open flows of a
// route whose targets changed before their host restarted.
func TestRestartedHostKnowsFormerServices(t *testing.T) {
	is := is.New(t)
	old := NewBuilder(Settings{})
	old.Build(0, 0, 1, document(1, "desk"), nil)
	moved := document(2, "other")
	old.Build(10*time.Second, 10*time.Second, 2, moved, nil)
	fresh, v := restartedBuilder(is, old, 30*time.Second, moved, nil)
	is.True(v.Routes[deskRoute].AllowsService("desk"))
	is.True(v.Routes[deskRoute].AllowsService("other"))
	is.Equal(v.Routes[deskRoute].Targets, moved.Routes[0].Targets)
	v = fresh.Build(39*time.Second, 39*time.Second, 2, moved, nil)
	is.True(v.Routes[deskRoute].AllowsService("desk"))
	v = fresh.Build(41*time.Second, 41*time.Second, 2, moved, nil)
	is.True(!v.Routes[deskRoute].AllowsService("desk"))
}

// TestMergeKeepsKnownState checks that a merge ignores outdated state of a server
// that is in the store again, and a server that was removed at least FlowLifetime
// ago.
func TestMergeKeepsKnownState(t *testing.T) {
	is := is.New(t)
	a, stale := server("a", "desk", "10.0.0.1:80", Ready), server("z", "desk", "10.0.0.9:80", Ready)
	former := server("a", "desk", "10.0.0.7:80", Draining)
	b := NewBuilder(Settings{})
	b.Build(0, 0, 1, document(1, "desk"), byID(a))
	b.MergeRetainedState(0, RetainedState{Servers: []DepartedServer{{Server: *former, SinceRemoval: time.Second}, {Server: *stale, SinceRemoval: time.Minute}}})
	v := b.Build(0, 0, 1, document(1, "desk"), byID(a))
	assertUsable(is, v, "desk", "a")
	is.Equal(len(v.ServersByMark), 1)
	is.Equal(v.Usable["desk"][0].Address, a.Address)
}

// TestMarkHoldersAreRetainedState guards against a started host that fetches the
// holders of marks and does not build a view with them: its packets would go to the
// server that its own entries prefer.
func TestMarkHoldersAreRetainedState(t *testing.T) {
	is := is.New(t)
	none := RetainedState{Marks: mark.Report{Known: true}}
	is.True(none.IsEmpty())
	holdings := RetainedState{Marks: mark.Report{Known: true, Holdings: []mark.Holding{{ID: "a"}}}}
	is.True(!holdings.IsEmpty())
}
