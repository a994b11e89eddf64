package steer

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"lagoonramp.org/lagoonramp/pkg/fleet"
)

// chooseTarget returns the service of a new flow. It depends on the flow's ends
// only, so that every host chooses alike for the copies of a SYN.
func chooseTarget(targets []fleet.Target, k Key) string {
	if len(targets) == 1 {
		return targets[0].Service
	}
	total := 0.0
	for _, t := range targets {
		total += t.Weight
	}
	at := float64(hashKey(k)>>11) / (1 << 53) * total
	for _, t := range targets {
		if at < t.Weight {
			return t.Service
		}
		at -= t.Weight
	}
	return targets[len(targets)-1].Service
}

func hashKey(k Key) uint64 {
	var b [36]byte
	caller, service := k.Caller.Addr().As16(), k.Service.Addr().As16()
	copy(b[:], caller[:])
	copy(b[16:], service[:])
	binary.BigEndian.PutUint16(b[32:], k.Caller.Port())
	binary.BigEndian.PutUint16(b[34:], k.Service.Port())
	return xxhash.Sum64(b[:])
}

const (
	// coldCost multiplies the cost of a server that is still slow after its
	// start.
	coldCost = 1.6
	// sameCentreCost is added for a second try in the data centre of the
	// server that did not answer, and otherCentreCost for one in another data
	// centre than the host's.
	sameCentreCost  = 100.0
	otherCentreCost = 10.0
)

// choose returns the server for a new flow of a service, or for the next try of
// flow f, or nil if none is left.
func (t *Table) choose(now time.Duration, service string, f *flow) *fleet.Server {
	var best *fleet.Server
	var bestCost float64
	ties := 0
	for _, s := range t.view.Usable[service] {
		if f != nil && f.wasTried(s.Mark) {
			continue
		}
		cost := t.cost(now, s, f)
		switch {
		case best == nil || cost < bestCost:
			best, bestCost, ties = s, cost, 1
		case cost == bestCost:
			ties++
			if t.set.Rand.IntN(ties) == 0 {
				best = s
			}
		}
	}
	return best
}

func (f *flow) wasTried(m uint32) bool {
	for _, tried := range f.tried[:f.tries] {
		if tried == m {
			return true
		}
	}
	return false
}

// The cost of a server that does not answer: probeCost makes a server get one
// flow when its rest is over, restCost keeps it for when no other is left.
const (
	probeCost = -1.0
	restCost  = 1e6
)

// cost returns what speaks against a server for the next flow.
func (t *Table) cost(now time.Duration, s *fleet.Server, f *flow) float64 {
	h := t.servers[s.Mark]
	if h.suspect() {
		if now < h.retryAt || f != nil {
			return restCost + float64(h.missedAt)/float64(time.Second)
		}
		return probeCost
	}
	cost := float64(h.busy+1) / float64(s.Slots) * h.speed.factor(now)
	if now < s.WarmupEnd {
		cost *= coldCost
	}
	if f != nil {
		cost += t.farCost(s, f)
	}
	return cost
}

// farCost prefers, for a second try, servers that the cut of a data centre
// would not take away together with the one that did not answer.
func (t *Table) farCost(s *fleet.Server, f *flow) float64 {
	silent := t.view.ServersByMark[f.tried[f.tries-1]]
	if silent != nil && s.DataCentre == silent.DataCentre {
		return sameCentreCost
	}
	if s.DataCentre != t.set.DataCentre {
		return otherCentreCost
	}
	return 0
}
