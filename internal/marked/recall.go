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
	// maxRecalls is how many peers a host asks after its start for what open
	// flows may still need.
	maxRecalls = 4
	// remnantsPath is where peers ask.
	remnantsPath = "/remnants"
)

// remnantsAnswer is what a host gives one that has just started.
type remnantsAnswer struct {
	// UpFor is how long the giver has been running.
	UpFor    time.Duration       `json:"upFor"`
	Remnants fleet.RetainedState `json:"remnants"`
}

// recall is how far a host is with asking its peers, after its start, for what
// open flows may still need. The store cannot tell it.
type recall struct {
	// asked are the peers that were asked.
	asked []uint64
	// done tells that a peer answered that has been running for longer than
	// flows last.
	done bool
}

// recall asks the next peer, one at a time; those of the own data centre go
// first, since they hear of changes first when it is cut off.
func (p *peers) recall(now time.Duration, c *control) {
	if p.recalled.done || len(p.recalled.asked) >= maxRecalls || !c.viewed {
		return
	}
	var best *peer
	for _, other := range p.known {
		if slices.Contains(p.recalled.asked, other.id) {
			continue
		}
		if best == nil || p.closer(other, best) {
			best = other
		}
	}
	if best == nil {
		return
	}
	p.recalled.asked = append(p.recalled.asked, best.id)
	go p.host.runRecall(best.address)
}

// closer reports whether a is asked before b.
func (p *peers) closer(a, b *peer) bool {
	nearA, nearB := a.dataCentre == p.host.set.DataCentre, b.dataCentre == p.host.set.DataCentre
	if nearA != nearB {
		return nearA
	}
	return rand.IntN(2) == 0
}

// runRecall asks a peer and hands its answer to the control loop.
func (h *Host) runRecall(from netip.AddrPort) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	var a remnantsAnswer
	path := remnantsPath + "?dataCentre=" + url.QueryEscape(h.set.DataCentre)
	if err := getJSON(ctx, h.client, from, path, &a); err != nil {
		h.log.Warn("peers: what open flows need was not learned", zap.Stringer("peer", from), zap.Error(err))
		return
	}
	h.post(func(c *control) { c.recall(from, &a) })
}

// recall takes a peer's answer.
func (c *control) recall(from netip.AddrPort, a *remnantsAnswer) {
	if a.UpFor >= c.host.set.FlowLifetime {
		c.peers.recalled.done = true
	}
	c.host.log.Info("peers: learned what open flows need", zap.Stringer("peer", from), zap.Duration("upFor", a.UpFor),
		zap.Int("departedServers", len(a.Remnants.Servers)), zap.Int("formerTargets", len(a.Remnants.Targets)))
	if len(a.Remnants.Servers)+len(a.Remnants.Targets) == 0 {
		return
	}
	now := c.host.now()
	c.builder.MergeRetainedState(now, a.Remnants)
	c.build(now)
}

// remnantsHandler gives a host that has just started what open flows need. One
// of the own data centre is told the pins of flows as well.
func (h *Host) remnantsHandler(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("dataCentre") == h.set.DataCentre {
		h.traffic.wanted.Store(true)
	}
	var a remnantsAnswer
	h.call(func(c *control) {
		now := h.now()
		a = remnantsAnswer{UpFor: now, Remnants: c.builder.RetainedState(now)}
	})
	h.writeCompressed(w, &a)
}
