package flow

import (
	"time"

	"lagoonramp.org/lagoonramp/pkg/rendez"
)

const (
	// sweepDuration is the approximate duration of a pass over all entries that
	// removes those that are idle.
	sweepDuration = 3 * time.Second
	// minSweepEntries is the minimum number of entries checked in a tick.
	minSweepEntries = 64
)

// HandleMessage handles a message from another host. It appends the resulting
// actions to out and returns it.
func (t *Table) HandleMessage(now time.Duration, m *Message, out []Action) []Action {
	switch m.Kind {
	case Forward:
		return t.routeDatagram(now, m, out)
	case Bounce:
		return t.handleBounce(now, m, out)
	case Query:
		return t.handleQuery(now, m, out)
	case QueryReply:
		return t.handleQueryReply(now, m, out)
	case Exceptions:
		t.received.add(now, m.From, m.Payload, t.settings.RefreshInterval)
	}
	return out
}

// handleBounce removes the redirect that a bounced datagram followed and routes
// the datagram again.
func (t *Table) handleBounce(now time.Duration, m *Message, out []Action) []Action {
	i, ok := t.slab.index[m.Key]
	if ok && t.slab.entries[i].state == stateRedirected && t.slab.entries[i].target == m.From {
		t.slab.remove(i)
	}
	retry := *m
	retry.From = 0
	retry.Redirected = false
	retry.Hops++
	if retry.Hops > maxHops {
		return append(out, Action{Kind: Dropped, Key: m.Key, Reason: ReasonHops})
	}
	return t.routeDatagram(now, &retry, out)
}

// handleQuery replies to a Query. Unless this host knows a holder, it redirects
// later datagrams of the flow to the sender. If two hosts query each other, the
// one with the higher rendezvous score becomes the holder.
func (t *Table) handleQuery(now time.Duration, m *Message, out []Action) []Action {
	reply := Message{Kind: QueryReply, From: t.view.Self, To: m.From, Key: m.Key}
	i, found := t.slab.index[m.Key]
	if !found {
		reply.Server = t.recoveredServer(m.Key)
		if len(t.slab.index) < t.settings.MaxEntries {
			t.setRedirect(now, t.slab.add(m.Key), m.From)
		}
		return append(out, Action{Kind: SendToHost, Key: m.Key, Message: reply})
	}
	e := &t.slab.entries[i]
	switch e.state {
	case statePinned:
		reply.Holder = t.view.Self
	case stateRedirected:
		if e.target != m.From && t.isRedirectValid(now, e) {
			reply.Holder = e.target
		} else {
			t.setRedirect(now, i, m.From)
		}
	case stateQuerying:
		if rendez.Score(m.Key.Hash(), m.From) < rendez.Score(m.Key.Hash(), t.view.Self) {
			reply.Holder = t.view.Self
		} else {
			out = t.resolveToHolder(now, i, m.From, out)
		}
	}
	return append(out, Action{Kind: SendToHost, Key: m.Key, Message: reply})
}

// recoveredServer returns the server that the received exceptions give for a
// flow, 0 if there is no exception.
func (t *Table) recoveredServer(key Key) uint64 {
	servers := t.services[key.Service]
	if servers == nil {
		return 0
	}
	hash := key.Hash()
	_, second := servers.candidates(hash)
	return t.received.lookup(hash, second)
}

// setRedirect makes an entry a redirect to the holder.
func (t *Table) setRedirect(now time.Duration, i int32, holder uint64) {
	e := &t.slab.entries[i]
	e.state = stateRedirected
	e.target = holder
	e.stateSince = now
	e.lastFromCaller = now
}

// resolveToHolder ends a query, redirects the flow to the holder and forwards
// the queued datagrams to it.
func (t *Table) resolveToHolder(now time.Duration, i int32, holder uint64, out []Action) []Action {
	q := t.pending[i]
	delete(t.pending, i)
	t.setRedirect(now, i, holder)
	e := &t.slab.entries[i]
	for _, d := range q.queued {
		m := Message{Key: e.key, Hint: d.hint, Ingress: e.ingress, Payload: d.payload}
		out = t.forward(&m, holder, true, out)
	}
	return out
}

// handleQueryReply handles a QueryReply. The flow is opened here after the last
// outstanding reply, if none names another holder.
func (t *Table) handleQueryReply(now time.Duration, m *Message, out []Action) []Action {
	i, found := t.slab.index[m.Key]
	if !found || t.slab.entries[i].state != stateQuerying {
		return out
	}
	if m.Holder != 0 && m.Holder != t.view.Self {
		return t.resolveToHolder(now, i, m.Holder, out)
	}
	q := t.pending[i]
	if m.Server != 0 {
		q.recovered = m.Server
	}
	for j, host := range q.outstanding {
		if host == m.From {
			q.outstanding = append(q.outstanding[:j], q.outstanding[j+1:]...)
			break
		}
	}
	if len(q.outstanding) > 0 {
		return out
	}
	return t.resolveLocally(now, i, out)
}

// resolveLocally ends a query, opens the flow here and delivers the queued
// datagrams.
func (t *Table) resolveLocally(now time.Duration, i int32, out []Action) []Action {
	q := t.pending[i]
	delete(t.pending, i)
	e := &t.slab.entries[i]
	ingress := e.ingress
	key := e.key
	for n, d := range q.queued {
		m := Message{Key: key, Hint: d.hint, Ingress: ingress, Payload: d.payload}
		if n > 0 {
			out = t.routeDatagram(now, &m, out)
			continue
		}
		out = t.openFlow(now, i, &m, q.recovered, out)
		if j, ok := t.slab.index[key]; !ok || j != i {
			return out
		}
	}
	return out
}

// Tick does the work that is due: it repeats queries, opens the flows whose
// queries were repeated too often, ends idle flows and sends exceptions. It
// should be called about once every QueryTimeout. It appends the resulting
// actions to out and returns it.
func (t *Table) Tick(now time.Duration, out []Action) []Action {
	for len(t.retryQueue) > 0 && t.retryQueue[0].retryAt <= now {
		q := t.retryQueue[0]
		t.retryQueue = t.retryQueue[1:]
		if t.pending[q.entry] != q {
			continue
		}
		if q.attempts >= t.settings.MaxQueryAttempts {
			out = t.resolveLocally(now, q.entry, out)
			continue
		}
		q.attempts++
		q.retryAt = now + t.settings.QueryTimeout
		t.retryQueue = append(t.retryQueue, q)
		out = t.sendQueries(q.entry, out)
	}
	out = t.expireEntries(now, out)
	return t.sendExceptions(now, out)
}

// expireEntries checks some of the entries and removes those that are idle or
// closed. Successive calls, one every QueryTimeout, check all entries in about
// sweepDuration.
func (t *Table) expireEntries(now time.Duration, out []Action) []Action {
	n := len(t.slab.entries)
	count := min(n, n*int(t.settings.QueryTimeout)/int(sweepDuration)+minSweepEntries)
	for range count {
		if t.sweepCursor >= n {
			t.sweepCursor = 0
		}
		i := int32(t.sweepCursor)
		t.sweepCursor++
		e := &t.slab.entries[i]
		idle := now - max(e.lastFromCaller, e.lastFromServer)
		switch {
		case e.state == stateFree || e.state == stateQuerying:
		case e.closing && idle >= t.settings.CloseLinger:
			out = t.removeEntry(i, ReasonClosed, out)
		case idle >= t.idleTimeout(e.key.Service):
			out = t.removeEntry(i, ReasonIdle, out)
		}
	}
	return out
}
