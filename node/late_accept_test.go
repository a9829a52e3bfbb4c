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
)

const (
	// backlogTime is for how long requests may wait in the backlog before a node answers them, by the users' rule.
	backlogTime = 200 * time.Millisecond
	backlogSize = 40
	wholeGet    = "GET /look/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: late\r\n\r\n"
	wholePost   = "POST /book/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: late\r\nContent-Length: 4\r\n\r\nbody"
)

// callersOf serves connections on a listener whose accepts begin when start is called.
func callersOf(t *testing.T, conns node.CallerConnections, handler http.HandlerFunc) (address string, start func()) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	g := kernel.NewGroup(context.Background())
	t.Cleanup(func() {
		g.Stop()
		require.NoError(t, g.Wait())
	})
	return listener.Addr().String(), func() { g.Serve("callers", conns.Server(handler), listener) }
}

// sendRaw opens a connection and sends bytes on it.
func sendRaw(t *testing.T, address, bytes string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() }) // it may be closed already
	_, err = io.WriteString(conn, bytes)
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	return conn
}

// A node was slow to accept, and closes what has waited in its backlog unread as too much: callers get neither answer nor refusal.
func TestRequestsThatWaitedInTheBacklogGetAStatus(t *testing.T) {
	t.Parallel()
	for name, request := range map[string]string{"GET": wholeGet, "POST": wholePost} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conns := node.NewCallerConnections(func(time.Time) bool { return true })
			address, start := callersOf(t, conns, func(http.ResponseWriter, *http.Request) { t.Error("a request was served that was too much") })
			var waiting []net.Conn
			for range backlogSize {
				waiting = append(waiting, sendRaw(t, address, request))
			}
			time.Sleep(backlogTime)
			start()
			unanswered := 0
			for _, conn := range waiting {
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil {
					unanswered++
					continue
				}
				require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
				require.Equal(t, "late", response.Header.Get("Request-Id"))
				require.NotEmpty(t, response.Header.Get("Retry-After"))
				require.True(t, response.Close)
				require.NoError(t, response.Body.Close())
			}
			require.Zero(t, unanswered, "of %d", backlogSize)
			_, err := http.ReadResponse(bufio.NewReader(sendRaw(t, address, request)), nil)
			require.Error(t, err, "one that has not waited is left for other nodes")
		})
	}
}
