package endpointhttp_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall"
	"redwinghall/endpointhttp"
	"redwinghall/fleet"
	"redwinghall/kernel"
	"redwinghall/platform"
	"redwinghall/rwhtest/lateread"
)

// A booking was sent on a reused connection on which bytes, or its end, lay in the socket unread: nobody knew whether it ran.
func TestReusedConnectionIsNotWrittenWhileSomethingLiesUnread(t *testing.T) {
	t.Parallel()
	answer := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for name, behind := range map[string]string{"an answer": answer, "bytes": "x", "its end": ""} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			t.Cleanup(func() { _ = listener.Close() })
			g := kernel.NewGroup(t.Context())
			got := make(chan int, 1)
			g.Go("endpoint", func(context.Context) error {
				conn, err := listener.Accept()
				if err != nil {
					return err
				}
				defer func() { _ = conn.Close() }()
				r := bufio.NewReader(conn)
				first, err := http.ReadRequest(r)
				if err != nil {
					return err
				}
				if _, err := io.Copy(io.Discard, first.Body); err != nil {
					return err
				}
				if _, err := io.WriteString(conn, answer); err != nil {
					return err
				}
				time.Sleep(20 * time.Millisecond)
				if _, err := io.WriteString(conn, behind); err != nil {
					return err
				}
				if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
					return err
				}
				left, _ := io.ReadAll(r) // a reset ends it too
				got <- len(left)
				return nil
			})
			var late *lateread.Conn
			upstream := endpointhttp.NewUpstreamWithDialer(func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := new(net.Dialer).DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				late = &lateread.Conn{TCPConn: conn.(*net.TCPConn), Runs: make(chan struct{})}
				return late, nil
			})
			e := &fleet.Endpoint{ID: "e1", Address: listener.Addr().String()}
			booking := &endpointhttp.Request{Method: http.MethodPost, Target: "/book/x", Host: "x", Header: http.Header{}}
			response, err := upstream.Send(t.Context(), e, booking, platform.ForwardHeaders{}, endpointhttp.SendOptions{})
			require.NoError(t, err)
			_, err = io.Copy(io.Discard, response.Body)
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			require.Eventually(t, func() bool { return late.Reads.Load() > 1 }, 2*time.Second, time.Millisecond)
			late.AwaitUnread(t)
			g.Go("reader", func(ctx context.Context) error {
				kernel.Sleep(ctx, 20*time.Millisecond)
				close(late.Runs)
				return nil
			})
			second, err := upstream.Send(t.Context(), e, booking, platform.ForwardHeaders{}, endpointhttp.SendOptions{})
			if err == nil {
				require.NoError(t, second.Body.Close())
			}
			require.Equal(t, endpointhttp.NotSent, redwinghall.KindOf[endpointhttp.Kind](err), "%v", err)
			require.Zero(t, <-got, "bytes of the second booking")
			require.NoError(t, g.Wait())
		})
	}
}
