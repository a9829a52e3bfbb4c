package gateway_test

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"redwinghall/platform/platformtest"
)

// needy adds an endpoint that names a limit, and returns how often it was asked.
func (s *site) needy(id, service, perSecond string) *atomic.Int32 {
	var asked atomic.Int32
	s.endpoint(id, service, func(w http.ResponseWriter, r *http.Request) {
		asked.Add(1)
		platformtest.SetLimitHeader(w, perSecond)
		sign(w, r)
		if service == "llm" {
			events(w, 1, 3)
		}
	})
	return &asked
}

// What an endpoint's limit doesn't allow for goes to another one, also where the first looks best.
func TestRequestsBeyondALimitGoElsewhere(t *testing.T) {
	for path, service := range map[string]string{"/look/x": "desk", "/stream/x": "llm", "/feed/x": "desk"} {
		t.Run(path, func(t *testing.T) {
			s := newSite(t)
			needy := s.needy("needy", service, "0.5")
			for needy.Load() == 0 {
				require.Equal(t, http.StatusOK, s.do(s.request(http.MethodPost, path)).status)
			}
			other := s.needy("other", service, "")
			for range 30 {
				require.Equal(t, http.StatusOK, s.do(s.request(http.MethodPost, path)).status)
			}
			require.LessOrEqual(t, needy.Load(), int32(2))
			require.GreaterOrEqual(t, other.Load(), int32(29))
		})
	}
}

// Nothing but endpoints in need: the rest is refused at once, and told when there is room.
func TestRefusesBeyondAllLimits(t *testing.T) {
	for path, service := range map[string]string{"/look/x": "desk", "/stream/x": "llm"} {
		t.Run(path, func(t *testing.T) {
			s := newSite(t)
			needy := s.needy("needy", service, "1")
			require.Equal(t, http.StatusOK, s.do(s.request(http.MethodPost, path)).status)
			refused := s.do(s.request(http.MethodPost, path))
			require.Equal(t, http.StatusServiceUnavailable, refused.status)
			require.Contains(t, refused.body, "limited")
			seconds, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64)
			require.NoError(t, err)
			require.InDelta(t, 1, seconds, 0.3)
			require.Equal(t, int32(1), needy.Load())
		})
	}
}
