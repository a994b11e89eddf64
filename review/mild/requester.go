//go:build review

package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Times of a requester, as the protocol has them.
const (
	openTimeout       = 1400 * time.Millisecond
	minRetransmit     = 200 * time.Millisecond
	maxRetransmit     = 1600 * time.Millisecond
	ackDelay          = 10 * time.Millisecond
	resetWindow       = 76_800
	firstPort         = 40_000
	tick              = 5 * time.Millisecond
	packetQueueLength = 512
)

var synCopies = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond}

// requester sends requests from one address in a zone.
type requester struct {
	bed  *bed
	zone string
	addr netip.Addr
	conn *net.UDPConn
	mu   sync.Mutex
	port uint16
	open map[netip.AddrPort]chan arrival
}

// arrival is a packet with the address of the socket that sent it.
type arrival struct {
	packet
	from netip.Addr
}

func (b *bed) newRequester(zone string, number int) (*requester, error) {
	a := b.ip(1, number)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(a, b.port)))
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(4 << 20)
	r := &requester{bed: b, zone: zone, addr: a, conn: conn, port: firstPort, open: map[netip.AddrPort]chan arrival{}}
	go r.readLoop()
	return r, nil
}

func (r *requester) close() { _ = r.conn.Close() }

func (r *requester) readLoop() {
	buf := make([]byte, 4096)
	for {
		n, from, err := r.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		p, ok := decode(buf[:n])
		if !ok || !p.sumOK && !(p.noSum && p.has(flagReset)) {
			r.bed.record.line("MIXED: malformed packet from %s", from)
			continue
		}
		r.mu.Lock()
		c := r.open[p.destination]
		r.mu.Unlock()
		select {
		case c <- arrival{p, from.Addr().Unmap()}:
		default:
		}
	}
}

// result is the outcome of a request.
type result int

const (
	answered result = iota
	notOpened
	refused
	reset
	late
	closed
	wrong
)

var resultNames = []string{"answered", "not opened", "refused", "reset", "no answer in time", "closed", "wrong answer"}

func (r result) String() string { return resultNames[r] }

// flow is a flow of a requester. It belongs to one goroutine.
type flow struct {
	r             *requester
	name          string
	local, route  netip.AddrPort
	packets       chan arrival
	sequence, ack uint32
	echo          uint32
	server        *server
	openedAt      time.Time
	lastPacketAt  time.Time
	pendingAcks   int
	ackAt         time.Time
	received      []byte
	sending       []byte
	sendAt        time.Time
	sends         int
	peerClosed    bool
	resetBy       string
	resetByServer bool
	otherAnswers  int
	packetsSent   int
	// firstHost and lastHost are the hosts of the first and of the latest packet.
	firstHost, lastHost string
	loseFirstReply      bool
	lost                bool
}

// newFlow returns a flow that is not open yet.
func (r *requester) newFlow(name string, to netip.AddrPort) *flow {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.port++
	local := netip.AddrPortFrom(r.addr, r.port)
	f := &flow{r: r, name: name, local: local, route: to, packets: make(chan arrival, packetQueueLength), sequence: rand.Uint32()}
	r.open[local] = f.packets
	return f
}

// release forgets the flow.
func (f *flow) release() {
	f.r.mu.Lock()
	defer f.r.mu.Unlock()
	delete(f.r.open, f.local)
}

func (f *flow) send(flags uint8, sequence, ack uint32, data []byte) *routedHost {
	h := f.r.bed.router.route(f.r.zone, f.local, f.route)
	if h == nil {
		return nil
	}
	p := packet{echo: f.echo, source: f.local, destination: f.route, sequence: sequence, ack: ack, flags: flags, data: data}
	if flags&flagSYN != 0 {
		p.echo = 0
	}
	if d := f.r.bed.latency; d > 0 {
		encoded := p.encode()
		time.AfterFunc(d, func() { f.r.deliver(encoded, f.local, f.route) })
	} else {
		_, _ = f.r.conn.WriteToUDPAddrPort(p.encode(), h.packets)
	}
	f.packetsSent++
	if f.firstHost == "" {
		f.firstHost = h.name
	}
	f.lastHost = h.name
	return h
}

// deliver forwards a packet that has reached the routers after the latency.
func (r *requester) deliver(encoded []byte, local, route netip.AddrPort) {
	if h := r.bed.router.route(r.zone, local, route); h != nil {
		_, _ = r.conn.WriteToUDPAddrPort(encoded, h.packets)
	}
}

// untilDue returns the time until the flow has to send something, at most limit.
func (f *flow) untilDue(limit time.Duration) time.Duration {
	d := limit
	if f.pendingAcks > 0 {
		d = min(d, time.Until(f.ackAt))
	}
	if len(f.sending) > 0 {
		d = min(d, time.Until(f.sendAt))
	}
	return max(d, 0)
}

// openFlow opens the flow. It returns answered, notOpened or refused.
func (f *flow) openFlow() result {
	isn := f.sequence
	start := time.Now()
	f.send(flagSYN, isn, 0, nil)
	copies := 0
	for {
		elapsed := time.Since(start)
		if elapsed >= openTimeout {
			return notOpened
		}
		if copies < len(synCopies) && elapsed >= synCopies[copies] {
			copies++
			f.send(flagSYN, isn, uint32(copies), nil)
		}
		select {
		case p := <-f.packets:
			if f.handshake(&p, isn) {
				return answered
			}
			if p.has(flagReset) {
				f.noteReset(&p)
				return refused
			}
		case <-time.After(untilCopy(copies, elapsed)):
		}
	}
}

// untilCopy returns the time until the next copy of the SYN or the end of the
// attempt.
func untilCopy(copies int, elapsed time.Duration) time.Duration {
	if copies < len(synCopies) {
		return synCopies[copies] - elapsed
	}
	return openTimeout - elapsed
}

// handshake handles a SYN+ACK. It reports whether the flow is open now.
func (f *flow) handshake(p *arrival, isn uint32) bool {
	if !p.has(flagSYN) || !p.has(flagACK) || p.ack != isn+1 {
		return false
	}
	if f.loseFirstReply && !f.lost {
		f.lost = true
		f.r.bed.record.line("network: the SYN+ACK of %s to flow %s is lost", f.describe(p.from), f.name)
		return false
	}
	f.sequence, f.ack, f.echo = isn+1, p.sequence+1, p.echo
	f.server = f.r.bed.serverAt(p.from)
	f.openedAt, f.lastPacketAt = time.Now(), time.Now()
	f.pendingAcks, f.ackAt = 1, time.Now()
	return true
}

// describe names the sender of a packet.
func (f *flow) describe(a netip.Addr) string {
	if s := f.r.bed.serverAt(a); s != nil {
		return fmt.Sprintf("server %s (%s)", s.id, s.zone)
	}
	for _, h := range f.r.bed.hosts {
		if h.ip == a {
			return "host " + h.name
		}
	}
	return a.String()
}

func (f *flow) noteReset(p *arrival) {
	f.resetBy = f.describe(p.from)
	f.resetByServer = f.server != nil && p.from == f.server.address.Addr()
}

// handle handles a packet on the open flow. It reports whether the flow was
// reset.
func (f *flow) handle(p *arrival) bool {
	now := time.Now()
	f.lastPacketAt = now
	if p.has(flagReset) {
		if d := int32(p.sequence - f.ack); d < -resetWindow || d > resetWindow {
			return false
		}
		f.noteReset(p)
		return true
	}
	// The requester places in its packets the last echo that it received.
	f.echo = p.echo
	if p.has(flagSYN) {
		if f.server == nil || p.from != f.server.address.Addr() {
			f.otherAnswers++
		}
		f.countPacket(now)
		return false
	}
	if len(f.sending) > 0 && p.ack == f.sequence+uint32(len(f.sending)) {
		f.sequence = p.ack
		f.sending = nil
	}
	if len(p.data) == 0 && !p.has(flagFIN) {
		return false
	}
	if p.sequence == f.ack {
		f.received = append(f.received, p.data...)
		f.ack += uint32(len(p.data))
		if p.has(flagFIN) {
			f.ack++
			f.peerClosed = true
		}
	}
	f.countPacket(now)
	return false
}

// countPacket counts a packet to be acknowledged: every second one is
// acknowledged at once, and a single one after ackDelay.
func (f *flow) countPacket(now time.Time) {
	f.pendingAcks++
	f.ackAt = now.Add(ackDelay)
	if f.pendingAcks >= 2 || f.peerClosed {
		f.ackAt = now
	}
}

// transmit sends what is due.
func (f *flow) transmit() {
	now := time.Now()
	if len(f.sending) > 0 && !now.Before(f.sendAt) {
		f.send(flagACK, f.sequence, f.ack, f.sending)
		f.sendAt = now.Add(min(minRetransmit<<f.sends, maxRetransmit))
		f.sends++
		f.pendingAcks = 0
	}
	if f.pendingAcks > 0 && !now.Before(f.ackAt) {
		f.send(flagACK, f.sequence+uint32(len(f.sending)), f.ack, nil)
		f.pendingAcks = 0
	}
}

// request sends a request on the open flow and waits for its answer. The size of
// the request in bytes is at most maxData.
func (f *flow) request(id string, requestSize, size int, work, budget time.Duration) result {
	line := fmt.Sprintf("%s %d %d", id, size, work.Microseconds())
	// The blanks fill the request up to its size.
	for len(line)+len(" keepOpen\n") < requestSize {
		line += " "
	}
	f.sending, f.sendAt, f.sends = []byte(line+" keepOpen\n"), time.Now(), 0
	f.received = nil
	end := time.Now().Add(budget)
	for {
		f.transmit()
		select {
		case p := <-f.packets:
			if f.handle(&p) {
				return reset
			}
		case <-time.After(f.untilDue(time.Until(end) + tick)):
		}
		if done, r := f.answer(id, size); done {
			f.transmit()
			return r
		}
		if f.peerClosed {
			return closed
		}
		if time.Now().After(end) {
			return late
		}
	}
}

// answer checks the answer received so far.
func (f *flow) answer(id string, size int) (done bool, r result) {
	head, body, found := bytes.Cut(f.received, []byte("\n"))
	if !found || len(body) < size {
		return false, 0
	}
	if !bytes.HasPrefix(head, []byte(id+" ok ")) || len(body) != size {
		return true, wrong
	}
	return true, answered
}

// pause keeps the flow open without a request. It reports whether the flow was
// reset meanwhile.
func (f *flow) pause(d time.Duration) bool {
	for end := time.Now().Add(d); time.Now().Before(end); {
		f.transmit()
		select {
		case p := <-f.packets:
			if f.handle(&p) {
				return true
			}
		case <-time.After(f.untilDue(time.Until(end))):
		}
	}
	return false
}

// broken reports whether the flow was broken in the sense of FLOW, and how: its server
// lived without disruption, the flow was neither too old nor idle for too long, and (a)
// the requester got a reset that the flow's server did not send, or (b) the flow's
// packets went to other servers.
func (f *flow) broken() (how string, broken bool) {
	if f.server == nil || f.server.hasCrashed() || time.Since(f.openedAt) >= flowLifetime {
		return "", false
	}
	if f.resetBy != "" && !f.resetByServer {
		return "(a) it got a reset of " + f.resetBy, true
	}
	if other, strayed := f.r.bed.arrivals.strayed(f.local, f.server, time.Now()); strayed {
		return "(b) its packets went to server " + other.id, true
	}
	return "", false
}
