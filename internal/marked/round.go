package marked

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"lagoonramp.org/lagoonramp/pkg/gossip"
)

const (
	// directHosts is up to how many other hosts get each round from its origin
	// itself.
	directHosts = 12
	// roundDegree is to how many others a host hands a round on.
	roundDegree = 4
	// maxWaiting bounds the rounds that wait for a state; there are few origins.
	maxWaiting = 32
)

// round is a digest that a host that the store serves sends to all others, who
// hand it on: within each data centre to parts of its hosts.
type round struct {
	// Origin is the address of the host that began the round.
	Origin string `json:"origin"`
	// DataCentre and Part are to whom the receiver hands the digest on.
	DataCentre string       `json:"dataCentre"`
	Part       gossip.Range `json:"part"`
}

// beginRound sends a digest of this host to all others.
func (p *peers) beginRound(d *digest) {
	if len(p.known) <= directHosts {
		for _, other := range p.known {
			p.send(d, other.address)
		}
		return
	}
	for centre, hosts := range p.centres {
		r := &round{Origin: p.host.set.PeerAddress.String(), DataCentre: centre, Part: gossip.FullRange}
		if centre == p.host.set.DataCentre {
			p.handOut(d, r)
			continue
		}
		head := *d
		head.Round = r
		p.send(&head, p.known[p.fresher(hosts)].address)
	}
}

// handOut sends a digest to the delegates of a round's part.
func (p *peers) handOut(d *digest, r *round) {
	for _, to := range r.Part.Split(p.self, p.centres[r.DataCentre], roundDegree, p.fresher) {
		next := *d
		next.Round = &round{Origin: r.Origin, DataCentre: r.DataCentre, Part: to.Range}
		p.send(&next, p.known[to.Host].address)
	}
}

// handOn hands a round on that another host sent. Hosts that have to fetch the
// state get it from the host that tells them, so a host that is behind waits
// until it has caught up.
func (p *peers) handOn(now time.Duration, d *digest, c *control) {
	if c.replica.Revision() < d.Revision {
		if len(p.waiting) >= maxWaiting {
			clear(p.waiting)
		}
		p.waiting[d.Round.Origin] = d.Round
		return
	}
	out := p.digest(now, c, roundKnown)
	out.Revision, out.Age, out.Since, out.Items = d.Revision, d.Age, d.Since, d.Items
	p.handOut(out, d.Round)
}

// handOnWaiting hands the rounds on that waited for a state.
func (p *peers) handOnWaiting(now time.Duration, c *control) {
	for origin, r := range p.waiting {
		p.handOut(p.digest(now, c, roundKnown), r)
		delete(p.waiting, origin)
	}
}

// originOf returns the ID of the host that began a round, or 0 if the round is
// not to be handed on.
func (p *peers) originOf(r *round) uint64 {
	if r == nil {
		return 0
	}
	a, err := netip.ParseAddrPort(r.Origin)
	if err != nil || a == p.host.set.PeerAddress {
		return 0
	}
	return peerID(a)
}

// fresher returns the one of two random hosts that was heard of last.
func (p *peers) fresher(hosts []uint64) uint64 {
	a, b := hosts[rand.IntN(len(hosts))], hosts[rand.IntN(len(hosts))]
	if p.known[b].heardAt > p.known[a].heardAt {
		return b
	}
	return a
}

// setHosts puts the known hosts in order after one came or went.
func (p *peers) setHosts() {
	p.ids = p.ids[:0]
	clear(p.centres)
	for id, other := range p.known {
		p.ids = append(p.ids, id)
		p.centres[other.dataCentre] = append(p.centres[other.dataCentre], id)
	}
	slices.Sort(p.ids)
	all := append(slices.Clone(p.ids), p.self)
	p.machine.SetHosts(all)
	p.watchers.SetHosts(all)
}
