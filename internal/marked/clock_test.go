package marked

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestPauseIsNoticedByEitherLoop(t *testing.T) {
	is := is.New(t)
	c := newClock()
	before := c.run(0)
	is.Equal(c.run(beatEvery), before)
	is.Equal(c.run(beatEvery+pausedAfter), before)
	after := c.run(beatEvery + 2*pausedAfter + time.Millisecond)
	is.Equal(after, before+1)
	// The loop that runs second sees it as well.
	is.Equal(c.run(beatEvery+2*pausedAfter+2*time.Millisecond), after)
}

func TestClockRunsForward(t *testing.T) {
	is := is.New(t)
	c := newClock()
	before := c.now()
	is.True(before >= 0)
	is.True(c.now() >= before)
}
