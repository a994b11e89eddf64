package flow

import (
	"slices"

	"lagoonramp.org/lagoonramp/pkg/rendez"
)

// View is the member list of a data centre as one host sees it. It is
// immutable.
type View struct {
	// Self is this host.
	Self uint64
	// Active holds the hosts that own flows, sorted. It does not contain Self
	// while this host is joining or leaving.
	Active []uint64
	// Leaving holds the hosts that do not own flows any more but may still hold
	// some, sorted. It is disjoint from Active.
	Leaving []uint64
	// Lost holds the hosts that failed recently, sorted. It is disjoint from
	// Active and Leaving. These hosts are not queried; their flows are
	// recovered.
	Lost []uint64
}

// Equal reports whether both views have the same members in the same states.
func (v *View) Equal(w *View) bool {
	return v.Self == w.Self &&
		slices.Equal(v.Active, w.Active) &&
		slices.Equal(v.Leaving, w.Leaving) &&
		slices.Equal(v.Lost, w.Lost)
}

// Owner returns the active host that owns the flow with the given key hash, 0
// if no host is active.
func (v *View) Owner(hash uint64) uint64 {
	i := rendez.Owner(hash, v.Active)
	if i < 0 {
		return 0
	}
	return v.Active[i]
}

// Successor returns the active host that would own the flow with the given key
// hash without host, 0 if there is none.
func (v *View) Successor(hash, host uint64) uint64 {
	var best, bestScore uint64
	for _, candidate := range v.Active {
		if candidate == host {
			continue
		}
		score := rendez.Score(hash, candidate)
		if best == 0 || score > bestScore {
			best = candidate
			bestScore = score
		}
	}
	return best
}

// IsMember reports whether a host is active or leaving.
func (v *View) IsMember(host uint64) bool {
	if _, ok := slices.BinarySearch(v.Active, host); ok {
		return true
	}
	_, ok := slices.BinarySearch(v.Leaving, host)
	return ok
}

// queryTargets appends to dst up to limit hosts that may hold the flow with the
// given key hash: the active and leaving hosts without Self, in rendezvous
// order.
func (v *View) queryTargets(hash uint64, limit int, dst []uint64) []uint64 {
	start := len(dst)
	for _, hosts := range [2][]uint64{v.Active, v.Leaving} {
		for _, host := range hosts {
			if host != v.Self {
				dst = insertByScore(hash, dst, start, limit, host)
			}
		}
	}
	return dst
}

// insertByScore inserts host into dst[start:], which is in descending order of
// rendezvous score and keeps its limit hosts with the highest scores.
func insertByScore(hash uint64, dst []uint64, start, limit int, host uint64) []uint64 {
	score := rendez.Score(hash, host)
	j := len(dst)
	for j > start && rendez.Score(hash, dst[j-1]) < score {
		j--
	}
	if j-start >= limit {
		return dst
	}
	if len(dst)-start < limit {
		dst = append(dst, 0)
	}
	copy(dst[j+1:], dst[j:])
	dst[j] = host
	return dst
}

// precededByLost reports whether a lost host ranks before Self for the key
// hash, so that it may have held the flow.
func (v *View) precededByLost(hash uint64) bool {
	selfScore := rendez.Score(hash, v.Self)
	for _, host := range v.Lost {
		if rendez.Score(hash, host) > selfScore {
			return true
		}
	}
	return false
}
