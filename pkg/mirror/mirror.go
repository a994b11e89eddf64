// Package mirror implements a host's replica of the platform's store. It holds
// the items at a revision and the time at which they were last known to be
// current.
//
// A Replica accepts changes from the store and from peers. An item is replaced
// only by an item of the same key with a higher revision. Hence updates may
// overlap, be duplicated or arrive in any order, and a replica never goes back
// to an earlier revision.
//
// A Replica is not safe for concurrent use. Times are durations since an epoch
// that the application chooses.
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
	// Snapshot means that Items is a snapshot, that is, all items instead of the
	// changes since a revision. It includes the tombstones of keys that were
	// deleted after CompactedRevision.
	Snapshot bool `json:"whole"`
	// CompactedRevision is the revision after which the sender has all changes,
	// including deletions. It is 0 if the sender has only the snapshot, as when
	// it was read from the store.
	CompactedRevision uint64 `json:"floor,omitempty"`
	Items             []Item `json:"items"`
	// Age is the time since the sender's replica was known to be current.
	Age time.Duration `json:"age"`
}

// Settings configures a Replica. The zero value selects the defaults.
type Settings struct {
	// TombstoneTTL is how long tombstones are kept for peers. The default is 60 s.
	TombstoneTTL time.Duration
}

const defaultTombstoneTTL = 60 * time.Second

// ErrStaleSnapshot is returned for a snapshot whose revision is lower than that
// of the replica.
var ErrStaleSnapshot = errors.New("snapshot is older than the replica")

// Replica is a host's copy of the store.
type Replica struct {
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
func New(settings Settings) *Replica {
	if settings.TombstoneTTL == 0 {
		settings.TombstoneTTL = defaultTombstoneTTL
	}
	return &Replica{settings: settings, items: map[string]Item{}, deletedAt: map[string]time.Duration{}}
}

// Revision returns the revision of the replica, or 0 if it is empty.
func (r *Replica) Revision() uint64 { return r.revision }

// Loaded reports whether the replica has received a snapshot.
func (r *Replica) Loaded() bool { return r.loaded }

// Age returns the time since the replica was last known to be current.
func (r *Replica) Age(now time.Duration) time.Duration { return now - r.currentAt }

// ConfirmCurrent records that a replica at revision was current at currentAt. It
// has no effect if this replica is behind that revision.
func (r *Replica) ConfirmCurrent(revision uint64, currentAt time.Duration) {
	if r.loaded && r.revision >= revision && currentAt > r.currentAt {
		r.currentAt = currentAt
	}
}

// Get returns the item of a key, and false if there is none.
func (r *Replica) Get(key string) (Item, bool) {
	item, ok := r.items[key]
	return item, ok && !item.Deleted
}

// ForEachItem calls f for each item, in no particular order.
func (r *Replica) ForEachItem(f func(Item)) {
	for _, item := range r.items {
		if !item.Deleted {
			f(item)
		}
	}
}

// ApplyChanges applies changes. They must include all changes after the replica's
// revision up to revision. It reports whether an item changed.
func (r *Replica) ApplyChanges(now time.Duration, changes []Item, revision uint64) bool {
	changed := false
	for _, item := range changes {
		changed = r.putIfNewer(now, item) || changed
	}
	r.revision = max(r.revision, revision)
	r.expireTombstones(now)
	return changed
}

// putIfNewer stores an item if the replica has none of its key with the same or
// a higher revision. It reports whether it stored the item.
func (r *Replica) putIfNewer(now time.Duration, item Item) bool {
	if old, ok := r.items[item.Key]; ok && old.Revision >= item.Revision {
		return false
	}
	r.items[item.Key] = item
	delete(r.deletedAt, item.Key)
	if item.Deleted {
		r.deletedAt[item.Key] = now
	}
	return true
}

// ApplySnapshot applies a snapshot that was read from the store at revision or
// later. It reports whether an item changed. Items of the replica that are not in
// the snapshot are deleted, unless they are newer than revision.
func (r *Replica) ApplySnapshot(now time.Duration, items []Item, revision uint64) (bool, error) {
	return r.applySnapshot(now, items, revision, 0)
}

// applySnapshot applies a snapshot. If compactedRevision is not 0, the snapshot
// includes the tombstones of all deletions after compactedRevision.
func (r *Replica) applySnapshot(now time.Duration, items []Item, revision, compactedRevision uint64) (bool, error) {
	if revision < r.revision {
		return false, ErrStaleSnapshot
	}
	present := make(map[string]bool, len(items))
	for _, item := range items {
		present[item.Key] = true
	}
	var deletions []Item
	for key, item := range r.items {
		if !item.Deleted && !present[key] && item.Revision <= revision {
			deletions = append(deletions, Item{Key: key, Revision: revision, Deleted: true})
		}
	}
	r.updateCompactedRevision(revision, compactedRevision)
	changed := r.ApplyChanges(now, append(deletions, items...), revision)
	r.loaded = true
	return changed, nil
}

// updateCompactedRevision raises r.compactedRevision for a snapshot at revision
// that has all changes after compactedRevision. If the replica is at an earlier
// revision than that, changes between the two are missing: a key that was written
// and deleted in between leaves no trace.
func (r *Replica) updateCompactedRevision(revision, compactedRevision uint64) {
	if compactedRevision == 0 {
		compactedRevision = revision
	}
	if !r.loaded || r.revision < compactedRevision {
		r.compactedRevision = max(r.compactedRevision, compactedRevision)
	}
}

// ApplyDelta applies a delta from a peer. It reports whether an item changed.
func (r *Replica) ApplyDelta(now time.Duration, d *Delta) (bool, error) {
	if d.Snapshot {
		return r.applySnapshot(now, d.Items, d.Revision, d.CompactedRevision)
	}
	if !r.loaded {
		return false, errors.New("delta without a snapshot for an empty replica")
	}
	return r.ApplyChanges(now, d.Items, d.Revision), nil
}

// DeltaSince returns the changes after revision, or a snapshot if the replica no
// longer has all of these changes.
func (r *Replica) DeltaSince(now time.Duration, revision uint64) Delta {
	d := Delta{Revision: r.revision, Age: r.Age(now), Snapshot: revision < r.compactedRevision, CompactedRevision: r.compactedRevision}
	for _, item := range r.items {
		if d.Snapshot && !item.Deleted || item.Revision > max(revision, r.compactedRevision) {
			d.Items = append(d.Items, item)
		}
	}
	slices.SortFunc(d.Items, func(a, b Item) int { return cmp.Compare(a.Revision, b.Revision) })
	return d
}

// expireTombstones deletes tombstones older than TombstoneTTL. It raises
// compactedRevision to their revisions, since changes since an earlier revision
// are then incomplete.
func (r *Replica) expireTombstones(now time.Duration) {
	for key, deletedAt := range r.deletedAt {
		if now-deletedAt < r.settings.TombstoneTTL {
			continue
		}
		r.compactedRevision = max(r.compactedRevision, r.items[key].Revision)
		delete(r.items, key)
		delete(r.deletedAt, key)
	}
}
