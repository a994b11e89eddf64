package memb

import (
	"time"
)

// Settings of a Machine. The zero value is usable.
type Settings struct {
	// Period is the time between probes. The default is 500 ms.
	ProbeInterval time.Duration
	// AckTimeout is the wait for an Ack before others are asked to probe. The
	// default is 150 ms.
	AckTimeout time.Duration
	// Indirect is how many others are asked to probe. The default is 3.
	IndirectProbes int
	// Suspicion is how long a suspect of a small group may refute. The
	// default is 1.5 s. It grows with the logarithm of the group.
	SuspicionTimeout time.Duration
	// Remember is how long dead members are remembered. The default is 10 min.
	Retention time.Duration
	// SyncEvery bounds how often lists are exchanged. The default is 10 s; a
	// host whose list never was that of another exchanges it every second.
	SyncInterval time.Duration
	// Quiet is how long a host's list must not have changed before it is
	// compared, since news may still be on their way. The default is 5 s.
	QuietPeriod time.Duration
}

func (s Settings) withDefaults() Settings {
	for _, f := range []struct {
		v   *time.Duration
		def time.Duration
	}{
		{&s.ProbeInterval, defaultPeriod},
		{&s.AckTimeout, defaultAckTimeout},
		{&s.SuspicionTimeout, defaultSuspicion},
		{&s.Retention, defaultRemember},
		{&s.SyncInterval, defaultSyncEvery},
		{&s.QuietPeriod, defaultQuiet},
	} {
		if *f.v == 0 {
			*f.v = f.def
		}
	}
	if s.IndirectProbes == 0 {
		s.IndirectProbes = defaultIndirect
	}
	return s
}

const (
	defaultPeriod     = 500 * time.Millisecond
	defaultAckTimeout = 150 * time.Millisecond
	defaultIndirect   = 3
	defaultSuspicion  = 1500 * time.Millisecond
	defaultRemember   = 10 * time.Minute
	defaultSyncEvery  = 10 * time.Second
	defaultQuiet      = 5 * time.Second
	// firstSync is the time between exchanges of a host that joins.
	firstSync = time.Second
	// maxNews bounds the news of one message.
	maxNews = 6
	// maxSync bounds the members of one Sync.
	maxSync = 8
	// maxMembers bounds the list against a peer that floods names.
	maxMembers = 4096
	// maxSlowness bounds how much a host distrusts its own probes.
	maxSlowness = 6
	// wakeFactor times the period is the gap between ticks that tells a pause.
	wakeFactor = 3
	// revisitEvery is how often a dead or seeded member is pinged.
	revisitEvery = 2 * time.Second
	// maxIncarnation bounds what is believed, so that nobody can make an
	// incarnation that cannot be exceeded.
	maxIncarnation = 1 << 62
)
