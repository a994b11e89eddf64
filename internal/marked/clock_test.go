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

// TestMessagesOfAPauseAreOld guards against a view that counts as current because of
// a message that waited in a socket buffer while the process was paused.
func TestMessagesOfAPauseAreOld(t *testing.T) {
	is := is.New(t)
	c := newClock()
	c.heartbeat(time.Second)
	is.Equal(c.earliestArrival(1200*time.Millisecond), 1200*time.Millisecond)
	const resumed = 9 * time.Second
	is.Equal(c.earliestArrival(resumed), 1200*time.Millisecond)
	is.Equal(c.earliestArrival(resumed+backlogTime-1), 1200*time.Millisecond)
	is.Equal(c.earliestArrival(resumed+backlogTime), resumed+backlogTime)
}
