package steer

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"lagoonramp.org/lagoonramp/pkg/fleet"
	"lagoonramp.org/lagoonramp/pkg/warmup"
)

// Settings configures a Table. All fields but Rand are optional.
type Settings struct {
	// DataCentre is the data centre of the host.
	DataCentre string
	// MaxFlows is the maximum number of flows with state; packets of further
	// flows are forwarded without it. The default is 100,000.
	MaxFlows int
	// MaxTries is the maximum number of servers to which a SYN is sent, at most
	// 8. The default is 4.
	MaxTries int
	// IdleTimeout is how long the state of an idle flow is kept. The default is
	// 5 s.
	IdleTimeout time.Duration
	// SplitIdleTimeout is the same for flows whose SYN more than one server may
	// have received. The default is 60 s.
	SplitIdleTimeout time.Duration
	// LinkRate is the rate in bytes per second of the link on which the host
	// forwards packets. The default is 0, which sets no limit.
	LinkRate float64
	// Warmup bounds the new flows of cold servers.
	Warmup warmup.Settings
	// Rand breaks ties between servers.
	Rand *rand.Rand
}

const (
	defaultMaxFlows = 100_000
	defaultMaxTries = 4
	// maxTries bounds Settings.MaxTries.
	maxTries                = 8
	defaultIdleTimeout      = 5 * time.Second
	defaultSplitIdleTimeout = 60 * time.Second
	// sweepInterval is how often idle flows are deleted.
	sweepInterval = time.Second
	// maxSYNSize is the maximum size in bytes of a SYN that is stored to be
	// sent later.
	maxSYNSize = 64
)

// Table decides where to send the packets that a host receives.
type Table struct {
	settings Settings
	view     *fleet.View
	// hostCount is the number of hosts that share the servers, including this
	// one.
	hostCount int
	flows     map[Key]*flow
	// freeFlows is a linked list of records for reuse.
	freeFlows *flow
	// health holds the health of each server by its mark.
	health map[uint32]*Health
	// estimators holds the handshake estimator of each data centre.
	estimators map[string]*handshakeEstimator
	// answerTimes holds the typical answer time of each route with answers.
	answerTimes map[netip.AddrPort]*typicalAnswerTime
	// limiters holds the limiter of each service, and holdingLimiters those
	// with held SYNs.
	limiters        map[string]*limiter
	holdingLimiters []*limiter
	timers          timerHeap
	// link is the load of the host's link, and linkQueue holds the SYNs that wait
	// for it.
	link      link
	linkQueue Order[*flow]
	// coldServices holds the services with a limit on cold servers.
	coldServices map[string]*coldService
	// feeders is what the host knows about the hosts that feed cold servers. Its
	// hosts change with feedersGeneration, which is not 0 once they are known.
	feeders           Feeders
	feedersGeneration uint64
	// holdDownEnd is the time before which this host feeds no cold servers.
	holdDownEnd time.Duration
	// centres holds the reachability of each data centre.
	centres map[string]*centreReachability
	// newProbes holds the probes that TakeProbes returns next, and pendingResets
	// the flows that NextReset returns next.
	newProbes     []Probe
	pendingResets []pendingReset
	// newPins holds the pins that TakePins returns next.
	newPins []Pin
	// limitChanges holds the changes that TakeLimitChanges returns next.
	limitChanges []LimitChange
	nextSweepAt  time.Duration
	// reroutingEnd is the time until which routers may move flows of this host
	// to other hosts.
	reroutingEnd time.Duration
	// leaving is set by Leave.
	leaving      bool
	resendBuffer [maxSYNSize]byte
}

// NewTable returns an empty table.
func NewTable(settings Settings) *Table {
	if settings.Rand == nil {
		panic("steer: Settings.Rand is nil")
	}
	if settings.MaxFlows == 0 {
		settings.MaxFlows = defaultMaxFlows
	}
	if settings.MaxTries == 0 {
		settings.MaxTries = defaultMaxTries
	}
	settings.MaxTries = min(settings.MaxTries, maxTries)
	if settings.IdleTimeout == 0 {
		settings.IdleTimeout = defaultIdleTimeout
	}
	if settings.SplitIdleTimeout == 0 {
		settings.SplitIdleTimeout = defaultSplitIdleTimeout
	}
	t := &Table{
		settings: settings, hostCount: 1, limiters: map[string]*limiter{}, flows: map[Key]*flow{}, health: map[uint32]*Health{}, estimators: map[string]*handshakeEstimator{},
		answerTimes: map[netip.AddrPort]*typicalAnswerTime{}, centres: map[string]*centreReachability{}, coldServices: map[string]*coldService{},
	}
	t.link.setRate(settings.LinkRate)
	return t
}

// SetView replaces the view of the servers and routes.
func (t *Table) SetView(now time.Duration, v *fleet.View) {
	t.view = v
	t.link.setView(v)
	for m, s := range v.ServersByMark {
		h := t.health[m]
		if h == nil || h.started != s.Started {
			t.health[m] = newHealth(s, h)
		}
		if service := v.Services[s.Service]; service.WarmupRate > 0 || h != nil && h.cold.perSecond > 0 {
			c := &t.health[m].cold
			c.setEntry(now, s, service, s.DataCentre == t.settings.DataCentre)
			if h != nil && h.started != s.Started {
				c.assumeCold(now) // It restarted; its entry may not show that it is cold.
			}
		}
	}
	t.updateColdServices()
	for m := range t.health {
		if v.ServersByMark[m] == nil {
			delete(t.health, m)
		}
	}
	for a := range t.answerTimes {
		if v.Routes[a] == nil {
			delete(t.answerTimes, a)
		}
	}
	for service, l := range t.limiters {
		l.slotShare = t.slotShare(service)
		l.hasNoServer = len(v.Usable[service]) == 0 && !v.Incomplete
		if len(v.Usable[service]) == 0 && l.inFlight == 0 && !l.isListed {
			delete(t.limiters, service)
		}
	}
}

// ExpectRerouting declares that routers may move flows of this host to other
// hosts until end, because hosts join or leave. Until then, a SYN is sent to
// another server only when the caller retransmits it.
func (t *Table) ExpectRerouting(end time.Duration) { t.reroutingEnd = max(t.reroutingEnd, end) }

// Leave declares that this host is about to stop, so that routers move all its
// flows to other hosts. From then on, a retransmitted SYN goes to the server that
// got the latest one: of a flow that opens through another host, neither host
// would know both that two servers may answer and where the flow is open.
func (t *Table) Leave() {
	t.leaving = true
	t.ExpectRerouting(math.MaxInt64)
}

// FlowCount returns the number of flows with state.
func (t *Table) FlowCount() int { return len(t.flows) }

// HandlePacket decides on a packet. If the packet is a SYN, the table stores a
// copy of raw, its bytes, to send it later.
func (t *Table) HandlePacket(now time.Duration, p *Packet, raw []byte) Verdict {
	if now >= t.nextSweepAt {
		t.sweep(now)
	}
	if t.view == nil {
		return Verdict{Reason: NoView}
	}
	var v Verdict
	if p.SYN {
		v = t.handleSYN(now, p, raw)
	} else {
		v = t.handleNonSYN(now, p)
	}
	if v.Action == Forward {
		t.link.recordPacket(now, p.Key.Service, len(raw))
	}
	return v
}

// handleSYN decides on a SYN or a retransmission of it.
func (t *Table) handleSYN(now time.Duration, p *Packet, raw []byte) Verdict {
	f := t.flows[p.Key]
	if f != nil && f.isSYN(p.Sequence) && !f.ended {
		return t.handleRetransmittedSYN(now, f, p)
	}
	if f != nil {
		t.deleteFlow(f)
	}
	route := t.view.Routes[p.Key.Service]
	if route == nil || len(route.Targets) == 0 {
		return Verdict{Action: Refuse, Reason: NoRoute}
	}
	service := chooseService(route.Targets, p.Key)
	s := t.chooseServer(now, service, nil)
	if s == nil {
		return t.handleNoServer(now, p, raw, route, service)
	}
	if len(t.flows) < t.settings.MaxFlows && len(raw) <= maxSYNSize {
		f = t.newFlow(p, service, raw)
		f.recordSYN(now, p)
		if t.holdForLink(now, f, route, p) || t.holdIfFull(now, f, route, p) {
			return Verdict{Action: Hold, Priority: route.Priority}
		}
		t.recordSYNSent(now, f, s)
		return Verdict{Action: Forward, Server: s}
	}
	t.recordColdSYN(now, s, true)
	return Verdict{Action: Forward, Server: s}
}

// handleRetransmittedSYN sends a retransmitted SYN to the server at which the
// flow opened. Before that, it sends it to the server that got the latest one, or
// to another server if that one did not answer in time. Unlike a timeout alone,
// a retransmission proves that packets of the flow still arrive at this host. A
// host that leaves uses another server only if that one may get no new flows.
func (t *Table) handleRetransmittedSYN(now time.Duration, f *flow, p *Packet) Verdict {
	f.lastPacketAt = now
	f.recordSYN(now, p)
	if f.tries == 0 {
		return t.handleHeldRetransmission(now, f)
	}
	m := f.pinnedMark
	if m == 0 {
		m = f.triedMarks[f.tries-1]
	}
	s := t.view.ServersByMark[m]
	if f.pinnedMark == 0 {
		f.resentByTimeout = false
		unresponsive := s == nil || now-f.sentAt >= t.estimator(s.DataCentre).timeout()
		staysAtServer := t.leaving && s != nil && t.acceptsNewFlows(now, s)
		if unresponsive && staysAtServer {
			t.recordUnansweredTry(now, f)
		}
		if unresponsive && !staysAtServer && f.tries < t.settings.MaxTries {
			if next := t.failOver(now, f); next != nil {
				return Verdict{Action: Forward, Server: next, Unresponsive: s}
			}
		}
	}
	if s == nil {
		return Verdict{Action: Refuse, Reason: NoServer}
	}
	t.recordColdSYN(now, s, false)
	return Verdict{Action: Forward, Server: s}
}

// acceptsNewFlows reports whether a server may get new flows and is not limited as
// a cold one.
func (t *Table) acceptsNewFlows(now time.Duration, s *fleet.Server) bool {
	return slices.Contains(t.view.Usable[s.Service], s) && !t.health[s.Mark].cold.isCold(now)
}
