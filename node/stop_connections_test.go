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

// A node is told to stop while two streams run, the second for over a second longer.
// Callers that still come, on a new connection or on one that was idle, get an
// answer that says that its connection ends, and not a closed port or connection;
// the first stream, whose headers went out before the signal, is followed by the
// end of its connection, and not only by that of the node.
func TestStopAnswersWhoStillComes(t *testing.T) {
	t.Parallel()
	d := deployWith(t, platformtest.EndpointConfig{Event: longPause, Events: longEvents}, platformtest.EndpointConfig{})
	d.start()
	d.waitServing()
	idle, first, second := dialCallers(d), dialCallers(d), dialCallers(d)
	require.False(t, idle.ask("/look/x", "before").Close)
	g := kernel.NewGroup(context.Background())
	firstEnded := make(chan time.Time, 1)
	g.Go("first", func(context.Context) error {
		defer func() { firstEnded <- time.Now() }()
		first.ask("/stream/x", "first")
		return nil
	})
	time.Sleep(1200 * time.Millisecond)
	g.Go("second", func(context.Context) error {
		second.ask("/stream/x", "second")
		return nil
	})
	time.Sleep(300 * time.Millisecond)
	d.stop()
	time.Sleep(2700 * time.Millisecond) // the balancer has noticed, both streams run
	require.True(t, idle.ask("/look/x", "idle").Close)
	require.True(t, dialCallers(d).ask("/look/x", "new").Close)
	ended := <-firstEnded
	first.requireEnd(ended.Add(300 * time.Millisecond))
	require.Empty(t, d.done, "the node ended before the second stream did")
	require.NoError(t, g.Wait())
	require.NoError(t, <-d.done)
}

// callerConn is a caller's connection, which never sends anything by itself.
type callerConn struct {
	d      *deployment
	conn   net.Conn
	reader *bufio.Reader
}

func dialCallers(d *deployment) *callerConn {
	d.t.Helper()
	conn, err := net.Dial("tcp", d.settings.Callers)
	require.NoError(d.t, err)
	d.t.Cleanup(func() { _ = conn.Close() }) // nothing more is expected of it
	return &callerConn{d: d, conn: conn, reader: bufio.NewReader(conn)}
}

// ask sends a request and reads its answer, which must be a whole success.
func (c *callerConn) ask(path, id string) *http.Response {
	c.d.t.Helper()
	r, err := platformtest.NewRequest(context.Background(), http.MethodPost, c.d.settings.Callers, path, nil, platformtest.Ask{
		ID: id, Key: "key-1", Model: "m0", Patience: 6 * time.Second, Prompt: 100, Answer: longTokens,
	})
	require.NoError(c.d.t, err)
	require.NoError(c.d.t, r.Write(c.conn))
	answer, err := http.ReadResponse(c.reader, r)
	require.NoError(c.d.t, err, id)
	_, err = io.ReadAll(answer.Body)
	require.NoError(c.d.t, err, id)
	require.NoError(c.d.t, answer.Body.Close())
	require.Equal(c.d.t, http.StatusOK, answer.StatusCode, id)
	return answer
}

// requireEnd requires that the node ends the connection in time, unasked.
func (c *callerConn) requireEnd(latest time.Time) {
	c.d.t.Helper()
	require.NoError(c.d.t, c.conn.SetReadDeadline(latest))
	_, err := c.reader.ReadByte()
	require.ErrorIs(c.d.t, err, io.EOF, "the connection stays open behind its answer")
}
