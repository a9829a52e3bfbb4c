package eventstream

import (
	"bytes"
	"strconv"
)

// IsBlank reports whether an event has neither an id nor data, so that it is no progress of a stream.
func IsBlank(event []byte) bool {
	for len(event) > 0 {
		var line []byte
		line, event, _ = bytes.Cut(event, []byte("\n"))
		if bytes.HasPrefix(line, []byte("id:")) || bytes.HasPrefix(line, []byte("data:")) {
			return false
		}
	}
	return true
}

// ID returns the number in the id field of an event.
func ID(event []byte) (int64, bool) {
	for len(event) > 0 {
		var line []byte
		line, event, _ = bytes.Cut(event, []byte("\n"))
		value, ok := bytes.CutPrefix(bytes.TrimSuffix(line, []byte("\r")), []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		return id, err == nil
	}
	return 0, false
}

// endOf returns the length of the first complete event in b, including its blank line, or -1.
func endOf(b []byte) int {
	lf := bytes.Index(b, []byte("\n\n"))
	crlf := bytes.Index(b, []byte("\r\n\r\n"))
	switch {
	case lf < 0 && crlf < 0:
		return -1
	case crlf < 0 || (lf >= 0 && lf < crlf):
		return lf + 2
	}
	return crlf + 4
}
