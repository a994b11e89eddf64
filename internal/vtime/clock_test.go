package vtime

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestEventsRunInOrder(t *testing.T) {
	is := is.New(t)
	var c Clock
	var got []int
	c.After(2*time.Second, func() { got = append(got, 3) })
	c.After(time.Second, func() { got = append(got, 1) })
	c.After(time.Second, func() { got = append(got, 2) })
	n := 0
	c.Every(time.Second, func() bool { n++; return n < 3 })
	c.RunUntil(10 * time.Second)
	is.Equal(got, []int{1, 2, 3})
	is.Equal(n, 3)
	is.Equal(c.Now(), 10*time.Second)
}
