package marked

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"lagoonramp.org/lagoonramp/internal/event"
	"lagoonramp.org/lagoonramp/pkg/drain"
	"lagoonramp.org/lagoonramp/pkg/gossip"
	"lagoonramp.org/lagoonramp/pkg/mirror"
	"lagoonramp.org/lagoonramp/pkg/rendez"
	"lagoonramp.org/lagoonramp/pkg/steer"
)

const (
	// peerTickInterval is the interval of the periodic work of peers.
	peerTickInterval = 200 * time.Millisecond
	// broadcastInterval is the interval at which a broadcaster sends a digest to
	// all hosts, and digestInterval the interval at which any other host sends
	// one to digestFanout random peers.
	broadcastInterval = 400 * time.Millisecond
	digestInterval    = time.Second
	digestFanout      = 2
	// maxReplicaAge is the age of the replica above which a host watches the
	// store itself even if other hosts are selected as watchers.
	maxReplicaAge = 2500 * time.Millisecond
	// peerTTL is the time after which a host that no host has seen is removed.
	peerTTL = 3 * time.Minute
	// A host counts as live if it was last seen within liveWindow and
	// liveWindowPerHost for each known host: the more hosts there are, the less
	// often digests name each of them.
	liveWindow        = 5 * time.Second
	liveWindowPerHost = 100 * time.Millisecond
	// unresponsiveAfter is the time since a host was last seen after which the
	// status lists it as unresponsive (key silent).
	unresponsiveAfter = time.Minute
	// maxDigestSize is the maximum size of a digest in bytes, so that it fits a
	// datagram.
	maxDigestSize = 1200
	// digestOverhead is the maximum size in bytes of a digest without items, and
	// itemOverhead that of an item without its key and value.
	digestOverhead = 420
	itemOverhead   = 60
	// maxPinsPerDigest is the maximum number of pins in a digest.
	maxPinsPerDigest = 8
	// maxKnownHosts is the maximum number of other hosts that a digest names, and
	// maxBroadcastKnownHosts that of a broadcast digest. If fewer hosts are
	// known, a digest names one plus one for each peersPerKnownHost of them.
	maxKnownHosts          = 8
	maxBroadcastKnownHosts = 1
	peersPerKnownHost      = 8
	// maxStateSize is the maximum size in bytes of a JSON response of a peer.
	maxStateSize = 64 << 20
	// fetchTimeout is the timeout of a fetch from a peer.
	fetchTimeout = time.Second
	// announceTTL is the TTL of a host's record in the store, and
	// announceInterval the interval at which a host checks whether the store has
	// enough records.
	announceTTL      = 10 * time.Minute
	announceInterval = 2 * time.Minute
	// firstAnnounceDelay is the minimum delay of the first check after the start,
	// by which hosts that started at the same time know each other. A random delay
	// of up to firstAnnounceSpread is added.
	firstAnnounceDelay  = 4 * time.Second
	firstAnnounceSpread = 2 * time.Second
	// hostRecordPrefix is the prefix of the keys of hosts' records.
	hostRecordPrefix = "hosts/"
)

// peer holds the state of another host.
type peer struct {
	id      uint64
	address netip.AddrPort
	// lastSeen is the latest known time at which any host received a message of
	// the peer. It is assumed for a peer that is known only as a seed or from its
	// record in the store.
	lastSeen time.Duration
	// dataCentre is empty until it is known.
	dataCentre string
	// name and revision are those of its latest digest; empty before the first.
	name     string
	revision uint64
	// instance identifies the process that sent the latest digest.
	instance uint64
	// unready is set if the latest digest reported that the host is not ready.
	unready bool
	// heard is set once this process has received a digest directly from the host.
	heard bool
	// nextGreeting is the earliest time of the next greeting, and greetingInterval
	// the interval before it.
	nextGreeting, greetingInterval time.Duration
}

// peers holds the other hosts and exchanges digests with them. It belongs to
// the control loop.
type peers struct {
	host     *Host
	conn     *net.UDPConn
	gossip   *gossip.Machine
	watchers *gossip.WatcherSelector
	// isWatcher is set while this host is selected to watch the store for others.
	isWatcher bool
	// coordinator decides when this host may report that it is not ready.
	coordinator *drain.Coordinator
	// self is the ID of this host.
	self uint64
	// byID holds the other hosts by their IDs. sortedIDs holds their IDs in
	// ascending order, and idsByDataCentre the IDs by data centre in any order.
	byID            map[uint64]*peer
	sortedIDs       []uint64
	idsByDataCentre map[string][]uint64
	// pendingPins are to be sent to the hosts that routers may move flows to.
	pendingPins []steer.Pin
	// pinReceivers holds, by their IDs, the hosts that wait for the pins of all
	// flows.
	pinReceivers map[uint64]pinSet
	// pendingBroadcasts holds, by origin, the latest broadcast that this host
	// forwards once its replica has caught up.
	pendingBroadcasts map[string]*broadcast
	nextDigest        time.Duration
	// repeatNotice is set until the notice that this host became ready has been
	// sent twice, since one datagram may be lost.
	repeatNotice bool
	retained     retainedQueries
	keptQueries  keptQueries
	// nextAnnounce is the time of the next check whether the store has enough
	// records of hosts.
	nextAnnounce time.Duration
	// recordWrittenAt is when this process last wrote it, 0 for never. rewriteRecord
	// makes the next check ignore it, since the store may have lost it.
	recordWrittenAt time.Duration
	rewriteRecord   bool
	membership      membership
}

// peerID returns the ID of the host with a peer address.
func peerID(a netip.AddrPort) uint64 { return rendez.Hash(a.String()) }

func newPeers(h *Host, conn *net.UDPConn) *peers {
	self := peerID(h.settings.PeerAddress)
	p := &peers{
		host: h, conn: conn, self: self, byID: map[uint64]*peer{}, idsByDataCentre: map[string][]uint64{},
		pinReceivers: map[uint64]pinSet{}, pendingBroadcasts: map[string]*broadcast{}, membership: newMembership(self),
		nextAnnounce: firstAnnounceDelay + rand.N(firstAnnounceSpread),
		gossip:       gossip.New(self, gossip.Settings{FetchTimeout: fetchTimeout}, rand.New(rand.NewPCG(rand.Uint64(), self))),
		watchers:     gossip.NewWatcherSelector(self, gossip.WatcherSelectorSettings{}),
		coordinator:  drain.NewCoordinator(self, drain.Settings{MaxWait: max(unreadyPollInterval, h.settings.ShutdownTimeout-minDrainTime-drainIdleTime-shutdownMargin)}),
	}
	for _, a := range h.settings.Seeds {
		p.observeHost(0, a, "", 0)
	}
	p.updateHostLists()
	return p
}

// observeHost records that a host was seen at seenAt, which may be in the past.
// It reports whether the host or its data centre is new. It ignores this host
// and sightings that are older than peerTTL.
func (p *peers) observeHost(now time.Duration, a netip.AddrPort, dataCentre string, seenAt time.Duration) bool {
	if a == p.host.settings.PeerAddress || !a.Addr().Is4() || a.Port() == 0 || now-seenAt >= peerTTL {
		return false
	}
	id := peerID(a)
	existing := p.byID[id]
	if existing == nil {
		p.byID[id] = &peer{id: id, address: a, dataCentre: dataCentre, lastSeen: seenAt}
		p.addRecent(now, id)
		return true
	}
	existing.lastSeen = max(existing.lastSeen, min(seenAt, now))
	if dataCentre == "" || existing.dataCentre == dataCentre {
		return false
	}
	existing.dataCentre = dataCentre
	return true
}

// handleDigest handles a digest of another host.
func (p *peers) handleDigest(now time.Duration, d *digest, c *control) {
	if err := d.validate(); err != nil {
		p.host.rejectMessage(d.From, err)
		return
	}
	a := netip.MustParseAddrPort(d.Address)
	if a == p.host.settings.PeerAddress {
		return
	}
	if p.observeHost(now, a, d.DataCentre, now) {
		p.updateHostLists()
	}
	p.addKnownHosts(now, d.KnownHosts)
	from := p.byID[peerID(a)]
	from.heard = true
	if d.Greeting != noGreeting {
		p.refreshFeeders(now, c)
		p.handleGreeting(now, from, d, c)
		return
	}
	if len(d.Pins) > 0 {
		p.host.receivePins(d.From, d.Pins)
	}
	if from.name == "" || from.instance != d.Instance {
		p.handleJoin(now, from, d, c)
	}
	from.name, from.revision, from.instance = d.From, d.Revision, d.Instance
	p.watchers.ObserveHost(now, from.id, d.Served)
	if d.DataCentre == p.host.settings.DataCentre {
		p.coordinator.RecordReport(now, from.id, d.Report)
	}
	p.observeReadiness(now, from, d.ReadyFor)
	origin := p.originID(d.Broadcast)
	if origin != 0 {
		p.watchers.ObserveHost(now, origin, true)
	}
	if own := c.replica.Version(); len(d.Items) > 0 && c.replica.Loaded() && own.Era == d.Era && own.Revision >= d.Since {
		c.applyUpdate(update{delta: &mirror.Delta{Version: d.version(), Items: d.Items}, source: d.From})
	}
	c.replica.ConfirmCurrent(d.version(), now-d.Age)
	c.refreshPublished(now)
	if origin != 0 {
		p.forwardBroadcast(now, d, c)
	}
	p.fetch(p.gossip.ObserveVersion(now, from.id, d.version()))
}

// handleJoin handles the first digest of a process of a host. If routers may move
// flows to it, it sends it the pins that it needs. If the host is in this data
// centre and that has few hosts, it answers with a digest, so that the hosts know
// each other at once.
func (p *peers) handleJoin(now time.Duration, from *peer, d *digest, c *control) {
	p.host.sampledLog.Info("peers: host joined", zap.String("peer", d.From), zap.Stringer("address", from.address), zap.Bool("restarted", from.name != ""))
	p.host.events.Add(event.Event{Kind: event.Joined, Peer: d.From})
	if p.mayTakeFlows(now, from) {
		p.sendPinsTo(from, ownPins)
	}
	if d.DataCentre == p.host.settings.DataCentre && len(p.idsByDataCentre[d.DataCentre]) <= maxDirectHosts {
		p.sendDigest(p.newDigest(now, c, maxKnownHosts), from.address)
	}
}

// announceVersion notifies peers of a new version of the replica. items are the
// changes after the version since, or nil if peers have to fetch them.
func (p *peers) announceVersion(now time.Duration, since mirror.Version, items []mirror.Item, c *control) {
	notify := p.gossip.SetVersion(c.replica.Version())
	p.forwardPendingBroadcasts(now, c)
	d := p.newDigest(now, c, maxBroadcastKnownHosts)
	d.Since, d.Items = since.Revision, items
	fits := len(items) > 0 && p.fitsDatagram(d)
	if p.isBroadcaster() && (fits || len(p.byID) > maxDirectHosts) {
		p.startBroadcast(d)
		return
	}
	// Peers that have to fetch the changes are notified a few at a time, so that
	// they do not all fetch from the same host at once. The others learn of the
	// version from the next digests.
	for _, id := range notify {
		p.sendDigest(d, p.byID[id].address)
	}
}

// tick does the periodic work. It decides whether this host watches the store,
// and sends the fetches, pins, digests and records that are due.
func (p *peers) tick(now time.Duration, c *control) {
	p.isWatcher = p.watchers.ShouldWatch(now, p.host.served.Load())
	shouldWatch := p.isWatcher || c.replica.Age(now) > maxReplicaAge
	if !p.host.shouldWatch.Swap(shouldWatch) && shouldWatch {
		select {
		case p.host.watchWake <- struct{}{}:
		default:
		}
	}
	p.fetch(p.gossip.Tick(now))
	p.queryRetainedState(now, c)
	p.queryKept(c)
	p.sendPins(now, c)
	p.greet(now, c)
	if p.updateMembership(now, c) {
		c.refreshPublished(now)
	}
	if p.repeatNotice {
		p.repeatNotice = false
		p.notifyReadiness(now, c)
	}
	if now >= p.nextDigest {
		p.sendDigests(now, c)
	}
	if now >= p.nextAnnounce && !p.host.storeUnavailable.Load() {
		p.announceRecord(now, c)
	}
}

// isBroadcaster reports whether this host sends broadcasts to all others: it is
// selected to watch the store for them, and the store serves it. Hosts that
// watch the store for another reason send none, since after a restart of all
// hosts each reads the store and their broadcasts would overload each other.
func (p *peers) isBroadcaster() bool { return p.isWatcher && p.host.served.Load() }

// sendDigests removes expired hosts, sends a broadcast or a digest to a few
// peers, and schedules the next one.
func (p *peers) sendDigests(now time.Duration, c *control) {
	p.removeExpired(now)
	if p.isBroadcaster() {
		p.nextDigest = now + broadcastInterval
		p.startBroadcast(p.newDigest(now, c, maxBroadcastKnownHosts))
		return
	}
	p.nextDigest = now + digestInterval
	d := p.newDigest(now, c, maxKnownHosts)
	for range min(digestFanout, len(p.byID)) {
		p.sendDigest(d, p.randomPeer().address)
	}
}

// removeExpired removes the hosts that have not been seen for peerTTL.
func (p *peers) removeExpired(now time.Duration) {
	before := len(p.byID)
	for id, other := range p.byID {
		if now-other.lastSeen > peerTTL {
			p.host.log.Info("peers: host expired", zap.String("peer", other.name), zap.Stringer("address", other.address))
			p.host.events.Add(event.Event{Kind: event.Lost, Peer: other.name, Cause: "no message for a long time"})
			delete(p.byID, id)
			p.coordinator.RemoveHost(id)
		}
	}
	if len(p.byID) < before {
		p.updateHostLists()
	}
}

// countLive returns the estimated number of other hosts that receive packets.
func (p *peers) countLive(now time.Duration) int {
	n := 0
	for _, other := range p.byID {
		if p.isLive(now, other) {
			n++
		}
	}
	return n
}

// randomPeer returns a random peer. There must be one.
func (p *peers) randomPeer() *peer { return p.byID[p.sortedIDs[rand.IntN(len(p.sortedIDs))]] }

// readLoop receives digests until the socket is closed.
func (p *peers) readLoop() {
	buf := make([]byte, 2*maxDigestSize)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if isClosed(err) {
			return
		}
		if err != nil {
			continue // The error of an earlier send.
		}
		var d digest
		if err := json.Unmarshal(buf[:n], &d); err != nil {
			p.host.rejectMessage(from.String(), err)
			continue
		}
		p.queueDigest(&d)
	}
}

// queueDigest passes a digest that was just read to the control loop. The time until
// that handles it adds to the age.
func (p *peers) queueDigest(d *digest) {
	arrivedAt := p.host.clock.earliestArrival(p.host.now())
	p.host.postToControl(func(c *control) {
		now := p.host.now()
		d.Age = min(max(0, d.Age), maxMessageAge) + now - arrivedAt
		p.handleDigest(now, d, c)
	})
}
