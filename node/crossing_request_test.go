package node_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/kernel"
	"redwinghall/node"
)

const (
	idleLimit = 50 * time.Millisecond
	// readStarts is how long net/http takes at most to read on while a handler runs.
	readStarts = 50 * time.Millisecond
)

// slowReader stands in for a node that is too slow to read: while it is held, no read of its connections begins.
type slowReader struct {
	net.Listener
	mu sync.RWMutex
	// mute means that the sockets tell nothing of what came.
	mute bool
}

// Accept implements net.Listener.
func (l *slowReader) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	slow := &slowConn{TCPConn: conn.(*net.TCPConn), reader: l}
	if l.mute {
		return muteConn{slow}, nil
	}
	return slow, nil
}

// muteConn is a connection whose socket can't be asked.
type muteConn struct{ net.Conn }

type slowConn struct {
	*net.TCPConn
	reader *slowReader
}

// Read implements net.Conn.
func (c *slowConn) Read(p []byte) (int, error) {
	c.reader.mu.RLock()
	c.reader.mu.RUnlock() //nolint:staticcheck // it only waits
	return c.TCPConn.Read(p)
}

// crossing is a caller's connection to a node that is about to close it.
type crossing struct {
	t      *testing.T
	conns  node.CallerConnections
	reader *slowReader
	conn   net.Conn
	// finish lets the handler of a held request end; nil lets it end by itself.
	finish chan struct{}
}

func newCrossing(t *testing.T) *crossing {
	t.Helper()
	c := &crossing{t: t, conns: node.NewCallerConnections(nil)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	c.reader = &slowReader{Listener: listener}
	g := kernel.NewGroup(context.Background())
	t.Cleanup(func() {
		g.Stop()
		require.NoError(t, g.Wait())
	})
	g.Serve("callers", c.conns.Server(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/hold" {
			time.Sleep(readStarts)
			c.reader.mu.Lock()
			if c.finish != nil {
				<-c.finish
			}
		}
		_, _ = io.WriteString(w, "served") // the reader checks what it received
	})), c.reader)
	return c
}

func (c *crossing) send(bytes string) {
	c.t.Helper()
	if c.conn == nil {
		c.conn = sendRaw(c.t, c.reader.Addr().String(), bytes)
		return
	}
	_, err := io.WriteString(c.conn, bytes)
	require.NoError(c.t, err)
}

func (c *crossing) requireStatus() {
	c.t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(c.conn), nil)
	require.NoError(c.t, err, "the request got no status")
	require.Equal(c.t, http.StatusOK, response.StatusCode)
	_, err = io.ReadAll(response.Body)
	require.NoError(c.t, err)
}

const holdGet = "GET /hold HTTP/1.1\r\nHost: a.example\r\n\r\n"

// A request lies unread in the socket of a slow node as the node closes the connection as idle, and its caller gets nothing.
func TestRequestThatCrossesTheCloseOfItsConnectionGetsAStatus(t *testing.T) {
	t.Parallel()
	sweep := func(c *crossing) { c.conns.CloseIdle(time.Now(), idleLimit) }
	stop := func(c *crossing) {
		c.conns.CloseAfterResponses()
		require.False(c.t, c.conns.CloseIfInactive(time.Now()))
	}
	for name, closes := range map[string]func(c *crossing){"by the sweep": sweep, "by a stop": stop} {
		t.Run("unread on a kept connection, "+name, func(t *testing.T) {
			t.Parallel()
			c := newCrossing(t)
			c.send(holdGet)
			c.requireStatus()
			time.Sleep(2 * idleLimit)
			c.send(wholePost)
			time.Sleep(backlogTime)
			closes(c)
			c.reader.mu.Unlock()
			c.requireStatus()
		})
		t.Run("unread on a new connection, "+name, func(t *testing.T) {
			t.Parallel()
			c := newCrossing(t)
			c.reader.mu.Lock()
			c.send(wholePost)
			time.Sleep(backlogTime + 2*idleLimit)
			closes(c)
			c.reader.mu.Unlock()
			c.requireStatus()
		})
		t.Run("read in part, "+name, func(t *testing.T) {
			t.Parallel()
			c := newCrossing(t)
			c.send(wholeGet)
			c.requireStatus()
			time.Sleep(backlogTime)
			c.send(wholePost[:20])
			time.Sleep(idleLimit / 2)
			closes(c)
			c.send(wholePost[20:])
			c.requireStatus()
		})
	}
	t.Run("unread as a response ends in a stop", func(t *testing.T) {
		t.Parallel()
		c := newCrossing(t)
		c.finish = make(chan struct{})
		c.send(holdGet)
		time.Sleep(readStarts / 2)
		c.conns.CloseAfterResponses()
		c.send(wholePost)
		close(c.finish) // a response that ended before the request came would have closed its connection
		responses := bufio.NewReader(c.conn)
		first, err := http.ReadResponse(responses, nil)
		require.NoError(t, err)
		_, err = io.ReadAll(first.Body)
		require.NoError(t, err)
		time.Sleep(backlogTime)
		c.reader.mu.Unlock()
		_, err = http.ReadResponse(responses, nil)
		require.NoError(t, err, "the request got no status")
	})
}

// A connection on which nothing comes is closed, whatever came on it before.
func TestIdleConnectionsAreClosed(t *testing.T) {
	t.Parallel()
	for name, bytes := range map[string]string{"none": "", "the beginning of a request": wholeGet + "G"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCrossing(t)
			c.send(bytes)
			if bytes != "" {
				c.requireStatus()
			}
			time.Sleep(2 * idleLimit)
			c.conns.CloseIdle(time.Now(), idleLimit)
			_, err := c.conn.Read(make([]byte, 1))
			require.ErrorIs(t, err, io.EOF)
		})
	}
}

// A socket that doesn't tell when bytes came keeps no idle connection open: a planned stop would last for its whole grace.
func TestIdleConnectionsOfSocketsThatTellNothingAreClosed(t *testing.T) {
	t.Parallel()
	c := newCrossing(t)
	c.reader.mute = true
	c.send(wholeGet)
	c.requireStatus()
	c.conns.CloseAfterResponses()
	require.Eventually(t, func() bool { return c.conns.CloseIfInactive(time.Now()) }, time.Second, idleLimit)
}
