package warmup

import (
	"maps"
	"slices"
	"time"
)

const (
	// HoldDown is how long a host's knowledge of the hosts of its data centre must
	// be unchanged before the host feeds servers. Hosts that are in touch learn of a
	// new host within two seconds. The third second separates flows that hosts send
	// by the old ranking from those by the new one by the window of the bound.
	HoldDown = 3 * time.Second
	// expiredMemory is how long Membership remembers a host after the application
	// has forgotten it.
	expiredMemory = 10 * time.Minute
)

// Host is what a host knows about another host of its data centre.
type Host struct {
	ID uint64
	// LastSeen is when any host last received a message of the host.
	LastSeen time.Duration
	// Heard reports whether this host has received a message directly from the
	// host. It then knows this host, since hosts send messages only to hosts that
	// they know.
	Heard bool
	// Left reports whether the host announced that it leaves. It then feeds no
	// servers.
	Left bool
}

// Membership decides from when on a host feeds cold servers, by its knowledge of
// the hosts of its data centre. It addresses hosts that know different things:
//
//   - a host that has just started, or that was paused, may not know all hosts: it
//     feeds servers once it has heard directly from each host that it knows, so that
//     none of these ranks the hosts without it, and after a hold-down;
//   - a host that is lost would delay this until it is forgotten. Once it has been
//     lost for so long that it feeds no servers if it is cut off from a majority, it
//     need not be heard, provided that this host has the list of an established host.
//     After a power failure no host may have known all others;
//   - a host that joins becomes known to the others at different times: each holds
//     down from when it learns of it;
//   - a partition inside a data centre may last until both sides forget each other:
//     only a side with a majority of the hosts feeds servers from then on. A host that
//     joins counts only once the others had a majority without it, so that hosts that
//     join on the smaller side do not make it a second majority.
type Membership struct {
	self uint64
	// hosts holds the IDs of the known hosts, including self and lost hosts, in
	// ascending order.
	hosts []uint64
	// changedAt is when hosts last changed, or when Restart was last called.
	changedAt time.Duration
	// established is set once the host has heard from each host that it knew.
	established bool
	// hasFullList is set once the host has the list of an established host.
	hasFullList bool
	hasMajority bool
	// joined maps the hosts that do not count in the majority yet, which may include
	// this host, to the time since which they are known.
	joined map[uint64]time.Duration
	// voters holds the hosts that count in the majority by the lists of others.
	voters map[uint64]bool
	// expired maps hosts that the application has forgotten to the time at which it
	// did.
	expired map[uint64]time.Duration
	// left holds the known hosts that announced that they leave.
	left map[uint64]bool
	// scratch is the next value of hosts while it is built.
	scratch []uint64
}

// NewMembership returns the Membership of a host that has just started.
func NewMembership(self uint64) *Membership {
	return &Membership{
		self: self, hosts: []uint64{self},
		joined: map[uint64]time.Duration{}, voters: map[uint64]bool{},
		expired: map[uint64]time.Duration{}, left: map[uint64]bool{},
	}
}

// Restart begins a hold-down, because the host was paused or has got its first
// snapshot.
func (m *Membership) Restart(now time.Duration) { m.changedAt = now }

// Update replaces the known hosts of the data centre, without this host. A host
// counts as reachable if it was last seen less than freshAge ago. others are hosts
// that may belong to the data centre but are not ranked; this host has to hear from
// them too. complete reports whether the host has a whole snapshot of the store and,
// unless no other host is known, the list of hosts of another one.
func (m *Membership) Update(now time.Duration, known, others []Host, freshAge time.Duration, complete bool) {
	m.scratch = append(m.scratch[:0], m.self)
	allHeard := complete
	for _, h := range known {
		m.scratch = append(m.scratch, h.ID)
		allHeard = allHeard && m.hasHeard(now, h, freshAge)
	}
	for _, h := range others {
		allHeard = allHeard && m.hasHeard(now, h, freshAge)
	}
	slices.Sort(m.scratch)
	if !slices.Equal(m.scratch, m.hosts) {
		m.recordJoined(now)
		m.recordExpired(now, known)
		m.hosts = slices.Clone(m.scratch) // The former slice may be in use.
		m.changedAt = now
	}
	if allHeard && !m.established {
		m.established = true
		m.changedAt = now
	}
	m.recordLeft(known)
	maps.DeleteFunc(m.expired, func(_ uint64, at time.Duration) bool { return now-at >= expiredMemory })
	m.updateMajority(now, known, freshAge)
}

// updateMajority decides whether a majority of the hosts is reachable. If so, the
// hosts that joined so long ago that a partition since then would show count from
// now on.
func (m *Membership) updateMajority(now time.Duration, known []Host, freshAge time.Duration) {
	fresh, present := 0, len(m.expired)
	if _, joined := m.joined[m.self]; !joined {
		fresh, present = 1, present+1
	}
	for _, h := range known {
		if _, joined := m.joined[h.ID]; joined || h.Left {
			continue
		}
		present++
		if now-h.LastSeen < freshAge {
			fresh++
		}
	}
	hadMajority := m.hasMajority
	m.hasMajority = 2*fresh > present
	if m.hasMajority && !hadMajority {
		m.changedAt = now // Hosts may have joined that this host does not know yet.
	}
	if m.hasMajority {
		maps.DeleteFunc(m.joined, func(_ uint64, since time.Duration) bool { return now-since >= freshAge })
	}
}

// recordJoined records the hosts that are new, unless this host still has to learn
// which ones there are. Those that were forgotten lately are not new.
func (m *Membership) recordJoined(now time.Duration) {
	if !m.established && !m.hasFullList {
		return
	}
	for _, id := range m.scratch {
		if _, expired := m.expired[id]; !expired && !m.voters[id] && !contains(m.hosts, id) {
			m.joined[id] = now
		}
	}
}

func contains(sorted []uint64, id uint64) bool {
	_, found := slices.BinarySearch(sorted, id)
	return found
}

// hasHeard reports whether this host has heard from another one or need not do so.
func (m *Membership) hasHeard(now time.Duration, h Host, freshAge time.Duration) bool {
	return h.Heard || m.hasFullList && now-h.LastSeen >= freshAge+HoldDown
}

// RecordFullList records that the host has the lists of the known and the expired
// hosts of an established host of its data centre, and of its Voters.
func (m *Membership) RecordFullList(now time.Duration, voters []uint64) {
	if m.established {
		return
	}
	if !m.hasFullList {
		m.hasFullList = true
		for _, id := range m.hosts {
			m.joined[id] = now
		}
	}
	for _, id := range voters {
		delete(m.joined, id)
		m.voters[id] = true
	}
}

// HasFullList reports whether RecordFullList has been called.
func (m *Membership) HasFullList() bool { return m.hasFullList }

// Voters returns the known hosts that count in the majority.
func (m *Membership) Voters() []uint64 {
	return slices.DeleteFunc(slices.Clone(m.hosts), func(id uint64) bool { _, joined := m.joined[id]; return joined })
}

// IsEstablished reports whether the host has once heard from all hosts that it has
// to hear from.
func (m *Membership) IsEstablished() bool { return m.established }

// recordExpired remembers the hosts that counted and are no longer known, and
// forgets those that are known again.
func (m *Membership) recordExpired(now time.Duration, known []Host) {
	for _, id := range m.hosts {
		if _, joined := m.joined[id]; !joined && !m.left[id] && !contains(m.scratch, id) {
			m.expired[id] = now
		}
	}
	maps.DeleteFunc(m.joined, func(id uint64, _ time.Duration) bool { return !contains(m.scratch, id) })
	for _, h := range known {
		delete(m.expired, h.ID)
	}
}

// recordLeft replaces the hosts that announced that they leave.
func (m *Membership) recordLeft(known []Host) {
	clear(m.left)
	for _, h := range known {
		if h.Left {
			m.left[h.ID] = true
		}
	}
}

// AddExpired records hosts that another host has forgotten.
func (m *Membership) AddExpired(now time.Duration, ids []uint64) {
	for _, id := range ids {
		if _, recorded := m.expired[id]; !recorded && !contains(m.hosts, id) {
			m.expired[id] = now
		}
	}
}

// Expired returns the hosts that this host has forgotten lately.
func (m *Membership) Expired() []uint64 { return slices.Sorted(maps.Keys(m.expired)) }

// Hosts returns the known hosts, including this one, in ascending order. The
// caller must not change the slice.
func (m *Membership) Hosts() []uint64 { return m.hosts }

// FeedFrom returns from when on the host feeds servers; ok is false if it does not
// as far as is known. The time may be in the future.
func (m *Membership) FeedFrom() (at time.Duration, ok bool) {
	return m.changedAt + HoldDown, m.established && m.hasMajority
}
