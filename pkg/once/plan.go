package once

import (
	"slices"
	"time"

	"lagoonramp.org/lagoonramp/pkg/rendez"
)

// Peer is a host as the ledger's owner sees it.
type Peer struct {
	ID uint64
	// Since is when this host first saw the peer alive without a break.
	Since time.Duration
	// Lost tells that the peer died or cannot be reached. Peers that were
	// lost longer ago than the window are left out.
	Lost bool
	// Forgot tells that the peer was restarted within the window, so that what
	// its former process knew is lost.
	Forgot bool
	// Leaving tells that the peer owns no new keys but still answers.
	Leaving bool
}

// Plan says what a host does before it runs a key.
type Plan struct {
	// Owner is the host that runs the key, 0 if there is none.
	Owner uint64
	// Ask lists the hosts at which the key is reserved, in order.
	Ask []uint64
	// Settled is how many of Ask, from the first on, must all answer: after
	// them any host that could have run the key is covered.
	Settled int
	// Unsure tells that two hosts whose memory is lost may have shared the
	// only knowledge of the key.
	Unsure bool
}

const (
	// maxAsk bounds the hosts at which a key is reserved.
	maxAsk = 5
	// copies is how many hosts know of a key before it is run, the owner
	// included.
	copies = 2
)

// MakePlan plans a key. The peers include self.
//
// A request is run only after its owner and the next host in the order have
// recorded the key. So two neighbours among the hosts alive at that time know
// of it. A host that has been alive for the whole window and ranks first
// among such hosts is one of any such pair, unless both of the pair rank
// before it; then one of the pair must still be alive to be asked, or both
// are lost and the plan is unsure. A host that was restarted counts as lost
// for what it knew before.
func MakePlan(now time.Duration, key uint64, self uint64, peers []Peer, window time.Duration) Plan {
	ranked := slices.Clone(peers)
	slices.SortFunc(ranked, func(a, b Peer) int {
		if rendez.Score(key, a.ID) > rendez.Score(key, b.ID) {
			return -1
		}
		return 1
	})
	var p Plan
	lost := 0
	covered := false
	for _, m := range ranked {
		if (m.Lost || m.Forgot) && !covered {
			lost++
		}
		if m.Lost {
			continue
		}
		if p.Owner == 0 && !m.Leaving {
			p.Owner = m.ID
		}
		settled := now-m.Since >= window
		if m.ID != self {
			enough := covered && len(p.Ask) >= copies-1
			if !enough && len(p.Ask) < maxAsk {
				p.Ask = append(p.Ask, m.ID)
			}
		}
		if !covered {
			p.Settled = len(p.Ask)
		}
		covered = covered || settled
	}
	p.Unsure = lost >= copies
	return p
}

// Enough reports whether the answers suffice to run the key: each host that
// must be covered confirmed, and one more copy exists. A plan without hosts
// to ask is enough only if the data centre has a single host.
func (p *Plan) Enough(confirmed []uint64, alone bool) bool {
	if p.Unsure {
		return false
	}
	if len(p.Ask) == 0 {
		return alone
	}
	missing := 0
	for _, h := range p.Ask[:p.Settled] {
		if !slices.Contains(confirmed, h) {
			missing++
		}
	}
	return missing == 0 && len(confirmed) >= copies-1
}
