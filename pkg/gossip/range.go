package gossip

import (
	"math"
	"slices"
)

// Range is a range of host IDs, including both ends.
type Range struct {
	First uint64 `json:"first"`
	Last  uint64 `json:"last"`
}

// FullRange is the range that contains all hosts.
var FullRange = Range{Last: math.MaxUint64}

// Delegate is a host that receives a broadcast message and forwards it to the
// other hosts of a range.
type Delegate struct {
	Host  uint64
	Range Range
}

// minDegree is the minimum degree of Split: one delegate for the IDs below the
// host's own and one for those above.
const minDegree = 2

// Split divides the range for which the host self forwards a message among at
// most degree of the other hosts in it. Each delegate splits its own range in
// the same way, so every host receives the message once, after about
// log(hosts)/log(degree) steps. The ranges of the delegates do not overlap and
// cover the whole range except self. Therefore no host receives a message twice
// even if the lists of hosts differ, and a delegate reaches hosts that the
// sender does not know. The function pick selects a delegate from a list of
// candidates. Split panics if degree is less than 2.
//
// The method is described in El-Ansary, Alima, Brand and Haridi, "Efficient
// Broadcast in Structured P2P Networks", IPTPS 2003.
func (r Range) Split(self uint64, hosts []uint64, degree int, pick func([]uint64) uint64) []Delegate {
	if degree < minDegree {
		panic("gossip: the degree must be at least 2")
	}
	var below, above []uint64
	for _, h := range hosts {
		switch {
		case h < r.First || h > r.Last || h == self:
		case h < self:
			below = append(below, h)
		default:
			above = append(above, h)
		}
	}
	belowDegree := degree * len(below) / max(1, len(below)+len(above))
	if len(above) > 0 {
		belowDegree = min(belowDegree, degree-1)
	}
	if len(below) > 0 {
		belowDegree = max(belowDegree, 1)
	}
	out := make([]Delegate, 0, degree)
	if self > r.First {
		out = appendDelegates(out, Range{First: r.First, Last: self - 1}, below, belowDegree, pick)
	}
	if self < r.Last {
		out = appendDelegates(out, Range{First: self + 1, Last: r.Last}, above, degree-belowDegree, pick)
	}
	return out
}

// appendDelegates divides a range into at most degree ranges with about the same
// number of hosts and appends a delegate for each.
func appendDelegates(out []Delegate, r Range, hosts []uint64, degree int, pick func([]uint64) uint64) []Delegate {
	slices.Sort(hosts)
	n := len(hosts)
	chunks := min(degree, n)
	for i := range chunks {
		start, end := i*n/chunks, (i+1)*n/chunks
		sub := r
		if i > 0 {
			sub.First = hosts[start]
		}
		if i < chunks-1 {
			sub.Last = hosts[end] - 1
		}
		out = append(out, Delegate{Host: pick(hosts[start:end]), Range: sub})
	}
	return out
}
