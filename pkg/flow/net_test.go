package flow

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"lagoonramp.org/lagoonramp/internal/vtime"
	"lagoonramp.org/lagoonramp/pkg/rendez"
)

// fakeNet simulates the tables of several hosts in virtual time. Its network
// delays, reorders, drops and duplicates messages between hosts.
type fakeNet struct {
	vtime.Clock
	rng    *rand.Rand
	hosts  map[uint64]*Table
	paused map[uint64]bool
	// loss and duplicate are the probabilities that a message is dropped or
	// duplicated.
	loss, duplicate float64
	// arrivals lists the servers that received the datagrams of each flow, in
	// order.
	arrivals       map[Key][]uint64
	ended          map[Reason]int
	dropped        map[Reason]int
	exceptionBytes map[uint64]int
}

func newFakeNet(seed uint64) *fakeNet {
	return &fakeNet{
		rng:            rand.New(rand.NewPCG(seed, 1)),
		hosts:          map[uint64]*Table{},
		paused:         map[uint64]bool{},
		arrivals:       map[Key][]uint64{},
		ended:          map[Reason]int{},
		dropped:        map[Reason]int{},
		exceptionBytes: map[uint64]int{},
	}
}

// add starts the table of a host and its ticks.
func (n *fakeNet) add(id uint64, services map[uint64]*ServerSet, settings Settings, loads Loads) *Table {
	t := NewTable(settings, loads)
	t.SetServers(n.Now(), services)
	n.hosts[id] = t
	var tick func()
	tick = func() {
		if n.hosts[id] != t {
			return
		}
		if !n.paused[id] {
			n.perform(id, t.Tick(n.Now(), nil))
		}
		n.After(30*time.Millisecond, tick)
	}
	n.After(30*time.Millisecond, tick)
	return t
}

// sendDatagram sends a datagram to a host, as the fabric does.
func (n *fakeNet) sendDatagram(host uint64, key Key, hint Hint) {
	t := n.hosts[host]
	if t == nil || n.paused[host] {
		return
	}
	n.perform(host, t.HandleDatagram(n.Now(), key, hint, 0, []byte("x"), nil))
}

// perform carries out the actions of a host's table. A server replies to each
// datagram after 1 ms.
func (n *fakeNet) perform(host uint64, actions []Action) {
	for _, a := range actions {
		switch a.Kind {
		case SendToServer:
			n.arrivals[a.Key] = append(n.arrivals[a.Key], a.Server)
			key := a.Key
			n.After(time.Millisecond, func() {
				if t := n.hosts[host]; t != nil {
					t.RecordReply(n.Now(), key)
				}
			})
		case SendToHost:
			n.send(a.Message)
		case Ended:
			n.ended[a.Reason]++
		case Dropped:
			n.dropped[a.Reason]++
		}
	}
}

// send delivers a message with a random delay, possibly never or twice.
func (n *fakeNet) send(m Message) {
	m.Payload = slices.Clone(m.Payload)
	if m.Kind == Exceptions {
		n.exceptionBytes[m.From] += len(m.Payload)
	}
	copies := 1
	if n.rng.Float64() < n.duplicate {
		copies = 2
	}
	for range copies {
		if n.rng.Float64() < n.loss {
			continue
		}
		delay := 200*time.Microsecond + time.Duration(n.rng.IntN(1500))*time.Microsecond
		n.After(delay, func() {
			t := n.hosts[m.To]
			if t == nil || n.paused[m.To] {
				return
			}
			c := m
			n.perform(m.To, t.HandleMessage(n.Now(), &c, nil))
		})
	}
}

// setView gives the view to the hosts, with Self set to each.
func (n *fakeNet) setView(v View, hosts ...uint64) {
	for _, h := range hosts {
		w := v
		w.Self = h
		n.hosts[h].SetView(n.Now(), &w)
	}
}

// hashedNames returns the hashes of prefix-0, prefix-1 and so on.
func hashedNames(prefix string, count int) []uint64 {
	out := make([]uint64, count)
	for i := range out {
		out[i] = rendez.Hash(fmt.Sprintf("%s-%d", prefix, i))
	}
	return out
}

// sortedIDs returns a sorted copy of ids.
func sortedIDs(ids ...uint64) []uint64 {
	out := slices.Clone(ids)
	slices.Sort(out)
	return out
}

// testKey returns the i-th key of service 1.
func testKey(i int) Key {
	k := Key{Service: 1, Port: uint16(i)}
	k.Caller[14] = byte(i >> 24)
	k.Caller[15] = byte(i >> 16)
	return k
}
