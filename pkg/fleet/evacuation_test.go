package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// serverIn returns a ready server in a data centre.
func serverIn(dataCentre, id, address string) *Server {
	s := server(id, "desk", address, Ready)
	s.DataCentre = dataCentre
	return s
}

// evacuated returns the set of some data centres.
func evacuated(dataCentres ...string) map[string]bool {
	out := map[string]bool{}
	for _, d := range dataCentres {
		out[d] = true
	}
	return out
}

// TestEvacuatedDataCentreGetsNoNewFlows guards against new flows to servers of a
// data centre that is being evacuated. Its open flows still find their servers.
func TestEvacuatedDataCentreGetsNoNewFlows(t *testing.T) {
	is := is.New(t)
	b := NewBuilder(Settings{})
	near, far := serverIn("near", "a", "10.0.0.1:80"), serverIn("far", "b", "10.0.0.2:80")
	b.SetEvacuated(0, evacuated("near"))
	v := b.Build(0, 0, 1, document(1, "desk"), byID(near, far))
	assertUsable(is, v, "desk", "b")
	is.Equal(len(v.ServersByMark), 2)
	is.True(!v.IsEvacuated(deskRoute))
	b.SetEvacuated(time.Second, nil)
	assertUsable(is, b.Build(time.Second, time.Second, 2, document(1, "desk"), byID(near, far)), "desk", "a", "b")
}

// TestExpiredServerOfEvacuatedDataCentreIsUnusable guards against new flows to a
// server that is used beyond its entry, by this host or as another one reports it.
func TestExpiredServerOfEvacuatedDataCentreIsUnusable(t *testing.T) {
	is := is.New(t)
	near, far := serverIn("near", "a", "10.0.0.1:80"), serverIn("far", "b", "10.0.0.2:80")
	old := NewBuilder(Settings{})
	old.Build(0, 0, 1, document(1, "desk"), byID(near, far))
	old.SetEvacuated(time.Second, evacuated("near"))
	assertUsable(is, old.Build(time.Second, time.Second, 2, document(1, "desk"), byID(far)), "desk", "b")
	fresh := NewBuilder(Settings{})
	fresh.MergeRetainedState(0, old.RetainedState(time.Second))
	fresh.SetEvacuated(0, evacuated("near"))
	assertUsable(is, fresh.Build(0, 0, 2, document(1, "desk"), byID(far)), "desk", "b")
}

// TestEvacuationDoesNotMakeViewIncomplete guards against flows that a host drops
// after its start instead of refusing them at once, since all data centres are
// evacuated.
func TestEvacuationDoesNotMakeViewIncomplete(t *testing.T) {
	is := is.New(t)
	near, far := serverIn("near", "a", "10.0.0.1:80"), serverIn("far", "b", "10.0.0.2:80")
	b := NewBuilder(Settings{})
	b.SetEvacuated(0, evacuated("near", "far"))
	v := b.Build(0, 0, 1, document(1, "desk"), byID(near, far))
	is.True(!v.Incomplete)
	is.True(v.IsEvacuated(deskRoute))
	b = NewBuilder(Settings{})
	b.SetEvacuated(0, evacuated("near", "far"))
	v = b.Build(0, 0, 1, document(1, "desk"), nil)
	is.True(v.Incomplete) // The entries may have expired in an outage of the store.
	is.True(!v.IsEvacuated(deskRoute))
}

// TestServersAreColdAfterEvacuation guards against new flows at full rate to servers
// that became cold before the end of an evacuation, as their entries do not show yet.
func TestServersAreColdAfterEvacuation(t *testing.T) {
	const end = 10 * time.Second
	limited := func(rate float64) *Document {
		d := document(1, "desk")
		d.Services = []Service{{Name: "desk", WarmupDuration: 2 * time.Second, WarmupRate: rate}}
		return d
	}
	restarted := func(left time.Duration) *Server {
		s := serverIn("near", "a", "10.0.0.1:80")
		s.Started, s.WarmupDuration = time.Unix(1, 0), left
		return s
	}
	// step is a state at a time after the end of the evacuation.
	type step struct {
		after time.Duration
		entry *Server
	}
	for _, tt := range []struct {
		name  string
		rate  float64
		steps []step
		want  time.Duration
	}{
		{"entry unchanged", 5, []step{{0, serverIn("near", "a", "10.0.0.1:80")}}, end + 2*time.Second},
		{"no limit", 0, []step{{0, serverIn("near", "a", "10.0.0.1:80")}}, 0},
		{"entry with the deletion", 5, []step{{0, restarted(2 * time.Second)}}, end + 2*time.Second},
		{"entry after the deletion", 5, []step{{0, serverIn("near", "a", "10.0.0.1:80")}, {time.Second, restarted(1500 * time.Millisecond)}}, end + 2500*time.Millisecond},
		{"entry after the deletion, nearly warm", 5, []step{{0, serverIn("near", "a", "10.0.0.1:80")}, {time.Second, restarted(100 * time.Millisecond)}}, end + 2*time.Second},
		{"new server after the deletion", 5, []step{{0, nil}, {time.Second, serverIn("near", "a", "10.0.0.1:80")}}, end + 2*time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := NewBuilder(Settings{})
			b.SetEvacuated(0, evacuated("near"))
			b.Build(0, 0, 1, limited(tt.rate), byID(serverIn("near", "a", "10.0.0.1:80")))
			b.SetEvacuated(end, nil)
			var v *View
			for _, s := range tt.steps {
				servers := map[string]*Server{}
				if s.entry != nil {
					servers = byID(s.entry)
				}
				v = b.Build(end+s.after, end+s.after, 2, limited(tt.rate), servers)
			}
			is.Equal(v.Usable["desk"][0].WarmupEnd, tt.want)
		})
	}
}

// TestRestartedHostKnowsEndOfEvacuation guards against new flows at full rate to cold
// servers by a host that started just after the end of an evacuation.
func TestRestartedHostKnowsEndOfEvacuation(t *testing.T) {
	is := is.New(t)
	doc := document(1, "desk")
	doc.Services = []Service{{Name: "desk", WarmupDuration: 2 * time.Second, WarmupRate: 5}}
	servers := byID(serverIn("near", "a", "10.0.0.1:80"))
	old := NewBuilder(Settings{})
	old.SetEvacuated(0, evacuated("near"))
	old.Build(0, 0, 1, doc, servers)
	old.SetEvacuated(10*time.Second, nil)
	_, v := restartedBuilder(is, old, 11*time.Second, doc, servers)
	is.Equal(v.Usable["desk"][0].WarmupEnd, time.Second)
}
