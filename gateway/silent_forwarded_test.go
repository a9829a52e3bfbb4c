package gateway_test

import (
	"context"
	"errors"
	"fmt"
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
	"redwinghall/platform/platformtest"
	"redwinghall/reach"
)

// onePeer forwards requests by way of one other node.
type onePeer struct {
	client  *neighbor.ForwardClient
	address string
	asked   atomic.Int32
}

// Forward implements gateway.Forwarder.
func (p *onePeer) Forward(ctx context.Context, _ *fleet.Endpoint, newRequest func() (neighbor.Forward, *http.Request)) (*http.Response, string, neighbor.ForwardOutcome, error) {
	p.asked.Add(1)
	call, request := newRequest()
	response, outcome, err := p.client.Send(ctx, p.address, call, request)
	switch {
	case err != nil:
		return nil, "", outcome, redwinghall.NewOpError("onePeer.Forward", gateway.Unknown, err)
	case outcome == neighbor.Delivered:
		return response, "n2", outcome, nil
	}
	_ = response.Body.Close() // it is empty
	kind := gateway.NotSent
	if outcome == neighbor.Lost {
		kind = gateway.Unknown
	}
	return nil, "", outcome, redwinghall.NewOpError("onePeer.Forward", kind, errors.New("not delivered"))
}

// Verify implements gateway.Forwarder.
func (p *onePeer) Verify(*fleet.Endpoint, bool) {}

// partedFixture is a node that reaches the endpoints of another one only by way of it.
type partedFixture struct {
	*fixture
	peer onePeer
}

func newPartedFixture(t *testing.T, far *fixture) *partedFixture {
	t.Helper()
	s := &partedFixture{fixture: &fixture{t: t, cache: directory.NewCache(), tracker: balance.NewTracker(), config: configuration()}}
	s.peer.client, s.peer.address = neighbor.NewForwardClient(), far.forwardServer().Listener.Addr().String()
	s.settings = fleet.Settings{Zone: "a", Node: "n1", Bounds: fleet.Bounds{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 100}}
	s.cache.Apply(time.Now(), directory.Change{Config: s.config})
	paths, past := reach.NewTable(), time.Now().Add(-1500*time.Millisecond)
	for _, e := range far.cache.View().Endpoints {
		s.cache.Apply(time.Now(), directory.Change{Endpoint: e})
		paths.Failed(past, e.Service, e.ID)
		paths.ReachedByPeer(past, e.Service, e.ID)
	}
	s.gateway = gateway.New(gateway.Options{
		Settings: func() fleet.Settings { return s.settings }, Cache: s.cache, Tracker: s.tracker, Upstream: endpointhttp.NewUpstream(),
		Metrics: gateway.NewMetrics(), Shares: func() gateway.Shares { return gateway.Shares{Nodes: 1, Zone: 1} }, ReportStall: func(string) {},
		Placer: &s.placer, Promiser: &s.promiser, Stopping: func() gateway.Stop { return s.stop }, Paths: paths, Forwarder: &s.peer,
	})
	s.server = httptest.NewServer(s.gateway)
	t.Cleanup(s.server.Close)
	return s
}

// A sound endpoint that is reached through another node is silent for a moment, and the one that its stream is moved to
// doesn't take it: the caller still gets the whole answer from the first.
func TestForwardedStreamOutlivesTheSilenceOfItsEndpoint(t *testing.T) {
	for name, second := range failingSeconds() {
		for _, silence := range []time.Duration{1500 * time.Millisecond, 1900 * time.Millisecond} {
			for _, path := range []string{"/stream/", "/feed/"} {
				t.Run(fmt.Sprintf("%s/%s%s", name, silence, path), func(t *testing.T) {
					t.Parallel()
					far := newSilentFixture(t, silence, second)
					near := newPartedFixture(t, far.fixture)
					got := near.do(near.request(http.MethodPost, path))
					require.NoError(t, got.err)
					require.Equal(t, wholeStream(silentEvents), got.body)
					require.EqualValues(t, 2, far.runs.Load(), "attempts")
					require.EqualValues(t, 2, near.peer.asked.Load())
					require.Eventually(t, func() bool { return far.gateway.Forwards() == 0 }, time.Second, time.Millisecond)
				})
			}
		}
	}
}

// The same for a look-up.
func TestForwardedLookUpOutlivesTheSilenceOfItsEndpoint(t *testing.T) {
	for name, others := range failingLookUps() {
		for _, silence := range []time.Duration{1500 * time.Millisecond, 1900 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s/%s", name, silence), func(t *testing.T) {
				t.Parallel()
				far := newSilentLookUp(t, 2, silence, others)
				near := newPartedFixture(t, far.fixture)
				got := near.do(near.request(http.MethodGet, "/look/"))
				require.NoError(t, got.err)
				require.Equal(t, http.StatusOK, got.status, got.body)
				require.Equal(t, firstAnswer, got.body)
				require.Equal(t, "sig-"+firstAnswer, platformtest.Signature(got.header))
				require.EqualValues(t, 2, far.runs.Load(), "attempts")
				require.EqualValues(t, 2, near.peer.asked.Load())
				require.Eventually(t, func() bool { return far.gateway.Forwards() == 0 && len(near.tracker.OwnLoads(time.Now())) == 0 }, time.Second, time.Millisecond)
			})
		}
	}
}

// An endpoint that is reached through another node has stopped for good: another one answers before the caller leaves,
// and the other node gives up the first attempt.
func TestForwardedCallsLeaveAnEndpointThatStaysSilent(t *testing.T) {
	t.Run("stream", func(t *testing.T) {
		t.Parallel()
		far := newSilentFixture(t, time.Minute, func(w http.ResponseWriter, r *http.Request) {
			sign(w, r)
			writeEvents(w, 3, silentEvents)
		})
		near := newPartedFixture(t, far.fixture)
		begun := time.Now()
		got := near.do(near.request(http.MethodPost, "/stream/"))
		require.NoError(t, got.err)
		require.Equal(t, wholeStream(silentEvents), got.body)
		require.Less(t, time.Since(begun), callerPatience)
		require.Eventually(t, func() bool { return far.gateway.Forwards() == 0 }, time.Second, time.Millisecond)
	})
	t.Run("look-up", func(t *testing.T) {
		t.Parallel()
		far := newSilentLookUp(t, 2, time.Minute, answers(secondAnswer))
		near := newPartedFixture(t, far.fixture)
		begun := time.Now()
		require.Equal(t, secondAnswer, near.do(near.request(http.MethodGet, "/look/")).body)
		require.Less(t, time.Since(begun), callerPatience)
		require.Eventually(t, func() bool { return far.gateway.Forwards() == 0 }, time.Second, time.Millisecond)
	})
}
