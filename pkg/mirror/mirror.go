// Package mirror implements a host's replica of the platform's store. It holds
// the items at a revision and the time at which they were last known to be
// current.
//
// A Replica accepts changes from the store and from peers. An item is replaced
// only by an item of the same key with a higher revision. Hence updates may
// overlap, be duplicated or arrive in any order, and a replica never goes back
// to an earlier version.
//
// The store may be restored from an older copy, which raises its era. A replica
// moves to a higher era by a snapshot of it. Items of the earlier era that are newer
// than what the store shows then, or that it lacks, may stay in force (Precedence).
//
// A Replica is not safe for concurrent use. Times are durations since an epoch
// that the application chooses.
package mirror

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"time"
)

// Item is a key of the store with its value, or a tombstone.
type Item struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Revision is the revision of the store at which the item last changed.
	Revision uint64 `json:"revision"`
	// Era is the era of the store to which Revision belongs. It is omitted in deltas,
	// whose era applies to all items.
	Era uint64 `json:"era,omitempty"`
	// Deleted marks a tombstone: the key was deleted at Revision.
	Deleted bool `json:"deleted,omitempty"`
}

// Version returns the version of the store at which the item last changed.
func (i *Item) Version() Version { return Version{Era: i.Era, Revision: i.Revision} }

// Delta is an update that one replica sends to another: the changes since a
// revision, or a snapshot.
type Delta struct {
	// Version is the version of the sender.
	Version
	// Snapshot means that Items is a snapshot, that is, all items instead of the
	// changes since a revision. It includes the tombstones of keys that were
	// deleted after CompactedRevision.
	Snapshot bool `json:"whole"`
	// CompactedRevision is the revision after which the sender has all changes,
	// including deletions. It is 0 if the sender has only the snapshot, as when
	// it was read from the store.
	CompactedRevision uint64 `json:"floor,omitempty"`
	Items             []Item `json:"items"`
	// Kept holds, in a snapshot, the items of earlier eras that the sender keeps.
	Kept []Kept `json:"kept,omitempty"`
	// Age is the time since the sender's replica was known to be current.
	Age time.Duration `json:"age"`
}

// Settings configures a Replica. The zero value selects the defaults.
type Settings struct {
	// TombstoneTTL is how long tombstones are kept for peers. The default is 60 s.
	TombstoneTTL time.Duration
	// Precedence decides which items of earlier eras stay in force. If it is nil,
	// none do.
	Precedence Precedence
}

const defaultTombstoneTTL = 60 * time.Second

// Replica is a host's copy of the store.
type Replica struct {
	settings  Settings
	items     map[string]Item
	deletedAt map[string]time.Duration
	// formers holds the latest known values of keys whose values differ from those
	// that the store shows in the current era.
	formers map[string]*former
	version Version
	// enteredAt is when the replica moved to the present era.
	enteredAt time.Duration
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
	return &Replica{settings: settings, items: map[string]Item{}, deletedAt: map[string]time.Duration{}, formers: map[string]*former{}}
}

// Version returns the version of the replica. Its revision is 0 if the replica is
// empty.
func (r *Replica) Version() Version { return r.version }

// Loaded reports whether the replica has received a snapshot.
func (r *Replica) Loaded() bool { return r.loaded }

// Age returns the time since the replica was last known to be current.
func (r *Replica) Age(now time.Duration) time.Duration { return now - r.currentAt }

// ConfirmCurrent records that a replica at version was current at currentAt. It
// has no effect if this replica is behind that version, or in another era.
func (r *Replica) ConfirmCurrent(version Version, currentAt time.Duration) {
	if r.loaded && r.version.Era == version.Era && r.version.Revision >= version.Revision && currentAt > r.currentAt {
		r.currentAt = currentAt
	}
}

// Get returns the item of a key that is in force, and false if there is none.
func (r *Replica) Get(key string) (Item, bool) {
	if f := r.formers[key]; f != nil && f.inForce {
		return f.Item, !f.Deleted
	}
	item, ok := r.items[key]
	return item, ok && !item.Deleted
}

// ForEachItem calls f for each item that is in force, in no particular order.
func (r *Replica) ForEachItem(f func(Item)) {
	for key, item := range r.items {
		if k := r.formers[key]; !item.Deleted && (k == nil || !k.inForce) {
			f(item)
		}
	}
	for _, k := range r.formers {
		if k.inForce && !k.Deleted {
			f(k.Item)
		}
	}
}

// ApplyChanges applies changes of the replica's era. They must include all changes
// after the replica's revision up to that of version. It reports whether an item
// changed. Changes of a lower era have no effect.
func (r *Replica) ApplyChanges(now time.Duration, changes []Item, version Version) (bool, error) {
	switch {
	case version.Era > r.version.Era:
		return false, ErrHigherEra
	case version.Era < r.version.Era:
		return false, nil
	}
	changed := false
	for _, item := range changes {
		item.Era = version.Era
		changed = r.putIfNewer(now, item) || changed
	}
	r.version.Revision = max(r.version.Revision, version.Revision)
	r.expireTombstones(now)
	return changed, nil
}

// putIfNewer stores an item if the replica has none of its key with the same or
// a higher revision. It reports whether it stored the item.
func (r *Replica) putIfNewer(now time.Duration, item Item) bool {
	old, ok := r.items[item.Key]
	if ok && old.Revision >= item.Revision {
		return false
	}
	r.recordFormer(now, old, item)
	r.items[item.Key] = item
	delete(r.deletedAt, item.Key)
	if item.Deleted {
		r.deletedAt[item.Key] = now
	}
	return true
}

// ApplySnapshot applies a snapshot that was read from the store at version or
// later in its era. It reports whether an item changed. Items of the replica that
// are not in the snapshot are deleted, unless they are newer than version or stay in
// force after a change of era.
func (r *Replica) ApplySnapshot(now time.Duration, items []Item, version Version) (bool, error) {
	return r.applySnapshot(now, &Delta{Version: version, Items: items})
}

// applySnapshot applies a snapshot. If its CompactedRevision is not 0, it includes the
// tombstones of all later deletions.
func (r *Replica) applySnapshot(now time.Duration, d *Delta) (bool, error) {
	if d.Compare(r.version) < 0 {
		return false, ErrStaleSnapshot
	}
	if d.Era > r.version.Era {
		return true, r.applyFirstSnapshot(now, d)
	}
	present := make(map[string]bool, len(d.Items))
	for _, item := range d.Items {
		present[item.Key] = true
	}
	var deletions []Item
	for key, item := range r.items {
		if !item.Deleted && !present[key] && item.Revision <= d.Revision {
			deletions = append(deletions, Item{Key: key, Revision: d.Revision, Deleted: true})
		}
	}
	r.updateCompactedRevision(d.Revision, d.CompactedRevision)
	changed, err := r.ApplyChanges(now, append(deletions, d.Items...), d.Version)
	r.loaded = true
	return r.MergeKept(now, d.Kept) || changed, err
}

// applyFirstSnapshot applies the first snapshot of a higher era.
func (r *Replica) applyFirstSnapshot(now time.Duration, d *Delta) error {
	known := r.enterEra(now, d.Era)
	r.updateCompactedRevision(d.Revision, d.CompactedRevision)
	_, err := r.ApplyChanges(now, d.Items, d.Version)
	r.loaded = true
	r.keepKnown(now, known)
	r.MergeKept(now, d.Kept)
	return err
}

// updateCompactedRevision raises r.compactedRevision for a snapshot at revision
// that has all changes after compactedRevision. If the replica is at an earlier
// revision than that, changes between the two are missing: a key that was written
// and deleted in between leaves no trace.
func (r *Replica) updateCompactedRevision(revision, compactedRevision uint64) {
	if compactedRevision == 0 {
		compactedRevision = revision
	}
	if !r.loaded || r.version.Revision < compactedRevision {
		r.compactedRevision = max(r.compactedRevision, compactedRevision)
	}
}

// ApplyDelta applies a delta from a peer. It reports whether an item changed.
func (r *Replica) ApplyDelta(now time.Duration, d *Delta) (bool, error) {
	if d.Snapshot {
		return r.applySnapshot(now, d)
	}
	if !r.loaded {
		return false, errors.New("delta without a snapshot for an empty replica")
	}
	return r.ApplyChanges(now, d.Items, d.Version)
}

// DeltaSince returns the changes after a version, or a snapshot if the replica no
// longer has all of these changes or is in a higher era.
func (r *Replica) DeltaSince(now time.Duration, version Version) Delta {
	d := Delta{
		Version: r.version, Age: r.Age(now), CompactedRevision: r.compactedRevision,
		Snapshot: version.Compare(Version{Era: r.version.Era, Revision: r.compactedRevision}) < 0,
	}
	if version.Era > r.version.Era {
		return d
	}
	after := r.compactedRevision
	if version.Era == r.version.Era {
		after = max(after, version.Revision)
	}
	for _, item := range r.items {
		if d.Snapshot && !item.Deleted || item.Revision > after {
			item.Era = 0
			d.Items = append(d.Items, item)
		}
	}
	slices.SortFunc(d.Items, func(a, b Item) int { return cmp.Compare(a.Revision, b.Revision) })
	if d.Snapshot {
		d.Kept = r.Kept(now)
	}
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
	maps.DeleteFunc(r.formers, func(_ string, f *former) bool { return !f.inForce && now >= f.until })
}
