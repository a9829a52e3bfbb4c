package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/gateway"
	"redwinghall/platform/platformtest"
)

// A stopping node gets requests until it exits, and cuts off those that it accepts
// and can't finish. An accepted request must end in time, either by its own deadline
// or by its expected duration plus a margin, which is larger once callers can reach
// another node, and for what can't be repeated. A call that must not be repeated is
// only accepted by its deadline once callers can reach another node.
func TestStopAcceptsOnlyRequestsThatEndInTime(t *testing.T) {
	t.Parallel()
	begun := time.Unix(1000, 0)
	stop := gateway.Stop{Begun: begun, Noticed: begun.Add(2 * time.Second), End: begun.Add(7 * time.Second)}
	const long = 20 * time.Second
	type row struct {
		name               string
		at, expected, left time.Duration
		accepts            bool
	}
	all := []gateway.Loss{gateway.LosesTime, gateway.LosesAnswer, gateway.LosesCertainty}
	require.True(t, gateway.Stop{}.Accepts(begun, gateway.Ending{Deadline: begun.Add(long), Cut: gateway.LosesCertainty}), "no planned stop")
	check := func(rows []row, losses ...gateway.Loss) {
		for _, one := range rows {
			for _, cut := range losses {
				now := begun.Add(one.at)
				require.Equal(t, one.accepts, stop.Accepts(now, gateway.Ending{Deadline: now.Add(one.left), Expected: one.expected, Cut: cut}),
					"%s, loss %d", one.name, cut)
			}
		}
	}
	check([]row{
		{"at once, with time enough", 0, 4 * time.Second, long, true},
		{"at once, of unknown length", 0, 0, long, false},
		{"at once, longer than the node has", 0, 8 * time.Second, long, false},
		{"at once, hardly in time", 0, 6900 * time.Millisecond, long, false},
		{"before the notice, in time with a large reserve", 1900 * time.Millisecond, 3 * time.Second, long, true},
		{"after the notice, in time with a small reserve", 2100 * time.Millisecond, 4 * time.Second, long, false},
		{"after the notice, by its deadline", 2100 * time.Millisecond, 0, 4900 * time.Millisecond, true},
		{"after the notice, past the end by its deadline", 2100 * time.Millisecond, 0, 4901 * time.Millisecond, false},
		{"at the end", 7 * time.Second, time.Millisecond, long, false},
	}, all...)
	check([]row{{"before the notice, in time with a small reserve", 1900 * time.Millisecond, 4 * time.Second, long, true}}, gateway.LosesTime)
	check([]row{
		{"before the notice, in time with a small reserve", 1900 * time.Millisecond, 4 * time.Second, long, false},
		{"before the notice, short, and in time with a silence", 1900 * time.Millisecond, 100 * time.Millisecond, long, true},
	}, gateway.LosesAnswer, gateway.LosesCertainty)
	check([]row{
		{"after the notice, in time with a large reserve", 2100 * time.Millisecond, 3 * time.Second, long, true},
		{"after the notice, short, and in time with a silence", 5 * time.Second, 50 * time.Millisecond, long, true},
	}, gateway.LosesTime, gateway.LosesAnswer)
	check([]row{
		{"just before the notice, by expectation", 1999 * time.Millisecond, 300 * time.Millisecond, long, true},
		{"at the notice, by expectation", 2 * time.Second, 300 * time.Millisecond, long, false},
		{"after the notice, in time with a large reserve", 2100 * time.Millisecond, 3 * time.Second, long, false},
		{"after the notice, of a route that was never long", 2100 * time.Millisecond, time.Millisecond, long, false},
		{"after the notice, hardly past the end by its deadline", 2100 * time.Millisecond, time.Millisecond, 4901 * time.Millisecond, false},
	}, gateway.LosesCertainty)
}

// A VM is suspended for two seconds while its node stops, and the operator's grace
// period goes on. Measured by the monotonic clock the node would have two seconds
// more than it really has, accept a stream, and be killed while serving it.
func TestStopCountsSuspendedTime(t *testing.T) {
	t.Parallel()
	begun, boot := time.Unix(1000, 0), time.Unix(50, 0)
	stop := gateway.Stop{Begun: begun, Boot: boot, Noticed: begun.Add(2 * time.Second), End: begun.Add(7 * time.Second)}
	now := begun.Add(time.Second)
	awake, suspended := stop.AdjustForSuspend(now, boot.Add(time.Second)), stop.AdjustForSuspend(now, boot.Add(3*time.Second))
	require.Equal(t, stop, awake)
	require.Equal(t, stop.End.Add(-2*time.Second), suspended.End)
	const stream, timeout = 5 * time.Second, 20 * time.Second
	require.True(t, awake.Accepts(now, gateway.Ending{Deadline: now.Add(timeout), Expected: stream}))
	require.False(t, suspended.Accepts(now, gateway.Ending{Deadline: now.Add(timeout), Expected: stream}))
	require.Equal(t, stop, stop.AdjustForSuspend(now, boot), "a boot clock that lags behind must not extend the stop")
}

// A stopping node must refuse a stream that would outlast it at once and without
// executing it, so that the caller has its remaining time for another node. Short
// streams, and calls whose deadline is near, must still be served.
func TestStoppingGatewayRefusesRequestsThatOutlastIt(t *testing.T) {
	t.Parallel()
	s := newFixture(t)
	var ran sync.Map // request ids
	handler := func(w http.ResponseWriter, r *http.Request) {
		ran.Store(platformtest.ReadHeaders(r).ID, true)
		sign(w, r)
		writeEvents(w, 1, 3)
	}
	s.endpoint("engine-1", "llm", handler)
	s.endpoint("desk-1", "desk", handler)
	now := time.Now()
	s.stop = gateway.Stop{Begun: now.Add(-4 * time.Second), Noticed: now.Add(-2 * time.Second), End: now.Add(2500 * time.Millisecond)}
	for _, one := range []struct {
		path    string
		answer  int // tokens
		timeout time.Duration
		status  int
	}{
		{"/stream/x", 60, 3 * time.Second, http.StatusOK},
		{"/stream/x", 6000, 3 * time.Second, http.StatusServiceUnavailable},
		{"/stream/x", 0, 3 * time.Second, http.StatusServiceUnavailable},
		{"/stream/x", 6000, time.Second, http.StatusOK},
		{"/feed/x", 0, 3 * time.Second, http.StatusServiceUnavailable},
		{"/book/x", 0, 3 * time.Second, http.StatusServiceUnavailable}, // the route has no recorded duration yet
		{"/book/x", 0, time.Second, http.StatusOK},
		{"/book/x", 0, 2900 * time.Millisecond, http.StatusServiceUnavailable}, // the service may have become slower since the previous call
		{"/look/x", 0, 2900 * time.Millisecond, http.StatusServiceUnavailable},
		{"/look/x", 0, time.Second, http.StatusOK},
		{"/look/x", 0, 2950 * time.Millisecond, http.StatusOK}, // expected to take as long as the previous call
	} {
		id := fmt.Sprintf("%s, %d tokens, %s", one.path, one.answer, one.timeout)
		r, err := platformtest.NewRequest(context.Background(), http.MethodPost, s.server.Listener.Addr().String(), one.path, nil, platformtest.RequestInfo{
			ID: id, Key: "key-1", Model: "m0", Timeout: one.timeout, Prompt: 100, Answer: one.answer,
		})
		require.NoError(t, err)
		sentAt := time.Now()
		got := s.do(r)
		require.Equal(t, one.status, got.status, id)
		_, hasRun := ran.Load(id)
		require.Equal(t, one.status == http.StatusOK, hasRun, id)
		if one.status == http.StatusServiceUnavailable {
			require.Less(t, time.Since(sentAt), 500*time.Millisecond, id)
			require.NotEmpty(t, got.header.Get("Retry-After"), id)
		}
	}
}
