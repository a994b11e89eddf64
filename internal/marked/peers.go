package marked

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
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
	// peerTick is how often a host looks at what it owes its peers.
	peerTick = 200 * time.Millisecond
	// watcherDigests is how often a host that the store serves tells all
	// others what it knows, and otherDigests how often another tells a few.
	watcherDigests = 400 * time.Millisecond
	otherDigests   = time.Second
	// otherFanout is how many peers a host tells that the store does not
	// serve.
	otherFanout = 2
	// maxAge is how old a replica may get before its host watches the store
	// whatever the others do.
	maxAge = 2500 * time.Millisecond
	// forgetPeer is how long a host stays known of which nobody heard.
	forgetPeer = 3 * time.Minute
	// liveFor and livePerHost, for each host that is known, are how long ago
	// others have heard of a host that shares the servers: the more hosts there
	// are, the more rarely each is named.
	liveFor     = 5 * time.Second
	livePerHost = 100 * time.Millisecond
	// staleDigest is how long nobody heard of a host when operators are told
	// that it is silent.
	staleDigest = time.Minute
	// maxDigest bounds a digest in bytes, so that it fits a datagram.
	maxDigest = 1200
	// digestOverhead and itemOverhead are what a digest and an item take in
	// bytes beside their keys and values, at most.
	digestOverhead = 420
	itemOverhead   = 60
	// maxPins is how many flows' pins a digest tells.
	maxPins = 8
	// digestKnown is how many other hosts a digest names at most, and
	// roundKnown how many one names that goes to all. Where there are few hosts,
	// a digest names one for each hostsPerKnown.
	digestKnown   = 8
	roundKnown    = 1
	hostsPerKnown = 8
	// maxState bounds the state of a peer, in bytes.
	maxState = 64 << 20
	// fetchTimeout bounds the fetch of a state from a peer.
	fetchTimeout = time.Second
	// announceTTL is how long a host's record stays in the store, and
	// announceEvery how often it is looked whether it is still there.
	announceTTL   = 10 * time.Minute
	announceEvery = 2 * time.Minute
	// firstAnnounce is when a host looks first after its start.
	firstAnnounce = 2 * time.Second
	// hostRecords begins the keys of the hosts' records.
	hostRecords = "hosts/"
)

// peer is another host.
type peer struct {
	id      uint64
	address netip.AddrPort
	// heardAt is when this host or one that told it heard of the peer last.
	heardAt time.Duration
	// dataCentre is empty while nobody said it.
	dataCentre string
	// name and revision are what its latest digest said.
	name     string
	revision uint64
}

// peers belongs to the control loop.
type peers struct {
	host *Host
	// log is bounded, for lines of which there may be one for each host.
	log      *zap.Logger
	conn     *net.UDPConn
	machine  *gossip.Machine
	watchers *gossip.WatcherSelector
	// turn tells that it is this host's turn to watch the store for others.
	turn bool
	// queue tells when this host may leave.
	queue *drain.Coordinator
	// self is the own ID.
	self uint64
	// known holds the other hosts by the hash of their address, ids their
	// hashes in order, and centres the same by data centre.
	known   map[uint64]*peer
	ids     []uint64
	centres map[string][]uint64
	// pins are to be told to the own data centre.
	pins []steer.Pin
	// waiting holds the latest round of each origin that is to be handed on
	// when this host has caught up.
	waiting  map[string]*round
	tellAt   time.Duration
	recalled recall
	// announceAt is when the own record is looked for in the store.
	announceAt time.Duration
}

// peerID names a host among its peers.
func peerID(a netip.AddrPort) uint64 { return rendez.Hash(a.String()) }

func newPeers(h *Host, conn *net.UDPConn) *peers {
	self := peerID(h.set.PeerAddress)
	p := &peers{
		host: h, log: sampled(h.log, unusualLines), conn: conn, self: self, known: map[uint64]*peer{}, centres: map[string][]uint64{}, waiting: map[string]*round{},
		announceAt: firstAnnounce + rand.N(firstAnnounce),
		machine:    gossip.New(self, gossip.Settings{FetchTimeout: fetchTimeout}, rand.New(rand.NewPCG(rand.Uint64(), self))),
		watchers:   gossip.NewWatcherSelector(self, gossip.WatcherSelectorSettings{}),
		queue:      drain.NewCoordinator(self, drain.Settings{MaxWait: max(turnStep, h.set.ShutdownTimeout-leaveFor-quietFor-stopMargin)}),
	}
	for _, a := range h.set.Seeds {
		p.learn(0, a, "", 0)
	}
	p.setHosts()
	return p
}

// learn notes that a host was heard of at a time, which may lie back, and
// reports whether something new is known of it.
func (p *peers) learn(now time.Duration, a netip.AddrPort, dataCentre string, heardAt time.Duration) bool {
	if a == p.host.set.PeerAddress || !a.IsValid() || now-heardAt >= forgetPeer {
		return false
	}
	id := peerID(a)
	known := p.known[id]
	if known == nil {
		p.known[id] = &peer{id: id, address: a, dataCentre: dataCentre, heardAt: heardAt}
		return true
	}
	known.heardAt = max(known.heardAt, min(heardAt, now))
	if dataCentre == "" || known.dataCentre == dataCentre {
		return false
	}
	known.dataCentre = dataCentre
	return true
}

// heard takes a digest of another host.
func (p *peers) heard(now time.Duration, d *digest, c *control) {
	a, err := netip.ParseAddrPort(d.Address)
	if err != nil || a == p.host.set.PeerAddress {
		return
	}
	d.Age = max(0, d.Age) // A replica cannot be current in the future.
	changed := p.learn(now, a, d.DataCentre, now)
	for _, k := range d.Known {
		if other, err := netip.ParseAddrPort(k.Address); err == nil {
			changed = p.learn(now, other, k.DataCentre, now-max(0, k.Age)) || changed
		}
	}
	if changed {
		p.setHosts()
	}
	from := p.known[peerID(a)]
	if len(d.Pins) > 0 {
		p.host.traffic.hear(d.Pins)
	}
	if from.name == "" {
		p.joined(now, a, d, c)
	}
	from.name, from.revision = d.From, d.Revision
	p.watchers.ObserveHost(now, from.id, d.Served)
	if d.DataCentre == p.host.set.DataCentre {
		p.queue.RecordReport(now, from.id, d.Report)
		if d.ReadyFor > 0 && d.ReadyFor < joinFor {
			p.host.traffic.unsettledEnd.Store(int64(now + joinFor - d.ReadyFor))
		}
	}
	origin := p.originOf(d.Round)
	if origin != 0 {
		p.watchers.ObserveHost(now, origin, true)
	}
	if len(d.Items) > 0 && c.replica.Loaded() && c.replica.Revision() >= d.Since {
		c.take(update{delta: &mirror.Delta{Revision: d.Revision, Items: d.Items}, source: d.From})
	}
	c.replica.ConfirmCurrent(d.Revision, now-d.Age)
	c.publish(now)
	if origin != 0 {
		p.handOn(now, d, c)
	}
	p.fetch(p.machine.ObserveRevision(now, from.id, d.Revision))
}

// joined greets a host whose first digest came.
func (p *peers) joined(now time.Duration, a netip.AddrPort, d *digest, c *control) {
	p.log.Info("peers: host joined", zap.String("peer", d.From), zap.Stringer("address", a))
	p.host.events.Add(event.Event{Kind: event.Joined, Peer: d.From})
	if d.DataCentre == p.host.set.DataCentre {
		p.host.traffic.wanted.Store(true)
		if len(p.centres[d.DataCentre]) <= directHosts {
			p.send(p.digest(now, c, digestKnown), a)
		}
	}
}

// adopted tells peers of a change that this host has put in force.
func (p *peers) adopted(now time.Duration, since uint64, items []mirror.Item, c *control) {
	notify := p.machine.SetRevision(c.replica.Revision())
	p.handOnWaiting(now, c)
	d := p.digest(now, c, roundKnown)
	d.Since, d.Items = since, items
	fits := len(items) > 0 && p.fits(d)
	if p.tellsAll() && (fits || len(p.known) > directHosts) {
		p.beginRound(d)
		return
	}
	// Peers that have to fetch are told by a few, so that not all of them ask
	// the same host at once; the others hear of it by the next digests.
	for _, id := range notify {
		p.send(d, p.known[id].address)
	}
}

// tellCentre tells the hosts of this data centre what this one says of itself.
// Where there are many, one that leaves matters to nobody, and few are told.
func (p *peers) tellCentre(now time.Duration, c *control) {
	d := p.digest(now, c, 0)
	hosts := p.centres[p.host.set.DataCentre]
	first := rand.IntN(len(hosts) + 1)
	for i := range min(len(hosts), directHosts) {
		p.send(d, p.known[hosts[(first+i)%len(hosts)]].address)
	}
}

// tellPins tells the other hosts of this data centre the pins of flows that
// gathered since the last time, a few in a datagram: the routers move flows
// between these.
func (p *peers) tellPins(now time.Duration, c *control) {
	pins := p.pins
	p.pins = nil
	for some := range slices.Chunk(pins, maxPins) {
		d := p.digest(now, c, 0)
		d.Pins = some
		for _, id := range p.centres[p.host.set.DataCentre] {
			p.send(d, p.known[id].address)
		}
	}
}

// tick does what is due.
func (p *peers) tick(now time.Duration, c *control) {
	p.turn = p.watchers.ShouldWatch(now, p.host.served.Load())
	turn := p.turn || c.replica.Age(now) > maxAge
	if !p.host.watch.Swap(turn) && turn {
		select {
		case p.host.turn <- struct{}{}:
		default:
		}
	}
	p.fetch(p.machine.Tick(now))
	p.recall(now, c)
	p.tellPins(now, c)
	if now >= p.tellAt {
		p.tell(now, c)
	}
	if now >= p.announceAt && !p.host.storeAway.Load() {
		p.announce(now, c)
	}
}

// tellsAll reports whether it is for this host to tell all others: it watches the
// store for them, which serves it. Hosts that have just started all read the
// store and tell nobody, or they would choke each other.
func (p *peers) tellsAll() bool { return p.turn && p.host.served.Load() }

// tell sends the digests that are due.
func (p *peers) tell(now time.Duration, c *control) {
	p.forget(now)
	if p.tellsAll() {
		p.tellAt = now + watcherDigests
		p.beginRound(p.digest(now, c, roundKnown))
		return
	}
	p.tellAt = now + otherDigests
	d := p.digest(now, c, digestKnown)
	for range min(otherFanout, len(p.known)) {
		p.send(d, p.any().address)
	}
}

// forget drops hosts of which nobody heard for long.
func (p *peers) forget(now time.Duration) {
	before := len(p.known)
	for id, other := range p.known {
		if now-other.heardAt > forgetPeer {
			p.host.log.Info("peers: host forgotten", zap.String("peer", other.name), zap.Stringer("address", other.address))
			p.host.events.Add(event.Event{Kind: event.Lost, Peer: other.name, Cause: "no message for a long time"})
			delete(p.known, id)
			p.queue.RemoveHost(id)
		}
	}
	if len(p.known) < before {
		p.setHosts()
	}
}

// live returns how many other hosts take packets, as far as is known: those of
// which this process has heard, and not too long ago.
func (p *peers) live(now time.Duration) int {
	since := now - liveFor - time.Duration(len(p.known))*livePerHost
	n := 0
	for _, other := range p.known {
		if other.heardAt > max(0, since) {
			n++
		}
	}
	return n
}

// any returns some peer; there must be one.
func (p *peers) any() *peer { return p.known[p.ids[rand.IntN(len(p.ids))]] }

// readLoop takes digests until the socket is closed.
func (p *peers) readLoop() {
	buf := make([]byte, 2*maxDigest)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if isClosed(err) {
			return
		}
		if err != nil {
			continue // An error of an earlier send.
		}
		var d digest
		if err := json.Unmarshal(buf[:n], &d); err != nil {
			p.host.log.Warn("peers: a datagram was not understood", zap.Stringer("peer", from), zap.Error(err))
			continue
		}
		p.host.post(func(c *control) { p.heard(p.host.now(), &d, c) })
	}
}
