package marked

import (
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

const (
	// beatEvery is how often the control loop shows that the process runs.
	beatEvery = peerTick
	// pausedAfter is how long no loop runs when the process is taken to have
	// been paused.
	pausedAfter = 700 * time.Millisecond
)

// clock tells the time since the host's start. It runs on while the host is
// suspended, which the runtime's steady clock does not.
type clock struct {
	epoch time.Duration
	// beat is when a loop ran last, and pauses counts how often none ran for
	// long.
	beat   atomic.Int64
	pauses atomic.Uint64
}

func newClock() *clock { return &clock{epoch: sinceBoot()} }

// sinceBoot returns the time since the machine's start, or, if the system does
// not tell it, that of the runtime's clock.
func sinceBoot() time.Duration {
	var t unix.Timespec
	// It does not block, so the scheduler need not be told of it.
	_, _, errno := syscall.RawSyscall(unix.SYS_CLOCK_GETTIME, unix.CLOCK_BOOTTIME, uintptr(unsafe.Pointer(&t)), 0)
	if errno != 0 {
		return time.Since(processStart)
	}
	return time.Duration(t.Nano())
}

var processStart = time.Now()

func (c *clock) now() time.Duration { return sinceBoot() - c.epoch }

// run notes that the process runs. It returns how often the process was paused
// up to now: when the number changes, what waits in the sockets may be old.
func (c *clock) run(now time.Duration) uint64 {
	if now-time.Duration(c.beat.Load()) > pausedAfter {
		c.pauses.Add(1)
	}
	c.beat.Store(int64(now))
	return c.pauses.Load()
}
