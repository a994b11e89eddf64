package marked

import (
	"math/rand/v2"
	"time"
)

// This file decides between which hosts routers move flows.
//
// Routers spread the flows of a data centre over its hosts that are ready. If
// none is, they use the hosts of other data centres until one returns. A host
// does not know which data centre a flow comes from, so all hosts of other data
// centres may have flows of one without ready hosts.

// minBackupHosts is the number of other hosts of a data centre from which on its
// flows are expected to stay in it: if one of them fails while this host is
// stopped, another one is left.
const minBackupHosts = 2

// isLive reports whether a peer was seen recently, and since the start of this
// process.
func (p *peers) isLive(now time.Duration, other *peer) bool {
	since := now - liveWindow - time.Duration(len(p.byID))*liveWindowPerHost
	return other.lastSeen > max(0, since)
}

// countReady returns the number of hosts of a data centre that are likely to be
// in rotation, without this host and the one with the ID except.
func (p *peers) countReady(now time.Duration, dataCentre string, except uint64) int {
	n := 0
	for _, id := range p.idsByDataCentre[dataCentre] {
		if other := p.byID[id]; id != except && !other.unready && p.isLive(now, other) {
			n++
		}
	}
	return n
}

// mayTakeFlows reports whether routers may move flows from this host to another
// one that becomes ready: both are in the same data centre, or no other host of
// its data centre is ready.
func (p *peers) mayTakeFlows(now time.Duration, other *peer) bool {
	return other.dataCentre == p.host.settings.DataCentre || p.countReady(now, other.dataCentre, other.id) == 0
}

// observeReadiness records the readiness that a peer reported. After it became
// ready, routers may move flows to it for joinReroutingWindow.
func (p *peers) observeReadiness(now time.Duration, from *peer, readyFor time.Duration) {
	wasReady := !from.unready
	from.unready = readyFor == 0
	if !wasReady && !from.unready && p.mayTakeFlows(now, from) {
		p.sendPinsTo(from, ownPins)
	}
	if readyFor > 0 && readyFor < joinReroutingWindow && p.mayTakeFlows(now, from) {
		p.host.traffic.reroutingEnd.Store(int64(now + joinReroutingWindow - readyFor))
	}
}

// rerouteTargets returns the IDs of the hosts that routers may move the flows of
// this host to: those of its data centre and, if few of them are ready, all.
func (p *peers) rerouteTargets(now time.Duration) []uint64 {
	if p.countReady(now, p.host.settings.DataCentre, p.self) < minBackupHosts {
		return p.sortedIDs
	}
	return p.idsByDataCentre[p.host.settings.DataCentre]
}

// notifyReadiness sends the readiness of this host to the hosts that routers may
// move flows from: at most maxDirectHosts of its data centre, since in a larger
// one the readiness of a single host hardly affects whether others may stop, and
// those of other data centres if it has few hosts.
func (p *peers) notifyReadiness(now time.Duration, c *control) {
	d := p.newDigest(now, c, 0)
	hosts := p.idsByDataCentre[p.host.settings.DataCentre]
	if len(hosts) < minBackupHosts || len(p.byID) <= maxDirectHosts {
		for _, other := range p.byID {
			p.sendDigest(d, other.address)
		}
		return
	}
	first := rand.IntN(len(hosts))
	for i := range min(len(hosts), maxDirectHosts) {
		p.sendDigest(d, p.byID[hosts[(first+i)%len(hosts)]].address)
	}
}
