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

// slowWriter takes nothing until it is opened.
type slowWriter struct {
	open chan struct{}
	mu   sync.Mutex
	bytes.Buffer
}

func (w *slowWriter) Write(b []byte) (int, error) {
	<-w.open
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
		time.Sleep(2 * flushEvery)
		log.Info("part: second")
		s.Close()
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		is.Equal(len(lines), 2)
		is.True(strings.Contains(lines[0], `"msg":"part: first","n":1`))
	})
}

func TestSlowOutputNeverBlocks(t *testing.T) {
	is := is.New(t)
	w := &slowWriter{open: make(chan struct{})}
	s := NewSink(w)
	line := []byte(strings.Repeat("x", 1000) + "\n")
	for range 3 * capacity / len(line) {
		_, _ = s.Write(line)
	}
	is.True(s.Dropped() > 0)
	close(w.open)
	s.Close()
	is.True(w.Len() > 0)
}

func TestWrongLevelIsAnError(t *testing.T) {
	is := is.New(t)
	s := NewSink(&bytes.Buffer{})
	defer s.Close()
	_, err := New(s, "loud", "")
	is.True(err != nil)
}
