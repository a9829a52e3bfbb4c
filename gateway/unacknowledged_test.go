package gateway_test

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/directory"
	"redwinghall/platform"
	"redwinghall/platform/platformtest"
)

const (
	// unreadBytes are more than lie in the sockets between a node and an endpoint that doesn't read.
	unreadBytes = 3 << 20
	// changeTime is how soon no request may go by what held before a change.
	changeTime = 4 * time.Second
)

// unreading adds an endpoint that accepts connections and reads nothing.
func (s *fixture) unreading(id, service string) {
	small := net.ListenConfig{Control: func(_, _ string, socket syscall.RawConn) error {
		return socket.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) }) // the test sees if it has no effect
	}}
	listener, err := small.Listen(s.t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = listener.Close() })
	s.register(id, service, listener.Addr().String())
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
			s.config.Limits.BodyBytes = 4 << 20
			withTimeout(s.config.Routes, 4*requestTimeout)
			s.cache.Apply(time.Now(), directory.Change{Config: s.config})
			s.unreading("e1", "desk")
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
