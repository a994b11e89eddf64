package httplb

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
)

var (
	// errTryEnded is the read error of a body after a later try has started.
	errTryEnded = errors.New("the body is read by a later try")
	// errBodyNotKept is the read error of a later try that needs a part of the
	// body that was not kept.
	errBodyNotKept = errors.New("the body is too large to be sent again")
)

// replayableBody keeps the start of a request body so that a later try can send
// it again. A transport may still read the body for a try that has ended, so each
// try has a reader of its own.
type replayableBody struct {
	// empty reports whether the request has no body.
	empty bool
	// currentTry is the number of the latest try. Readers of former tries return
	// errTryEnded.
	currentTry atomic.Int64
	// overflowed reports whether more than maxBufferedBody bytes were read, so
	// that the start of the body is no longer kept.
	overflowed atomic.Bool

	mu  sync.Mutex
	src io.Reader
	// prefix is the kept start of the body, at most maxBufferedBody bytes.
	prefix []byte
	// bytesRead is the number of bytes read from src. It is at least len(prefix).
	bytesRead int
}

func newReplayableBody(r *http.Request) *replayableBody {
	return &replayableBody{src: r.Body, empty: r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0}
}

// openTry returns a reader of the whole body for a new try and invalidates the
// readers of former tries. It returns false if the start of the body is no longer
// kept.
func (b *replayableBody) openTry() (io.ReadCloser, bool) {
	n := b.currentTry.Add(1)
	if b.empty {
		return http.NoBody, true
	}
	if b.overflowed.Load() {
		return nil, false
	}
	return &tryBody{body: b, try: n}, true
}

// readAt reads into p the bytes of the body that start at offset off, for the
// reader of the given try.
func (b *replayableBody) readAt(try int64, p []byte, off int) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.currentTry.Load() != try:
		return 0, errTryEnded
	case off < len(b.prefix):
		return copy(p, b.prefix[off:]), nil
	case off != b.bytesRead:
		return 0, errBodyNotKept
	}
	n, err := b.src.Read(p)
	b.bytesRead += n
	if b.bytesRead > maxBufferedBody {
		b.overflowed.Store(true)
		b.prefix = nil
	}
	if !b.overflowed.Load() {
		b.prefix = append(b.prefix, p[:n]...)
	}
	return n, err
}

// tryBody is the reader of one try.
type tryBody struct {
	body *replayableBody
	try  int64
	// off is the number of bytes that this try has read.
	off int
}

// Read implements io.Reader.
func (t *tryBody) Read(p []byte) (int, error) {
	n, err := t.body.readAt(t.try, p, t.off)
	t.off += n
	return n, err
}

// Close implements io.Closer. It leaves the caller's body open for later tries.
func (t *tryBody) Close() error { return nil }
