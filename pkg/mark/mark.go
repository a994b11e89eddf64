// Package mark identifies backend servers by numbers that packets carry, so
// that any host can forward a flow without state on it. The method is that of
// Barbette et al., "A High-Speed Load-Balancer Design with Guaranteed
// Per-Connection-Consistency" (Cheetah, NSDI 2020); Beamer (NSDI 2018) and the
// QUIC-LB drafts are related.
//
// A mark is a hash of the server's ID alone, so that hosts need not coordinate.
// A Table resolves collisions: the server that held the mark first keeps it
// until one flow lifetime after the server left, and the other server gets no
// new flows until then. A server that restarts under the same ID keeps its
// mark; it answers packets of flows of its former process with a reset.
//
// Times are durations since an epoch that the application chooses.
package mark

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Of returns the mark of the server with an ID. It is never 0, which stands for
// no server.
func Of(id string) uint32 {
	h := xxhash.Sum64String(id)
	if m := uint32(h) ^ uint32(h>>32); m != 0 {
		return m
	}
	return 1
}

// Table records which server holds each mark.
type Table struct {
	retain  time.Duration
	markOf  func(id string) uint32
	holders map[uint32]holder
}

type holder struct {
	id string
	// missingSince is when an update first lacked the server, or notMissing.
	missingSince time.Duration
}

const notMissing time.Duration = -1

// NewTable returns an empty table. A mark stays reserved for retain, the
// lifetime of a flow, after its server left.
func NewTable(retain time.Duration) *Table {
	return &Table{retain: retain, markOf: Of, holders: map[uint32]holder{}}
}

// Update replaces the set of present servers. It returns the mark of each
// server that holds one; a server that is not in the result collides with
// another holder of its mark.
func (t *Table) Update(now time.Duration, ids []string) map[string]uint32 {
	sorted := slices.Sorted(slices.Values(ids))
	t.expire(now, sorted)
	marks := make(map[string]uint32, len(ids))
	for _, id := range sorted {
		m := t.markOf(id)
		h, ok := t.holders[m]
		if ok && h.id != id {
			continue
		}
		t.holders[m] = holder{id: id, missingSince: notMissing}
		marks[id] = m
	}
	return marks
}

// expire records which servers are missing and releases the marks of those that
// have been missing for retain.
func (t *Table) expire(now time.Duration, sorted []string) {
	for m, h := range t.holders {
		_, isPresent := slices.BinarySearch(sorted, h.id)
		switch {
		case isPresent:
			continue
		case h.missingSince == notMissing:
			h.missingSince = now
			t.holders[m] = h
		case now-h.missingSince >= t.retain:
			delete(t.holders, m)
		}
	}
}

// Holder returns the ID of the server that holds a mark, or "" if there is
// none.
func (t *Table) Holder(m uint32) string { return t.holders[m].id }
