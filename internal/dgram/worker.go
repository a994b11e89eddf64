package dgram

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"golang.org/x/net/ipv4"

	"lagoonramp.org/lagoonramp/internal/event"
	"lagoonramp.org/lagoonramp/internal/peer"
	"lagoonramp.org/lagoonramp/internal/proxyp"
	"lagoonramp.org/lagoonramp/pkg/flow"
)

// worker carries the flows of a part of the key space. All its fields but
// those named in comments belong to its loop.
type worker struct {
	plane *Plane
	index int
	// in is written by readers.
	in chan *packet
	// held is read by others.
	held    atomic.Int64
	table   *flow.Table
	tables  *Tables
	load    *load
	sealer  *peer.Sealer
	links   map[flow.Key]link
	ports   *portSet
	proxied *localPort
	actions []flow.Action
	// unlinked lists flows that got no local port.
	unlinked []flow.Key
	toPeers  *outbox
	toEdge   *outbox
	addrs    map[netip.AddrPort]*net.UDPAddr
}

func newWorker(p *Plane, index int) *worker {
	w := &worker{
		plane:  p,
		index:  index,
		in:     make(chan *packet, queueLength),
		tables: &Tables{},
		// Lane 0 is the control thread's.
		sealer:  peer.NewSealer(p.set.Keys[0], p.set.Self, p.set.Start, uint8(index+1)),
		links:   map[flow.Key]link{},
		toPeers: newOutbox(p.set.PeerConn),
		addrs:   map[netip.AddrPort]*net.UDPAddr{},
	}
	if p.set.FabricConn != nil {
		w.toEdge = newOutbox(p.set.FabricConn)
	}
	w.table = w.newTable()
	w.ports = newPortSet(p.set.ServerBind, max(1, p.set.MaxPorts/p.set.Workers), func(lp *localPort) {
		go w.serverLoop(lp)
	})
	return w
}

func (w *worker) newTable() *flow.Table {
	return flow.NewTable(flow.Settings{MaxEntries: w.plane.set.MaxFlows / w.plane.set.Workers}, w)
}

// Load implements flow.Loads.
func (w *worker) Load(server uint64) float64 {
	if w.load == nil {
		return 0
	}
	return w.load.Load(server)
}

// take queues a packet. It is called by readers.
func (w *worker) take(k *packet) {
	select {
	case w.in <- k:
	default:
		w.plane.counters.Dropped[flow.ReasonFull].Add(1)
		k.free()
	}
}

// loop handles packets until the context ends. Output is written when the
// queue is empty or a batch is full.
func (w *worker) loop(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	defer w.ports.close()
	for {
		select {
		case k := <-w.in:
			w.refresh()
			w.handle(k)
			for n := 1; n < batch; n++ {
				select {
				case k := <-w.in:
					w.handle(k)
					continue
				default:
				}
				break
			}
		case <-ticker.C:
			w.refresh()
			w.actions = w.table.Tick(w.plane.now(), w.actions[:0])
			w.act()
			w.held.Store(int64(w.table.PinnedFlows()))
		case <-ctx.Done():
			if w.proxied != nil {
				_ = w.proxied.conn.Close()
			}
			return
		}
		w.flush()
	}
}

func (w *worker) flush() {
	w.toPeers.flush()
	if w.toEdge != nil {
		w.toEdge.flush()
	}
}

// refresh puts new tables in force.
func (w *worker) refresh() {
	t := w.plane.tables.Load()
	if t == w.tables {
		return
	}
	w.tables = t
	w.load = newLoad(t)
	now := w.plane.now()
	w.table.SetServers(now, t.ServerSets)
	w.table.SetView(now, t.View)
	w.endMoved()
}

// endMoved ends the flows to addresses that now belong to another service, so
// that no datagram crosses.
func (w *worker) endMoved() {
	if len(w.tables.Moved) == 0 {
		return
	}
	w.actions = w.actions[:0]
	for key, l := range w.links {
		to, ok := w.tables.Moved[l.to]
		s := w.tables.Services[key.Service]
		if ok && (s == nil || s.Name != to) {
			w.actions = w.table.EndFlow(key, flow.ReasonMoved, w.actions)
		}
	}
	w.act()
}

func (w *worker) handle(k *packet) {
	now := w.plane.now()
	switch k.kind {
	case fromCaller:
		w.actions = w.table.HandleDatagram(now, k.key, flow.HintNone, k.ingress, k.data, w.actions[:0])
		w.act()
	case fromHost:
		w.actions = w.table.HandleMessage(now, &k.message, w.actions[:0])
		w.act()
	case fromServer:
		if key, ok := k.port.flows[k.server]; ok {
			w.answer(now, key, k.data)
		}
	case fromProxied:
		w.answer(now, k.key, k.data)
	}
	k.free()
}

// answer sends a server's answer to the caller.
func (w *worker) answer(now time.Duration, key flow.Key, payload []byte) {
	ingress, ok := w.table.RecordReply(now, key)
	if !ok {
		return
	}
	w.plane.counters.FromServers.Add(1)
	switch ingress {
	case 0:
		w.toFabric(key, payload)
	case w.plane.set.Self:
		w.plane.toDirectCaller(key, payload)
	default:
		m := flow.Message{Kind: flow.Forward, Key: key, Payload: payload}
		w.toHost(ingress, peer.KindReturn, &m)
	}
}

// toFabric sends an answer to the fabric under a PROXY header.
func (w *worker) toFabric(key flow.Key, payload []byte) {
	s := w.tables.Services[key.Service]
	if s == nil || w.toEdge == nil {
		return
	}
	h := proxyp.Header{Source: s.Address, Destination: key.CallerAddr(), Transport: proxyp.Datagram}
	b := proxyp.Append(w.toEdge.begin(), h)
	w.toEdge.end(append(b, payload...), w.address(w.plane.set.FabricAddress))
	w.plane.counters.ToCallers.Add(1)
}

// toHost seals a flow message for another host.
func (w *worker) toHost(to uint64, kind peer.Kind, m *flow.Message) {
	addr, ok := w.plane.hostAddress(w.tables, to)
	if !ok {
		w.plane.counters.Dropped[flow.ReasonNoHost].Add(1)
		return
	}
	b := w.toPeers.begin()
	b = w.sealer.Begin(b)
	b = peer.AppendFlow(b, m)
	w.toPeers.end(w.sealer.End(b, 0, kind), w.address(addr))
}

// address returns the form of an address that batches need.
func (w *worker) address(a netip.AddrPort) *net.UDPAddr {
	u := w.addrs[a]
	if u == nil {
		u = net.UDPAddrFromAddrPort(a)
		w.addrs[a] = u
	}
	return u
}

// act does what the table decided.
func (w *worker) act() {
	for i := range w.actions {
		a := &w.actions[i]
		switch a.Kind {
		case flow.SendToServer:
			w.toServer(a)
		case flow.SendToHost:
			if a.Message.Kind == flow.Forward {
				w.plane.counters.Forwarded.Add(1)
			}
			if a.Message.Kind == flow.Exceptions {
				w.plane.counters.ExceptionBytes.Add(uint64(len(a.Message.Payload) + peer.FlowOverhead))
			}
			w.toHost(a.Message.To, peer.KindFlow, &a.Message)
		case flow.Opened:
			w.plane.counters.Opened.Add(1)
			w.open(a)
		case flow.Ended:
			w.plane.counters.Ended[a.Reason].Add(1)
			w.end(a)
		case flow.Dropped:
			w.plane.counters.Dropped[a.Reason].Add(1)
		}
	}
	clear(w.actions)
	w.actions = w.actions[:0]
	// A flow without a way to its server is not held; the next datagram tries
	// again.
	for _, key := range w.unlinked {
		w.actions = w.table.EndFlow(key, flow.ReasonNoPort, w.actions[:0])
		w.plane.counters.Ended[flow.ReasonNoPort].Add(1)
	}
	w.actions = w.actions[:0]
	w.unlinked = w.unlinked[:0]
}

// open gives a new flow its way to the server.
func (w *worker) open(a *flow.Action) {
	s := w.tables.Services[a.Key.Service]
	if s == nil || s.Servers[a.Server] == nil {
		return
	}
	server := s.Servers[a.Server]
	port, err := w.portFor(s, server)
	if err != nil {
		w.plane.counters.Dropped[flow.ReasonNoPort].Add(1)
		w.unlinked = append(w.unlinked, a.Key)
		return
	}
	server.Flows.Add(1)
	if !s.ProxyHeader {
		port.flows[server.Address] = a.Key
	}
	w.links[a.Key] = link{port: port, server: server, to: server.Address}
}

func (w *worker) portFor(s *Service, server *Server) (*localPort, error) {
	if !s.ProxyHeader {
		return w.ports.take(w.plane.now(), server.Address)
	}
	if w.proxied == nil {
		var local *net.UDPAddr
		if w.plane.set.ServerBind.IsValid() {
			local = net.UDPAddrFromAddrPort(netip.AddrPortFrom(w.plane.set.ServerBind, 0))
		}
		conn, err := net.ListenUDP("udp", local)
		if err != nil {
			return nil, err
		}
		w.proxied = &localPort{conn: conn}
		go w.proxiedLoop(conn)
	}
	return w.proxied, nil
}

// end takes a flow's way back.
func (w *worker) end(a *flow.Action) {
	l, ok := w.links[a.Key]
	if !ok {
		return
	}
	delete(w.links, a.Key)
	l.server.Flows.Add(-1)
	if l.port != w.proxied {
		w.ports.give(w.plane.now(), l.port, l.to)
	}
	if a.Reason == flow.ReasonSilent {
		s := w.tables.Services[a.Key.Service]
		name := ""
		if s != nil {
			name = s.Name
		}
		w.plane.set.Events.Add(event.Event{Kind: event.SilentEnded, Service: name, Server: l.server.Name,
			Cause: "the server answers others but not this flow"})
	}
}

// toServer sends a caller's datagram to the flow's server.
func (w *worker) toServer(a *flow.Action) {
	l, ok := w.links[a.Key]
	if !ok {
		w.plane.counters.Dropped[flow.ReasonFull].Add(1)
		return
	}
	payload := a.Payload
	if l.port == w.proxied {
		s := w.tables.Services[a.Key.Service]
		if s == nil {
			return
		}
		k := newPacket()
		defer k.free()
		h := proxyp.Header{Source: a.Key.CallerAddr(), Destination: s.Address, Transport: proxyp.Datagram}
		payload = append(proxyp.Append(k.buf[:0], h), payload...)
	}
	if _, err := l.port.conn.WriteToUDPAddrPort(payload, l.to); err == nil {
		w.plane.counters.ToServers.Add(1)
	}
}

// serverLoop reads answers on a port that stands for flows.
func (w *worker) serverLoop(lp *localPort) {
	for {
		k := newPacket()
		n, from, err := lp.conn.ReadFromUDPAddrPort(k.buf[:])
		if err != nil {
			k.free()
			if isClosed(err) {
				return
			}
			continue
		}
		k.kind = fromServer
		k.port = lp
		k.server = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		k.data = k.buf[:n]
		w.take(k)
	}
}

// proxiedLoop reads answers that carry a PROXY header.
func (w *worker) proxiedLoop(conn *net.UDPConn) {
	for {
		k := newPacket()
		n, _, err := conn.ReadFromUDPAddrPort(k.buf[:])
		if err != nil {
			k.free()
			if isClosed(err) {
				return
			}
			continue
		}
		h, size, err := proxyp.Parse(k.buf[:n])
		s := w.plane.tables.Load().ByAddress[h.Source]
		if err != nil || s == nil {
			w.plane.counters.Malformed.Add(1)
			k.free()
			continue
		}
		k.kind = fromProxied
		k.key = flow.KeyOf(s.ID, h.Destination)
		k.data = k.buf[size:n]
		w.take(k)
	}
}

// outbox collects datagrams and writes them in batches.
type outbox struct {
	conn     *ipv4.PacketConn
	messages []ipv4.Message
	buffers  [][]byte
	n        int
}

func newOutbox(conn *net.UDPConn) *outbox {
	o := &outbox{conn: ipv4.NewPacketConn(conn), messages: make([]ipv4.Message, batch)}
	for i := range o.messages {
		o.buffers = append(o.buffers, make([]byte, 0, maxPacket+proxyp.MaxBytes+peer.FlowOverhead))
		o.messages[i].Buffers = make([][]byte, 1)
	}
	return o
}

// begin returns an empty buffer for the next datagram.
func (o *outbox) begin() []byte { return o.buffers[o.n][:0] }

// end queues the datagram that was made in the buffer.
func (o *outbox) end(b []byte, to *net.UDPAddr) {
	o.messages[o.n].Buffers[0] = b
	o.messages[o.n].Addr = to
	o.n++
	if o.n == len(o.messages) {
		o.flush()
	}
}

// flush writes what is queued. A datagram that cannot be sent is lost.
func (o *outbox) flush() {
	for at := 0; at < o.n; {
		n, err := o.conn.WriteBatch(o.messages[at:o.n], 0)
		if err != nil || n == 0 {
			n = 1
		}
		at += n
	}
	o.n = 0
}
