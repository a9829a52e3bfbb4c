package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/directory"
	"redwinghall/kernel"
	"redwinghall/platform/platformtest"
	"redwinghall/rwhtest/logtest"
)

const (
	// slowEvents events of slowEventBytes are more than the sockets between two processes hold.
	slowEvents     = 8000
	slowEventBytes = 2 << 10
	// largeVM is the memory of a VM that has room for a few such answers.
	largeVM = 4 << 30
	// unreadTime is how long an endpoint waits for its answer to be read.
	unreadTime = time.Second
)

// longAnswer is a handler whose answer is large. It is cut off if it remains unread for unreadTime; done counts the
// answers that were read whole.
func longAnswer(stream bool, events int, done *atomic.Int64) http.HandlerFunc {
	texts := make([]string, events) // once, as all that is allocated here is measured too
	for i := range texts {
		texts[i] = strings.Repeat("x", slowEventBytes)
		if stream {
			texts[i] = fmt.Sprintf("id: %d\ndata: %s\n\n", i+1, texts[i])
		}
	}
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		sign(w, r)
		control := http.NewResponseController(w)
		for _, text := range texts {
			_ = control.SetWriteDeadline(time.Now().Add(unreadTime)) // fails only if the connection is closed
			if _, err := io.WriteString(w, text); err != nil {
				panic(http.ErrAbortHandler)
			}
			if err := control.Flush(); err != nil {
				panic(http.ErrAbortHandler)
			}
		}
		done.Add(1)
	}
}

// beginSlow sends a request, and reads nothing.
func (s *fixture) beginSlow(id, method, path string) net.Conn {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.server.Listener.Addr().String())
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, platformtest.RequestHead(method, path, 0, platformtest.RequestInfo{ID: id, Key: "key-1", Model: "m0", Prompt: 10, Answer: 50}))
	require.NoError(s.t, err)
	return conn
}

// readWhole reads the response on a connection to its end.
func readWhole(conn net.Conn, timeout time.Duration) (status, size int, err error) {
	_ = conn.SetReadDeadline(time.Now().Add(timeout)) // fails only if the connection is closed
	_ = conn.(*net.TCPConn).SetReadBuffer(1 << 20)    // the same
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = response.Body.Close() }()
	n, err := io.Copy(io.Discard, response.Body)
	return response.StatusCode, int(n), err
}

var slowPaths = map[string]struct{ method, service string }{
	"/stream/x": {http.MethodPost, "llm"},
	"/look/x":   {http.MethodGet, "desk"},
}

// A caller takes nothing of its answer for longer than the endpoint waits, and then takes all. It gets the whole answer,
// and the endpoint doesn't pass for one that has stalled.
func TestAnswerIsReadOnWhileItsCallerTakesNothing(t *testing.T) {
	for path, c := range slowPaths {
		t.Run(path, func(t *testing.T) {
			log := logtest.Open(t)
			s, _ := newHeldFixture(t, largeVM)
			var done atomic.Int64
			s.endpoint("e2", c.service, longAnswer(path == "/stream/x", slowEvents, &done))
			s.removeEndpoint("e1")
			conn := s.beginSlow("slow", c.method, path)
			time.Sleep(2 * unreadTime)
			require.EqualValues(t, 1, done.Load(), "the endpoint has sent all")
			require.Positive(t, s.held()["answers"])
			status, size, err := readWhole(conn, 10*time.Second)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status)
			require.GreaterOrEqual(t, size, slowEvents*slowEventBytes)
			requireLine(t, log, "caller_slow", `request="slow"`)
			require.Empty(t, log.Lines("endpoint_stalled"))
			require.Eventually(t, func() bool { return s.held()["answers"] == 0 && s.held()["requests"] == 0 }, time.Second, time.Millisecond)
		})
	}
}

// A ready answer is delivered though the request's time is over, while its caller takes it.
func TestReadyAnswerIsDeliveredLate(t *testing.T) {
	s, _ := newHeldFixture(t, largeVM)
	var done atomic.Int64
	s.endpoint("e2", "llm", longAnswer(true, slowEvents, &done))
	conn := s.beginSlow("late", http.MethodPost, "/stream/x")
	time.Sleep(requestTimeout + 300*time.Millisecond)
	status, size, err := readWhole(conn, 10*time.Second)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.GreaterOrEqual(t, size, slowEvents*slowEventBytes)
}

// A caller that takes nothing leaves. Its work ends within half a second.
func TestStoppedCallerThatLeavesIsNoticed(t *testing.T) {
	for path, c := range slowPaths {
		t.Run(path, func(t *testing.T) {
			s, _ := newHeldFixture(t, largeVM)
			ended := make(chan time.Time, 1)
			s.removeEndpoint("e1")
			s.endpoint("e2", c.service, func(w http.ResponseWriter, r *http.Request) {
				sign(w, r)
				for i := 1; r.Context().Err() == nil; i++ {
					_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", slowEventBytes))
					_ = http.NewResponseController(w).Flush()
					time.Sleep(100 * time.Microsecond)
				}
				ended <- time.Now()
			})
			conn := s.beginSlow("leaves", c.method, path)
			time.Sleep(time.Second)
			left := time.Now()
			require.NoError(t, conn.(*net.TCPConn).CloseWrite()) // a reset would end the write by itself
			select {
			case at := <-ended:
				require.Less(t, at.Sub(left), 500*time.Millisecond)
			case <-time.After(2 * time.Second):
				require.Fail(t, "the endpoint still sends")
			}
			require.Eventually(t, func() bool { return s.held()["requests"] == 0 && s.held()["answers"] == 0 }, 500*time.Millisecond, time.Millisecond)
		})
	}
}

// An answer that isn't read for lack of memory is no sign that its endpoint has stalled.
func TestAnswerHeldBackForMemoryIsNoStall(t *testing.T) {
	log := logtest.Open(t)
	s, _ := newHeldFixture(t, 16<<20) // 157 KiB for one answer
	var done atomic.Int64
	s.endpoint("e2", "llm", longAnswer(true, slowEvents, &done))
	s.beginSlow("held", http.MethodPost, "/stream/x")
	requireLine(t, log, "memory_refused", `request="held"`, `for="answers"`)
	time.Sleep(unreadTime * 8 / 10)
	require.LessOrEqual(t, s.held()["answers"], int64(16<<20)/4)
	require.Empty(t, log.Lines("endpoint_stalled"))
}

// Without a memory limit in the settings, answers are not read on.
func TestAnswersAreNotReadOnWithoutAMemoryLimit(t *testing.T) {
	s, _ := newHeldFixture(t, 0)
	var done atomic.Int64
	s.endpoint("e2", "llm", longAnswer(true, slowEvents, &done))
	s.beginSlow("slow", http.MethodPost, "/stream/x")
	time.Sleep(2 * unreadTime)
	require.Zero(t, s.held()["answers"])
	require.Zero(t, done.Load())
}

// slowLoad is a number of callers that take their answers slowly or not at all.
type slowLoad struct {
	callers int
	read    bool // some bytes now and then
	events  int  // of each answer
}

const (
	// usualEvents are those of a usual stream.
	usualEvents = 31
	// Bounds on what slow callers take more than others, and on what they take in all.
	slowMemory200    = 10 << 20
	slowMemoryAtMost = smallVM / 2
	// soundShareKept is the share of what was in time before that is so beside slow callers.
	soundShareKept  = 0.95
	soundObjective  = 400 * time.Millisecond
	soundPause      = 200 * time.Millisecond
	soundEvents     = 5
	slowCallers     = 200
	manySlowCallers = 2000
)

// Many callers take nothing of their answers, or little. Sound ones beside them are served as before, and what the
// node holds stays bounded.
func TestSlowCallersLeaveSoundOnesAlone(t *testing.T) {
	for name, load := range map[string]slowLoad{
		"200 stopped":                      {slowCallers, false, usualEvents},
		"200 slow":                         {slowCallers, true, usualEvents},
		"200 stopped before large answers": {slowCallers, false, slowEvents},
		"200 slow before large answers":    {slowCallers, true, slowEvents},
		"2000 stopped":                     {manySlowCallers, false, usualEvents},
		"2000 slow":                        {manySlowCallers, true, usualEvents},
	} {
		t.Run(name, func(t *testing.T) {
			idle, _ := measureSlow(t, load, sendOneEvent)
			most, held := measureSlow(t, load, longAnswer(true, load.events, new(atomic.Int64)))
			t.Logf("%d KiB more than before silent endpoints, held %v", (most-idle)>>10, held)
			if load.callers == slowCallers {
				require.Less(t, most-idle, int64(slowMemory200))
			}
			require.Less(t, most, int64(slowMemoryAtMost), "callers and endpoints included")
		})
	}
}

// measureSlow returns how much more is allocated while slow callers are served by endpoints with a handler, and what their
// requests hold. It requires that sound callers get their answers meanwhile.
func measureSlow(t *testing.T, load slowLoad, handler http.HandlerFunc) (most int64, held map[string]int64) {
	t.Helper()
	s, _ := newHeldFixture(t, smallVM)
	s.removeEndpoint("e1")
	s.endpoint("sound", "desk", pacedEvents)
	for i := range 100 {
		s.endpoint(fmt.Sprint("e", i+2), "llm", handler)
	}
	before := s.soundShare(t)
	idle, descriptors := settledHeap(), openDescriptors(t)
	g := kernel.NewGroup(t.Context())
	for i := range load.callers {
		conn := s.beginSlow(fmt.Sprint("slow", i), http.MethodPost, "/stream/x")
		defer func() { _ = conn.Close() }()
		if load.read {
			g.Go("caller", func(ctx context.Context) error { trickle(ctx, conn); return nil })
		}
	}
	time.Sleep(1200 * time.Millisecond)
	most, held = settledHeap()-idle, s.held()
	beside := s.soundShare(t)
	t.Logf("%d descriptors more, sound ones in time %.3f before and %.3f beside", openDescriptors(t)-descriptors, before, beside)
	require.GreaterOrEqual(t, beside, soundShareKept*before)
	g.Stop()
	require.NoError(t, g.Wait())
	return most, held
}

// settledHeap returns the least of several measurements: what is allocated while the collector runs counts as live.
func settledHeap() int64 {
	var last []int64
	for range liveSamples {
		last = append(last, int64(liveHeap()))
		time.Sleep(20 * time.Millisecond)
	}
	return slices.Min(last)
}

// sendOneEvent sends one event and no end.
func sendOneEvent(w http.ResponseWriter, r *http.Request) {
	sign(w, r)
	_, _ = io.WriteString(w, "id: 1\ndata: x\n\n") // the reader may have left
	_ = http.NewResponseController(w).Flush()
	<-r.Context().Done()
}

// soundShare sends requests and streams one after the other, requires all to be answered whole, and returns which share of
// answers, first events and pauses was in time.
func (s *fixture) soundShare(t *testing.T) float64 {
	t.Helper()
	inTime, all := 0, 0
	count := func(since time.Time, objective time.Duration) {
		all++
		if time.Since(since) <= objective {
			inTime++
		}
	}
	for range 100 {
		begun := time.Now()
		answer := s.do(s.request(http.MethodGet, "/look/x"))
		count(begun, soundObjective)
		require.Equal(t, http.StatusOK, answer.status)
		require.NoError(t, answer.err)
	}
	for range 5 {
		begun := time.Now()
		response, err := http.DefaultTransport.RoundTrip(s.request(http.MethodPost, "/feed/x"))
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode)
		lines, events, last := bufio.NewScanner(response.Body), 0, begun
		for lines.Scan() {
			if strings.HasPrefix(lines.Text(), "data:") {
				count(last, soundPause)
				events, last = events+1, time.Now()
			}
		}
		require.NoError(t, lines.Err())
		require.NoError(t, response.Body.Close())
		require.Equal(t, soundEvents, events)
	}
	return float64(inTime) / float64(all)
}

// pacedEvents is a handler that sends soundEvents events with pauses, and nothing to what is no stream.
func pacedEvents(w http.ResponseWriter, r *http.Request) {
	sign(w, r)
	if r.Method == http.MethodGet {
		return
	}
	for i := 1; i <= soundEvents; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i) // the reader checks what it received
		_ = http.NewResponseController(w).Flush()
		time.Sleep(10 * time.Millisecond)
	}
}

// trickle reads a few bytes now and then.
func trickle(ctx context.Context, conn net.Conn) {
	for some := make([]byte, 64); ctx.Err() == nil; {
		_ = conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond)) // fails only if the connection is closed
		_, _ = conn.Read(some)
		kernel.Sleep(ctx, 50*time.Millisecond)
	}
}

func openDescriptors(t *testing.T) int {
	t.Helper()
	all, err := os.ReadDir("/proc/self/fd")
	require.NoError(t, err)
	return len(all)
}

func (s *fixture) removeEndpoint(id string) {
	s.cache.Apply(time.Now(), directory.Change{Gone: id})
}
