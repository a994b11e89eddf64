package marked

import (
	"errors"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"lagoonramp.org/lagoonramp/internal/batch"
	"lagoonramp.org/lagoonramp/pkg/fleet"
	"lagoonramp.org/lagoonramp/pkg/steer"
)

// Codec reads and writes the packets of flows.
type Codec interface {
	// Parse decodes a caller's packet.
	Parse(raw []byte, p *steer.Packet) error
	// SetMark writes a mark into a packet.
	SetMark(raw []byte, mark uint32)
	// SetFrame writes the frame before a packet, which names its server.
	SetFrame(frame []byte, token uint64)
	// RequestID returns the ID of the request that a packet begins, or "".
	RequestID(raw []byte) string
	// AppendReset appends a reset for a caller.
	AppendReset(b []byte, k steer.Key) []byte
	// MaxPacket and FrameLength are lengths in bytes.
	MaxPacket() int
	FrameLength() int
}

const (
	// socketBuffer is asked of the system for the packets' socket, in bytes.
	socketBuffer = 1 << 20
	// reasonCount is more than there are reasons.
	reasonCount = 16
	// reportEvery is how often the servers' state is put together for
	// operators.
	reportEvery = time.Second
	// maxHold is how long packets wait for the first view.
	maxHold = time.Second
	// settleFor is how long after its start a host takes silence for flows that
	// routers have moved, and joinFor the same after another host of its data
	// centre has become ready: routers need up to half a second to see that, and
	// hosts that lost power together return within a second.
	settleFor = 1500 * time.Millisecond
	joinFor   = 800 * time.Millisecond
	// freshness is how old the view may be for a refusal of an unknown route.
	freshness = 3 * time.Second
)

// Counters count what the traffic loop did since the start.
type Counters struct {
	Received, Forwarded, Malformed, Resent, Refused, Unsent, Held, Stale, Flows atomic.Uint64
	Dropped                                                                     [reasonCount]atomic.Uint64
}

// traffic forwards packets. All but the counters and the view belongs to its
// loop.
type traffic struct {
	codec   Codec
	conn    *net.UDPConn
	reader  *batch.Reader
	writer  *batch.Writer
	table   *steer.Table
	clock   *clock
	view    *atomic.Pointer[published]
	current *published
	// leaving tells that the routers are about to turn away.
	leaving atomic.Bool
	// unsettledEnd is up to when routers may hand flows to a host that has come.
	unsettledEnd atomic.Int64
	// stale tells that the process was paused while the packets at hand came.
	// An old SYN is dropped: its caller may have opened the flow by another
	// host, and a second server would harm it.
	stale bool
	// pauses is how often the process was paused, and draining tells that the
	// socket was not read empty since.
	pauses   uint64
	draining bool
	counters Counters
	// at is when the loop looked at the clock last: each look is a system call.
	at     time.Duration
	lastAt atomic.Int64
	// tell takes pins for other hosts; it must not block.
	tell func([]steer.Pin)
	// told holds pins of other hosts until the loop takes them, and wanted
	// tells that all pins are to be told again.
	toldMu sync.Mutex
	told   []steer.Pin
	wanted atomic.Bool
	// retellAt is when all pins may be told again.
	retellAt time.Duration
	// report and lanes are what the table knows of servers and services, made
	// anew when reportAt has come.
	report   atomic.Pointer[[]steer.ServerReport]
	lanes    atomic.Pointer[[]steer.ServiceReport]
	reportAt time.Duration
	// metrics holds the histograms.
	metrics             *metrics.Set
	handshakes, answers *metrics.Histogram
	// resets and resent hold what is sent until the flush.
	resets, resent []byte
	log            *decisionLog
}

// published is what the control loop tells the traffic loop.
type published struct {
	view *fleet.View
	// confirmed is when the view was known to be current.
	confirmed time.Duration
	// hosts is how many hosts share the servers.
	hosts int
}

func newTraffic(set *Settings, clock *clock, view *atomic.Pointer[published], log *decisionLog) (*traffic, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(set.PacketAddress))
	if err != nil {
		return nil, eris.Wrap(err, "listen for packets")
	}
	_ = conn.SetReadBuffer(socketBuffer)
	_ = conn.SetWriteBuffer(socketBuffer)
	t := &traffic{codec: set.Codec, conn: conn, clock: clock, view: view, log: log, metrics: metrics.NewSet()}
	t.handshakes = t.metrics.NewHistogram("lagoonramp_handshake_seconds")
	t.answers = t.metrics.NewHistogram("lagoonramp_answer_seconds")
	if t.reader, err = batch.NewReader(conn, set.Codec.MaxPacket()+1, set.Codec.FrameLength()); err != nil {
		return nil, err
	}
	if t.writer, err = batch.NewWriter(conn); err != nil {
		return nil, err
	}
	t.table = steer.NewTable(steer.Settings{
		DataCentre: set.DataCentre,
		Rand:       rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	return t, nil
}

// loop forwards packets until the socket is closed. Before the host knows a
// view, packets wait in the socket, but not longer than a caller waits for an
// answer.
func (t *traffic) loop(viewed <-chan struct{}) {
	for waiting := true; waiting; {
		select {
		case <-viewed:
			waiting = false
		case <-time.After(maxHold):
			t.discard()
		}
	}
	for {
		t.setDeadline()
		n, err := t.reader.Wait()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			t.resend()
			continue
		case isClosed(err):
			return
		case err != nil:
			// An error of an earlier send, such as an unreachable port.
			continue
		}
		t.handle(n)
		if at, ok := t.table.NextDeadline(); ok && at <= t.at {
			t.resend()
		}
	}
}

// discard drops the packets that wait in the socket.
func (t *traffic) discard() {
	for {
		n, err := t.reader.Poll()
		if err != nil || n == 0 {
			return
		}
		t.counters.Received.Add(uint64(n))
		t.counters.Dropped[steer.NoView].Add(uint64(n))
	}
}

// now looks at the clock.
func (t *traffic) now() time.Duration {
	t.at = t.clock.now()
	return t.at
}

// setDeadline ends the wait for packets when a SYN is due for another server.
func (t *traffic) setDeadline() {
	at, ok := t.table.NextDeadline()
	var deadline time.Time
	if ok {
		deadline = time.Now().Add(at - t.at)
	}
	if err := t.conn.SetReadDeadline(deadline); err != nil && !isClosed(err) {
		t.log.failed("set the deadline of the packets' socket", err)
	}
}

// handle forwards the packets of a batch.
func (t *traffic) handle(n int) {
	now := t.now()
	t.refresh(now)
	t.resets = t.resets[:0]
	t.judgeAge(now, n)
	for i := range n {
		t.packet(now, t.reader.Datagram(i))
	}
	t.writer.Flush()
	if pins := t.table.TakePins(); len(pins) > 0 {
		t.tell(pins)
	}
	for _, c := range t.table.TakeLimitChanges() {
		t.log.limit(c)
	}
	t.lastAt.Store(int64(now))
	t.counters.Received.Add(uint64(n))
	t.counters.Unsent.Store(t.writer.Failed)
	t.counters.Flows.Store(uint64(t.table.FlowCount()))
	if now >= t.reportAt {
		t.reportAt = now + reportEvery
		r := t.table.ServerReports(now)
		t.report.Store(&r)
		lanes := t.table.ServiceReports()
		t.lanes.Store(&lanes)
	}
}

func (t *traffic) refresh(now time.Duration) {
	t.takeTold(now)
	if t.leaving.Load() {
		t.table.ExpectRerouting(math.MaxInt64)
	}
	t.table.ExpectRerouting(time.Duration(t.unsettledEnd.Load()))
	p := t.view.Load()
	if p == t.current {
		return
	}
	if t.current == nil {
		t.table.ExpectRerouting(now + settleFor)
	}
	if t.current == nil || p.view != t.current.view {
		t.table.SetView(now, p.view)
	}
	t.table.SetHostCount(p.hosts)
	t.current = p
}

// judgeAge decides whether the packets of a batch came while the process was
// paused: until the socket was read empty after a pause.
func (t *traffic) judgeAge(now time.Duration, n int) {
	if p := t.clock.run(now); p != t.pauses {
		t.pauses = p
		t.draining = true
	}
	t.stale = t.draining
	if n < batch.Size {
		t.draining = false
	}
}

// packet forwards one packet, which lies behind the room for a frame.
func (t *traffic) packet(now time.Duration, framed []byte) {
	room := t.codec.FrameLength()
	raw := framed[room:]
	var p steer.Packet
	if err := t.codec.Parse(raw, &p); err != nil {
		t.counters.Malformed.Add(1)
		t.log.malformed(err)
		return
	}
	if t.stale && p.Syn {
		t.counters.Stale.Add(1)
		t.log.stale(now, &p, t.current)
		return
	}
	v := t.table.HandlePacket(now, &p, raw)
	switch v.Action {
	case steer.Forward:
		t.note(now, &p, &v, raw)
		t.forward(framed, v.Server)
	case steer.Refuse:
		t.refuse(now, &p, v.Reason)
	case steer.Hold:
		t.counters.Held.Add(1)
	case steer.Drop:
		t.counters.Dropped[v.Reason].Add(1)
		t.log.dropped(now, &p, v.Reason, t.current)
	}
}

// note counts and logs what a forwarded packet told of its flow.
func (t *traffic) note(now time.Duration, p *steer.Packet, v *steer.Verdict, raw []byte) {
	if v.Unresponsive != nil {
		t.counters.Resent.Add(1)
		t.log.resent(now, p.Key, v.Unresponsive, v.Server, t.current)
	}
	if v.HandshakeTime > 0 {
		t.handshakes.Update(v.HandshakeTime.Seconds())
	}
	if v.AnswerTime > 0 {
		t.answers.Update(v.AnswerTime.Seconds())
		t.log.answered(now, p, v, t.current)
	}
	if v.RequestStarted {
		t.log.asked(now, p, v, t.current, func() string { return t.codec.RequestID(raw) })
	}
}

func (t *traffic) forward(framed []byte, s *fleet.Server) {
	t.codec.SetMark(framed[t.codec.FrameLength():], s.Mark)
	t.codec.SetFrame(framed, s.Token)
	t.writer.Add(framed, s.Address)
	t.counters.Forwarded.Add(1)
}

// refuse resets a flow that cannot be opened. A host whose view is old cannot
// know that a route or a server does not exist and says nothing.
func (t *traffic) refuse(now time.Duration, p *steer.Packet, why steer.Reason) {
	if why != steer.Overload && now-t.current.confirmed > freshness {
		t.counters.Dropped[why].Add(1)
		t.log.dropped(now, p, why, t.current)
		return
	}
	t.counters.Refused.Add(1)
	t.log.refused(now, p, why, t.current)
	start := len(t.resets)
	if cap(t.resets)-start < t.codec.MaxPacket() {
		t.resets = make([]byte, 0, batch.Size*t.codec.MaxPacket())
		start = 0
	}
	t.resets = t.codec.AppendReset(t.resets, p.Key)
	to := netip.AddrPortFrom(p.Key.Caller.Addr(), uint16(t.conn.LocalAddr().(*net.UDPAddr).Port))
	t.writer.Add(t.resets[start:], to)
}

// resend sends SYNs that stayed without answer to other servers. It first
// handles the packets that wait, which may be the answers.
func (t *traffic) resend() {
	for {
		n, err := t.reader.Poll()
		if err != nil || n == 0 {
			break
		}
		t.handle(n)
	}
	now := t.now()
	t.refresh(now)
	room := t.codec.FrameLength()
	for {
		r, ok := t.table.NextResend(now)
		if !ok {
			break
		}
		if r.Server == nil {
			t.refuse(now, &steer.Packet{Key: r.Key}, steer.Overload)
			t.writer.Flush()
			continue
		}
		t.resent = append(t.resent[:0], make([]byte, room)...)
		t.resent = append(t.resent, r.RawSyn...)
		t.forward(t.resent, r.Server)
		t.writer.Flush()
		t.counters.Resent.Add(1)
		if r.Unresponsive != nil { // A SYN that was held is counted only.
			t.log.resent(now, r.Key, r.Unresponsive, r.Server, t.current)
		}
	}
}

func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }
