package exper

import (
	"slices"
	"time"

	"lagoonramp.org/lagoonramp/pkg/flow"
	"lagoonramp.org/lagoonramp/pkg/rendez"
)

// flowPlan holds the load and the faults of a flow simulation. Times are measured
// from its start; zero means never.
type flowPlan struct {
	// openRate is the number of flows opened per second, meanLifetime their mean
	// lifetime, and meanInterval the mean time between datagrams of a caller.
	openRate                   float64
	meanLifetime, meanInterval time.Duration
	// lossRate and duplicateRate are the probabilities that a message between
	// hosts is lost or duplicated.
	lossRate, duplicateRate float64
	// An additional host joins at joinAt, a server starts to drain at drainAt, and
	// a host leaves at leaveAt.
	joinAt, drainAt, leaveAt time.Duration
	crashAt, duration        time.Duration
	blackholeAt              time.Duration
	blackholeRatio           float64
	peakFrom, peakTo         time.Duration
	peakFactor               float64
	hosts, servers           int
}

// flowResult holds the measurements of a flow simulation. brokenCrash counts the
// broken flows that the crashed host had pinned, brokenPlanned all other broken
// flows.
type flowResult struct {
	opened, onCrashedHost                       int
	brokenPlanned, brokenCrash                  int
	crossService                                int
	imbalance                                   float64
	exceptionBytes                              float64
	blackholed, blackholesDetected, falseAlarms int
	maxDetectionDelay                           time.Duration
}

// flowBalancer routes the datagrams of flows to servers.
type flowBalancer interface {
	// handleDatagram handles a datagram that a host received. It calls
	// flowSim.deliver, possibly later, for each datagram that reaches a server.
	handleDatagram(host int, key flow.Key)
	// reconfigure announces new lists of hosts and servers. Hosts may apply them
	// after different delays.
	reconfigure(active, leaving, lost []uint64, servers *flow.ServerSet)
	// crash stops a host without notice.
	crash(host int)
}

// flowSim simulates the callers and servers of flows and measures a flowBalancer.
type flowSim struct {
	*engine
	plan          flowPlan
	hosts         []uint64
	servers       []uint64
	serverSet     *flow.ServerSet
	active        []int
	leaving       []int
	lost          []int
	balancer      flowBalancer
	flows         map[flow.Key]*simFlow
	serial        uint64
	flowsByServer map[uint64]int
	crashedHost   int
	result        flowResult
	// holder returns the host that has pinned a flow, or -1. It is nil if the
	// balancer does not pin flows by host.
	holder       func(key flow.Key) int
	blackholedAt map[flow.Key]time.Duration
}

// simFlow is a flow from the point of view of its caller and the servers.
type simFlow struct {
	key    flow.Key
	server uint64
	endsAt time.Duration
	broken bool
	// onCrashedHost is true if the crashed host had pinned the flow.
	onCrashedHost bool
	// blackholed is true if a device on the path has lost its state of the flow
	// and drops its datagrams. The caller of a download sends nothing once the
	// flow is open.
	blackholed, download bool
}

const (
	// extraHosts is the number of hosts that join during an experiment.
	extraHosts = 1
	// A message between hosts takes minHostDelay plus a uniform delay of up to
	// hostJitter.
	minHostDelay = 200 * time.Microsecond
	hostJitter   = 800 * time.Microsecond
	// maxChangeDelay bounds the delay after which a host learns of a planned
	// change.
	maxChangeDelay = 1500 * time.Millisecond
	// A host learns of a crash after crashDetectionDelay plus a uniform delay of
	// up to crashDetectionJitter.
	crashDetectionDelay  = 2 * time.Second
	crashDetectionJitter = 1500 * time.Millisecond
	flowTickInterval     = 40 * time.Millisecond
	flowServiceID        = 11
	otherServiceID       = 22
)

// newFlowSim returns a simulation of a plan. The seed determines all random
// choices.
func newFlowSim(seed uint64, p flowPlan, newBalancer func(sim *flowSim) flowBalancer) *flowSim {
	sim := &flowSim{
		engine: newEngine(seed, 1), plan: p,
		hosts: hashIDs("host", p.hosts+extraHosts), servers: hashIDs("server", p.servers),
		flows: map[flow.Key]*simFlow{}, flowsByServer: map[uint64]int{}, crashedHost: -1,
		blackholedAt: map[flow.Key]time.Duration{},
	}
	sim.serverSet = &flow.ServerSet{Accepting: sim.servers}
	for i := range p.hosts {
		sim.active = append(sim.active, i)
	}
	sim.Set(time.Hour) // All hosts started long ago.
	sim.balancer = newBalancer(sim)
	sim.reconfigure()
	return sim
}

// hostIDs returns the sorted IDs of the hosts with the given indices.
func (sim *flowSim) hostIDs(list []int) []uint64 {
	out := make([]uint64, len(list))
	for i, h := range list {
		out[i] = sim.hosts[h]
	}
	slices.Sort(out)
	return out
}

// reconfigure passes the current lists to the balancer.
func (sim *flowSim) reconfigure() {
	sim.balancer.reconfigure(sim.hostIDs(sim.active), sim.hostIDs(sim.leaving), sim.hostIDs(sim.lost), sim.serverSet)
}

// run simulates the plan and returns the measurements.
func (sim *flowSim) run() flowResult {
	start := sim.Now()
	sim.scheduleArrivals(start)
	sim.scheduleFaults(start)
	sim.RunUntil(start + sim.plan.duration)
	sim.recordImbalance()
	return sim.result
}

// untilNextArrival returns the random time until the next flow is opened.
func (sim *flowSim) untilNextArrival(start time.Duration) time.Duration {
	rate := sim.plan.openRate
	if elapsed := sim.Now() - start; sim.plan.peakFactor > 0 && elapsed >= sim.plan.peakFrom && elapsed < sim.plan.peakTo {
		rate *= sim.plan.peakFactor
	}
	return sim.exponential(time.Duration(float64(time.Second) / rate))
}

// scheduleArrivals opens flows at random times until the end of the simulation.
func (sim *flowSim) scheduleArrivals(start time.Duration) {
	sim.After(sim.untilNextArrival(start), func() {
		sim.openFlow()
		sim.scheduleArrivals(start)
	})
}

// scheduleFaults schedules the changes and faults of the plan.
func (sim *flowSim) scheduleFaults(start time.Duration) {
	p := sim.plan
	schedule := func(at time.Duration, f func()) {
		if at > 0 {
			sim.At(start+at, f)
		}
	}
	schedule(p.joinAt, func() {
		sim.active = append(sim.active, p.hosts)
		sim.reconfigure()
	})
	schedule(p.drainAt, func() {
		sim.serverSet = &flow.ServerSet{Accepting: sim.servers[1:], NotAccepting: sim.servers[:1]}
		sim.reconfigure()
	})
	schedule(p.leaveAt, func() {
		sim.active = slices.DeleteFunc(sim.active, func(h int) bool { return h == 1 })
		sim.leaving = append(sim.leaving, 1)
		sim.reconfigure()
	})
	schedule(p.crashAt, sim.crashHost)
	schedule(p.blackholeAt, sim.blackholeFlows)
}

// crashHost crashes a host. The other hosts learn of it later.
func (sim *flowSim) crashHost() {
	const victim = 3
	sim.crashedHost = victim
	for _, f := range sim.sortedFlows() {
		if sim.holder != nil && sim.holder(f.key) == victim {
			f.onCrashedHost = true
			sim.result.onCrashedHost++
		}
	}
	sim.balancer.crash(victim)
	sim.active = slices.DeleteFunc(sim.active, func(h int) bool { return h == victim })
	sim.lost = append(sim.lost, victim)
	sim.After(crashDetectionDelay, sim.reconfigure)
}

// sortedFlows returns the open flows in an order that does not depend on the
// iteration of the map.
func (sim *flowSim) sortedFlows() []*simFlow {
	out := make([]*simFlow, 0, len(sim.flows))
	for _, f := range sim.flows {
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

// blackholeFlows drops the datagrams of a random part of the flows from now on.
func (sim *flowSim) blackholeFlows() {
	for _, f := range sim.sortedFlows() {
		if f.server != 0 && sim.rng.Float64() < sim.plan.blackholeRatio {
			f.blackholed = true
			sim.blackholedAt[f.key] = sim.Now()
			sim.result.blackholed++
		}
	}
}

// openFlow opens a flow.
func (sim *flowSim) openFlow() {
	sim.serial++
	key := flow.Key{Service: flowServiceID, Port: uint16(sim.serial)}
	if sim.serial%4 == 0 {
		key.Service = otherServiceID
	}
	key.Caller[12], key.Caller[13], key.Caller[14] = byte(sim.serial>>32), byte(sim.serial>>24), byte(sim.serial>>16)
	f := &simFlow{key: key, endsAt: sim.Now() + sim.exponential(sim.plan.meanLifetime)}
	// One flow in ten is a download whose caller sends nothing.
	f.download = sim.plan.blackholeAt > 0 && sim.serial%10 == 0
	sim.flows[key] = f
	sim.result.opened++
	sim.sendFromCaller(f)
}

// sendFromCaller sends a datagram of the caller to a random host and schedules
// the next one.
func (sim *flowSim) sendFromCaller(f *simFlow) {
	if sim.Now() >= f.endsAt {
		delete(sim.flows, f.key)
		return
	}
	sim.balancer.handleDatagram(sim.randomActiveHost(), f.key)
	if f.download && f.server != 0 {
		sim.After(sim.plan.meanInterval, func() { sim.sendFromServer(f) })
		return
	}
	sim.After(sim.plan.meanInterval/2+time.Duration(sim.rng.Int64N(int64(sim.plan.meanInterval))), func() { sim.sendFromCaller(f) })
}

// sendFromServer sends a datagram of a download and schedules the next one.
func (sim *flowSim) sendFromServer(f *simFlow) {
	if sim.Now() >= f.endsAt {
		delete(sim.flows, f.key)
		return
	}
	if b, ok := sim.balancer.(*ownerBalancer); ok && !f.blackholed {
		b.handleReply(f.key)
	}
	sim.After(sim.plan.meanInterval, func() { sim.sendFromServer(f) })
}

// randomActiveHost returns a random host to which the fabric sends datagrams.
func (sim *flowSim) randomActiveHost() int { return sim.active[sim.rng.IntN(len(sim.active))] }

// deliver records that a datagram reached a server. A flow whose datagrams reach
// a second server is broken.
func (sim *flowSim) deliver(key flow.Key, server uint64) {
	f := sim.flows[key]
	if f == nil {
		return
	}
	if !slices.Contains(sim.servers, server) {
		sim.result.crossService++
		return
	}
	if f.server == 0 {
		f.server = server
		sim.flowsByServer[server]++
		return
	}
	if f.server == server || f.broken || f.blackholed {
		return
	}
	f.broken = true
	if f.onCrashedHost {
		sim.result.brokenCrash++
	} else {
		sim.result.brokenPlanned++
	}
}

// recordImbalance records the ratio of the highest number of open flows per
// server to the mean, over the servers that accept new flows.
func (sim *flowSim) recordImbalance() {
	flowsAt := map[uint64]int{}
	for _, f := range sim.flows {
		flowsAt[f.server]++
	}
	sum, highest := 0, 0
	for _, s := range sim.serverSet.Accepting {
		sum += flowsAt[s]
		highest = max(highest, flowsAt[s])
	}
	if sum > 0 {
		sim.result.imbalance = float64(highest) * float64(len(sim.serverSet.Accepting)) / float64(sum)
	}
}

// hashBalancer is the baseline in which every host selects the server of each
// datagram by rendezvous hashing over its list of servers. It keeps no state of
// flows.
type hashBalancer struct {
	sim           *flowSim
	serversByHost []*flow.ServerSet
}

func newHashBalancer(sim *flowSim) flowBalancer {
	return &hashBalancer{sim: sim, serversByHost: make([]*flow.ServerSet, len(sim.hosts))}
}

func (b *hashBalancer) reconfigure(_, _, _ []uint64, servers *flow.ServerSet) {
	for i := range b.serversByHost {
		if b.serversByHost[i] == nil {
			b.serversByHost[i] = servers
			continue
		}
		b.sim.After(b.sim.uniform(0, maxChangeDelay), func() { b.serversByHost[i] = servers })
	}
}

func (b *hashBalancer) crash(int) {}

func (b *hashBalancer) handleDatagram(host int, key flow.Key) {
	servers := b.serversByHost[host]
	b.sim.deliver(key, servers.Accepting[rendez.Owner(key.Hash(), servers.Accepting)])
}

// roundRobinBalancer is the baseline in which every host pins the flows that it
// receives to servers in round-robin order, independently of the other hosts. All
// hosts apply new lists of servers at once.
type roundRobinBalancer struct {
	sim      *flowSim
	servers  *flow.ServerSet
	next     []int
	serverOf []map[flow.Key]uint64
}

func newRoundRobinBalancer(sim *flowSim) flowBalancer {
	b := &roundRobinBalancer{sim: sim, next: make([]int, len(sim.hosts))}
	for i := range sim.hosts {
		b.serverOf = append(b.serverOf, map[flow.Key]uint64{})
		b.next[i] = i
	}
	return b
}

func (b *roundRobinBalancer) reconfigure(_, _, _ []uint64, servers *flow.ServerSet) {
	b.servers = servers
}

func (b *roundRobinBalancer) crash(host int) { b.serverOf[host] = map[flow.Key]uint64{} }

func (b *roundRobinBalancer) handleDatagram(host int, key flow.Key) {
	server, ok := b.serverOf[host][key]
	if !ok {
		server = b.servers.Accepting[b.next[host]%len(b.servers.Accepting)]
		b.next[host]++
		b.serverOf[host][key] = server
	}
	b.sim.deliver(key, server)
}
