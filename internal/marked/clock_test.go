package marked

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestBothLoopsSeePauseCount(t *testing.T) {
	is := is.New(t)
	c := newClock()
	before := c.heartbeat(0)
	is.Equal(c.heartbeat(heartbeatInterval), before)
	is.Equal(c.heartbeat(heartbeatInterval+pauseThreshold), before)
	after := c.heartbeat(heartbeatInterval + 2*pauseThreshold + time.Millisecond)
	is.Equal(after, before+1)
	// The other loop, which runs later, gets the same count.
	is.Equal(c.heartbeat(heartbeatInterval+2*pauseThreshold+2*time.Millisecond), after)
}

func TestClockIsMonotonic(t *testing.T) {
	is := is.New(t)
	c := newClock()
	before := c.now()
	is.True(before >= 0)
	is.True(c.now() >= before)
}
