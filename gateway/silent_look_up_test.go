package gateway_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/directory"
	"redwinghall/gateway"
	"redwinghall/platform/platformtest"
	"redwinghall/quarantine"
)

const (
	firstAnswer  = "first"
	secondAnswer = "second"
	// warmID is the id of a request that shows how long requests take.
	warmID = "warm"
)

// silentLookUp is a gateway with plain endpoints, of which the first that gets the request is silent, and then answers.
// The next ones do as others says.
type silentLookUp struct {
	*fixture
	silence time.Duration
	first   http.HandlerFunc // what the first one does then
	others  http.HandlerFunc
	runs    atomic.Int32
	// ended is closed once the first endpoint's request has ended.
	ended chan struct{}
}

func newSilentLookUp(t *testing.T, endpoints int, silence time.Duration, others http.HandlerFunc) *silentLookUp {
	t.Helper()
	s := &silentLookUp{fixture: newFixture(t), silence: silence, first: answers(firstAnswer), others: others, ended: make(chan struct{})}
	for i := range endpoints {
		s.endpoint(fmt.Sprint("e", i), "desk", s.serve)
	}
	return s
}

func (s *silentLookUp) serve(w http.ResponseWriter, r *http.Request) {
	if platformtest.ReadHeaders(r).ID == warmID {
		time.Sleep(700 * time.Millisecond)
		sign(w, r)
		return
	}
	if s.runs.Add(1) > 1 {
		s.others(w, r)
		return
	}
	defer close(s.ended)
	select {
	case <-time.After(s.silence):
		s.first(w, r)
	case <-r.Context().Done():
	}
}

func (s *silentLookUp) look() response { return s.do(s.request(http.MethodGet, "/look/")) }

// requireNothingHeld checks that both attempts have ended and given back what they held.
func (s *silentLookUp) requireNothingHeld() {
	s.t.Helper()
	select {
	case <-s.ended:
	case <-time.After(time.Second):
		require.Fail(s.t, "the first endpoint still works")
	}
	require.Eventually(s.t, func() bool {
		for _, bytes := range s.held() {
			if bytes != 0 {
				return false
			}
		}
		return len(s.tracker.OwnLoads(time.Now())) == 0
	}, time.Second, time.Millisecond)
}

// answers sends an answer with a signature of its own.
func answers(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		platformtest.Sign(w, platformtest.ReadHeaders(r).ID, "sig-"+body)
		_, _ = io.WriteString(w, body) // the reader checks what it received
	}
}

// failingLookUps are the ways in which an endpoint may not answer a look-up.
func failingLookUps() map[string]http.HandlerFunc {
	return map[string]http.HandlerFunc{
		"rejects":                  notExecuted(""),
		"rejects with Retry-After": notExecuted("1"),
		"resets":                   func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"answers 500": func(w http.ResponseWriter, r *http.Request) {
			sign(w, r)
			w.WriteHeader(http.StatusInternalServerError)
		},
		"answers 503 without a guarantee": func(w http.ResponseWriter, r *http.Request) {
			platformtest.SetRequestID(w, platformtest.ReadHeaders(r).ID)
			w.WriteHeader(http.StatusServiceUnavailable)
		},
		"sends no signature":      func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "?") },
		"answers somebody else":   func(w http.ResponseWriter, _ *http.Request) { platformtest.Sign(w, "r-0", "sig") },
		"answers what isn't HTTP": func(w http.ResponseWriter, _ *http.Request) { hijackAndWrite(w, "nonsense\r\n\r\n") },
		"breaks off in its body": func(w http.ResponseWriter, r *http.Request) {
			sign(w, r)
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "hal")
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		},
		"is silent too": func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
	}
}

func hijackAndWrite(w http.ResponseWriter, data string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, data) // the gateway is about to close it
	_ = conn.Close()
}

// A sound endpoint is silent for a moment, and the one that a look-up is sent to meanwhile doesn't answer it: the caller
// still gets the answer of the first.
func TestLookUpOutlivesTheSilenceOfItsEndpoint(t *testing.T) {
	for name, others := range failingLookUps() {
		for _, silence := range []time.Duration{1200 * time.Millisecond, 1500 * time.Millisecond, 1900 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s/%s", name, silence), func(t *testing.T) {
				t.Parallel()
				s := newSilentLookUp(t, 3, silence, others)
				got := s.look()
				require.NoError(t, got.err)
				require.Equal(t, http.StatusOK, got.status, got.body)
				require.Equal(t, firstAnswer, got.body)
				require.Equal(t, "sig-"+firstAnswer, platformtest.Signature(got.header))
				require.LessOrEqual(t, s.runs.Load(), int32(2), "attempts")
				s.requireNothingHeld()
			})
		}
	}
}

// A look-up's endpoint is silent, and it can't or may not be sent to another one: the silent one is waited for.
func TestLookUpThatMayNotBeSentAgainWaitsForItsEndpoint(t *testing.T) {
	for name, c := range map[string]struct {
		endpoints int
		prepare   func(s *silentLookUp)
	}{
		"no other endpoint": {1, func(*silentLookUp) {}},
		"no retry budget":   {2, func(s *silentLookUp) { s.settings.Bounds.RetrySlack = 0 }},
		"a stop leaves time for one attempt": {2, func(s *silentLookUp) {
			warm := s.request(http.MethodGet, "/look/")
			warm.Header.Set("Request-Id", warmID)
			require.Equal(t, http.StatusOK, s.do(warm).status)
			now := time.Now()
			s.stop = gateway.Stop{Begun: now, Noticed: now, End: now.Add(2900 * time.Millisecond)}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSilentLookUp(t, c.endpoints, 1500*time.Millisecond, answers(secondAnswer))
			c.prepare(s)
			got := s.look()
			require.Equal(t, http.StatusOK, got.status, got.body)
			require.Equal(t, firstAnswer, got.body)
			require.EqualValues(t, 1, s.runs.Load())
			s.requireNothingHeld()
		})
	}
}

// An endpoint has stopped for good: another one answers as soon as before, and the first attempt ends and counts as
// failed.
func TestLookUpLeavesAnEndpointThatStaysSilent(t *testing.T) {
	for name, size := range map[string]int{"small": 5, "buffered": 100 << 10, "large": 1 << 20} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			body := string(bytes.Repeat([]byte("x"), size))
			s := newSilentLookUp(t, 2, time.Minute, func(w http.ResponseWriter, r *http.Request) {
				sign(w, r)
				_, _ = io.WriteString(w, body) // the reader checks what it received
			})
			begun := time.Now()
			got := s.look()
			require.Less(t, time.Since(begun), 1600*time.Millisecond)
			require.NoError(t, got.err)
			require.Equal(t, http.StatusOK, got.status)
			require.Equal(t, body, got.body)
			require.EqualValues(t, 2, s.runs.Load())
			s.requireNothingHeld()
		})
	}
}

// The silent endpoint breaks or rejects at last while the second one still works: the answer of the second is waited for.
func TestLookUpOutlivesItsFirstEndpoint(t *testing.T) {
	for name, first := range failingLookUps() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSilentLookUp(t, 2, 1500*time.Millisecond, func(w http.ResponseWriter, r *http.Request) {
				time.Sleep(600 * time.Millisecond)
				answers(secondAnswer)(w, r)
			})
			s.first = first
			got := s.look()
			require.NoError(t, got.err)
			require.Equal(t, http.StatusOK, got.status, got.body)
			require.Equal(t, secondAnswer, got.body)
			s.requireNothingHeld()
		})
	}
}

// Both endpoints answer: the caller gets one whole answer with its own signature.
func TestAnswersOfTwoEndpointsAreNeverMixed(t *testing.T) {
	const size = 300 << 10 // more than is buffered
	whole := map[string]string{"f": string(bytes.Repeat([]byte("f"), size)), "s": string(bytes.Repeat([]byte("s"), size))}
	for _, second := range []time.Duration{0, 190 * time.Millisecond, 200 * time.Millisecond, 210 * time.Millisecond, 400 * time.Millisecond} {
		t.Run(second.String(), func(t *testing.T) {
			t.Parallel()
			s := newSilentLookUp(t, 2, 1500*time.Millisecond, func(w http.ResponseWriter, r *http.Request) {
				time.Sleep(second)
				answersInParts(w, r, "s", size)
			})
			s.first = func(w http.ResponseWriter, r *http.Request) { answersInParts(w, r, "f", size) }
			got := s.look()
			require.NoError(t, got.err)
			require.Equal(t, http.StatusOK, got.status)
			require.Len(t, got.body, size)
			require.Equal(t, whole[got.body[:1]], got.body)
			require.Equal(t, "sig-"+got.body[:1], platformtest.Signature(got.header))
			s.requireNothingHeld()
		})
	}
}

// answersInParts sends a large answer that consists of one letter.
func answersInParts(w http.ResponseWriter, r *http.Request, letter string, size int) {
	platformtest.Sign(w, platformtest.ReadHeaders(r).ID, "sig-"+letter)
	part := bytes.Repeat([]byte(letter), size/20)
	for range 20 {
		_, _ = w.Write(part) // the reader checks what it received
		w.(http.Flusher).Flush()
		time.Sleep(time.Millisecond)
	}
}

// All endpoints stay silent: no more of them get the request than the route allows, and its caller a timeout.
func TestSilentLookUpIsSentToAsManyEndpointsAsAllowed(t *testing.T) {
	for attempts := 1; attempts <= 3; attempts++ {
		t.Run(fmt.Sprint(attempts), func(t *testing.T) {
			t.Parallel()
			s := newSilentLookUp(t, 5, time.Minute, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
			s.config.Routes[3].MaxAttempts = attempts
			s.config.Version++
			s.cache.Apply(time.Now(), directory.Change{Config: s.config})
			require.Equal(t, http.StatusGatewayTimeout, s.look().status)
			require.EqualValues(t, attempts, s.runs.Load())
			s.requireNothingHeld()
		})
	}
}

// A second attempt beside a silent one spends the retry budget like any other: once it is spent, look-ups wait.
func TestSecondAttemptBesideASilentOneSpendsTheRetryBudget(t *testing.T) {
	s := newSilentLookUp(t, 2, time.Minute, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(1500 * time.Millisecond)
		answers(secondAnswer)(w, r)
	})
	s.settings.Bounds.RetrySlack = 1.4 // with the ratio of two requests it allows for one retry
	require.Equal(t, secondAnswer, s.look().body)
	require.EqualValues(t, 2, s.runs.Load())
	require.Equal(t, secondAnswer, s.look().body)
	require.EqualValues(t, 3, s.runs.Load())
	s.requireNothingHeld()
}

// A silent endpoint rejects a look-up at last, and so does the second one that got it: the refusal says that nothing ran.
func TestSilentLookUpThatNobodyRan(t *testing.T) {
	s := newSilentLookUp(t, 2, 1500*time.Millisecond, notExecuted(""))
	s.first = notExecuted("")
	require.Equal(t, http.StatusServiceUnavailable, s.look().status)
	s.requireNothingHeld()
}

// A request with a suspected part is at one endpoint at a time, also while that is silent.
func TestLookUpOnTrialIsAtOneEndpointAtATime(t *testing.T) {
	s := newSilentLookUp(t, 2, 1500*time.Millisecond, answers(secondAnswer))
	now := time.Now()
	s.quarantine.RecordEnd(quarantine.Suspect{
		Process: quarantine.Process{Endpoint: "ended", StartedMillis: 1}, Request: "r-0", Service: "desk", Parts: []string{"bad"}, At: now,
	})
	require.Equal(t, quarantine.Trial, s.quarantine.Check(now, "desk", []string{"bad"}).Verdict)
	r := s.request(http.MethodGet, "/look/")
	platformtest.SetParts(r, "bad", "own")
	require.Equal(t, firstAnswer, s.do(r).body)
	require.EqualValues(t, 1, s.runs.Load())
	s.requireNothingHeld()
}

// A booking's endpoint is silent: it is waited for, and no other one gets the booking.
func TestBookingWaitsForItsSilentEndpoint(t *testing.T) {
	for _, path := range []string{"/book/", "/book2/"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			s := newSilentLookUp(t, 2, 1900*time.Millisecond, answers(secondAnswer))
			got := s.do(s.request(http.MethodPost, path))
			require.Equal(t, http.StatusOK, got.status)
			require.Equal(t, firstAnswer, got.body)
			require.EqualValues(t, 1, s.runs.Load())
			s.requireNothingHeld()
		})
	}
}

// A second endpoint that is left as the first one answers after all has not failed: it gets requests as before.
func TestLookUpThatIsNotNeededIsNoFailure(t *testing.T) {
	s := newSilentLookUp(t, 2, 1500*time.Millisecond, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	require.Equal(t, firstAnswer, s.look().body)
	s.requireNothingHeld()
	require.False(t, s.tracker.AllInBackoff(time.Now(), s.cache.View().ByService["desk"]))
}
