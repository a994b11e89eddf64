package spread

import (
	"math"
	"slices"
)

// Part is a range of hosts by their IDs, both ends included.
type Range struct {
	First uint64 `json:"first"`
	Last  uint64 `json:"last"`
}

// Everyone is the part that holds all hosts.
var FullRange = Range{Last: math.MaxUint64}

// Delegate is a host that gets a message and hands it on to a part.
type Delegate struct {
	Host  uint64
	Range Range
}

// minDegree lets a host cover both sides of itself.
const minDegree = 2

// Split divides a part, from which a host hands a message on, among at most
// degree of its other hosts. Each delegate does the same with its own part, so
// everyone gets the message once after about log(hosts)/log(degree) steps. The
// parts of the delegates cover the whole part but for self and do not overlap:
// hosts whose lists differ still send no message twice, and a delegate reaches
// hosts that the sender did not know. Pick chooses one of some hosts.
//
// The method is that of El-Ansary, Alima, Brand and Haridi, "Efficient Broadcast
// in Structured P2P Networks" (IPTPS 2003).
func (p Range) Split(self uint64, hosts []uint64, degree int, pick func([]uint64) uint64) []Delegate {
	if degree < minDegree {
		panic("spread: a degree must be at least 2")
	}
	var below, above []uint64
	for _, h := range hosts {
		switch {
		case h < p.First || h > p.Last || h == self:
		case h < self:
			below = append(below, h)
		default:
			above = append(above, h)
		}
	}
	forBelow := degree * len(below) / max(1, len(below)+len(above))
	if len(above) > 0 {
		forBelow = min(forBelow, degree-1)
	}
	if len(below) > 0 {
		forBelow = max(forBelow, 1)
	}
	out := make([]Delegate, 0, degree)
	if self > p.First {
		out = appendDelegates(out, Range{First: p.First, Last: self - 1}, below, forBelow, pick)
	}
	if self < p.Last {
		out = appendDelegates(out, Range{First: self + 1, Last: p.Last}, above, degree-forBelow, pick)
	}
	return out
}

// appendDelegates divides a part among some of its hosts.
func appendDelegates(out []Delegate, p Range, hosts []uint64, degree int, pick func([]uint64) uint64) []Delegate {
	slices.Sort(hosts)
	n := len(hosts)
	chunks := min(degree, n)
	for i := range chunks {
		start, end := i*n/chunks, (i+1)*n/chunks
		part := p
		if i > 0 {
			part.First = hosts[start]
		}
		if i < chunks-1 {
			part.Last = hosts[end] - 1
		}
		out = append(out, Delegate{Host: pick(hosts[start:end]), Range: part})
	}
	return out
}
