package entry

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"lagoonramp.org/lagoonramp/internal/event"
	"lagoonramp.org/lagoonramp/pkg/mirror"
	"lagoonramp.org/lagoonramp/pkg/rendez"
	"lagoonramp.org/lagoonramp/pkg/spread"
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
	// forgetPeer is how long a host without a message stays known.
	forgetPeer = 2 * time.Minute
	// staleDigest is the age of a host's latest digest above which operators
	// are told that the host is silent.
	staleDigest = 15 * time.Second
	// maxDigest bounds a digest in bytes, so that it fits a datagram.
	maxDigest = 1200
	// digestOverhead and itemOverhead are what a digest and an item take in
	// bytes beside their keys and values, at most.
	digestOverhead = 300
	itemOverhead   = 60
	// maxPins is how many flows' pins a digest tells.
	maxPins = 8
	// maxKnown is how many other hosts a digest names.
	maxKnown = 3
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
	heardAt time.Duration
	// name, dataCentre and revision are what its latest digest said.
	name, dataCentre string
	revision         uint64
}

// peers belongs to the control loop.
type peers struct {
	host     *Host
	conn     *net.UDPConn
	machine  *spread.Machine
	watchers *spread.Watchers
	// known holds the other hosts by the hash of their address.
	known    map[uint64]*peer
	tellAt   time.Duration
	recalled recall
	// announceAt is when the own record is looked for in the store.
	announceAt time.Duration
}

// peerID names a host among its peers.
func peerID(a netip.AddrPort) uint64 { return rendez.Hash(a.String()) }

func newPeers(h *Host, conn *net.UDPConn) *peers {
	self := peerID(h.set.Peer)
	p := &peers{
		host: h, conn: conn, known: map[uint64]*peer{}, announceAt: firstAnnounce + rand.N(firstAnnounce),
		machine:  spread.New(self, spread.Settings{FetchTimeout: fetchTimeout}, rand.New(rand.NewPCG(rand.Uint64(), self))),
		watchers: spread.NewWatchers(self, spread.WatchersSettings{}),
	}
	for _, a := range h.set.Seeds {
		p.learn(0, a)
	}
	p.setHosts()
	return p
}

// learn notes another host and reports whether it is new.
func (p *peers) learn(now time.Duration, a netip.AddrPort) bool {
	id := peerID(a)
	if a == p.host.set.Peer || !a.IsValid() || p.known[id] != nil {
		return false
	}
	p.known[id] = &peer{id: id, address: a, heardAt: now}
	return true
}

func (p *peers) setHosts() {
	ids := []uint64{peerID(p.host.set.Peer)}
	for id := range p.known {
		ids = append(ids, id)
	}
	p.machine.SetHosts(ids)
	p.watchers.SetHosts(ids)
}

// heard takes a digest of another host.
func (p *peers) heard(now time.Duration, d *digest, c *control) {
	a, err := netip.ParseAddrPort(d.Address)
	if err != nil || a == p.host.set.Peer {
		return
	}
	changed := p.learn(now, a)
	for _, k := range d.Known {
		if other, err := netip.ParseAddrPort(k); err == nil {
			changed = p.learn(now, other) || changed
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
		if d.DataCentre == p.host.set.DataCentre {
			p.host.traffic.wanted.Store(true)
		}
		p.host.log.Info("peers: host joined", zap.String("peer", d.From), zap.Stringer("address", a))
		p.host.events.Add(event.Event{Kind: event.Joined, Peer: d.From})
	}
	from.heardAt, from.name, from.dataCentre, from.revision = now, d.From, d.DataCentre, d.Revision
	p.watchers.Heard(now, from.id, d.Served)
	if len(d.Items) > 0 && c.replica.Loaded() && c.replica.Revision() >= d.Since {
		c.take(update{delta: &mirror.Delta{Revision: d.Revision, Items: d.Items}, source: d.From})
	}
	c.replica.Confirm(d.Revision, now-d.Age)
	c.publish(now)
	p.fetch(p.machine.Heard(now, from.id, d.Revision))
}

// adopted tells peers of a change that this host has put in force.
func (p *peers) adopted(now time.Duration, since uint64, items []mirror.Item, c *control) {
	notify := p.machine.Adopted(c.replica.Revision())
	d := p.digest(now, c)
	d.Since, d.Items = since, items
	if len(items) > 0 && p.fits(d) && p.host.served.Load() {
		p.tellAll(now, d)
		return
	}
	// Peers that have to fetch are told by a few, so that not all of them ask
	// the same host at once; the others hear of it by the next digests.
	for _, id := range notify {
		p.send(d, p.known[id].address)
	}
}

// tellPins tells the other hosts of this data centre the pins of flows, a few
// in a datagram: the routers move flows between these.
func (p *peers) tellPins(now time.Duration, pins []steer.Pin, c *control) {
	for some := range slices.Chunk(pins, maxPins) {
		d := p.digest(now, c)
		d.Known = nil
		d.Pins = some
		for _, other := range p.known {
			if other.dataCentre == p.host.set.DataCentre {
				p.send(d, other.address)
			}
		}
	}
}

// tick does what is due.
func (p *peers) tick(now time.Duration, c *control) {
	turn := p.watchers.Watches(now, p.host.served.Load())
	if turn = turn || c.replica.Age(now) > maxAge; !p.host.watch.Swap(turn) && turn {
		select {
		case p.host.turn <- struct{}{}:
		default:
		}
	}
	p.fetch(p.machine.Tick(now))
	p.recall(now, c)
	if now >= p.tellAt {
		p.tell(now, c)
	}
	if now >= p.announceAt && !p.host.storeAway.Load() {
		p.announce(now, c)
	}
}

// tell sends the digests that are due.
func (p *peers) tell(now time.Duration, c *control) {
	d := p.digest(now, c)
	if p.host.served.Load() {
		p.tellAt = now + watcherDigests
		p.tellAll(now, d)
		return
	}
	p.tellAt = now + otherDigests
	for range min(otherFanout, len(p.known)) {
		p.send(d, p.any().address)
	}
}

func (p *peers) tellAll(now time.Duration, d *digest) {
	for id, other := range p.known {
		if now-other.heardAt > forgetPeer {
			p.host.log.Info("peers: host forgotten", zap.String("peer", other.name), zap.Stringer("address", other.address))
			p.host.events.Add(event.Event{Kind: event.Lost, Peer: other.name, Cause: "no message for a long time"})
			delete(p.known, id)
			continue
		}
		p.send(d, other.address)
	}
}

// any returns some peer; there must be one.
func (p *peers) any() *peer {
	ids := make([]uint64, 0, len(p.known))
	for id := range p.known {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return p.known[ids[rand.IntN(len(ids))]]
}

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
