package node_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/kernel"
	"redwinghall/node"
	"redwinghall/platform/platformtest"
)

// Guards against requests without a status at the end of the shortest stop.
func TestShortestStopAnswersWhatIsRunning(t *testing.T) {
	t.Parallel()
	d := deployWith(t, platformtest.EndpointConfig{Event: longPause, Events: longEvents}, platformtest.EndpointConfig{Work: slowCall})
	d.withGrace("1")
	end := d.startEnding(waysToEnd["grace over"])
	d.waitOpen()
	c := newCallers(d)
	c.send("booking", "/book/x")
	c.sendPart("half body")
	require.Eventually(t, func() bool { return d.runCounter.Runs("booking") > 0 }, 5*time.Second, 10*time.Millisecond)
	require.Less(t, end(), time.Second)
	calls := c.wait()
	require.Equal(t, http.StatusBadGateway, calls["booking"].status)
	require.Equal(t, http.StatusServiceUnavailable, calls["half body"].status)
}

// Guards against a request on a kept connection that is sent to an endpoint, or left without a status, as it comes in the last
// moment of a stop, which a caller that reads nothing draws out.
func TestRequestOnAKeptConnectionInTheLastMomentIsRefused(t *testing.T) {
	t.Parallel()
	for name, late := range map[string]struct {
		way    func(n *node.Node, stop context.CancelFunc)
		begins time.Duration // of the last moment
	}{
		"grace over":    {waysToEnd["grace over"], 1350 * time.Millisecond},
		"a part failed": {waysToEnd["a part failed"], 0},
		"a part failed in a stop": {func(n *node.Node, stop context.CancelFunc) {
			stop()
			time.Sleep(300 * time.Millisecond)
			n.FailPart(errPartFailed)
		}, 300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := deployWith(t, platformtest.EndpointConfig{Event: 100 * time.Microsecond, Events: 1 << 20}, platformtest.EndpointConfig{})
			d.withGrace("2")
			end := d.startEnding(late.way)
			d.waitOpen()
			d.beginStream("warm-up")
			d.beginUnreadStreams(2)
			conn, err := net.Dial("tcp", d.settings.CallerAddress)
			require.NoError(t, err)
			defer func() { _ = conn.Close() }() // the node has closed it
			reader := bufio.NewReader(conn)
			require.Equal(t, http.StatusOK, bookOn(conn, reader, "first"))
			time.Sleep(time.Second)
			status := make(chan int, 1)
			g := kernel.NewGroup(t.Context())
			g.Task("late", func(ctx context.Context) {
				kernel.Sleep(ctx, late.begins+80*time.Millisecond)
				status <- bookOn(conn, reader, "late")
			})
			end()
			require.Equal(t, http.StatusServiceUnavailable, <-status)
			require.Zero(t, d.runCounter.Runs("late"))
		})
	}
}

// bookOn makes a booking on a connection, and returns its status, 0 if the connection ended.
func bookOn(conn net.Conn, reader *bufio.Reader, id string) int {
	_, err := io.WriteString(conn, platformtest.RequestHead(http.MethodPost, "/book/x", 0, platformtest.RequestInfo{ID: id, Key: "key-1", Timeout: 8 * time.Second}))
	if err != nil {
		return 0
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body) // only the status counts
	_ = response.Body.Close()
	return response.StatusCode
}
