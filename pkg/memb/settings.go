package memb

import (
	"time"
)

// Settings holds the parameters of a Machine. Zero fields take their defaults.
type Settings struct {
	// ProbeInterval is the interval between probes. The default is 500 ms.
	ProbeInterval time.Duration
	// AckTimeout is the time to wait for an Ack before other hosts are asked to
	// probe the target. The default is 150 ms.
	AckTimeout time.Duration
	// IndirectProbes is the number of hosts that are asked to probe a target
	// indirectly. The default is 3.
	IndirectProbes int
	// SuspicionTimeout is the time that a suspect in a small group has to
	// refute the suspicion. It is scaled with the logarithm of the group size.
	// The default is 1.5 s.
	SuspicionTimeout time.Duration
	// Retention is how long dead, left and seeded members are kept in the list.
	// The default is 10 min.
	Retention time.Duration
	// SyncInterval is the minimum interval between two exchanges of lists that
	// this host starts. The default is 10 s. A host whose list has not equalled
	// that of another host since its start or last pause uses an interval of 1 s.
	SyncInterval time.Duration
	// QuietPeriod is how long a host's list must be unchanged before a different
	// digest leads to an exchange of lists, since updates may still be in
	// transit. The default is 5 s.
	QuietPeriod time.Duration
}

func (s Settings) withDefaults() Settings {
	for _, f := range []struct {
		v   *time.Duration
		def time.Duration
	}{
		{&s.ProbeInterval, defaultProbeInterval},
		{&s.AckTimeout, defaultAckTimeout},
		{&s.SuspicionTimeout, defaultSuspicionTimeout},
		{&s.Retention, defaultRetention},
		{&s.SyncInterval, defaultSyncInterval},
		{&s.QuietPeriod, defaultQuietPeriod},
	} {
		if *f.v == 0 {
			*f.v = f.def
		}
	}
	if s.IndirectProbes == 0 {
		s.IndirectProbes = defaultIndirectProbes
	}
	return s
}

const (
	defaultProbeInterval    = 500 * time.Millisecond
	defaultAckTimeout       = 150 * time.Millisecond
	defaultIndirectProbes   = 3
	defaultSuspicionTimeout = 1500 * time.Millisecond
	defaultRetention        = 10 * time.Minute
	defaultSyncInterval     = 10 * time.Second
	defaultQuietPeriod      = 5 * time.Second
	// joinSyncInterval is the minimum interval between exchanges of lists that
	// a host starts until its list has equalled that of another host.
	joinSyncInterval = time.Second
	// maxUpdates is the maximum number of updates piggybacked on one message.
	maxUpdates = 6
	// maxSyncMembers is the maximum number of list entries in one Sync message.
	maxSyncMembers = 8
	// maxMembers bounds the list against a peer that sends a flood of names.
	maxMembers = 4096
	// maxHealthMultiplier bounds the local health multiplier, so that probe
	// timeouts grow at most sevenfold.
	maxHealthMultiplier = 6
	// pauseFactor times the probe interval is the gap between two calls of Tick
	// above which the process is assumed to have been paused.
	pauseFactor = 3
	// reconnectInterval is the interval between pings of dead and seeded
	// members.
	reconnectInterval = 2 * time.Second
	// maxIncarnation is the highest incarnation accepted in an update, so that
	// a peer cannot announce one that leaves no room for a refutation.
	maxIncarnation = 1 << 62
)
