package marked

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"lagoonramp.org/lagoonramp/pkg/gossip"
)

const (
	// maxDirectHosts is the number of other hosts up to which the origin of a
	// broadcast sends it to each of them directly. In a data centre, it is also the
	// maximum number of hosts that a readiness message is sent to, and the number
	// of other hosts up to which a host answers the first digest of another.
	maxDirectHosts = 12
	// broadcastDegree is the maximum number of hosts of a data centre to which a
	// host sends a broadcast that these forward.
	broadcastDegree = 4
	// maxPendingBroadcasts is the maximum number of pending broadcasts. There is
	// at most one for each origin, and there are few origins.
	maxPendingBroadcasts = 32
)

// broadcast specifies how a digest that its origin broadcasts to all hosts is
// forwarded. In each data centre, delegates forward it to ranges of the hosts.
type broadcast struct {
	// Origin is the address of the host that started the broadcast.
	Origin string `json:"origin"`
	// DataCentre and Range specify the hosts to which the receiver forwards the
	// digest.
	DataCentre string       `json:"dataCentre"`
	Range      gossip.Range `json:"part"`
}

// startBroadcast broadcasts a digest of this host. If there are more than
// maxDirectHosts others, it sends the digest to delegates in its own data
// centre and to one host of each other data centre.
func (p *peers) startBroadcast(d *digest) {
	if len(p.byID) <= maxDirectHosts {
		for _, other := range p.byID {
			p.sendDigest(d, other.address)
		}
		return
	}
	for centre, hosts := range p.idsByDataCentre {
		b := &broadcast{Origin: p.host.settings.PeerAddress.String(), DataCentre: centre, Range: gossip.FullRange}
		if centre == p.host.settings.DataCentre {
			p.sendToDelegates(d, b)
			continue
		}
		first := *d
		first.Broadcast = b
		p.sendDigest(&first, p.byID[p.moreRecentlySeen(hosts)].address)
	}
}

// sendToDelegates splits the range of a broadcast and sends the digest to the
// delegate of each part.
func (p *peers) sendToDelegates(d *digest, b *broadcast) {
	for _, to := range b.Range.Split(p.self, p.idsByDataCentre[b.DataCentre], broadcastDegree, p.moreRecentlySeen) {
		next := *d
		next.Broadcast = &broadcast{Origin: b.Origin, DataCentre: b.DataCentre, Range: to.Range}
		p.sendDigest(&next, p.byID[to.Host].address)
	}
}

// forwardBroadcast forwards the broadcast of another host. Hosts that lack the
// state fetch it from the host that forwards the broadcast to them, so a host
// with a stale replica defers this until the replica has caught up.
func (p *peers) forwardBroadcast(now time.Duration, d *digest, c *control) {
	if c.replica.Version().Compare(d.version()) < 0 {
		if len(p.pendingBroadcasts) >= maxPendingBroadcasts {
			clear(p.pendingBroadcasts)
		}
		p.pendingBroadcasts[d.Broadcast.Origin] = d.Broadcast
		return
	}
	out := p.newDigest(now, c, maxBroadcastKnownHosts)
	out.Era, out.Revision, out.Age, out.Since, out.Items = d.Era, d.Revision, d.Age, d.Since, d.Items
	p.sendToDelegates(out, d.Broadcast)
}

// forwardPendingBroadcasts forwards the pending broadcasts with digests of this
// host.
func (p *peers) forwardPendingBroadcasts(now time.Duration, c *control) {
	for origin, b := range p.pendingBroadcasts {
		p.sendToDelegates(p.newDigest(now, c, maxBroadcastKnownHosts), b)
		delete(p.pendingBroadcasts, origin)
	}
}

// originID returns the ID of the origin of a broadcast. It returns 0 if there
// is none or it is this host, that is, if the broadcast must not be forwarded.
func (p *peers) originID(b *broadcast) uint64 {
	if b == nil {
		return 0
	}
	a, err := netip.ParseAddrPort(b.Origin)
	if err != nil || a == p.host.settings.PeerAddress {
		return 0
	}
	return peerID(a)
}

// moreRecentlySeen picks two random hosts and returns the one that was seen
// last.
func (p *peers) moreRecentlySeen(hosts []uint64) uint64 {
	a, b := hosts[rand.IntN(len(hosts))], hosts[rand.IntN(len(hosts))]
	if p.byID[b].lastSeen > p.byID[a].lastSeen {
		return b
	}
	return a
}

// updateHostLists updates all lists of hosts after a host or its data centre
// was added, or a host was removed.
func (p *peers) updateHostLists() {
	p.sortedIDs = p.sortedIDs[:0]
	clear(p.idsByDataCentre)
	for id, other := range p.byID {
		p.sortedIDs = append(p.sortedIDs, id)
		p.idsByDataCentre[other.dataCentre] = append(p.idsByDataCentre[other.dataCentre], id)
	}
	slices.Sort(p.sortedIDs)
	p.membership.changed = true
	all := append(slices.Clone(p.sortedIDs), p.self)
	p.gossip.SetHosts(all)
	p.watchers.SetHosts(all)
}
