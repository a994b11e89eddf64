package once

import (
	"slices"
	"time"

	"lagoonramp.org/lagoonramp/pkg/rendez"
)

// Peer is a host as the ledger's owner sees it. Hosts that left and handed
// their records over are not listed; hosts that were lost stay listed.
type Peer struct {
	ID uint64
	// Since is when this host first saw the peer. A loss does not change it.
	FirstSeen time.Duration
	// Lost tells that the peer died or cannot be reached.
	Lost bool
	// Forgot tells that the peer was restarted within the window, so that what
	// its former process knew is lost.
	RecordsLost bool
	// Leaving tells that the peer owns no new keys but still answers.
	Ineligible bool
}

// Plan says what a host does before it runs a key.
type Plan struct {
	// Owner is the host that runs the key, 0 if there is none.
	Owner uint64
	// Group lists the hosts of which any that ran the key within the window
	// used two, in rendezvous order.
	Group []uint64
	// Ask lists the hosts of the group that can be asked, without self.
	Replicas []uint64
	// clean tells that self is in the group and has forgotten nothing.
	clean bool
	// alone tells that the group has only self.
	alone bool
}

const (
	// groupSize is how many hosts keep a key in a settled data centre.
	groupSize = 3
	// copies is how many of them must know of a key before it is run.
	copies = 2
	// maxGroup bounds the group while many hosts are new.
	maxGroup = 13
)

// MakePlan plans a key. The peers include self.
//
// The group of a key is its first three hosts in rendezvous order, those
// included that are lost at present. A request is run only after two of the
// group have recorded it. A host that joins changes the group. So the plan
// takes all hosts up to the third one that was seen for the whole window: any
// group in force within the window lies within these. Whoever then asks all
// of them but one has asked one of the two that recorded the key. Two sides
// of a cut cannot both ask all but one of three.
func MakePlan(now time.Duration, key uint64, self uint64, peers []Peer, window time.Duration) Plan {
	ranked := slices.Clone(peers)
	slices.SortFunc(ranked, func(a, b Peer) int {
		if rendez.Score(key, a.ID) > rendez.Score(key, b.ID) {
			return -1
		}
		return 1
	})
	p := Plan{alone: len(ranked) == 1}
	settled := 0
	for _, m := range ranked {
		if p.Owner == 0 && !m.Lost && !m.Ineligible {
			p.Owner = m.ID
		}
		if settled >= groupSize || len(p.Group) >= maxGroup {
			continue
		}
		p.Group = append(p.Group, m.ID)
		if now-m.FirstSeen >= window {
			settled++
		}
		switch {
		case m.ID == self:
			p.clean = !m.RecordsLost
		case !m.Lost:
			p.Replicas = append(p.Replicas, m.ID)
		}
	}
	return p
}

// Enough reports whether the key may be run, given how many hosts recorded
// it that have forgotten nothing, self not counted.
func (p *Plan) HasQuorum(confirmed int) bool {
	if p.clean {
		confirmed++
	}
	if p.alone {
		return confirmed == 1
	}
	return confirmed >= max(len(p.Group)-1, copies)
}
