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
	// batch is how many datagrams one system call takes.
	batch = 32
	// queueLength bounds the datagrams that wait for a worker.
	queueLength = 4096
	// socketBuffer is asked of the system for busy sockets, in bytes.
	socketBuffer = 4 << 20
	// tickEvery is how often a worker's table is ticked.
	tickEvery = 30 * time.Millisecond
	// maxLearned bounds the hosts whose address was learned.
	maxLearned = 256
)

// Settings of a Plane.
type Settings struct {
	// Self is this host's ID and Start its process's start in nanoseconds.
	Self, Start uint64
	Keys        []peer.Key
	// Workers, Flows and Ports are limits; see package setup.
	Workers, MaxFlows, MaxPorts int
	// Peer carries datagrams of other hosts.
	PeerConn *net.UDPConn
	// Fabric takes the fabric's datagrams; nil if there is no fabric.
	FabricConn *net.UDPConn
	// FabricAddress is where answers to callers go.
	FabricAddress netip.AddrPort
	// ServerBind is the local address towards servers; may be unset.
	ServerBind netip.Addr
	// Direct makes the plane listen on the services' addresses.
	Direct bool
	// Control takes datagrams of other kinds. It must not keep the payload.
	HandleControl func(h peer.Header, payload []byte)
	Events        *event.Ring
}

// Counters count what the plane did since its start.
type Counters struct {
	FromCallers, ToCallers, ToServers, FromServers atomic.Uint64
	Forwarded, Opened, PeerRefused, Malformed      atomic.Uint64
	ExceptionBytes                                 atomic.Uint64
	Dropped                                        [16]atomic.Uint64
	Ended                                          [16]atomic.Uint64
}

// Plane carries datagrams for one host.
type Plane struct {
	set      Settings
	epoch    time.Time
	tables   atomic.Pointer[Tables]
	workers  []*worker
	counters Counters
	mu       sync.Mutex
	// direct holds the sockets on services' own addresses, by service.
	direct  map[uint64]*directSocket
	direct4 atomic.Pointer[map[uint64]*directSocket]
	// learned holds the addresses of hosts that sent good datagrams but are
	// not in the tables yet. Only the reader of the peer socket changes it.
	learned atomic.Pointer[map[uint64]netip.AddrPort]
	closed  atomic.Bool
	group   sync.WaitGroup
}

type directSocket struct {
	conn    *net.UDPConn
	address netip.AddrPort
}

// NewPlane returns a plane; Run makes it carry datagrams.
func NewPlane(set Settings) *Plane {
	p := &Plane{set: set, epoch: time.Now(), direct: map[uint64]*directSocket{}}
	p.direct4.Store(&map[uint64]*directSocket{})
	p.learned.Store(&map[uint64]netip.AddrPort{})
	p.tables.Store(&Tables{View: &flow.View{Self: set.Self}})
	for i := range set.Workers {
		p.workers = append(p.workers, newWorker(p, i))
	}
	for _, c := range []*net.UDPConn{set.PeerConn, set.FabricConn} {
		if c != nil {
			_ = c.SetReadBuffer(socketBuffer)
			_ = c.SetWriteBuffer(socketBuffer)
		}
	}
	return p
}

// Counters returns the plane's counters.
func (p *Plane) Counters() *Counters { return &p.counters }

// Held returns how many flows this host holds.
func (p *Plane) PinnedFlows() int {
	n := 0
	for _, w := range p.workers {
		n += int(w.held.Load())
	}
	return n
}

// SetTables puts new tables in force. It opens and closes sockets on services'
// addresses and returns an error for each that could not be opened.
func (p *Plane) SetTables(t *Tables) error {
	err := p.listen(t)
	p.tables.Store(t)
	return err
}

// listen opens and closes direct sockets.
func (p *Plane) listen(t *Tables) error {
	if !p.set.Direct {
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
		_ = conn.SetReadBuffer(socketBuffer)
		d := &directSocket{conn: conn, address: s.Address}
		next[id] = d
		p.group.Add(1)
		go p.directLoop(d, id)
	}
	for id, d := range p.direct {
		if next[id] != d {
			_ = d.conn.Close()
		}
	}
	p.direct = next
	p.direct4.Store(&next)
	return errors.Join(errs...)
}

// Run carries datagrams until the context ends.
func (p *Plane) Run(ctx context.Context) {
	loops := []func(){p.peerLoop}
	if p.set.FabricConn != nil {
		loops = append(loops, p.fabricLoop)
	}
	for _, w := range p.workers {
		loops = append(loops, func() { w.loop(ctx) })
	}
	for _, l := range loops {
		p.group.Add(1)
		go func() {
			defer p.group.Done()
			l()
		}()
	}
	<-ctx.Done()
	p.close()
	p.group.Wait()
}

func (p *Plane) close() {
	p.closed.Store(true)
	_ = p.set.PeerConn.Close()
	if p.set.FabricConn != nil {
		_ = p.set.FabricConn.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, d := range p.direct {
		_ = d.conn.Close()
	}
}

// now returns the time since the plane was made.
func (p *Plane) now() time.Duration { return time.Since(p.epoch) }

// hand gives a packet to the worker of its flow. A full queue drops it.
func (p *Plane) hand(k *packet) {
	w := p.workers[0]
	if len(p.workers) > 1 {
		w = p.workers[k.key.Hash()%uint64(len(p.workers))]
	}
	w.take(k)
}

// readBatches reads datagrams until the socket is closed. The handle function
// owns the packet.
func (p *Plane) readBatches(conn *net.UDPConn, handle func(k *packet, n int, from netip.AddrPort)) {
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
			k, size, from := r.take(i)
			handle(k, size, from)
		}
	}
}

// fabricLoop reads callers' datagrams that the fabric hands over.
func (p *Plane) fabricLoop() {
	p.readBatches(p.set.FabricConn, func(k *packet, n int, _ netip.AddrPort) {
		h, size, err := proxyp.Parse(k.buf[:n])
		s := p.tables.Load().ByAddress[h.Destination]
		if err != nil || s == nil || h.Transport != proxyp.Datagram {
			p.counters.Malformed.Add(1)
			k.free()
			return
		}
		p.counters.FromCallers.Add(1)
		k.kind = fromCaller
		k.key = flow.KeyOf(s.ID, h.Source)
		k.ingress = 0
		k.data = k.buf[size:n]
		p.hand(k)
	})
}

// directLoop reads datagrams on a service's own address.
func (p *Plane) directLoop(d *directSocket, service uint64) {
	defer p.group.Done()
	p.readBatches(d.conn, func(k *packet, n int, from netip.AddrPort) {
		p.counters.FromCallers.Add(1)
		k.kind = fromCaller
		k.key = flow.KeyOf(service, from)
		k.ingress = p.set.Self
		k.data = k.buf[:n]
		p.hand(k)
	})
}

// peerLoop reads datagrams of other hosts.
func (p *Plane) peerLoop() {
	opener := peer.NewOpener(p.set.Keys)
	p.readBatches(p.set.PeerConn, func(k *packet, n int, from netip.AddrPort) {
		h, payload, err := opener.Open(k.buf[:n])
		if err != nil {
			p.counters.PeerRefused.Add(1)
			k.free()
			return
		}
		p.fromPeer(k, &h, payload, from)
	})
}

// learn notes where a host that is not in the tables sends from, so that it
// can be answered before the membership names it.
func (p *Plane) learn(host uint64, from netip.AddrPort) {
	if _, ok := p.tables.Load().Peers[host]; ok {
		return
	}
	old := *p.learned.Load()
	if old[host] == from {
		return
	}
	next := map[uint64]netip.AddrPort{}
	if len(old) < maxLearned {
		maps.Copy(next, old)
	}
	next[host] = from
	p.learned.Store(&next)
}

// hostAddress returns where a host takes datagrams.
func (p *Plane) hostAddress(t *Tables, host uint64) (netip.AddrPort, bool) {
	if a, ok := t.Peers[host]; ok {
		return a, true
	}
	a, ok := (*p.learned.Load())[host]
	return a, ok
}

func (p *Plane) fromPeer(k *packet, h *peer.Header, payload []byte, from netip.AddrPort) {
	p.learn(h.From, from)
	switch h.Kind {
	case peer.KindFlow, peer.KindReturn:
		if err := peer.ParseFlow(payload, h.From, p.set.Self, &k.message); err != nil {
			p.counters.PeerRefused.Add(1)
			k.free()
			return
		}
	default:
		p.set.HandleControl(*h, payload)
		k.free()
		return
	}
	k.kind = fromHost
	k.key = k.message.Key
	if h.Kind == peer.KindReturn {
		p.toDirectCaller(k.key, k.message.Payload)
		k.free()
		return
	}
	if k.message.Kind == flow.Exceptions {
		p.broadcast(k)
		return
	}
	p.hand(k)
}

// broadcast gives told exceptions to every worker.
func (p *Plane) broadcast(k *packet) {
	for _, w := range p.workers[1:] {
		c := newPacket()
		c.kind = k.kind
		c.message = k.message
		c.message.Payload = append(c.buf[:0], k.message.Payload...)
		w.take(c)
	}
	p.workers[0].take(k)
}

// toDirectCaller answers a caller from the service's own address.
func (p *Plane) toDirectCaller(key flow.Key, payload []byte) {
	d := (*p.direct4.Load())[key.Service]
	if d == nil {
		return
	}
	if _, err := d.conn.WriteToUDPAddrPort(payload, key.CallerAddr()); err == nil {
		p.counters.ToCallers.Add(1)
	}
}
