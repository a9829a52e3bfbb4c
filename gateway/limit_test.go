package gateway_test

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/platform/platformtest"
	"redwinghall/rwhtest/heldstill"
)

// arrivals are the times at which requests reached an endpoint.
type arrivals struct {
	mu sync.Mutex
	at []time.Time
}

func (a *arrivals) add(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at = append(a.at, now)
}

// Load returns the number of requests.
func (a *arrivals) Load() int32 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return int32(len(a.at)) //nolint:gosec // few requests
}

// mostWithin returns the largest number of requests that arrived within a span of time.
func (a *arrivals) mostWithin(span time.Duration) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	most, first := 0, 0
	for i, at := range a.at {
		for at.Sub(a.at[first]) >= span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// limitedEndpoint adds an endpoint that announces a rate limit, and returns its
// requests.
func (s *fixture) limitedEndpoint(id, service, perSecond string) *arrivals {
	requests := &arrivals{}
	s.endpoint(id, service, func(w http.ResponseWriter, r *http.Request) {
		requests.add(time.Now())
		platformtest.SetLimitHeader(w, perSecond)
		sign(w, r)
		if service == "llm" {
			writeEvents(w, 1, 3)
		}
	})
	return requests
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
			require.LessOrEqual(t, limited.mostWithin(2*time.Second), 2, "one is allowed in 2 s, also while this process stands still")
			require.GreaterOrEqual(t, other.Load()+limited.Load(), int32(31))
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
