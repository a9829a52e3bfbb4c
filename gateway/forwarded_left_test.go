package gateway_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/gateway"
	"redwinghall/kernel"
	"redwinghall/neighbor"
	"redwinghall/platform/platformtest"
)

// A sound endpoint counted as one that this node doesn't reach, as the caller of a forwarded request left while this node connected to it.
func TestEndpointIsReachedAlthoughTheCallerOfAForwardedRequestLeft(t *testing.T) {
	t.Parallel()
	s := newFixture(t)
	var dials atomic.Int64
	dialing := make(chan struct{})
	s.gateway.Upstream = gateway.NewUpstreamWithDialer(func(ctx context.Context, network, address string) (net.Conn, error) {
		if dials.Add(1) == 1 {
			close(dialing)
			time.Sleep(100 * time.Millisecond) // within the time that a connection may take
		}
		return new(net.Dialer).DialContext(ctx, network, address)
	})
	s.endpoint("desk-1", "desk", sign)
	address := s.forwardServer().Listener.Addr().String()
	r, err := platformtest.NewRequest(t.Context(), http.MethodPost, address, "/book/", strings.NewReader("x"), platformtest.RequestInfo{ID: "forwarded", Key: "key-1", Timeout: requestTimeout})
	require.NoError(t, err)
	ctx, leave := context.WithCancel(t.Context())
	g := kernel.NewGroup(t.Context())
	g.Go("leave", func(context.Context) error {
		<-dialing
		leave()
		return nil
	})
	_, _, err = neighbor.NewForwardClient().Send(ctx, address, neighbor.Forward{Kind: neighbor.ForwardRequest, Endpoint: "desk-1", Node: "n2", Configuration: 1, Timeout: requestTimeout}, r)
	require.ErrorIs(t, err, context.Canceled)
	require.Eventually(t, func() bool { return s.gateway.Forwards() == 0 }, time.Second, time.Millisecond)
	require.Equal(t, http.StatusOK, s.do(s.request(http.MethodPost, "/book/")).status)
	require.NoError(t, g.Wait())
	require.False(t, s.tracker.AllInBackoff(time.Now(), s.cache.View().ByService["desk"]))
}
