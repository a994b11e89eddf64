package front

import (
	"bytes"
	"io"
	"net/http"
)

// replay is a request's body that can be read again, as long as what was read
// is small.
type replay struct {
	src io.Reader
	// kept is what was read so far.
	kept bytes.Buffer
	// lost tells that more was read than is kept.
	lost bool
	at   int
	none bool
}

func newReplay(r *http.Request) *replay {
	return &replay{src: r.Body, none: r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0}
}

// Read implements io.Reader.
func (b *replay) Read(p []byte) (int, error) {
	if b.at < b.kept.Len() {
		n := copy(p, b.kept.Bytes()[b.at:])
		b.at += n
		return n, nil
	}
	n, err := b.src.Read(p)
	if b.kept.Len()+n > replayBody {
		b.lost = true
	}
	if !b.lost {
		b.kept.Write(p[:n])
		b.at += n
	}
	return n, err
}

// rewind makes the body be read from its start. It returns false if it
// cannot.
func (b *replay) rewind() bool {
	if b.lost {
		return false
	}
	b.at = 0
	return true
}
