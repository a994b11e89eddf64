package entry

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// beatEvery is how often the control loop shows that the process runs.
	beatEvery = peerTick
	// pausedAfter is the age of the latest beat from which on the process is
	// taken to have been paused.
	pausedAfter = 700 * time.Millisecond
)

// clock tells the time since the host's start. It runs on while the host is
// suspended, which the runtime's steady clock does not.
type clock struct {
	epoch time.Duration
	// beat is when the control loop ran last.
	beat atomic.Int64
}

func newClock() *clock { return &clock{epoch: sinceBoot()} }

// sinceBoot returns the time since the machine's start, or, if the system does
// not tell it, that of the runtime's clock.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(t.Nano())
}

var processStart = time.Now()

func (c *clock) now() time.Duration { return sinceBoot() - c.epoch }

// tick notes that the process runs.
func (c *clock) tick(now time.Duration) { c.beat.Store(int64(now)) }

// paused reports whether the process did not run until just now: what waits in
// its sockets may be old.
func (c *clock) paused(now time.Duration) bool {
	return now-time.Duration(c.beat.Load()) > pausedAfter
}
