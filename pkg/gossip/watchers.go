package gossip

import (
	"slices"
	"time"

	"lagoonramp.org/lagoonramp/pkg/rendez"
)

// WatcherSelectorSettings holds the parameters of a WatcherSelector. Zero fields
// take their defaults.
type WatcherSelectorSettings struct {
	// Watchers is the number of watchers in each group of hosts that can reach
	// each other. The default is 2.
	Watchers int
	// WatcherTimeout is the time since a watcher's last message after which it
	// counts as lost. The default is 1.2 s.
	WatcherTimeout time.Duration
	// RankDelay is the additional delay per rank before a host replaces a lost
	// watcher. The default is 60 ms.
	RankDelay time.Duration
	// MaxDelay bounds the delay before a host replaces a lost watcher. The
	// default is 1.5 s.
	MaxDelay time.Duration
	// StartDelay is an additional delay after the start of a host, unless it ranks
	// first among the hosts that it knows: it does not know most others yet, and
	// has just read the store. The default is 1 s.
	StartDelay time.Duration
}

const (
	defaultWatcherTimeout = 1200 * time.Millisecond
	defaultRankDelay      = 60 * time.Millisecond
	defaultMaxDelay       = 1500 * time.Millisecond
	defaultStartDelay     = time.Second
)

// WatcherSelector decides whether a host watches the store itself. In each
// group of hosts that can reach each other, a few hosts watch: those with the
// highest rendezvous scores among the hosts that the store serves. A data
// centre that is cut off from the others therefore selects its own watchers.
// The hosts need no agreement on the watchers, since additional ones only cost
// calls of the store.
type WatcherSelector struct {
	settings WatcherSelectorSettings
	self     uint64
	hosts    []uint64
	// lastServed holds when each host last reported that the store serves it.
	lastServed map[uint64]time.Duration
	// shortSince is since when there have been too few other watchers, or -1 if
	// there are enough.
	shortSince time.Duration
	watching   bool
	// startedAt is when ShouldWatch was first called. It is valid if isStarted is
	// true.
	startedAt time.Duration
	isStarted bool
}

// NewWatcherSelector returns a WatcherSelector for the host self.
func NewWatcherSelector(self uint64, settings WatcherSelectorSettings) *WatcherSelector {
	if settings.Watchers == 0 {
		settings.Watchers = defaultWatchers
	}
	if settings.WatcherTimeout == 0 {
		settings.WatcherTimeout = defaultWatcherTimeout
	}
	if settings.RankDelay == 0 {
		settings.RankDelay = defaultRankDelay
	}
	if settings.MaxDelay == 0 {
		settings.MaxDelay = defaultMaxDelay
	}
	if settings.StartDelay == 0 {
		settings.StartDelay = defaultStartDelay
	}
	return &WatcherSelector{settings: settings, self: self, lastServed: map[uint64]time.Duration{}, shortSince: -1}
}

// SetHosts sets the known hosts, including self.
func (w *WatcherSelector) SetHosts(hosts []uint64) { w.hosts = slices.Clone(hosts) }

// ObserveHost records whether a host reported in a message that the store
// serves it.
func (w *WatcherSelector) ObserveHost(now time.Duration, host uint64, served bool) {
	if served {
		w.lastServed[host] = now
	} else {
		delete(w.lastServed, host)
	}
}

// ShouldWatch decides whether this host should watch the store now. The
// argument served reports whether the store served this host's last call. A
// host starts to watch if there have been too few other watchers for the
// takeover delay. It stops if there are enough others and either the store does
// not serve it or enough of them have higher scores.
func (w *WatcherSelector) ShouldWatch(now time.Duration, served bool) bool {
	if !w.isStarted {
		w.isStarted, w.startedAt = true, now
	}
	others := w.servedHosts(now)
	if len(others) < w.settings.Watchers {
		if w.shortSince < 0 {
			w.shortSince = now
		}
		if now >= w.takeoverAt() {
			w.watching = true
		}
		return w.watching
	}
	w.shortSince = -1
	if w.watching && (!served || w.outranked(others)) {
		w.watching = false
	}
	return w.watching
}

// servedHosts returns the other hosts that recently reported that the store
// serves them, and drops outdated reports.
func (w *WatcherSelector) servedHosts(now time.Duration) []uint64 {
	var out []uint64
	for h, last := range w.lastServed {
		if now-last >= w.settings.WatcherTimeout {
			delete(w.lastServed, h)
			continue
		}
		out = append(out, h)
	}
	return out
}

// takeoverAt returns when this host starts to watch if there are too few other
// watchers until then.
func (w *WatcherSelector) takeoverAt() time.Duration {
	at := w.shortSince + w.takeoverDelay()
	if w.rank(w.hosts) == 0 {
		return at
	}
	return max(at, w.startedAt+w.settings.StartDelay)
}

// takeoverDelay returns how long this host waits for hosts with higher scores to
// start watching. It grows with this host's rank, up to MaxDelay.
func (w *WatcherSelector) takeoverDelay() time.Duration {
	return min(time.Duration(w.rank(w.hosts))*w.settings.RankDelay, w.settings.MaxDelay)
}

// outranked reports whether the configured number of watchers can be selected
// from the hosts with higher scores than this one.
func (w *WatcherSelector) outranked(hosts []uint64) bool { return w.rank(hosts) >= w.settings.Watchers }

// rank returns how many of the hosts have a higher rendezvous score than this
// one.
func (w *WatcherSelector) rank(hosts []uint64) int {
	n := 0
	selfScore := rendez.Score(watchKey, w.self)
	for _, h := range hosts {
		if h != w.self && rendez.Score(watchKey, h) > selfScore {
			n++
		}
	}
	return n
}
