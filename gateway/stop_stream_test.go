package gateway_test

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/directory"
	"redwinghall/gateway"
	"redwinghall/platform/platformtest"
)

// Guards against a stream that can't go on elsewhere and is taken with so little to spare that a silence lets the stop cut it.
func TestStoppingGatewayReservesASilenceForStreamsThatCantBeResumed(t *testing.T) {
	t.Parallel()
	for _, one := range []struct {
		resumable     bool
		left, noticed time.Duration // until the node ends, and until the load balancer notices the stop
		status        int
	}{
		{true, 1500 * time.Millisecond, time.Second, http.StatusOK},
		{false, 1500 * time.Millisecond, time.Second, http.StatusServiceUnavailable},
		{false, 2700 * time.Millisecond, time.Second, http.StatusOK},
		{true, 2700 * time.Millisecond, -time.Second, http.StatusOK},
		{false, 2700 * time.Millisecond, -time.Second, http.StatusOK},
		{false, 1500 * time.Millisecond, -time.Second, http.StatusServiceUnavailable},
	} {
		t.Run(strconv.FormatBool(one.resumable)+" "+one.left.String()+" "+one.noticed.String(), func(t *testing.T) {
			t.Parallel()
			s := newFixture(t)
			config := configuration()
			config.Version++
			for i := range config.Routes {
				config.Routes[i].Resumable = one.resumable
			}
			s.cache.Apply(time.Now(), directory.Change{Config: config})
			runs := make(chan struct{}, 1)
			s.endpoint("engine-1", "llm", func(w http.ResponseWriter, r *http.Request) {
				runs <- struct{}{}
				sign(w, r)
				writeEvents(w, 1, 3)
			})
			now := time.Now()
			s.stop = gateway.Stop{Begun: now.Add(-2 * time.Second), Noticed: now.Add(one.noticed), End: now.Add(one.left)}
			r, err := platformtest.NewRequest(context.Background(), http.MethodPost, s.server.Listener.Addr().String(), "/stream/x", nil, platformtest.RequestInfo{
				ID: "r-1", Key: "key-1", Model: "m0", Timeout: 3 * time.Second, Prompt: 100, Answer: 60,
			})
			require.NoError(t, err)
			got := s.do(r)
			require.Equal(t, one.status, got.status)
			require.Equal(t, one.status == http.StatusOK, len(runs) == 1)
			if one.status != http.StatusOK {
				require.Contains(t, got.body, "node_stops")
				require.NotEmpty(t, got.header.Get("Retry-After"))
			}
		})
	}
}
