package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// smallestVM is the memory of the smallest VM.
	smallestVM = 184 << 20
	// slowEndless callers take nothing of answers that never end.
	slowEndless = 200
	// slowEndlessHeld is what of answers may be held at once on the smallest VM.
	slowEndlessHeld = smallestVM / 4 * 12 / 100
	// slowEndlessTime is for how long they stay.
	slowEndlessTime = 2 * time.Second
)

// Callers take nothing of answers that never end. What is read on for them is bounded for all together, and given back.
func TestEndlessAnswersOfSlowCallersTakeBoundedMemory(t *testing.T) {
	line := strings.Repeat("x", 1000)
	for name, c := range map[string]endlessForm{
		"a body":           {"/look/", endlessHead + "\r\n", line},
		"a body in chunks": {"/look/", endlessHead + "Transfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + line + "\r\n"},
		"an error":         {"/look/", endlessError + "\r\n", line},
		"a stream":         {"/stream/", endlessHead + "\r\n", "data: " + line + "\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			// An endpoint that sends nothing, but takes as much as the other ones. A booking is sent once.
			silent := newSlowEndless(t, "/book/", func(w http.ResponseWriter, r *http.Request) { sendBehind(w, r, "", "x", slowEndlessTime) })
			idle := silent.mostOfSlow(t, "/book/")
			var sent, ended atomic.Int64
			s := newSlowEndless(t, c.path, func(w http.ResponseWriter, r *http.Request) {
				sent.Add(1)
				defer ended.Add(1)
				sendWithoutEnd(w, r, c.begin, c.repeat)
			})
			most := s.mostOfSlow(t, c.path)
			t.Logf("%d of %d answers took %d KiB", sent.Load(), slowEndless, (int64(most)-int64(idle))>>10)
			require.GreaterOrEqual(t, sent.Load(), int64(slowEndless*3/4))
			require.LessOrEqual(t, most, idle+endlessMemory)
			require.Eventually(t, func() bool { return ended.Load() == sent.Load() }, 3*time.Second, 10*time.Millisecond, "connections to endpoints are closed")
			require.Eventually(t, func() bool { return s.held()["answers"] == 0 && s.held()["requests"] == 0 }, time.Second, 10*time.Millisecond)
		})
	}
}

func newSlowEndless(t *testing.T, path string, handler http.HandlerFunc) *fixture {
	t.Helper()
	s := newEndlessFixture(t, map[bool]string{true: "llm", false: "desk"}[path == "/stream/"], handler)
	s.settings.MemoryBytes = smallestVM
	return s
}

// mostOfSlow sends slowEndless requests of callers that read nothing, which leave in the end, and returns the largest live
// heap meanwhile.
func (s *fixture) mostOfSlow(t *testing.T, path string) uint64 {
	t.Helper()
	conns := make([]net.Conn, slowEndless)
	for i := range conns {
		conns[i] = s.beginSlow(fmt.Sprint("r", i), map[bool]string{true: http.MethodGet, false: http.MethodPost}[path == "/look/"], path)
		_ = conns[i].(*net.TCPConn).SetReadBuffer(4 << 10) // fails only if the connection is closed
	}
	var heap heapSamples
	for begun := time.Now(); time.Since(begun) < slowEndlessTime; time.Sleep(20 * time.Millisecond) {
		heap.add()
		require.LessOrEqual(t, s.held()["answers"], int64(slowEndlessHeld))
	}
	for _, conn := range conns {
		require.NoError(t, conn.Close())
	}
	return heap.most
}
