package once

import (
	"slices"
	"time"

	"lagoonramp.org/lagoonramp/pkg/rendez"
)

// Peer describes a host as seen by the host that makes a plan. Hosts that left
// after they handed over their records are not peers; lost hosts still are.
type Peer struct {
	ID uint64
	// FirstSeen is the time at which this host first saw the peer. It does not
	// change when the peer is lost and returns.
	FirstSeen time.Duration
	// Lost reports whether the peer crashed or cannot be reached.
	Lost bool
	// RecordsLost reports whether the peer restarted within the window, so that
	// the records of its former process are lost.
	RecordsLost bool
	// Ineligible reports whether the peer is excluded from owning new keys, as
	// while it joins or leaves. It still answers and records reservations.
	Ineligible bool
}

// Plan names the host that runs the request of a key and the hosts at which the
// key is reserved before.
type Plan struct {
	// Owner is the host that runs the request, or 0 if there is none.
	Owner uint64
	// Group lists the hosts that may have a record of the key, in rendezvous
	// order. Whichever host ran the request within the window, at least two
	// hosts of the group recorded it before.
	Group []uint64
	// Replicas lists the reachable hosts of the group, without self. The key is
	// reserved at them before its request runs; HasQuorum decides whether
	// enough of them confirmed.
	Replicas []uint64
	// selfHasRecords reports whether self is in the group and has all its
	// records of the window.
	selfHasRecords bool
	// singleHost reports whether self is the only host.
	singleHost bool
}

const (
	// groupSize is the number of hosts in a group if membership is stable.
	groupSize = 3
	// minCopies is the minimum number of hosts of the group that must record a
	// key before its request runs.
	minCopies = 2
	// maxGroupSize limits the size of the group while many hosts are new. A
	// group that it cuts off may lack hosts that recorded the key.
	maxGroupSize = 13
)

// MakePlan returns the plan for a key, given as its hash. peers must include
// self.
//
// With stable membership the group of a key is the first three hosts in
// rendezvous order, including hosts that are currently lost. A request runs
// only after two hosts of the group have recorded it. A host that joins changes
// the group. The plan therefore includes all hosts up to the third one that has
// been a peer for the whole window: unless maxGroupSize cuts them off, they
// contain every group that was valid within the window. A host that gets
// confirmations from all of them but one has reached at least one of the two
// hosts that recorded the key. During a network partition, two sides cannot both
// reach all but one of three hosts.
func MakePlan(now time.Duration, key uint64, self uint64, peers []Peer, window time.Duration) Plan {
	ranked := slices.Clone(peers)
	slices.SortFunc(ranked, func(a, b Peer) int {
		if rendez.Score(key, a.ID) > rendez.Score(key, b.ID) {
			return -1
		}
		return 1
	})
	p := Plan{singleHost: len(ranked) == 1}
	established := 0
	for _, m := range ranked {
		if p.Owner == 0 && !m.Lost && !m.Ineligible {
			p.Owner = m.ID
		}
		if established >= groupSize || len(p.Group) >= maxGroupSize {
			continue
		}
		p.Group = append(p.Group, m.ID)
		if now-m.FirstSeen >= window {
			established++
		}
		switch {
		case m.ID == self:
			p.selfHasRecords = !m.RecordsLost
		case !m.Lost:
			p.Replicas = append(p.Replicas, m.ID)
		}
	}
	return p
}

// HasQuorum reports whether the request may run, given the number of other hosts
// that recorded the key and have all their records of the window.
func (p *Plan) HasQuorum(confirmed int) bool {
	if p.selfHasRecords {
		confirmed++
	}
	if p.singleHost {
		return confirmed == 1
	}
	return confirmed >= max(len(p.Group)-1, minCopies)
}
