package flow

import (
	"time"

	"lagoonramp.org/lagoonramp/pkg/rendez"
)

// seek asks the hosts that may hold a flow, or opens it if there is nobody
// to ask.
func (t *Table) seek(now time.Duration, hash uint64, m *Message, out []Action) []Action {
	var ok bool
	out, ok = t.room(now, out)
	if !ok {
		return append(out, Action{Kind: Dropped, Key: m.Key, Reason: ReasonFull})
	}
	if !t.young(now) {
		return t.open(now, t.slab.add(m.Key), m, 0, out)
	}
	if len(t.pending) >= t.set.MaxPendingQueries {
		return append(out, Action{Kind: Dropped, Key: m.Key, Reason: ReasonFull})
	}
	asked := t.view.askable(hash, t.set.MaxQueriedHosts, nil)
	i := t.slab.add(m.Key)
	if len(asked) == 0 {
		return t.open(now, i, m, 0, out)
	}
	e := &t.slab.entries[i]
	e.state = asking
	e.since = now
	e.lastIn = now
	e.ingress = m.Ingress
	s := &search{entry: i, asked: asked, tries: 1, retryAt: now + t.set.QueryTimeout}
	t.pending[i] = s
	t.due = append(t.due, s)
	out = t.ask(i, out)
	return t.keep(i, m, out)
}

// ask sends an Ask to each host that has not answered yet.
func (t *Table) ask(i int32, out []Action) []Action {
	key := t.slab.entries[i].key
	for _, h := range t.pending[i].asked {
		m := Message{Kind: Query, From: t.view.Self, To: h, Key: key}
		out = append(out, Action{Kind: SendToHost, Key: key, Message: m})
	}
	return out
}

// keep stores a datagram until its flow's holder is known.
func (t *Table) keep(i int32, m *Message, out []Action) []Action {
	s := t.pending[i]
	if len(s.stash) >= t.set.MaxQueuedDatagrams {
		return append(out, Action{Kind: Dropped, Key: m.Key, Reason: ReasonFull})
	}
	t.slab.entries[i].ingress = m.Ingress
	s.stash = append(s.stash, stashed{payload: append([]byte(nil), m.Payload...), hint: m.Hint})
	return out
}

// room makes room for an entry. It evicts the least used entry only if that
// one is idle, so that no live flow is broken for a new one.
func (t *Table) room(now time.Duration, out []Action) ([]Action, bool) {
	if len(t.slab.index) < t.set.MaxEntries {
		return out, true
	}
	i := t.slab.tail
	e := &t.slab.entries[i]
	if e.state == asking || now-max(e.lastIn, e.lastOut) < t.idle(e.key.Service)/4 {
		return out, false
	}
	return t.end(i, ReasonEvicted, out), true
}

// end removes an entry. A held flow is reported.
func (t *Table) end(i int32, why Reason, out []Action) []Action {
	e := &t.slab.entries[i]
	if e.state == held {
		t.held--
		out = append(out, Action{Kind: Ended, Key: e.key, Server: e.peer, Reason: why})
	}
	delete(t.pending, i)
	t.slab.remove(i)
	return out
}

// open pins a new entry to a server and delivers m if it is not nil. The
// server known is what another host reported for recovery, or 0.
func (t *Table) open(now time.Duration, i int32, m *Message, known uint64, out []Action) []Action {
	e := &t.slab.entries[i]
	hint := HintNone
	if m != nil {
		hint = m.Hint
	}
	hash := e.key.Hash()
	server := t.pick(now, e.key.Service, hash, hint, known)
	if server == 0 {
		key := e.key
		t.slab.remove(i)
		return append(out, Action{Kind: Dropped, Key: key, Reason: ReasonNoServer})
	}
	e.state = held
	e.peer = server
	e.since = now
	e.lastIn = now
	t.held++
	t.consider(now, e, hash)
	out = append(out, Action{Kind: Opened, Key: e.key, Server: server})
	if m == nil {
		return out
	}
	return t.deliver(now, i, m, out)
}

// pick chooses a server for a flow that nobody holds.
func (t *Table) pick(now time.Duration, service, hash uint64, hint Hint, known uint64) uint64 {
	set := t.services[service]
	if set == nil {
		return 0
	}
	first, second := set.candidates(hash)
	if hint != HintOpens && t.young(now) {
		if known == 0 {
			known = t.heard.server(hash, second)
		}
		if known != 0 && set.holds(known) {
			return known
		}
		if t.view.ownedByLost(hash) {
			return first
		}
	}
	server := choose(first, second, t.loads, t.set.LoadMargin)
	if server != 0 && t.loads != nil && t.loads.Load(server) < 0 {
		server = t.leastLoaded(set, hash)
	}
	return server
}

// leastLoaded returns the server with the least load, 0 if none takes work.
// Among equals the flow's hash decides.
func (t *Table) leastLoaded(set *ServerSet, hash uint64) uint64 {
	var best, top uint64
	low := 0.0
	for _, id := range set.Accepting {
		l := t.loads.Load(id)
		if l < 0 {
			continue
		}
		s := rendez.Score(hash, id)
		if best == 0 || l < low || l == low && s > top {
			best, low, top = id, l, s
		}
	}
	return best
}
