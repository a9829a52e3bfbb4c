package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/platform/platformtest"
)

const (
	silentEvents = 6
	// callerPatience is after what silence in a stream its caller leaves.
	callerPatience = 2 * time.Second
)

// silentFixture is a gateway with two sound endpoints of each service. The first that gets the request sends two events,
// is silent, and goes on. The other one does as second says.
type silentFixture struct {
	*fixture
	silence time.Duration
	second  http.HandlerFunc
	runs    atomic.Int32
	// ended is closed once the first endpoint's request has ended.
	ended chan struct{}
}

func newSilentFixture(t *testing.T, silence time.Duration, second http.HandlerFunc) *silentFixture {
	t.Helper()
	s := &silentFixture{fixture: newFixture(t), silence: silence, second: second, ended: make(chan struct{})}
	for _, service := range []string{"llm", "desk"} {
		for _, id := range []string{"1", "2"} {
			s.endpoint(service+id, service, s.serve)
		}
	}
	return s
}

func (s *silentFixture) serve(w http.ResponseWriter, r *http.Request) {
	if s.runs.Add(1) > 1 {
		s.second(w, r)
		return
	}
	defer close(s.ended)
	sign(w, r)
	writeEvents(w, 1, 2)
	select {
	case <-time.After(s.silence):
		writeEvents(w, 3, silentEvents)
	case <-r.Context().Done():
	}
}

// notExecuted rejects a request that the endpoint did not run.
func notExecuted(retryAfter string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", platformtest.ReadHeaders(r).ID)
		platformtest.SetNotExecuted(w)
		if retryAfter != "" {
			w.Header().Set("Retry-After", retryAfter)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// failingSeconds are the ways in which an endpoint may not take a stream over.
func failingSeconds() map[string]http.HandlerFunc {
	return map[string]http.HandlerFunc{
		"rejects":                  notExecuted(""),
		"rejects with Retry-After": notExecuted("1"),
		"resets":                   func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"answers 500": func(w http.ResponseWriter, r *http.Request) {
			sign(w, r)
			w.WriteHeader(http.StatusInternalServerError)
		},
		"sends no signature": func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 3, silentEvents) },
		"sends an event and closes": func(w http.ResponseWriter, r *http.Request) {
			sign(w, r)
			writeEvents(w, 3, 3)
			panic(http.ErrAbortHandler)
		},
		"ends in the middle of an event": func(w http.ResponseWriter, r *http.Request) {
			sign(w, r)
			writeEvents(w, 3, 3)
			_, _ = io.WriteString(w, "id: 4\nda") // the reader checks what it received
		},
		"sends only comments": func(w http.ResponseWriter, r *http.Request) {
			sign(w, r)
			_, _ = io.WriteString(w, strings.Repeat(": wait\n\n", 4<<10)) // the reader checks what it received
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		},
		"is silent too": func(w http.ResponseWriter, r *http.Request) {
			sign(w, r)
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		},
	}
}

// A sound endpoint is silent for a moment, and the one that its stream is moved to doesn't take it: the caller still
// gets the whole answer from the first.
func TestStreamOutlivesTheSilenceOfItsEndpoint(t *testing.T) {
	for name, second := range failingSeconds() {
		for _, silence := range []time.Duration{1200 * time.Millisecond, 1500 * time.Millisecond, 1900 * time.Millisecond} {
			for _, path := range []string{"/stream/", "/feed/"} {
				t.Run(fmt.Sprintf("%s/%s%s", name, silence, path), func(t *testing.T) {
					t.Parallel()
					s := newSilentFixture(t, silence, second)
					got := s.do(s.request(http.MethodPost, path))
					require.NoError(t, got.err)
					require.Equal(t, wholeStream(silentEvents), got.body)
					require.LessOrEqual(t, s.runs.Load(), int32(2), "attempts")
				})
			}
		}
	}
}

// An endpoint has stopped for good: the stream goes on at another one before its caller leaves, and the first attempt
// ends.
func TestStreamLeavesAnEndpointThatStaysSilent(t *testing.T) {
	for _, path := range []string{"/stream/", "/feed/"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			s := newSilentFixture(t, time.Minute, func(w http.ResponseWriter, r *http.Request) {
				sign(w, r)
				writeEvents(w, 3, silentEvents)
			})
			begun := time.Now()
			got := s.do(s.request(http.MethodPost, path))
			require.NoError(t, got.err)
			require.Equal(t, wholeStream(silentEvents), got.body)
			require.Less(t, time.Since(begun), callerPatience)
			select {
			case <-s.ended:
			case <-time.After(time.Second):
				require.Fail(t, "the first endpoint still works")
			}
			require.Eventually(t, func() bool { return len(s.tracker.OwnLoads(time.Now())) == 0 }, time.Second, time.Millisecond)
		})
	}
}

// Both endpoints go on: the caller gets the events of one run only.
func TestEventsOfTwoRunsAreNeverJoined(t *testing.T) {
	for _, second := range []time.Duration{0, 190 * time.Millisecond, 200 * time.Millisecond, 210 * time.Millisecond, 400 * time.Millisecond} {
		t.Run(second.String(), func(t *testing.T) {
			t.Parallel()
			s := newSilentFixture(t, 1500*time.Millisecond, func(w http.ResponseWriter, r *http.Request) {
				sign(w, r)
				time.Sleep(second)
				for i := 3; i <= silentEvents; i++ {
					_, _ = fmt.Fprintf(w, "id: %d\ndata: other %d\n\n", i, i) // the reader checks what it received
					w.(http.Flusher).Flush()
					time.Sleep(5 * time.Millisecond)
				}
			})
			got := s.do(s.request(http.MethodPost, "/stream/"))
			require.NoError(t, got.err)
			other := wholeStream(2)
			for i := 3; i <= silentEvents; i++ {
				other += fmt.Sprintf("id: %d\ndata: other %d\n\n", i, i)
			}
			require.Contains(t, []string{wholeStream(silentEvents), other}, got.body)
		})
	}
}
