// Package track counts operations in progress, so that a shutdown can wait
// until all have ended. Unlike a sync.WaitGroup, a Counter may be incremented
// from zero while another goroutine waits.
package track

import (
	"context"
	"sync"
)

// Counter counts operations in progress. The zero value is ready to use. A
// Counter is safe for concurrent use.
type Counter struct {
	mu      sync.Mutex
	count   int
	waiters []chan struct{}
}

// Enter records the start of an operation.
func (c *Counter) Enter() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
}

// Leave records the end of an operation. It panics if none is in progress.
func (c *Counter) Leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count--
	if c.count < 0 {
		panic("track: Leave called more often than Enter")
	}
	if c.count > 0 {
		return
	}
	for _, w := range c.waiters {
		close(w)
	}
	c.waiters = nil
}

// Wait waits until no operation is in progress. It returns the context's error
// if the context ends first.
func (c *Counter) Wait(ctx context.Context) error {
	c.mu.Lock()
	if c.count == 0 {
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
