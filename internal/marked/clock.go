package marked

import (
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

const (
	// heartbeatInterval is the interval of the control loop's heartbeats. The
	// traffic loop adds one for each batch of packets.
	heartbeatInterval = peerTickInterval
	// pauseThreshold is the time without a heartbeat after which the process
	// counts as having been paused.
	pauseThreshold = 700 * time.Millisecond
	// longPause is the duration of a pause from which on the view may lack an
	// evacuation whose bound has passed: hosts learn of a change within 3 s, and the
	// bound is 5 s.
	longPause = 2 * time.Second
	// backlogTime is the time after a pause for which messages that are read may
	// have arrived during it.
	backlogTime = 200 * time.Millisecond
)

// clock measures the time since the host's start and detects pauses of the
// process. Unlike the monotonic clock of the Go runtime, it includes the time
// during which the system is suspended.
type clock struct {
	epoch time.Duration
	// lastHeartbeat is the time of the latest heartbeat of any loop, and
	// pauseCount the number of intervals between heartbeats that exceeded
	// pauseThreshold.
	lastHeartbeat atomic.Int64
	pauseCount    atomic.Uint64
	// pausedAt and resumedAt are the beginning and the end of the latest pause, 0 if
	// there was none. longPauseEnd is the end of the latest one of at least longPause.
	pausedAt, resumedAt, longPauseEnd atomic.Int64
}

func newClock() *clock { return &clock{epoch: sinceBoot()} }

// sinceBoot returns the time since the system was booted, including the time
// during which it was suspended. If the system does not support this, it
// returns the time since the start of the process.
func sinceBoot() time.Duration {
	var t unix.Timespec
	// The call does not block, so RawSyscall may bypass the scheduler.
	_, _, errno := syscall.RawSyscall(unix.SYS_CLOCK_GETTIME, unix.CLOCK_BOOTTIME, uintptr(unsafe.Pointer(&t)), 0)
	if errno != 0 {
		return time.Since(processStart)
	}
	return time.Duration(t.Nano())
}

var processStart = time.Now()

func (c *clock) now() time.Duration { return sinceBoot() - c.epoch }

// heartbeat records that a loop of the process is running. It returns the
// number of pauses of the process so far. After it changes, packets in the
// socket buffers may be old.
func (c *clock) heartbeat(now time.Duration) uint64 {
	if last := time.Duration(c.lastHeartbeat.Load()); now-last > pauseThreshold {
		c.pausedAt.Store(int64(last))
		c.resumedAt.Store(int64(now))
		if now-last >= longPause {
			c.longPauseEnd.Store(int64(now))
		}
		c.pauseCount.Add(1)
	}
	c.lastHeartbeat.Store(int64(now))
	return c.pauseCount.Load()
}

// earliestArrival returns the earliest time at which a message that is read at now
// may have arrived: just after a pause, this is the beginning of the pause.
func (c *clock) earliestArrival(now time.Duration) time.Duration {
	c.heartbeat(now)
	if resumedAt := time.Duration(c.resumedAt.Load()); resumedAt > 0 && now-resumedAt < backlogTime {
		return time.Duration(c.pausedAt.Load())
	}
	return now
}
