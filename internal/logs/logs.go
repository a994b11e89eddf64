// Package logs writes structured lines to standard output without ever
// blocking the caller: lines gather in memory, a loop writes them, and lines
// that find the memory full are dropped and counted.
package logs

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// capacity bounds what waits to be written, in bytes.
	capacity = 256 << 10
	// flushEvery is how long lines gather before they are written.
	flushEvery = 100 * time.Millisecond
)

// Sink is a zapcore.WriteSyncer that never blocks. Close has to be called for
// the last lines.
type Sink struct {
	out     io.Writer
	mu      sync.Mutex
	pending []byte
	spare   []byte
	wake    chan struct{}
	done    chan struct{}
	stopped chan struct{}
	dropped atomic.Uint64
}

// NewSink returns a sink that writes to out.
func NewSink(out io.Writer) *Sink {
	s := &Sink{out: out, wake: make(chan struct{}, 1), done: make(chan struct{}), stopped: make(chan struct{})}
	go s.loop()
	return s
}

// Write implements io.Writer. It keeps a copy of the line or drops it.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending)+len(line) > capacity {
		s.dropped.Add(1)
		return len(line), nil
	}
	if len(s.pending) == 0 {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
	s.pending = append(s.pending, line...)
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It does not wait.
func (s *Sink) Sync() error { return nil }

// Dropped returns how many lines were dropped.
func (s *Sink) Dropped() uint64 { return s.dropped.Load() }

// Close writes what waits and ends the loop.
func (s *Sink) Close() {
	close(s.done)
	<-s.stopped
}

func (s *Sink) loop() {
	defer close(s.stopped)
	for {
		select {
		case <-s.wake:
		case <-s.done:
			s.flush()
			return
		}
		select {
		case <-time.After(flushEvery):
		case <-s.done:
		}
		s.flush()
	}
}

// flush writes what waits. An error of the output cannot be logged and is
// passed over.
func (s *Sink) flush() {
	s.mu.Lock()
	s.pending, s.spare = s.spare[:0], s.pending
	s.mu.Unlock()
	if len(s.spare) > 0 {
		_, _ = s.out.Write(s.spare)
	}
}

// New returns a log of a level (debug, info, warn or error; empty for info)
// and a format (json or console; empty for json).
func New(sink *Sink, level, format string) (*zap.Logger, error) {
	l := zap.NewAtomicLevel()
	if level != "" {
		if err := l.UnmarshalText([]byte(level)); err != nil {
			return nil, err
		}
	}
	c := zap.NewProductionEncoderConfig()
	c.TimeKey = "at"
	c.CallerKey = zapcore.OmitKey
	c.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	c.EncodeDuration = zapcore.StringDurationEncoder
	enc := zapcore.NewJSONEncoder(c)
	if format == "console" {
		enc = zapcore.NewConsoleEncoder(c)
	}
	return zap.New(zapcore.NewCore(enc, sink, l)), nil
}
