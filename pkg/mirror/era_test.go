package mirror

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	documentKey   = "doc"
	evacuationKey = "evacuate"
	keepTime      = 10 * time.Second
)

// testPrecedence orders the document and servers by the numbers that are their
// values. An evacuation stays for keepTime.
type testPrecedence struct{}

func number(i Item) int {
	n, _ := strconv.Atoi(string(i.Value))
	return n
}

func (testPrecedence) Compare(known, item Item) int {
	if known.Key == evacuationKey || known.Key == documentKey && known.Deleted {
		return -1
	}
	return cmp.Compare(number(known), number(item))
}

func (testPrecedence) KeepMissing(known Item) time.Duration {
	return map[string]time.Duration{documentKey: Forever, evacuationKey: keepTime}[known.Key]
}

func newEraReplica() *Replica {
	return New(Settings{TombstoneTTL: time.Hour, Precedence: testPrecedence{}})
}

// eraStore is a slow reference implementation of a store that is restored from
// copies. It keeps all of its states and all changes of each era.
type eraStore struct {
	version Version
	states  map[Version]map[string]Item
	changes map[uint64][]Item
	// latest holds the latest number that each writer wrote, alive those writers that
	// have not left.
	latest map[string]int
	alive  map[string]bool
}

func newEraStore() *eraStore {
	s := &eraStore{states: map[Version]map[string]Item{{}: {}}, changes: map[uint64][]Item{}, latest: map[string]int{}, alive: map[string]bool{}}
	s.write(documentKey)
	return s
}

func (s *eraStore) apply(key string, value int, deleted bool) {
	state := maps.Clone(s.states[s.version])
	s.version.Revision++
	item := Item{Key: key, Value: fmt.Append(nil, value), Revision: s.version.Revision, Era: s.version.Era, Deleted: deleted}
	state[key] = item
	if deleted {
		item.Value = nil
		delete(state, key)
	}
	s.states[s.version] = state
	s.changes[s.version.Era] = append(s.changes[s.version.Era], item)
}

func (s *eraStore) write(key string) {
	s.latest[key]++
	s.alive[key] = true
	s.apply(key, s.latest[key], false)
}

func (s *eraStore) leave(key string) {
	if s.alive[key] = false; s.states[s.version][key].Key != "" {
		s.apply(key, 0, true)
	}
}

func (s *eraStore) restore(revision uint64) {
	state := map[string]Item{}
	var kept []Item
	for key, item := range s.states[Version{Era: s.version.Era, Revision: revision}] {
		item.Era++
		state[key] = item
	}
	for _, item := range s.changes[s.version.Era] {
		if item.Revision <= revision {
			kept = append(kept, item)
		}
	}
	s.version = Version{Era: s.version.Era + 1, Revision: revision}
	s.states[s.version], s.changes[s.version.Era] = state, kept
}

// rewrite writes items again that a restore has lost: the lost documents one after
// the other, and the latest items of the others.
func (s *eraStore) rewrite(rng *rand.Rand) {
	for key := range s.alive {
		n := number(s.states[s.version][key])
		if !s.alive[key] || n == s.latest[key] || rng.IntN(2) == 0 {
			continue
		}
		if key != documentKey {
			n = s.latest[key] - 1
		}
		s.apply(key, n+1, false)
	}
}

// change makes a random change to the store.
func (s *eraStore) change(rng *rand.Rand) {
	servers := []string{"server1", "server2", "server3", evacuationKey}
	switch rng.IntN(12) {
	case 0:
		s.write(documentKey)
	case 1, 2, 3, 4:
		s.write(servers[rng.IntN(len(servers))])
	case 5, 6:
		s.leave(servers[rng.IntN(len(servers))])
	case 7:
		s.restore(s.version.Revision - uint64(rng.IntN(min(6, int(s.version.Revision)))))
	default:
		s.rewrite(rng)
	}
}

func (s *eraStore) snapshot(v Version) *Delta {
	d := &Delta{Version: v, Snapshot: true}
	for _, item := range s.states[v] {
		d.Items = append(d.Items, item)
	}
	return d
}

// delta returns an update of a random source for a replica: of the store or a peer,
// or a late one.
func (s *eraStore) delta(rng *rand.Rand, r, peer *Replica, now time.Duration, late []*Delta) *Delta {
	switch source := rng.IntN(8); {
	case source == 0:
		return s.snapshot(s.version)
	case source == 1 && len(late) > 0:
		return late[rng.IntN(len(late))]
	case source < 5 && peer.Loaded():
		d := peer.DeltaSince(now, r.Version())
		return &d
	}
	d := &Delta{Version: s.version}
	for _, item := range s.changes[s.version.Era] {
		if item.Revision > r.Version().Revision {
			d.Items = append(d.Items, item)
		}
	}
	return d
}

// eraWitness records what a replica showed, to detect that it goes back.
type eraWitness struct {
	*Replica
	version Version
	shown   map[string]int
	entered time.Duration
}

// check compares a replica with the state of the store at its version. A difference
// must be due to an item that is newer than the store's, or that the store lacks
// for a short time.
func (w *eraWitness) check(t *testing.T, now time.Duration, s *eraStore) {
	t.Helper()
	v := w.Version()
	if v.Compare(w.version) < 0 {
		t.Fatalf("the version went back from %v to %v", w.version, v)
	}
	if v.Era > w.version.Era {
		w.entered = now
	}
	w.version = v
	got, want := content(w.Replica), s.states[v]
	for key, item := range got {
		truth, ok := want[key]
		switch {
		case ok && item.Era == truth.Era && item.Revision == truth.Revision:
		case item.Era >= v.Era:
			t.Fatalf("%v: %s is %v, in the store %v", v, key, item, truth)
		case ok && (key == evacuationKey || number(item) <= number(truth)):
			t.Fatalf("%v: %s of an earlier era hides %v", v, key, truth)
		case !ok && strings.HasPrefix(key, "server"), !ok && key == evacuationKey && now >= w.entered+keepTime:
			t.Fatalf("%v: %s stays although the store lacks it", v, key)
		}
		if n := number(item); key != evacuationKey && n < w.shown[key] {
			t.Fatalf("%v: %s went back from %d to %d", v, key, w.shown[key], n)
		}
		w.shown[key] = number(item)
	}
	for key, truth := range want {
		_, ok := got[key]
		if !ok && (key == evacuationKey || key == documentKey || s.alive[key] && s.latest[key] == number(truth) && truth.Revision > w.hiddenRevision(key)) {
			t.Fatalf("%v: %s is missing", v, key)
		}
	}
}

// hiddenRevision returns the revision of the write of a key that was deleted in an
// earlier era. A write of the same revision and value is taken for the same write.
func (w *eraWitness) hiddenRevision(key string) uint64 {
	if f := w.formers[key]; f != nil && f.inForce {
		return f.Revision
	}
	return 0
}

// TestReplicasNeverGoBackAcrossEras updates replicas from the store and from each
// other in random order, with late and duplicated deltas, while the store is
// restored from copies. Without Precedence, or with revisions alone, servers that
// left and earlier documents come back.
func TestReplicasNeverGoBackAcrossEras(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 7))
		s := newEraStore()
		var replicas []*eraWitness
		for range 3 {
			replicas = append(replicas, &eraWitness{Replica: newEraReplica(), shown: map[string]int{}})
		}
		var late []*Delta
		for now := time.Duration(0); now < 300*time.Second; now += time.Second {
			s.change(rng)
			w, peer := replicas[rng.IntN(3)], replicas[rng.IntN(3)]
			if rng.IntN(20) == 0 {
				*w = eraWitness{Replica: newEraReplica(), shown: map[string]int{}, entered: now}
				w.MergeKept(now, peer.Kept(now))
			}
			w.ExpireKept(now)
			d := s.delta(rng, w.Replica, peer.Replica, now, late)
			if d.Snapshot {
				late = append(late, d)
			}
			_, _ = w.ApplyDelta(now, d)
			w.check(t, now, s)
		}
		for key, alive := range s.alive {
			if alive {
				s.write(key)
				continue
			}
			s.leave(key) // The lease of an entry that the copy had expires.
		}
		for _, w := range replicas {
			for _, now := range []time.Duration{300 * time.Second, 400 * time.Second} {
				w.ExpireKept(now)
				_, err := w.ApplyDelta(now, s.snapshot(s.version))
				is.New(t).NoErr(err)
			}
			is.New(t).Equal(content(w.Replica), s.states[s.version])
		}
	}
}

// TestHigherEraNeedsSnapshot guards against changes that are applied to the state of
// another era, and against a late answer of an earlier one.
func TestHigherEraNeedsSnapshot(t *testing.T) {
	is := is.New(t)
	r := newEraReplica()
	item := Item{Key: "server1", Value: []byte("1"), Revision: 7}
	_, err := r.ApplySnapshot(0, []Item{item}, Version{Revision: 9})
	is.NoErr(err)
	_, err = r.ApplyChanges(0, []Item{{Key: "server1", Value: []byte("2"), Revision: 10}}, Version{Era: 1, Revision: 10})
	is.Equal(err, ErrHigherEra)
	is.Equal(r.Version(), Version{Revision: 9})
	changed, err := r.ApplySnapshot(0, []Item{item}, Version{Era: 1, Revision: 7})
	is.NoErr(err)
	is.True(changed)
	_, err = r.ApplyChanges(0, []Item{{Key: "server1", Revision: 99, Deleted: true}}, Version{Revision: 99})
	is.NoErr(err)
	_, err = r.ApplySnapshot(0, nil, Version{Revision: 99})
	is.Equal(err, ErrStaleSnapshot)
	_, ok := r.Get("server1")
	is.True(ok)
	r.ConfirmCurrent(Version{Revision: 3}, time.Second)
	is.Equal(r.Age(time.Second), time.Second) // The confirmation is of another era.
	is.True(r.DeltaSince(0, Version{Revision: 9}).Snapshot)
	is.True(!r.DeltaSince(0, Version{Era: 2, Revision: 1}).Snapshot)
}

// TestPreviewShowsKeptItems guards against a host that serves from a part of its
// first snapshot before it takes the items that its peers keep into account.
func TestPreviewShowsKeptItems(t *testing.T) {
	is := is.New(t)
	r := newEraReplica()
	kept := []Kept{
		{Item: Item{Key: "server1", Value: []byte("5"), Revision: 9}, Changed: Version{Revision: 9}, Remaining: Forever},
		{Item: Item{Key: "server2", Value: []byte("3"), Revision: 4, Deleted: true}, Changed: Version{Revision: 8}, Remaining: time.Minute},
		{Item: Item{Key: evacuationKey, Revision: 5}, Changed: Version{Revision: 5}, Remaining: time.Minute},
	}
	is.True(!r.MergeKept(0, kept))
	part := []Item{{Key: "server1", Value: []byte("4"), Revision: 3, Era: 1}, {Key: "server2", Value: []byte("3"), Revision: 4, Era: 1}}
	for _, got := range []*Replica{r.Preview(0, part), r} {
		_, _ = r.ApplySnapshot(0, part, Version{Era: 1, Revision: 6})
		shown := content(got)
		is.Equal(len(shown), 2)
		is.Equal(number(shown["server1"]), 5)
		is.Equal(got.KeptCount(), 2)
		is.Equal(len(got.Kept(0)), 3)
		is.True(got.ExpireKept(keepTime))
		is.Equal(len(content(got)), 1)
	}
}

// TestSnapshotCarriesKeptItems guards against a host that goes back since the peer from
// which it fetched the new era knew more, and against a deletion that makes the older
// value count in the next era.
func TestSnapshotCarriesKeptItems(t *testing.T) {
	is := is.New(t)
	show := func(r *Replica, era, n uint64) {
		_, err := r.ApplySnapshot(0, []Item{{Key: "server1", Value: fmt.Append(nil, n), Revision: n}}, Version{Era: era, Revision: n})
		is.NoErr(err)
	}
	first, second := newEraReplica(), newEraReplica()
	show(first, 0, 5)
	show(second, 0, 4)
	show(first, 1, 3)
	d := first.DeltaSince(0, second.Version())
	_, err := second.ApplyDelta(0, &d)
	is.NoErr(err)
	is.Equal(number(content(second)["server1"]), 5)
	_, err = second.ApplyChanges(0, []Item{{Key: "server1", Revision: 6, Deleted: true}}, Version{Era: 1, Revision: 6})
	is.NoErr(err)
	show(second, 2, 4)
	is.Equal(len(content(second)), 0)
}
