//go:build review

package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"
)

const (
	// frameLength is the length of the 8 bytes before a packet.
	frameLength = 8
	// maxInFlight is the number of packets that a server has in flight on a flow,
	// and maxRetransmits that of retransmissions after which it gives up.
	maxInFlight    = 16
	maxRetransmits = 8
	// queueLength is the number of requests that wait for a slot.
	queueLength = 12
)

// server is a stand-in of a server. It follows the users' protocol; where that
// leaves a choice, it takes the milder one: on a flow that waits for the end of
// the handshake, it ignores packets that acknowledge something else.
type server struct {
	id, service, zone string
	slots             int
	address           netip.AddrPort
	record            *record
	// latency is that of the way to requesters.
	latency time.Duration
	// born is the Unix millisecond of its start.
	born int64

	token    uint64
	port     uint16
	conn     *net.UDPConn
	health   *http.Server
	mu       sync.Mutex
	flows    map[netip.AddrPort]*serverFlow
	running  int
	queue    []func()
	runs     map[string]int
	crashed  bool
	draining bool
	done     chan struct{}
	// arrivals records the packets after the SYN.
	arrivals *arrivalLog
}

// serverFlow is the server's side of a flow.
type serverFlow struct {
	local, remote netip.AddrPort
	echo          uint32
	isn           uint32
	opened        bool
	// sendBase is the sequence number of the first byte of unacked, of which the
	// first sent bytes are in flight.
	sendBase uint32
	unacked  []byte
	sent     int
	finSent  bool
	closing  bool
	// receiveNext is the sequence number of the next byte expected.
	synSequence, receiveNext uint32
	received                 []byte
	ackDue                   bool
	retransmits              int
	retransmitAt             time.Time
}

// newServer starts a server.
func (b *bed) newServer(id, service, zone string, slots int, address netip.AddrPort) (*server, error) {
	s := &server{id: id, service: service, zone: zone, slots: slots, address: address, record: b.record, port: b.port, latency: b.latency, arrivals: b.arrivals, born: time.Now().UnixMilli(),
		flows: map[netip.AddrPort]*serverFlow{}, runs: map[string]int{}, done: make(chan struct{})}
	var err error
	if s.token, err = strconv.ParseUint(id[len("i-"):], 16, 64); err != nil {
		return nil, err
	}
	if s.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address)); err != nil {
		return nil, err
	}
	_ = s.conn.SetReadBuffer(1 << 20)
	l, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, err
	}
	s.health = &http.Server{Handler: http.HandlerFunc(s.serveHealth)}
	go func() { _ = s.health.Serve(l) }()
	go s.readLoop()
	go s.tickLoop()
	return s, nil
}

// entry returns the server's entry in the store.
func (s *server) entry(state string) []byte {
	return fmt.Appendf(nil, `{"Service":%q,"Address":%q,"Zone":%q,"Version":"v1","Concurrency":%d,"State":%q,"WarmupLeftMs":0,"Sequence":1,"born":%d}`,
		s.service, s.address, s.zone, s.slots, state, s.born)
}

func (s *server) key() string { return "servers/" + s.id }

func (s *server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("X-Instance-Id", s.id)
	if s.draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// crash ends the server at once.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashed {
		return
	}
	s.crashed = true
	close(s.done)
	_ = s.conn.Close()
	_ = s.health.Close()
}

func (s *server) hasCrashed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashed
}

// runCount returns how often the server ran a request.
func (s *server) runCount(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

func (s *server) readLoop() {
	buf := make([]byte, 4096)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		s.receive(buf[:n])
	}
}

func (s *server) tickLoop() {
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-t.C:
			s.tickFlows()
		}
	}
}

func (s *server) receive(b []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashed || len(b) < frameLength {
		return
	}
	if t := binary.BigEndian.Uint64(b); t != 0 && t != s.token {
		return
	}
	p, ok := decode(b[frameLength:])
	if !ok || !p.sumOK || p.has(flagSYN) && p.has(flagACK) {
		s.record.line("UNASKED: server %s got a packet that nobody sent so", s.id)
		return
	}
	f := s.flows[p.source]
	if !p.has(flagSYN) && !p.has(flagReset) {
		s.arrivals.add(p.source, s)
	}
	switch {
	case p.has(flagSYN):
		s.receiveSYN(f, &p)
	case f == nil:
		s.send(packet{echo: p.echo, source: p.destination, destination: p.source, sequence: p.ack, ack: p.sequence, flags: flagReset})
	case p.has(flagReset):
		delete(s.flows, p.source)
	case !f.opened && p.ack != f.isn+1:
	default:
		f.opened = true
		s.receiveData(f, &p)
	}
}

func (s *server) receiveSYN(f *serverFlow, p *packet) {
	if f == nil || f.synSequence != p.sequence {
		isn := rand.Uint32()
		f = &serverFlow{local: p.destination, remote: p.source, isn: isn, sendBase: isn + 1, synSequence: p.sequence, receiveNext: p.sequence + 1,
			retransmitAt: time.Now().Add(minRetransmit)}
		s.flows[p.source] = f
	}
	f.echo = p.echo
	if !f.opened {
		s.sendSYNACK(f)
	}
}

func (s *server) sendSYNACK(f *serverFlow) {
	s.send(packet{echo: f.echo, source: f.local, destination: f.remote, sequence: f.isn, ack: f.receiveNext, flags: flagSYN | flagACK})
}

// send sends a packet directly to its requester.
func (s *server) send(p packet) {
	encoded, to := p.encode(), netip.AddrPortFrom(p.destination.Addr(), s.port)
	if s.latency == 0 {
		_, _ = s.conn.WriteToUDPAddrPort(encoded, to)
		return
	}
	time.AfterFunc(s.latency, func() { _, _ = s.conn.WriteToUDPAddrPort(encoded, to) })
}

func (s *server) receiveData(f *serverFlow, p *packet) {
	f.echo = p.echo
	if n := int32(p.ack - f.sendBase); n > 0 {
		n = min(n, int32(len(f.unacked)))
		f.unacked = f.unacked[n:]
		f.sendBase += uint32(n)
		f.sent = max(0, f.sent-int(n))
		f.retransmits, f.retransmitAt = 0, time.Now().Add(minRetransmit)
	}
	if len(p.data) > 0 || p.has(flagFIN) {
		f.ackDue = true
		if p.sequence == f.receiveNext {
			f.received = append(f.received, p.data...)
			f.receiveNext += uint32(len(p.data))
			if p.has(flagFIN) {
				delete(s.flows, f.remote)
			}
			s.readRequest(f)
		}
	}
	s.flush(f)
}

// readRequest runs or queues a request once its line is complete.
func (s *server) readRequest(f *serverFlow) {
	line, rest, found := bytes.Cut(f.received, []byte("\n"))
	if !found {
		return
	}
	f.received = rest
	var id string
	var size, work int
	if _, err := fmt.Sscanf(string(line), "%s %d %d", &id, &size, &work); err != nil {
		s.record.line("UNASKED: server %s got a request that it cannot read", s.id)
		return
	}
	run := func() {
		s.running++
		s.runs[id]++
		time.AfterFunc(time.Duration(work)*time.Microsecond, func() { s.finish(f, id, size) })
	}
	switch {
	case s.running < s.slots:
		run()
	case len(s.queue) < queueLength:
		s.queue = append(s.queue, run)
	default:
		f.unacked = fmt.Appendf(f.unacked, "%s notRun %s %s 0\n", id, s.service, s.id)
	}
}

// finish answers a request and starts the next one.
func (s *server) finish(f *serverFlow, id string, size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	if s.crashed {
		return
	}
	if len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		next()
	}
	f.unacked = fmt.Appendf(f.unacked, "%s ok %s %s %d\n", id, s.service, s.id, size)
	f.unacked = append(f.unacked, bytes.Repeat([]byte{'x'}, size)...)
	s.flush(f)
}

// flush sends the data and the acknowledgement that are due.
func (s *server) flush(f *serverFlow) {
	if f.sent == 0 && len(f.unacked) > 0 && f.retransmits == 0 {
		f.retransmitAt = time.Now().Add(minRetransmit)
	}
	for f.sent < len(f.unacked) && f.sent < maxInFlight*maxData {
		data := f.unacked[f.sent:min(f.sent+maxData, len(f.unacked))]
		s.send(packet{echo: f.echo, source: f.local, destination: f.remote, sequence: f.sendBase + uint32(f.sent), ack: f.receiveNext, flags: flagACK, data: data})
		f.sent += len(data)
		f.ackDue = false
	}
	if f.ackDue {
		f.ackDue = false
		s.send(packet{echo: f.echo, source: f.local, destination: f.remote, sequence: f.sendBase + uint32(f.sent), ack: f.receiveNext, flags: flagACK})
	}
}

// tickFlows retransmits what is due and removes the flows that are given up.
func (s *server) tickFlows() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for key, f := range s.flows {
		if f.opened && f.sent == 0 || now.Before(f.retransmitAt) {
			continue
		}
		f.retransmits++
		if f.retransmits > maxRetransmits {
			delete(s.flows, key)
			continue
		}
		f.retransmitAt = now.Add(min(minRetransmit<<f.retransmits, maxRetransmit))
		if !f.opened {
			s.sendSYNACK(f)
			continue
		}
		f.sent = 0
		s.flush(f)
	}
}
