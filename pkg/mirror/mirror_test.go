package mirror

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// origin is the store's history, a slow and obvious reference.
type origin struct {
	events []Item
}

func (o *origin) write(rng *rand.Rand) {
	i := Item{Key: fmt.Sprintf("k%d", rng.IntN(8)), Revision: uint64(len(o.events) + 1), Deleted: rng.IntN(3) == 0}
	if !i.Deleted {
		i.Value = fmt.Appendf(nil, "v%d", i.Revision)
	}
	o.events = append(o.events, i)
}

func (o *origin) revision() uint64 { return uint64(len(o.events)) }

// state returns the items at a revision.
func (o *origin) state(at uint64) map[string]Item {
	out := map[string]Item{}
	for _, e := range o.events[:at] {
		if e.Deleted {
			delete(out, e.Key)
			continue
		}
		out[e.Key] = e
	}
	return out
}

func content(m *Replica) map[string]Item {
	out := map[string]Item{}
	m.ForEachItem(func(i Item) { out[i.Key] = i })
	return out
}

// TestReplicasFollowTheStore lets replicas learn from the store and from each
// other in random order, with answers that come late and twice: a replica never
// goes back, and is what the store was at its revision.
func TestReplicasFollowTheStore(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			rng := rand.New(rand.NewPCG(seed, 2))
			o := &origin{}
			o.write(rng)
			replicas := []*Replica{New(Settings{TombstoneTTL: 20 * time.Second}), New(Settings{}), New(Settings{})}
			var late []Delta
			for now := time.Duration(0); now < 200*time.Second; now += time.Second {
				o.write(rng)
				m := replicas[rng.IntN(len(replicas))]
				before := m.Revision()
				d := from(rng, o, m, replicas, now, &late)
				if !d.Snapshot && (!m.Loaded() || d.after > before) {
					continue // A part is only given to a replica that has what precedes it.
				}
				late = append(late, d.Delta)
				if _, err := m.ApplyDelta(now, &d.Delta); err != nil {
					is.Equal(err, ErrStaleSnapshot)
				}
				is.True(m.Revision() >= before) // The replica went back.
				is.Equal(content(m), o.state(m.Revision()))
			}
		})
	}
}

// given is a delta with the revision after which it is complete.
type given struct {
	Delta
	after uint64
}

// from chooses a source for a replica and returns what it gives.
func from(rng *rand.Rand, o *origin, m *Replica, replicas []*Replica, now time.Duration, late *[]Delta) given {
	switch rng.IntN(5) {
	case 0:
		d := Delta{Snapshot: true, Revision: o.revision()}
		for _, i := range o.state(o.revision()) {
			d.Items = append(d.Items, i)
		}
		return given{Delta: d}
	case 1:
		if len(*late) > 0 {
			old := (*late)[rng.IntN(len(*late))]
			if old.Snapshot {
				return given{Delta: old}
			}
		}
	case 2, 3:
		peer := replicas[rng.IntN(len(replicas))]
		if peer.Loaded() {
			return given{Delta: peer.DeltaSince(now, m.Revision()), after: m.Revision()}
		}
	}
	after := m.Revision()
	return given{Delta: Delta{Revision: o.revision(), Items: o.events[after:]}, after: after}
}

// TestWholeStatesDoNotSpread lets a replica that read the store anew serve a
// chain of others that are behind: only the first gets a whole state.
func TestWholeStatesDoNotSpread(t *testing.T) {
	is := is.New(t)
	o := &origin{}
	rng := rand.New(rand.NewPCG(1, 3))
	for range 50 {
		o.write(rng)
	}
	first := New(Settings{})
	var items []Item
	for _, i := range o.state(50) {
		items = append(items, i)
	}
	_, err := first.ApplySnapshot(0, items, 50)
	is.NoErr(err)
	behind, next := New(Settings{}), New(Settings{})
	for _, m := range []*Replica{behind, next} {
		_, err := m.ApplyDelta(0, &Delta{Snapshot: true, Revision: 50, Items: items})
		is.NoErr(err)
	}
	for range 30 {
		o.write(rng)
		first.ApplyChanges(0, o.events[len(o.events)-1:], o.revision())
	}
	d := first.DeltaSince(0, 10)
	is.True(d.Snapshot)
	fresh := New(Settings{})
	_, err = fresh.ApplyDelta(0, &d)
	is.NoErr(err)
	is.True(!fresh.DeltaSince(0, 60).Snapshot)
	for _, m := range []*Replica{behind, next} {
		d := fresh.DeltaSince(0, m.Revision())
		is.True(!d.Snapshot)
		_, err := m.ApplyDelta(0, &d)
		is.NoErr(err)
		is.Equal(content(m), o.state(o.revision()))
	}
}

func TestAgeIsOfTheSourceNotOfTheCall(t *testing.T) {
	is := is.New(t)
	m := New(Settings{})
	_, err := m.ApplyDelta(0, &Delta{Snapshot: true, Revision: 5})
	is.NoErr(err)
	m.ConfirmCurrent(5, 10*time.Second)
	is.Equal(m.Age(12*time.Second), 2*time.Second)
	m.ConfirmCurrent(5, 8*time.Second) // Older news changes nothing.
	is.Equal(m.Age(12*time.Second), 2*time.Second)
	m.ConfirmCurrent(7, 12*time.Second) // Somebody is ahead: this replica is not current.
	is.Equal(m.Age(12*time.Second), 2*time.Second)
}

func TestPartForAnEmptyReplicaIsRefused(t *testing.T) {
	is := is.New(t)
	_, err := New(Settings{}).ApplyDelta(0, &Delta{Revision: 5, Items: []Item{{Key: "a", Revision: 5}}})
	is.True(err != nil)
}

func ExampleMirror() {
	m := New(Settings{})
	_, _ = m.ApplySnapshot(0, []Item{{Key: "a", Value: []byte("1"), Revision: 3}}, 4)
	m.ApplyChanges(time.Second, []Item{{Key: "a", Revision: 5, Deleted: true}}, 5)
	_, there := m.Get("a")
	fmt.Println(m.Revision(), there)
	// Output: 5 false
}
