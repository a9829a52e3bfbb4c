package gateway_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/directory"
	"redwinghall/neighbor"
	"redwinghall/platform/platformtest"
	"redwinghall/rwhtest/logtest"
)

// forward sends a request to an endpoint by way of the fixture's gateway.
func (s *fixture) forward(server *httptest.Server, endpoint, method, path string, body []byte) (*http.Response, neighbor.ForwardOutcome) {
	s.t.Helper()
	r, err := platformtest.NewRequest(s.t.Context(), method, server.Listener.Addr().String(), path, bytes.NewReader(body),
		platformtest.RequestInfo{ID: "forwarded", Key: "key-1", Model: "m0", Timeout: requestTimeout, Prompt: 10, Answer: 50})
	require.NoError(s.t, err)
	response, outcome, err := neighbor.NewForwardClient().Send(s.t.Context(), server.Listener.Addr().String(),
		neighbor.Forward{Kind: neighbor.ForwardRequest, Endpoint: endpoint, Node: "n2", Configuration: 1, Timeout: requestTimeout}, r)
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = response.Body.Close() })
	return response, outcome
}

func (s *fixture) forwardServer() *httptest.Server {
	server := httptest.NewServer(http.HandlerFunc(s.gateway.ServeForwarded))
	s.t.Cleanup(server.Close)
	return server
}

// What a node holds for others counts too. One without room says so, and nothing was sent.
func TestForwardedBodyFindsNoMemory(t *testing.T) {
	log := logtest.Open(t)
	s, sent := newHeldFixture(t, 4<<20) // 1 MiB for all requests, half of it for bodies
	server := s.forwardServer()
	_, outcome := s.forward(server, "e1", http.MethodPost, "/book/x", make([]byte, 600<<10))
	require.Equal(t, neighbor.Busy, outcome)
	require.Zero(t, sent.Load())
	requireLine(t, log, "not_forwarded", `request="forwarded"`, `why="memory"`)
	_, outcome = s.forward(server, "e1", http.MethodPost, "/book/x", make([]byte, 100<<10))
	require.Equal(t, neighbor.Delivered, outcome)
	require.Eventually(t, func() bool { return s.held()["bodies"] == 0 && s.held()["requests"] == 0 }, time.Second, time.Millisecond)
}

// A control call that finds no memory doesn't make its endpoint pass for unusable.
func TestForwardedControlCallFindsNoMemory(t *testing.T) {
	log := logtest.Open(t)
	s, sent := newHeldFixture(t, 4<<20)
	desk := s.config.Services["desk"]
	desk.HealthPath = "/health"
	s.config.Services["desk"] = desk
	s.cache.Apply(time.Now(), directory.Change{Config: s.config})
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://e1/health", bytes.NewReader(make([]byte, 600<<10)))
	require.NoError(t, err)
	response, outcome, err := neighbor.NewForwardClient().Send(t.Context(), s.forwardServer().Listener.Addr().String(),
		neighbor.Forward{Kind: neighbor.ForwardControl, Endpoint: "e1", Node: "n2", Timeout: requestTimeout}, r)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, neighbor.Busy, outcome)
	require.Zero(t, sent.Load())
	requireLine(t, log, "not_forwarded", `why="memory"`)
}

// A node whose caller takes nothing doesn't take what is forwarded to it. The answer is read on and delivered late.
func TestForwardedAnswerIsReadOn(t *testing.T) {
	s, _ := newHeldFixture(t, largeVM)
	var done atomic.Int64
	s.endpoint("e2", "llm", longAnswer(true, slowEvents, &done))
	response, outcome := s.forward(s.forwardServer(), "e2", http.MethodPost, "/stream/x", nil)
	require.Equal(t, neighbor.Delivered, outcome)
	time.Sleep(2 * unreadTime)
	require.EqualValues(t, 1, done.Load(), "the endpoint has sent all")
	n, err := io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	require.GreaterOrEqual(t, n, int64(slowEvents*slowEventBytes))
}
