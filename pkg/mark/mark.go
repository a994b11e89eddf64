// Package mark identifies backend servers by numbers that packets carry, so
// that any host can forward a flow without state on it. The method is that of
// Barbette et al., "A High-Speed Load-Balancer Design with Guaranteed
// Per-Connection-Consistency" (Cheetah, NSDI 2020); Beamer (NSDI 2018) and the
// QUIC-LB drafts are related.
//
// A mark is a hash of the server's ID alone, so that hosts need not coordinate.
// A Table resolves collisions: of the servers with the same mark, one holds it. The
// others get no new flows. Hosts agree on the holder by what the servers' entries
// say: it is the server in the store that started first. If that becomes another
// server, for example because the holder restarts, the holder keeps the mark until
// all flows to it have ended on any host, and then neither gets new flows until
// every host has made the change. A host that has just started learns the holders
// from other hosts.
//
// A server that restarts under the same ID answers packets of flows of its former
// process with a reset.
//
// Times are durations since an epoch that the application chooses.
package mark

import (
	"cmp"
	"math"
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

// Claim is the claim of a server to the mark of its ID.
type Claim struct {
	ID string
	// Started is when the server's process started, or the zero time if it is
	// unknown.
	Started time.Time
	// Departed reports whether the store no longer has the server's entry.
	Departed bool
}

// precedes reports whether the server of c holds the mark of both rather than that
// of other.
func (c *Claim) precedes(other *Claim) bool {
	if c.Departed != other.Departed {
		return other.Departed
	}
	if order := c.Started.Compare(other.Started); order != 0 {
		return order < 0
	}
	return c.ID < other.ID
}

// Report is what a host tells another one that has just started.
type Report struct {
	// Known is set if the host knows the holders of all marks.
	Known bool `json:"known,omitempty"`
	// Holdings are the holders of the marks that several servers claim, sorted by ID.
	Holdings []Holding `json:"holdings,omitempty"`
}

// Holding describes the holder of a mark that several servers claim.
type Holding struct {
	ID string `json:"id"`
	// ChallengedFor is the time since another server precedes the holder, 0 if none
	// does. QuietFor is the time for which the holder gets no new flows. Neither is
	// negative.
	ChallengedFor time.Duration `json:"challenged,omitempty"`
	QuietFor      time.Duration `json:"quiet,omitempty"`
}

// Durations in multiples of a flow's lifetime. Each allows for a host that learns of
// a change up to one lifetime later than the others.
const (
	// holdLifetimes is the time for which a holder that is preceded by another server
	// keeps the mark. A host that has not learned of it opens flows to the holder for
	// one lifetime, and these last for another one.
	holdLifetimes = 2
	// quietLifetimes is the time after a change of the holder for which the new one
	// gets no flows, since another host may still resolve the mark to the former one.
	quietLifetimes = 1
	// unknownQuietLifetimes is the same if the host does not know whether there was a
	// change: all of the above may still be due on another host.
	unknownQuietLifetimes = holdLifetimes + quietLifetimes + 1
)

// learningTime is the time after the first update in which a table may learn of
// servers and holders that other hosts have known for longer: the host reads the
// store in parts.
const learningTime = 10 * time.Second

// Table records which server holds each mark.
type Table struct {
	lifetime time.Duration
	markOf   func(id string) uint32
	holders  map[uint32]holder
	// startedAt is the time of the first update. It is valid if isStarted is true.
	startedAt time.Duration
	isStarted bool
	// isInformed reports whether another host has reported the holders it knows.
	isInformed bool
	nextChange time.Duration
}

// holder is the server that holds a mark.
type holder struct {
	id string
	// challengedAt is when another server first preceded the holder, or never.
	challengedAt time.Duration
	// quietUntil is the time until which the holder gets no new flows.
	quietUntil time.Duration
	// missingSince is when the claims to the mark ended, or never.
	missingSince time.Duration
	// isContested reports whether another server claims the mark, and isReported
	// whether another host reported the holder.
	isContested, isReported bool
}

const never time.Duration = math.MinInt64

// NewTable returns an empty table for flows of a maximum lifetime.
func NewTable(lifetime time.Duration) *Table {
	return &Table{lifetime: lifetime, markOf: Of, holders: map[uint32]holder{}}
}

// contest is the set of claims to a mark.
type contest struct {
	first           *Claim
	claims          int
	holderIsPresent bool
}

// Update replaces the claims, which include those of servers that departed within a
// flow's lifetime. It returns the marks of the servers that hold one.
func (t *Table) Update(now time.Duration, claims []Claim) map[string]uint32 {
	if !t.isStarted {
		t.startedAt, t.isStarted = now, true
	}
	contests := make(map[uint32]contest, len(claims))
	for i := range claims {
		c := &claims[i]
		m := t.markOf(c.ID)
		e := contests[m]
		e.claims++
		e.holderIsPresent = e.holderIsPresent || t.holders[m].id == c.ID
		if e.first == nil || c.precedes(e.first) {
			e.first = c
		}
		contests[m] = e
	}
	t.expire(now, contests)
	t.nextChange = 0
	marks := make(map[string]uint32, len(contests))
	for m, e := range contests {
		h := t.updateHolder(now, t.holders[m], e)
		t.holders[m] = h
		t.scheduleChange(now, h)
		marks[h.id] = m
	}
	return marks
}

// expire deletes the holders of marks that nobody has claimed for a flow's lifetime.
func (t *Table) expire(now time.Duration, contests map[uint32]contest) {
	for m, h := range t.holders {
		switch _, isClaimed := contests[m]; {
		case isClaimed:
		case h.missingSince == never:
			h.missingSince = now
			t.holders[m] = h
		case now-h.missingSince >= t.lifetime:
			delete(t.holders, m)
		}
	}
}

// updateHolder returns the holder of a mark after an update with the claims in e. h is
// the holder before, with an empty ID if there was none.
func (t *Table) updateHolder(now time.Duration, h holder, e contest) holder {
	change := func(lifetimes int) holder {
		quietUntil := now + time.Duration(lifetimes)*t.lifetime
		return holder{id: e.first.ID, challengedAt: never, missingSince: never, quietUntil: quietUntil}
	}
	switch {
	case h.id == "" && e.claims == 1:
		h = change(0)
	case h.id == "":
		h = change(unknownQuietLifetimes)
	case h.isReported && t.isLearning(now) && (!e.holderIsPresent || e.first.ID == h.id):
		// The entry of the holder or that of its challenger has not been read yet.
	case e.first.ID == h.id:
		h.challengedAt = never
	case !t.knowsHolders(now):
		// Both may have had entries for long, so nothing speaks for h.
		h = change(unknownQuietLifetimes)
	case !e.holderIsPresent:
		h = change(quietLifetimes)
	case h.challengedAt == never:
		h.challengedAt = now
	case now-h.challengedAt >= holdLifetimes*t.lifetime:
		h = change(quietLifetimes)
	}
	h.missingSince, h.isContested = never, e.claims > 1
	return h
}

// isLearning reports whether the table may not know servers that other hosts know.
func (t *Table) isLearning(now time.Duration) bool {
	return !t.isStarted || now-t.startedAt < learningTime
}

// knowsHolders reports whether the holders are known from another host, or have been
// determined by a table that has been running for long enough.
func (t *Table) knowsHolders(now time.Duration) bool { return t.isInformed || !t.isLearning(now) }

// scheduleChange lowers nextChange to the time at which the state of a holder changes
// by itself. What another host reported ends with the learning time if the entries do
// not show it.
func (t *Table) scheduleChange(now time.Duration, h holder) {
	if h.isReported && t.isLearning(now) {
		t.scheduleAt(now, t.startedAt+learningTime)
	}
	if h.challengedAt != never {
		t.scheduleAt(now, h.challengedAt+holdLifetimes*t.lifetime)
		return
	}
	t.scheduleAt(now, h.quietUntil)
}

// scheduleAt lowers nextChange to a time, unless that has passed.
func (t *Table) scheduleAt(now, at time.Duration) {
	if at > now && (t.nextChange == 0 || at < t.nextChange) {
		t.nextChange = at
	}
}

// NextChange returns the earliest time at which Update has to be called again without
// a change of the claims, or 0 if there is none.
func (t *Table) NextChange() time.Duration { return t.nextChange }

// Holder returns the ID of the server that holds a mark, or "" if there is none.
func (t *Table) Holder(m uint32) string { return t.holders[m].id }

// AcceptsFlows reports whether a server may get new flows: it holds its mark, and no
// other host may resolve the mark to another server while these flows last.
func (t *Table) AcceptsFlows(now time.Duration, id string) bool {
	h := t.holders[t.markOf(id)]
	return h.id == id && h.challengedAt == never && now >= h.quietUntil
}

// Report returns the report for a host that has just started.
func (t *Table) Report(now time.Duration) Report {
	if !t.knowsHolders(now) {
		return Report{}
	}
	out := Report{Known: true}
	for _, h := range t.holders {
		if !h.isContested {
			continue
		}
		r := Holding{ID: h.id, QuietFor: max(0, h.quietUntil-now)}
		if h.challengedAt != never {
			r.ChallengedFor = max(1, now-h.challengedAt)
		}
		out.Holdings = append(out.Holdings, r)
	}
	slices.SortFunc(out.Holdings, func(a, b Holding) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Adopt adopts the holders that another host reported, except those of marks of which
// a host has reported a holder before. It has no effect once this table has learned.
func (t *Table) Adopt(now time.Duration, r Report) {
	if !r.Known || !t.isLearning(now) {
		return
	}
	t.isInformed = true
	for _, reported := range r.Holdings {
		m := t.markOf(reported.ID)
		if t.holders[m].isReported {
			continue
		}
		h := holder{id: reported.ID, challengedAt: never, missingSince: never, isReported: true, isContested: true}
		h.quietUntil = now + min(reported.QuietFor, unknownQuietLifetimes*t.lifetime)
		if reported.ChallengedFor > 0 {
			h.challengedAt = now - min(reported.ChallengedFor, holdLifetimes*t.lifetime)
		}
		t.holders[m] = h
	}
}
