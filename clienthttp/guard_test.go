package clienthttp_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/clienthttp"
	"redwinghall/kernel"
)

// waitTime is longer than anything takes that isn't broken.
const waitTime = 10 * time.Second

// guarded is a guarded server.
type guarded struct {
	t       *testing.T
	pool    *clienthttp.Pool
	guard   *clienthttp.Guard
	address string
}

func newGuarded(t *testing.T, most int, headBytes int64, handler http.HandlerFunc) *guarded {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	pool := clienthttp.NewPool(headBytes)
	s := &guarded{t: t, pool: pool, guard: pool.Guard("test", most), address: l.Addr().String()}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: waitTime}
	s.guard.Protect(server)
	g := kernel.NewGroup(context.Background())
	g.Serve("guarded", server, s.guard.Listen(l))
	t.Cleanup(func() { g.Stop(); require.NoError(t, g.Wait()) })
	return s
}

// send opens a connection and sends some bytes.
func (s *guarded) send(text string) net.Conn {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.address)
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = conn.Close() }) // nobody needs it any more
	require.NoError(s.t, conn.SetDeadline(time.Now().Add(waitTime)))
	_, err = io.WriteString(conn, text)
	require.NoError(s.t, err)
	return conn
}

// awaitOpen waits until so many connections are open.
func (s *guarded) awaitOpen(count int) {
	s.t.Helper()
	require.Eventually(s.t, func() bool { return s.guard.Counts().Open == count }, waitTime, time.Millisecond)
}

func requireAnswered(t *testing.T, conn net.Conn) {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.NoError(t, response.Body.Close())
}

func requireClosed(t *testing.T, conn net.Conn) {
	t.Helper()
	_, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.Error(t, err)
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
}

const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

func answerNothing(http.ResponseWriter, *http.Request) {}

// Connections without a request would keep others out.
func TestConnectionWithoutARequestMakesRoom(t *testing.T) {
	t.Parallel()
	for name, begin := range map[string]string{"nothing sent": "", "half a head": "GET / HT", "half a body": "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nx"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newGuarded(t, 2, 0, func(_ http.ResponseWriter, r *http.Request) {
				if _, err := io.Copy(io.Discard, r.Body); err != nil {
					panic(http.ErrAbortHandler)
				}
			})
			s.send(begin)
			s.send(begin)
			s.awaitOpen(2)
			requireAnswered(t, s.send(request))
			s.awaitOpen(2)
			require.Equal(t, int64(1), s.guard.Counts().Evicted)
		})
	}
}

// A caller would get no answer to a request that runs.
func TestRequestInProgressIsKept(t *testing.T) {
	t.Parallel()
	begun, goOn := make(chan struct{}), make(chan struct{})
	s := newGuarded(t, 1, 0, func(http.ResponseWriter, *http.Request) {
		begun <- struct{}{}
		<-goOn
	})
	first := s.send(request)
	<-begun
	requireClosed(t, s.send(""))
	require.Equal(t, int64(1), s.guard.Counts().Refused)
	close(goOn)
	requireAnswered(t, first)
}

// A connection between two requests goes before those that were never seen would be turned away.
func TestIdleConnectionMakesRoom(t *testing.T) {
	t.Parallel()
	s := newGuarded(t, 1, 0, answerNothing)
	first := s.send(request)
	requireAnswered(t, first)
	second := s.send(request)
	requireAnswered(t, second)
	requireClosed(t, first)
}

// A body that ends as its connection is closed must not look whole: the request would run, and nobody gets its answer.
func TestEvictedBodyIsNotWhole(t *testing.T) {
	t.Parallel()
	read := make(chan error, 1)
	s := newGuarded(t, 1, 0, func(_ http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			_, err := io.ReadAll(r.Body)
			read <- err
		}
	})
	first := s.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nx")
	s.awaitOpen(1)
	requireAnswered(t, s.send(request))
	_, _ = io.WriteString(first, "x") // fails if the close was noticed
	require.Error(t, <-read)
}

// The heads of many callers took more memory than the VM has. The one that takes most goes first, and usual ones find room.
func TestLargestHeadsMakeRoom(t *testing.T) {
	t.Parallel()
	const limit = 1 << 20
	s := newGuarded(t, 100, limit, answerNothing)
	var fields strings.Builder
	for i := range 1000 {
		_, _ = fmt.Fprintf(&fields, "%d:\n", i)
	}
	for range 20 {
		conn, err := net.Dial("tcp", s.address)
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })                          // nobody needs it any more
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\n"+fields.String()) // fails if it is closed before
	}
	require.Eventually(t, func() bool { return s.guard.Counts().Evicted > 10 }, waitTime, time.Millisecond)
	requireAnswered(t, s.send(request))
	require.Eventually(t, func() bool { return s.pool.Held() <= limit }, waitTime, time.Millisecond)
	require.Eventually(t, func() bool { c := s.guard.Counts(); return int64(c.Open)+c.Evicted >= 20 }, waitTime, time.Millisecond)
}

// What was counted for connections must come back with their end, or all room would be gone some day.
func TestHeadsOfEndedConnectionsAreNotCounted(t *testing.T) {
	t.Parallel()
	s := newGuarded(t, 100, 1<<20, answerNothing)
	for i := range 200 {
		conn := s.send(request[:16] + strings.Repeat("X-Field: value\r\n", i))
		if i%2 == 0 {
			_, _ = io.WriteString(conn, "\r\n"+request+request) // fails if it is closed before
		}
		require.NoError(t, conn.Close())
	}
	s.awaitOpen(0)
	require.Zero(t, s.pool.Held())
}

// Clients within the limits of the operators' pages don't meet those of a VM.
func TestLimitsLeaveRoomForUsualClients(t *testing.T) {
	t.Parallel()
	const smallestVM, descriptors = 184 << 20, 4100
	limits := clienthttp.LimitsOf(descriptors, smallestVM)
	require.Equal(t, 1950, limits.Callers)
	require.Equal(t, 487, limits.Neighbors)
	require.Equal(t, 32, limits.Status)
	const largestHead, shortestLine, fieldBytes = 16 << 10, 3, 160
	require.Greater(t, limits.HeadBytes, int64(4*(2*largestHead+largestHead/shortestLine*fieldBytes)), "several of the largest heads")
	require.Less(t, limits.Callers+limits.Neighbors+2*limits.Status, descriptors-200, "room for connections to endpoints, store and nodes")
	tiny := clienthttp.LimitsOf(10, 0)
	require.Positive(t, tiny.Callers)
	require.Positive(t, tiny.Status)
	require.Zero(t, tiny.HeadBytes)
}
