package gateway_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"k8s.io/klog/v2"

	"redwinghall/directory"
	"redwinghall/fleet"
	"redwinghall/kernel"
	"redwinghall/platform/platformtest"
	"redwinghall/rwhtest/logtest"
)

const (
	smallVM       = 184 << 20 // bytes of memory
	heldBodies    = 240
	heldBodyBytes = 1 << 20
	// heldMost is what unfinished bodies may take of a small VM.
	heldMost = smallVM / 4
)

// newHeldFixture returns a gateway on a VM with some memory, before an endpoint that answers at once. It counts what
// the endpoint was sent.
func newHeldFixture(t testing.TB, memory int64) (*fixture, *atomic.Int64) {
	t.Helper()
	s := newFixture(t)
	s.settings.MemoryBytes = memory
	s.config.Limits.BodyBytes = 4 << 20
	s.config.Accounts = []fleet.Account{
		{Name: "depot", Keys: []string{"key-1"}, Priority: 0, HasPriority: true},
		{Name: "later", Keys: []string{"key-9"}, Priority: 9, HasPriority: true},
	}
	s.config.Version++
	s.cache.Apply(time.Now(), directory.Change{Config: s.config})
	sent := new(atomic.Int64)
	s.endpoint("e1", "desk", func(w http.ResponseWriter, r *http.Request) {
		sent.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		sign(w, r)
	})
	return s, sent
}

// bodyText is what bodies consist of: one for all, as all that is allocated here is measured too.
var bodyText = bytes.Repeat([]byte("x"), heldBodyBytes)

// beginBody opens a connection and sends a request with a body of length bytes, but only part of the body.
func (s *fixture) beginBody(id, key string, length, part int) net.Conn {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.server.Listener.Addr().String())
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "POST /book/ HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", id, key, length)
	require.NoError(s.t, err)
	_, _ = conn.Write(bodyText[:part]) // the node may have refused the request
	return conn
}

// readResponse reads a response to beginBody, with a status of 0 if none comes.
func readResponse(conn net.Conn, timeout time.Duration) (status int, retryAfter string) {
	_ = conn.SetReadDeadline(time.Now().Add(timeout)) // fails only if the connection is closed
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode, response.Header.Get("Retry-After")
}

// Callers send large bodies but for a byte, and stand still. The node holds what its VM has room for, serves others
// beside them, and tells each of them that its request wasn't run.
func TestBodiesThatStandStillTakeBoundedMemory(t *testing.T) {
	s, sent := newHeldFixture(t, smallVM)
	before := liveHeap()
	conns := make([]net.Conn, heldBodies)
	g := kernel.NewGroup(t.Context())
	for i := range conns {
		g.Go("caller", func(context.Context) error {
			conns[i] = s.beginBody(fmt.Sprint("b", i), "key-1", heldBodyBytes, heldBodyBytes-1)
			return nil
		})
	}
	done := make(chan error, 1)
	kernel.NewGroup(t.Context()).Go("wait", func(context.Context) error { done <- g.Wait(); return nil })
	most, sound := before, int64(0)
	var last []uint64
	for waiting := true; waiting || sound < 42; {
		select {
		case err := <-done:
			require.NoError(t, err)
			waiting = false
		default:
		}
		require.Equal(t, http.StatusOK, s.do(s.request(http.MethodPost, "/book/")).status)
		sound++
		// What is allocated while the collector runs counts as live, so the least of several counts.
		if last = append(last, liveHeap()); len(last) >= liveSamples {
			most = max(most, slices.Min(last[len(last)-liveSamples:]))
		}
	}
	t.Logf("%d bodies took %d KiB, %d sound requests were served meanwhile", heldBodies, int64(most-before)>>10, sound)
	require.LessOrEqual(t, most, before+heldMost)
	for i, conn := range conns {
		status, retryAfter := readResponse(conn, 4*time.Second)
		require.Contains(t, []int{http.StatusRequestTimeout, http.StatusServiceUnavailable}, status, "caller %d", i)
		require.Equal(t, status == http.StatusServiceUnavailable, retryAfter != "", "caller %d", i)
	}
	require.Equal(t, sound, sent.Load(), "no unfinished request was sent")
}

// A slow caller isn't ended while there is room and its body comes on.
func TestSlowBodyIsServedWhileThereIsRoom(t *testing.T) {
	t.Parallel()
	for name, step := range map[string]int{"few bytes": 10, "many bytes": 20 << 10} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, _ := newHeldFixture(t, smallVM)
			conn := s.beginBody("slow", "key-1", 10*step, 0)
			for range 10 {
				time.Sleep(200 * time.Millisecond)
				_, err := conn.Write(bytes.Repeat([]byte("x"), step))
				require.NoError(t, err)
			}
			status, _ := readResponse(conn, 2*time.Second)
			require.Equal(t, http.StatusOK, status)
		})
	}
}

// While memory is short, the least urgent request is turned away first.
func TestLeastUrgentBodyIsTurnedAwayFirst(t *testing.T) {
	log := logtest.Open(t)
	s, sent := newHeldFixture(t, 4<<20)             // 1 MiB for all requests
	s.beginBody("holds", "key-1", 400<<10, 200<<10) // 256 KiB are allocated
	time.Sleep(100 * time.Millisecond)              // until they are read
	status, retryAfter := readResponse(s.beginBody("later", "key-9", 150<<10, 150<<10), time.Second)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Equal(t, "1", retryAfter)
	requireLine(t, log, "memory_refused", `request="later"`, "urgency=9", "held=", "limit=1048576")
	require.Zero(t, sent.Load())
	status, _ = readResponse(s.beginBody("urgent", "key-1", 150<<10, 150<<10), time.Second)
	require.Equal(t, http.StatusOK, status)
}

// A body that comes too slowly, be its length known or not, ends with a status that promises that it wasn't run.
func TestBodyThatStandsStillIsRefusedWithTheTimeOfTheRequest(t *testing.T) {
	s, sent := newHeldFixture(t, smallVM)
	log := logtest.Open(t)
	known := s.beginBody("known", "key-1", 100, 10)
	unknown, err := net.Dial("tcp", s.server.Listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = unknown.Close() })
	_, err = io.WriteString(unknown, "POST /book/ HTTP/1.1\r\nHost: a.example\r\nRequest-Id: unknown\r\nAuthorization: Bearer key-1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n")
	require.NoError(t, err)
	for _, conn := range []net.Conn{known, unknown} {
		status, _ := readResponse(conn, requestTimeout+time.Second)
		require.Equal(t, http.StatusRequestTimeout, status)
	}
	requireLine(t, log, "body_slow", `request="known"`, "read=10")
	require.Zero(t, sent.Load())
}

// Without a memory limit in the settings, bodies may stand still for any time and take any memory.
func TestBodiesHaveNoBoundWithoutAMemoryLimit(t *testing.T) {
	s, sent := newHeldFixture(t, 0)
	conns := make([]net.Conn, 50)
	for i := range conns {
		conns[i] = s.beginBody(fmt.Sprint("b", i), "key-9", heldBodyBytes, heldBodyBytes-1)
	}
	time.Sleep(1500 * time.Millisecond)
	for _, conn := range conns {
		_, err := io.WriteString(conn, "x")
		require.NoError(t, err)
		status, _ := readResponse(conn, 2*time.Second)
		require.Equal(t, http.StatusOK, status)
	}
	require.EqualValues(t, len(conns), sent.Load())
}

// Memory is given back with the end of each request, whatever its end.
func TestHeldMemoryIsGivenBack(t *testing.T) {
	s, _ := newHeldFixture(t, smallVM)
	for i, body := range []int{0, 100, 100 << 10} {
		status, _ := readResponse(s.beginBody(fmt.Sprint("whole", i), "key-1", body, body), time.Second)
		require.Equal(t, http.StatusOK, status)
	}
	leaves := s.beginBody("leaves", "key-1", 100<<10, 90<<10)
	require.Eventually(t, func() bool { return s.held()["bodies"] > 0 }, time.Second, time.Millisecond)
	require.NoError(t, leaves.Close())
	require.Eventually(t, func() bool {
		held := s.held()
		return held["bodies"] == 0 && held["requests"] == 0 && held["answers"] == 0
	}, time.Second, time.Millisecond)
}

func (s *fixture) held() map[string]int64 {
	held, _ := s.gateway.HeldMemory()
	return held
}

// BenchmarkSmallBody sends requests with small bodies, as nearly all have.
func BenchmarkSmallBody(b *testing.B) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	s, _ := newHeldFixture(b, smallVM)
	b.ReportAllocs()
	for range b.N {
		r, err := platformtest.NewRequest(b.Context(), http.MethodPost, s.server.Listener.Addr().String(), "/book/", strings.NewReader(strings.Repeat("x", 2000)),
			platformtest.RequestInfo{ID: "r-1", Key: "key-1", Timeout: requestTimeout})
		require.NoError(b, err)
		require.Equal(b, http.StatusOK, s.do(r).status)
	}
}

// Guards against bodies that pause for longer than one read may take, and whose requests then count as left by their callers.
func TestBodyThatPausesIsServed(t *testing.T) {
	t.Parallel()
	s, sent := newHeldFixture(t, smallVM)
	conn := s.beginBody("pauses", "key-1", 100, 10)
	time.Sleep(1400 * time.Millisecond)
	_, err := conn.Write(bytes.Repeat([]byte("x"), 90))
	require.NoError(t, err)
	status, _ := readResponse(conn, 2*time.Second)
	require.Equal(t, http.StatusOK, status)
	require.EqualValues(t, 1, sent.Load())
}
