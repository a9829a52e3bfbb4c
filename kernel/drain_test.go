package kernel_test

import (
	"bufio"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/kernel"
)

// Guards against connections that are reset, with a whole request in them, as they wait to be accepted while the listener closes.
func TestClosingADrainedListenerResetsNoConnection(t *testing.T) {
	t.Parallel()
	const rounds, callers = 60, 16
	var answered, unanswered atomic.Int32
	for range rounds {
		l, err := kernel.Listen(func() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") })
		require.NoError(t, err)
		serving := kernel.NewGroup(t.Context())
		serving.Serve("hello", &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}, l)
		calling, stop := context.WithCancel(t.Context())
		g := kernel.NewGroup(calling)
		for range callers {
			g.Go("caller", func(ctx context.Context) error {
				for ctx.Err() == nil {
					kernel.Sleep(ctx, rand.N(time.Millisecond))
					conn, err := net.Dial("tcp", l.Addr().String())
					if err != nil {
						return nil // refused
					}
					if hello(conn) == nil {
						answered.Add(1)
					} else {
						unanswered.Add(1)
					}
				}
				return nil
			})
		}
		time.Sleep(10 * time.Millisecond)
		require.NoError(t, l.CloseDrained(t.Context(), 150*time.Millisecond))
		time.Sleep(20 * time.Millisecond) // what was accepted just before is served
		stop()
		require.NoError(t, g.Wait())
		serving.Stop()
		require.NoError(t, serving.Wait())
	}
	require.Greater(t, answered.Load(), int32(rounds))
	require.Zero(t, unanswered.Load(), "of %d that were answered", answered.Load())
}

// hello sends a request over a new connection, and returns why there was no response.
func hello(conn net.Conn) error {
	defer func() { _ = conn.Close() }() // the response has been read
	if _, err := conn.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	return response.Body.Close()
}
