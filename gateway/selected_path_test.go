package gateway_test

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/balance"
	"redwinghall/directory"
	"redwinghall/endpointhttp"
	"redwinghall/fleet"
	"redwinghall/gateway"
	"redwinghall/neighbor"
	"redwinghall/platform/platformtest"
)

// newRentalFixture returns a fixture with a safe route within an unsafe one, and one whose prefix has an encoded byte.
func newRentalFixture(t *testing.T) *fixture {
	t.Helper()
	s := newUnconfiguredFixture(t)
	route := func(name, prefix string, kind fleet.RouteKind, attempts int) fleet.Route {
		return fleet.Route{
			Name: name, Host: "a.example", Prefix: prefix, Kind: kind, Timeout: requestTimeout, Objective: requestTimeout,
			MaxAttempts: attempts, Split: []fleet.Share{{Service: "desk", Weight: 1}},
		}
	}
	s.config.Routes = []fleet.Route{
		route("rental", "/rental/", fleet.Unsafe, 1), route("sizes", "/rental/205/", fleet.Safe, 2), route("encoded", "/a%2Fb/", fleet.Safe, 2),
	}
	s.cache.Apply(time.Now(), directory.Change{Config: s.config})
	return s
}

// A booking whose path held an encoded slash got the route of the decoded path, which may run again: the deposit was charged twice.
func TestRouteIsSelectedByThePathThatTheEndpointGets(t *testing.T) {
	t.Parallel()
	for path, want := range map[string]struct {
		status int
		calls  int32
	}{
		"/rental/205/55":          {http.StatusBadGateway, 2},
		"/rental/205%2F55":        {http.StatusBadGateway, 1},
		"/rental/205%2f55?x=/y":   {http.StatusBadGateway, 1},
		"/rental/x?/rental/205/":  {http.StatusBadGateway, 1},
		"/rental/%32%30%35/55":    {http.StatusBadGateway, 1},
		"/rental//205/55":         {http.StatusBadGateway, 1},
		"/rental/x/../205/55":     {http.StatusBadGateway, 1},
		"/rental/205/../../x":     {http.StatusBadGateway, 2},
		"/a%2Fb/x":                {http.StatusBadGateway, 2},
		"/a/b/x":                  {http.StatusNotFound, 0},
		"/%72ental/205/55":        {http.StatusNotFound, 0},
		"/rental%2F205/55":        {http.StatusNotFound, 0},
		"//a.example/rental/205/": {http.StatusNotFound, 0},
	} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			s := newRentalFixture(t)
			var calls atomic.Int32
			for _, id := range []string{"e1", "e2", "e3"} {
				s.endpoint(id, "desk", func(_ http.ResponseWriter, r *http.Request) {
					calls.Add(1)
					require.Equal(t, path, r.RequestURI)
					panic(http.ErrAbortHandler)
				})
			}
			r := s.request(http.MethodPost, "/")
			r.URL.Opaque = path
			if path[:2] == "//" {
				r.URL.Opaque, r.URL.Path = "", path
			}
			require.Equal(t, want.status, s.do(r).status)
			require.Equal(t, want.calls, calls.Load())
		})
	}
}

// A node that carries a request for another one selects the same route.
func TestForwardedRequestHasTheRouteOfItsPath(t *testing.T) {
	t.Parallel()
	s := newRentalFixture(t)
	var calls atomic.Int32
	s.endpoint("e1", "desk", func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		require.Equal(t, "/a%2Fb/x", r.RequestURI)
		sign(w, r)
	})
	carrier := httptest.NewServer(http.HandlerFunc(gateway.New(gateway.Options{
		Settings: func() fleet.Settings { return s.settings }, Cache: s.cache, Tracker: balance.NewTracker(), Upstream: endpointhttp.NewUpstream(),
		Metrics: gateway.NewMetrics(), ReportStall: func(string) {}, Presence: s.presence,
	}).ServeForwarded))
	t.Cleanup(carrier.Close)
	address := carrier.Listener.Addr().String()
	for path, want := range map[string]neighbor.ForwardOutcome{"/a%2Fb/x": neighbor.Delivered, "/a/b/x": neighbor.Unusable} {
		r, err := platformtest.NewRequest(t.Context(), http.MethodGet, address, "/", nil, platformtest.RequestInfo{ID: "r-1", Key: "key-1", Timeout: requestTimeout})
		require.NoError(t, err)
		r.URL.Opaque = path
		response, outcome, err := neighbor.NewForwardClient().Send(t.Context(), address,
			neighbor.Forward{Kind: neighbor.ForwardRequest, Endpoint: "e1", Node: "n2", Configuration: 1, Timeout: requestTimeout}, r)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, want, outcome, path)
	}
	require.Equal(t, int32(1), calls.Load())
}
