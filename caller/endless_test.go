package caller_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"redwinghall/caller"
)

const (
	// endlessSent is how much of what it never ends an engine sends, and endlessEvent how much of that may be read.
	endlessSent  = 8 << 20
	endlessEvent = 300 << 10
)

var errSentAll = errors.New("all was read")

// endlessReader returns begin, and then repeat again and again.
type endlessReader struct {
	rest, repeat string
	sent         int
}

// Read implements io.Reader.
func (r *endlessReader) Read(p []byte) (int, error) {
	if r.sent >= endlessSent {
		return 0, errSentAll
	}
	if r.rest == "" {
		r.rest = r.repeat
	}
	n := copy(p, r.rest)
	r.rest = r.rest[n:]
	r.sent += n
	return n, nil
}

// An engine that sends one event without its end, in as many lines as it likes, took the memory of its router.
func TestEventWithoutEndIsMalformed(t *testing.T) {
	line := strings.Repeat("x", 1000)
	for name, repeat := range map[string]string{
		"one line": line, "lines of data": "\ndata: " + line, "empty data": "\ndata:", "comments": "\n: " + line,
		"ids": "\nid: r/1", "events without data": "\n\nid: r/1",
	} {
		t.Run(name, func(t *testing.T) {
			begin := map[bool]string{true: "id: r/1", false: "id: r/1\ndata: x"}[name == "events without data"]
			stream := &endlessReader{rest: begin, repeat: repeat}
			_, err := caller.NewEventReader(stream).Next()
			require.Error(t, err)
			require.NotErrorIs(t, err, errSentAll)
			require.LessOrEqual(t, stream.sent, endlessEvent)
		})
	}
}
