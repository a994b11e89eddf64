package flow

import (
	"slices"

	"lagoonramp.org/lagoonramp/pkg/rendez"
)

// View is an immutable member list of a data centre as one host sees it.
type View struct {
	// Self is the host that the view belongs to.
	Self uint64
	// Active holds the hosts that own flows, sorted. It may lack Self, if
	// this host is leaving.
	Active []uint64
	// Leaving holds the hosts that own no new flows but still hold old ones,
	// sorted. It is disjoint from Active.
	Leaving []uint64
	// Lost holds hosts that died not long ago, sorted. It is disjoint from
	// both. They are not asked; their flows are recovered.
	Lost []uint64
}

// Equal reports whether both views have the same members in the same states.
func (v *View) Equal(w *View) bool {
	return v.Self == w.Self &&
		slices.Equal(v.Active, w.Active) &&
		slices.Equal(v.Leaving, w.Leaving) &&
		slices.Equal(v.Lost, w.Lost)
}

// Owner returns the host that owns a key hash, or 0 if no host is active.
func (v *View) Owner(hash uint64) uint64 {
	i := rendez.Owner(hash, v.Active)
	if i < 0 {
		return 0
	}
	return v.Active[i]
}

// Successor returns the active host that owns a key hash if host is gone, or
// 0 if there is none.
func (v *View) Successor(hash, host uint64) uint64 {
	var best, top uint64
	for _, m := range v.Active {
		if m == host {
			continue
		}
		s := rendez.Score(hash, m)
		if best == 0 || s > top {
			best = m
			top = s
		}
	}
	return best
}

// Knows reports whether a host is active or leaving in the view.
func (v *View) IsMember(host uint64) bool {
	if _, ok := slices.BinarySearch(v.Active, host); ok {
		return true
	}
	_, ok := slices.BinarySearch(v.Leaving, host)
	return ok
}

// askable appends to dst up to k hosts that may hold a flow with the given
// hash, in rendezvous order over active and leaving hosts, without self.
func (v *View) askable(hash uint64, k int, dst []uint64) []uint64 {
	start := len(dst)
	for _, list := range [2][]uint64{v.Active, v.Leaving} {
		for _, m := range list {
			if m != v.Self {
				dst = insertByScore(hash, dst, start, k, m)
			}
		}
	}
	return dst
}

func insertByScore(hash uint64, dst []uint64, start, k int, m uint64) []uint64 {
	s := rendez.Score(hash, m)
	j := len(dst)
	for j > start && rendez.Score(hash, dst[j-1]) < s {
		j--
	}
	if j-start >= k {
		return dst
	}
	if len(dst)-start < k {
		dst = append(dst, 0)
	}
	copy(dst[j+1:], dst[j:])
	dst[j] = m
	return dst
}

// ownedByLost reports whether a host that died not long ago ranks before
// self for the hash, so that it may have held the flow.
func (v *View) ownedByLost(hash uint64) bool {
	own := rendez.Score(hash, v.Self)
	for _, m := range v.Lost {
		if rendez.Score(hash, m) > own {
			return true
		}
	}
	return false
}
