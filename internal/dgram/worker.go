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

// worker handles the flows of one shard of the key space. Unless a comment says
// otherwise, its fields are accessed only by the goroutine that runs loop.
type worker struct {
	plane *Plane
	index int
	// queue holds the received datagrams. Reader goroutines write to it.
	queue chan *datagram
	// pinnedFlows is the number of pinned flows as of the latest tick. Other
	// goroutines read it.
	pinnedFlows atomic.Int64
	table       *flow.Table
	tables      *Tables
	loads       *serverLoads
	sealer      *peer.Sealer
	// upstreams holds the port and server of each pinned flow.
	upstreams map[flow.Key]upstream
	ports     *portSet
	// proxiedPort is shared by all flows of services with ProxyHeader. It is
	// opened when first needed.
	proxiedPort *localPort
	actions     []flow.Action
	// flowsWithoutPort holds the new flows for which no local port was free.
	flowsWithoutPort []flow.Key
	peerOut          *batchWriter
	fabricOut        *batchWriter
	// addrCache holds the results of udpAddr.
	addrCache map[netip.AddrPort]*net.UDPAddr
}

func newWorker(p *Plane, index int) *worker {
	w := &worker{
		plane:  p,
		index:  index,
		queue:  make(chan *datagram, queueCapacity),
		tables: &Tables{},
		// The control thread's sealer uses lane 0.
		sealer:    peer.NewSealer(p.settings.Keys[0], p.settings.Self, p.settings.Start, uint8(index+1)),
		upstreams: map[flow.Key]upstream{},
		peerOut:   newBatchWriter(p.settings.PeerConn),
		addrCache: map[netip.AddrPort]*net.UDPAddr{},
	}
	if p.settings.FabricConn != nil {
		w.fabricOut = newBatchWriter(p.settings.FabricConn)
	}
	w.table = w.newTable()
	w.ports = newPortSet(p.settings.ServerBind, max(1, p.settings.MaxPorts/p.settings.Workers), func(lp *localPort) {
		go w.serverLoop(lp)
	})
	return w
}

// newTable returns an empty flow table with this worker's share of the entries.
func (w *worker) newTable() *flow.Table {
	return flow.NewTable(flow.Settings{MaxEntries: w.plane.settings.MaxFlows / w.plane.settings.Workers}, w)
}

// Load implements flow.Loads with the loads of the current tables.
func (w *worker) Load(server uint64) float64 {
	if w.loads == nil {
		return 0
	}
	return w.loads.Load(server)
}

// enqueue queues a datagram, or drops it if the queue is full. Reader goroutines
// call it.
func (w *worker) enqueue(dg *datagram) {
	select {
	case w.queue <- dg:
	default:
		w.plane.counters.Dropped[flow.ReasonFull].Add(1)
		dg.release()
	}
}

// loop handles datagrams until the context is cancelled. Datagrams for the fabric
// and other hosts are written when the queue is empty or a batch is full.
func (w *worker) loop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer w.ports.close()
	for {
		select {
		case dg := <-w.queue:
			w.updateTables()
			w.handle(dg)
			for n := 1; n < batchSize; n++ {
				select {
				case dg := <-w.queue:
					w.handle(dg)
					continue
				default:
				}
				break
			}
		case <-ticker.C:
			w.updateTables()
			w.actions = w.table.Tick(w.plane.now(), w.actions[:0])
			w.executeActions()
			w.pinnedFlows.Store(int64(w.table.PinnedFlows()))
		case <-ctx.Done():
			if w.proxiedPort != nil {
				_ = w.proxiedPort.conn.Close()
			}
			return
		}
		w.flush()
	}
}

// flush writes the queued datagrams for the fabric and other hosts.
func (w *worker) flush() {
	w.peerOut.flush()
	if w.fabricOut != nil {
		w.fabricOut.flush()
	}
}

// updateTables switches to the latest tables of the plane if they changed.
func (w *worker) updateTables() {
	t := w.plane.tables.Load()
	if t == w.tables {
		return
	}
	w.tables = t
	w.loads = newServerLoads(t)
	now := w.plane.now()
	w.table.SetServers(now, t.ServerSets)
	w.table.SetView(now, t.View)
	w.endMovedFlows()
}

// endMovedFlows ends the flows to server addresses that now belong to another
// service, so that no datagram reaches the wrong service.
func (w *worker) endMovedFlows() {
	if len(w.tables.Moved) == 0 {
		return
	}
	w.actions = w.actions[:0]
	for key, up := range w.upstreams {
		newService, ok := w.tables.Moved[up.addr]
		s := w.tables.Services[key.Service]
		if ok && (s == nil || s.Name != newService) {
			w.actions = w.table.EndFlow(key, flow.ReasonMoved, w.actions)
		}
	}
	w.executeActions()
}

// handle handles a datagram according to its kind and releases it.
func (w *worker) handle(dg *datagram) {
	now := w.plane.now()
	switch dg.kind {
	case fromCaller:
		w.actions = w.table.HandleDatagram(now, dg.key, flow.HintNone, dg.ingress, dg.data, w.actions[:0])
		w.executeActions()
	case fromHost:
		w.actions = w.table.HandleMessage(now, &dg.message, w.actions[:0])
		w.executeActions()
	case fromServer:
		if key, ok := dg.port.flows[dg.server]; ok {
			w.forwardReply(now, key, dg.data)
		}
	case fromProxied:
		w.forwardReply(now, dg.key, dg.data)
	}
	dg.release()
}

// forwardReply forwards a server's reply to the ingress of its flow: the fabric,
// a direct socket of this host, or another host. It discards replies to flows
// that are not pinned.
func (w *worker) forwardReply(now time.Duration, key flow.Key, payload []byte) {
	ingress, ok := w.table.RecordReply(now, key)
	if !ok {
		return
	}
	w.plane.counters.FromServers.Add(1)
	switch ingress {
	case 0:
		w.sendToFabric(key, payload)
	case w.plane.settings.Self:
		w.plane.sendToDirectCaller(key, payload)
	default:
		m := flow.Message{Kind: flow.Forward, Key: key, Payload: payload}
		w.sendToHost(ingress, peer.KindReply, &m)
	}
}

// sendToFabric queues a reply for the fabric, preceded by a PROXY header.
func (w *worker) sendToFabric(key flow.Key, payload []byte) {
	s := w.tables.Services[key.Service]
	if s == nil || w.fabricOut == nil {
		return
	}
	h := proxyp.Header{Source: s.Address, Destination: key.CallerAddr(), Transport: proxyp.Datagram}
	b := proxyp.Append(w.fabricOut.nextBuffer(), h)
	w.fabricOut.enqueue(append(b, payload...), w.udpAddr(w.plane.settings.FabricAddress))
	w.plane.counters.ToCallers.Add(1)
}

// sendToHost seals a flow message and queues it for another host.
func (w *worker) sendToHost(to uint64, kind peer.Kind, m *flow.Message) {
	addr, ok := w.plane.hostAddress(w.tables, to)
	if !ok {
		w.plane.counters.Dropped[flow.ReasonNoHost].Add(1)
		return
	}
	b := w.peerOut.nextBuffer()
	b = w.sealer.Begin(b)
	b = peer.AppendFlow(b, m)
	w.peerOut.enqueue(w.sealer.End(b, 0, kind), w.udpAddr(addr))
}

// udpAddr returns an address in the form that batchWriter needs. It caches the
// results, so that sending does not allocate memory.
func (w *worker) udpAddr(a netip.AddrPort) *net.UDPAddr {
	u := w.addrCache[a]
	if u == nil {
		u = net.UDPAddrFromAddrPort(a)
		w.addrCache[a] = u
	}
	return u
}

// executeActions executes the actions that the flow table returned.
func (w *worker) executeActions() {
	for i := range w.actions {
		a := &w.actions[i]
		switch a.Kind {
		case flow.SendToServer:
			w.sendToServer(a)
		case flow.SendToHost:
			if a.Message.Kind == flow.Forward {
				w.plane.counters.Forwarded.Add(1)
			}
			if a.Message.Kind == flow.Exceptions {
				w.plane.counters.ExceptionBytes.Add(uint64(len(a.Message.Payload) + peer.FlowOverhead))
			}
			w.sendToHost(a.Message.To, peer.KindFlow, &a.Message)
		case flow.Opened:
			w.plane.counters.Opened.Add(1)
			w.assignPort(a)
		case flow.Ended:
			w.plane.counters.Ended[a.Reason].Add(1)
			w.releasePort(a)
		case flow.Dropped:
			w.plane.counters.Dropped[a.Reason].Add(1)
		}
	}
	clear(w.actions)
	w.actions = w.actions[:0]
	// A flow without a local port does not stay pinned. The caller's next
	// datagram opens it again.
	for _, key := range w.flowsWithoutPort {
		w.actions = w.table.EndFlow(key, flow.ReasonNoPort, w.actions[:0])
		w.plane.counters.Ended[flow.ReasonNoPort].Add(1)
	}
	w.actions = w.actions[:0]
	w.flowsWithoutPort = w.flowsWithoutPort[:0]
}

// assignPort assigns a local port towards its server to a new flow.
func (w *worker) assignPort(a *flow.Action) {
	s := w.tables.Services[a.Key.Service]
	if s == nil || s.Servers[a.Server] == nil {
		return
	}
	server := s.Servers[a.Server]
	port, err := w.portFor(s, server)
	if err != nil {
		w.plane.counters.Dropped[flow.ReasonNoPort].Add(1)
		w.flowsWithoutPort = append(w.flowsWithoutPort, a.Key)
		return
	}
	server.Flows.Add(1)
	if !s.ProxyHeader {
		port.flows[server.Address] = a.Key
	}
	w.upstreams[a.Key] = upstream{port: port, server: server, addr: server.Address}
}

// portFor returns the local port for a new flow: the shared one if the service
// uses PROXY headers, otherwise one that no other flow to the server uses.
func (w *worker) portFor(s *Service, server *Server) (*localPort, error) {
	if !s.ProxyHeader {
		return w.ports.acquire(w.plane.now(), server.Address)
	}
	if w.proxiedPort == nil {
		var local *net.UDPAddr
		if w.plane.settings.ServerBind.IsValid() {
			local = net.UDPAddrFromAddrPort(netip.AddrPortFrom(w.plane.settings.ServerBind, 0))
		}
		conn, err := net.ListenUDP("udp", local)
		if err != nil {
			return nil, err
		}
		w.proxiedPort = &localPort{conn: conn}
		go w.proxiedLoop(conn)
	}
	return w.proxiedPort, nil
}

// releasePort releases the local port of an ended flow. It records an event if
// the flow ended because the server did not reply.
func (w *worker) releasePort(a *flow.Action) {
	up, ok := w.upstreams[a.Key]
	if !ok {
		return
	}
	delete(w.upstreams, a.Key)
	up.server.Flows.Add(-1)
	if up.port != w.proxiedPort {
		w.ports.release(w.plane.now(), up.port, up.addr)
	}
	if a.Reason == flow.ReasonUnresponsive {
		s := w.tables.Services[a.Key.Service]
		name := ""
		if s != nil {
			name = s.Name
		}
		w.plane.settings.Events.Add(event.Event{Kind: event.UnresponsiveEnded, Service: name, Server: up.server.Name,
			Cause: "the server answers others but not this flow"})
	}
}

// sendToServer sends a caller's datagram to the server of its flow.
func (w *worker) sendToServer(a *flow.Action) {
	up, ok := w.upstreams[a.Key]
	if !ok {
		w.plane.counters.Dropped[flow.ReasonFull].Add(1)
		return
	}
	payload := a.Payload
	if up.port == w.proxiedPort {
		s := w.tables.Services[a.Key.Service]
		if s == nil {
			return
		}
		// dg only provides a buffer for the header and the payload.
		dg := newDatagram()
		defer dg.release()
		h := proxyp.Header{Source: a.Key.CallerAddr(), Destination: s.Address, Transport: proxyp.Datagram}
		payload = append(proxyp.Append(dg.buf[:0], h), payload...)
	}
	if _, err := up.port.conn.WriteToUDPAddrPort(payload, up.addr); err == nil {
		w.plane.counters.ToServers.Add(1)
	}
}

// serverLoop reads replies on a local port that identifies their flows.
func (w *worker) serverLoop(lp *localPort) {
	for {
		dg := newDatagram()
		n, from, err := lp.conn.ReadFromUDPAddrPort(dg.buf[:])
		if err != nil {
			dg.release()
			if isClosed(err) {
				return
			}
			continue
		}
		dg.kind = fromServer
		dg.port = lp
		dg.server = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		dg.data = dg.buf[:n]
		w.enqueue(dg)
	}
}

// proxiedLoop reads replies whose PROXY header identifies their flows.
func (w *worker) proxiedLoop(conn *net.UDPConn) {
	for {
		dg := newDatagram()
		n, _, err := conn.ReadFromUDPAddrPort(dg.buf[:])
		if err != nil {
			dg.release()
			if isClosed(err) {
				return
			}
			continue
		}
		h, size, err := proxyp.Parse(dg.buf[:n])
		s := w.plane.tables.Load().ByAddress[h.Source]
		if err != nil || s == nil {
			w.plane.counters.Malformed.Add(1)
			dg.release()
			continue
		}
		dg.kind = fromProxied
		dg.key = flow.KeyOf(s.ID, h.Destination)
		dg.data = dg.buf[size:n]
		w.enqueue(dg)
	}
}

// batchWriter queues datagrams and writes them to a socket in batches.
type batchWriter struct {
	conn     *ipv4.PacketConn
	messages []ipv4.Message
	buffers  [][]byte
	n        int
}

// newBatchWriter returns a writer for a socket.
func newBatchWriter(conn *net.UDPConn) *batchWriter {
	w := &batchWriter{conn: ipv4.NewPacketConn(conn), messages: make([]ipv4.Message, batchSize)}
	for i := range w.messages {
		w.buffers = append(w.buffers, make([]byte, 0, maxDatagram+proxyp.MaxBytes+peer.FlowOverhead))
		w.messages[i].Buffers = make([][]byte, 1)
	}
	return w
}

// nextBuffer returns an empty buffer for the next datagram, which enqueue then
// queues.
func (w *batchWriter) nextBuffer() []byte { return w.buffers[w.n][:0] }

// enqueue queues the datagram that was appended to nextBuffer, and flushes the
// queue if it is full.
func (w *batchWriter) enqueue(b []byte, to *net.UDPAddr) {
	w.messages[w.n].Buffers[0] = b
	w.messages[w.n].Addr = to
	w.n++
	if w.n == len(w.messages) {
		w.flush()
	}
}

// flush writes the queued datagrams. Datagrams that cannot be sent are dropped.
func (w *batchWriter) flush() {
	for done := 0; done < w.n; {
		n, err := w.conn.WriteBatch(w.messages[done:w.n], 0)
		if err != nil || n == 0 {
			n = 1
		}
		done += n
	}
	w.n = 0
}
