package gateway_test

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/directory"
	"redwinghall/fleet"
	"redwinghall/gateway"
)

// Requests that arrive right after a restart of all nodes must wait for the first
// reads of their node, a moment later, instead of being refused.
func TestCallersWaitForANodeThatJustStarted(t *testing.T) {
	for _, path := range []string{"/stream/x", "/look/x"} {
		t.Run(path, func(t *testing.T) {
			s := newUnconfiguredFixture(t)
			time.AfterFunc(100*time.Millisecond, func() {
				s.cache.Apply(time.Now(), directory.Change{Config: s.config})
			})
			time.AfterFunc(200*time.Millisecond, func() {
				for id, service := range map[string]string{"e1": "llm", "e2": "desk"} {
					s.endpoint(id, service, func(w http.ResponseWriter, r *http.Request) {
						sign(w, r)
						writeEvents(w, 1, 3)
					})
				}
				s.cache.NoteRead(fleet.Position{Version: 7})
			})
			require.Equal(t, http.StatusOK, s.do(s.request(http.MethodPost, path)).status)
		})
	}
}

// A request that is being placed while the node reads the endpoints for the first time must not be refused as if there were none.
func TestRequestInProgressUsesTheFirstEndpointsRead(t *testing.T) {
	s := newFixture(t)
	s.placer.hasDispatcher = true
	s.placer.onPlace = func() {
		s.placer.onPlace = nil
		s.endpoint("e1", "llm", func(w http.ResponseWriter, r *http.Request) {
			sign(w, r)
			writeEvents(w, 1, 3)
		})
		s.cache.NoteRead(fleet.Position{Version: 7})
	}
	require.Equal(t, http.StatusOK, s.do(s.request(http.MethodPost, "/stream/x")).status)
}

// A node that can't read anything after its start must refuse callers after a second,
// and at once from then on.
func TestCallersDoNotWaitForAnUnreachableStore(t *testing.T) {
	s := newUnconfiguredFixture(t)
	began := time.Now()
	require.Equal(t, http.StatusServiceUnavailable, s.do(s.request(http.MethodPost, "/stream/x")).status)
	require.Less(t, time.Since(began), 2*time.Second)
	began = time.Now()
	require.Equal(t, http.StatusServiceUnavailable, s.do(s.request(http.MethodPost, "/stream/x")).status)
	require.Less(t, time.Since(began), 500*time.Millisecond)
}

// All nodes have just started, and none has read the list of nodes. If each assumed
// that it is the only one, the request budget of cold endpoints and the shared retries
// would be spent once per node.
func TestNodeWithoutPeersSpendsNoSharedBudget(t *testing.T) {
	s := newFixture(t)
	s.shares = gateway.Shares{Zone: 1}
	s.settings.Bounds.ColdOvershoot, s.settings.Bounds.ColdSlack = 1.5, 5
	service := s.config.Services["desk"]
	service.ColdPerSecond = 10
	s.config.Services["desk"] = service
	s.cache.Apply(time.Now(), directory.Change{Config: s.config})
	var cold, failing atomic.Int32
	desk := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		cold.Add(1)
		sign(w, r)
	}))
	t.Cleanup(desk.Close)
	s.registerIn("a", "cold", "desk", desk.Listener.Addr().String(), time.Minute)
	require.Equal(t, http.StatusServiceUnavailable, s.do(s.request(http.MethodGet, "/look/x")).status)
	require.Zero(t, cold.Load())
	for _, id := range []string{"e1", "e2"} {
		s.endpoint(id, "desk", func(w http.ResponseWriter, r *http.Request) {
			failing.Add(1)
			sign(w, r)
			w.WriteHeader(http.StatusInternalServerError)
		})
	}
	require.Equal(t, http.StatusInternalServerError, s.do(s.request(http.MethodGet, "/look/x")).status)
	require.Equal(t, int32(1), failing.Load(), "a node that does not know the others must not spend the shared retry slack")
}
