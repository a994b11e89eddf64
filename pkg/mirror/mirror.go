// Package mirror implements a host's replica of the platform's store. It holds
// the items at a revision and the time at which they were last known to be
// current.
//
// A Mirror accepts changes from the store and from peers. An item is replaced
// only by an item of the same key with a higher revision. Hence updates may
// overlap, be duplicated or arrive in any order, and a replica never goes back
// to an earlier revision.
//
// A Mirror is not safe for concurrent use. Time is a time.Duration since an
// epoch that the caller chooses.
package mirror

import (
	"cmp"
	"errors"
	"slices"
	"time"
)

// Item is a key of the store with its value, or a tombstone.
type Item struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Revision is the revision of the store at which the item last changed.
	Revision uint64 `json:"revision"`
	// Deleted marks a tombstone: the key was deleted at Revision.
	Deleted bool `json:"deleted,omitempty"`
}

// Delta is an update that one replica sends to another: the changes since a
// revision, or a snapshot.
type Delta struct {
	// Revision is the revision of the sender.
	Revision uint64 `json:"revision"`
	// Whole means that Items is a snapshot, that is, all items instead of the
	// changes since a revision. It includes the tombstones of keys that were
	// deleted after Floor.
	Whole bool `json:"whole"`
	// Floor is the revision after which the sender has all changes. It is 0 if
	// the sender has none, as when a snapshot was read from the store.
	Floor uint64 `json:"floor,omitempty"`
	Items []Item `json:"items"`
	// Age is the time since the sender's replica was known to be current.
	Age time.Duration `json:"age"`
}

// Settings configures a Mirror. The zero value selects the defaults.
type Settings struct {
	// Retain is how long tombstones are kept for peers. The default is 60 s.
	Retain time.Duration
}

const defaultTombstoneTTL = 60 * time.Second

// ErrBehind is returned for a snapshot whose revision is lower than that of the
// replica.
var ErrBehind = errors.New("snapshot is older than the replica")

// Mirror is a replica of the store.
type Mirror struct {
	settings  Settings
	items     map[string]Item
	deletedAt map[string]time.Duration
	revision  uint64
	// compactedRevision is the revision after which the replica has all
	// changes, including deletions.
	compactedRevision uint64
	// currentAt is when the replica was last known to be current.
	currentAt time.Duration
	loaded    bool
}

// New returns an empty replica.
func New(settings Settings) *Mirror {
	if settings.Retain == 0 {
		settings.Retain = defaultTombstoneTTL
	}
	return &Mirror{settings: settings, items: map[string]Item{}, deletedAt: map[string]time.Duration{}}
}

// Revision returns the revision of the replica, or 0 if it is empty.
func (m *Mirror) Revision() uint64 { return m.revision }

// Loaded reports whether the replica has received a snapshot.
func (m *Mirror) Loaded() bool { return m.loaded }

// Age returns the time since the replica was last known to be current.
func (m *Mirror) Age(now time.Duration) time.Duration { return now - m.currentAt }

// Confirm records that a replica at revision was current at currentAt. It has no
// effect if this replica is behind that revision.
func (m *Mirror) Confirm(revision uint64, currentAt time.Duration) {
	if m.loaded && m.revision >= revision && currentAt > m.currentAt {
		m.currentAt = currentAt
	}
}

// Get returns the item of a key, and false if there is none.
func (m *Mirror) Get(key string) (Item, bool) {
	item, ok := m.items[key]
	return item, ok && !item.Deleted
}

// Items calls f for each item, in no particular order.
func (m *Mirror) Items(f func(Item)) {
	for _, item := range m.items {
		if !item.Deleted {
			f(item)
		}
	}
}

// Apply applies all changes after the replica's revision up to revision. It
// reports whether an item changed.
func (m *Mirror) Apply(now time.Duration, changes []Item, revision uint64) bool {
	changed := false
	for _, item := range changes {
		changed = m.putIfNewer(now, item) || changed
	}
	m.revision = max(m.revision, revision)
	m.expireTombstones(now)
	return changed
}

// putIfNewer stores an item if the replica has none of its key with the same or
// a higher revision. It reports whether it stored the item.
func (m *Mirror) putIfNewer(now time.Duration, item Item) bool {
	if old, ok := m.items[item.Key]; ok && old.Revision >= item.Revision {
		return false
	}
	m.items[item.Key] = item
	delete(m.deletedAt, item.Key)
	if item.Deleted {
		m.deletedAt[item.Key] = now
	}
	return true
}

// Load applies a snapshot that was read from the store at revision or later. It
// reports whether an item changed. Items of the replica that are not in the
// snapshot are deleted, unless they are newer than revision.
func (m *Mirror) Load(now time.Duration, items []Item, revision uint64) (bool, error) {
	return m.loadSnapshot(now, items, revision, 0)
}

// loadSnapshot applies a snapshot. If compactedRevision is not 0, the snapshot
// includes the tombstones of all deletions after compactedRevision.
func (m *Mirror) loadSnapshot(now time.Duration, items []Item, revision, compactedRevision uint64) (bool, error) {
	if revision < m.revision {
		return false, ErrBehind
	}
	present := make(map[string]bool, len(items))
	for _, item := range items {
		present[item.Key] = true
	}
	var deletions []Item
	for key, item := range m.items {
		if !item.Deleted && !present[key] && item.Revision <= revision {
			deletions = append(deletions, Item{Key: key, Revision: revision, Deleted: true})
		}
	}
	m.updateCompactedRevision(revision, compactedRevision)
	changed := m.Apply(now, append(deletions, items...), revision)
	m.loaded = true
	return changed, nil
}

// updateCompactedRevision raises m.compactedRevision for a snapshot at revision.
// Keys that were written and deleted between the revision of the replica and the
// compacted revision of the snapshot leave no trace in either.
func (m *Mirror) updateCompactedRevision(revision, compactedRevision uint64) {
	if compactedRevision == 0 {
		compactedRevision = revision
	}
	if !m.loaded || m.revision < compactedRevision {
		m.compactedRevision = max(m.compactedRevision, compactedRevision)
	}
}

// Take applies a delta from a peer. It reports whether an item changed.
func (m *Mirror) Take(now time.Duration, d *Delta) (bool, error) {
	if d.Whole {
		return m.loadSnapshot(now, d.Items, d.Revision, d.Floor)
	}
	if !m.loaded {
		return false, errors.New("delta without a snapshot for an empty replica")
	}
	return m.Apply(now, d.Items, d.Revision), nil
}

// Since returns the changes after revision, or a snapshot if the replica no
// longer has all of them.
func (m *Mirror) Since(now time.Duration, revision uint64) Delta {
	d := Delta{Revision: m.revision, Age: m.Age(now), Whole: revision < m.compactedRevision, Floor: m.compactedRevision}
	for _, item := range m.items {
		if d.Whole && !item.Deleted || item.Revision > max(revision, m.compactedRevision) {
			d.Items = append(d.Items, item)
		}
	}
	slices.SortFunc(d.Items, func(a, b Item) int { return cmp.Compare(a.Revision, b.Revision) })
	return d
}

// expireTombstones deletes tombstones older than Retain. Deltas that start at an
// earlier revision are then incomplete, so compactedRevision rises.
func (m *Mirror) expireTombstones(now time.Duration) {
	for key, deletedAt := range m.deletedAt {
		if now-deletedAt < m.settings.Retain {
			continue
		}
		m.compactedRevision = max(m.compactedRevision, m.items[key].Revision)
		delete(m.items, key)
		delete(m.deletedAt, key)
	}
}
