package marked

import (
	"math/rand/v2"
	"slices"
	"time"

	"lagoonramp.org/lagoonramp/pkg/fleet"
	"lagoonramp.org/lagoonramp/pkg/steer"
	"lagoonramp.org/lagoonramp/pkg/warmup"
)

// This file tells the traffic loop which hosts of the data centre feed cold
// servers, and makes hosts known to each other in time for that. Greetings and the
// order in which digests name hosts take effect only while the document limits
// cold servers.

const (
	// greetingsPerTick is the maximum number of greetings that a host sends in a
	// tick, so that a start does not fill a small link.
	greetingsPerTick = 64
	// initialGreetingInterval is the interval of the greetings of a host that has
	// not answered yet. It doubles up to maxGreetingInterval, which is less than the
	// hold-down: a host that was cut off learns within that of those that joined.
	initialGreetingInterval = 2 * peerTickInterval
	maxGreetingInterval     = 2 * time.Second
	// recentAge is the time for which digests name a host first that has become
	// known.
	recentAge = 5 * time.Second
	// maxRecent is the maximum number of such hosts.
	maxRecent = 256
	// maxListedHosts is the maximum number of forgotten hosts that are accepted from
	// another host, and of those that count in the majority.
	maxListedHosts = 4096
)

// greeting is the role of a digest by which two hosts of a data centre make sure
// that they know each other. Such a digest has no other effect.
type greeting uint8

const (
	noGreeting greeting = iota
	greetingRequest
	greetingReply
)

// recentHost is a host that has become known lately.
type recentHost struct {
	id uint64
	at time.Duration
}

// membership is the part of peers that concerns cold servers.
type membership struct {
	*warmup.Membership
	// limitsCold reports whether the document limits cold servers.
	limitsCold bool
	// changed is set when the known hosts change, until the next update.
	changed bool
	// pauseCount is that of the clock at the latest update.
	pauseCount uint64
	// recorded holds the hosts of this data centre with a record in the store.
	recorded map[uint64]bool
	recent   []recentHost
	// known and blocking are the arguments of the next update.
	known, blocking []warmup.Host
}

func newMembership(self uint64) membership {
	return membership{Membership: warmup.NewMembership(self), recorded: map[uint64]bool{}}
}

// needsList reports whether the host still needs the list of another one, if replies
// have replied.
func (m *membership) needsList(replies int) bool {
	return m.limitsCold && (replies == 0 || !m.IsEstablished() && !m.HasFullList())
}

// fillList adds what a host of this data centre that starts needs to know.
func (m *membership) fillList(reply *retainedStateReply) {
	reply.ForgottenHosts = m.Expired()
	if m.IsEstablished() {
		reply.Voters = m.Voters()
	}
}

// addList adds what another host knows about the hosts of this data centre.
func (m *membership) addList(now time.Duration, reply *retainedStateReply) {
	m.AddExpired(now, reply.ForgottenHosts[:min(len(reply.ForgottenHosts), maxListedHosts)])
	if len(reply.Voters) > 0 {
		m.RecordFullList(now, reply.Voters[:min(len(reply.Voters), maxListedHosts)])
	}
}

// limitsColdServers reports whether a service limits cold servers.
func limitsColdServers(v *fleet.View) bool {
	for _, s := range v.Services {
		if s.WarmupRate > 0 {
			return true
		}
	}
	return false
}

// updateMembership updates the hosts that feed cold servers, and reports whether
// what the traffic loop knows about them has changed.
func (p *peers) updateMembership(now time.Duration, c *control) bool {
	m := &p.membership
	before := p.feeders()
	if n := p.host.clock.pauseCount.Load(); n != m.pauseCount {
		m.pauseCount = n
		m.Restart(now)
	}
	m.changed = false
	m.known, m.blocking = m.known[:0], m.blocking[:0]
	for _, id := range p.idsByDataCentre[p.host.settings.DataCentre] {
		m.known = append(m.known, p.byID[id].asFeeder())
	}
	for _, id := range p.idsByDataCentre[""] {
		m.blocking = append(m.blocking, p.byID[id].asFeeder())
	}
	for id := range m.recorded {
		if other := p.byID[id]; id != p.self && other == nil {
			m.blocking = append(m.blocking, warmup.Host{ID: id})
		}
	}
	complete := c.replica.Loaded() && (p.retained.replies > 0 || len(p.byID) == 0)
	m.Update(now, m.known, m.blocking, p.freshAge(), complete)
	after := p.feeders()
	return before.From != after.From || before.Active != after.Active || !slices.Equal(before.Hosts, after.Hosts)
}

// freshAge returns the time since a host was last seen up to which it counts as
// reachable, as for isLive.
func (p *peers) freshAge() time.Duration {
	return liveWindow + time.Duration(len(p.byID))*liveWindowPerHost
}

// asFeeder returns what this host knows about a peer as a feeder of cold servers.
func (other *peer) asFeeder() warmup.Host {
	return warmup.Host{ID: other.id, LastSeen: other.lastSeen, Heard: other.heard, Left: other.unready}
}

// feeders returns what the traffic loop needs to know about the hosts that feed
// cold servers.
func (p *peers) feeders() steer.Feeders {
	from, active := p.membership.FeedFrom()
	return steer.Feeders{Self: p.self, Hosts: p.membership.Hosts(), From: from, Active: active}
}

// needsMembershipUpdate reports whether the known hosts have changed, or the
// process was paused.
func (p *peers) needsMembershipUpdate() bool {
	return p.membership.changed || p.membership.pauseCount != p.host.clock.pauseCount.Load()
}

// refreshFeeders passes a change of the known hosts to the traffic loop.
func (p *peers) refreshFeeders(now time.Duration, c *control) {
	if p.needsMembershipUpdate() {
		c.refreshPublished(now)
	}
}

// greet sends greetings to the hosts of this data centre that this host has not
// heard from.
func (p *peers) greet(now time.Duration, c *control) {
	if !p.membership.limitsCold {
		return
	}
	var d *digest
	left := greetingsPerTick
	for _, id := range p.idsByDataCentre[p.host.settings.DataCentre] {
		other := p.byID[id]
		if other.heard || now < other.nextGreeting || left == 0 {
			continue
		}
		left--
		other.greetingInterval = min(max(2*other.greetingInterval, initialGreetingInterval), maxGreetingInterval)
		other.nextGreeting = now + other.greetingInterval
		if d == nil {
			d = p.newDigest(now, c, 0)
			d.Greeting = greetingRequest
		}
		p.sendDigest(d, other.address)
	}
}

// handleGreeting answers a greeting of a host of this data centre.
func (p *peers) handleGreeting(now time.Duration, from *peer, d *digest, c *control) {
	if d.Greeting != greetingRequest || d.DataCentre != p.host.settings.DataCentre {
		return
	}
	reply := p.newDigest(now, c, 0)
	reply.Greeting = greetingReply
	p.sendDigest(reply, from.address)
}

// addRecent records that a host has become known.
func (p *peers) addRecent(now time.Duration, id uint64) {
	m := &p.membership
	m.recent = slices.DeleteFunc(m.recent, func(r recentHost) bool { return now-r.at > recentAge })
	if len(m.recent) < maxRecent {
		m.recent = append(m.recent, recentHost{id: id, at: now})
	}
}

// nextNamed returns the host that a digest names as its i-th: hosts that have
// become known lately go first, so that all hosts know them within the hold-down.
func (p *peers) nextNamed(now time.Duration, i, first int) *peer {
	if n := len(p.membership.recent); p.membership.limitsCold && i < n {
		r := p.membership.recent[(first+i)%n]
		if other := p.byID[r.id]; other != nil && now-r.at <= recentAge {
			return other
		}
	}
	return p.randomPeer()
}

// firstNamed returns the argument first of nextNamed for a digest.
func (p *peers) firstNamed() int { return rand.IntN(max(1, len(p.membership.recent))) }
