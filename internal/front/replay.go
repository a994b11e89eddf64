package front

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
)

var (
	// errTryEnded is what a try reads of the body after a later one began.
	errTryEnded = errors.New("a later try reads the body")
	// errBodyLost is what a try reads beyond what was kept of the body.
	errBodyLost = errors.New("the body is too large to be sent again")
)

// replay keeps the start of a request's body so that a later try can send it
// again. A transport may go on reading for a try that has ended, so each try
// reads through a reader of its own.
type replay struct {
	// none tells that the request has no body.
	none bool
	// current is the number of the newest try. Readers of others are closed.
	current atomic.Int64
	// lost tells that more was read than is kept.
	lost atomic.Bool

	mu  sync.Mutex
	src io.Reader
	// kept is the start of the body, at most replayBody bytes.
	kept []byte
	// total is how much was read from src, in bytes; at least len(kept).
	total int
}

func newReplay(r *http.Request) *replay {
	return &replay{src: r.Body, none: r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0}
}

// try returns a body that is read from its start, and ends those of former
// tries. It returns false if the start is not kept any more.
func (b *replay) try() (io.ReadCloser, bool) {
	n := b.current.Add(1)
	if b.none {
		return http.NoBody, true
	}
	if b.lost.Load() {
		return nil, false
	}
	return &tryBody{replay: b, number: n}, true
}

// readAt reads what follows the first at bytes of the body.
func (b *replay) readAt(number int64, p []byte, at int) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.current.Load() != number:
		return 0, errTryEnded
	case at < len(b.kept):
		return copy(p, b.kept[at:]), nil
	case at != b.total:
		return 0, errBodyLost
	}
	n, err := b.src.Read(p)
	b.total += n
	if b.total > replayBody {
		b.lost.Store(true)
		b.kept = nil
	}
	if !b.lost.Load() {
		b.kept = append(b.kept, p[:n]...)
	}
	return n, err
}

// tryBody is the body as one try reads it.
type tryBody struct {
	replay *replay
	number int64
	// at is how much of the body this try has read, in bytes.
	at int
}

// Read implements io.Reader.
func (t *tryBody) Read(p []byte) (int, error) {
	n, err := t.replay.readAt(t.number, p, t.at)
	t.at += n
	return n, err
}

// Close implements io.Closer. The caller's body stays open for later tries.
func (t *tryBody) Close() error { return nil }
