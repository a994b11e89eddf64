package marked

import (
	"time"

	"lagoonramp.org/lagoonramp/internal/batch"
	"lagoonramp.org/lagoonramp/pkg/warmup"
)

// This file decides what the traffic loop does after a pause of the process.

const (
	// maxViewWait is the time after a long pause for which new flows wait for a view
	// that is confirmed to be current. After that, the store and the other hosts are
	// not reachable, and the known view stays in force. awaitViewInterval is the
	// interval at which the traffic loop checks for the view.
	maxViewWait       = time.Second
	awaitViewInterval = 20 * time.Millisecond
)

// detectPause makes the host feed no cold servers for a time after a pause, since
// what it knows of other hosts may be old.
func (t *traffic) detectPause(now time.Duration) {
	if n := t.clock.heartbeat(now); n != t.feedingPauses {
		t.feedingPauses = n
		t.table.HoldDown(now + warmup.HoldDown)
	}
}

// detectStale decides whether a batch of n packets may have arrived while the
// process was paused. This holds from a pause up to the first batch that is not
// full, since that batch empties the socket.
func (t *traffic) detectStale(now time.Duration, n int) {
	if p := t.clock.heartbeat(now); p != t.pauseCount {
		t.pauseCount = p
		t.inBacklog = true
	}
	t.batchStale = t.inBacklog || t.awaitsView(now)
	if n < batch.Size {
		t.inBacklog = false
	}
}

// awaitsView reports whether the process has been paused for so long that the view
// may lack an evacuation, and the view has not been confirmed since. New flows wait.
func (t *traffic) awaitsView(now time.Duration) bool {
	end := time.Duration(t.clock.longPauseEnd.Load())
	return end > 0 && now < end+maxViewWait && t.current != nil && t.current.confirmedAt < end
}
