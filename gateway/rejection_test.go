package gateway_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/balance"
	"redwinghall/directory"
	"redwinghall/fleet"
	"redwinghall/platform/platformtest"
)

// While the store is unreachable, the head of a closed group looks open, and less
// loaded than the others. After one rejection it must be avoided, or stream after
// stream is sent there and uses up its last retry.
func TestRejectingHeadIsAvoided(t *testing.T) {
	s := newFixture(t)
	var rejections atomic.Int32
	s.endpoint("closed", "llm", func(w http.ResponseWriter, _ *http.Request) {
		rejections.Add(1)
		platformtest.SetNotExecuted(w)
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	s.endpoint("open", "llm", func(w http.ResponseWriter, r *http.Request) {
		sign(w, r)
		writeEvents(w, 1, 3)
	})
	for range 10 {
		s.tracker.SetOwnZoneLoads(time.Now(), map[string]balance.Load{"open": {Requests: 1, Unstarted: 1, Unread: 500}})
		require.Equal(t, http.StatusOK, s.do(s.request(http.MethodPost, "/stream/x")).status)
		require.Equal(t, int32(1), rejections.Load())
	}
}

// A node that has just started and has read no entries yet must send a shorter
// Retry-After than a node that knows that there is no endpoint.
func TestRetryAfterBeforeFirstRead(t *testing.T) {
	s := newFixture(t)
	soon := s.do(s.request(http.MethodPost, "/stream/x"))
	require.Equal(t, http.StatusServiceUnavailable, soon.status)
	require.Contains(t, soon.body, "endpoints_unknown")
	s.cache.Apply(time.Now(), directory.Change{Gone: "i-1"})
	s.cache.NoteRead(fleet.Position{Version: 7})
	later := s.do(s.request(http.MethodPost, "/stream/x"))
	require.Contains(t, later.body, "no_endpoint")
	require.Less(t, soon.header.Get("Retry-After"), later.header.Get("Retry-After"))
}
