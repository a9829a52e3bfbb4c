package kernel

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Limits of the log.
const (
	// logLines is how many lines are buffered for a slow reader.
	logLines = 2048
	// logRate and logBurst limit the lines per second, far above what a busy node writes.
	logRate     = 400
	logBurst    = 800
	logInterval = time.Second
	// pipeWrite is the longest line in bytes that a pipe with room takes without blocking.
	pipeWrite = 4096
)

// LogSink writes log lines without ever blocking the logging goroutine.
//
// If the reader of standard output stops reading, the pipe fills up, and writing
// to it directly would block the process with all its requests. Lines go to a
// bounded queue instead. Lines that don't fit are dropped, and the number of
// dropped lines is logged once there is room again.
//
// A process that is killed loses what is queued. So lines of the levels W, E and F are written at once if
// the output takes them without blocking, and chatter at level I can't use up their rate.
type LogSink struct {
	out           io.Writer
	writing       sync.Mutex // held to write to out
	lines         chan []byte
	dropped       atomic.Int64
	tokens        atomic.Int64
	warningTokens atomic.Int64
}

// NewLogSink returns a sink that writes to out.
func NewLogSink(out io.Writer) *LogSink {
	s := &LogSink{out: out, lines: make(chan []byte, logLines)}
	s.tokens.Store(logBurst)
	s.warningTokens.Store(logBurst)
	return s
}

// Write implements io.Writer for one line. It never fails.
func (s *LogSink) Write(line []byte) (int, error) {
	warning := isWarning(line)
	tokens := &s.tokens
	if warning {
		tokens = &s.warningTokens
	}
	if tokens.Add(-1) < 0 {
		s.dropped.Add(1)
		return len(line), nil
	}
	if warning && s.writeAtOnce(line) {
		return len(line), nil
	}
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// isWarning reports whether a line of klog has a level above I.
func isWarning(line []byte) bool {
	return len(line) > 0 && (line[0] == 'W' || line[0] == 'E' || line[0] == 'F')
}

// writeAtOnce writes a line unless that could block.
func (s *LogSink) writeAtOnce(line []byte) bool {
	if len(line) > pipeWrite || !s.writing.TryLock() {
		return false
	}
	defer s.writing.Unlock()
	if !hasRoom(s.out) {
		return false
	}
	_, err := s.out.Write(line)
	return err == nil
}

// hasRoom reports whether an output is a file or pipe that takes pipeWrite bytes without blocking.
func hasRoom(out io.Writer) bool {
	file, ok := out.(syscall.Conn)
	if !ok {
		return false
	}
	conn, err := file.SyscallConn()
	if err != nil {
		return false
	}
	room := false
	err = conn.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLOUT}} //nolint:gosec // descriptors are small
		n, pollErr := unix.Poll(polled, 0)
		room = pollErr == nil && n == 1 && polled[0].Revents == unix.POLLOUT
	})
	return err == nil && room
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
		for _, tokens := range []*atomic.Int64{&s.tokens, &s.warningTokens} {
			tokens.Store(min(logBurst, max(0, tokens.Load())+logRate))
		}
		if n := s.Dropped(); n > 0 {
			WarningS(nil, "log_lines_dropped", "lines", n)
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
func (s *LogSink) write(line []byte) {
	s.writing.Lock()
	defer s.writing.Unlock()
	_, _ = s.out.Write(line)
}
