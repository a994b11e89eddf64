package steer

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"lagoonramp.org/lagoonramp/pkg/fleet"
)

// chooseService returns the service of a new flow, by the weights of the
// targets. The choice depends only on the flow key, so that all hosts choose
// the same service for a SYN and its retransmissions.
func chooseService(targets []fleet.Target, k Key) string {
	if len(targets) == 1 {
		return targets[0].Service
	}
	total := 0.0
	for _, t := range targets {
		total += t.Weight
	}
	point := float64(hashKey(k)>>11) / (1 << 53) * total
	for _, t := range targets {
		if point < t.Weight {
			return t.Service
		}
		point -= t.Weight
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
	// warmupCostFactor multiplies the cost of a server that is warming up after
	// its start.
	warmupCostFactor = 1.6
	// sameDataCentrePenalty is added, on a further try, to the cost of a server
	// in the data centre of the server that did not answer, and
	// remoteDataCentrePenalty to the cost of one outside the data centre of the
	// host.
	sameDataCentrePenalty   = 100.0
	remoteDataCentrePenalty = 10.0
)

// chooseServer returns the server with the least cost for a new flow of a
// service, or nil if there is none, or only cold ones that get no flow now. If f is
// not nil, it chooses for the next try of f among the servers that have not been
// tried.
func (t *Table) chooseServer(now time.Duration, service string, f *flow) *fleet.Server {
	var best *fleet.Server
	var bestCost float64
	ties := 0
	for _, s := range t.view.Usable[service] {
		if f != nil && f.wasTried(s.Mark) {
			continue
		}
		cost, ok := t.cost(now, s, f)
		if !ok {
			continue
		}
		switch {
		case best == nil || cost < bestCost:
			best, bestCost, ties = s, cost, 1
		case cost == bestCost:
			ties++
			if t.settings.Rand.IntN(ties) == 0 {
				best = s
			}
		}
	}
	return best
}

func (f *flow) wasTried(m uint32) bool {
	for _, tried := range f.triedMarks[:f.tries] {
		if tried == m {
			return true
		}
	}
	return false
}

// Costs of a server that does not answer. Once a probe has reached it and its
// backoff is over, probeCost ranks it first for a new flow, which shows whether it
// answers SYNs. Otherwise, and for any further try, suspectCost ranks it after all
// servers that answer, and after suspect servers whose latest unanswered SYN is
// older.
const (
	probeCost   = -1.0
	suspectCost = 1e6
)

// cost returns the cost of sending the next flow, or the next try of f, to a
// server. The server with the least cost is chosen. ok is false if the server is
// cold and gets no flow of this host now.
func (t *Table) cost(now time.Duration, s *fleet.Server, f *flow) (cost float64, ok bool) {
	health := t.health[s.Mark]
	mayProbe := health.isSuspect() && f == nil && now >= health.retryAt
	if mayProbe && health.reachability.answeredAt <= health.lastUnansweredAt {
		t.requestSimpleProbe(now, s)
		mayProbe = false
	}
	isCold := health.cold.isCold(now)
	if isCold && !t.mayOffer(now, s, &health.cold) {
		return 0, false
	}
	if mayProbe {
		return probeCost, true
	}
	if health.isSuspect() || t.isUnreachable(now, s) {
		return suspectCost + float64(health.lastUnansweredAt)/float64(time.Second), true
	}
	if isCold && f == nil && health.inFlight < s.Slots {
		return coldTurnCost, true
	}
	return t.loadCost(now, s, f, health), true
}

// loadCost returns the cost of a server that answers, by its load.
func (t *Table) loadCost(now time.Duration, s *fleet.Server, f *flow, health *Health) float64 {
	cost := float64(health.inFlight+1) / float64(s.Slots) * health.slowness.costFactor(now)
	if now < s.WarmupEnd {
		cost *= warmupCostFactor
	}
	if f != nil {
		cost += t.dataCentrePenalty(s, f)
	}
	return cost
}

// dataCentrePenalty returns the penalty on a server for a further try of f. It
// prefers servers that stay reachable if the data centre of the server that did
// not answer has been cut off.
func (t *Table) dataCentrePenalty(s *fleet.Server, f *flow) float64 {
	unresponsive := t.view.ServersByMark[f.triedMarks[f.tries-1]]
	if unresponsive != nil && s.DataCentre == unresponsive.DataCentre {
		return sameDataCentrePenalty
	}
	if s.DataCentre != t.settings.DataCentre {
		return remoteDataCentrePenalty
	}
	return 0
}
