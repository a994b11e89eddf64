package mirror

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// storeHistory is a reference implementation of the store that keeps all changes.
type storeHistory struct {
	changes []Item
}

func (store *storeHistory) write(rng *rand.Rand) {
	i := Item{Key: fmt.Sprintf("k%d", rng.IntN(8)), Revision: uint64(len(store.changes) + 1), Deleted: rng.IntN(3) == 0}
	if !i.Deleted {
		i.Value = fmt.Appendf(nil, "v%d", i.Revision)
	}
	store.changes = append(store.changes, i)
}

func (store *storeHistory) revision() uint64 { return uint64(len(store.changes)) }

// stateAt returns the items at a revision.
func (store *storeHistory) stateAt(at uint64) map[string]Item {
	out := map[string]Item{}
	for _, e := range store.changes[:at] {
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

// TestReplicaMatchesStoreAtItsRevision updates replicas from the store and from
// each other in random order, with delayed and duplicated deltas. The revision of
// a replica must never decrease, and its items must equal those of the store at
// that revision.
func TestReplicaMatchesStoreAtItsRevision(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			rng := rand.New(rand.NewPCG(seed, 2))
			store := &storeHistory{}
			store.write(rng)
			replicas := []*Replica{New(Settings{TombstoneTTL: 20 * time.Second}), New(Settings{}), New(Settings{})}
			var delayed []Delta
			for now := time.Duration(0); now < 200*time.Second; now += time.Second {
				store.write(rng)
				m := replicas[rng.IntN(len(replicas))]
				before := m.Version().Revision
				d := randomDelta(rng, store, m, replicas, now, &delayed)
				if !d.Snapshot && (!m.Loaded() || d.after > before) {
					continue // Replicas only receive changes that continue their revision.
				}
				delayed = append(delayed, d.Delta)
				if _, err := m.ApplyDelta(now, &d.Delta); err != nil {
					is.Equal(err, ErrStaleSnapshot)
				}
				is.True(m.Version().Revision >= before) // The revision must not decrease.
				is.Equal(content(m), store.stateAt(m.Version().Revision))
			}
		})
	}
}

// sourcedDelta is a delta with the revision after which it has all changes.
type sourcedDelta struct {
	Delta
	after uint64
}

// randomDelta returns a delta for replica m from a random source: a snapshot or
// changes of the store, a delayed snapshot, or a delta of a peer.
func randomDelta(rng *rand.Rand, store *storeHistory, m *Replica, replicas []*Replica, now time.Duration, delayed *[]Delta) sourcedDelta {
	switch rng.IntN(5) {
	case 0:
		d := Delta{Snapshot: true, Version: Version{Revision: store.revision()}}
		for _, i := range store.stateAt(store.revision()) {
			d.Items = append(d.Items, i)
		}
		return sourcedDelta{Delta: d}
	case 1:
		if len(*delayed) > 0 {
			old := (*delayed)[rng.IntN(len(*delayed))]
			if old.Snapshot {
				return sourcedDelta{Delta: old}
			}
		}
	case 2, 3:
		peer := replicas[rng.IntN(len(replicas))]
		if peer.Loaded() {
			return sourcedDelta{Delta: peer.DeltaSince(now, m.Version()), after: m.Version().Revision}
		}
	}
	after := m.Version().Revision
	return sourcedDelta{Delta: Delta{Version: Version{Revision: store.revision()}, Items: store.changes[after:]}, after: after}
}

// TestSnapshotsDoNotCascade guards against a replica that sends snapshots only
// because it was loaded from one. A replica that receives a peer's snapshot must
// be able to serve plain changes to replicas that are behind.
func TestSnapshotsDoNotCascade(t *testing.T) {
	is := is.New(t)
	store := &storeHistory{}
	rng := rand.New(rand.NewPCG(1, 3))
	for range 50 {
		store.write(rng)
	}
	first := New(Settings{})
	var items []Item
	for _, i := range store.stateAt(50) {
		items = append(items, i)
	}
	_, err := first.ApplySnapshot(0, items, Version{Revision: 50})
	is.NoErr(err)
	behind, next := New(Settings{}), New(Settings{})
	for _, m := range []*Replica{behind, next} {
		_, err := m.ApplyDelta(0, &Delta{Snapshot: true, Version: Version{Revision: 50}, Items: items})
		is.NoErr(err)
	}
	for range 30 {
		store.write(rng)
		_, err := first.ApplyChanges(0, store.changes[len(store.changes)-1:], Version{Revision: store.revision()})
		is.NoErr(err)
	}
	d := first.DeltaSince(0, Version{Revision: 10})
	is.True(d.Snapshot)
	fresh := New(Settings{})
	_, err = fresh.ApplyDelta(0, &d)
	is.NoErr(err)
	is.True(!fresh.DeltaSince(0, Version{Revision: 60}).Snapshot)
	for _, m := range []*Replica{behind, next} {
		d := fresh.DeltaSince(0, m.Version())
		is.True(!d.Snapshot)
		_, err := m.ApplyDelta(0, &d)
		is.NoErr(err)
		is.Equal(content(m), store.stateAt(store.revision()))
	}
}

func TestAgeCountsFromLatestConfirmation(t *testing.T) {
	is := is.New(t)
	m := New(Settings{})
	_, err := m.ApplyDelta(0, &Delta{Snapshot: true, Version: Version{Revision: 5}})
	is.NoErr(err)
	m.ConfirmCurrent(Version{Revision: 5}, 10*time.Second)
	is.Equal(m.Age(12*time.Second), 2*time.Second)
	m.ConfirmCurrent(Version{Revision: 5}, 8*time.Second) // An earlier confirmation has no effect.
	is.Equal(m.Age(12*time.Second), 2*time.Second)
	m.ConfirmCurrent(Version{Revision: 7}, 12*time.Second) // The replica is behind revision 7.
	is.Equal(m.Age(12*time.Second), 2*time.Second)
}

func TestEmptyReplicaRejectsPartialDelta(t *testing.T) {
	is := is.New(t)
	_, err := New(Settings{}).ApplyDelta(0, &Delta{Version: Version{Revision: 5}, Items: []Item{{Key: "a", Revision: 5}}})
	is.True(err != nil)
}

func ExampleReplica() {
	m := New(Settings{})
	_, _ = m.ApplySnapshot(0, []Item{{Key: "a", Value: []byte("1"), Revision: 3}}, Version{Revision: 4})
	_, _ = m.ApplyChanges(time.Second, []Item{{Key: "a", Revision: 5, Deleted: true}}, Version{Revision: 5})
	_, ok := m.Get("a")
	fmt.Println(m.Version().Revision, ok)
	// Output: 5 false
}
