package mirror

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Precedence orders the versions of an item across eras by what their writers
// state in them. After a restore, the store may show an item that is older than the
// known one, or lack an item that is still in force.
type Precedence interface {
	// Compare returns a positive number if the known item is newer than an item of
	// the same key in a higher era, 0 if they are equally new, and a negative number
	// if it is older or the item of the higher era always applies. If known is
	// deleted, its value and revision are those before the deletion.
	Compare(known, item Item) int
	// KeepMissing returns for how long an item that a higher era lacks stays in
	// force.
	KeepMissing(known Item) time.Duration
}

// Forever is the duration of items that stay in force until the store shows
// something newer.
const Forever = time.Duration(math.MaxInt64)

// Kept is an item of an earlier era that takes precedence over what the store
// shows. If it is deleted, its value and revision are those before the deletion, and
// it hides an old item that the store shows again.
type Kept struct {
	Item
	// Changed is the version at which the key last changed.
	Changed Version `json:"changed"`
	// Remaining is the time for which the item stays in force, unless the store
	// shows something that is not older.
	Remaining time.Duration `json:"left"`
}

// former is the latest known value of a key, if it differs from what the store
// shows in the current era.
type former struct {
	Item
	changed Version
	// until is when the value is forgotten.
	until time.Duration
	// inForce is set if the value takes precedence over what the store shows. Other
	// values are only remembered for the next change of era.
	inForce bool
}

// Kept returns the items of earlier eras that are in force, sorted by key.
func (r *Replica) Kept(now time.Duration) []Kept {
	var out []Kept
	for _, f := range r.formers {
		if f.inForce && now < f.until {
			out = append(out, Kept{Item: f.Item, Changed: f.changed, Remaining: f.until - now})
		}
	}
	slices.SortFunc(out, func(a, b Kept) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

// Remembers reports whether the replica knows items that differ from what the store
// shows, in force or not.
func (r *Replica) Remembers() bool { return len(r.formers) > 0 }

// ForEachHidden calls f for each item that the store shows although it was deleted in
// an earlier era, with the value before the deletion.
func (r *Replica) ForEachHidden(f func(Item)) {
	for _, k := range r.formers {
		if k.inForce && k.Deleted {
			f(k.Item)
		}
	}
}

// KeptCount returns the number of items of earlier eras that are in force.
func (r *Replica) KeptCount() int {
	n := 0
	for _, f := range r.formers {
		if f.inForce && !f.Deleted {
			n++
		}
	}
	return n
}

// MergeKept adds the items that another replica keeps. A replica that is not loaded
// remembers them for its first snapshot. It reports whether an item changed.
func (r *Replica) MergeKept(now time.Duration, kept []Kept) bool {
	changed := false
	for _, k := range kept {
		f := &former{Item: k.Item, changed: k.Changed, until: later(now, k.Remaining)}
		if k.Deleted {
			f.until = min(f.until, now+r.settings.TombstoneTTL)
		}
		if !r.loaded {
			r.remember(f)
			continue
		}
		known := r.formers[k.Key]
		if known != nil && !r.precedes(f, known) {
			continue
		}
		if r.keep(now, f) {
			changed = true
		}
	}
	return changed
}

// Preview returns a replica for the items of an incomplete first snapshot, in which
// the items of earlier eras that r remembers are in force.
func (r *Replica) Preview(now time.Duration, items []Item) *Replica {
	out := New(r.settings)
	for key, f := range r.formers {
		clone := *f
		out.formers[key] = &clone
	}
	var version Version
	for _, item := range items {
		if item.Version().Compare(version) > 0 {
			version = item.Version()
		}
	}
	_, _ = out.ApplySnapshot(now, items, version) // An empty replica accepts any snapshot.
	return out
}

// ExpireKept forgets the items of earlier eras whose time has passed. It reports
// whether one of them was in force.
func (r *Replica) ExpireKept(now time.Duration) bool {
	changed := false
	for key, f := range r.formers {
		if now >= f.until {
			delete(r.formers, key)
			changed = changed || f.inForce
		}
	}
	return changed
}

// remember stores a value for the next change of era, unless a newer one is known.
func (r *Replica) remember(f *former) {
	if known := r.formers[f.Key]; known == nil || r.precedes(f, known) {
		r.formers[f.Key] = f
	}
}

// precedes reports whether a is newer than b, both of the same key.
func (r *Replica) precedes(a, b *former) bool {
	switch {
	case a.changed.Era < b.changed.Era:
		return r.compare(a.Item, b.Item) > 0
	case a.changed.Era > b.changed.Era:
		return r.compare(b.Item, a.Item) <= 0
	default:
		return a.changed.Revision > b.changed.Revision
	}
}

// keep puts a value of an earlier era in force if it takes precedence over what the
// store shows in the current one. It reports whether it does.
func (r *Replica) keep(now time.Duration, f *former) bool {
	if f.changed.Era >= r.version.Era {
		return false
	}
	shown, ok := r.items[f.Key]
	until := f.until
	switch {
	case !ok:
		until = min(until, later(r.enteredAt, r.keepMissing(f)))
	case shown.Deleted || !r.outdates(f, shown):
		return false
	case !f.Deleted:
		until = Forever
	}
	if now >= until {
		return false
	}
	f.until, f.inForce = until, true
	r.formers[f.Key] = f
	return true
}

// outdates reports whether a value of an earlier era is newer than the item that
// the first snapshot of a new era shows. That may be the very write that was deleted
// in the earlier era.
func (r *Replica) outdates(f *former, shown Item) bool {
	c := r.compare(f.Item, shown)
	return c > 0 || c == 0 && f.Deleted && f.Revision == shown.Revision
}

// compare returns Settings.Precedence.Compare. Without Precedence, the item of the
// higher era always applies.
func (r *Replica) compare(known, item Item) int {
	if r.settings.Precedence == nil {
		return -1
	}
	return r.settings.Precedence.Compare(known, item)
}

// keepMissing returns for how long a value stays in force if the current era lacks
// its key.
func (r *Replica) keepMissing(f *former) time.Duration {
	if r.settings.Precedence == nil || f.Deleted {
		return 0
	}
	return r.settings.Precedence.KeepMissing(f.Item)
}

// enterEra moves the replica to a higher era, of which it then has nothing yet. It
// returns the latest known values of all keys.
func (r *Replica) enterEra(now time.Duration, era uint64) map[string]*former {
	known := r.formers
	for key, item := range r.items {
		if f := known[key]; !item.Deleted && (f == nil || !f.inForce) {
			known[key] = &former{Item: item, changed: item.Version(), until: Forever}
		}
	}
	for key, f := range known {
		if now >= f.until {
			delete(known, key)
		}
	}
	r.items, r.deletedAt, r.formers = map[string]Item{}, map[string]time.Duration{}, map[string]*former{}
	r.version, r.compactedRevision, r.loaded, r.enteredAt = Version{Era: era}, 0, false, now
	return known
}

// keepKnown puts those of the values known before a change of era in force that take
// precedence over the first snapshot of the new era, and remembers the others that
// the snapshot lacks.
func (r *Replica) keepKnown(now time.Duration, known map[string]*former) {
	for key, f := range known {
		f.inForce = false
		if r.keep(now, f) {
			continue
		}
		if shown, ok := r.items[key]; !ok || shown.Deleted {
			f.until = min(f.until, now+r.settings.TombstoneTTL)
			r.formers[key] = f
		}
	}
}

// recordFormer updates the former value of a key for an item of the current era that
// replaces the item old.
func (r *Replica) recordFormer(now time.Duration, old, item Item) {
	f := r.formers[item.Key]
	switch {
	case !item.Deleted && f != nil && f.changed.Era < r.version.Era && r.compare(f.Item, item) > 0:
		f.inForce = true
		if !f.Deleted {
			f.until = Forever
		}
	case !item.Deleted:
		delete(r.formers, item.Key)
	case f != nil && (f.inForce || old.Key == "" || old.Deleted):
		r.formers[item.Key] = &former{Item: f.Item, changed: item.Version(), until: now + r.settings.TombstoneTTL}
		r.formers[item.Key].Deleted = true
	case old.Key != "" && !old.Deleted:
		old.Deleted = true
		r.formers[item.Key] = &former{Item: old, changed: item.Version(), until: now + r.settings.TombstoneTTL}
	}
}

// later returns now + d, limited to Forever. It is not less than now.
func later(now, d time.Duration) time.Duration {
	if d > Forever-now {
		return Forever
	}
	return now + max(0, d)
}
