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

// A stopping node takes a request that it can finish. The first endpoint keeps
// it for a while and promises that it didn't run it; by then a second try can't
// end in time. The node sends it to the second endpoint all the same, and cuts
// it there at its end: callers see a broken answer, or a booking without one,
// instead of an honest 503. Cause: only the first try is held against the stop.
func TestStoppingGatewayHoldsRetriesAgainstItsEnd(t *testing.T) {
	t.Parallel()
	for _, one := range []struct {
		path, service string
		left          time.Duration // of the node's time, when the request comes
	}{
		{"/book2/x", "desk", 1000 * time.Millisecond},
		{"/stream/x", "llm", 1100 * time.Millisecond},
	} {
		t.Run(one.service, func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			var tries atomic.Int32
			answering := func(w http.ResponseWriter, r *http.Request) {
				if platformtest.ReadHeaders(r).ID == "earlier" {
					time.Sleep(300 * time.Millisecond) // which is what a call is expected to take
				} else if tries.Add(1) == 1 {
					time.Sleep(600 * time.Millisecond)
					w.Header().Set("Request-Id", platformtest.ReadHeaders(r).ID)
					platformtest.SetNotExecuted(w)
					w.WriteHeader(http.StatusServiceUnavailable)
					return
				}
				sign(w, r)
				events(w, 1, 3)
			}
			s.endpoint("one", one.service, answering)
			s.endpoint("other", one.service, answering)
			ask := func(id string) answer {
				r, err := platformtest.NewRequest(context.Background(), http.MethodPost, s.server.Listener.Addr().String(), one.path, nil, platformtest.RequestInfo{
					ID: id, Key: "key-1", Model: "m0", Timeout: 3 * time.Second, Prompt: 100, Answer: 60,
				})
				require.NoError(t, err)
				return s.do(r)
			}
			require.Equal(t, http.StatusOK, ask("earlier").status, "a node takes no call of a route of which it has seen none")
			now := time.Now()
			s.stop = gateway.Stop{Begun: now.Add(-4 * time.Second), Noticed: now.Add(-2 * time.Second), End: now.Add(one.left)}
			got := ask("r-1")
			require.EqualValues(t, 1, tries.Load(), "the second try began with less time left than it is expected to take")
			require.Equal(t, http.StatusServiceUnavailable, got.status)
		})
	}
}
