package httplb

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// newTestBody returns the replayable body of a POST request.
func newTestBody(t *testing.T, body string) *replayableBody {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://desk/", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	return newReplayableBody(r)
}

// readN reads n bytes from the reader of a try.
func readN(t *testing.T, src io.Reader, n int) string {
	t.Helper()
	b := make([]byte, n)
	if _, err := io.ReadFull(src, b); err != nil {
		t.Fatal(err)
	}
	return string(b)
}

func TestReplay(t *testing.T) {
	t.Run("a later try reads the whole body", func(t *testing.T) {
		is := is.New(t)
		body := newTestBody(t, "0123456789")
		first, _ := body.openTry()
		is.Equal(readN(t, first, 4), "0123")
		second, kept := body.openTry()
		is.True(kept)
		all, err := io.ReadAll(second)
		is.NoErr(err)
		is.Equal(string(all), "0123456789")
	})
	t.Run("a former try reads nothing after a later one has started", func(t *testing.T) {
		is := is.New(t)
		body := newTestBody(t, "0123456789")
		first, _ := body.openTry()
		second, _ := body.openTry()
		is.Equal(readN(t, second, 4), "0123")
		_, err := first.Read(make([]byte, 8))
		is.Equal(err, errTryEnded)
		is.Equal(readN(t, second, 6), "456789")
	})
	t.Run("bytes read by a former try are kept", func(t *testing.T) {
		is := is.New(t)
		caller, server := net.Pipe()
		body := &replayableBody{src: server}
		first, _ := body.openTry()
		reading := make(chan struct{})
		go func() {
			defer close(reading)
			_, _ = first.Read(make([]byte, 8))
		}()
		is.NoErr(writeAll(caller, "01234567")) // Returns once the first try has read the bytes.
		<-reading
		second, _ := body.openTry()
		is.Equal(readN(t, second, 8), "01234567")
	})
	t.Run("a body larger than the limit cannot be replayed", func(t *testing.T) {
		is := is.New(t)
		body := newTestBody(t, strings.Repeat("x", maxBufferedBody+1))
		first, _ := body.openTry()
		n, err := io.Copy(io.Discard, first)
		is.NoErr(err)
		is.Equal(n, int64(maxBufferedBody+1))
		_, kept := body.openTry()
		is.True(!kept)
	})
	t.Run("a request without a body is empty in every try", func(t *testing.T) {
		is := is.New(t)
		body := newReplayableBody(&http.Request{})
		for range 2 {
			source, kept := body.openTry()
			is.True(kept)
			is.Equal(source, http.NoBody)
		}
	})
}

func writeAll(w io.Writer, s string) error {
	_, err := io.WriteString(w, s)
	return err
}
