package marked

import (
	"errors"
	"math/rand/v2"
	"net"
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

// Codec parses and modifies the packets of flows.
type Codec interface {
	// Parse decodes a caller's packet.
	Parse(raw []byte, p *steer.Packet) error
	// SetMark writes a mark into a packet.
	SetMark(raw []byte, mark uint32)
	// SetFrame writes the frame in front of a packet. It contains the token of
	// the packet's server.
	SetFrame(frame []byte, token uint64)
	// RequestID returns the ID of the request that starts in a packet, or "".
	RequestID(raw []byte) string
	// AppendReset appends a packet that resets the flow k of a caller. If the
	// flow is open, sequence is the caller's latest acknowledgement number.
	AppendReset(b []byte, k steer.Key, sequence uint32) []byte
	// MaxPacket returns the maximum length of a packet, and FrameLength the
	// length of a frame, in bytes.
	MaxPacket() int
	FrameLength() int
}

const (
	// socketBuffer is the requested size in bytes of the receive buffer and of
	// the send buffer of the packet socket.
	socketBuffer = 1 << 20
	// maxReasons is above the largest steer.Reason.
	maxReasons = 16
	// priorityCount is the number of priorities that are counted separately. Flows
	// of less urgent ones count as of the last.
	priorityCount = 16
	// reportInterval is the minimum interval at which the reports on servers and
	// services for operators are updated.
	reportInterval = time.Second
	// discardInterval is the interval at which queued packets are discarded
	// while there is no view.
	discardInterval = time.Second
	// startupReroutingWindow is the time after the start of a host, and
	// joinReroutingWindow the time after another host became ready to which
	// routers may move flows, in which a missing answer may mean that they did.
	// Routers need up to half a second to detect a ready host, and hosts that lost
	// power together return within a second.
	startupReroutingWindow = 1500 * time.Millisecond
	joinReroutingWindow    = 800 * time.Millisecond
	// leavingHoldDown is longer than a host takes to leave.
	leavingHoldDown = time.Hour
)

// Counters holds the counts of the packets and flows that the traffic loop has
// handled since the start. Flows is the current number of flows.
type Counters struct {
	Received, Forwarded, Malformed, Resent, Refused, Unsent, Held, Stale, Flows atomic.Uint64
	// Reset counts the open flows that were reset, and Probes the probes of
	// servers.
	Reset, Probes atomic.Uint64
	// Adopted counts the flows that were opened through another host, and
	// ForeignMarks the packets with the mark of another server than the flow's.
	// PinsReceived counts the pins from other hosts, and PinsAnnounced those for
	// them.
	Adopted, ForeignMarks, PinsReceived, PinsAnnounced atomic.Uint64
	Dropped                                            [maxReasons]atomic.Uint64
	// HeldByPriority and RefusedByPriority divide Held and Refused by the priority
	// of the route, without refusals for want of a route.
	HeldByPriority, RefusedByPriority [priorityCount]atomic.Uint64
}

// traffic forwards packets. Its fields belong to the traffic loop, except those
// that are atomic or guarded by receivedMu.
type traffic struct {
	codec  Codec
	conn   *net.UDPConn
	reader *batch.Reader
	writer *batch.Writer
	table  *steer.Table
	clock  *clock
	// published points to the latest view, and current is the view in use.
	published *atomic.Pointer[publishedView]
	current   *publishedView
	// leaving is set when the host reports that it is not ready, so that routers
	// are about to move its flows to other hosts.
	leaving atomic.Bool
	// reroutingEnd is the time until which routers may move flows to another
	// host that has become ready.
	reroutingEnd atomic.Int64
	// batchStale is set if the packets of the current batch may have arrived
	// while the process was paused, or if the view may lack an evacuation since.
	// Their SYNs are dropped: the caller may have opened the flow through another
	// host in the meantime, and a second server would break it.
	batchStale bool
	// pauseCount is the number of pauses of the process. inBacklog is set from a
	// pause until the socket has been read empty.
	pauseCount uint64
	inBacklog  bool
	// feedingPauses is the number of pauses after which a hold-down has begun.
	feedingPauses uint64
	counters      Counters
	// lastClock is the latest reading of the clock. It is cached since each
	// reading is a system call.
	lastClock   time.Duration
	lastBatchAt atomic.Int64
	// announcePins passes new pins to the control loop, which sends them to other
	// hosts, and handOverPins the pins of all flows after requestAllPins. They must
	// not block.
	announcePins func([]steer.Pin)
	handOverPins func(own, received []steer.Pin)
	// receivedPins holds pins of other hosts until the loop adds them to the
	// table. allPinsRequested is set if all pins are to be handed over.
	receivedMu       sync.Mutex
	receivedPins     []steer.Pin
	allPinsRequested atomic.Bool
	// wakePending is set by wake until the loop has seen it.
	wakePending atomic.Bool
	// probeReports holds the results of probes until the loop records them. It
	// is guarded by receivedMu. pendingProbes counts the probes that run.
	probeReports  []probeReport
	pendingProbes atomic.Int32
	// nextPinAnnounce is the earliest time at which all pins may be handed over
	// again.
	nextPinAnnounce time.Duration
	// serverReports, serviceReports and coldReports are the latest reports of the
	// table. They are updated with the first batch after nextReport.
	serverReports  atomic.Pointer[[]steer.ServerReport]
	serviceReports atomic.Pointer[[]steer.ServiceReport]
	coldReports    atomic.Pointer[[]steer.ColdReport]
	nextReport     time.Duration
	// metrics holds the histograms of handshake and answer times.
	metrics             *metrics.Set
	handshakes, answers *metrics.Histogram
	// resetBuf and resendBuf hold the packets to send until the writer is
	// flushed.
	resetBuf, resendBuf []byte
	log                 *decisionLog
}

// publishedView is a view that the control loop passes to the traffic loop.
type publishedView struct {
	view *fleet.View
	// confirmedAt is the latest time at which the view was known to be current.
	confirmedAt time.Duration
	// hostCount is the number of hosts that share the servers.
	hostCount int
	// feeders are the hosts that feed cold servers.
	feeders steer.Feeders
}

func newTraffic(settings *Settings, clock *clock, published *atomic.Pointer[publishedView], log *decisionLog) (*traffic, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(settings.PacketAddress))
	if err != nil {
		return nil, eris.Wrap(err, "listen for packets")
	}
	_ = conn.SetReadBuffer(socketBuffer)
	_ = conn.SetWriteBuffer(socketBuffer)
	t := &traffic{codec: settings.Codec, conn: conn, clock: clock, published: published, log: log, metrics: metrics.NewSet()}
	t.handshakes = t.metrics.NewHistogram("lagoonramp_handshake_seconds")
	t.answers = t.metrics.NewHistogram("lagoonramp_answer_seconds")
	if t.reader, err = batch.NewReader(conn, settings.Codec.MaxPacket()+1, settings.Codec.FrameLength()); err != nil {
		return nil, err
	}
	if t.writer, err = batch.NewWriter(conn); err != nil {
		return nil, err
	}
	t.table = steer.NewTable(steer.Settings{
		DataCentre: settings.DataCentre,
		LinkRate:   settings.LinkRate,
		Warmup:     settings.Warmup,
		Rand:       rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	return t, nil
}

// loop forwards packets until the socket is closed. Before firstView is closed,
// packets queue in the socket and are discarded at intervals, so that none is
// queued for longer than a caller waits for an answer. If stopped is closed before
// that, the loop ends.
func (t *traffic) loop(firstView, stopped <-chan struct{}) {
	for waiting := true; waiting; {
		select {
		case <-firstView:
			waiting = false
		case <-stopped:
			return
		case <-time.After(discardInterval):
			t.discardQueued()
		}
	}
	for {
		t.setDeadline()
		n, err := t.reader.Wait()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			t.resendSYNs()
			continue
		case isClosed(err):
			return
		case err != nil:
			// The error of an earlier send, such as an unreachable port.
			continue
		}
		t.handleBatch(n)
		if at, ok := t.table.NextDeadline(); ok && at <= t.lastClock {
			t.resendSYNs()
		}
	}
}

// discardQueued drops the packets that are queued in the socket.
func (t *traffic) discardQueued() {
	for {
		n, err := t.reader.Poll()
		if err != nil || n == 0 {
			return
		}
		t.counters.Received.Add(uint64(n))
		t.counters.Dropped[steer.NoView].Add(uint64(n))
	}
}

// readClock reads the clock and returns its time.
func (t *traffic) readClock() time.Duration {
	t.lastClock = t.clock.now()
	return t.lastClock
}

// setDeadline sets the read deadline of the socket to the next deadline of the
// table, or of the pins to be handed over.
func (t *traffic) setDeadline() {
	at, ok := t.table.NextDeadline()
	if t.allPinsRequested.Load() && (!ok || t.nextPinAnnounce < at) {
		at, ok = t.nextPinAnnounce, true
	}
	if t.awaitsView(t.lastClock) {
		at = max(at, t.lastClock+awaitViewInterval)
	}
	var deadline time.Time
	if ok {
		deadline = time.Now().Add(at - t.lastClock)
	}
	t.setReadDeadline(deadline)
	if t.wakePending.Swap(false) {
		t.setReadDeadline(time.Now())
	}
}

// setReadDeadline sets the read deadline of the socket.
func (t *traffic) setReadDeadline(deadline time.Time) {
	if err := t.conn.SetReadDeadline(deadline); err != nil && !isClosed(err) {
		t.log.operationFailed("set the read deadline of the packet socket", err)
	}
}

// wake makes the traffic loop handle what other goroutines passed to it, although
// no packet arrives. It is safe for concurrent use.
func (t *traffic) wake() {
	// setDeadline may run after this and would undo it without the flag.
	t.wakePending.Store(true)
	t.setReadDeadline(time.Now())
}

// handleBatch handles a batch of n packets and updates the counters and
// reports.
func (t *traffic) handleBatch(n int) {
	now := t.readClock()
	t.detectPause(now)
	t.updateTable(now)
	t.resetBuf = t.resetBuf[:0]
	t.detectStale(now, n)
	for i := range n {
		t.handlePacket(now, t.reader.Datagram(i))
	}
	t.writer.Flush()
	t.resetUnreachable(now)
	t.startProbes()
	if pins := t.table.TakePins(); len(pins) > 0 {
		t.announcePins(pins)
	}
	for _, c := range t.table.TakeLimitChanges() {
		t.log.limitChanged(c)
	}
	t.lastBatchAt.Store(int64(now))
	t.counters.Received.Add(uint64(n))
	t.counters.Unsent.Store(t.writer.Failed)
	t.counters.Flows.Store(uint64(t.table.FlowCount()))
	if now >= t.nextReport {
		t.updateReports(now)
	}
}

// updateReports updates the reports for operators.
func (t *traffic) updateReports(now time.Duration) {
	t.nextReport = now + reportInterval
	servers := t.table.ServerReports(now)
	t.serverReports.Store(&servers)
	services := t.table.ServiceReports()
	t.serviceReports.Store(&services)
	cold := t.table.ColdReports(now)
	t.coldReports.Store(&cold)
}

// updateTable passes the received pins, the times of expected rerouting, the latest
// view and the results of probes to the table.
func (t *traffic) updateTable(now time.Duration) {
	t.exchangePins(now)
	if t.leaving.Load() {
		t.table.Leave()
		t.table.HoldDown(now + leavingHoldDown)
	}
	t.table.ExpectRerouting(time.Duration(t.reroutingEnd.Load()))
	t.updateView(now)
	t.recordProbes(now)
}

// updateView passes the latest view to the table.
func (t *traffic) updateView(now time.Duration) {
	p := t.published.Load()
	if p == t.current {
		return
	}
	if t.current == nil {
		t.table.ExpectRerouting(now + startupReroutingWindow)
	}
	if t.current == nil || p.view != t.current.view {
		t.table.SetView(now, p.view)
	}
	t.table.SetHostCount(p.hostCount)
	t.table.SetFeeders(p.feeders)
	t.current = p
}

// handlePacket handles a packet, which follows the space for a frame in framed.
func (t *traffic) handlePacket(now time.Duration, framed []byte) {
	frameLength := t.codec.FrameLength()
	raw := framed[frameLength:]
	var p steer.Packet
	if err := t.codec.Parse(raw, &p); err != nil {
		t.counters.Malformed.Add(1)
		t.log.packetMalformed(err)
		return
	}
	if t.batchStale && p.SYN {
		t.counters.Stale.Add(1)
		t.log.staleSYNDropped(now, &p, t.current)
		return
	}
	v := t.table.HandlePacket(now, &p, raw)
	if v.Reason == steer.ColdServers {
		t.log.noWarmServer(now, &p, &v, t.table, t.current)
	}
	switch v.Action {
	case steer.Forward:
		t.recordForward(now, &p, &v, raw)
		t.forward(framed, v.Server)
	case steer.Refuse:
		t.refuseFlow(now, refusal{key: p.Key, reason: v.Reason, priority: v.Priority, waited: v.Waited, linkFull: v.LinkFull})
	case steer.ResetFlow:
		t.resetFlow(now, steer.Reset{Key: p.Key, Sequence: p.Ack, Server: v.Server})
	case steer.Hold:
		t.counters.Held.Add(1)
		t.counters.HeldByPriority[min(v.Priority, priorityCount-1)].Add(1)
	case steer.Drop:
		t.counters.Dropped[v.Reason].Add(1)
		t.log.packetDropped(now, &p, v.Reason, t.current)
	}
}

// recordForward updates the metrics and writes the log for a packet that is
// forwarded.
func (t *traffic) recordForward(now time.Duration, p *steer.Packet, v *steer.Verdict, raw []byte) {
	if v.Unresponsive != nil {
		t.counters.Resent.Add(1)
		t.log.synResent(now, p.Key, v.Unresponsive, v.Server, t.current)
	}
	if v.Adopted {
		t.counters.Adopted.Add(1)
		t.log.flowAdopted(now, p, v, t.current)
	}
	if v.ForeignMark {
		t.counters.ForeignMarks.Add(1)
		t.log.foreignMark(now, p, v, t.current)
	}
	if v.HandshakeTime > 0 {
		t.handshakes.Update(v.HandshakeTime.Seconds())
	}
	if v.AnswerTime > 0 {
		t.answers.Update(v.AnswerTime.Seconds())
		t.log.answerReceived(now, p, v, t.current)
	}
	if v.RequestStarted {
		t.log.requestForwarded(now, p, v, t.current, func() string { return t.codec.RequestID(raw) })
	}
}

// forward sends a packet to a server, marked and with its frame.
func (t *traffic) forward(framed []byte, s *fleet.Server) {
	t.codec.SetMark(framed[t.codec.FrameLength():], s.Mark)
	t.codec.SetFrame(framed, s.Token)
	t.writer.Add(framed, s.Address)
	t.counters.Forwarded.Add(1)
}

func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }
