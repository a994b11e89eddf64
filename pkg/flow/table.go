package flow

import (
	"time"
)

const (
	// maxHops bounds how often a datagram is passed on.
	maxHops = 5
	// claimLife is how long a redirect that was made by a claim is believed
	// although the view does not show its holder.
	claimLife = 10 * time.Second
	// relinkAfter bounds how often a busy entry moves in the order of use.
	relinkAfter = 500 * time.Millisecond
)

// Table is the flow table of one worker of a host.
type Table struct {
	set      Settings
	view     *View
	services map[uint64]*ServerSet
	loads    Loads
	slab     slab
	// pending holds what is sought, by entry.
	pending map[int32]*search
	// due holds the searches in the order of their next try.
	due []*search
	// viewAt is when the view last changed.
	viewAt time.Duration
	// answered is when each server last answered any flow.
	answered map[uint64]time.Duration
	held     int
	// longest is the longest idle timeout of all services.
	longest time.Duration
	// sweep is the next entry to look at for expiry.
	sweep  int
	teller teller
	heard  heard
}

// search is an ask under way.
type search struct {
	// entry is the index of the entry that the search is for.
	entry   int32
	asked   []uint64
	stash   []stashed
	tries   int
	retryAt time.Duration
	server  uint64
}

type stashed struct {
	payload []byte
	hint    Hint
}

// NewTable returns an empty table. The loads may be nil; then the first
// candidate is always taken.
func NewTable(set Settings, loads Loads) *Table {
	return &Table{
		set:      set.withDefaults(),
		view:     &View{},
		services: map[uint64]*ServerSet{},
		loads:    loads,
		slab:     newSlab(),
		pending:  map[int32]*search{},
		answered: map[uint64]time.Duration{},
		teller:   newTeller(),
		heard:    newHeard(),
	}
}

// SetView puts a member list in force. The table keeps v, which must not
// change any more.
func (t *Table) SetView(now time.Duration, v *View) {
	if t.view.Equal(v) {
		return
	}
	t.view = v
	t.viewAt = now
	t.teller.restart(now)
}

// SetServers puts the servers of all services in force, by service hash.
// The table keeps the map, which must not change any more.
func (t *Table) SetServers(now time.Duration, services map[uint64]*ServerSet) {
	t.services = services
	t.longest = t.set.IdleTimeout
	for _, set := range services {
		t.longest = max(t.longest, set.IdleTimeout)
	}
	t.teller.restart(now)
}

// idle returns the idle timeout of a service.
func (t *Table) idle(service uint64) time.Duration {
	if set := t.services[service]; set != nil && set.IdleTimeout > 0 {
		return set.IdleTimeout
	}
	return t.set.IdleTimeout
}

// silentAfter returns how long a flow of a service may stay unanswered,
// negative for ever.
func (t *Table) silentAfter(service uint64) time.Duration {
	if set := t.services[service]; set != nil && set.SilentAfter != 0 {
		return set.SilentAfter
	}
	return t.set.SilentAfter
}

// Held returns the number of flows that this table holds.
func (t *Table) PinnedFlows() int { return t.held }

// Len returns the number of entries, redirects included.
func (t *Table) Len() int { return len(t.slab.index) }

// Server returns the server that a flow is pinned to here.
func (t *Table) Server(key Key) (server uint64, ok bool) {
	i, ok := t.slab.index[key]
	if !ok || t.slab.entries[i].state != held {
		return 0, false
	}
	return t.slab.entries[i].peer, true
}

// young reports whether flows may be held elsewhere that the redirects of
// this table do not show: any flow that is alive had a datagram within the
// idle timeout, and an owner keeps a redirect as long.
func (t *Table) young(now time.Duration) bool {
	return now-t.viewAt < max(t.longest, t.set.IdleTimeout)+claimLife
}

// Packet takes a datagram of a caller. The ingress is the host that answers
// the caller, 0 for the fabric. It appends what to do to out and returns it.
func (t *Table) HandleDatagram(now time.Duration, key Key, hint Hint, ingress uint64, payload []byte, out []Action) []Action {
	m := Message{Key: key, Hint: hint, Ingress: ingress, Payload: payload}
	return t.datagram(now, &m, out)
}

// Reply notes an answer of a flow's server. It returns the host that answers
// the caller, 0 for the fabric, and whether the flow is held here.
func (t *Table) RecordReply(now time.Duration, key Key) (ingress uint64, ok bool) {
	i, ok := t.slab.index[key]
	if !ok {
		return 0, false
	}
	e := &t.slab.entries[i]
	if e.state != held {
		return 0, false
	}
	e.unanswered = 0
	t.touch(now, i)
	e.lastOut = now
	t.answered[e.peer] = now
	return e.ingress, true
}

// Drop ends a flow that is held here, for a reason of the embedder. It appends
// what to do to out and returns it.
func (t *Table) EndFlow(key Key, why Reason, out []Action) []Action {
	if i, ok := t.slab.index[key]; ok && t.slab.entries[i].state == held {
		return t.end(i, why, out)
	}
	return out
}

// touch moves an entry in the order of use if it was not moved lately.
func (t *Table) touch(now time.Duration, i int32) {
	e := &t.slab.entries[i]
	if now-max(e.lastIn, e.lastOut) >= relinkAfter || t.slab.head < 0 {
		t.slab.toHead(i)
	}
}

// datagram handles a datagram from a caller or another host.
func (t *Table) datagram(now time.Duration, m *Message, out []Action) []Action {
	i, known := t.slab.index[m.Key]
	if !known {
		return t.miss(now, m, out)
	}
	e := &t.slab.entries[i]
	switch e.state {
	case held:
		return t.deliver(now, i, m, out)
	case redirected:
		if !t.believes(now, e) || e.peer == m.From {
			t.slab.remove(i)
			return t.miss(now, m, out)
		}
		t.touch(now, i)
		e.lastIn = now
		return t.pass(m, e.peer, true, out)
	default:
		return t.keep(i, m, out)
	}
}

// believes reports whether a redirect may still be followed.
func (t *Table) believes(now time.Duration, e *entry) bool {
	return t.view.IsMember(e.peer) || now-e.since < claimLife
}

// deliver sends a datagram of a held flow to its server.
func (t *Table) deliver(now time.Duration, i int32, m *Message, out []Action) []Action {
	e := &t.slab.entries[i]
	if t.silent(now, e) {
		key := e.key
		out = t.end(i, ReasonSilent, out)
		i = t.slab.add(key)
		return t.open(now, i, m, 0, out)
	}
	t.touch(now, i)
	e.lastIn = now
	e.ingress = m.Ingress
	if e.unanswered < ^uint16(0) {
		e.unanswered++
	}
	e.closing = m.Hint == HintCloses
	return append(out, Action{Kind: SendToServer, Key: e.key, Server: e.peer, Payload: m.Payload})
}

// silent reports whether a flow was answered before, is not any more, and
// its server still answers others.
func (t *Table) silent(now time.Duration, e *entry) bool {
	if e.lastOut == 0 || int(e.unanswered) < t.set.MinUnanswered {
		return false
	}
	limit := t.silentAfter(e.key.Service)
	if limit < 0 || now-e.lastOut < limit {
		return false
	}
	return now-t.answered[e.peer] < limit/2
}

// miss handles a datagram of a flow that has no entry.
func (t *Table) miss(now time.Duration, m *Message, out []Action) []Action {
	if m.Redirected {
		back := *m
		back.Kind = Bounce
		back.From = t.view.Self
		back.To = m.From
		back.Redirected = false
		return append(out, Action{Kind: SendToHost, Key: m.Key, Message: back})
	}
	hash := m.Key.Hash()
	owner := t.view.Owner(hash)
	if owner == 0 {
		return append(out, Action{Kind: Dropped, Key: m.Key, Reason: ReasonNoHost})
	}
	if owner != t.view.Self && owner != m.From && m.Hops < maxHops-2 {
		return t.pass(m, owner, false, out)
	}
	return t.seek(now, hash, m, out)
}

// pass hands a datagram to another host.
func (t *Table) pass(m *Message, to uint64, redirect bool, out []Action) []Action {
	if m.Hops >= maxHops {
		return append(out, Action{Kind: Dropped, Key: m.Key, Reason: ReasonHops})
	}
	next := *m
	next.Kind = Forward
	next.From = t.view.Self
	next.To = to
	next.Hops++
	next.Redirected = redirect
	return append(out, Action{Kind: SendToHost, Key: m.Key, Message: next})
}
