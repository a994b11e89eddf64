package host

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"lagoonramp.org/lagoonramp/internal/event"
	"lagoonramp.org/lagoonramp/internal/peer"
	"lagoonramp.org/lagoonramp/internal/wire"
	"lagoonramp.org/lagoonramp/pkg/flow"
	"lagoonramp.org/lagoonramp/pkg/gossip"
	"lagoonramp.org/lagoonramp/pkg/memb"
	"lagoonramp.org/lagoonramp/pkg/once"
	"lagoonramp.org/lagoonramp/pkg/slots"
)

const (
	// controlInterval is the interval between ticks of the control loop.
	controlInterval = 50 * time.Millisecond
	// soleHostDelay is how long a joining host that finds no other host waits
	// before it becomes active as the only one.
	soleHostDelay = 3 * time.Second
	// recoveryWindow is how long a dead host stays in the Lost list of the view,
	// so that its flows can be recovered.
	recoveryWindow = 10 * time.Minute
)

// view is the membership as the data path uses it. It is immutable.
type view struct {
	flow *flow.View
	// peerAddresses holds the addresses of the other hosts by ID.
	peerAddresses map[uint64]netip.AddrPort
	// names holds the names of the hosts by ID.
	names map[uint64]string
	// dedupPeers holds the hosts that count as replicas of idempotency keys.
	dedupPeers []dedupPeer
}

// dedupPeer is a replica of idempotency keys with the wall time at which the host
// was first seen.
type dedupPeer struct {
	peer      once.Peer
	firstSeen time.Time
}

// controlLoop runs the queued functions and the ticks until ctx is done. It owns
// h.control.
func (h *Host) controlLoop(ctx context.Context) {
	t := time.NewTicker(controlInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-h.controlCalls:
			f()
		case <-t.C:
			h.tick()
		}
		h.publishChanges()
	}
}

// now returns the time since the start of the host.
func (h *Host) now() time.Duration { return time.Since(h.started) }

// tick advances the state machines and performs the actions whose time has come.
func (h *Host) tick() {
	c := &h.control
	h.sendMemberMessages(c.memb.Tick(h.now()))
	h.startFetch(c.gossip.Tick(h.now()))
	if !c.rebuildAt.IsZero() && time.Now().After(c.rebuildAt) {
		c.rebuildAt = time.Time{}
		h.rebuildRoutes()
	}
	if c.memb.Self().Joining && h.mayBecomeActive() {
		c.memb.SetJoining(false)
		h.events.Add(event.Event{Kind: event.Ready})
	}
	if !c.recordsLostUntil.IsZero() && time.Now().After(c.recordsLostUntil) {
		c.recordsLostUntil = time.Time{}
		h.recordsLost.Store(false)
		c.memb.SetStateLost(false)
	}
}

// mayBecomeActive reports whether a joining host may own flows: its member list
// equals that of another host, and no live host has a newer configuration. A host
// that finds no other host becomes active after soleHostDelay.
func (h *Host) mayBecomeActive() bool {
	c := &h.control
	others := 0
	for _, m := range c.memb.Members() {
		if m.Health != memb.Alive && m.Health != memb.Suspect {
			continue
		}
		others++
		if c.memb.AppVersion(m.Name) > c.adopter.Revision() {
			return false
		}
	}
	if others == 0 {
		return h.now() > soleHostDelay
	}
	return c.memb.InSync()
}

// publishChanges records the membership events and publishes the membership if
// it changed.
func (h *Host) publishChanges() {
	c := &h.control
	for _, e := range c.memb.Events() {
		h.recordMemberEvent(e)
	}
	if g := c.memb.Generation(); g != c.generation {
		c.generation = g
		h.publishView()
		h.rebuildRoutes()
	}
}

// recordMemberEvent updates firstSeen and lostAt, and records the change of
// another host as an event.
func (h *Host) recordMemberEvent(e memb.Event) {
	c := &h.control
	m := e.Member
	now := time.Now()
	kind := event.Joined
	switch m.Health {
	case memb.Dead:
		kind = event.Lost
		c.lostAt[m.Name] = now
	case memb.Left:
		kind = event.Left
		delete(c.firstSeen, m.Name)
	default:
		delete(c.lostAt, m.Name)
		if _, ok := c.firstSeen[m.Name]; !ok {
			c.firstSeen[m.Name] = now
		}
		if m.Leaving {
			kind = event.Leaving
		}
	}
	h.events.Add(event.Event{Kind: kind, Peer: m.Name})
	h.log.Info("memb: state of a host changed", zap.String("peer", m.Name), zap.String("health", m.Health.String()), zap.Bool("leaving", m.Leaving))
}

// publishView builds a view from the member list and publishes it to the data
// path.
func (h *Host) publishView() {
	c := &h.control
	v := &view{
		flow:          &flow.View{Self: h.id},
		peerAddresses: map[uint64]netip.AddrPort{},
		names:         map[uint64]string{h.id: h.settings.Name},
	}
	self := c.memb.Self()
	live := []uint64{h.id}
	h.addToView(v, &self)
	for _, m := range c.memb.Members() {
		if m.Health == memb.Seeded {
			continue
		}
		v.names[m.ID()] = m.Name
		if a, err := netip.ParseAddrPort(m.Address); err == nil {
			v.peerAddresses[m.ID()] = a
		}
		h.addToView(v, &m)
		if m.Health == memb.Alive || m.Health == memb.Suspect {
			live = append(live, m.ID())
		}
	}
	slices.Sort(v.flow.Active)
	slices.Sort(v.flow.Leaving)
	slices.Sort(v.flow.Lost)
	slices.Sort(live)
	c.gossip.SetHosts(live)
	h.watching.Store(c.gossip.ShouldWatch())
	h.view.Store(v)
}

// addToView adds a member to the host lists and the dedupPeers of v.
func (h *Host) addToView(v *view, m *memb.Member) {
	c := &h.control
	id := m.ID()
	p := once.Peer{ID: id, Ineligible: m.Leaving || m.Joining, RecordsLost: m.StateLost}
	firstSeen := c.firstSeen[m.Name]
	if id == h.id {
		firstSeen = h.started
	}
	switch {
	case m.Health == memb.Alive || m.Health == memb.Suspect:
		switch {
		case m.Leaving:
			v.flow.Leaving = append(v.flow.Leaving, id)
		case !m.Joining:
			v.flow.Active = append(v.flow.Active, id)
		}
	case m.Health == memb.Dead && time.Since(c.lostAt[m.Name]) < recoveryWindow:
		v.flow.Lost = append(v.flow.Lost, id)
		p.Lost = true
	case m.Health == memb.Dead || m.Health == memb.Left && m.StateLost:
		p.Lost = true
	default:
		return // The host left after it handed over its records.
	}
	v.dedupPeers = append(v.dedupPeers, dedupPeer{peer: p, firstSeen: firstSeen})
}

// sendMemberMessages seals and sends membership messages.
func (h *Host) sendMemberMessages(envelopes []memb.Envelope) {
	for _, s := range envelopes {
		to, err := netip.ParseAddrPort(s.Address)
		if err != nil {
			continue
		}
		h.sendControl(to, peer.KindMember, s.Message)
	}
}

// sendControl seals and sends a value as JSON. It must be called from the control
// loop.
func (h *Host) sendControl(to netip.AddrPort, kind peer.Kind, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic("host: cannot encode a control message: " + err.Error())
	}
	b := h.control.sealer.Seal(nil, kind, body)
	h.metrics.GetOrCreateCounter(`lagoonramp_control_sent_bytes_total`).Add(len(b))
	_, _ = h.peerConn.WriteToUDPAddrPort(b, to)
}

// handleControl handles a control datagram. It is called from the goroutine that
// reads the peer socket.
func (h *Host) handleControl(header peer.Header, payload []byte) {
	h.metrics.GetOrCreateCounter(`lagoonramp_control_received_bytes_total`).Add(len(payload) + peer.Overhead)
	switch header.Kind {
	case peer.KindMember:
		m := &memb.Message{}
		if err := json.Unmarshal(payload, m); err != nil || m.From.ID() != header.From {
			h.metrics.GetOrCreateCounter(`lagoonramp_peer_malformed_total`).Inc()
			return
		}
		h.postControl(func() { h.handleMemberMessage(header.From, m) })
	case peer.KindNotice:
		var n wire.RevisionNotice
		if json.Unmarshal(payload, &n) == nil {
			h.postControl(func() { h.startFetch(h.control.gossip.ObserveRevision(h.now(), header.From, n.Revision)) })
		}
	case peer.KindSlots:
		m := &slots.Message{}
		if json.Unmarshal(payload, m) == nil && m.From == header.From && m.To == h.id {
			if s := h.routes.Load().httpByID[m.Service]; s != nil {
				s.HandleSlotMessage(m)
			}
		}
	}
}

// handleMemberMessage passes a membership message to the membership and the
// revision that it carries to the gossip machine.
func (h *Host) handleMemberMessage(from uint64, m *memb.Message) {
	c := &h.control
	h.sendMemberMessages(c.memb.Receive(h.now(), m))
	h.startFetch(c.gossip.ObserveRevision(h.now(), from, m.AppVersion))
}

// sendSlotMessage seals and sends a slot message. It may be called from any
// goroutine.
func (h *Host) sendSlotMessage(m slots.Message) {
	to, ok := h.view.Load().peerAddresses[m.To]
	if !ok {
		return
	}
	body, err := json.Marshal(m)
	if err != nil {
		panic("host: cannot encode a slot message: " + err.Error())
	}
	h.slotsMu.Lock()
	b := h.slotsSealer.Seal(nil, peer.KindSlots, body)
	h.slotsMu.Unlock()
	h.metrics.GetOrCreateCounter(`lagoonramp_control_sent_bytes_total`).Add(len(b))
	_, _ = h.peerConn.WriteToUDPAddrPort(b, to)
}

// announceLeft notifies the other hosts that this host has left.
func (h *Host) announceLeft() {
	h.callControl(func() { h.sendMemberMessages(h.control.memb.AnnounceLeft()) })
}

// startFetch starts to fetch a configuration from a peer in the background. It
// does nothing if f is nil.
func (h *Host) startFetch(f *gossip.Fetch) {
	if f == nil {
		return
	}
	addr, ok := h.view.Load().peerAddresses[f.Peer]
	if !ok {
		h.control.gossip.FetchFailed(h.now(), *f)
		return
	}
	have := h.bodyDigests()
	go h.fetchConfig(*f, addr.String(), have)
}

// Self implements httplb.Cluster.
func (h *Host) Self() uint64 { return h.id }

// RecordsLost implements httplb.Cluster.
func (h *Host) RecordsLost() bool { return h.recordsLost.Load() }

// Peers implements httplb.Cluster.
func (h *Host) Peers(epoch time.Time) []once.Peer {
	v := h.view.Load()
	out := make([]once.Peer, len(v.dedupPeers))
	for i, p := range v.dedupPeers {
		out[i] = p.peer
		out[i].FirstSeen = p.firstSeen.Sub(epoch)
	}
	return out
}

// Address implements httplb.Cluster.
func (h *Host) Address(id uint64) (string, bool) {
	if id == h.id {
		return h.settings.Peer, true
	}
	a, ok := h.view.Load().peerAddresses[id]
	return a.String(), ok
}
