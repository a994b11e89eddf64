package marked

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"time"

	"go.uber.org/zap"

	"lagoonramp.org/lagoonramp/pkg/fleet"
)

const (
	// maxRetainedQueries is the maximum number of peers that a host queries for
	// retained state after its start, and maxRetainedReplies that of replies.
	maxRetainedQueries = 12
	maxRetainedReplies = 4
	// firstListInterval is the interval at which hosts are queried again, while none
	// has replied and the document limits cold servers: a host feeds these only
	// once it has the list of another one, and after a power failure of all hosts
	// the first queries may fail. fullListInterval is the interval while none has
	// replied that knows all hosts of this data centre.
	firstListInterval = 5 * time.Second
	fullListInterval  = 20 * time.Second
	// retainedStatePath is the HTTP path at which peers query the retained state.
	retainedStatePath = "/remnants"
)

// retainedStateReply is the reply to a query of a host that has just started.
type retainedStateReply struct {
	// UpFor is the time since the replying host started.
	UpFor         time.Duration       `json:"upFor"`
	RetainedState fleet.RetainedState `json:"remnants"`
	// KnownHosts are the hosts that knownHosts returns, since the store has the records
	// of a few hosts only.
	KnownHosts []knownHost `json:"known,omitempty"`
	// ForgottenHosts are the IDs of hosts of the asking host's data centre that the
	// replying host has forgotten.
	ForgottenHosts []uint64 `json:"forgotten,omitempty"`
	// Voters are the IDs of those that count in the majority that feeds cold servers,
	// if the replying host is established.
	Voters []uint64 `json:"voters,omitempty"`
}

// retainedQueries is the progress of the queries by which a host obtains, after
// its start, the departed servers and former targets that open flows still need.
// The store does not have this state.
type retainedQueries struct {
	// queried holds the IDs of the peers that were queried, and replies counts
	// those that replied.
	queried []uint64
	replies int
	// nextRoundAt is when hosts are queried again if none has replied.
	nextRoundAt time.Duration
	// done is set once a peer has replied that has been running for at least the
	// maximum duration of a flow. Its state is complete.
	done bool
}

// queryRetainedState queries the next peer; each call queries one. Peers of
// this data centre go first: if it is partitioned from the others, its changes
// reach them first.
func (p *peers) queryRetainedState(now time.Duration, c *control) {
	p.startRetainedRound(now)
	if p.retained.done || p.retained.replies >= maxRetainedReplies || len(p.retained.queried) >= maxRetainedQueries || !c.trafficStarted {
		return
	}
	var best *peer
	for _, other := range p.byID {
		if slices.Contains(p.retained.queried, other.id) {
			continue
		}
		if best == nil || p.queriedBefore(other, best) {
			best = other
		}
	}
	if best == nil {
		return
	}
	p.retained.queried = append(p.retained.queried, best.id)
	go p.host.fetchRetainedState(best.address)
}

// startRetainedRound lets hosts be queried again if none has replied, or none that
// knows all hosts of this data centre.
func (p *peers) startRetainedRound(now time.Duration) {
	r := &p.retained
	if !p.membership.needsList(r.replies) || now < r.nextRoundAt {
		return
	}
	r.nextRoundAt = now + firstListInterval
	if r.replies > 0 {
		r.nextRoundAt = now + fullListInterval
		r.replies = min(r.replies, maxRetainedReplies-1) // One more.
		r.done = false
	}
	r.queried = r.queried[:0]
}

// queriedBefore reports whether a is to be queried before b. The order within
// and outside this data centre is random.
func (p *peers) queriedBefore(a, b *peer) bool {
	aLocal, bLocal := a.dataCentre == p.host.settings.DataCentre, b.dataCentre == p.host.settings.DataCentre
	if aLocal != bLocal {
		return aLocal
	}
	return rand.IntN(2) == 0
}

// fetchRetainedState queries a peer and merges its reply in the control loop.
func (h *Host) fetchRetainedState(from netip.AddrPort) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	var reply retainedStateReply
	path := retainedStatePath + "?" + url.Values{
		"dataCentre": {h.settings.DataCentre}, "address": {h.settings.PeerAddress.String()},
	}.Encode()
	if err := getJSON(ctx, h.client, from, path, &reply); err != nil {
		h.log.Warn("peers: retained state not fetched", zap.Stringer("peer", from), zap.Error(err))
		return
	}
	h.postToControl(func(c *control) { c.mergeRetainedState(from, &reply) })
}

// mergeRetainedState merges a peer's retained state and rebuilds the view.
func (c *control) mergeRetainedState(from netip.AddrPort, reply *retainedStateReply) {
	c.peers.retained.replies++
	if reply.UpFor >= c.host.settings.FlowLifetime {
		c.peers.retained.done = true
	}
	now := c.host.now()
	c.peers.addKnownHosts(now, reply.KnownHosts)
	c.peers.membership.addList(now, reply)
	c.host.log.Info("peers: retained state fetched", zap.Stringer("peer", from), zap.Duration("upFor", reply.UpFor),
		zap.Int("hosts", len(reply.KnownHosts)),
		zap.Int("departedServers", len(reply.RetainedState.Servers)), zap.Int("formerTargets", len(reply.RetainedState.Targets)))
	c.host.dropInvalid(from.String(), &reply.RetainedState)
	c.builder.MergeRetainedState(now, reply.RetainedState)
	if !reply.RetainedState.IsEmpty() {
		c.buildView(now)
	}
}

// serveRetainedState writes the retained state for a host that has just started.
// If routers may move flows to that host, all pins are sent to it as well.
func (h *Host) serveRetainedState(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := netip.ParseAddrPort(q.Get("address"))
	if err != nil {
		http.Error(w, "address must be the peer address of the host that asks", http.StatusBadRequest)
		return
	}
	var reply retainedStateReply
	h.callControl(func(c *control) {
		now := h.now()
		c.peers.serveStart(now, from, q.Get("dataCentre"))
		reply = retainedStateReply{UpFor: now, RetainedState: c.builder.RetainedState(now), KnownHosts: c.peers.knownHosts(now)}
		if c.peers.membership.limitsCold && q.Get("dataCentre") == h.settings.DataCentre {
			c.peers.membership.fillList(&reply)
		}
	})
	h.writeCompressed(w, &reply)
}

// serveStart sends all pins to a host that has just started, if routers may move
// flows to it.
func (p *peers) serveStart(now time.Duration, address netip.AddrPort, dataCentre string) {
	if p.observeHost(now, address, dataCentre, now) {
		p.updateHostLists()
	}
	if from := p.byID[peerID(address)]; from != nil && p.mayTakeFlows(now, from) {
		p.sendPinsTo(from, allPins)
	}
}
