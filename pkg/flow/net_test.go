package flow

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"lagoonramp.org/lagoonramp/internal/vtime"
	"lagoonramp.org/lagoonramp/pkg/rendez"
)

// fakeNet runs tables of several hosts in virtual time over a network that
// delays, reorders, loses and doubles messages between hosts.
type fakeNet struct {
	vtime.Clock
	rng    *rand.Rand
	hosts  map[uint64]*Table
	frozen map[uint64]bool
	// loss and double are probabilities.
	loss, double float64
	// arrivals lists the servers that each flow's datagrams reached.
	arrivals map[Key][]uint64
	ended    map[Reason]int
	dropped  map[Reason]int
	told     map[uint64]int
}

func newFakeNet(seed uint64) *fakeNet {
	return &fakeNet{
		rng:      rand.New(rand.NewPCG(seed, 1)),
		hosts:    map[uint64]*Table{},
		frozen:   map[uint64]bool{},
		arrivals: map[Key][]uint64{},
		ended:    map[Reason]int{},
		dropped:  map[Reason]int{},
		told:     map[uint64]int{},
	}
}

func (n *fakeNet) add(id uint64, services map[uint64]*ServerSet, set Settings, loads Loads) *Table {
	t := NewTable(set, loads)
	t.SetServers(n.Now(), services)
	n.hosts[id] = t
	var tick func()
	tick = func() {
		if n.hosts[id] != t {
			return
		}
		if !n.frozen[id] {
			n.act(id, t.Tick(n.Now(), nil))
		}
		n.After(30*time.Millisecond, tick)
	}
	n.After(30*time.Millisecond, tick)
	return t
}

// packet hands a datagram to a host as the fabric would.
func (n *fakeNet) packet(host uint64, key Key, hint Hint) {
	t := n.hosts[host]
	if t == nil || n.frozen[host] {
		return
	}
	n.act(host, t.HandleDatagram(n.Now(), key, hint, 0, []byte("x"), nil))
}

func (n *fakeNet) act(host uint64, actions []Action) {
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

func (n *fakeNet) send(m Message) {
	m.Payload = slices.Clone(m.Payload)
	if m.Kind == Exceptions {
		n.told[m.From] += len(m.Payload)
	}
	copies := 1
	if n.rng.Float64() < n.double {
		copies = 2
	}
	for range copies {
		if n.rng.Float64() < n.loss {
			continue
		}
		delay := 200*time.Microsecond + time.Duration(n.rng.IntN(1500))*time.Microsecond
		n.After(delay, func() {
			t := n.hosts[m.To]
			if t == nil || n.frozen[m.To] {
				return
			}
			c := m
			n.act(m.To, t.HandleMessage(n.Now(), &c, nil))
		})
	}
}

func (n *fakeNet) show(v View, hosts ...uint64) {
	for _, h := range hosts {
		w := v
		w.Self = h
		n.hosts[h].SetView(n.Now(), &w)
	}
}

func names(prefix string, count int) []uint64 {
	out := make([]uint64, count)
	for i := range out {
		out[i] = rendez.Hash(fmt.Sprintf("%s-%d", prefix, i))
	}
	return out
}

func sortedIDs(ids ...uint64) []uint64 {
	out := slices.Clone(ids)
	slices.Sort(out)
	return out
}

func key(i int) Key {
	k := Key{Service: 1, Port: uint16(i)}
	k.Caller[14] = byte(i >> 24)
	k.Caller[15] = byte(i >> 16)
	return k
}
