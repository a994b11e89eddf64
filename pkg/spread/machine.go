package spread

import (
	"math/rand/v2"
	"slices"
	"time"

	"lagoonramp.org/lagoonramp/pkg/rendez"
)

// Settings of a Machine. The zero value is usable.
type Settings struct {
	// Watchers is how many hosts of a data centre watch the platform. The
	// default is 2.
	Watchers int
	// Fanout is how many peers get a notice. The default is 4.
	Fanout int
	// FetchTimeout ends a fetch that gave no result. The default is 800 ms.
	FetchTimeout time.Duration
	// Retry is the pause after a failed fetch. The default is 100 ms.
	RetryDelay time.Duration
}

const (
	defaultWatchers     = 2
	defaultFanout       = 4
	defaultFetchTimeout = 800 * time.Millisecond
	defaultRetry        = 100 * time.Millisecond
	// watchKey is what watchers are ranked for.
	watchKey = 0x77617463686572
)

// Fetch asks the embedder to get a revision from a peer.
type Fetch struct {
	Peer     uint64
	Revision uint64
	// Serial has to be given back with the result.
	Serial uint64
}

// Machine decides for one host.
type Machine struct {
	set  Settings
	self uint64
	rng  *rand.Rand
	// hosts are the live hosts of the data centre, self included.
	hosts    []uint64
	revision uint64
	// known holds the highest revision heard of each peer.
	known map[uint64]uint64
	// failed holds when a fetch from a peer failed last.
	failed  map[uint64]time.Duration
	fetch   *Fetch
	since   time.Duration
	serial  uint64
	retryAt time.Duration
}

// New returns a machine for a host.
func New(self uint64, set Settings, rng *rand.Rand) *Machine {
	if rng == nil {
		panic("spread: a random source must be given")
	}
	if set.Watchers == 0 {
		set.Watchers = defaultWatchers
	}
	if set.Fanout == 0 {
		set.Fanout = defaultFanout
	}
	if set.FetchTimeout == 0 {
		set.FetchTimeout = defaultFetchTimeout
	}
	if set.RetryDelay == 0 {
		set.RetryDelay = defaultRetry
	}
	return &Machine{set: set, self: self, rng: rng, known: map[uint64]uint64{}, failed: map[uint64]time.Duration{}}
}

// SetHosts names the live hosts of the data centre, self included.
func (m *Machine) SetHosts(hosts []uint64) {
	m.hosts = slices.Clone(hosts)
	there := make(map[uint64]bool, len(hosts))
	for _, h := range hosts {
		there[h] = true
	}
	for h := range m.known {
		if !there[h] {
			delete(m.known, h)
			delete(m.failed, h)
		}
	}
}

// Watches reports whether this host should watch the platform. Hosts with
// other lists may decide otherwise; too many watchers do no harm.
func (m *Machine) ShouldWatch() bool {
	var buf [8]int
	for _, i := range rendez.Top(watchKey, m.hosts, min(m.set.Watchers, len(buf)), buf[:0]) {
		if m.hosts[i] == m.self {
			return true
		}
	}
	return false
}

// Heard notes the revision of a peer. It returns a fetch to make, or nil.
func (m *Machine) ObserveRevision(now time.Duration, peer, revision uint64) *Fetch {
	if revision > m.known[peer] {
		m.known[peer] = revision
	}
	return m.next(now)
}

// Adopted notes that this host put a revision in force. It returns the peers
// to notify.
func (m *Machine) SetRevision(revision uint64) []uint64 {
	if revision <= m.revision {
		return nil
	}
	m.revision = revision
	m.fetch = nil
	var behind []uint64
	for _, h := range m.hosts {
		if h != m.self && m.known[h] < revision {
			behind = append(behind, h)
		}
	}
	m.rng.Shuffle(len(behind), func(i, j int) { behind[i], behind[j] = behind[j], behind[i] })
	return behind[:min(m.set.Fanout, len(behind))]
}

// Failed notes that a fetch failed. It returns the next one to make, or nil.
func (m *Machine) FetchFailed(now time.Duration, f Fetch) *Fetch {
	if m.fetch == nil || m.fetch.Serial != f.Serial {
		return nil
	}
	m.fetch = nil
	m.failed[f.Peer] = now
	m.retryAt = now + m.set.RetryDelay
	return nil
}

// Tick returns a fetch to make, or nil.
func (m *Machine) Tick(now time.Duration) *Fetch {
	if m.fetch != nil && now-m.since > m.set.FetchTimeout {
		m.FetchFailed(now, *m.fetch)
	}
	return m.next(now)
}

// next starts a fetch from a peer that has a higher revision: the one whose
// last failure is longest ago, by chance among equals.
func (m *Machine) next(now time.Duration) *Fetch {
	if m.fetch != nil || now < m.retryAt {
		return nil
	}
	var best uint64
	ties := 0
	for _, h := range m.hosts {
		if h == m.self || m.known[h] <= m.revision {
			continue
		}
		switch {
		case best == 0 || m.failed[h] < m.failed[best]:
			best = h
			ties = 1
		case m.failed[h] == m.failed[best]:
			ties++
			if m.rng.IntN(ties) == 0 {
				best = h
			}
		}
	}
	if best == 0 {
		return nil
	}
	m.serial++
	m.since = now
	m.fetch = &Fetch{Peer: best, Revision: m.known[best], Serial: m.serial}
	f := *m.fetch
	return &f
}
