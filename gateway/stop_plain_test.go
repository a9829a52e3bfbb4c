package gateway_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/gateway"
)

// A booking comes 0.3 s before a node's end, with a caller who would wait for
// longer. Taken, it would be cut, and its caller couldn't tell whether it ran.
// So it is refused unrun, as a stream is.
func TestStoppingGatewayRefusesLateBookings(t *testing.T) {
	t.Parallel()
	s := newFixture(t)
	var runs atomic.Int32
	s.endpoint("desk-1", "desk", func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		sign(w, r)
	})
	now := time.Now()
	s.stop = gateway.Stop{Begun: now.Add(-4 * time.Second), Noticed: now.Add(-2 * time.Second), End: now.Add(300 * time.Millisecond)}
	require.Equal(t, http.StatusServiceUnavailable, s.do(s.request(http.MethodPost, "/book/x")).status)
	require.Zero(t, runs.Load())
}
