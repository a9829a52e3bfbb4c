package gateway_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/balance"
	"redwinghall/directory"
	"redwinghall/fleet"
	"redwinghall/platform/platformtest"
	"redwinghall/quarantine"
)

// endingIssuer gives a permit as the node ends.
type endingIssuer struct{ end func() }

// Permit implements gateway.PermitIssuer.
func (i endingIssuer) Permit(context.Context, *fleet.Endpoint, balance.LimitReport) (balance.Permit, bool) {
	i.end()
	return balance.Permit{Given: true}, true
}

// endingTrials grants a trial as the node ends.
type endingTrials struct{ end func() }

// RequestTrial implements gateway.TrialGranter.
func (e endingTrials) RequestTrial(context.Context, string, string, []string) quarantine.TrialAnswer {
	e.end()
	return quarantine.TrialGranted
}

// EndTrial implements gateway.TrialGranter.
func (endingTrials) EndTrial(string) {}

// Guards against requests that wait for something as their node ends, and are then sent, or get another answer than that they
// were not run.
func TestRequestThatWaitsAsTheNodeEndsIsNotRun(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		path   string
		reason string
		// prepare makes a request wait for something; end ends the node, and crash makes endpoints crash under requests.
		prepare func(s *fixture, end func(), crash *atomic.Bool)
	}{
		"a place": {"/stream/", "node_ended", func(s *fixture, end func(), _ *atomic.Bool) {
			s.placer.hasDispatcher, s.placer.offers, s.placer.onPlace = true, map[string]string{"a": "llm-1"}, end
		}},
		"a permit": {"/book/", "node_ended", func(s *fixture, end func(), _ *atomic.Bool) {
			require.Equal(s.t, http.StatusOK, s.do(s.request(http.MethodPost, "/book/")).status) // announces the limit
			s.gateway.PermitIssuer = endingIssuer{end}
		}},
		"a trial": {"/book/", "node_ended", func(s *fixture, end func(), crash *atomic.Bool) {
			s.presences.Store("desk-1", fleet.PresenceGone)
			crash.Store(true)
			require.Equal(s.t, http.StatusBadGateway, s.do(s.request(http.MethodPost, "/book/")).status) // its parts are suspected from now on
			s.gateway.Trials = endingTrials{end}
		}},
		"the first endpoints": {"/look/", "endpoints_unknown", func(s *fixture, end func(), _ *atomic.Bool) {
			for id := range s.cache.View().Endpoints {
				s.cache.Apply(time.Now(), directory.Change{Gone: id})
			}
			time.AfterFunc(100*time.Millisecond, end)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFixture(t)
			var sent atomic.Int32
			var crash atomic.Bool
			for id, service := range map[string]string{"llm-1": "llm", "desk-1": "desk"} {
				s.endpoint(id, service, func(w http.ResponseWriter, r *http.Request) {
					sent.Add(1)
					if crash.Load() {
						panic(http.ErrAbortHandler)
					}
					platformtest.SetLimitHeader(w, "100")
					sign(w, r)
					writeEvents(w, 1, 3)
				})
			}
			ctx, cancel := context.WithCancel(t.Context())
			c.prepare(s, func() {
				s.ended.Store(true)
				cancel()
			}, &crash)
			before, begun := sent.Load(), time.Now()
			answer := httptest.NewRecorder()
			s.gateway.ServeHTTP(answer, s.request(http.MethodPost, c.path).WithContext(ctx))
			require.Equal(t, http.StatusServiceUnavailable, answer.Code)
			require.Contains(t, answer.Body.String(), c.reason)
			require.NotEmpty(t, answer.Header().Get("Retry-After"))
			require.Equal(t, before, sent.Load())
			require.Less(t, time.Since(begun), 500*time.Millisecond)
		})
	}
}
