package gateway_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
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
	"redwinghall/reach"
)

// Whoever reaches a node's internal address must not make it open any number of connections to
// endpoints by control calls: what goes beyond a bound is refused at once and unsent.
func TestControlCallsOfOtherNodesAreBounded(t *testing.T) {
	const calls, bound = 200, 128
	cache := directory.NewCache()
	config := configuration()
	config.Services["llm"] = fleet.Service{Name: "llm", HealthPath: "/health"}
	cache.Apply(time.Now(), directory.Change{Config: config})
	cache.Apply(time.Now(), directory.Change{Endpoint: &fleet.Endpoint{ID: "e1", Service: "llm", State: fleet.EndpointReady}})
	release := make(chan struct{})
	var made atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(gateway.New(gateway.Options{
		Settings: func() fleet.Settings { return fleet.Settings{} }, Cache: cache, Tracker: balance.NewTracker(),
		Control: func(context.Context, *fleet.Endpoint, string, string, []byte, time.Duration) (platform.ControlResponse, error) {
			made.Add(1)
			<-release
			return platform.ControlResponse{Status: http.StatusOK, Header: http.Header{}}, nil
		},
	}).ServeForwarded))
	t.Cleanup(server.Close)
	releaseOnce := sync.OnceFunc(func() { close(release) })
	t.Cleanup(releaseOnce) // before server.Close, which waits for the calls
	outcomes := make(chan neighbor.ForwardOutcome, calls)
	g := kernel.NewGroup(t.Context())
	call := func(ctx context.Context) (neighbor.ForwardOutcome, error) {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL+"/health", nil)
		if err != nil {
			return "", err
		}
		response, outcome, err := neighbor.NewForwardClient().Send(ctx, server.Listener.Addr().String(),
			neighbor.Forward{Kind: neighbor.ForwardControl, Endpoint: "e1", Timeout: time.Second}, request)
		if err != nil {
			return "", err
		}
		return outcome, response.Body.Close()
	}
	for range calls {
		g.Go("call", func(ctx context.Context) error {
			outcome, err := call(ctx)
			for redwinghall.KindOf[neighbor.ForwardErrorKind](err) == neighbor.PeerUnreached {
				outcome, err = call(ctx) // no connection could be opened, so nothing was sent
			}
			outcomes <- outcome
			return err
		})
	}
	for range calls - bound {
		require.Equal(t, neighbor.Busy, <-outcomes)
	}
	releaseOnce()
	for range bound {
		require.Equal(t, neighbor.Delivered, <-outcomes)
	}
	require.NoError(t, g.Wait())
	require.EqualValues(t, bound, made.Load())
}

// An endpoint ends while other nodes still have what it sent last. If they said that they reach it, requests would be
// handed round between nodes, each of which believes that another one reaches it.
func TestEndedEndpointIsNotSaidToBeReached(t *testing.T) {
	t.Parallel()
	endpoint := httptest.NewServer(http.NotFoundHandler())
	cache, paths := directory.NewCache(), reach.NewTable()
	cache.Apply(time.Now(), directory.Change{Config: configuration()})
	cache.Apply(time.Now(), directory.Change{Endpoint: &fleet.Endpoint{ID: "e1", Service: "llm", Address: endpoint.Listener.Addr().String(), State: fleet.EndpointReady}})
	server := httptest.NewServer(http.HandlerFunc(gateway.New(gateway.Options{
		Settings: func() fleet.Settings { return fleet.Settings{} }, Cache: cache, Tracker: balance.NewTracker(), Paths: paths, Upstream: endpointhttp.NewUpstream(),
	}).ServeForwarded))
	t.Cleanup(server.Close)
	check := func() neighbor.ForwardOutcome {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, nil)
		require.NoError(t, err)
		response, outcome, err := neighbor.NewForwardClient().Send(t.Context(), server.Listener.Addr().String(), neighbor.Forward{Kind: neighbor.ForwardCheck, Endpoint: "e1"}, request)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		return outcome
	}
	paths.Responded(time.Now(), "llm", "e1")
	endpoint.Close()
	require.Equal(t, neighbor.Reached, check(), "it has just sent something")
	paths.Broke(time.Now(), "llm", "e1")
	require.Equal(t, neighbor.Unreached, check())
}
