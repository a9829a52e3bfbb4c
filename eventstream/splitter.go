package eventstream

import (
	"errors"
	"io"
)

// Buffer sizes for one event of a stream.
const (
	initialEventBuffer = 4 << 10
	maxEventSize       = 256 << 10
	// freeEventBuffer is the size of a stream's buffer that any number of streams may have. What is beyond
	// it is taken from the budget of all streams: an endpoint may send an event without end at all of them.
	freeEventBuffer = 8 << 10
	// maxBlankBytes is how much an endpoint may send between two events, in blank lines and comments.
	maxBlankBytes = 8 << 10
)

// Budget bounds what all streams together hold of unfinished events. It is safe for concurrent use.
type Budget interface {
	// Take reports whether n more bytes may be held, and counts them if so.
	Take(n int64) bool
	// GiveBack releases n bytes that were held.
	GiveBack(n int64)
}

// Splitter splits a stream into complete events and keeps their bytes unchanged.
//
// An endpoint may fail in the middle of an event. Only complete events are forwarded,
// so that the stream can resume at another endpoint after the last complete event,
// with no event duplicated or truncated.
type Splitter struct {
	r     io.Reader
	buf   []byte
	start int // start of the bytes that Next has not returned yet
	end   int
	err   error
	blank int // bytes since the last event that weren't part of one
	// budget is shared by all streams, and taken is what this one has of it.
	budget Budget
	taken  int64
}

// NewSplitter returns a splitter of what r brings. It takes the memory of large events from a budget, until Close.
func NewSplitter(r io.Reader, budget Budget) *Splitter {
	return &Splitter{r: r, buf: make([]byte, initialEventBuffer), budget: budget}
}

// Close returns what the splitter took of its budget.
func (s *Splitter) Close() { s.budget.GiveBack(s.taken) }

// InBlank reports whether the last event that CheckBlank counted was blank.
func (s *Splitter) InBlank() bool { return s.blank > 0 }

// CheckBlank counts a blank event, and returns an error if there were too many in a row.
func (s *Splitter) CheckBlank(event []byte) error {
	if !IsBlank(event) {
		s.blank = 0
		return nil
	}
	s.blank += len(event)
	if s.blank > maxBlankBytes {
		return newError("Splitter.CheckBlank", OnlyBlank)
	}
	return nil
}

// Next returns the bytes of the next complete event, valid until the next call.
// io.EOF means that the stream ended after a complete event.
func (s *Splitter) Next() ([]byte, error) {
	scanned := s.start
	for {
		if end := endOf(s.buf[scanned:s.end]); end >= 0 {
			event := s.buf[s.start : scanned+end]
			s.start = scanned + end
			return event, nil
		}
		// The blank line may be split across two reads: scan the last 3 bytes again.
		scanned = max(s.start, s.end-3)
		if s.err != nil {
			return nil, s.finish()
		}
		moved := s.start
		if err := s.fill(); err != nil {
			return nil, err
		}
		scanned -= moved - s.start
	}
}

// Buffered reports whether another complete event can be returned without a read.
func (s *Splitter) Buffered() bool { return endOf(s.buf[s.start:s.end]) >= 0 }

func (s *Splitter) finish() error {
	if errors.Is(s.err, io.EOF) && s.end > s.start {
		return newError("Splitter.Next", EventTruncated)
	}
	return s.err
}

func (s *Splitter) fill() error {
	if s.start > 0 {
		copy(s.buf, s.buf[s.start:s.end])
		s.end -= s.start
		s.start = 0
	}
	if s.end == len(s.buf) {
		if len(s.buf) >= maxEventSize {
			return newError("Splitter.Next", EventTooLarge)
		}
		if err := s.grow(); err != nil {
			return err
		}
	}
	n, err := s.r.Read(s.buf[s.end:])
	s.end += n
	s.err = err
	return nil
}

// grow doubles the buffer.
func (s *Splitter) grow() error {
	size := 2 * len(s.buf)
	if size > freeEventBuffer {
		if !s.budget.Take(int64(len(s.buf))) {
			return newError("Splitter.Next", NoMemory)
		}
		s.taken += int64(len(s.buf))
	}
	larger := make([]byte, size)
	copy(larger, s.buf[:s.end])
	s.buf = larger
	return nil
}
