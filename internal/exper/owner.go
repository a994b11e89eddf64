package exper

import (
	"slices"
	"time"

	"lagoonramp.org/lagoonramp/pkg/flow"
)

// ownerNet carries flows over tables of package flow, one for each host.
type ownerNet struct {
	w      *flowWorld
	tables []*flow.Table
	dead   []bool
	index  map[uint64]int
	// pinned counts the flows of each host at each server.
	pinned  []map[uint64]int
	actions []flow.Action
	first   bool
}

func newOwnerNet(w *flowWorld) balancer {
	n := &ownerNet{w: w, dead: make([]bool, len(w.hosts)), index: map[uint64]int{}, first: true}
	for i, id := range w.hosts {
		n.index[id] = i
		loads := map[uint64]int{}
		n.pinned = append(n.pinned, loads)
		n.tables = append(n.tables, flow.NewTable(flow.Settings{}, flow.LoadFunc(func(s uint64) float64 { return float64(loads[s]) })))
		w.Every(flowTick+time.Duration(i)*time.Millisecond, func() bool {
			if n.dead[i] {
				return false
			}
			n.do(i, n.tables[i].Tick(w.Now(), n.actions[:0]))
			return true
		})
	}
	w.holder = n.holder
	return n
}

func (n *ownerNet) holder(key flow.Key) int {
	for i, t := range n.tables {
		if _, ok := t.Server(key); ok && !n.dead[i] {
			return i
		}
	}
	return -1
}

// change tells each host of new lists, each at its own time.
func (n *ownerNet) change(active, leaving, lost []uint64, servers *flow.ServerSet) {
	w := n.w
	for i := range n.tables {
		set := func() {
			t := n.tables[i]
			t.SetServers(w.Now(), map[uint64]*flow.ServerSet{serviceID: servers, otherID: servers})
			t.SetView(w.Now(), &flow.View{Self: w.hosts[i], Active: active, Leaving: leaving, Lost: lost})
		}
		switch {
		case n.first:
			set()
		case len(lost) > 0:
			w.After(w.between(0, deathWithin), set)
		case i == w.plan.hosts && w.Now() < time.Hour+w.plan.join+time.Second:
			set() // The host that joins knows itself first.
		default:
			w.After(w.between(0, learnWithin), set)
		}
	}
	n.first = false
}

func (n *ownerNet) crash(host int) { n.dead[host] = true }

func (n *ownerNet) packet(host int, key flow.Key) {
	if n.dead[host] {
		return
	}
	n.do(host, n.tables[host].HandleDatagram(n.w.Now(), key, flow.HintNone, 0, nil, n.actions[:0]))
}

// reply is a datagram of the server to the caller.
func (n *ownerNet) reply(key flow.Key) {
	if h := n.holder(key); h >= 0 {
		n.tables[h].RecordReply(n.w.Now(), key)
	}
}

// do carries out what a host's table decided.
func (n *ownerNet) do(host int, actions []flow.Action) {
	// Deliveries can call back; keep this list from being overwritten.
	n.actions = nil
	for i := range actions {
		a := &actions[i]
		switch a.Kind {
		case flow.SendToServer:
			n.arrived(host, a)
		case flow.SendToHost:
			n.send(a.Message)
		case flow.Opened:
			n.pinned[host][a.Server]++
		case flow.Ended:
			n.pinned[host][a.Server]--
			if a.Reason == flow.ReasonSilent {
				n.silentEnded(a.Key)
			}
		}
	}
	n.actions = actions
}

// arrived is a datagram at a server; the answer comes back at once unless
// something on the way forgot the flow.
func (n *ownerNet) arrived(host int, a *flow.Action) {
	w := n.w
	f := w.flows[a.Key]
	if f != nil && f.muted {
		return
	}
	w.deliver(a.Key, a.Server)
	n.tables[host].RecordReply(w.Now(), a.Key)
}

// silentEnded notes that a flow was found to be silent.
func (n *ownerNet) silentEnded(key flow.Key) {
	w := n.w
	at, ok := w.muted[key]
	if !ok {
		w.result.alarms++
		return
	}
	delete(w.muted, key)
	w.result.silentFound++
	w.result.silentWorst = max(w.result.silentWorst, w.Now()-at)
	if f := w.flows[key]; f != nil {
		// The new path works; the server may be another one.
		f.muted = false
		f.server = 0
	}
}

// send carries a message between hosts.
func (n *ownerNet) send(m flow.Message) {
	w := n.w
	m.Payload = slices.Clone(m.Payload)
	if m.Kind == flow.Exceptions {
		w.result.tellBytes += float64(len(m.Payload) + tellFrame)
	}
	copies := 1
	if w.rng.Float64() < w.plan.double {
		copies = 2
	}
	for range copies {
		if w.rng.Float64() < w.plan.loss {
			continue
		}
		w.After(w.between(hostDelay, hostDelay+hostJitter), func() {
			i, ok := n.index[m.To]
			if !ok || n.dead[i] {
				return
			}
			c := m
			n.do(i, n.tables[i].HandleMessage(w.Now(), &c, nil))
		})
	}
}

// tellFrame is what a datagram adds to told exceptions, in bytes.
const tellFrame = 54 + 48 + 28
