package eventstream_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"redwinghall"
	"redwinghall/eventstream"
)

// budget is a budget without a limit, or with none left.
type budget struct {
	empty bool
	taken int64
}

func (b *budget) Take(n int64) bool {
	if b.empty {
		return false
	}
	b.taken += n
	return true
}

func (b *budget) GiveBack(n int64) { b.taken -= n }

// readAll returns all events of a stream and the error at its end.
func readAll(r io.Reader, b *budget) (events []string, err error) {
	s := eventstream.NewSplitter(r, b)
	defer s.Close()
	for {
		event, err := s.Next()
		if err != nil {
			return events, err
		}
		events = append(events, string(event))
	}
}

// Guards against events that are joined, cut or changed where the reads of a stream end.
func TestEventsAreWholeHoweverTheyAreRead(t *testing.T) {
	t.Parallel()
	want := []string{"id: 1\ndata: one\n\n", "\r\n\r\n", "id: 2\r\ndata: two\r\n\r\n", ": ping\n\n", "id: 3\ndata: " + strings.Repeat("x", 9<<10) + "\n\n"}
	for name, reader := range map[string]func(io.Reader) io.Reader{
		"whole": func(r io.Reader) io.Reader { return r }, "byte by byte": iotest.OneByteReader, "with the end": iotest.DataErrReader, "by halves": iotest.HalfReader,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := &budget{}
			events, err := readAll(reader(strings.NewReader(strings.Join(want, ""))), b)
			require.Equal(t, want, events)
			require.ErrorIs(t, err, io.EOF)
			require.Zero(t, b.taken, "all is given back")
		})
	}
}

// Guards against streams that look complete, or are read on, though they end or swell in the middle of an event.
func TestStreamThatIsNoneEndsWithItsKind(t *testing.T) {
	t.Parallel()
	errBroken := errors.New("broken")
	for name, c := range map[string]struct {
		stream io.Reader
		budget budget
		want   eventstream.Kind
		err    error
	}{
		"an event without its end": {strings.NewReader("id: 1\ndata: one\n\nid: 2\n"), budget{}, eventstream.EventTruncated, nil},
		"an event too large":       {strings.NewReader("data: " + strings.Repeat("x", 300<<10)), budget{}, eventstream.EventTooLarge, nil},
		"no memory for an event":   {strings.NewReader("data: " + strings.Repeat("x", 20<<10)), budget{empty: true}, eventstream.NoMemory, nil},
		"a broken connection":      {io.MultiReader(strings.NewReader("id: 1\n"), iotest.ErrReader(errBroken)), budget{}, "", errBroken},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, err := readAll(c.stream, &c.budget)
			require.Equal(t, c.want, redwinghall.KindOf[eventstream.Kind](err))
			require.NotErrorIs(t, err, io.EOF)
			if c.err != nil {
				require.ErrorIs(t, err, c.err)
			}
			require.Zero(t, c.budget.taken)
		})
	}
}
