package gateway_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// lostFixture is a gateway whose first endpoint sends two events, is silent, and goes on once released.
type lostFixture struct {
	*fixture
	runs    atomic.Int32
	release chan struct{}
}

func newLostFixture(t *testing.T, endpoints ...string) *lostFixture {
	t.Helper()
	s := &lostFixture{fixture: newFixture(t), release: make(chan struct{})}
	handler := func(w http.ResponseWriter, r *http.Request) {
		sign(w, r)
		if s.runs.Add(1) == 1 {
			writeEvents(w, 1, 2)
			<-s.release
		}
		writeEvents(w, 3, 4)
	}
	for _, id := range endpoints {
		s.endpoint(id, "llm", handler)
	}
	return s
}

// tellLost tells the gateway again and again from a time on that the groups of some heads lost a member.
func (s *lostFixture) tellLost(after time.Duration, heads ...string) {
	time.AfterFunc(after, func() {
		for range 5 {
			for _, id := range heads {
				s.gateway.GroupLost(time.Now(), id)
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
}

// A group lost a member, and the zone's nodes found out together: its stream moves long before it would by itself.
func TestStreamMovesFromLostGroupAtOnce(t *testing.T) {
	s := newLostFixture(t, "e1", "e2")
	defer close(s.release)
	begun := time.Now()
	s.tellLost(300*time.Millisecond, "e1", "e2")
	got := s.do(s.request(http.MethodPost, "/stream/"))
	require.NoError(t, got.err)
	require.Equal(t, wholeStream(4), got.body)
	require.Equal(t, int32(2), s.runs.Load())
	require.Less(t, time.Since(begun), 500*time.Millisecond)
}

// The news is old: an event has come within the last 0.2 s. The stream stays.
func TestOldNewsOfLostGroupMovesNoStream(t *testing.T) {
	s := newLostFixture(t, "e1", "e2")
	time.AfterFunc(400*time.Millisecond, func() { close(s.release) })
	s.tellLost(50*time.Millisecond, "e1", "e2")
	got := s.do(s.request(http.MethodPost, "/stream/"))
	require.NoError(t, got.err)
	require.Equal(t, wholeStream(4), got.body)
	require.Equal(t, int32(1), s.runs.Load())
}

// No other group could go on with the stream: it stays.
func TestStreamOfLostGroupStaysWithoutAnAlternative(t *testing.T) {
	s := newLostFixture(t, "e1")
	time.AfterFunc(700*time.Millisecond, func() { close(s.release) })
	s.tellLost(300*time.Millisecond, "e1")
	got := s.do(s.request(http.MethodPost, "/stream/"))
	require.NoError(t, got.err)
	require.Equal(t, wholeStream(4), got.body)
	require.Equal(t, int32(1), s.runs.Load())
}
