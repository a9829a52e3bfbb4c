package caller

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// Limits of one server-sent event.
const (
	maxEventLine = 256 << 10
	readBuffer   = 8 << 10
)

// errBadStream is a stream that does not follow the event format.
var errBadStream = errors.New("stream is not well formed")

// Event is one server-sent event of an answer. Its id is the request id and
// the position in the answer, so that no chunk can be taken for another's.
type Event struct {
	RequestID string
	Position  int
	HasID     bool
	Data      []byte // valid until the next call of Next
}

// doneData marks the end of an answer; an answer without it is not complete.
var doneData = []byte("[DONE]")

// IsDone reports whether the event is the end mark.
func (e Event) IsDone() bool { return bytes.Equal(e.Data, doneData) }

// EventReader reads server-sent events.
type EventReader struct {
	r    *bufio.Reader
	data []byte
	line []byte
}

// NewEventReader returns a reader of events from r.
func NewEventReader(r io.Reader) *EventReader {
	return &EventReader{r: bufio.NewReaderSize(r, readBuffer)}
}

var (
	fieldID   = []byte("id:")
	fieldData = []byte("data:")
)

// Next returns the next event that has data. io.EOF means that the stream
// ended, which is no end of the answer: only the end mark is.
func (e *EventReader) Next() (Event, error) {
	var event Event
	e.data = e.data[:0]
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

// readLine returns one line without its end.
func (e *EventReader) readLine() ([]byte, error) {
	e.line = e.line[:0]
	for {
		part, err := e.r.ReadSlice('\n')
		if err == nil && len(e.line) == 0 {
			return trimEnd(part), nil
		}
		e.line = append(e.line, part...)
		if len(e.line) > maxEventLine {
			return nil, errBadStream
		}
		if err == nil {
			return trimEnd(e.line), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
	}
}

// More reports whether another event may be read without waiting.
func (e *EventReader) More() bool { return e.r.Buffered() > 0 }

// drain reads what follows the end mark: nothing but the end of the stream.
func (e *EventReader) drain() {
	_, _ = io.CopyN(io.Discard, e.r, maxEventLine) // an error ends it as well
}

func trimEnd(line []byte) []byte {
	line = bytes.TrimSuffix(line, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r"))
}

// parseEventID splits "request id/position".
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

// EventID joins a request id and a position.
func EventID(requestID string, position int) string {
	return requestID + "/" + strconv.Itoa(position)
}

// appendEvent appends the wire form of an event.
func appendEvent(out []byte, requestID string, position int, data []byte) []byte {
	out = append(out, "id: "...)
	out = append(out, requestID...)
	out = append(out, '/')
	out = strconv.AppendInt(out, int64(position), 10)
	out = append(out, "\ndata: "...)
	out = append(out, data...)
	return append(out, "\n\n"...)
}
