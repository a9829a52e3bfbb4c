package gateway_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/balance"
	"redwinghall/fleet"
	"redwinghall/gateway"
	"redwinghall/platform/platformtest"
)

// slowPermits issues permits after a while.
type slowPermits struct{ after time.Duration }

func (p slowPermits) Permit(_ context.Context, _ *fleet.Endpoint, known balance.LimitReport) (balance.Permit, bool) {
	time.Sleep(p.after)
	return balance.Permit{Given: true, Limit: known}, true
}

// Guards against a call that a stopping node sends though its time has passed while the call waited for a permit.
func TestStoppingGatewayChecksCallsRightBeforeTheyAreSent(t *testing.T) {
	t.Parallel()
	for name, one := range map[string]struct {
		path          string
		left, noticed time.Duration // until the node ends, and until the load balancer notices the stop
	}{
		"look-up":                               {"/look/x", 2700 * time.Millisecond, -2 * time.Second},
		"booking":                               {"/book/x", 2700 * time.Millisecond, 2 * time.Second},
		"booking, with time, behind the notice": {"/book/x", 2950 * time.Millisecond, 300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFixture(t)
			s.gateway.PermitIssuer = slowPermits{after: 600 * time.Millisecond}
			var late atomic.Int32
			s.endpoint("desk-1", "desk", func(w http.ResponseWriter, r *http.Request) {
				if platformtest.ReadHeaders(r).ID == "late" {
					late.Add(1)
				}
				time.Sleep(300 * time.Millisecond)
				platformtest.SetLimitHeader(w, "20")
				sign(w, r)
			})
			send := func(id string) response {
				r := s.request(http.MethodPost, one.path)
				r.Header.Set("Request-Id", id)
				return s.do(r)
			}
			require.Equal(t, http.StatusOK, send("early").status)
			now := time.Now()
			s.stop = gateway.Stop{Begun: now.Add(-4 * time.Second), Noticed: now.Add(one.noticed), End: now.Add(one.left)}
			got := send("late")
			require.Zero(t, late.Load(), "sent %s before the end, less 0.6 s of waiting, and expected to take 2.2 s with a silence", one.left)
			require.Equal(t, http.StatusServiceUnavailable, got.status)
			require.NotEmpty(t, got.header.Get("Retry-After"))
		})
	}
}
