// Package track counts work that is under way, so that a shutdown can wait
// for its end. Unlike a sync.WaitGroup it may be entered while others wait.
package track

import (
	"context"
	"sync"
)

// Counter counts work. The zero value is ready to use.
type Counter struct {
	mu      sync.Mutex
	n       int
	waiters []chan struct{}
}

// Enter notes that work begins.
func (c *Counter) Enter() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n++
}

// Leave notes that work has ended. It panics if none was under way.
func (c *Counter) Leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n--
	if c.n < 0 {
		panic("track: more work left than entered")
	}
	if c.n > 0 {
		return
	}
	for _, w := range c.waiters {
		close(w)
	}
	c.waiters = nil
}

// Wait waits until no work is under way, or the context ends; then it returns
// the context's error.
func (c *Counter) Wait(ctx context.Context) error {
	c.mu.Lock()
	if c.n == 0 {
		c.mu.Unlock()
		return nil
	}
	w := make(chan struct{})
	c.waiters = append(c.waiters, w)
	c.mu.Unlock()
	select {
	case <-w:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
