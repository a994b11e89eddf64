package exper

import (
	"slices"
	"time"

	"lagoonramp.org/lagoonramp/pkg/flow"
	"lagoonramp.org/lagoonramp/pkg/rendez"
)

// flowPlan says what happens to the flows of an experiment. Times are virtual;
// zero means never.
type flowPlan struct {
	// rate is new flows a second, life their mean life, gap the mean time
	// between a caller's datagrams.
	rate      float64
	life, gap time.Duration
	// loss and double are probabilities between hosts.
	loss, double       float64
	join, drain, leave time.Duration
	crash, end         time.Duration
	silentAt           time.Duration
	silentShare        float64
	swingFrom, swingTo time.Duration
	swing              float64
	hosts, servers     int
}

// flowResult is what the callers and servers counted.
type flowResult struct {
	opened, heldByCrashed         int
	brokenPlanned, brokenCrash    int
	crossed                       int
	imbalance                     float64
	tellBytes                     float64
	silenced, silentFound, alarms int
	silentWorst                   time.Duration
}

// balancer is a way to carry flows: lagoonramp's or a baseline's.
type balancer interface {
	// packet takes a datagram at a host and calls deliver for each one that
	// reaches a server, maybe later.
	packet(host int, key flow.Key)
	// change tells of the new lists; each host learns them after its delay.
	change(active, leaving, lost []uint64, servers *flow.ServerSet)
	// crash ends a host.
	crash(host int)
}

// flowWorld makes flows and counts what becomes of them.
type flowWorld struct {
	*sim
	plan    flowPlan
	hosts   []uint64
	servers []uint64
	set     *flow.ServerSet
	active  []int
	leaving []int
	lost    []int
	net     balancer
	flows   map[flow.Key]*simFlow
	serial  uint64
	loads   map[uint64]int
	crashed int
	result  flowResult
	// holder returns the host that holds a flow, -1 if unknown.
	holder func(key flow.Key) int
	muted  map[flow.Key]time.Duration
}

// simFlow is a flow as its caller and the servers see it.
type simFlow struct {
	key    flow.Key
	server uint64
	end    time.Duration
	broken bool
	// onCrashed tells that the host that crashed held the flow.
	onCrashed bool
	// muted tells that something on the way forgot the flow; the quiet flow
	// sends nothing by itself.
	muted, quiet bool
}

const (
	extraHosts = 1
	hostDelay  = 200 * time.Microsecond
	hostJitter = 800 * time.Microsecond
	// learnWithin is how differently hosts learn of a planned change.
	learnWithin = 1500 * time.Millisecond
	// deathAfter and deathWithin are when hosts learn of a crash.
	deathAfter  = 2 * time.Second
	deathWithin = 1500 * time.Millisecond
	flowTick    = 40 * time.Millisecond
	serviceID   = 11
	otherID     = 22
)

func newFlowWorld(seed uint64, p flowPlan, make func(w *flowWorld) balancer) *flowWorld {
	w := &flowWorld{
		sim: newSim(seed, 1), plan: p,
		hosts: ids("host", p.hosts+extraHosts), servers: ids("server", p.servers),
		flows: map[flow.Key]*simFlow{}, loads: map[uint64]int{}, crashed: -1,
		muted: map[flow.Key]time.Duration{},
	}
	w.set = &flow.ServerSet{Accepting: w.servers}
	for i := range p.hosts {
		w.active = append(w.active, i)
	}
	w.Set(time.Hour) // Long after the hosts' start.
	w.net = make(w)
	w.tell()
	return w
}

// pick returns the IDs of hosts by index, sorted.
func (w *flowWorld) pick(list []int) []uint64 {
	out := make([]uint64, len(list))
	for i, h := range list {
		out[i] = w.hosts[h]
	}
	slices.Sort(out)
	return out
}

func (w *flowWorld) tell() {
	w.net.change(w.pick(w.active), w.pick(w.leaving), w.pick(w.lost), w.set)
}

// run plays the plan and returns what was counted.
func (w *flowWorld) run() flowResult {
	start := w.Now()
	w.arrivals(start)
	w.script(start)
	w.RunUntil(start + w.plan.end)
	w.measure()
	return w.result
}

func (w *flowWorld) gapToNext(start time.Duration) time.Duration {
	rate := w.plan.rate
	if t := w.Now() - start; w.plan.swing > 0 && t >= w.plan.swingFrom && t < w.plan.swingTo {
		rate *= w.plan.swing
	}
	return w.exp(time.Duration(float64(time.Second) / rate))
}

func (w *flowWorld) arrivals(start time.Duration) {
	w.After(w.gapToNext(start), func() {
		w.open()
		w.arrivals(start)
	})
}

func (w *flowWorld) script(start time.Duration) {
	p := w.plan
	step := func(at time.Duration, f func()) {
		if at > 0 {
			w.At(start+at, f)
		}
	}
	step(p.join, func() {
		w.active = append(w.active, p.hosts)
		w.tell()
	})
	step(p.drain, func() {
		w.set = &flow.ServerSet{Accepting: w.servers[1:], NotAccepting: w.servers[:1]}
		w.tell()
	})
	step(p.leave, func() {
		w.active = slices.DeleteFunc(w.active, func(h int) bool { return h == 1 })
		w.leaving = append(w.leaving, 1)
		w.tell()
	})
	step(p.crash, w.crashHost)
	step(p.silentAt, w.mute)
}

func (w *flowWorld) crashHost() {
	const victim = 3
	w.crashed = victim
	for _, f := range w.sortedFlows() {
		if w.holder != nil && w.holder(f.key) == victim {
			f.onCrashed = true
			w.result.heldByCrashed++
		}
	}
	w.net.crash(victim)
	w.active = slices.DeleteFunc(w.active, func(h int) bool { return h == victim })
	w.lost = append(w.lost, victim)
	w.After(deathAfter, w.tell)
}

// sortedFlows returns the open flows in a fixed order.
func (w *flowWorld) sortedFlows() []*simFlow {
	out := make([]*simFlow, 0, len(w.flows))
	for _, f := range w.flows {
		out = append(out, f)
	}
	slices.SortFunc(out, func(a, b *simFlow) int {
		ha, hb := a.key.Hash(), b.key.Hash()
		if ha < hb {
			return -1
		}
		return 1
	})
	return out
}

// mute makes something on the way forget a share of the flows.
func (w *flowWorld) mute() {
	for _, f := range w.sortedFlows() {
		if f.server != 0 && w.rng.Float64() < w.plan.silentShare {
			f.muted = true
			w.muted[f.key] = w.Now()
			w.result.silenced++
		}
	}
}

// open begins a flow.
func (w *flowWorld) open() {
	w.serial++
	k := flow.Key{Service: serviceID, Port: uint16(w.serial)}
	if w.serial%4 == 0 {
		k.Service = otherID
	}
	k.Caller[12], k.Caller[13], k.Caller[14] = byte(w.serial>>32), byte(w.serial>>24), byte(w.serial>>16)
	f := &simFlow{key: k, end: w.Now() + w.exp(w.plan.life)}
	// One flow in ten is a long download: its caller says nothing.
	f.quiet = w.plan.silentAt > 0 && w.serial%10 == 0
	w.flows[k] = f
	w.result.opened++
	w.send(f)
}

// send hands a datagram to any host and plans the next one.
func (w *flowWorld) send(f *simFlow) {
	if w.Now() >= f.end {
		delete(w.flows, f.key)
		return
	}
	w.net.packet(w.anyHost(), f.key)
	if f.quiet && f.server != 0 {
		w.After(w.plan.gap, func() { w.push(f) })
		return
	}
	w.After(w.plan.gap/2+time.Duration(w.rng.Int64N(int64(w.plan.gap))), func() { w.send(f) })
}

// push sends a datagram of a download from the server.
func (w *flowWorld) push(f *simFlow) {
	if w.Now() >= f.end {
		delete(w.flows, f.key)
		return
	}
	if l, ok := w.net.(*ownerNet); ok && !f.muted {
		l.reply(f.key)
	}
	w.After(w.plan.gap, func() { w.push(f) })
}

// anyHost returns a host that the fabric takes for usable.
func (w *flowWorld) anyHost() int { return w.active[w.rng.IntN(len(w.active))] }

// deliver is called when a datagram reaches a server.
func (w *flowWorld) deliver(key flow.Key, server uint64) {
	f := w.flows[key]
	if f == nil {
		return
	}
	if !slices.Contains(w.servers, server) {
		w.result.crossed++
		return
	}
	if f.server == 0 {
		f.server = server
		w.loads[server]++
		return
	}
	if f.server == server || f.broken || f.muted {
		return
	}
	f.broken = true
	if f.onCrashed {
		w.result.brokenCrash++
	} else {
		w.result.brokenPlanned++
	}
}

// measure notes the flows at each server that takes new ones.
func (w *flowWorld) measure() {
	count := map[uint64]int{}
	for _, f := range w.flows {
		count[f.server]++
	}
	sum, top := 0, 0
	for _, s := range w.set.Accepting {
		sum += count[s]
		top = max(top, count[s])
	}
	if sum > 0 {
		w.result.imbalance = float64(top) * float64(len(w.set.Accepting)) / float64(sum)
	}
}

// hashNet is the baseline that hashes over the server list at every host,
// without an owner.
type hashNet struct {
	w    *flowWorld
	sets []*flow.ServerSet
}

func newHashNet(w *flowWorld) balancer {
	return &hashNet{w: w, sets: make([]*flow.ServerSet, len(w.hosts))}
}

func (n *hashNet) change(_, _, _ []uint64, s *flow.ServerSet) {
	for i := range n.sets {
		if n.sets[i] == nil {
			n.sets[i] = s
			continue
		}
		n.w.After(n.w.between(0, learnWithin), func() { n.sets[i] = s })
	}
}

func (n *hashNet) crash(int) {}

func (n *hashNet) packet(host int, key flow.Key) {
	s := n.sets[host]
	n.w.deliver(key, s.Accepting[rendez.Owner(key.Hash(), s.Accepting)])
}

// turnNet is the baseline in which every host pins the flows that it sees to
// servers in turn.
type turnNet struct {
	w    *flowWorld
	set  *flow.ServerSet
	next []int
	pins []map[flow.Key]uint64
}

func newTurnNet(w *flowWorld) balancer {
	n := &turnNet{w: w, next: make([]int, len(w.hosts))}
	for i := range w.hosts {
		n.pins = append(n.pins, map[flow.Key]uint64{})
		n.next[i] = i
	}
	return n
}

func (n *turnNet) change(_, _, _ []uint64, s *flow.ServerSet) { n.set = s }

func (n *turnNet) crash(host int) { n.pins[host] = map[flow.Key]uint64{} }

func (n *turnNet) packet(host int, key flow.Key) {
	s, ok := n.pins[host][key]
	if !ok {
		s = n.set.Accepting[n.next[host]%len(n.set.Accepting)]
		n.next[host]++
		n.pins[host][key] = s
	}
	n.w.deliver(key, s)
}
