package gateway_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
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
	"redwinghall/neighbor"
	"redwinghall/platform"
	"redwinghall/reach"
)

// helpless stands for other nodes of which none reaches an endpoint.
type helpless struct{ asked atomic.Int32 }

// Forward implements gateway.Forwarder.
func (h *helpless) Forward(context.Context, *fleet.Endpoint, func() (neighbor.Forward, *http.Request)) (*http.Response, string, neighbor.ForwardOutcome, error) {
	h.asked.Add(1)
	return nil, "", neighbor.Indirect, redwinghall.NewOpError("helpless.Forward", gateway.NotSent, errors.New("parted"))
}

// Verify implements gateway.Forwarder.
func (h *helpless) Verify(*fleet.Endpoint, bool) {}

// pathFixture is a gateway whose path to its one endpoint e1 was lost a moment ago.
type pathFixture struct {
	*fixture
	paths  *reach.Table
	peers  helpless
	toPeer string // its internal address
}

func newPathFixture(t *testing.T) *pathFixture {
	s := &pathFixture{fixture: &fixture{t: t, cache: directory.NewCache(), tracker: balance.NewTracker(), config: configuration()}, paths: reach.NewTable()}
	s.settings = fleet.Settings{Zone: "a", Node: "n1", Bounds: fleet.Bounds{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 100}}
	s.config.Services["desk"] = fleet.Service{Name: "desk", MaxConnections: 100, HealthPath: "/health"}
	s.cache.Apply(time.Now(), directory.Change{Config: s.config})
	g := gateway.New(gateway.Options{
		Settings: func() fleet.Settings { return s.settings }, Cache: s.cache, Tracker: s.tracker, Upstream: endpointhttp.NewUpstream(),
		Metrics: gateway.NewMetrics(), Shares: func() gateway.Shares { return gateway.Shares{Nodes: 2, Zone: 2} }, ReportStall: func(string) {},
		Stopping: func() gateway.Stop { return s.stop }, Paths: s.paths, Forwarder: &s.peers,
		Control: func(context.Context, *fleet.Endpoint, string, string, []byte, time.Duration) (platform.ControlResponse, error) {
			return platform.ControlResponse{Status: http.StatusOK, Header: http.Header{}}, nil
		},
	})
	s.server = httptest.NewServer(g)
	t.Cleanup(s.server.Close)
	internal := httptest.NewServer(http.HandlerFunc(g.ServeForwarded))
	t.Cleanup(internal.Close)
	s.toPeer = internal.Listener.Addr().String()
	s.endpoint("e1", "desk", sign)
	past := time.Now().Add(-1500 * time.Millisecond)
	s.paths.Failed(past, "desk", "e1")
	s.paths.ReachedByPeer(past, "desk", "e1")
	return s
}

// holdOff makes the path work again and be held off.
func (s *pathFixture) holdOff() {
	now := time.Now()
	s.paths.Connected(now.Add(-400*time.Millisecond), "desk", "e1")
	s.paths.Failed(now.Add(-300*time.Millisecond), "desk", "e1")
	s.paths.ReachedByPeer(now.Add(-300*time.Millisecond), "desk", "e1")
	s.paths.Connected(now, "desk", "e1")
	require.False(s.t, s.paths.Direct(now, "desk", "e1"))
}

func (s *pathFixture) forward(kind neighbor.ForwardKind) neighbor.ForwardOutcome {
	s.t.Helper()
	return s.forwardTo(kind, "e1")
}

func (s *pathFixture) forwardTo(kind neighbor.ForwardKind, id string) neighbor.ForwardOutcome {
	s.t.Helper()
	request, err := http.NewRequestWithContext(s.t.Context(), http.MethodGet, "http://e1/health", nil)
	require.NoError(s.t, err)
	if kind == neighbor.ForwardRequest {
		request = s.request(http.MethodGet, "/look/x").WithContext(s.t.Context())
	}
	response, outcome, err := neighbor.NewForwardClient().Send(s.t.Context(), s.toPeer, neighbor.Forward{Kind: kind, Endpoint: id, Node: "n2", Timeout: time.Second}, request)
	require.NoError(s.t, err)
	require.NoError(s.t, response.Body.Close())
	return outcome
}

// A node's path to an endpoint works again, and it doesn't use it yet. A parted node that asks it
// for help must get it.
func TestNodeWhosePathWorksAgainHelpsOthers(t *testing.T) {
	s := newPathFixture(t)
	require.Equal(t, neighbor.Indirect, s.forward(neighbor.ForwardControl))
	require.Equal(t, neighbor.Reached, s.forward(neighbor.ForwardCheck))
	s.holdOff()
	require.Equal(t, neighbor.Reached, s.forward(neighbor.ForwardCheck))
	require.Equal(t, neighbor.Delivered, s.forward(neighbor.ForwardControl))
}

// A node doesn't use a path that works again, and no other node reaches the endpoint by now. Its own
// callers must be served over that path.
func TestPathThatWorksAgainIsUsedIfNobodyElseHelps(t *testing.T) {
	s := newPathFixture(t)
	s.holdOff()
	require.Equal(t, http.StatusOK, s.do(s.request(http.MethodGet, "/look/x")).status)
	require.Equal(t, int32(1), s.peers.asked.Load())
	require.Equal(t, http.StatusOK, s.do(s.request(http.MethodPost, "/book/x")).status)
	require.Equal(t, int32(2), s.peers.asked.Load())
}

// Neither other nodes nor this one reach an endpoint. The others must be asked once for a request,
// and this node's own path, known not to work, must not be tried.
func TestLostPathIsNotTriedAfterOthersFailed(t *testing.T) {
	s := newPathFixture(t)
	require.Equal(t, http.StatusServiceUnavailable, s.do(s.request(http.MethodPost, "/book/x")).status)
	require.Equal(t, int32(1), s.peers.asked.Load())
}

// A node was parted and holds its only endpoint in a long backoff. Another node asks it to check that
// endpoint, or to forward a request. Its own callers must be served once that has worked.
func TestCallersAreServedOnceTheNodeHasHelpedAnother(t *testing.T) {
	for _, kind := range []neighbor.ForwardKind{neighbor.ForwardCheck, neighbor.ForwardRequest} {
		t.Run(string(kind), func(t *testing.T) {
			s := newPathFixture(t)
			s.cache.Apply(time.Now(), directory.Change{Gone: "e1"})
			s.endpoint("e2", "desk", sign)
			now := time.Now()
			for _, age := range []time.Duration{4 * time.Second, 3 * time.Second, 1200 * time.Millisecond} {
				s.paths.Failed(now.Add(-age), "desk", "e2")
				s.tracker.MarkUnreached(now.Add(-age), "e2")
			}
			require.Equal(t, http.StatusServiceUnavailable, s.do(s.request(http.MethodGet, "/look/x")).status)
			s.forwardTo(kind, "e2")
			require.Equal(t, http.StatusOK, s.do(s.request(http.MethodGet, "/look/x")).status)
		})
	}
}
