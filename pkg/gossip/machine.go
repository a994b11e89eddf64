package gossip

import (
	"math/rand/v2"
	"slices"
	"time"

	"lagoonramp.org/lagoonramp/pkg/mirror"
	"lagoonramp.org/lagoonramp/pkg/rendez"
)

// Settings holds the parameters of a Machine. Zero fields take their defaults.
type Settings struct {
	// Watchers is the number of hosts of the group that watch the store. The
	// default is 2; at most 8 are used.
	Watchers int
	// Fanout is the number of peers that a host notifies when it adopts a
	// revision. The default is 4.
	Fanout int
	// FetchTimeout is the time after which a fetch without a result counts as
	// failed. The default is 800 ms.
	FetchTimeout time.Duration
	// RetryDelay is the delay between a failed fetch and the next one. The
	// default is 100 ms.
	RetryDelay time.Duration
}

const (
	defaultWatchers     = 2
	defaultFanout       = 4
	defaultFetchTimeout = 800 * time.Millisecond
	defaultRetryDelay   = 100 * time.Millisecond
	// watchKey is the rendezvous key by which hosts are ranked as watchers.
	watchKey = 0x77617463686572
)

// Fetch asks the application to fetch a version from a peer.
type Fetch struct {
	Peer uint64
	mirror.Version
	// Serial identifies the fetch when it is reported as failed.
	Serial uint64
}

// Machine decides for one host when to fetch a version, from which peer, and
// which peers to notify of it. An application whose revisions never go back uses
// revisions alone. It is not safe for concurrent use.
type Machine struct {
	settings Settings
	self     uint64
	rng      *rand.Rand
	// hosts holds the live hosts of the group, including self.
	hosts   []uint64
	version mirror.Version
	// peerVersions holds the highest version reported by each peer.
	peerVersions map[uint64]mirror.Version
	// lastFailure holds when the last fetch from each peer failed.
	lastFailure map[uint64]time.Duration
	// inFlight is the current fetch, or nil; fetchStart is when it was started.
	inFlight   *Fetch
	fetchStart time.Duration
	lastSerial uint64
	retryAt    time.Duration
}

// New returns a Machine for the host self. It panics if rng is nil.
func New(self uint64, settings Settings, rng *rand.Rand) *Machine {
	if rng == nil {
		panic("gossip: a random source must be given")
	}
	if settings.Watchers == 0 {
		settings.Watchers = defaultWatchers
	}
	if settings.Fanout == 0 {
		settings.Fanout = defaultFanout
	}
	if settings.FetchTimeout == 0 {
		settings.FetchTimeout = defaultFetchTimeout
	}
	if settings.RetryDelay == 0 {
		settings.RetryDelay = defaultRetryDelay
	}
	return &Machine{
		settings: settings, self: self, rng: rng,
		peerVersions: map[uint64]mirror.Version{}, lastFailure: map[uint64]time.Duration{},
	}
}

// SetHosts sets the live hosts of the group, including self.
func (m *Machine) SetHosts(hosts []uint64) {
	m.hosts = slices.Clone(hosts)
	present := make(map[uint64]bool, len(hosts))
	for _, h := range hosts {
		present[h] = true
	}
	for h := range m.peerVersions {
		if !present[h] {
			delete(m.peerVersions, h)
			delete(m.lastFailure, h)
		}
	}
}

// ShouldWatch reports whether this host should watch the store. Hosts with
// different lists may select different watchers; additional watchers do no harm.
func (m *Machine) ShouldWatch() bool {
	var buf [8]int
	for _, i := range rendez.Top(watchKey, m.hosts, min(m.settings.Watchers, len(buf)), buf[:0]) {
		if m.hosts[i] == m.self {
			return true
		}
	}
	return false
}

// ObserveRevision is ObserveVersion for a revision without an era.
func (m *Machine) ObserveRevision(now time.Duration, peer, revision uint64) *Fetch {
	return m.ObserveVersion(now, peer, mirror.Version{Revision: revision})
}

// ObserveVersion records the version that a peer reported. It returns the fetch to
// start, or nil.
func (m *Machine) ObserveVersion(now time.Duration, peer uint64, version mirror.Version) *Fetch {
	if version.Compare(m.peerVersions[peer]) > 0 {
		m.peerVersions[peer] = version
	}
	return m.startFetch(now)
}

// SetRevision is SetVersion for a revision without an era.
func (m *Machine) SetRevision(revision uint64) []uint64 {
	return m.SetVersion(mirror.Version{Revision: revision})
}

// SetVersion records that this host has adopted a version. It returns the peers to
// notify: a random choice of those not known to have the version.
func (m *Machine) SetVersion(version mirror.Version) []uint64 {
	if version.Compare(m.version) <= 0 {
		return nil
	}
	m.version = version
	m.inFlight = nil
	var behind []uint64
	for _, h := range m.hosts {
		if h != m.self && m.peerVersions[h].Compare(version) < 0 {
			behind = append(behind, h)
		}
	}
	m.rng.Shuffle(len(behind), func(i, j int) { behind[i], behind[j] = behind[j], behind[i] })
	return behind[:min(m.settings.Fanout, len(behind))]
}

// FetchFailed records that a fetch failed. It always returns nil: the next
// fetch is started by Tick or ObserveRevision after the retry delay.
func (m *Machine) FetchFailed(now time.Duration, f Fetch) *Fetch {
	if m.inFlight == nil || m.inFlight.Serial != f.Serial {
		return nil
	}
	m.inFlight = nil
	m.lastFailure[f.Peer] = now
	m.retryAt = now + m.settings.RetryDelay
	return nil
}

// Tick checks the timeout of the current fetch and returns the fetch to start,
// or nil.
func (m *Machine) Tick(now time.Duration) *Fetch {
	if m.inFlight != nil && now-m.fetchStart > m.settings.FetchTimeout {
		m.FetchFailed(now, *m.inFlight)
	}
	return m.startFetch(now)
}

// startFetch returns a fetch from a peer that has a higher version, or nil. It
// selects the peer with the oldest failure, and a random one among ties.
func (m *Machine) startFetch(now time.Duration) *Fetch {
	if m.inFlight != nil || now < m.retryAt {
		return nil
	}
	var best uint64
	ties := 0
	for _, h := range m.hosts {
		if h == m.self || m.peerVersions[h].Compare(m.version) <= 0 {
			continue
		}
		switch {
		case best == 0 || m.lastFailure[h] < m.lastFailure[best]:
			best = h
			ties = 1
		case m.lastFailure[h] == m.lastFailure[best]:
			ties++
			if m.rng.IntN(ties) == 0 {
				best = h
			}
		}
	}
	if best == 0 {
		return nil
	}
	m.lastSerial++
	m.fetchStart = now
	m.inFlight = &Fetch{Peer: best, Version: m.peerVersions[best], Serial: m.lastSerial}
	f := *m.inFlight
	return &f
}
