package gateway_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/gateway"
	"redwinghall/platform/platformtest"
)

// A stopping node accepts a request that it can finish. The first endpoint holds it
// for a while and then rejects it as not executed; by then a retry can't finish
// before the node exits. The gateway must answer 503 instead of retrying, or the node
// cuts off the second attempt and the caller gets a truncated stream, or no response
// to a booking. This happens if only the first attempt is checked against the planned
// stop.
func TestStoppingGatewayChecksRetriesAgainstItsEnd(t *testing.T) {
	t.Parallel()
	for name, one := range map[string]struct {
		path, service string
		left          time.Duration // until the node ends, when the request arrives
		noticed       time.Duration // until the load balancer notices the stop
	}{
		"desk":                               {"/book2/x", "desk", 2600 * time.Millisecond, 2 * time.Second},
		"desk, with time, behind the notice": {"/book2/x", "desk", 2950 * time.Millisecond, 300 * time.Millisecond},
		"llm":                                {"/stream/x", "llm", 2700 * time.Millisecond, -2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFixture(t)
			var tries atomic.Int32
			handler := func(w http.ResponseWriter, r *http.Request) {
				if platformtest.ReadHeaders(r).ID == "earlier" {
					time.Sleep(300 * time.Millisecond) // the duration that the gateway expects from then on
				} else if tries.Add(1) == 1 {
					time.Sleep(600 * time.Millisecond)
					w.Header().Set("Request-Id", platformtest.ReadHeaders(r).ID)
					platformtest.SetNotExecuted(w)
					w.WriteHeader(http.StatusServiceUnavailable)
					return
				}
				sign(w, r)
				writeEvents(w, 1, 3)
			}
			s.endpoint("one", one.service, handler)
			s.endpoint("other", one.service, handler)
			send := func(id string) response {
				r, err := platformtest.NewRequest(context.Background(), http.MethodPost, s.server.Listener.Addr().String(), one.path, nil, platformtest.RequestInfo{
					ID: id, Key: "key-1", Model: "m0", Timeout: 3 * time.Second, Prompt: 100, Answer: 60,
				})
				require.NoError(t, err)
				return s.do(r)
			}
			require.Equal(t, http.StatusOK, send("earlier").status, "a stopping node accepts no call of a route without a recorded duration")
			now := time.Now()
			s.stop = gateway.Stop{Begun: now.Add(-4 * time.Second), Noticed: now.Add(one.noticed), End: now.Add(one.left)}
			got := send("r-1")
			require.EqualValues(t, 1, tries.Load(), "the retry began though it may outlast the node")
			require.Equal(t, http.StatusServiceUnavailable, got.status)
		})
	}
}
