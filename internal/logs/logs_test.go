package logs

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

// blockedWriter blocks in Write until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	bytes.Buffer
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.unblock
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Buffer.Write(b)
}

func TestLinesAreWrittenInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		s := NewSink(&out)
		log, err := New(s, "info", "json")
		is.NoErr(err)
		log.Info("part: first", zap.Int("n", 1))
		log.Debug("part: not at this level")
		time.Sleep(2 * flushDelay)
		log.Info("part: second")
		s.Close()
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		is.Equal(len(lines), 2)
		is.True(strings.Contains(lines[0], `"msg":"part: first","n":1`))
	})
}

// Write must drop lines instead of blocking when the output accepts none, or a
// stalled standard output would stall the traffic.
func TestBlockedOutputDoesNotBlockWrite(t *testing.T) {
	is := is.New(t)
	w := &blockedWriter{unblock: make(chan struct{})}
	s := NewSink(w)
	line := []byte(strings.Repeat("x", 1000) + "\n")
	for range 3 * maxPendingBytes / len(line) {
		_, _ = s.Write(line)
	}
	is.True(s.Dropped() > 0)
	close(w.unblock)
	s.Close()
	is.True(w.Len() > 0)
}

func TestNewRejectsUnknownLevel(t *testing.T) {
	is := is.New(t)
	s := NewSink(&bytes.Buffer{})
	defer s.Close()
	_, err := New(s, "loud", "")
	is.True(err != nil)
}
