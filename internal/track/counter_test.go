package track

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var c Counter
		is.NoErr(c.Wait(t.Context()))
		c.Enter()
		c.Enter()
		short, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.True(c.Wait(short) != nil)
		go func() {
			time.Sleep(time.Second)
			c.Leave()
			c.Leave()
		}()
		is.NoErr(c.Wait(t.Context()))
	})
}
