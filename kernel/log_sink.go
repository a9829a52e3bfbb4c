package kernel

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

// Limits of the log.
const (
	// logLines is how many lines are buffered for a slow reader.
	logLines = 2048
	// logRate and logBurst limit the lines per second, far above what a busy node writes.
	logRate     = 400
	logBurst    = 800
	logInterval = time.Second
)

// LogSink writes log lines without ever blocking the logging goroutine.
//
// If the reader of standard output stops reading, the pipe fills up, and writing
// to it directly would block the process with all its requests. Lines go to a
// bounded queue instead. Lines that don't fit are dropped, and the number of
// dropped lines is logged once there is room again.
type LogSink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	tokens  atomic.Int64
}

// NewLogSink returns a sink that writes to out.
func NewLogSink(out io.Writer) *LogSink {
	s := &LogSink{out: out, lines: make(chan []byte, logLines)}
	s.tokens.Store(logBurst)
	return s
}

// Write implements io.Writer for one line. It never fails.
func (s *LogSink) Write(line []byte) (int, error) {
	if s.tokens.Add(-1) < 0 {
		s.dropped.Add(1)
		return len(line), nil
	}
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped since the last call.
func (s *LogSink) Dropped() int64 { return s.dropped.Swap(0) }

// Start writes queued lines and refills the rate limit until the group stops.
func (s *LogSink) Start(g *Group) {
	g.Keep("log", func(ctx context.Context) error {
		for {
			select {
			case line := <-s.lines:
				s.write(line)
			case <-ctx.Done():
				s.drain()
				return nil
			}
		}
	})
	g.Every("log_rate", logInterval, func(context.Context, time.Time) {
		s.tokens.Store(min(logBurst, max(0, s.tokens.Load())+logRate))
		if n := s.Dropped(); n > 0 {
			klog.InfoS("log_lines_dropped", "lines", n)
		}
	})
}

func (s *LogSink) drain() {
	for {
		select {
		case line := <-s.lines:
			s.write(line)
		default:
			return
		}
	}
}

// write passes a line to the output. Errors are ignored, as there is nowhere to report them.
func (s *LogSink) write(line []byte) { _, _ = s.out.Write(line) }
