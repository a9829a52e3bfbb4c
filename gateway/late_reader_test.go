package gateway_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/endpointhttp"
	"redwinghall/platform/platformtest"
	"redwinghall/rwhtest/lateread"
)

// A sound endpoint counted as one that this node doesn't reach, and its caller was refused, as bytes lay unread on a kept connection to it.
func TestEndpointWhoseKeptConnectionHasUnreadBytesIsReachedOverANewOne(t *testing.T) {
	t.Parallel()
	s := newFixture(t)
	var conns atomic.Int64
	runs := make(chan struct{})
	defer close(runs)
	s.gateway.Upstream = endpointhttp.NewUpstreamWithDialer(func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, address)
		if err != nil || conns.Add(1) > 1 {
			return conn, err
		}
		return &lateread.Conn{TCPConn: conn.(*net.TCPConn), Runs: runs}, nil
	})
	s.endpoint("desk-1", "desk", func(w http.ResponseWriter, r *http.Request) {
		sendBehind(w, r, platformtest.ResponseHead(http.StatusOK, "%s")+"Content-Length: 2\r\n\r\nok", "x", 20*time.Millisecond)
	})
	first, second := s.request(http.MethodPost, "/book/"), s.request(http.MethodPost, "/book/")
	second.Header.Set("Request-Id", "r-2")
	require.Equal(t, http.StatusOK, s.do(first).status)
	time.Sleep(100 * time.Millisecond) // what comes behind the answer is there
	require.Equal(t, http.StatusOK, s.do(second).status)
	require.False(t, s.gateway.Paths.Unconnected("desk-1"))
}
