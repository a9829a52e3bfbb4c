package caller

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// Limits of one server-sent event, with the comments and the events without data before it.
const (
	maxEventSize = 256 << 10
	readBuffer   = 8 << 10
)

// errBadStream means that a stream is not a valid stream of events.
var errBadStream = errors.New("stream is malformed")

// Event is one server-sent event of a response. Its id consists of the request id and
// the position in the response, so that chunks of different requests or positions
// cannot be confused.
type Event struct {
	RequestID string
	Position  int
	HasID     bool
	Data      []byte // valid until the next call to Next
}

// doneData marks the end of a response. A response without it is incomplete.
var doneData = []byte("[DONE]")

// IsDone reports whether the event is the end mark.
func (e Event) IsDone() bool { return bytes.Equal(e.Data, doneData) }

// EventReader reads server-sent events.
type EventReader struct {
	r    *bufio.Reader
	data []byte
	line []byte
	size int // of what was read since the last event
}

// NewEventReader returns a reader of events from r.
func NewEventReader(r io.Reader) *EventReader {
	return &EventReader{r: bufio.NewReaderSize(r, readBuffer)}
}

var (
	fieldID   = []byte("id:")
	fieldData = []byte("data:")
)

// Next returns the next event that has data. io.EOF means that the stream has ended;
// the response is complete only if the end mark was read before.
func (e *EventReader) Next() (Event, error) {
	var event Event
	e.data, e.size = e.data[:0], 0
	hasData := false
	for {
		line, err := e.readLine()
		if err != nil {
			return Event{}, err
		}
		switch {
		case len(line) == 0:
			if hasData {
				event.Data = e.data
				return event, nil
			}
			event = Event{}
		case bytes.HasPrefix(line, fieldID):
			id, position, ok := parseEventID(bytes.TrimSpace(line[len(fieldID):]))
			event.RequestID, event.Position, event.HasID = id, position, ok
		case bytes.HasPrefix(line, fieldData):
			if hasData {
				e.data = append(e.data, '\n')
			}
			e.data = append(e.data, bytes.TrimPrefix(line[len(fieldData):], []byte(" "))...)
			hasData = true
		}
	}
}

// readLine returns the next line without its line ending.
func (e *EventReader) readLine() ([]byte, error) {
	e.line = e.line[:0]
	for {
		part, err := e.r.ReadSlice('\n')
		if e.size += len(part); e.size > maxEventSize {
			return nil, errBadStream
		}
		if err == nil && len(e.line) == 0 {
			return trimEnd(part), nil
		}
		e.line = append(e.line, part...)
		if err == nil {
			return trimEnd(e.line), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
	}
}

// More reports whether data of another event is already buffered.
func (e *EventReader) More() bool { return e.r.Buffered() > 0 }

// drain reads the rest of the stream after the end mark, normally just its end.
func (e *EventReader) drain() {
	_, _ = io.CopyN(io.Discard, e.r, maxEventSize) // an error ends the stream too
}

func trimEnd(line []byte) []byte {
	line = bytes.TrimSuffix(line, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r"))
}

// parseEventID splits an event id into the request id and the position.
func parseEventID(id []byte) (requestID string, position int, ok bool) {
	at := bytes.LastIndexByte(id, '/')
	if at < 0 {
		return "", 0, false
	}
	position, err := strconv.Atoi(string(id[at+1:]))
	if err != nil || position < 0 {
		return "", 0, false
	}
	return string(id[:at]), position, true
}

// EventID returns the event id of a request id and a position.
func EventID(requestID string, position int) string {
	return requestID + "/" + strconv.Itoa(position)
}

// appendEvent appends an event in the format in which it is sent.
func appendEvent(out []byte, requestID string, position int, data []byte) []byte {
	out = append(out, "id: "...)
	out = append(out, requestID...)
	out = append(out, '/')
	out = strconv.AppendInt(out, int64(position), 10)
	out = append(out, "\ndata: "...)
	out = append(out, data...)
	return append(out, "\n\n"...)
}
