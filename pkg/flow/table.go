package flow

import (
	"time"
)

const (
	// maxHops bounds how often a datagram is forwarded between hosts.
	maxHops = 5
	// claimTTL is how long a redirect is valid although its holder is not in
	// the view. A host that claims a flow may have joined before this host
	// received the new view.
	claimTTL = 10 * time.Second
	// minReorderInterval is the minimum time between two moves of an entry in
	// the LRU list.
	minReorderInterval = 500 * time.Millisecond
)

// Table is the flow table of one worker of a host. It is not safe for
// concurrent use.
type Table struct {
	settings Settings
	view     *View
	services map[uint64]*ServerSet
	loads    Loads
	slab     slab
	// pending holds the queries in progress by the index of the entry.
	pending map[int32]*query
	// retryQueue holds the queries in the order of retryAt. It may contain
	// queries that are no longer pending.
	retryQueue []*query
	// viewChangedAt is when the view last changed.
	viewChangedAt time.Duration
	// lastServerReply is when each server last replied on any flow.
	lastServerReply map[uint64]time.Duration
	// pinned counts the entries in statePinned.
	pinned int
	// maxIdleTimeout is the longest idle timeout of all services.
	maxIdleTimeout time.Duration
	// sweepCursor is the next entry to check for expiry.
	sweepCursor int
	sender      exceptionSender
	received    receivedExceptions
}

// query is the search for the holder of a flow among other hosts.
type query struct {
	// entry is the index of the entry of the flow.
	entry int32
	// outstanding holds the hosts that have not replied yet.
	outstanding []uint64
	queued      []queuedDatagram
	attempts    int
	retryAt     time.Duration
	// recovered is the server that a host reported from its received
	// exceptions, or 0.
	recovered uint64
}

// queuedDatagram is a datagram that waits for the end of a query.
type queuedDatagram struct {
	payload []byte
	hint    Hint
}

// NewTable returns an empty table. If loads is nil, a new flow always gets its
// first candidate.
func NewTable(settings Settings, loads Loads) *Table {
	return &Table{
		settings:        settings.withDefaults(),
		view:            &View{},
		services:        map[uint64]*ServerSet{},
		loads:           loads,
		slab:            newSlab(),
		pending:         map[int32]*query{},
		lastServerReply: map[uint64]time.Duration{},
		sender:          newExceptionSender(),
		received:        newReceivedExceptions(),
	}
}

// SetView sets the member list. The table retains v, which must not be
// modified afterwards.
func (t *Table) SetView(now time.Duration, v *View) {
	if t.view.Equal(v) {
		return
	}
	t.view = v
	t.viewChangedAt = now
	t.sender.requestRescan(now)
}

// SetServers sets the servers of all services by the hash of the service's
// name. The table retains the map, which must not be modified afterwards.
func (t *Table) SetServers(now time.Duration, services map[uint64]*ServerSet) {
	t.services = services
	t.maxIdleTimeout = t.settings.IdleTimeout
	for _, servers := range services {
		t.maxIdleTimeout = max(t.maxIdleTimeout, servers.IdleTimeout)
	}
	t.sender.requestRescan(now)
}

// idleTimeout returns the idle timeout of a service.
func (t *Table) idleTimeout(service uint64) time.Duration {
	if servers := t.services[service]; servers != nil && servers.IdleTimeout > 0 {
		return servers.IdleTimeout
	}
	return t.settings.IdleTimeout
}

// silentAfter returns the time without a reply after which a flow of a service
// is ended as silent, negative if it never is.
func (t *Table) silentAfter(service uint64) time.Duration {
	if servers := t.services[service]; servers != nil && servers.UnresponsiveTimeout != 0 {
		return servers.UnresponsiveTimeout
	}
	return t.settings.UnresponsiveTimeout
}

// PinnedFlows returns the number of flows that are pinned to a server here.
func (t *Table) PinnedFlows() int { return t.pinned }

// Len returns the number of entries, including redirects and flows whose holder
// is being queried.
func (t *Table) Len() int { return len(t.slab.index) }

// Server returns the server that a flow is pinned to and whether it is pinned
// here.
func (t *Table) Server(key Key) (server uint64, ok bool) {
	i, ok := t.slab.index[key]
	if !ok || t.slab.entries[i].state != statePinned {
		return 0, false
	}
	return t.slab.entries[i].target, true
}

// viewIsRecent reports whether the view changed so recently that another host
// may hold flows for which this table has no redirect. Any live flow has a
// datagram within the idle timeout, upon which its owner adds a redirect or
// refreshes it.
func (t *Table) viewIsRecent(now time.Duration) bool {
	return now-t.viewChangedAt < max(t.maxIdleTimeout, t.settings.IdleTimeout)+claimTTL
}

// HandleDatagram handles a datagram from a caller. The ingress is the host that
// received it and sends the replies to the caller, 0 for the fabric.
// HandleDatagram appends the resulting actions to out and returns it.
func (t *Table) HandleDatagram(now time.Duration, key Key, hint Hint, ingress uint64, payload []byte, out []Action) []Action {
	m := Message{Key: key, Hint: hint, Ingress: ingress, Payload: payload}
	return t.routeDatagram(now, &m, out)
}

// RecordReply records a reply of a flow's server. It returns the host that
// sends the reply to the caller, 0 for the fabric, and whether the flow is
// pinned here.
func (t *Table) RecordReply(now time.Duration, key Key) (ingress uint64, ok bool) {
	i, ok := t.slab.index[key]
	if !ok {
		return 0, false
	}
	e := &t.slab.entries[i]
	if e.state != statePinned {
		return 0, false
	}
	e.unanswered = 0
	t.markUsed(now, i)
	e.lastFromServer = now
	t.lastServerReply[e.target] = now
	return e.ingress, true
}

// EndFlow ends a flow if it is pinned here, with the given reason. It appends
// the resulting actions to out and returns it.
func (t *Table) EndFlow(key Key, reason Reason, out []Action) []Action {
	if i, ok := t.slab.index[key]; ok && t.slab.entries[i].state == statePinned {
		return t.removeEntry(i, reason, out)
	}
	return out
}

// markUsed moves an entry to the front of the LRU list if the flow's last
// datagram is at least minReorderInterval old, which limits the list updates of
// busy flows. It must be called before the times of the entry are updated.
func (t *Table) markUsed(now time.Duration, i int32) {
	e := &t.slab.entries[i]
	if now-max(e.lastFromCaller, e.lastFromServer) >= minReorderInterval || t.slab.head < 0 {
		t.slab.moveToFront(i)
	}
}

// routeDatagram handles a datagram from a caller or another host by the state
// of its flow.
func (t *Table) routeDatagram(now time.Duration, m *Message, out []Action) []Action {
	i, found := t.slab.index[m.Key]
	if !found {
		return t.handleMiss(now, m, out)
	}
	e := &t.slab.entries[i]
	switch e.state {
	case statePinned:
		return t.deliver(now, i, m, out)
	case stateRedirected:
		if !t.isRedirectValid(now, e) || e.target == m.From {
			t.slab.remove(i)
			return t.handleMiss(now, m, out)
		}
		t.markUsed(now, i)
		e.lastFromCaller = now
		return t.forward(m, e.target, true, out)
	default:
		return t.queueDatagram(i, m, out)
	}
}

// isRedirectValid reports whether the holder of a redirect is in the view, or
// the redirect is newer than claimTTL.
func (t *Table) isRedirectValid(now time.Duration, e *entry) bool {
	return t.view.IsMember(e.target) || now-e.stateSince < claimTTL
}

// deliver sends a datagram of a pinned flow to its server. If the server is
// silent on this flow, it ends the flow and opens it again.
func (t *Table) deliver(now time.Duration, i int32, m *Message, out []Action) []Action {
	e := &t.slab.entries[i]
	if t.isServerSilent(now, e) {
		key := e.key
		out = t.removeEntry(i, ReasonUnresponsive, out)
		i = t.slab.add(key)
		return t.openFlow(now, i, m, 0, out)
	}
	t.markUsed(now, i)
	e.lastFromCaller = now
	e.ingress = m.Ingress
	if e.unanswered < ^uint16(0) {
		e.unanswered++
	}
	e.closing = m.Hint == HintCloses
	return append(out, Action{Kind: SendToServer, Key: e.key, Server: e.target, Payload: m.Payload})
}

// isServerSilent reports whether the server of a flow has stopped replying on
// this flow but still replies on others.
func (t *Table) isServerSilent(now time.Duration, e *entry) bool {
	if e.lastFromServer == 0 || int(e.unanswered) < t.settings.MinUnanswered {
		return false
	}
	limit := t.silentAfter(e.key.Service)
	if limit < 0 || now-e.lastFromServer < limit {
		return false
	}
	return now-t.lastServerReply[e.target] < limit/2
}

// handleMiss handles a datagram of a flow that has no entry. A redirected
// datagram is bounced. Any other is forwarded to the owner of the flow, unless
// this host is the owner, the datagram came from the owner, or few hops are
// left: then this host searches for the holder and may open the flow itself.
func (t *Table) handleMiss(now time.Duration, m *Message, out []Action) []Action {
	if m.Redirected {
		bounce := *m
		bounce.Kind = Bounce
		bounce.From = t.view.Self
		bounce.To = m.From
		bounce.Redirected = false
		return append(out, Action{Kind: SendToHost, Key: m.Key, Message: bounce})
	}
	hash := m.Key.Hash()
	owner := t.view.Owner(hash)
	if owner == 0 {
		return append(out, Action{Kind: Dropped, Key: m.Key, Reason: ReasonNoHost})
	}
	if owner != t.view.Self && owner != m.From && m.Hops < maxHops-2 {
		return t.forward(m, owner, false, out)
	}
	return t.findHolder(now, hash, m, out)
}

// forward sends a datagram to another host.
func (t *Table) forward(m *Message, to uint64, redirect bool, out []Action) []Action {
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
