package spread

import (
	"slices"
	"time"

	"lagoonramp.org/lagoonramp/pkg/rendez"
)

// WatchersSettings of a Watchers. The zero value is usable.
type WatcherSelectorSettings struct {
	// Count is how many hosts that hear each other watch the store. The
	// default is 2.
	Watchers int
	// Lost is how long after its last message a watcher is taken to be lost.
	// The default is 1.2 s.
	WatcherTimeout time.Duration
	// Step is how much longer the next host in the order waits before it
	// replaces a lost watcher. The default is 60 ms.
	RankDelay time.Duration
	// MaxDelay bounds that wait. The default is 1.5 s.
	MaxDelay time.Duration
}

const (
	defaultLost     = 1200 * time.Millisecond
	defaultStep     = 60 * time.Millisecond
	defaultMaxDelay = 1500 * time.Millisecond
)

// Watchers decides whether a host watches the store itself or leaves that to
// others. A few hosts watch, the first in rendezvous order of those that the
// store serves; each group of hosts that hear each other has its own, so a
// data centre that is cut off finds some by itself. Too many watchers cost
// calls and do no other harm, so no agreement is needed.
type WatcherSelector struct {
	set   WatcherSelectorSettings
	self  uint64
	hosts []uint64
	// served holds when a message of a host said last that the store serves
	// it.
	served map[uint64]time.Duration
	// lacking is since when there are too few watchers, -1 if there are
	// enough.
	lacking  time.Duration
	watching bool
}

// NewWatchers returns a machine for a host.
func NewWatcherSelector(self uint64, set WatcherSelectorSettings) *WatcherSelector {
	if set.Watchers == 0 {
		set.Watchers = defaultWatchers
	}
	if set.WatcherTimeout == 0 {
		set.WatcherTimeout = defaultLost
	}
	if set.RankDelay == 0 {
		set.RankDelay = defaultStep
	}
	if set.MaxDelay == 0 {
		set.MaxDelay = defaultMaxDelay
	}
	return &WatcherSelector{set: set, self: self, served: map[uint64]time.Duration{}, lacking: -1}
}

// SetHosts names the known hosts, self included.
func (w *WatcherSelector) SetHosts(hosts []uint64) { w.hosts = slices.Clone(hosts) }

// Heard notes a message of a host, which says whether the store serves it.
func (w *WatcherSelector) ObserveHost(now time.Duration, host uint64, served bool) {
	if served {
		w.served[host] = now
	} else {
		delete(w.served, host)
	}
}

// Watches decides whether this host watches now. Served tells whether the
// store served its latest call.
func (w *WatcherSelector) ShouldWatch(now time.Duration, served bool) bool {
	others := w.others(now)
	if len(others) < w.set.Watchers {
		if w.lacking < 0 {
			w.lacking = now
		}
		if now-w.lacking >= w.delay() {
			w.watching = true
		}
		return w.watching
	}
	w.lacking = -1
	if w.watching && (!served || w.preceded(others)) {
		w.watching = false
	}
	return w.watching
}

// others returns the other hosts that the store serves.
func (w *WatcherSelector) others(now time.Duration) []uint64 {
	var out []uint64
	for h, at := range w.served {
		if now-at >= w.set.WatcherTimeout {
			delete(w.served, h)
			continue
		}
		out = append(out, h)
	}
	return out
}

// delay returns how long this host lets others go before.
func (w *WatcherSelector) delay() time.Duration {
	return min(time.Duration(w.rank(w.hosts))*w.set.RankDelay, w.set.MaxDelay)
}

// preceded reports whether enough of the hosts come before this one.
func (w *WatcherSelector) preceded(hosts []uint64) bool { return w.rank(hosts) >= w.set.Watchers }

// rank returns how many of the hosts come before this one in the order.
func (w *WatcherSelector) rank(hosts []uint64) int {
	n := 0
	own := rendez.Score(watchKey, w.self)
	for _, h := range hosts {
		if h != w.self && rendez.Score(watchKey, h) > own {
			n++
		}
	}
	return n
}
