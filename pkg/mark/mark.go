// Package mark names backend servers by numbers that travel in packets, so that
// any host can forward a flow without remembering it. The idea is that of
// Barbette et al., "A High-Speed Load-Balancer Design with Guaranteed
// Per-Connection-Consistency" (Cheetah, NSDI 2020); Beamer (NSDI 2018) and the
// QUIC-LB drafts are kin.
//
// A mark follows from the server's ID alone, so that hosts need not agree on
// it. Two servers whose IDs give the same mark are told apart by a Table: the
// one that held the mark first keeps it until a flow's lifetime after it left,
// and the other gets no new flows meanwhile. A server that restarts under its
// ID keeps its mark; it answers packets of flows of its former process with a
// reset.
//
// Conventions. Time is a time.Duration since an epoch that the embedder
// chooses.
package mark

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Of returns the mark of a server. It is never 0, which stands for none.
func Of(id string) uint32 {
	h := xxhash.Sum64String(id)
	if m := uint32(h) ^ uint32(h>>32); m != 0 {
		return m
	}
	return 1
}

// Table says which server holds each mark.
type Table struct {
	retain time.Duration
	of     func(id string) uint32
	held   map[uint32]holder
}

type holder struct {
	id string
	// gone is when the server was missing first; it is negative while the
	// server is there.
	gone time.Duration
}

const present time.Duration = -1

// NewTable returns a table in which a mark outlives its server by retain, the
// lifetime of a flow.
func NewTable(retain time.Duration) *Table {
	return &Table{retain: retain, of: Of, held: map[uint32]holder{}}
}

// Update names the servers that are there. It returns the mark of each that
// holds one; a server that is missing in the result shares its mark with
// another.
func (t *Table) Update(now time.Duration, ids []string) map[string]uint32 {
	sorted := slices.Sorted(slices.Values(ids))
	t.expire(now, sorted)
	out := make(map[string]uint32, len(ids))
	for _, id := range sorted {
		m := t.of(id)
		h, ok := t.held[m]
		if ok && h.id != id {
			continue
		}
		t.held[m] = holder{id: id, gone: present}
		out[id] = m
	}
	return out
}

// expire notes which servers are missing and forgets those that are missing
// for a flow's lifetime.
func (t *Table) expire(now time.Duration, sorted []string) {
	for m, h := range t.held {
		_, there := slices.BinarySearch(sorted, h.id)
		switch {
		case there:
			continue
		case h.gone == present:
			h.gone = now
			t.held[m] = h
		case now-h.gone >= t.retain:
			delete(t.held, m)
		}
	}
}

// Holder returns the ID of the server that holds a mark, or "".
func (t *Table) Holder(m uint32) string { return t.held[m].id }
