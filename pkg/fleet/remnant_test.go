package fleet

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"
)

// restarted returns a fresh builder that learned from another one by a
// message, and its view at the time.
func restarted(is *is.I, from *Builder, now time.Duration, doc *Document, servers map[string]*Server) (*Builder, *View) {
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

// TestRestartedHostKnowsDepartedServers checks that a fresh host forwards flows
// of servers whose entries lapsed before its start, for as long as others do.
func TestRestartedHostKnowsDepartedServers(t *testing.T) {
	is := is.New(t)
	a, b := server("a", "desk", "10.0.0.1:80", Ready), server("b", "desk", "10.0.0.2:80", Ready)
	doc := document(1, "desk")
	old := NewBuilder(Settings{})
	before := old.Build(0, 0, 1, doc, byID(a, b))
	old.Build(10*time.Second, 10*time.Second, 2, doc, byID(b))
	fresh, v := restarted(is, old, 30*time.Second, doc, byID(b))
	mark := before.Usable["desk"][0].Mark
	is.Equal(v.ServersByMark[mark].ID, "a")
	usable(is, v, "desk", "b")
	// It was gone for 20 s of its 60 s when the host started.
	v = fresh.Build(39*time.Second, 39*time.Second, 3, doc, byID(b))
	is.True(v.ServersByMark[mark] != nil)
	v = fresh.Build(41*time.Second, 41*time.Second, 3, doc, byID(b))
	is.True(v.ServersByMark[mark] == nil)
}

// TestRestartedHostUsesServersThatLapsedJustNow checks that a server whose entry
// lapsed within the grace takes new flows at a fresh host too.
func TestRestartedHostUsesServersThatLapsedJustNow(t *testing.T) {
	is := is.New(t)
	a := server("a", "desk", "10.0.0.1:80", Ready)
	doc := document(1, "desk")
	old := NewBuilder(Settings{})
	old.Build(0, 0, 1, doc, byID(a))
	old.Build(10*time.Second, 10*time.Second, 2, doc, byID())
	fresh, v := restarted(is, old, 11*time.Second, doc, byID())
	usable(is, v, "desk", "a")
	usable(is, fresh.Build(time.Second, time.Second, 2, doc, byID()), "desk")
}

// TestRestartedHostKnowsFormerServices checks that flows of a route that now
// leads elsewhere stay where they are when their host restarts.
func TestRestartedHostKnowsFormerServices(t *testing.T) {
	is := is.New(t)
	old := NewBuilder(Settings{})
	old.Build(0, 0, 1, document(1, "desk"), nil)
	moved := document(2, "other")
	old.Build(10*time.Second, 10*time.Second, 2, moved, nil)
	fresh, v := restarted(is, old, 30*time.Second, moved, nil)
	is.True(v.Routes[deskRoute].AllowsService("desk"))
	is.True(v.Routes[deskRoute].AllowsService("other"))
	is.Equal(v.Routes[deskRoute].Targets, moved.Routes[0].Targets)
	v = fresh.Build(39*time.Second, 39*time.Second, 2, moved, nil)
	is.True(v.Routes[deskRoute].AllowsService("desk"))
	v = fresh.Build(41*time.Second, 41*time.Second, 2, moved, nil)
	is.True(!v.Routes[deskRoute].AllowsService("desk"))
}

// TestRecallChangesNothingThatIsKnown gives a builder old news of a server that
// came back, and of one that left longer ago than flows last.
func TestRecallChangesNothingThatIsKnown(t *testing.T) {
	is := is.New(t)
	a, stale := server("a", "desk", "10.0.0.1:80", Ready), server("z", "desk", "10.0.0.9:80", Ready)
	former := server("a", "desk", "10.0.0.7:80", Draining)
	b := NewBuilder(Settings{})
	b.Build(0, 0, 1, document(1, "desk"), byID(a))
	b.MergeRetainedState(0, RetainedState{Servers: []DepartedServer{{Server: *former, SinceRemoval: time.Second}, {Server: *stale, SinceRemoval: time.Minute}}})
	v := b.Build(0, 0, 1, document(1, "desk"), byID(a))
	usable(is, v, "desk", "a")
	is.Equal(len(v.ServersByMark), 1)
	is.Equal(v.Usable["desk"][0].Address, a.Address)
}
