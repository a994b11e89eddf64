package steer

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"lagoonramp.org/lagoonramp/pkg/fleet"
)

// Settings of a Table. The zero value is usable but for Rand.
type Settings struct {
	// DataCentre is where the host stands.
	DataCentre string
	// MaxFlows bounds the flows that are remembered; more are forwarded but
	// not watched. The default is 100,000.
	MaxFlows int
	// Tries bounds the servers to which a SYN is sent. The default is 4.
	Tries int
	// Forget is how long a flow without packets is remembered. The default is
	// 5 s.
	Forget time.Duration
	// ForgetSplit is the same for flows whose SYN went to two servers. The
	// default is 60 s.
	ForgetSplit time.Duration
	// Rand breaks ties between servers.
	Rand *rand.Rand
}

const (
	defaultMaxFlows    = 100_000
	defaultTries       = 4
	maxTries           = 8
	defaultForget      = 5 * time.Second
	defaultForgetSplit = 60 * time.Second
	// sweepEvery is how often flows are looked through for forgotten ones.
	sweepEvery = time.Second
	// maxOpening bounds the SYN that is kept for another server, in bytes.
	maxOpening = 64
)

// Table decides for the packets that one host receives.
type Table struct {
	set  Settings
	view *fleet.View
	// hosts is how many hosts share the servers, this one included.
	hosts   int
	flows   map[Key]*flow
	free    *flow
	servers map[uint32]*Health
	centres map[string]*estimator
	// routes holds what is typical of each route with answers.
	routes map[netip.AddrPort]*typical
	// lanes holds the flows by service, and queued those in which SYNs wait.
	lanes  map[string]*lane
	queued []*lane
	due    dueHeap
	// pins are those that other hosts are to be told.
	pins []Pin
	// limits are the changes that the embedder has not taken.
	limits  []LimitChange
	sweepAt time.Duration
	// leaving tells that flows of this host may go on by others.
	leaving bool
	opening [maxOpening]byte
}

// flow is what is remembered of a flow.
type flow struct {
	key Key
	// sequence is that of the SYN; another one begins a new flow.
	sequence uint32
	service  string
	// tried holds the marks of the servers that got the SYN, in order.
	tried [maxTries]uint32
	tries int
	// pinned is the mark of the server at which the flow opened, 0 before.
	pinned uint32
	// sentAt is when the SYN went to the latest server and lastAt when the
	// latest packet came.
	sentAt, lastAt time.Duration
	// late tells that a SYN that waits at the host has done so for too long to
	// be served in time, and lateEnd when it is sent in any case.
	late    bool
	lateEnd time.Duration
	// copies is how many copies of the SYN came here, counted from the first,
	// or -1 if one went elsewhere; copyEnd is when the next one is due.
	copies  int
	copyEnd time.Duration
	// busy is the mark of the server that is taken to work for the flow, or 0.
	busy uint32
	// asked tells that a request waits for its answer, since askedAt, when the
	// caller had acknowledged askedAck.
	asked    bool
	askedAt  time.Duration
	askedAck uint32
	ended    bool
	// told tells that other hosts were told the pin.
	told bool
	// serial tells a new use of the record from entries of the heap.
	serial  uint32
	opening [maxOpening]byte
	length  int
	next    *flow
}

// NewTable returns an empty table.
func NewTable(set Settings) *Table {
	if set.Rand == nil {
		panic("steer: a random source must be given")
	}
	if set.MaxFlows == 0 {
		set.MaxFlows = defaultMaxFlows
	}
	if set.Tries == 0 {
		set.Tries = defaultTries
	}
	set.Tries = min(set.Tries, maxTries)
	if set.Forget == 0 {
		set.Forget = defaultForget
	}
	if set.ForgetSplit == 0 {
		set.ForgetSplit = defaultForgetSplit
	}
	return &Table{
		set: set, hosts: 1, lanes: map[string]*lane{}, flows: map[Key]*flow{}, servers: map[uint32]*Health{}, centres: map[string]*estimator{},
		routes: map[netip.AddrPort]*typical{},
	}
}

// SetView puts a new view in force.
func (t *Table) SetView(now time.Duration, v *fleet.View) {
	t.view = v
	for m, s := range v.Marked {
		h := t.servers[m]
		if h == nil || h.started != s.Started {
			t.servers[m] = newHealth(s, h)
		}
	}
	for m := range t.servers {
		if v.Marked[m] == nil {
			delete(t.servers, m)
		}
	}
	for a := range t.routes {
		if v.Routes[a] == nil {
			delete(t.routes, a)
		}
	}
	for service, l := range t.lanes {
		l.share = t.share(service)
		if len(v.Usable[service]) == 0 && l.busy == 0 && !l.queued {
			delete(t.lanes, service)
		}
	}
}

// Leave says that the routers are about to turn away from this host.
func (t *Table) Leave() { t.leaving = true }

// Held returns how many flows are remembered.
func (t *Table) Held() int { return len(t.flows) }

// Packet decides where a packet goes. The raw packet is kept, if it is a SYN,
// for another server.
func (t *Table) Packet(now time.Duration, p *Packet, raw []byte) Verdict {
	if now >= t.sweepAt {
		t.sweep(now)
	}
	if t.view == nil {
		return Verdict{Reason: NoView}
	}
	if p.Syn {
		return t.syn(now, p, raw)
	}
	return t.later(now, p)
}

// syn decides for a SYN or a copy of it.
func (t *Table) syn(now time.Duration, p *Packet, raw []byte) Verdict {
	f := t.flows[p.Key]
	if f != nil && f.sequence == p.Sequence && !f.ended {
		return t.synCopy(now, f, p)
	}
	if f != nil {
		t.drop(f)
	}
	path := t.view.Routes[p.Key.Service]
	if path == nil || len(path.Targets) == 0 {
		return Verdict{Action: Refuse, Reason: NoRoute}
	}
	service := chooseTarget(path.Targets, p.Key)
	s := t.choose(now, service, nil)
	if s == nil {
		return Verdict{Action: Refuse, Reason: NoServer}
	}
	if len(t.flows) < t.set.MaxFlows && len(raw) <= maxOpening {
		f = t.newFlow(p, service, raw)
		f.noteCopy(now, p)
		if t.holds(now, f, path, p) {
			return Verdict{Action: Hold}
		}
		t.send(now, f, s)
	}
	return Verdict{Action: Forward, Server: s}
}

// synCopy sends a copy of a SYN where the latest one went. At a host that
// leaves, a copy shows what time alone does not: that the flow still comes here
// and the server stayed silent.
func (t *Table) synCopy(now time.Duration, f *flow, p *Packet) Verdict {
	f.lastAt = now
	f.noteCopy(now, p)
	if f.tries == 0 {
		return Verdict{Action: Hold}
	}
	m := f.pinned
	if m == 0 {
		m = f.tried[f.tries-1]
	}
	s := t.view.Marked[m]
	if t.leaving && f.pinned == 0 && f.tries < t.set.Tries && (s == nil || now-f.sentAt >= t.centre(s.DataCentre).wait()) {
		if next := t.sendOn(now, f); next != nil {
			return Verdict{Action: Forward, Server: next}
		}
	}
	if s == nil {
		return Verdict{Action: Refuse, Reason: NoServer}
	}
	return Verdict{Action: Forward, Server: s}
}

// later decides for a packet after the SYN.
func (t *Table) later(now time.Duration, p *Packet) Verdict {
	f := t.flows[p.Key]
	s := t.marked(p, f)
	if s == nil {
		return Verdict{Reason: UnknownMark}
	}
	v := Verdict{Action: Forward, Server: s}
	if f != nil {
		t.observe(now, f, p, &v)
	}
	return v
}

// marked returns the server of a packet after the SYN, or nil. A flow stays
// where this host saw it open: a mark of another server shows that a copy of
// the SYN reached that server too, maybe by another host. A reset goes to the
// server whose answer caused it.
func (t *Table) marked(p *Packet, f *flow) *fleet.Server {
	m := p.Mark
	if f != nil && f.pinned != 0 && !f.ended && !p.Reset {
		if m != f.pinned {
			t.tellPin(f)
		}
		m = f.pinned
	}
	if m == 0 && f != nil && f.tries > 0 {
		m = f.tried[0]
	}
	s := t.view.Marked[m]
	if s == nil {
		return nil
	}
	path := t.view.Routes[p.Key.Service]
	if path == nil || !path.Allows(s.Service) {
		return nil
	}
	return s
}

// observe learns from a packet of a remembered flow, which goes to the server
// of the verdict, and notes in the verdict what it learned.
func (t *Table) observe(now time.Duration, f *flow, p *Packet, v *Verdict) {
	f.lastAt = now
	v.Tries = f.tries
	if f.pinned == 0 && f.tries > 0 {
		v.Handshake = t.open(now, f, v.Server)
	}
	if p.Length > 0 && !f.asked {
		f.asked = true
		f.askedAt = now
		f.askedAck = p.Ack
		v.Asked = true
		t.setBusy(f, v.Server.Mark)
		t.expect(now, f)
	}
	if f.asked && int32(p.Ack-f.askedAck) > 0 {
		f.asked = false
		v.Answer = now - f.askedAt
		t.answered(now, f, v)
	}
	if p.Fin || p.Reset {
		f.ended = true
		t.setBusy(f, 0)
	}
}

// open notes that a flow opened at a server. It returns how long the handshake
// took, if the server was the only one that got the SYN.
func (t *Table) open(now time.Duration, f *flow, s *fleet.Server) time.Duration {
	f.pinned = s.Mark
	t.reached(now, s)
	t.setBusy(f, s.Mark)
	took := now - f.sentAt
	if f.tried[f.tries-1] == s.Mark {
		t.centre(s.DataCentre).add(took)
	}
	if f.tries > 1 {
		return 0
	}
	return took
}

// answered notes that the answer to a flow's request began.
func (t *Table) answered(now time.Duration, f *flow, v *Verdict) {
	t.setBusy(f, 0)
	t.reached(now, v.Server)
	y := t.routes[f.key.Service]
	if y == nil {
		y = &typical{}
		t.routes[f.key.Service] = y
	}
	ratio := y.add(v.Answer)
	if h := t.servers[v.Server.Mark]; h != nil {
		h.speed.add(now, ratio)
	}
	if path := t.view.Routes[f.key.Service]; path != nil && path.Objective > 0 {
		l := t.lane(f.service)
		limited := l.limit > 0
		l.answered(now, f.sentAt, v.Answer.Seconds()/path.Objective.Seconds())
		if limited != (l.limit > 0) {
			t.limits = append(t.limits, LimitChange{Service: f.service, Limit: l.limit, Busy: l.busy, Median: l.median})
		}
	}
}

// reached notes that a server answered.
func (t *Table) reached(now time.Duration, s *fleet.Server) {
	if h := t.servers[s.Mark]; h != nil {
		h.reached(now)
	}
}

// setBusy moves the load of a flow to a server, 0 for none.
func (t *Table) setBusy(f *flow, m uint32) {
	if f.busy == m {
		return
	}
	if h := t.servers[f.busy]; h != nil && h.busy > 0 {
		h.busy--
	}
	if f.busy != 0 {
		t.lane(f.service).load(-1)
	}
	f.busy = 0
	if h := t.servers[m]; h != nil {
		h.busy++
		f.busy = m
		t.lane(f.service).load(1)
	}
}

// send notes that a flow's SYN goes to a server.
func (t *Table) send(now time.Duration, f *flow, s *fleet.Server) {
	f.tried[f.tries] = s.Mark
	f.tries++
	f.sentAt = now
	f.lastAt = now
	t.setBusy(f, s.Mark)
	if h := t.servers[s.Mark]; h.suspect() {
		h.retryAt = now + maxRest
	}
	t.due.push(dueEntry{at: now + t.centre(s.DataCentre).wait(), flow: f, serial: f.serial})
}

// NextDue returns when Due has something to do; ok is false if nothing waits.
func (t *Table) NextDue() (at time.Duration, ok bool) {
	if t.room() {
		return 0, true
	}
	for len(t.due) > 0 {
		if e := &t.due[0]; !e.over() {
			return e.at, true
		}
		t.due.pop()
	}
	return 0, false
}

// Due returns the next SYN that is to be sent to another server by now. It is
// to be called after all packets that wait have been handled, so that a host
// that was paused does not take its own delay for the servers'.
func (t *Table) Due(now time.Duration) (r Resend, ok bool) {
	for len(t.due) > 0 && t.due[0].at <= now {
		e := t.due.pop()
		f := e.flow
		if e.over() {
			continue
		}
		switch e.kind {
		case dueHold:
			r, ok = t.holdEnded(now, f)
		case dueAnswer:
			t.setBusy(f, 0)
		default:
			r, ok = t.resend(now, f)
		}
		if ok {
			return r, true
		}
	}
	return t.released(now)
}

// resend sends a flow's SYN to another server, unless the host leaves: the
// routers may have moved the flow to a host that sees what this one misses.
func (t *Table) resend(now time.Duration, f *flow) (Resend, bool) {
	if t.leaving {
		return Resend{}, false
	}
	if f.late || f.tries >= t.set.Tries {
		// Its caller may have given up.
		t.setBusy(f, 0)
		return Resend{}, false
	}
	silent := f.tried[f.tries-1]
	s := t.sendOn(now, f)
	if s == nil {
		return Resend{}, false
	}
	n := copy(t.opening[:], f.opening[:f.length])
	return Resend{Key: f.key, Server: s, Silent: t.view.Marked[silent], Opening: t.opening[:n]}, true
}

// sendOn notes that the latest server of a flow's SYN did not answer, and
// returns the one that gets it next, or nil if none is left.
func (t *Table) sendOn(now time.Duration, f *flow) *fleet.Server {
	if h := t.servers[f.tried[f.tries-1]]; h != nil {
		h.unanswered(now, f.sentAt)
	}
	s := t.choose(now, f.service, f)
	if s != nil {
		t.send(now, f, s)
	}
	return s
}

// newFlow begins to remember a flow.
func (t *Table) newFlow(p *Packet, service string, raw []byte) *flow {
	f := t.free
	if f == nil {
		f = &flow{}
	} else {
		t.free = f.next
	}
	*f = flow{key: p.Key, sequence: p.Sequence, service: service, serial: f.serial}
	f.length = copy(f.opening[:], raw)
	t.flows[p.Key] = f
	return f
}

// drop forgets a flow.
func (t *Table) drop(f *flow) {
	t.setBusy(f, 0)
	delete(t.flows, f.key)
	f.serial++
	f.next = t.free
	t.free = f
}

// sweep forgets flows without packets.
func (t *Table) sweep(now time.Duration) {
	t.sweepAt = now + sweepEvery
	for _, f := range t.flows {
		limit := t.set.Forget
		if f.tries > 1 && !f.ended {
			limit = t.set.ForgetSplit
		}
		if now-f.lastAt >= limit {
			t.drop(f)
		} else if now-f.lastAt >= t.set.Forget {
			t.setBusy(f, 0)
		}
	}
}
