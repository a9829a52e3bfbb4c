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

// The stream of the stop tests takes more than half of the grace period, so that one
// that begins late in a stop can't finish in time.
const (
	longEvents = 44
	longPause  = 100 * time.Millisecond
	longTokens = longEvents * 6
	// slowWork is how long the slow booking desk takes for one request.
	slowWork = 1500 * time.Millisecond
)

// stopCaller sends requests over one keep-alive connection until the node has exited.
type stopCaller struct {
	d      *deployment
	name   string
	path   string
	pause  time.Duration // between a response and the next request
	client *http.Client

	mu   sync.Mutex
	seen []stopAttempt
}

// stopAttempt is the result of one request as its caller saw it.
type stopAttempt struct {
	id       string
	sent     time.Time
	status   int
	complete bool
}

func newStopCaller(d *deployment, name, path string, pause time.Duration) *stopCaller {
	return &stopCaller{d: d, name: name, path: path, pause: pause, client: &http.Client{Transport: &http.Transport{}}}
}

// run sends requests until ctx ends. After a failure the caller waits briefly before
// the next request, as it would when switching to another node.
func (c *stopCaller) run(ctx context.Context) error {
	defer c.client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		a := stopAttempt{id: fmt.Sprintf("%s-%d", c.name, n), sent: time.Now()}
		a.status, a.complete = c.request(ctx, a.id)
		c.mu.Lock()
		c.seen = append(c.seen, a)
		c.mu.Unlock()
		if a.status != http.StatusOK {
			kernel.Sleep(ctx, 20*time.Millisecond)
		}
		kernel.Sleep(ctx, c.pause)
	}
	return nil
}

func (c *stopCaller) request(ctx context.Context, id string) (status int, complete bool) {
	r, err := platformtest.NewRequest(ctx, http.MethodPost, c.d.settings.CallerAddress, c.path, nil, platformtest.RequestInfo{
		ID: id, Key: "key-1", Model: "m0", Timeout: 8 * time.Second, Prompt: 100, Answer: longTokens,
	})
	require.NoError(c.d.t, err)
	status, body := c.d.send(c.client, r)
	want := "done " + id
	if c.path == "/stream/x" {
		want = platformtest.FullResponse(id, longEvents)
	}
	return status, body == want
}

// cutOff returns the requests that an endpoint ran but whose callers got no complete
// response, with the time after the signal at which they were sent, and the number of
// requests that were served.
func (c *stopCaller) cutOff(stopped time.Time) (cut []string, served int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.seen {
		switch {
		case a.status == http.StatusOK && a.complete:
			served++
		case c.d.runCounter.Runs(a.id) > 0:
			cut = append(cut, fmt.Sprintf("%s, sent %s after the signal: status %d", a.id, a.sent.Sub(stopped).Round(time.Millisecond), a.status))
		}
	}
	return cut, served
}

// Callers keep using their open connections during a stop, whatever the load balancer
// does with new ones. A stopping node that accepts their requests up to its end cuts them
// off when its grace period is over: callers see truncated streams and bookings without a
// response, for requests sent seconds after the signal. By the log events
// request_while_stopping and cut_by_stop, nearly all requests that a stop cuts off arrive
// on reused connections: at a constant rate until the node closes idle connections, and
// even later right after a response.
func TestStoppingNodeRefusesWhatItCannotFinish(t *testing.T) {
	t.Parallel()
	d := deployWith(t, platformtest.EndpointConfig{Event: longPause, Events: longEvents}, platformtest.EndpointConfig{Work: slowWork})
	d.start()
	d.waitOpen()
	callers := startStopCallers(t, d)
	time.Sleep(6 * time.Second) // each connection has carried a stream or two
	stopped := time.Now()
	d.stop()
	require.NoError(t, <-d.done)
	callers.stop()
	cut, served := callers.cutOff(stopped)
	require.Empty(t, cut)
	require.Greater(t, served, len(callers.all))
}

// stopCallers are the callers of one test.
type stopCallers struct {
	all  []*stopCaller
	stop func()
}

// startStopCallers starts callers whose streams end at staggered times, so that at any
// moment of the stop one of them is about to send its next request, and some callers that
// make bookings.
func startStopCallers(t *testing.T, d *deployment) *stopCallers {
	t.Helper()
	const streams, bookings = 12, 4
	callers := &stopCallers{}
	calling, cancel := context.WithCancel(context.Background())
	g := kernel.NewGroup(calling)
	start := func(c *stopCaller, after time.Duration) {
		callers.all = append(callers.all, c)
		g.Go(c.name, func(ctx context.Context) error {
			kernel.Sleep(ctx, after)
			return c.run(ctx)
		})
	}
	for i := range streams {
		start(newStopCaller(d, fmt.Sprint("stream-", i), "/stream/x", 0), time.Duration(i)*longEvents*longPause/streams)
	}
	for i := range bookings {
		start(newStopCaller(d, fmt.Sprint("book-", i), "/book/x", 30*time.Millisecond), time.Duration(i)*slowWork/bookings)
	}
	callers.stop = func() {
		cancel()
		require.NoError(t, g.Wait())
	}
	return callers
}

func (s *stopCallers) cutOff(stopped time.Time) (cut []string, served int) {
	for _, c := range s.all {
		more, n := c.cutOff(stopped)
		cut, served = append(cut, more...), served+n
	}
	return cut, served
}
