package gateway_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall"
	"redwinghall/balance"
	"redwinghall/directory"
	"redwinghall/endpointhttp"
	"redwinghall/fleet"
	"redwinghall/gateway"
	"redwinghall/kernel"
	"redwinghall/neighbor"
	"redwinghall/platform"
	"redwinghall/platform/platformtest"
)

// A sound endpoint counted as one that this node doesn't reach, as the caller of a forwarded request left while this node connected to it.
func TestEndpointIsReachedAlthoughTheCallerOfAForwardedRequestLeft(t *testing.T) {
	t.Parallel()
	s := newFixture(t)
	var dials atomic.Int64
	dialing := make(chan struct{})
	s.gateway.Upstream = endpointhttp.NewUpstreamWithDialer(func(ctx context.Context, network, address string) (net.Conn, error) {
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

// A node that was still connecting for a check whose sender had its answer from another node counted its own path as failed.
func TestCheckWhoseSenderLeftIsNoFailedPath(t *testing.T) {
	t.Parallel()
	s := newFixture(t)
	dialing := make(chan struct{})
	s.gateway.Upstream = endpointhttp.NewUpstreamWithDialer(func(ctx context.Context, network, address string) (net.Conn, error) {
		close(dialing)
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
	})
	s.endpoint("desk-1", "desk", sign)
	ended := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer close(ended)
		s.gateway.ServeForwarded(w, r)
	}))
	t.Cleanup(server.Close)
	ctx, leave := context.WithCancel(t.Context())
	g := kernel.NewGroup(t.Context())
	g.Go("leave", func(context.Context) error {
		<-dialing
		leave()
		return nil
	})
	_, _, err := neighbor.NewForwardClient().Send(ctx, server.Listener.Addr().String(), neighbor.Forward{Kind: neighbor.ForwardCheck, Endpoint: "desk-1", Node: "n2"},
		&http.Request{Method: http.MethodGet, URL: &url.URL{Path: "/"}, Header: http.Header{}, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1})
	require.ErrorIs(t, err, context.Canceled)
	<-ended
	require.False(t, s.gateway.Paths.Unconnected("desk-1"))
	require.False(t, s.gateway.Paths.FailedRecently(time.Now(), "desk-1"))
	require.NoError(t, g.Wait())
}

// A control call for another node that gave it up made its endpoint pass for one that this node doesn't reach.
func TestControlCallWhoseSenderLeftIsNoFailedPath(t *testing.T) {
	t.Parallel()
	cache, tracker := directory.NewCache(), balance.NewTracker()
	config := configuration()
	config.Services["llm"] = fleet.Service{Name: "llm", HealthPath: "/health"}
	cache.Apply(time.Now(), directory.Change{Config: config})
	e := &fleet.Endpoint{ID: "e1", Service: "llm", State: fleet.EndpointReady}
	cache.Apply(time.Now(), directory.Change{Endpoint: e})
	calling, ended := make(chan struct{}), make(chan struct{})
	gate := gateway.New(gateway.Options{
		Settings: func() fleet.Settings { return fleet.Settings{} }, Cache: cache, Tracker: tracker, ReportStall: func(string) {},
		Control: func(ctx context.Context, _ *fleet.Endpoint, _, _ string, _ []byte, _ time.Duration) (platform.ControlResponse, error) {
			close(calling)
			<-ctx.Done()
			return platform.ControlResponse{}, redwinghall.NewOpError("control", platform.NotReached, ctx.Err())
		},
	})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer close(ended)
		gate.ServeForwarded(w, r)
	}))
	t.Cleanup(server.Close)
	ctx, leave := context.WithCancel(t.Context())
	g := kernel.NewGroup(t.Context())
	g.Go("leave", func(context.Context) error {
		<-calling
		leave()
		return nil
	})
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL+"/health", nil)
	require.NoError(t, err)
	_, _, err = neighbor.NewForwardClient().Send(ctx, server.Listener.Addr().String(), neighbor.Forward{Kind: neighbor.ForwardControl, Endpoint: "e1", Node: "n2", Timeout: time.Second}, r)
	require.ErrorIs(t, err, context.Canceled)
	<-ended
	require.False(t, gate.Paths.Unconnected("e1"))
	require.False(t, tracker.AllInBackoff(time.Now(), []*fleet.Endpoint{e}))
	require.NoError(t, g.Wait())
}
