package flow

import (
	"time"

	"lagoonramp.org/lagoonramp/pkg/rendez"
)

// findHolder creates an entry for an unknown flow and queries the hosts that
// may hold it. It opens the flow at once if there is no such host, or if the
// view has not changed for so long that no other host can hold it.
func (t *Table) findHolder(now time.Duration, hash uint64, m *Message, out []Action) []Action {
	var ok bool
	out, ok = t.ensureCapacity(now, out)
	if !ok {
		return append(out, Action{Kind: Dropped, Key: m.Key, Reason: ReasonFull})
	}
	if !t.viewIsRecent(now) {
		return t.openFlow(now, t.slab.add(m.Key), m, 0, out)
	}
	if len(t.pending) >= t.settings.MaxPendingQueries {
		return append(out, Action{Kind: Dropped, Key: m.Key, Reason: ReasonFull})
	}
	targets := t.view.queryTargets(hash, t.settings.MaxQueriedHosts, nil)
	i := t.slab.add(m.Key)
	if len(targets) == 0 {
		return t.openFlow(now, i, m, 0, out)
	}
	e := &t.slab.entries[i]
	e.state = stateQuerying
	e.stateSince = now
	e.lastFromCaller = now
	e.ingress = m.Ingress
	q := &query{entry: i, outstanding: targets, attempts: 1, retryAt: now + t.settings.QueryTimeout}
	t.pending[i] = q
	t.retryQueue = append(t.retryQueue, q)
	out = t.sendQueries(i, out)
	return t.queueDatagram(i, m, out)
}

// sendQueries sends a Query to each host that has not replied yet.
func (t *Table) sendQueries(i int32, out []Action) []Action {
	key := t.slab.entries[i].key
	for _, host := range t.pending[i].outstanding {
		m := Message{Kind: Query, From: t.view.Self, To: host, Key: key}
		out = append(out, Action{Kind: SendToHost, Key: key, Message: m})
	}
	return out
}

// queueDatagram stores a datagram until the holder of its flow is known.
func (t *Table) queueDatagram(i int32, m *Message, out []Action) []Action {
	q := t.pending[i]
	if len(q.queued) >= t.settings.MaxQueuedDatagrams {
		return append(out, Action{Kind: Dropped, Key: m.Key, Reason: ReasonFull})
	}
	t.slab.entries[i].ingress = m.Ingress
	q.queued = append(q.queued, queuedDatagram{payload: append([]byte(nil), m.Payload...), hint: m.Hint})
	return out
}

// ensureCapacity reports whether an entry can be added. If the table is full,
// it evicts the least recently used entry, but only after a quarter of its
// idle timeout without datagrams, so that no active flow is broken for a new
// one.
func (t *Table) ensureCapacity(now time.Duration, out []Action) ([]Action, bool) {
	if len(t.slab.index) < t.settings.MaxEntries {
		return out, true
	}
	i := t.slab.tail
	e := &t.slab.entries[i]
	if e.state == stateQuerying || now-max(e.lastFromCaller, e.lastFromServer) < t.idleTimeout(e.key.Service)/4 {
		return out, false
	}
	return t.removeEntry(i, ReasonEvicted, out), true
}

// removeEntry removes an entry. It appends an Ended action if the flow was
// pinned.
func (t *Table) removeEntry(i int32, reason Reason, out []Action) []Action {
	e := &t.slab.entries[i]
	if e.state == statePinned {
		t.pinned--
		out = append(out, Action{Kind: Ended, Key: e.key, Server: e.target, Reason: reason})
	}
	delete(t.pending, i)
	t.slab.remove(i)
	return out
}

// openFlow pins the flow of a new entry to a server and delivers m if it is
// not nil. The recovered server is the one that another host reported from its
// received exceptions, or 0.
func (t *Table) openFlow(now time.Duration, i int32, m *Message, recovered uint64, out []Action) []Action {
	e := &t.slab.entries[i]
	hint := HintNone
	if m != nil {
		hint = m.Hint
	}
	hash := e.key.Hash()
	server := t.pickServer(now, e.key.Service, hash, hint, recovered)
	if server == 0 {
		key := e.key
		t.slab.remove(i)
		return append(out, Action{Kind: Dropped, Key: key, Reason: ReasonNoServer})
	}
	e.state = statePinned
	e.target = server
	e.stateSince = now
	e.lastFromCaller = now
	t.pinned++
	t.queueException(now, e, hash)
	out = append(out, Action{Kind: Opened, Key: e.key, Server: server})
	if m == nil {
		return out
	}
	return t.deliver(now, i, m, out)
}

// pickServer chooses a server for a flow that no host holds. It returns 0 if
// there is none. While the view is recent, a flow without HintOpens may have
// been held by a host that crashed. For such a flow pickServer returns the
// server that an exception gives, or the first candidate if a lost host
// precedes this host in rendezvous order. Otherwise it chooses by load.
func (t *Table) pickServer(now time.Duration, service, hash uint64, hint Hint, recovered uint64) uint64 {
	servers := t.services[service]
	if servers == nil {
		return 0
	}
	first, second := servers.candidates(hash)
	if hint != HintOpens && t.viewIsRecent(now) {
		if recovered == 0 {
			recovered = t.received.lookup(hash, second)
		}
		if recovered != 0 && servers.contains(recovered) {
			return recovered
		}
		if t.view.precededByLost(hash) {
			return first
		}
	}
	server := chooseByLoad(first, second, t.loads, t.settings.LoadMargin)
	if server != 0 && t.loads != nil && t.loads.Load(server) < 0 {
		server = t.leastLoaded(servers, hash)
	}
	return server
}

// leastLoaded returns the accepting server with the least load, 0 if all have
// a negative load. Ties are broken by the rendezvous score.
func (t *Table) leastLoaded(servers *ServerSet, hash uint64) uint64 {
	var best, bestScore uint64
	bestLoad := 0.0
	for _, id := range servers.Accepting {
		load := t.loads.Load(id)
		if load < 0 {
			continue
		}
		score := rendez.Score(hash, id)
		if best == 0 || load < bestLoad || load == bestLoad && score > bestScore {
			best, bestLoad, bestScore = id, load, score
		}
	}
	return best
}
