package gateway_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/directory"
	"redwinghall/fleet"
	"redwinghall/platform/platformtest"
)

// While the store is away, a head whose group has closed looks open, and emptier than
// the others: stream after stream goes there, is turned away, and uses its last try.
func TestHeadThatTurnsAwayIsLeftAlone(t *testing.T) {
	s := newSite(t)
	var turnedAway atomic.Int32
	s.endpoint("closed", "llm", func(w http.ResponseWriter, _ *http.Request) {
		turnedAway.Add(1)
		platformtest.SetNotExecuted(w)
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	s.endpoint("open", "llm", func(w http.ResponseWriter, r *http.Request) {
		sign(w, r)
		events(w, 1, 3)
	})
	for range 10 {
		require.Equal(t, http.StatusOK, s.do(s.request(http.MethodPost, "/stream/x")).status)
	}
	require.Equal(t, int32(1), turnedAway.Load())
}

// A node has just started and has read no entries yet. Its caller is told to come back
// soon, not as late as where there is no endpoint.
func TestNodeThatHasReadNoEntries(t *testing.T) {
	s := newSite(t)
	soon := s.do(s.request(http.MethodPost, "/stream/x"))
	require.Equal(t, http.StatusServiceUnavailable, soon.status)
	require.Contains(t, soon.body, "endpoints_unknown")
	s.book.Apply(time.Now(), directory.Change{Gone: "i-1"})
	s.book.NoteRead(fleet.Position{Version: 7})
	later := s.do(s.request(http.MethodPost, "/stream/x"))
	require.Contains(t, later.body, "no_endpoint")
	require.Less(t, soon.header.Get("Retry-After"), later.header.Get("Retry-After"))
}
