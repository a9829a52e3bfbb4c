package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/directory"
	"redwinghall/fleet"
	"redwinghall/platform"
	"redwinghall/platform/platformtest"
	"redwinghall/quarantine"
)

// A node that is slow itself gets no answer in time to whether an endpoint still runs.
func TestAnEndThatNobodyCouldTellIsFoundLater(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		later fleet.Presence
		want  quarantine.Verdict
	}{
		"it had ended":    {fleet.PresenceGone, quarantine.Trial},
		"it still runs":   {fleet.PresenceAlive, quarantine.Send},
		"nobody can tell": {fleet.PresenceUnknown, quarantine.Send},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFixture(t)
			s.presences.Store("e1", fleet.PresenceUnknown)
			s.endpoint("e1", "llm", func(http.ResponseWriter, *http.Request) {
				time.AfterFunc(100*time.Millisecond, func() { s.presences.Store("e1", c.later) })
				panic(http.ErrAbortHandler)
			})
			r := s.request(http.MethodPost, "/stream/")
			platformtest.SetParts(r, "bad", "own")
			require.Equal(t, http.StatusBadGateway, s.do(r).status)
			verdict := func() quarantine.Verdict { return s.quarantine.Check(time.Now(), "llm", []string{"bad"}).Verdict }
			if c.want == quarantine.Trial {
				require.Eventually(t, func() bool { return verdict() == quarantine.Trial }, 2*time.Second, 10*time.Millisecond)
				return
			}
			require.Never(t, func() bool { return verdict() != quarantine.Send }, time.Second, 50*time.Millisecond)
		})
	}
}

// An endpoint has started again, and ends under a request that was sent by its earlier entry: its next process has ended.
func TestEndOfAProcessThatStartedAfterTheChoiceCounts(t *testing.T) {
	t.Parallel()
	for name, path := range map[string]string{"a stream": "/stream/", "a call": "/book/"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFixture(t)
			service := map[bool]string{true: "llm", false: "desk"}[path == "/stream/"]
			s.endpoint("e1", service, func(http.ResponseWriter, *http.Request) {
				next := *s.cache.View().Endpoints["e1"]
				next.StartedMillis++
				s.cache.Apply(time.Now(), directory.Change{Endpoint: &next})
				s.presences.Store("e1", fleet.PresenceGone)
				panic(http.ErrAbortHandler)
			})
			require.Equal(t, http.StatusBadGateway, s.do(s.request(http.MethodPost, path)).status)
			require.True(t, s.quarantine.IsSuspecting())
		})
	}
}

// The next process has ended under a request that was sent by the earlier entry, and its entry is read while it is asked for.
func TestEndOfAProcessWhoseEntryIsReadLateCounts(t *testing.T) {
	t.Parallel()
	for name, path := range map[string]string{"a stream": "/stream/", "a call": "/book/"} {
		for end, next := range map[string]struct {
			runs      fleet.Presence
			suspected bool
		}{"it has ended": {fleet.PresenceGone, true}, "it runs": {fleet.PresenceAlive, false}} {
			t.Run(name+", "+end, func(t *testing.T) {
				t.Parallel()
				s := newFixture(t)
				s.presences.Store("e1", fleet.PresenceGone)
				s.asked = func(e *fleet.Endpoint) {
					if e.StartedMillis != 0 {
						s.presences.Store("e1", next.runs)
						return
					}
					later := *e
					later.StartedMillis = laterStart
					s.cache.Apply(time.Now(), directory.Change{Endpoint: &later})
				}
				service := map[bool]string{true: "llm", false: "desk"}[path == "/stream/"]
				s.endpoint("e1", service, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
				require.Equal(t, http.StatusBadGateway, s.do(s.request(http.MethodPost, path)).status)
				require.Equal(t, next.suspected, s.quarantine.IsSuspecting())
			})
		}
	}
}

// A process that ended under a request starts again, and is slow: its end must be found, or the part goes on to the next one.
func TestEndIsFoundThoughTheNextProcessIsSlow(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		end     func(*restartable)
		byOther bool
	}{
		"asked by this node":      {startAgain, false},
		"asked by way of another": {func(e *restartable) { cutAway(e); startAgain(e) }, true},
		"behind a cut that ends late": {func(e *restartable) {
			cutAway(e)
			e.born.Store(laterStart)
			time.AfterFunc(1500*time.Millisecond, func() { e.cut.Store(false) })
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newUnconfiguredFixture(t)
			s.config.Routes[0].MaxAttempts = 1 // another endpoint's answer would speak for the part
			s.cache.Apply(time.Now(), directory.Change{Config: s.config})
			if c.byOther {
				s.other = platform.NewEndpointClient(nil)
			}
			s.restartables("llm", "", wholeStream(4), c.end)
			r := s.request(http.MethodPost, "/stream/")
			platformtest.SetParts(r, "bad", "own")
			require.Equal(t, http.StatusBadGateway, s.do(r).status)
			suspected := func() bool {
				return s.quarantine.Check(time.Now(), "llm", []string{"bad"}).Verdict == quarantine.Trial
			}
			require.Eventually(t, suspected, 4*time.Second, 10*time.Millisecond)
		})
	}
}
