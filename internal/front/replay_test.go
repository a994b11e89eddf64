package front

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// bodyOf returns the replay of a request with the body.
func bodyOf(t *testing.T, body string) *replay {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://desk/", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	return newReplay(r)
}

// readN reads n bytes of a try's body.
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
		body := bodyOf(t, "0123456789")
		first, _ := body.try()
		is.Equal(readN(t, first, 4), "0123")
		second, kept := body.try()
		is.True(kept)
		all, err := io.ReadAll(second)
		is.NoErr(err)
		is.Equal(string(all), "0123456789")
	})
	t.Run("a try that ended takes nothing from a later one", func(t *testing.T) {
		is := is.New(t)
		body := bodyOf(t, "0123456789")
		first, _ := body.try()
		second, _ := body.try()
		is.Equal(readN(t, second, 4), "0123")
		_, err := first.Read(make([]byte, 8))
		is.Equal(err, errTryEnded)
		is.Equal(readN(t, second, 6), "456789")
	})
	t.Run("what a former try was reading is kept", func(t *testing.T) {
		is := is.New(t)
		caller, server := net.Pipe()
		body := &replay{src: server}
		first, _ := body.try()
		reading := make(chan struct{})
		go func() {
			defer close(reading)
			_, _ = first.Read(make([]byte, 8))
		}()
		is.NoErr(writeAll(caller, "01234567")) // Returns when the first try has read it.
		<-reading
		second, _ := body.try()
		is.Equal(readN(t, second, 8), "01234567")
	})
	t.Run("a body that is not kept is not sent again", func(t *testing.T) {
		is := is.New(t)
		body := bodyOf(t, strings.Repeat("x", replayBody+1))
		first, _ := body.try()
		n, err := io.Copy(io.Discard, first)
		is.NoErr(err)
		is.Equal(n, int64(replayBody+1))
		_, kept := body.try()
		is.True(!kept)
	})
	t.Run("a request without a body has none in any try", func(t *testing.T) {
		is := is.New(t)
		body := newReplay(&http.Request{})
		for range 2 {
			source, kept := body.try()
			is.True(kept)
			is.Equal(source, http.NoBody)
		}
	})
}

func writeAll(w io.Writer, s string) error {
	_, err := io.WriteString(w, s)
	return err
}
