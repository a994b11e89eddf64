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
	// unsettledEnd is up to when routers may hand flows of this host to others.
	unsettledEnd time.Duration
	opening      [maxOpening]byte
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
	for m, s := range v.ServersByMark {
		h := t.servers[m]
		if h == nil || h.started != s.Started {
			t.servers[m] = newHealth(s, h)
		}
	}
	for m := range t.servers {
		if v.ServersByMark[m] == nil {
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

// Unsettle says that the routers may hand flows of this host to other hosts up
// to a time, since hosts come or go. Meanwhile a SYN is sent to another server
// only when its caller repeats it.
func (t *Table) Unsettle(end time.Duration) { t.unsettledEnd = max(t.unsettledEnd, end) }

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
		if t.view.Incomplete {
			return Verdict{Reason: NoServer} // The copies of the SYN may find one.
		}
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

// synCopy sends a copy of a SYN where the latest one went, or to another server
// if that one stayed silent: the copy shows what time alone does not, that the
// flow still comes here.
func (t *Table) synCopy(now time.Duration, f *flow, p *Packet) Verdict {
	f.lastAt = now
	f.noteCopy(now, p)
	if f.tries == 0 {
		return t.heldCopy(now, f)
	}
	m := f.pinned
	if m == 0 {
		m = f.tried[f.tries-1]
	}
	s := t.view.ServersByMark[m]
	if f.pinned == 0 {
		f.timed = false
		silent := s == nil || now-f.sentAt >= t.centre(s.DataCentre).wait()
		if silent && f.tries < t.set.Tries {
			if next := t.sendOn(now, f); next != nil {
				return Verdict{Action: Forward, Server: next, Silent: s}
			}
		}
	}
	if s == nil {
		return Verdict{Action: Refuse, Reason: NoServer}
	}
	return Verdict{Action: Forward, Server: s}
}
