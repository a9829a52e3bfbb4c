package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/directory"
	"redwinghall/kernel"
	"redwinghall/platform/platformtest"
	"redwinghall/quarantine"
)

// addRuns adds three groups that serve the stream. Its attempts are handled in their order, whichever group gets them.
func (s *fixture) addRuns(handlers ...http.HandlerFunc) *atomic.Int32 {
	s.t.Helper()
	var runs atomic.Int32
	for _, id := range []string{"e1", "e2", "e3"} {
		s.endpoint(id, "llm", func(w http.ResponseWriter, r *http.Request) {
			n := int(runs.Add(1))
			if n > len(handlers) {
				platformtest.SetNotExecuted(w)
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			sign(w, r)
			handlers[n-1](w, r)
		})
	}
	return &runs
}

// longTime is the time of streams at several silent endpoints, also on a machine that is busy.
const longTime = 10 * time.Second

// newLongFixture returns a fixture whose streams have longTime and some attempts.
func newLongFixture(t *testing.T, attempts int) *fixture {
	t.Helper()
	s := newUnconfiguredFixture(t)
	s.config.Routes[0].MaxAttempts, s.config.Routes[0].Timeout = attempts, longTime
	s.cache.Apply(time.Now(), directory.Change{Config: s.config})
	return s
}

// doLong sends a stream that has longTime.
func (s *fixture) doLong() response {
	s.t.Helper()
	r, err := platformtest.NewRequest(s.t.Context(), http.MethodPost, s.server.Listener.Addr().String(), "/stream/", nil, platformtest.RequestInfo{
		ID: "r-1", Key: "key-1", Model: "m0", Timeout: longTime, Prompt: 100, Answer: 50,
	})
	require.NoError(s.t, err)
	return s.do(r)
}

// The events of a stream have no ids: it can't go on at another endpoint, and stays at the silent one.
func TestStreamWithoutEventIDsIsNeverJoined(t *testing.T) {
	t.Run("from its beginning", func(t *testing.T) { testStreamWithoutEventIDs(t, "") })
	t.Run("resumed by its caller", func(t *testing.T) { testStreamWithoutEventIDs(t, "7") })
}

func testStreamWithoutEventIDs(t *testing.T, lastEvent string) {
	t.Helper()
	t.Parallel()
	s := newFixture(t)
	write := func(w http.ResponseWriter, words ...string) {
		for _, word := range words {
			_, _ = fmt.Fprintf(w, "data: %s\n\n", word) // the reader checks what it received
			w.(http.Flusher).Flush()
		}
	}
	s.addRuns(func(w http.ResponseWriter, _ *http.Request) {
		write(w, "a", "b")
		time.Sleep(1800 * time.Millisecond)
		write(w, "c", "d")
	}, func(w http.ResponseWriter, _ *http.Request) { write(w, "a", "b", "c", "d") })
	r := s.request(http.MethodPost, "/stream/")
	if lastEvent != "" {
		r.Header.Set("Last-Event-Id", lastEvent)
	}
	got := s.do(r)
	require.NoError(t, got.err)
	require.Equal(t, "data: a\n\ndata: b\n\ndata: c\n\ndata: d\n\n", got.body)
}

// An endpoint that has stopped sends comments all the while: the stream still leaves it.
func TestStreamLeavesAnEndpointThatSendsOnlyComments(t *testing.T) {
	t.Parallel()
	s := newFixture(t)
	s.addRuns(func(w http.ResponseWriter, r *http.Request) {
		writeEvents(w, 1, 2)
		for r.Context().Err() == nil {
			_, _ = io.WriteString(w, ": wait\n\n") // fails once the attempt has ended
			w.(http.Flusher).Flush()
			time.Sleep(50 * time.Millisecond)
		}
	}, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(150 * time.Millisecond)
		writeEvents(w, 3, silentEvents)
	})
	begun := time.Now()
	got := s.do(s.request(http.MethodPost, "/stream/"))
	require.NoError(t, got.err)
	require.Equal(t, wholeStream(silentEvents), strings.ReplaceAll(got.body, ": wait\n\n", ""))
	require.Less(t, time.Since(begun), callerPatience)
}

// The silent endpoint fails while the third one, after the second has failed too, hasn't answered yet: the stream goes on
// at the third.
func TestStreamGoesOnAtTheLastAttemptOfATakeover(t *testing.T) {
	t.Parallel()
	s := newLongFixture(t, 3)
	runs := s.addRuns(func(w http.ResponseWriter, _ *http.Request) {
		writeEvents(w, 1, 2)
		time.Sleep(1600 * time.Millisecond)
		panic(http.ErrAbortHandler)
	}, func(w http.ResponseWriter, _ *http.Request) {
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(500 * time.Millisecond)
		writeEvents(w, 3, silentEvents)
	})
	got := s.doLong()
	require.NoError(t, got.err)
	require.Equal(t, wholeStream(silentEvents), got.body)
	require.Equal(t, int32(3), runs.Load(), "attempts")
}

// No group has room for a while: a takeover that was never sent uses up no retries of others.
func TestRefusedTakeoversSpendOneRetry(t *testing.T) {
	t.Parallel()
	s := newLongFixture(t, 2)
	s.settings.Bounds.RetrySlack = 3
	s.placer.hasDispatcher = true
	asked := 0
	s.placer.onPlace = func() {
		asked++
		switch {
		case asked == 1:
			s.placer.offers = map[string]string{"a": "e1"}
		case asked <= 5:
			s.placer.offers = map[string]string{"a": ""}
		default:
			s.placer.offers = map[string]string{"a": "e2"}
		}
	}
	s.addRuns(func(w http.ResponseWriter, r *http.Request) {
		writeEvents(w, 1, 2)
		<-r.Context().Done()
	}, func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 3, silentEvents) })
	got := s.doLong()
	require.NoError(t, got.err)
	require.Equal(t, wholeStream(silentEvents), got.body)
	require.Equal(t, 6, asked, "placements")
}

// A part of a stream is suspected and on trial at a silent endpoint: the trial goes on when a takeover has failed.
func TestFailedTakeoverLeavesTheTrialOfTheSilentEndpoint(t *testing.T) {
	t.Parallel()
	s := newFixture(t)
	s.quarantine.RecordEnd(quarantine.Suspect{
		Process: quarantine.Process{Endpoint: "e0"}, Request: "r-0", Service: "llm", Parts: []string{"bad"}, At: time.Now(),
	})
	failed := make(chan struct{})
	s.addRuns(func(w http.ResponseWriter, _ *http.Request) {
		w.(http.Flusher).Flush()
		time.Sleep(1800 * time.Millisecond)
		writeEvents(w, 1, silentEvents)
	}, func(http.ResponseWriter, *http.Request) {
		close(failed)
		panic(http.ErrAbortHandler)
	})
	var answer quarantine.TrialAnswer
	others := kernel.NewGroup(t.Context())
	others.Task("other", func(context.Context) {
		<-failed
		time.Sleep(100 * time.Millisecond)
		answer = s.quarantine.RequestTrial(time.Now(), "other", "llm", []string{"bad"})
	})
	r := s.request(http.MethodPost, "/stream/")
	platformtest.SetParts(r, "bad", "own")
	got := s.do(r)
	require.NoError(t, got.err)
	require.Equal(t, wholeStream(silentEvents), got.body)
	require.NoError(t, others.Wait())
	require.Equal(t, quarantine.TrialBusy, answer)
}

// A caller takes nothing for longer than endpoints wait, and the endpoint that sent most of the answer is silent: nothing is
// sent to another one that the caller can't take.
func TestNoTakeoverWhileTheCallerTakesNothing(t *testing.T) {
	s, _ := newHeldFixture(t, largeVM)
	config := *s.config
	config.Routes = slices.Clone(config.Routes)
	config.Routes[0].Timeout = 20 * time.Second
	config.Version++
	s.cache.Apply(time.Now(), directory.Change{Config: &config})
	text := strings.Repeat("x", slowEventBytes)
	write := func(w http.ResponseWriter, from, to int) {
		control := http.NewResponseController(w)
		for i := from; i <= to; i++ {
			_ = control.SetWriteDeadline(time.Now().Add(unreadTime)) // fails only if the connection is closed
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, text); err != nil {
				panic(http.ErrAbortHandler)
			}
		}
		_ = control.Flush() // the reader checks what it received
	}
	runs := s.addRuns(func(w http.ResponseWriter, r *http.Request) {
		write(w, 1, slowEvents-1)
		<-r.Context().Done()
	}, func(w http.ResponseWriter, r *http.Request) {
		last, err := strconv.Atoi(platformtest.ReadHeaders(r).LastEvent)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		write(w, last+1, slowEvents)
	})
	conn := s.beginSlow("slow", http.MethodPost, "/stream/x")
	time.Sleep(2*time.Second + 2*unreadTime)
	require.EqualValues(t, 1, runs.Load())
	_, size, err := readWhole(conn, 10*time.Second)
	require.NoError(t, err)
	require.GreaterOrEqual(t, size, slowEvents*slowEventBytes)
	require.EqualValues(t, 2, runs.Load())
}

// Two endpoints have stopped: the stream goes on at a third one if its attempts allow that.
func TestStreamLeavesTwoSilentEndpoints(t *testing.T) {
	t.Parallel()
	s := newLongFixture(t, 3)
	silent := make(chan struct{}, 2)
	runs := s.addRuns(func(w http.ResponseWriter, r *http.Request) {
		writeEvents(w, 1, 2)
		<-r.Context().Done()
		silent <- struct{}{}
	}, func(w http.ResponseWriter, r *http.Request) {
		w.(http.Flusher).Flush()
		<-r.Context().Done()
		silent <- struct{}{}
	}, func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 3, silentEvents) })
	got := s.doLong()
	require.NoError(t, got.err)
	require.Equal(t, wholeStream(silentEvents), got.body)
	require.Equal(t, int32(3), runs.Load(), "attempts")
	for range 2 {
		select {
		case <-silent:
		case <-time.After(time.Second):
			require.Fail(t, "a silent endpoint still works")
		}
	}
}

// No group has room: a silent stream doesn't ask for it all the time.
func TestRefusedTakeoversPause(t *testing.T) {
	t.Parallel()
	s := newFixture(t)
	s.placer.hasDispatcher = true
	asked := 0
	s.placer.onPlace = func() {
		if asked++; asked == 1 {
			s.placer.offers = map[string]string{"a": "e1"}
			return
		}
		s.placer.offers = map[string]string{"a": ""}
	}
	s.addRuns(func(w http.ResponseWriter, _ *http.Request) {
		writeEvents(w, 1, 2)
		time.Sleep(2500 * time.Millisecond)
		writeEvents(w, 3, silentEvents)
	})
	got := s.do(s.request(http.MethodPost, "/stream/"))
	require.NoError(t, got.err)
	require.Equal(t, wholeStream(silentEvents), got.body)
	require.LessOrEqual(t, asked, 6, "placements")
}

// The caller leaves, or its time is over, while a takeover is open: both endpoints stop, and nothing is left.
func TestTakeoverEndsWithItsRequest(t *testing.T) {
	silent := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}
	states := map[string]http.HandlerFunc{
		"before its head": silent,
		"behind its head": func(w http.ResponseWriter, r *http.Request) {
			w.(http.Flusher).Flush()
			silent(w, r)
		},
		"behind an event": func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, "id: 3\n") // the reader checks what it received
			w.(http.Flusher).Flush()
			silent(w, r)
		},
	}
	for name, second := range states {
		for end, leaves := range map[string]bool{"caller leaves": true, "time is over": false} {
			for _, from := range []int{0, 2} {
				t.Run(fmt.Sprintf("%s/%s/%d events", name, end, from), func(t *testing.T) {
					t.Parallel()
					s := newFixture(t)
					var open atomic.Int32
					count := func(handler http.HandlerFunc) http.HandlerFunc {
						return func(w http.ResponseWriter, r *http.Request) {
							open.Add(1)
							defer open.Add(-1)
							handler(w, r)
						}
					}
					runs := s.addRuns(count(func(w http.ResponseWriter, r *http.Request) {
						writeEvents(w, 1, from)
						silent(w, r)
					}), count(second))
					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()
					g := kernel.NewGroup(ctx)
					g.Task("leave", func(ctx context.Context) {
						for leaves && runs.Load() < 2 && kernel.Sleep(ctx, 10*time.Millisecond) {
							continue
						}
						if leaves && kernel.Sleep(ctx, 200*time.Millisecond) { // the second endpoint's answer has begun by then
							cancel()
						}
					})
					out, err := http.DefaultTransport.RoundTrip(s.request(http.MethodPost, "/stream/").WithContext(ctx))
					if err == nil {
						_, _ = io.Copy(io.Discard, out.Body) // ends with the request
						_ = out.Body.Close()
					}
					require.EqualValues(t, 2, runs.Load())
					require.Eventually(t, func() bool {
						return open.Load() == 0 && s.gateway.Streams() == 0 && len(s.tracker.OwnLoads(time.Now())) == 0
					}, 500*time.Millisecond, 10*time.Millisecond)
				})
			}
		}
	}
}

// The silent endpoint answers 500 before its first event while a takeover is open: the caller gets the takeover's answer.
func TestFailureOfTheSilentEndpointLeavesTheStreamToTheTakeover(t *testing.T) {
	t.Parallel()
	s := newFixture(t)
	s.addRuns(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(1500 * time.Millisecond)
		w.WriteHeader(http.StatusInternalServerError)
	}, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(500 * time.Millisecond)
		writeEvents(w, 1, silentEvents)
	})
	got := s.do(s.request(http.MethodPost, "/stream/"))
	require.NoError(t, got.err)
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, wholeStream(silentEvents), got.body)
}

// The silent endpoint and the second one both reject the stream with the guarantee that nothing ran: the refusal repeats it.
func TestTwoRejectionsBesideATakeoverPromiseThatNothingRan(t *testing.T) {
	t.Parallel()
	s := newFixture(t)
	s.addRuns(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(1500 * time.Millisecond)
		notExecuted("")(w, r)
	}, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(400 * time.Millisecond)
		notExecuted("")(w, r)
	})
	require.Equal(t, http.StatusServiceUnavailable, s.do(s.request(http.MethodPost, "/stream/")).status)
}
