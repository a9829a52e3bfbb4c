package gateway_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/gateway"
)

// An unsafe request arrives 0.3 s before a stopping node exits, and its caller would
// wait longer than that. It must be refused without being executed, as streams are;
// otherwise it is cut off, and its caller can't tell whether it was executed.
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
