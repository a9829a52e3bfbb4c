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
	"redwinghall/platform/platformtest"
)

// A node gets the signal to stop while two streams run, the second for over a second longer.
// Requests that still arrive, on a new connection or on an idle one, must get a response
// with "Connection: close", not a refused or closed connection. The first stream's
// headers were sent before the signal; its connection must be closed right after it,
// not only when the node exits.
func TestStopAnswersLateRequests(t *testing.T) {
	t.Parallel()
	d := deployWith(t, platformtest.EndpointConfig{Event: longPause, Events: longEvents}, platformtest.EndpointConfig{})
	d.start()
	d.waitServing()
	idle, first, second := dialCallers(d), dialCallers(d), dialCallers(d)
	require.False(t, idle.request("/look/x", "before").Close)
	g := kernel.NewGroup(context.Background())
	firstEnded := make(chan time.Time, 1)
	g.Go("first", func(context.Context) error {
		defer func() { firstEnded <- time.Now() }()
		first.request("/stream/x", "first")
		return nil
	})
	time.Sleep(1200 * time.Millisecond)
	g.Go("second", func(context.Context) error {
		second.request("/stream/x", "second")
		return nil
	})
	time.Sleep(300 * time.Millisecond)
	d.stop()
	time.Sleep(2700 * time.Millisecond) // the load balancer has noticed, both streams are running
	require.True(t, idle.request("/look/x", "idle").Close)
	require.True(t, dialCallers(d).request("/look/x", "new").Close)
	ended := <-firstEnded
	first.requireEnd(ended.Add(300 * time.Millisecond))
	require.Empty(t, d.done, "the node exited before the second stream ended")
	require.NoError(t, g.Wait())
	require.NoError(t, <-d.done)
}

// callerConn is a raw connection of a caller, without the retries of an HTTP client.
type callerConn struct {
	d      *deployment
	conn   net.Conn
	reader *bufio.Reader
}

func dialCallers(d *deployment) *callerConn {
	d.t.Helper()
	conn, err := net.Dial("tcp", d.settings.CallerAddress)
	require.NoError(d.t, err)
	d.t.Cleanup(func() { _ = conn.Close() }) // it may be closed already
	return &callerConn{d: d, conn: conn, reader: bufio.NewReader(conn)}
}

// request sends a request and reads the response, which must be complete and successful.
func (c *callerConn) request(path, id string) *http.Response {
	c.d.t.Helper()
	r, err := platformtest.NewRequest(context.Background(), http.MethodPost, c.d.settings.CallerAddress, path, nil, platformtest.RequestInfo{
		ID: id, Key: "key-1", Model: "m0", Timeout: 6 * time.Second, Prompt: 100, Answer: longTokens,
	})
	require.NoError(c.d.t, err)
	require.NoError(c.d.t, r.Write(c.conn))
	response, err := http.ReadResponse(c.reader, r)
	require.NoError(c.d.t, err, id)
	_, err = io.ReadAll(response.Body)
	require.NoError(c.d.t, err, id)
	require.NoError(c.d.t, response.Body.Close())
	require.Equal(c.d.t, http.StatusOK, response.StatusCode, id)
	return response
}

// requireEnd requires that the node closes the connection by latest, without a further request.
func (c *callerConn) requireEnd(latest time.Time) {
	c.d.t.Helper()
	require.NoError(c.d.t, c.conn.SetReadDeadline(latest))
	_, err := c.reader.ReadByte()
	require.ErrorIs(c.d.t, err, io.EOF, "the connection stays open after its response")
}
