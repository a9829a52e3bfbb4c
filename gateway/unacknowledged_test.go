package gateway_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/directory"
	"redwinghall/platform"
	"redwinghall/platform/platformtest"
	"redwinghall/standin/link"
)

const (
	// unreadBytes are more than lie in the sockets between a node and an endpoint that doesn't read.
	unreadBytes = 16 << 20
	// changeTime is how soon no request may go by what held before a change.
	changeTime = 4 * time.Second
)

// cutOff adds an endpoint whose path is cut once the head of a request has arrived.
func (s *fixture) cutOff(id, service string) {
	s.endpoint(id, service, func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		require.NoError(s.t, err)
		s.t.Cleanup(func() { _ = conn.Close() })
		require.NoError(s.t, link.DropSegments(conn.(*net.TCPConn)))
	})
}

// The kernel ended the connection of a request whose bytes nobody acknowledged, and a booking of which a part may have arrived ran once more.
func TestRequestThatNobodyAcknowledgesEndsByItsKind(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		path   string
		status int
		runs   int32 // at the other endpoint
	}{
		"a booking":             {"/book2/x", http.StatusBadGateway, 0},
		"a look-up with a body": {"/look/x", http.StatusOK, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newUnconfiguredFixture(t)
			s.config.Limits.BodyBytes = unreadBytes
			withTimeout(s.config.Routes, 4*requestTimeout)
			s.cache.Apply(time.Now(), directory.Change{Config: s.config})
			s.cutOff("e1", "desk")
			var runs atomic.Int32
			r, err := platformtest.NewRequest(context.Background(), http.MethodPost, s.server.Listener.Addr().String(), c.path,
				bytes.NewReader(make([]byte, unreadBytes)), platformtest.RequestInfo{ID: "r-1", Key: "key-1", Timeout: 4 * requestTimeout})
			require.NoError(t, err)
			time.AfterFunc(time.Second, func() { // the request is on its way to the only endpoint
				s.endpoint("e2", "desk", func(w http.ResponseWriter, r *http.Request) {
					runs.Add(1)
					sign(w, r)
					writeEvents(w, 1, 3)
				})
			})
			begun := time.Now()
			got := s.do(r)
			require.NoError(t, got.err)
			require.Equal(t, c.status, got.status)
			require.Less(t, time.Since(begun), changeTime)
			require.Equal(t, c.runs, runs.Load())
			require.False(t, platform.DecodeResponseInfo(got.status, got.header).NotRun, "a part of it arrived")
		})
	}
}

// A booking got 502 once its endpoint had read none of its body for 2.5 s, although the endpoint was there and ran it later.
func TestBookingThatIsReadLateIsAnswered(t *testing.T) {
	t.Parallel()
	const unreadTime = 5 * time.Second
	s := newUnconfiguredFixture(t)
	s.config.Limits.BodyBytes = unreadBytes
	withTimeout(s.config.Routes, 4*requestTimeout)
	s.cache.Apply(time.Now(), directory.Change{Config: s.config})
	s.endpoint("e1", "desk", func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(unreadTime)
		_, _ = io.Copy(io.Discard, r.Body)
		sign(w, r)
		writeEvents(w, 1, 3)
	})
	r, err := platformtest.NewRequest(t.Context(), http.MethodPost, s.server.Listener.Addr().String(), "/book2/x",
		bytes.NewReader(make([]byte, unreadBytes)), platformtest.RequestInfo{ID: "r-1", Key: "key-1", Timeout: 4 * requestTimeout})
	require.NoError(t, err)
	got := s.do(r)
	require.NoError(t, got.err)
	require.Equal(t, http.StatusOK, got.status)
}
