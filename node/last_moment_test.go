package node_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/kernel"
	"redwinghall/node"
	"redwinghall/platform"
	"redwinghall/platform/platformtest"
	"redwinghall/rwhtest/logtest"
	"redwinghall/standin/link"
)

var errPartFailed = errors.New("the part can't go on")

// waysToEnd are the ways in which a node ends beside running requests.
var waysToEnd = map[string]func(n *node.Node, stop context.CancelFunc){
	"grace over":    func(_ *node.Node, stop context.CancelFunc) { stop() },
	"a part failed": func(n *node.Node, _ context.CancelFunc) { n.FailPart(errPartFailed) },
}

// startEnding runs a node until the returned function has ended it, which returns how long that took.
func (d *deployment) startEnding(way func(n *node.Node, stop context.CancelFunc)) (end func() time.Duration) {
	d.t.Helper()
	settings, err := platform.LoadSettings(d.path)
	require.NoError(d.t, err)
	n := node.NewWithDialer(d.path, settings, d.partition.Dial)
	ctx, stop := context.WithCancel(context.Background())
	g := kernel.NewGroup(context.Background())
	g.Go("node", func(context.Context) error {
		if err := n.Run(ctx); !errors.Is(err, errPartFailed) {
			return err
		}
		return nil
	})
	d.t.Cleanup(func() {
		stop()
		_ = g.Wait() // checked by end
	})
	return func() time.Duration {
		begun := time.Now()
		way(n, stop)
		require.NoError(d.t, g.Wait())
		return time.Since(begun)
	}
}

// sentCall is a request in progress.
type sentCall struct {
	id     string
	status int // 0 if the connection ended without an answer
	body   string
	reason string // of a refusal
	header http.Header
	err    error // of the body
	ended  time.Time
}

// read reads the answer to the end.
func (c *sentCall) read(response *http.Response, err error) {
	defer func() { c.ended = time.Now() }()
	if err != nil {
		return
	}
	data, err := io.ReadAll(response.Body)
	_ = response.Body.Close() // it was read, or the read failed
	c.status, c.body, c.header, c.err = response.StatusCode, string(data), response.Header, err
	var refusal struct{ Error string }
	if json.Unmarshal(data, &refusal) == nil {
		c.reason = refusal.Error
	}
}

// callers are requests in progress.
type callers struct {
	d   *deployment
	g   *kernel.Group
	mu  sync.Mutex
	all map[string]*sentCall
}

func newCallers(d *deployment) *callers {
	return &callers{d: d, g: kernel.NewGroup(d.t.Context()), all: map[string]*sentCall{}}
}

func (c *callers) add(id string, call func(ctx context.Context) (*http.Response, error)) {
	c.g.Go(id, func(ctx context.Context) error {
		one := &sentCall{id: id}
		one.read(call(ctx))
		c.mu.Lock()
		defer c.mu.Unlock()
		c.all[id] = one
		return nil
	})
}

// send sends a whole request on a connection of its own.
func (c *callers) send(id, path string) {
	c.add(id, func(ctx context.Context) (*http.Response, error) {
		r, err := platformtest.NewRequest(ctx, http.MethodPost, c.d.settings.CallerAddress, path, nil, platformtest.RequestInfo{
			ID: id, Key: "key-1", Model: "m0", Timeout: 8 * time.Second, Prompt: 100, Answer: longTokens,
		})
		require.NoError(c.d.t, err)
		return (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	})
}

// sendPart sends a booking of whose body one byte is missing.
func (c *callers) sendPart(id string) {
	c.add(id, func(ctx context.Context) (*http.Response, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", c.d.settings.CallerAddress)
		if err != nil {
			return nil, err
		}
		context.AfterFunc(ctx, func() { _ = conn.Close() }) // the answer has been read by then
		head := platformtest.RequestHead(http.MethodPost, "/book/x", 100, platformtest.RequestInfo{ID: id, Key: "key-1", Timeout: 8 * time.Second})
		_, err = io.WriteString(conn, head+strings.Repeat("x", 99))
		if err != nil {
			return nil, err
		}
		return http.ReadResponse(bufio.NewReader(conn), nil)
	})
}

func (c *callers) wait() map[string]*sentCall {
	require.NoError(c.d.t, c.g.Wait())
	return c.all
}

// Guards against requests that end with their node without a status, or with one that doesn't say whether they ran.
func TestEndingNodeTellsWhatBecameOfEachRequest(t *testing.T) {
	t.Parallel()
	for name, way := range waysToEnd {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := deployWith(t, platformtest.EndpointConfig{Event: longPause, Events: longEvents}, platformtest.EndpointConfig{Work: slowCall})
			d.withGrace("2")
			end := d.startEnding(way)
			d.waitOpen()
			d.beginStream("warm-up")
			c := newCallers(d)
			c.send("begun", "/stream/x")
			c.send("booking", "/book/x")
			c.send("look-up", "/look/x")
			c.sendPart("half body")
			time.Sleep(500 * time.Millisecond)
			for _, e := range d.engines {
				e.Stall(true)
			}
			c.send("no event", "/stream/x")
			require.Eventually(t, func() bool { return d.runCounter.Runs("no event") > 0 }, 5*time.Second, 10*time.Millisecond, "it isn't at an engine yet")
			require.Less(t, end(), 2*time.Second)
			calls := c.wait()
			for id, want := range map[string]struct {
				status, runs int
			}{
				"booking": {http.StatusBadGateway, 1}, "look-up": {http.StatusBadGateway, 1}, "no event": {http.StatusBadGateway, 1},
				"half body": {http.StatusServiceUnavailable, 0},
			} {
				require.Equal(t, want.status, calls[id].status, id)
				require.Equal(t, "node_ended", calls[id].reason, id)
				require.Equal(t, want.runs > 0, d.runCounter.Runs(id) > 0, id)
				require.Equal(t, want.status == http.StatusServiceUnavailable, calls[id].header.Get("Retry-After") != "", id)
			}
			begun := calls["begun"]
			require.Equal(t, http.StatusOK, begun.status)
			require.ErrorIs(t, begun.err, io.ErrUnexpectedEOF, "a part of a stream must not look complete")
			require.NotEmpty(t, begun.body)
			require.Regexp(t, `(?s)\n\n$`, begun.body, "ends with a whole event")
			require.True(t, strings.HasPrefix(platformtest.FullResponse("begun", longEvents), begun.body))
		})
	}
}

// Guards against a node that answers nothing as it has stood still, or waited for its listener, until its time was over.
func TestEndingNodeAnswersAlthoughItsTimeIsOver(t *testing.T) {
	t.Parallel()
	d := deployWith(t, platformtest.EndpointConfig{Event: longPause, Events: longEvents}, platformtest.EndpointConfig{Work: slowCall})
	d.withGrace("0.4") // all of it is for the exit
	end := d.startEnding(waysToEnd["grace over"])
	d.waitOpen()
	c := newCallers(d)
	c.send("booking", "/book/x")
	require.Eventually(t, func() bool { return d.runCounter.Runs("booking") > 0 }, 5*time.Second, 10*time.Millisecond)
	end()
	require.Equal(t, http.StatusBadGateway, c.wait()["booking"].status)
}

// Guards against requests that wait for the first reads of a node which fails, and end without a status.
func TestNodeThatFailsWhileItStartsAnswersThoseThatWait(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.store.SetFaults(platformtest.Faults{Silent: true})
	end := d.startEnding(waysToEnd["a part failed"])
	c := newCallers(d)
	require.Eventually(t, d.listens, time.Second, 10*time.Millisecond)
	for _, path := range []string{"/book/x", "/look/x", "/stream/x"} {
		c.send(path, path)
	}
	time.Sleep(200 * time.Millisecond)
	end()
	for id, one := range c.wait() {
		require.Equal(t, http.StatusServiceUnavailable, one.status, id)
		require.NotEmpty(t, one.header.Get("Retry-After"), id)
		require.Zero(t, d.runCounter.Runs(id), id)
	}
}

// Guards against a last moment that is too short for the requests that are open.
func TestEndingNodeAnswersAllOfManyRequests(t *testing.T) {
	const bookings, parts = 60, 1940
	for name, way := range waysToEnd {
		t.Run(name, func(t *testing.T) {
			d := deployWith(t, platformtest.EndpointConfig{Event: longPause, Events: longEvents}, platformtest.EndpointConfig{Work: slowCall})
			d.withGrace("3")
			end := d.startEnding(way)
			d.waitOpen()
			c := newCallers(d)
			for i := range bookings {
				c.send(fmt.Sprint("booking-", i), "/book/x")
				time.Sleep(5 * time.Millisecond) // one after the other, so that all find room
			}
			require.Eventually(t, func() bool { return d.runs("booking-", bookings) == bookings }, 5*time.Second, 20*time.Millisecond)
			for i := range parts {
				c.sendPart(fmt.Sprint("part-", i))
			}
			time.Sleep(500 * time.Millisecond)
			require.Less(t, end(), 3*time.Second)
			unanswered := 0
			for id, one := range c.wait() {
				want := []int{http.StatusServiceUnavailable, http.StatusRequestTimeout} // neither has run
				if strings.HasPrefix(id, "booking-") {
					want = []int{http.StatusBadGateway}
				}
				if !slices.Contains(want, one.status) {
					unanswered++
				}
			}
			require.Zero(t, unanswered, "of %d requests", bookings+parts)
		})
	}
}

// listens reports whether the node has opened its listeners.
func (d *deployment) listens() bool {
	response, err := http.Get("http://" + d.settings.ReadinessAddress + platform.PathReadiness)
	if err != nil {
		return false
	}
	_ = response.Body.Close() // it isn't read
	return true
}

// runs returns how many of a number of requests have run.
func (d *deployment) runs(prefix string, count int) (ran int) {
	for i := range count {
		if d.runCounter.Runs(fmt.Sprint(prefix, i)) > 0 {
			ran++
		}
	}
	return ran
}

// Guards against a parted node that ends without telling its callers what became of the requests that it sent by way of
// another node, and against a carrier that ends without telling the node whose requests it carries.
func TestEndingNodesTellWhatBecameOfForwardedRequests(t *testing.T) {
	for ending, name := range []string{"the node of the caller", "the carrier"} {
		t.Run(name, func(t *testing.T) {
			z := deployZonesWith(t, map[string]int{"a": 2}, platformtest.EndpointConfig{Event: longPause, Events: longEvents}, platformtest.EndpointConfig{Work: slowCall})
			for _, d := range z.nodes {
				d.withGrace("2")
			}
			z.part("a", 1, link.PartitionReset)
			c := newCallers(z.nodes[0])
			c.send("booking", "/book/x")
			require.Eventually(t, func() bool { return z.nodes[0].runCounter.Runs("booking") > 0 }, 5*time.Second, 10*time.Millisecond)
			log := logtest.Open(t)
			begun := time.Now()
			z.nodes[ending].stop()
			one := c.wait()["booking"]
			require.Equal(t, http.StatusBadGateway, one.status)
			require.Less(t, time.Since(begun), 2*time.Second)
			require.Equal(t, 1, z.nodes[0].runCounter.Runs("booking"))
			outcome := log.Lines("peer_did_not_forward")
			require.Len(t, outcome, 1)
			require.Equal(t, ending == 1, strings.Contains(outcome[0], `outcome="lost"`), "the carrier says itself that the request may have run")
		})
	}
}
