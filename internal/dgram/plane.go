package dgram

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"lagoonramp.org/lagoonramp/internal/event"
	"lagoonramp.org/lagoonramp/internal/peer"
	"lagoonramp.org/lagoonramp/internal/proxyp"
	"lagoonramp.org/lagoonramp/pkg/flow"
)

const (
	// batchSize is the maximum number of datagrams per system call.
	batchSize = 32
	// queueCapacity bounds the datagrams that are queued for a worker.
	queueCapacity = 4096
	// socketBufferSize is the buffer size requested from the kernel for sockets
	// with heavy traffic, in bytes.
	socketBufferSize = 4 << 20
	// tickInterval is the interval at which a worker calls Tick on its flow
	// table.
	tickInterval = 30 * time.Millisecond
	// maxLearnedHosts bounds the hosts in Plane.learnedAddrs.
	maxLearnedHosts = 256
)

// Settings configures a Plane.
type Settings struct {
	// Self is the ID of this host, and Start the start time of its process in
	// nanoseconds of wall time.
	Self, Start uint64
	// Keys are the shared secrets of the hosts. The first one seals sent
	// datagrams.
	Keys []peer.Key
	// Workers is the number of workers. MaxFlows bounds the entries of the flow
	// tables and MaxPorts the local ports towards servers, over all workers. See
	// also package setup.
	Workers, MaxFlows, MaxPorts int
	// PeerConn is the socket for datagrams from and to other hosts.
	PeerConn *net.UDPConn
	// FabricConn is the socket for datagrams from and to the fabric, nil if there
	// is no fabric.
	FabricConn *net.UDPConn
	// FabricAddress is the address of the fabric, to which replies to callers are
	// sent.
	FabricAddress netip.AddrPort
	// ServerBind is the local address of sockets towards servers. If unset, the
	// kernel chooses it.
	ServerBind netip.Addr
	// Direct makes the plane also listen on the addresses of the services.
	Direct bool
	// HandleControl handles the peer datagrams that do not belong to a flow. It
	// must not retain the payload.
	HandleControl func(h peer.Header, payload []byte)
	// Events receives the events of the plane.
	Events *event.Ring
}

// Counters counts events since the start of the plane.
type Counters struct {
	// FromCallers, ToCallers, ToServers and FromServers count datagrams received
	// from or sent to callers and servers.
	FromCallers, ToCallers, ToServers, FromServers atomic.Uint64
	// Forwarded counts callers' datagrams forwarded to other hosts, Opened flows
	// pinned to a server, PeerRefused datagrams on the peer socket that failed
	// authentication or decoding, and Malformed datagrams with an invalid PROXY
	// header or for an unknown service.
	Forwarded, Opened, PeerRefused, Malformed atomic.Uint64
	// ExceptionBytes counts the bytes of flow exceptions sent to other hosts,
	// including peer.FlowOverhead for each message.
	ExceptionBytes atomic.Uint64
	// Dropped counts dropped datagrams by flow.Reason.
	Dropped [16]atomic.Uint64
	// Ended counts ended flows by flow.Reason.
	Ended [16]atomic.Uint64
}

// Plane is the data plane for the datagrams of one host.
type Plane struct {
	settings Settings
	epoch    time.Time
	tables   atomic.Pointer[Tables]
	workers  []*worker
	counters Counters
	mu       sync.Mutex
	// direct holds the sockets on the addresses of services, by service ID. It is
	// guarded by mu. directSnapshot is the same map for the senders of replies,
	// which read it without the lock.
	direct         map[uint64]*directSocket
	directSnapshot atomic.Pointer[map[uint64]*directSocket]
	// learnedAddrs holds the addresses of hosts that sent authentic datagrams but
	// are not in the tables yet. Only peerLoop replaces the map.
	learnedAddrs atomic.Pointer[map[uint64]netip.AddrPort]
	closed       atomic.Bool
	wg           sync.WaitGroup
}

// directSocket is a socket on a service's own address.
type directSocket struct {
	conn    *net.UDPConn
	address netip.AddrPort
}

// NewPlane returns a Plane, which forwards datagrams once Run is called.
func NewPlane(settings Settings) *Plane {
	p := &Plane{settings: settings, epoch: time.Now(), direct: map[uint64]*directSocket{}}
	p.directSnapshot.Store(&map[uint64]*directSocket{})
	p.learnedAddrs.Store(&map[uint64]netip.AddrPort{})
	p.tables.Store(&Tables{View: &flow.View{Self: settings.Self}})
	for i := range settings.Workers {
		p.workers = append(p.workers, newWorker(p, i))
	}
	for _, c := range []*net.UDPConn{settings.PeerConn, settings.FabricConn} {
		if c != nil {
			_ = c.SetReadBuffer(socketBufferSize)
			_ = c.SetWriteBuffer(socketBufferSize)
		}
	}
	return p
}

// Counters returns the plane's counters.
func (p *Plane) Counters() *Counters { return &p.counters }

// PinnedFlows returns the number of flows that this host has pinned to a server.
// The workers update it every tickInterval.
func (p *Plane) PinnedFlows() int {
	n := 0
	for _, w := range p.workers {
		n += int(w.pinnedFlows.Load())
	}
	return n
}

// SetTables replaces the routing tables. If Settings.Direct is set, it opens and
// closes sockets on the addresses of services and returns the joined errors of
// the addresses on which it cannot listen.
func (p *Plane) SetTables(t *Tables) error {
	err := p.updateDirectSockets(t)
	p.tables.Store(t)
	return err
}

// updateDirectSockets opens and closes direct sockets to match the tables.
func (p *Plane) updateDirectSockets(t *Tables) error {
	if !p.settings.Direct {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	next := map[uint64]*directSocket{}
	var errs []error
	for id, s := range t.Services {
		if d := p.direct[id]; d != nil && d.address == s.Address {
			next[id] = d
			continue
		}
		conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(s.Address))
		if err != nil {
			errs = append(errs, eris.Wrapf(err, "listen for service %s", s.Name))
			continue
		}
		_ = conn.SetReadBuffer(socketBufferSize)
		d := &directSocket{conn: conn, address: s.Address}
		next[id] = d
		p.wg.Add(1)
		go p.directLoop(d, id)
	}
	for id, d := range p.direct {
		if next[id] != d {
			_ = d.conn.Close()
		}
	}
	p.direct = next
	p.directSnapshot.Store(&next)
	return errors.Join(errs...)
}

// Run forwards datagrams until the context is cancelled. It then closes all
// sockets.
func (p *Plane) Run(ctx context.Context) {
	loops := []func(){p.peerLoop}
	if p.settings.FabricConn != nil {
		loops = append(loops, p.fabricLoop)
	}
	for _, w := range p.workers {
		loops = append(loops, func() { w.loop(ctx) })
	}
	for _, l := range loops {
		p.wg.Add(1)
		go func() {
			defer p.wg.Done()
			l()
		}()
	}
	<-ctx.Done()
	p.close()
	p.wg.Wait()
}

// close closes the sockets that reader goroutines block on.
func (p *Plane) close() {
	p.closed.Store(true)
	_ = p.settings.PeerConn.Close()
	if p.settings.FabricConn != nil {
		_ = p.settings.FabricConn.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, d := range p.direct {
		_ = d.conn.Close()
	}
}

// now returns the time since the plane's epoch.
func (p *Plane) now() time.Duration { return time.Since(p.epoch) }

// dispatch queues a datagram for the worker that its flow is assigned to. The
// datagram is dropped if the queue is full.
func (p *Plane) dispatch(dg *datagram) {
	w := p.workers[0]
	if len(p.workers) > 1 {
		w = p.workers[dg.key.Hash()%uint64(len(p.workers))]
	}
	w.enqueue(dg)
}

// readBatches reads datagrams until the socket is closed and calls handle for
// each of them. handle takes ownership of the datagram.
func (p *Plane) readBatches(conn *net.UDPConn, handle func(dg *datagram, n int, from netip.AddrPort)) {
	r, err := newBatchReader(conn)
	if err != nil {
		return // The socket is closed already.
	}
	for {
		n, err := r.read()
		if err != nil {
			if p.closed.Load() || errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		for i := range n {
			dg, size, from := r.takeDatagram(i)
			handle(dg, size, from)
		}
	}
}

// fabricLoop reads the callers' datagrams that the fabric forwards.
func (p *Plane) fabricLoop() {
	p.readBatches(p.settings.FabricConn, func(dg *datagram, n int, _ netip.AddrPort) {
		h, size, err := proxyp.Parse(dg.buf[:n])
		s := p.tables.Load().ByAddress[h.Destination]
		if err != nil || s == nil || h.Transport != proxyp.Datagram {
			p.counters.Malformed.Add(1)
			dg.release()
			return
		}
		p.counters.FromCallers.Add(1)
		dg.kind = fromCaller
		dg.key = flow.KeyOf(s.ID, h.Source)
		dg.ingress = 0
		dg.data = dg.buf[size:n]
		p.dispatch(dg)
	})
}

// directLoop reads the datagrams that callers send to a service's own address.
func (p *Plane) directLoop(d *directSocket, service uint64) {
	defer p.wg.Done()
	p.readBatches(d.conn, func(dg *datagram, n int, from netip.AddrPort) {
		p.counters.FromCallers.Add(1)
		dg.kind = fromCaller
		dg.key = flow.KeyOf(service, from)
		dg.ingress = p.settings.Self
		dg.data = dg.buf[:n]
		p.dispatch(dg)
	})
}

// peerLoop reads the datagrams of other hosts and refuses those that are not
// authentic.
func (p *Plane) peerLoop() {
	opener := peer.NewOpener(p.settings.Keys)
	p.readBatches(p.settings.PeerConn, func(dg *datagram, n int, from netip.AddrPort) {
		h, payload, err := opener.Open(dg.buf[:n])
		if err != nil {
			p.counters.PeerRefused.Add(1)
			dg.release()
			return
		}
		p.handlePeerDatagram(dg, &h, payload, from)
	})
}

// learnAddress records the address of a host that has sent a datagram but is not
// in the tables, so that messages can be sent to it before the membership
// includes it. If maxLearnedHosts addresses are recorded already, it discards
// them first.
func (p *Plane) learnAddress(host uint64, from netip.AddrPort) {
	if _, ok := p.tables.Load().Peers[host]; ok {
		return
	}
	old := *p.learnedAddrs.Load()
	if old[host] == from {
		return
	}
	next := map[uint64]netip.AddrPort{}
	if len(old) < maxLearnedHosts {
		maps.Copy(next, old)
	}
	next[host] = from
	p.learnedAddrs.Store(&next)
}

// hostAddress returns the address to which datagrams for a host are sent.
func (p *Plane) hostAddress(t *Tables, host uint64) (netip.AddrPort, bool) {
	if a, ok := t.Peers[host]; ok {
		return a, true
	}
	a, ok := (*p.learnedAddrs.Load())[host]
	return a, ok
}

// handlePeerDatagram handles a datagram that another host sealed. It passes
// control messages to Settings.HandleControl, replies to their caller, and other
// messages of flows to the workers.
func (p *Plane) handlePeerDatagram(dg *datagram, h *peer.Header, payload []byte, from netip.AddrPort) {
	p.learnAddress(h.From, from)
	switch h.Kind {
	case peer.KindFlow, peer.KindReply:
		if err := peer.ParseFlow(payload, h.From, p.settings.Self, &dg.message); err != nil {
			p.counters.PeerRefused.Add(1)
			dg.release()
			return
		}
	default:
		p.settings.HandleControl(*h, payload)
		dg.release()
		return
	}
	dg.kind = fromHost
	dg.key = dg.message.Key
	if h.Kind == peer.KindReply {
		p.sendToDirectCaller(dg.key, dg.message.Payload)
		dg.release()
		return
	}
	if dg.message.Kind == flow.Exceptions {
		p.broadcastExceptions(dg)
		return
	}
	p.dispatch(dg)
}

// broadcastExceptions queues received exceptions for every worker, since they
// concern flows of all workers. It queues copies, as each worker releases its
// datagram.
func (p *Plane) broadcastExceptions(dg *datagram) {
	for _, w := range p.workers[1:] {
		c := newDatagram()
		c.kind = dg.kind
		c.message = dg.message
		c.message.Payload = append(c.buf[:0], dg.message.Payload...)
		w.enqueue(c)
	}
	p.workers[0].enqueue(dg)
}

// sendToDirectCaller sends a reply to a caller from the service's own address.
func (p *Plane) sendToDirectCaller(key flow.Key, payload []byte) {
	d := (*p.directSnapshot.Load())[key.Service]
	if d == nil {
		return
	}
	if _, err := d.conn.WriteToUDPAddrPort(payload, key.CallerAddr()); err == nil {
		p.counters.ToCallers.Add(1)
	}
}
