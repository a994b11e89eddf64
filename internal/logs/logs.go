// Package logs writes structured log lines without blocking the goroutine that
// logs. Lines are buffered in memory and written by a separate goroutine. Lines
// that do not fit into the buffer are dropped and counted.
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
	// maxPendingBytes is the maximum size of the buffered lines.
	maxPendingBytes = 256 << 10
	// flushDelay is the delay between the first line in an empty buffer and the
	// write of the buffer.
	flushDelay = 100 * time.Millisecond
)

// Sink is a zapcore.WriteSyncer whose Write never blocks on the output. Close
// must be called to write the last lines.
type Sink struct {
	out     io.Writer
	mu      sync.Mutex
	pending []byte
	spare   []byte
	wake    chan struct{}
	closing chan struct{}
	stopped chan struct{}
	dropped atomic.Uint64
}

// NewSink returns a sink that writes to out. It starts a goroutine that Close
// ends.
func NewSink(out io.Writer) *Sink {
	s := &Sink{out: out, wake: make(chan struct{}, 1), closing: make(chan struct{}), stopped: make(chan struct{})}
	go s.writeLoop()
	return s
}

// Write implements io.Writer. It buffers a copy of the line, or drops the line
// if the buffer is full. It never returns an error.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending)+len(line) > maxPendingBytes {
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

// Sync implements zapcore.WriteSyncer. It does nothing; Close writes the
// buffered lines.
func (s *Sink) Sync() error { return nil }

// Dropped returns the number of dropped lines.
func (s *Sink) Dropped() uint64 { return s.dropped.Load() }

// Close writes the buffered lines and ends the goroutine of the sink.
func (s *Sink) Close() {
	close(s.closing)
	<-s.stopped
}

// writeLoop writes the buffered lines until the sink is closed.
func (s *Sink) writeLoop() {
	defer close(s.stopped)
	for {
		select {
		case <-s.wake:
		case <-s.closing:
			s.flush()
			return
		}
		select {
		case <-time.After(flushDelay):
		case <-s.closing:
		}
		s.flush()
	}
}

// flush writes the buffered lines. Write errors are ignored, as there is no
// place to log them.
func (s *Sink) flush() {
	s.mu.Lock()
	s.pending, s.spare = s.spare[:0], s.pending
	s.mu.Unlock()
	if len(s.spare) > 0 {
		_, _ = s.out.Write(s.spare)
	}
}

// New returns a logger that writes to sink. The level is debug, info, warn or
// error, and empty for info. The format is json or console, and empty for json.
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
