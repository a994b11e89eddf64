package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// spoolBytes bounds what is kept of an answer for a slow caller.
	spoolBytes = 512 << 10
	chunkBytes = 32 << 10
	// defaultIdle ends an answer whose server sends nothing.
	defaultIdle = 60 * time.Second
	// callerStall ends an answer whose caller takes nothing.
	callerStall = 30 * time.Second
)

var (
	errServerIdle = errors.New("the server stopped in the middle of its answer")
	errSpoolEnded = errors.New("the caller went away")
)

var chunks = sync.Pool{New: func() any { b := make([]byte, chunkBytes); return &b }}

// spool reads an answer ahead of the caller, up to a bound.
type spool struct {
	src    io.Reader
	idle   time.Duration
	cancel context.CancelCauseFunc
	mu     sync.Mutex
	cond   *sync.Cond
	queue  []chunk
	size   int
	err    error
	ended  bool
}

type chunk struct {
	buf *[]byte
	n   int
}

func newSpool(src io.Reader, idle time.Duration, cancel context.CancelCauseFunc) *spool {
	if idle == 0 {
		idle = defaultIdle
	}
	s := &spool{src: src, idle: idle, cancel: cancel}
	s.cond = sync.NewCond(&s.mu)
	return s
}

// run reads the answer to its end and calls done then.
func (s *spool) run(done func()) {
	defer done()
	timer := time.AfterFunc(s.idle, func() { s.cancel(errServerIdle) })
	defer timer.Stop()
	for {
		buf := chunks.Get().(*[]byte)
		n, err := s.src.Read(*buf)
		// Waiting for the caller is not the server's idleness.
		timer.Stop()
		if !s.put(chunk{buf, n}, err) {
			return
		}
		timer.Reset(s.idle)
	}
}

// put queues a chunk. It waits for room and returns false at the end.
func (s *spool) put(c chunk, err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = append(s.queue, c)
	s.size += c.n
	if err != nil {
		s.err = err
	}
	s.cond.Broadcast()
	for s.size >= spoolBytes && s.err == nil && !s.ended {
		s.cond.Wait()
	}
	return s.err == nil && !s.ended
}

// take returns the next chunk, or the error that ended the answer.
func (s *spool) take() (chunk, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.queue) == 0 && s.err == nil {
		s.cond.Wait()
	}
	if len(s.queue) == 0 {
		return chunk{}, false, s.err
	}
	c := s.queue[0]
	s.queue = s.queue[1:]
	s.size -= c.n
	s.cond.Broadcast()
	return c, len(s.queue) > 0, nil
}

// writeTo passes the answer on. An error means that the caller did not get
// the whole of it.
func (s *spool) writeTo(w http.ResponseWriter, flush bool, rec *recorder) error {
	defer s.end()
	rc := http.NewResponseController(w)
	defer rc.SetWriteDeadline(time.Time{})
	for {
		c, more, err := s.take()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		_ = rc.SetWriteDeadline(time.Now().Add(callerStall))
		rec.add((*c.buf)[:c.n])
		_, err = w.Write((*c.buf)[:c.n])
		chunks.Put(c.buf)
		if err != nil && !rec.detached() {
			return err
		}
		if flush && !more {
			_ = rc.Flush()
		}
	}
}

// end lets the reader go.
func (s *spool) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	if s.err == nil {
		s.err = errSpoolEnded
	}
	s.cond.Broadcast()
}
