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

// A service answers look-ups at once and bookings in two seconds. A node with 2.9 s
// left must refuse a booking. Otherwise it cuts the booking off at its exit, and the
// caller can't tell whether it was executed and must not repeat it. This happens if
// the duration of a call is predicted from the mean of all calls to its endpoint, most
// of which are look-ups.
func TestStoppingGatewayPredictsDurationByRoute(t *testing.T) {
	t.Parallel()
	s := newFixture(t)
	const bookingTime = 2 * time.Second
	var late atomic.Int32
	s.endpoint("desk-1", "desk", func(w http.ResponseWriter, r *http.Request) {
		if platformtest.ReadHeaders(r).ID == "late" {
			late.Add(1)
		}
		if r.URL.Path == "/book/x" {
			time.Sleep(bookingTime)
		}
		sign(w, r)
	})
	send := func(path, id string) response {
		r, err := platformtest.NewRequest(context.Background(), http.MethodPost, s.server.Listener.Addr().String(), path, nil, platformtest.RequestInfo{
			ID: id, Key: "key-1", Timeout: 3 * time.Second,
		})
		require.NoError(t, err)
		return s.do(r)
	}
	require.Equal(t, http.StatusOK, send("/book/x", "early").status)
	for range 100 {
		require.Equal(t, http.StatusOK, send("/look/x", "look").status)
	}
	now := time.Now()
	s.stop = gateway.Stop{Begun: now, Noticed: now.Add(2 * time.Second), End: now.Add(2900 * time.Millisecond)}
	got := send("/book/x", "late")
	require.Zero(t, late.Load(), "a booking takes %s, which with a silence is more than the 2.9 s that the node had", bookingTime)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
}
