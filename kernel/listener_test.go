package kernel_test

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
	"redwinghall/rwhtest/heldstill"
)

// A router closes a connection without a response if a request isn't read within a timeout. The time
// for which the router itself was paused must not count.
func TestRequestsThatArriveInAPauseAreAnswered(t *testing.T) {
	if heldstill.Repeat(t, heldstill.Pattern{Still: 1200 * time.Millisecond, Run: 20 * time.Millisecond, Times: 100}) {
		return
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	g := kernel.NewGroup(context.Background())
	t.Cleanup(func() { g.Stop(); require.NoError(t, g.Wait()) })
	g.Serve("test", &http.Server{ReadHeaderTimeout: time.Second, ReadTimeout: time.Second, IdleTimeout: time.Second,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(w, r.Body)
		})}, l)
	for range 1500 {
		conn, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n")
		require.NoError(t, err)
		_, err = io.WriteString(conn, "Connection: close\r\n\r\n")
		require.NoError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.NoError(t, conn.Close())
	}
}

// A caller that sends nothing must still be disconnected in time.
func TestSilentCallersAreDisconnected(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	g := kernel.NewGroup(context.Background())
	t.Cleanup(func() { g.Stop(); require.NoError(t, g.Wait()) })
	g.Serve("test", &http.Server{ReadHeaderTimeout: 100 * time.Millisecond}, l)
	begun := time.Now() // the server's timeout begins while the client still connects
	conn, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	_, err = conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	require.GreaterOrEqual(t, time.Since(begun), 100*time.Millisecond)
	require.Less(t, kernel.RunTime(begun, time.Now()), time.Second)
}
