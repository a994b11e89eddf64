package httplb

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startDoublingServer runs a server that answers each request with its path, and
// sends a second copy of each answer after copyDelay on the same connection.
func startDoublingServer(t *testing.T, copyDelay time.Duration) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	serve := func(c net.Conn) {
		defer c.Close()
		in := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(r.URL.Path), r.URL.Path)
			time.Sleep(2 * copyDelay) // The copy of the previous answer arrives before this answer.
			_, _ = io.WriteString(c, answer)
			time.AfterFunc(copyDelay, func() { _, _ = io.WriteString(c, answer) })
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}

// TestLateSecondCopyReachesNoOtherCaller guards against an answer for another
// caller: a server sends a second copy of an answer when the next request is
// already on the connection.
func TestLateSecondCopyReachesNoOtherCaller(t *testing.T) {
	is := is.New(t)
	base, _ := startService(t, ServiceConfig{}, startDoublingServer(t, 10*time.Millisecond))
	for i := range 8 {
		path := fmt.Sprintf("/%d", i)
		resp, err := http.Get(base + path)
		is.NoErr(err)
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		_ = resp.Body.Close()
		is.Equal(string(body), path)
	}
}
