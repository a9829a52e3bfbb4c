package node_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/kernel"
	"redwinghall/platform/platformtest"
)

const (
	usualCall   = 300 * time.Millisecond
	slowCall    = 9 * time.Second // longer than any stop
	callTimeout = 6 * time.Second
)

// slowedCall is a call to a service that became slower than a stop lasts, as its caller saw it.
type slowedCall struct {
	id, path string
	sent     time.Duration // after the signal
	status   int           // 0 if the connection ended without an answer
	ended    time.Duration // after the signal
}

func (c slowedCall) String() string {
	return fmt.Sprintf("%s, sent %s after the signal: status %d after %s", c.path, c.sent, c.status, c.ended.Round(10*time.Millisecond))
}

// stopBesideSlowedCalls stops a node whose plain service becomes slow at the signal, and returns the calls that were sent from then on.
func stopBesideSlowedCalls(t *testing.T) (d *deployment, calls []slowedCall) {
	t.Helper()
	d = deployWith(t, platformtest.EndpointConfig{Event: 10 * time.Millisecond, Events: answerEvents}, platformtest.EndpointConfig{Work: usualCall})
	d.start()
	d.waitServing()
	for i := range 6 {
		for _, path := range []string{"/book/x", "/look/x"} {
			status, _ := d.request(http.MethodPost, path, fmt.Sprint("early", path, i))
			require.Equal(t, http.StatusOK, status)
		}
	}
	d.desks[0].SetWork(slowCall)
	stopped := time.Now()
	d.stop()
	var mu sync.Mutex
	g := kernel.NewGroup(t.Context())
	for _, sent := range []time.Duration{500, 1500, 2500, 3500, 4500, 5000, 5500, 6500} {
		for _, path := range []string{"/book/x", "/look/x"} {
			one := slowedCall{id: fmt.Sprintf("%s%d", path[1:5], sent), path: path, sent: sent * time.Millisecond}
			g.Go(one.id, func(ctx context.Context) error {
				kernel.Sleep(ctx, one.sent-time.Since(stopped))
				one.status = d.statusOf(ctx, one.path, one.id)
				one.ended = time.Since(stopped)
				mu.Lock()
				defer mu.Unlock()
				calls = append(calls, one)
				return nil
			})
		}
	}
	require.NoError(t, g.Wait())
	require.NoError(t, <-d.done)
	return d, calls
}

// statusOf makes a call on a connection of its own, and returns 0 if that ends without an answer.
func (d *deployment) statusOf(ctx context.Context, path, id string) int {
	r, err := platformtest.NewRequest(ctx, http.MethodPost, d.settings.CallerAddress, path, nil, platformtest.RequestInfo{ID: id, Key: "key-1", Timeout: callTimeout})
	require.NoError(d.t, err)
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	if err != nil {
		return 0
	}
	_ = response.Body.Close() // only the status counts
	return response.StatusCode
}

// Guards against calls that a stopping node sends to an endpoint and then cuts at its end without a word to their callers.
func TestStoppingNodeAnswersEachCallThatItSent(t *testing.T) {
	t.Parallel()
	d, calls := stopBesideSlowedCalls(t)
	for _, one := range calls {
		if d.runCounter.Runs(one.id) > 0 {
			require.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, one.status, "%s, and was run", one)
		}
	}
}

// Guards against bookings that a stopping node sends although they may outlast it and callers reach other nodes by then.
func TestStoppingNodeSendsNoLateBookingThatMayOutlastIt(t *testing.T) {
	t.Parallel()
	const noticed = 2400 * time.Millisecond // by the load balancer
	d, calls := stopBesideSlowedCalls(t)
	for _, one := range calls {
		if one.path == "/book/x" && one.sent >= noticed {
			require.Zero(t, d.runCounter.Runs(one.id), one)
			require.Equal(t, http.StatusServiceUnavailable, one.status, one)
		}
	}
}
