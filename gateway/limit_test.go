package gateway_test

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"redwinghall/platform/platformtest"
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

// Requests beyond the rate limit of an endpoint must go to another one, even if the
// first is otherwise preferred.
func TestRequestsBeyondALimitGoElsewhere(t *testing.T) {
	for path, service := range map[string]string{"/look/x": "desk", "/stream/x": "llm", "/feed/x": "desk"} {
		t.Run(path, func(t *testing.T) {
			s := newFixture(t)
			limited := s.limitedEndpoint("needy", service, "0.5")
			for limited.Load() == 0 {
				require.Equal(t, http.StatusOK, s.do(s.request(http.MethodPost, path)).status)
			}
			other := s.limitedEndpoint("other", service, "")
			for range 30 {
				require.Equal(t, http.StatusOK, s.do(s.request(http.MethodPost, path)).status)
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
