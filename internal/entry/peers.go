package entry

import (
	"cmp"
	"compress/gzip"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
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

// digest is what a host tells another in a datagram.
type digest struct {
	From       string `json:"from"`
	DataCentre string `json:"dataCentre"`
	Address    string `json:"address"`
	// Revision is that of the sender's replica, and Age how long ago the
	// sender knew that it was current.
	Revision uint64        `json:"revision"`
	Age      time.Duration `json:"age"`
	// Served tells that the store serves the sender.
	Served bool `json:"served,omitempty"`
	// Known are addresses of other hosts.
	Known []string `json:"known,omitempty"`
	// Since and Items are the changes from Since to Revision, if they fit.
	Since uint64        `json:"since,omitempty"`
	Items []mirror.Item `json:"items,omitempty"`
	// Pins are flows whose marks may be wrong.
	Pins []steer.Pin `json:"pins,omitempty"`
}

// hostRecord is what a host writes of itself to the store.
type hostRecord struct {
	Address string `json:"address"`
}

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
	known  map[uint64]*peer
	tellAt time.Duration
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

// fits reports whether a digest fits a datagram with its changes.
func (p *peers) fits(d *digest) bool {
	size := 0
	for _, i := range d.Items {
		size += len(i.Key) + base64.StdEncoding.EncodedLen(len(i.Value)) + itemOverhead
	}
	return size <= maxDigest-digestOverhead
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

// digest returns what this host knows.
func (p *peers) digest(now time.Duration, c *control) *digest {
	d := &digest{
		From: p.host.set.Name, DataCentre: p.host.set.DataCentre, Address: p.host.set.Peer.String(),
		Revision: c.replica.Revision(), Age: c.replica.Age(now), Served: p.host.served.Load(),
	}
	for range min(maxKnown, len(p.known)) {
		d.Known = append(d.Known, p.any().address.String())
	}
	return d
}

// send sends a digest, without its changes if they do not fit.
func (p *peers) send(d *digest, to netip.AddrPort) {
	if !p.fits(d) {
		short := *d
		short.Items, short.Since = nil, 0
		d = &short
	}
	b, err := json.Marshal(d)
	if err == nil {
		p.host.digestsSent.Add(1)
		_, err = p.conn.WriteToUDPAddrPort(b, to)
	}
	if err != nil {
		p.host.log.Debug("peers: a digest was not sent", zap.Stringer("peer", to), zap.Error(err))
	}
}

// fetch gets the state of a peer that is ahead.
func (p *peers) fetch(f *spread.Fetch) {
	if f == nil || p.known[f.Peer] == nil {
		return
	}
	go p.host.runFetch(*f, p.known[f.Peer].address)
}

// runFetch asks a peer for its state and hands it to the control loop.
func (h *Host) runFetch(f spread.Fetch, from netip.AddrPort) {
	started := h.now()
	h.fetches.Add(1)
	d, err := fetchState(h.client, from, h.revision.Load())
	h.post(func(c *control) {
		if err != nil {
			h.log.Warn("peers: a state was not fetched", zap.Stringer("peer", from), zap.Error(err))
			c.peers.machine.Failed(h.now(), f)
			return
		}
		c.take(update{delta: d, confirmed: d.Revision, at: started - d.Age, source: from.String()})
	})
}

// fetchState asks a host for what changed after a revision.
func fetchState(client *http.Client, from netip.AddrPort, revision uint64) (*mirror.Delta, error) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s/state?after=%d", from, revision)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, eris.Wrapf(err, "ask %s for its state", from)
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, eris.Wrapf(err, "ask %s for its state", from)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("ask %s for its state: status %d", from, resp.StatusCode)
	}
	var d mirror.Delta
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxState)).Decode(&d); err != nil {
		return nil, eris.Wrapf(err, "decode the state of %s", from)
	}
	return &d, nil
}

// stateHandler gives peers what changed after a revision.
func (h *Host) stateHandler(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after must be a revision", http.StatusBadRequest)
		return
	}
	var d mirror.Delta
	loaded := false
	h.call(func(c *control) {
		loaded = c.replica.Loaded()
		d = c.replica.Since(h.now(), after)
	})
	if !loaded {
		http.Error(w, "the host knows no state yet", http.StatusServiceUnavailable)
		return
	}
	h.writeCompressed(w, &d)
}

// writeCompressed writes a state, compressed; peers' clients decompress it.
func (h *Host) writeCompressed(w http.ResponseWriter, d *mirror.Delta) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", "gzip")
	z, err := gzip.NewWriterLevel(w, gzip.BestSpeed)
	if err == nil {
		err = json.NewEncoder(z).Encode(d)
	}
	if err == nil {
		err = z.Close()
	}
	if err != nil {
		h.log.Debug("peers: a state was not given", zap.Error(err))
	}
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

// announce writes the own record to the store, unless it is there, and learns
// of the hosts that the store names.
func (p *peers) announce(now time.Duration, c *control) {
	p.announceAt = now + announceEvery
	own := p.host.set.Peer.String()
	there := false
	var found []string
	c.replica.Items(func(i mirror.Item) {
		key, ok := p.host.set.Decoder.Own(i)
		if !ok || len(key) < len(hostRecords) || key[:len(hostRecords)] != hostRecords {
			return
		}
		var r hostRecord
		if err := json.Unmarshal(i.Value, &r); err != nil {
			p.host.log.Warn("peers: a host's record was not understood", zap.String("key", i.Key), zap.Error(err))
			return
		}
		there = there || r.Address == own
		found = append(found, r.Address)
	})
	for _, f := range slices.SortedFunc(slices.Values(found), cmp.Compare[string]) {
		if a, err := netip.ParseAddrPort(f); err == nil {
			p.learn(now, a)
		}
	}
	p.setHosts()
	if !there {
		go p.host.runAnnounce(hostRecord{Address: own})
	}
}

// runAnnounce writes the host's record to the store.
func (h *Host) runAnnounce(r hostRecord) {
	value, err := json.Marshal(&r)
	if err == nil {
		h.storeCalls.Add(2)
		err = h.set.Store.Announce(context.Background(), hostRecords+h.set.Name, value, announceTTL)
	}
	if err != nil {
		h.log.Warn("peers: the host's record was not written", zap.Error(err))
	}
}
