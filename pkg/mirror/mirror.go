// Package mirror keeps a host's replica of the platform's store: the items at a
// revision, and the age of the knowledge that they are current.
//
// A Mirror takes changes from the store and from peers alike. An item is
// replaced only by a later one of its key, so sources may overlap, repeat and
// come in any order, and what a host knows never goes back.
//
// Conventions. A Mirror belongs to one goroutine. Time is a time.Duration since
// an epoch that the embedder chooses.
package mirror

import (
	"cmp"
	"errors"
	"slices"
	"time"
)

// Item is an item of the store.
type Item struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Revision is that of the item's last change.
	Revision uint64 `json:"revision"`
	// Deleted tells that the item was removed at the revision.
	Deleted bool `json:"deleted,omitempty"`
}

// Delta is what one replica gives another.
type Delta struct {
	// Revision is that of the giver.
	Revision uint64 `json:"revision"`
	// Whole tells that the items are all there are, not only those that
	// changed. Removed ones are among them if they were removed after Floor.
	Snapshot bool `json:"whole"`
	// Floor is the revision from which on the giver knows all changes; 0 if it
	// knows none but the state itself.
	CompactedRevision uint64 `json:"floor,omitempty"`
	Items             []Item `json:"items"`
	// Age is how long ago the giver knew that its replica was current.
	Age time.Duration `json:"age"`
}

// Settings of a Mirror. The zero value is usable.
type Settings struct {
	// Retain is how long removed items are remembered for peers. The default
	// is 60 s.
	TombstoneTTL time.Duration
}

const defaultRetain = 60 * time.Second

// ErrBehind says that a whole state is older than the replica.
var ErrStaleSnapshot = errors.New("the state is older than the replica")

// Mirror is a replica.
type Replica struct {
	set      Settings
	items    map[string]Item
	removed  map[string]time.Duration
	revision uint64
	// floor is the revision from which on all changes are known.
	floor uint64
	// current is when the replica was known to be current.
	current time.Duration
	loaded  bool
}

// New returns an empty replica.
func New(set Settings) *Replica {
	if set.TombstoneTTL == 0 {
		set.TombstoneTTL = defaultRetain
	}
	return &Replica{set: set, items: map[string]Item{}, removed: map[string]time.Duration{}}
}

// Revision returns the revision of the replica, 0 while it is empty.
func (m *Replica) Revision() uint64 { return m.revision }

// Loaded reports whether the replica ever held a whole state.
func (m *Replica) Loaded() bool { return m.loaded }

// Age returns how long ago the replica was known to be current.
func (m *Replica) Age(now time.Duration) time.Duration { return now - m.current }

// Confirm notes that a replica at the revision was current at a time.
func (m *Replica) ConfirmCurrent(revision uint64, at time.Duration) {
	if m.loaded && m.revision >= revision && at > m.current {
		m.current = at
	}
}

// Get returns an item; ok is false if there is none.
func (m *Replica) Get(key string) (Item, bool) {
	i, ok := m.items[key]
	return i, ok && !i.Deleted
}

// Items calls f for each item.
func (m *Replica) ForEachItem(f func(Item)) {
	for _, i := range m.items {
		if !i.Deleted {
			f(i)
		}
	}
}

// Apply takes the changes from the replica's revision to a later one, and
// reports whether anything changed.
func (m *Replica) ApplyChanges(now time.Duration, changes []Item, revision uint64) bool {
	changed := false
	for _, i := range changes {
		changed = m.put(now, i) || changed
	}
	m.revision = max(m.revision, revision)
	m.expire(now)
	return changed
}

// put takes one item if it is later than the one that is held.
func (m *Replica) put(now time.Duration, i Item) bool {
	if old, ok := m.items[i.Key]; ok && old.Revision >= i.Revision {
		return false
	}
	m.items[i.Key] = i
	delete(m.removed, i.Key)
	if i.Deleted {
		m.removed[i.Key] = now
	}
	return true
}

// Load takes a whole state that was read at a revision or later, and reports
// whether anything changed. Items that are missing in it were removed by then.
func (m *Replica) ApplySnapshot(now time.Duration, items []Item, revision uint64) (bool, error) {
	return m.load(now, items, revision, 0)
}

// load takes a whole state with all changes from floor on, if that is not 0.
func (m *Replica) load(now time.Duration, items []Item, revision, floor uint64) (bool, error) {
	if revision < m.revision {
		return false, ErrStaleSnapshot
	}
	there := make(map[string]bool, len(items))
	for _, i := range items {
		there[i.Key] = true
	}
	var gone []Item
	for key, i := range m.items {
		if !i.Deleted && !there[key] && i.Revision <= revision {
			gone = append(gone, Item{Key: key, Revision: revision, Deleted: true})
		}
	}
	m.raiseFloor(revision, floor)
	changed := m.ApplyChanges(now, append(gone, items...), revision)
	m.loaded = true
	return changed, nil
}

// raiseFloor notes from where on all changes are known after a whole state was
// taken: what was written and removed between the own revision and the state's
// floor is not.
func (m *Replica) raiseFloor(revision, floor uint64) {
	if floor == 0 {
		floor = revision
	}
	if !m.loaded || m.revision < floor {
		m.floor = max(m.floor, floor)
	}
}

// Take takes what a peer gave.
func (m *Replica) ApplyDelta(now time.Duration, d *Delta) (bool, error) {
	if d.Snapshot {
		return m.load(now, d.Items, d.Revision, d.CompactedRevision)
	}
	if !m.loaded {
		return false, errors.New("a part of the state was given to an empty replica")
	}
	return m.ApplyChanges(now, d.Items, d.Revision), nil
}

// Since returns what changed after a revision, or the whole state if that is
// not known any more.
func (m *Replica) DeltaSince(now time.Duration, revision uint64) Delta {
	d := Delta{Revision: m.revision, Age: m.Age(now), Snapshot: revision < m.floor, CompactedRevision: m.floor}
	for _, i := range m.items {
		if d.Snapshot && !i.Deleted || i.Revision > max(revision, m.floor) {
			d.Items = append(d.Items, i)
		}
	}
	slices.SortFunc(d.Items, func(a, b Item) int { return cmp.Compare(a.Revision, b.Revision) })
	return d
}

// expire forgets removed items.
func (m *Replica) expire(now time.Duration) {
	for key, at := range m.removed {
		if now-at < m.set.TombstoneTTL {
			continue
		}
		m.floor = max(m.floor, m.items[key].Revision)
		delete(m.items, key)
		delete(m.removed, key)
	}
}
