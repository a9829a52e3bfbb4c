package gateway_test

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/platform/platformtest"
	"redwinghall/rwhtest/heldstill"
)

// limitedEndpoint adds an endpoint that announces a rate limit, and returns its
// request counter.
func (s *fixture) limitedEndpoint(id, service, perSecond string) *atomic.Int32 {
	var requests atomic.Int32
	s.endpoint(id, service, func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		platformtest.SetLimitHeader(w, perSecond)
		sign(w, r)
		if service == "llm" {
			writeEvents(w, 1, 3)
		}
	})
	return &requests
}

// serveInTime sends requests until one ends before its own deadline; that one must be served. The
// deadline is the caller's and passes while this process stands still, too.
func (s *fixture) serveInTime(path string) {
	s.t.Helper()
	for {
		request, sent := s.request(http.MethodPost, path), time.Now()
		response := s.do(request)
		if time.Since(sent) >= requestTimeout && (response.err != nil || response.status == http.StatusGatewayTimeout) {
			continue
		}
		require.NoError(s.t, response.err)
		require.Equal(s.t, http.StatusOK, response.status)
		return
	}
}

// A gateway that stood still must not take the only endpoint with room for silent.
func TestRequestsGoOnAfterAPause(t *testing.T) {
	for _, p := range []heldstill.Pattern{{Still: 1200 * time.Millisecond, Run: 50 * time.Millisecond, Times: 8}, {Still: 6 * time.Second, Run: 200 * time.Millisecond, Times: 2}} {
		if !heldstill.Repeat(t, p) {
			for range 20 {
				TestRequestsBeyondALimitGoElsewhere(t)
			}
			return
		}
	}
}

// Requests beyond the rate limit of an endpoint must go to another one, even if the
// first is otherwise preferred.
func TestRequestsBeyondALimitGoElsewhere(t *testing.T) {
	for path, service := range map[string]string{"/look/x": "desk", "/stream/x": "llm", "/feed/x": "desk"} {
		t.Run(path, func(t *testing.T) {
			s := newFixture(t)
			limited := s.limitedEndpoint("needy", service, "0.5")
			for limited.Load() == 0 {
				s.serveInTime(path)
			}
			other := s.limitedEndpoint("other", service, "")
			for range 30 {
				s.serveInTime(path)
			}
			require.LessOrEqual(t, limited.Load(), int32(2))
			require.GreaterOrEqual(t, other.Load(), int32(29))
		})
	}
}

// If all endpoints are at their rate limits, further requests must be refused at
// once, with a Retry-After that says when the next one is allowed.
func TestRefusesBeyondAllLimits(t *testing.T) {
	for path, service := range map[string]string{"/look/x": "desk", "/stream/x": "llm"} {
		t.Run(path, func(t *testing.T) {
			s := newFixture(t)
			limited := s.limitedEndpoint("needy", service, "1")
			require.Equal(t, http.StatusOK, s.do(s.request(http.MethodPost, path)).status)
			refused := s.do(s.request(http.MethodPost, path))
			require.Equal(t, http.StatusServiceUnavailable, refused.status)
			require.Contains(t, refused.body, "limited")
			seconds, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64)
			require.NoError(t, err)
			require.InDelta(t, 1, seconds, 0.3)
			require.Equal(t, int32(1), limited.Load())
		})
	}
}
