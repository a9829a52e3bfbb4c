package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/endpointhttp"
	"redwinghall/kernel"
	"redwinghall/platform/platformtest"
	"redwinghall/rwhtest/lateread"
)

// A sound endpoint counted as one that this node doesn't reach, and its caller was refused, as bytes lay unread on a kept connection to it.
func TestEndpointWhoseKeptConnectionHasUnreadBytesIsReachedOverANewOne(t *testing.T) {
	t.Parallel()
	s := newFixture(t)
	var conns atomic.Int64
	var late *lateread.Conn
	runs := make(chan struct{})
	defer close(runs)
	s.gateway.Upstream = endpointhttp.NewUpstreamWithDialer(func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, address)
		if err != nil || conns.Add(1) > 1 {
			return conn, err
		}
		late = &lateread.Conn{TCPConn: conn.(*net.TCPConn), Runs: runs}
		return late, nil
	})
	s.endpoint("desk-1", "desk", func(w http.ResponseWriter, r *http.Request) {
		sendBehind(w, r, platformtest.ResponseHead(http.StatusOK, "%s")+"Content-Length: 2\r\n\r\nok", "x", 20*time.Millisecond)
	})
	first, second := s.request(http.MethodPost, "/book/"), s.request(http.MethodPost, "/book/")
	second.Header.Set("Request-Id", "r-2")
	require.Equal(t, http.StatusOK, s.do(first).status)
	late.AwaitUnread(t)
	require.Equal(t, http.StatusOK, s.do(second).status)
	require.False(t, s.gateway.Paths.Unconnected("desk-1"))
}

// A sound endpoint counted as one that this node doesn't reach, and its caller was refused, as a kept connection to it ended or brought bytes.
func TestEndpointWhoseKeptConnectionIsReadLateIsReachedOverANewOne(t *testing.T) {
	t.Parallel()
	for name, behind := range map[string]string{"its end": "", "no answer": "x\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFixture(t)
			var conns, calls atomic.Int64
			var late *lateread.Conn
			runs := make(chan struct{})
			s.gateway.Upstream = endpointhttp.NewUpstreamWithDialer(func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := new(net.Dialer).DialContext(ctx, network, address)
				if err != nil || conns.Add(1) > 1 {
					return conn, err
				}
				late = &lateread.Conn{TCPConn: conn.(*net.TCPConn), Runs: runs}
				return late, nil
			})
			s.endpoint("desk-1", "desk", func(w http.ResponseWriter, r *http.Request) {
				if calls.Add(1) > 1 {
					sign(w, r)
					return
				}
				answerAndEnd(w, r, behind)
			})
			first, second := s.request(http.MethodPost, "/book/"), s.request(http.MethodPost, "/book/")
			second.Header.Set("Request-Id", "r-2")
			require.Equal(t, http.StatusOK, s.do(first).status)
			late.AwaitUnread(t)
			g := kernel.NewGroup(t.Context())
			g.Go("reader", func(ctx context.Context) error {
				kernel.Sleep(ctx, 20*time.Millisecond)
				close(runs)
				return nil
			})
			require.Equal(t, http.StatusOK, s.do(second).status)
			require.False(t, s.gateway.Paths.Unconnected("desk-1"))
			require.NoError(t, g.Wait())
		})
	}
}

// answerAndEnd answers a request whole, sends some bytes behind the answer, and ends the connection.
func answerAndEnd(w http.ResponseWriter, r *http.Request, behind string) {
	id := platformtest.ReadHeaders(r).ID
	_, _ = io.Copy(io.Discard, r.Body)
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, platformtest.ResponseHead(http.StatusOK, "%s")+"Content-Length: 2\r\n\r\nok", id)
	time.Sleep(20 * time.Millisecond)
	_, _ = io.WriteString(conn, behind)
}

// slowConn is a connection of a process that is paused in its first write until the connection is closed, and while it closes.
type slowConn struct {
	*net.TCPConn
	writes, closes atomic.Int64
	closing        chan struct{}
}

func (c *slowConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	if c.writes.Add(1) == 1 {
		<-c.closing
	}
	return n, err
}

func (c *slowConn) Close() error {
	if c.closes.Add(1) == 1 {
		close(c.closing)
		time.Sleep(100 * time.Millisecond)
	}
	return c.TCPConn.Close()
}

// A booking ran twice as the connection ended between two writes of its body: it was taken for one that wasn't sent.
func TestBookingWhoseConnectionEndsWhileItIsWrittenRunsOnce(t *testing.T) {
	t.Parallel()
	s := newFixture(t)
	s.gateway.Upstream = endpointhttp.NewUpstreamWithDialer(func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &slowConn{TCPConn: conn.(*net.TCPConn), closing: make(chan struct{})}, nil
	})
	var ran atomic.Int64
	s.endpoint("desk-1", "desk", func(w http.ResponseWriter, _ *http.Request) {
		ran.Add(1)
		if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
			_ = conn.Close()
		}
	})
	booking := s.request(http.MethodPost, "/book/")
	booking.Body, booking.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 64<<10))), 64<<10
	require.Equal(t, http.StatusBadGateway, s.do(booking).status)
	require.EqualValues(t, 1, ran.Load())
}
