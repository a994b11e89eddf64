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
	if now-time.Duration(c.lastHeartbeat.Load()) > pauseThreshold {
		c.pauseCount.Add(1)
	}
	c.lastHeartbeat.Store(int64(now))
	return c.pauseCount.Load()
}
