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
	controlTick = 50 * time.Millisecond
	// aloneAfter is how long a host that hears of nobody waits before it
	// takes itself for the only one.
	aloneAfter = 3 * time.Second
	// rememberLost is how long a dead host counts for recovery.
	rememberLost = 10 * time.Minute
)

// view is the membership as the traffic sees it. It is immutable.
type view struct {
	flow  *flow.View
	peers map[uint64]netip.AddrPort
	// names holds the names of the hosts by ID.
	names map[uint64]string
	once  []oncePeer
}

// oncePeer is a host with its wall time of first sight.
type oncePeer struct {
	peer  once.Peer
	since time.Time
}

// controlLoop owns the control state until the context ends.
func (h *Host) controlLoop(ctx context.Context) {
	t := time.NewTicker(controlTick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-h.do:
			f()
		case <-t.C:
			h.tick()
		}
		h.afterStep()
	}
}

// now returns the time since the host's start.
func (h *Host) now() time.Duration { return time.Since(h.started) }

// tick does what is due.
func (h *Host) tick() {
	c := &h.control
	h.sendMembers(c.memb.Tick(h.now()))
	h.fetchFrom(c.spread.Tick(h.now()))
	if !c.rebuildAt.IsZero() && time.Now().After(c.rebuildAt) {
		c.rebuildAt = time.Time{}
		h.applyRoutes()
	}
	if c.memb.Self().Joining && h.maySettle() {
		c.memb.SetJoining(false)
		h.events.Add(event.Event{Kind: event.Ready})
	}
	if !c.forgotUntil.IsZero() && time.Now().After(c.forgotUntil) {
		c.forgotUntil = time.Time{}
		h.forgot.Store(false)
		c.memb.SetStateLost(false)
	}
}

// maySettle reports whether a joining host knows enough to own flows: its list
// is that of another host, and its configuration is not behind. A host that
// hears of nobody waits for aloneAfter.
func (h *Host) maySettle() bool {
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
		return h.now() > aloneAfter
	}
	return c.memb.InSync()
}

// afterStep reports and publishes what changed.
func (h *Host) afterStep() {
	c := &h.control
	for _, e := range c.memb.Events() {
		h.memberChanged(e)
	}
	if g := c.memb.Generation(); g != c.generation {
		c.generation = g
		h.publish()
		h.applyRoutes()
	}
}

// memberChanged notes a change of another host.
func (h *Host) memberChanged(e memb.Event) {
	c := &h.control
	m := e.Member
	now := time.Now()
	kind := event.Joined
	switch m.Health {
	case memb.Dead:
		kind = event.Lost
		c.lost[m.Name] = now
	case memb.Left:
		kind = event.Left
		delete(c.seen, m.Name)
	default:
		delete(c.lost, m.Name)
		if _, ok := c.seen[m.Name]; !ok {
			c.seen[m.Name] = now
		}
		if m.Leaving {
			kind = event.Leaving
		}
	}
	h.events.Add(event.Event{Kind: kind, Peer: m.Name})
	h.log.Info("memb: a host changed", zap.String("peer", m.Name), zap.String("health", m.Health.String()), zap.Bool("leaving", m.Leaving))
}

// publish makes a new view for the traffic.
func (h *Host) publish() {
	c := &h.control
	v := &view{
		flow:  &flow.View{Self: h.id},
		peers: map[uint64]netip.AddrPort{},
		names: map[uint64]string{h.id: h.set.Name},
	}
	self := c.memb.Self()
	live := []uint64{h.id}
	h.place(v, &self)
	for _, m := range c.memb.Members() {
		if m.Health == memb.Seeded {
			continue
		}
		v.names[m.ID()] = m.Name
		if a, err := netip.ParseAddrPort(m.Address); err == nil {
			v.peers[m.ID()] = a
		}
		h.place(v, &m)
		if m.Health == memb.Alive || m.Health == memb.Suspect {
			live = append(live, m.ID())
		}
	}
	slices.Sort(v.flow.Active)
	slices.Sort(v.flow.Leaving)
	slices.Sort(v.flow.Lost)
	slices.Sort(live)
	c.spread.SetHosts(live)
	h.watching.Store(c.spread.ShouldWatch())
	h.view.Store(v)
}

// place puts a member where it belongs in a view.
func (h *Host) place(v *view, m *memb.Member) {
	c := &h.control
	id := m.ID()
	p := once.Peer{ID: id, Ineligible: m.Leaving || m.Joining, RecordsLost: m.StateLost}
	since := c.seen[m.Name]
	if id == h.id {
		since = h.started
	}
	switch {
	case m.Health == memb.Alive || m.Health == memb.Suspect:
		switch {
		case m.Leaving:
			v.flow.Leaving = append(v.flow.Leaving, id)
		case !m.Joining:
			v.flow.Active = append(v.flow.Active, id)
		}
	case m.Health == memb.Dead && time.Since(c.lost[m.Name]) < rememberLost:
		v.flow.Lost = append(v.flow.Lost, id)
		p.Lost = true
	case m.Health == memb.Dead || m.Health == memb.Left && m.StateLost:
		p.Lost = true
	default:
		return // It left and handed over what it knew.
	}
	v.once = append(v.once, oncePeer{peer: p, since: since})
}

// sendMembers seals and sends membership messages.
func (h *Host) sendMembers(sends []memb.Envelope) {
	for _, s := range sends {
		to, err := netip.ParseAddrPort(s.Address)
		if err != nil {
			continue
		}
		h.sendControl(to, peer.KindMember, s.Message)
	}
}

// sendControl seals and sends a value as JSON, from the control loop.
func (h *Host) sendControl(to netip.AddrPort, kind peer.Kind, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic("host: a control message must be encodable: " + err.Error())
	}
	b := h.control.sealer.Seal(nil, kind, body)
	h.metrics.GetOrCreateCounter(`lagoonramp_control_sent_bytes_total`).Add(len(b))
	_, _ = h.peerConn.WriteToUDPAddrPort(b, to)
}

// fromPeer takes a control datagram. It is called by the reader of the peer
// socket.
func (h *Host) fromPeer(hd peer.Header, payload []byte) {
	h.metrics.GetOrCreateCounter(`lagoonramp_control_received_bytes_total`).Add(len(payload) + peer.Overhead)
	switch hd.Kind {
	case peer.KindMember:
		m := &memb.Message{}
		if err := json.Unmarshal(payload, m); err != nil || m.From.ID() != hd.From {
			h.metrics.GetOrCreateCounter(`lagoonramp_peer_malformed_total`).Inc()
			return
		}
		h.post(func() { h.gotMember(hd.From, m) })
	case peer.KindNotice:
		var n wire.RevisionNotice
		if json.Unmarshal(payload, &n) == nil {
			h.post(func() { h.fetchFrom(h.control.spread.ObserveRevision(h.now(), hd.From, n.Revision)) })
		}
	case peer.KindSlots:
		m := &slots.Message{}
		if json.Unmarshal(payload, m) == nil && m.From == hd.From && m.To == h.id {
			if s := h.routes.Load().byID[m.Service]; s != nil {
				s.HandleSlotMessage(m)
			}
		}
	}
}

func (h *Host) gotMember(from uint64, m *memb.Message) {
	c := &h.control
	h.sendMembers(c.memb.Receive(h.now(), m))
	h.fetchFrom(c.spread.ObserveRevision(h.now(), from, m.AppVersion))
}

// sendSlots sends a message on slots. It may be called from any goroutine.
func (h *Host) sendSlots(m slots.Message) {
	to, ok := h.view.Load().peers[m.To]
	if !ok {
		return
	}
	body, err := json.Marshal(m)
	if err != nil {
		panic("host: a slots message must be encodable: " + err.Error())
	}
	h.slotsMu.Lock()
	b := h.slotsSealer.Seal(nil, peer.KindSlots, body)
	h.slotsMu.Unlock()
	h.metrics.GetOrCreateCounter(`lagoonramp_control_sent_bytes_total`).Add(len(b))
	_, _ = h.peerConn.WriteToUDPAddrPort(b, to)
}

// goodbye tells the others that the host is gone.
func (h *Host) goodbye() {
	h.call(func() { h.sendMembers(h.control.memb.AnnounceLeft()) })
}

// fetchFrom starts a fetch of a configuration from a peer.
func (h *Host) fetchFrom(f *gossip.Fetch) {
	if f == nil {
		return
	}
	addr, ok := h.view.Load().peers[f.Peer]
	if !ok {
		h.control.spread.FetchFailed(h.now(), *f)
		return
	}
	have := h.bodiesHeld()
	go h.fetchPeer(*f, addr.String(), have)
}

// Self implements httplb.Cluster.
func (h *Host) Self() uint64 { return h.id }

// Forgot implements httplb.Cluster.
func (h *Host) RecordsLost() bool { return h.forgot.Load() }

// Peers implements httplb.Cluster.
func (h *Host) Peers(epoch time.Time) []once.Peer {
	v := h.view.Load()
	out := make([]once.Peer, len(v.once))
	for i, p := range v.once {
		out[i] = p.peer
		out[i].FirstSeen = p.since.Sub(epoch)
	}
	return out
}

// Address implements httplb.Cluster.
func (h *Host) Address(id uint64) (string, bool) {
	if id == h.id {
		return h.set.Peer, true
	}
	a, ok := h.view.Load().peers[id]
	return a.String(), ok
}
