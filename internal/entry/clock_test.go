package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestPausedProcessIsNoticed(t *testing.T) {
	is := is.New(t)
	c := newClock()
	c.tick(10 * time.Second)
	is.True(!c.paused(10*time.Second + beatEvery))
	is.True(!c.paused(10*time.Second + pausedAfter))
	is.True(c.paused(10*time.Second + pausedAfter + time.Millisecond))
	c.tick(12 * time.Second)
	is.True(!c.paused(12 * time.Second))
}

func TestClockRunsForward(t *testing.T) {
	is := is.New(t)
	c := newClock()
	before := c.now()
	is.True(before >= 0)
	is.True(c.now() >= before)
}
