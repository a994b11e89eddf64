package httplb

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// maxSpoolBytes is the size in bytes at which a spool stops reading from the
	// server until the caller catches up.
	maxSpoolBytes = 512 << 10
	chunkSize     = 32 << 10
	// defaultIdleTimeout bounds the time in which a server sends no data of an
	// answer.
	defaultIdleTimeout = 60 * time.Second
	// callerWriteTimeout bounds each write to a caller, which blocks while the
	// caller reads nothing.
	callerWriteTimeout = 30 * time.Second
)

var (
	errServerIdle  = errors.New("the server sent no data within the idle timeout")
	errSpoolClosed = errors.New("the answer is no longer read")
)

var chunkPool = sync.Pool{New: func() any { b := make([]byte, chunkSize); return &b }}

// spool buffers an answer: one goroutine reads it from the server, another writes
// it to the caller. At about maxSpoolBytes the reader waits.
type spool struct {
	src         io.Reader
	idleTimeout time.Duration
	cancel      context.CancelCauseFunc
	mu          sync.Mutex
	cond        *sync.Cond
	queue       []chunk
	queuedBytes int
	err         error
	closed      bool
}

// chunk is a part of an answer: the first n bytes of buf.
type chunk struct {
	buf *[]byte
	n   int
}

func newSpool(src io.Reader, idleTimeout time.Duration, cancel context.CancelCauseFunc) *spool {
	if idleTimeout == 0 {
		idleTimeout = defaultIdleTimeout
	}
	s := &spool{src: src, idleTimeout: idleTimeout, cancel: cancel}
	s.cond = sync.NewCond(&s.mu)
	return s
}

// fill reads the answer into the spool and then calls done. It stops at the end
// of the answer, at a read error, or when the spool is closed.
func (s *spool) fill(done func()) {
	defer done()
	timer := time.AfterFunc(s.idleTimeout, func() { s.cancel(errServerIdle) })
	defer timer.Stop()
	for {
		buf := chunkPool.Get().(*[]byte)
		n, err := s.src.Read(*buf)
		// The time spent waiting for the caller does not count as server idle time.
		timer.Stop()
		if !s.enqueue(chunk{buf, n}, err) {
			return
		}
		timer.Reset(s.idleTimeout)
	}
}

// enqueue appends a chunk and waits while the spool is full. It returns false
// after the last chunk and if the spool is closed. err is the error of the read
// that returned the chunk.
func (s *spool) enqueue(c chunk, err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = append(s.queue, c)
	s.queuedBytes += c.n
	if err != nil {
		s.err = err
	}
	s.cond.Broadcast()
	for s.queuedBytes >= maxSpoolBytes && s.err == nil && !s.closed {
		s.cond.Wait()
	}
	return s.err == nil && !s.closed
}

// dequeue waits for the next chunk and removes it. The bool reports whether
// further chunks are queued. After the last chunk dequeue returns the error of
// the reader, which is io.EOF if the answer is complete.
func (s *spool) dequeue() (chunk, bool, error) {
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
	s.queuedBytes -= c.n
	s.cond.Broadcast()
	return c, len(s.queue) > 0, nil
}

// copyTo writes the answer to the caller and the recorder. If a write to the
// caller fails, it returns the error, unless there is a recorder, which then still
// gets the rest of the answer. If the answer is incomplete, it returns the error of
// the reader.
func (s *spool) copyTo(w http.ResponseWriter, flush bool, rec *recorder) error {
	defer s.close()
	rc := http.NewResponseController(w)
	defer rc.SetWriteDeadline(time.Time{})
	for {
		c, more, err := s.dequeue()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		_ = rc.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
		rec.recordBody((*c.buf)[:c.n])
		_, err = w.Write((*c.buf)[:c.n])
		chunkPool.Put(c.buf)
		if err != nil && !rec.detached() {
			return err
		}
		if flush && !more {
			_ = rc.Flush()
		}
	}
}

// close discards the rest of the answer and ends a waiting fill.
func (s *spool) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.err == nil {
		s.err = errSpoolClosed
	}
	s.cond.Broadcast()
}
