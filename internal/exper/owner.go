package exper

import (
	"slices"
	"time"

	"lagoonramp.org/lagoonramp/pkg/flow"
)

// ownerBalancer is the balancer of lagoonramp: one table of package flow for each host.
type ownerBalancer struct {
	sim       *flowSim
	tables    []*flow.Table
	crashed   []bool
	hostIndex map[uint64]int
	// flowsAt counts the open flows of each host by server.
	flowsAt []map[uint64]int
	actions []flow.Action
	// initial is true until the first reconfiguration.
	initial bool
}

func newOwnerBalancer(sim *flowSim) flowBalancer {
	b := &ownerBalancer{sim: sim, crashed: make([]bool, len(sim.hosts)), hostIndex: map[uint64]int{}, initial: true}
	for i, id := range sim.hosts {
		b.hostIndex[id] = i
		loads := map[uint64]int{}
		b.flowsAt = append(b.flowsAt, loads)
		b.tables = append(b.tables, flow.NewTable(flow.Settings{}, flow.LoadFunc(func(s uint64) float64 { return float64(loads[s]) })))
		sim.Every(flowTickInterval+time.Duration(i)*time.Millisecond, func() bool {
			if b.crashed[i] {
				return false
			}
			b.apply(i, b.tables[i].Tick(sim.Now(), b.actions[:0]))
			return true
		})
	}
	sim.holder = b.holder
	return b
}

// holder returns the index of the host that has pinned a flow, or -1.
func (b *ownerBalancer) holder(key flow.Key) int {
	for i, t := range b.tables {
		if _, ok := t.Server(key); ok && !b.crashed[i] {
			return i
		}
	}
	return -1
}

// reconfigure passes new lists of hosts and servers to each host after a random
// delay. The first lists take effect at once.
func (b *ownerBalancer) reconfigure(active, leaving, lost []uint64, servers *flow.ServerSet) {
	sim := b.sim
	for i := range b.tables {
		update := func() {
			t := b.tables[i]
			t.SetServers(sim.Now(), map[uint64]*flow.ServerSet{flowServiceID: servers, otherServiceID: servers})
			t.SetView(sim.Now(), &flow.View{Self: sim.hosts[i], Active: active, Leaving: leaving, Lost: lost})
		}
		switch {
		case b.initial:
			update()
		case len(lost) > 0:
			sim.After(sim.uniform(0, crashDetectionJitter), update)
		case i == sim.plan.hosts && sim.Now() < time.Hour+sim.plan.joinAt+time.Second:
			update() // The joining host is the first to know of itself.
		default:
			sim.After(sim.uniform(0, maxChangeDelay), update)
		}
	}
	b.initial = false
}

func (b *ownerBalancer) crash(host int) { b.crashed[host] = true }

func (b *ownerBalancer) handleDatagram(host int, key flow.Key) {
	if b.crashed[host] {
		return
	}
	b.apply(host, b.tables[host].HandleDatagram(b.sim.Now(), key, flow.HintNone, 0, nil, b.actions[:0]))
}

// handleReply passes a datagram from the server to the host that has pinned the flow.
func (b *ownerBalancer) handleReply(key flow.Key) {
	if h := b.holder(key); h >= 0 {
		b.tables[h].RecordReply(b.sim.Now(), key)
	}
}

// apply carries out the actions of a host's table.
func (b *ownerBalancer) apply(host int, actions []flow.Action) {
	// deliverToServer may call apply again, which must not overwrite this list.
	b.actions = nil
	for i := range actions {
		a := &actions[i]
		switch a.Kind {
		case flow.SendToServer:
			b.deliverToServer(host, a)
		case flow.SendToHost:
			b.sendMessage(a.Message)
		case flow.Opened:
			b.flowsAt[host][a.Server]++
		case flow.Ended:
			b.flowsAt[host][a.Server]--
			if a.Reason == flow.ReasonUnresponsive {
				b.recordUnresponsive(a.Key)
			}
		}
	}
	b.actions = actions
}

// deliverToServer delivers a datagram to its server, which replies at once.
// Datagrams of a blackholed flow are dropped.
func (b *ownerBalancer) deliverToServer(host int, a *flow.Action) {
	sim := b.sim
	f := sim.flows[a.Key]
	if f != nil && f.blackholed {
		return
	}
	sim.deliver(a.Key, a.Server)
	b.tables[host].RecordReply(sim.Now(), a.Key)
}

// recordUnresponsive records that a table ended a flow as unresponsive. If the
// flow was not blackholed, this is a false alarm.
func (b *ownerBalancer) recordUnresponsive(key flow.Key) {
	sim := b.sim
	at, ok := sim.blackholedAt[key]
	if !ok {
		sim.result.falseAlarms++
		return
	}
	delete(sim.blackholedAt, key)
	sim.result.blackholesDetected++
	sim.result.maxDetectionDelay = max(sim.result.maxDetectionDelay, sim.Now()-at)
	if f := sim.flows[key]; f != nil {
		// The flow opens again on a working path, possibly to another server.
		f.blackholed = false
		f.server = 0
	}
}

// sendMessage delivers a message to another host after a random delay. It may
// lose or duplicate the message.
func (b *ownerBalancer) sendMessage(m flow.Message) {
	sim := b.sim
	m.Payload = slices.Clone(m.Payload)
	if m.Kind == flow.Exceptions {
		sim.result.exceptionBytes += float64(len(m.Payload) + exceptionsOverhead)
	}
	copies := 1
	if sim.rng.Float64() < sim.plan.duplicateRate {
		copies = 2
	}
	for range copies {
		if sim.rng.Float64() < sim.plan.lossRate {
			continue
		}
		sim.After(sim.uniform(minHostDelay, minHostDelay+hostJitter), func() {
			i, ok := b.hostIndex[m.To]
			if !ok || b.crashed[i] {
				return
			}
			c := m
			b.apply(i, b.tables[i].HandleMessage(sim.Now(), &c, nil))
		})
	}
}

// exceptionsOverhead is the size in bytes of the headers of a datagram that
// carries exceptions: flow message, peer envelope, IPv4 and UDP.
const exceptionsOverhead = 54 + 48 + 28
