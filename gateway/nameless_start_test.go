package gateway_test

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/platform"
	"redwinghall/platform/platformtest"
)

// nameless registers an endpoint as those of plain services are: its entry names its start, and it rejects a question for
// a report as a request without an id. All of its answers
// end with their connections. asked counts the questions.
func (s *fixture) nameless(asked *atomic.Int32) {
	s.t.Helper()
	s.client = platform.NewEndpointClient(nil)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case platformtest.IsReport(r):
			asked.Add(1)
			platformtest.SetNotExecuted(w)
			w.WriteHeader(http.StatusBadRequest)
		default:
			unframed(w, r, "whole", closeConn)
		}
	}))
	s.t.Cleanup(server.Close)
	s.registerBorn("e1", "desk", server.Listener.Addr().String(), earlierStart)
}

// The process lives on, and its answer is whole: it must not cost its caller the answer that it can't name its start.
func TestWholeAnswerOfAnEndpointThatNamesNoStartIsComplete(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct{ method, path string }{
		"a booking": {http.MethodPost, "/book2/"}, "a look-up": {http.MethodGet, "/look/"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFixture(t)
			s.nameless(new(atomic.Int32))
			begun := time.Now()
			got := s.do(s.request(c.method, c.path))
			require.Equal(t, http.StatusOK, got.status, "after %v", time.Since(begun))
			require.Equal(t, "whole", got.body)
		})
	}
}

// Each question is a new connection that the endpoint accepts: one that has answered the same again tells nothing new.
func TestEndpointThatNamesNoStartIsAskedFewTimes(t *testing.T) {
	t.Parallel()
	const most = 4
	s := newFixture(t)
	var asked atomic.Int32
	s.nameless(&asked)
	s.do(s.request(http.MethodPost, "/book2/"))
	require.LessOrEqual(t, asked.Load(), int32(most))
}
