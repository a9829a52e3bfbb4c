package promise_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/promise"
)

var (
	start = time.Unix(1000, 0)
	model = promise.Model{Service: "llm", Name: "large"}
)

// interval is the time between two places that come free.
const interval = 5 * time.Millisecond

func caller(i int) promise.Caller {
	return promise.Caller{Account: "depot", Urgency: 1, Prompt: 100 + i}
}

// If callers were told the same time, they would find one place for all of them.
func TestEachCallerGetsATimeOfItsOwn(t *testing.T) {
	var s promise.Schedule
	last, given := time.Duration(0), 0
	for i := range 1000 {
		wait, ok := s.Give(start, model, caller(i), interval, promise.Latest)
		if !ok {
			break
		}
		if given > 0 {
			require.GreaterOrEqual(t, wait-last, interval)
		}
		require.LessOrEqual(t, wait, promise.Latest)
		last = wait
		given++
	}
	require.Greater(t, given, 10)
	require.Less(t, given, 1000, "no more than the places that come free")
	wait, ok := s.Give(start, promise.Model{Service: "llm", Name: "small"}, caller(0), interval, promise.Latest)
	require.True(t, ok)
	require.Less(t, wait, last, "other groups have places of their own")
}

// A caller that has less time left than the wait would not come back, and its place would
// stay empty.
func TestNothingIsPromisedBeyondWhatACallerWaits(t *testing.T) {
	var s promise.Schedule
	_, ok := s.Give(start, model, caller(0), interval, 100*time.Millisecond)
	require.False(t, ok)
	_, ok = s.Give(start, model, caller(0), 0, promise.Latest)
	require.False(t, ok, "no group, no place")
	require.Equal(t, promise.Counts{}, s.Counts())
}

// A place that is kept for too long serves nobody.
func TestPlacesAreKeptAroundTheirTime(t *testing.T) {
	var s promise.Schedule
	wait, ok := s.Give(start, model, caller(0), interval, promise.Latest)
	require.True(t, ok)
	kept := func(at time.Time) int {
		places, own := s.Kept(at, model, caller(1))
		require.False(t, own)
		return places
	}
	at := start.Add(wait)
	require.Zero(t, kept(start))
	require.Zero(t, kept(at.Add(-200*time.Millisecond)))
	require.Equal(t, 1, kept(at.Add(-time.Millisecond)))
	require.Equal(t, 1, kept(at.Add(100*time.Millisecond)))
	require.Zero(t, kept(at.Add(200*time.Millisecond)))
	require.Equal(t, promise.Counts{Given: 1, Unclaimed: 1}, s.Counts())
	require.False(t, s.Take(at.Add(200*time.Millisecond), model, caller(0)))
}

// A caller gets its place once; a second request must not take a place of others.
func TestPlaceIsTakenOnce(t *testing.T) {
	var s promise.Schedule
	wait, _ := s.Give(start, model, caller(0), interval, promise.Latest)
	at := start.Add(wait)
	_, own := s.Kept(at, model, caller(0))
	require.True(t, own)
	require.True(t, s.Take(at, model, caller(0)))
	require.False(t, s.Take(at, model, caller(0)))
	_, own = s.Kept(at, model, caller(0))
	require.False(t, own)
	require.Equal(t, promise.Counts{Given: 1, Kept: 1}, s.Counts())
}

// Callers that return at once, again and again, would fill the schedule and gain the
// earliest of many places.
func TestCallerThatReturnsEarlyGetsALaterPlaceInstead(t *testing.T) {
	var s promise.Schedule
	first, _ := s.Give(start, model, caller(0), interval, promise.Latest)
	_, own := s.Kept(start.Add(time.Millisecond), model, caller(0))
	require.False(t, own, "its time hasn't come")
	again, ok := s.Give(start.Add(time.Millisecond), model, caller(0), interval, promise.Latest)
	require.True(t, ok)
	require.Greater(t, again+time.Millisecond, first)
	_, own = s.Kept(start.Add(first), model, caller(0))
	require.False(t, own, "the first place is no longer kept")
}

// Callers of one account often ask for the same size. Each gets a time of its own, and
// finds its place then.
func TestCallersOfOneSizeEachFindTheirPlaces(t *testing.T) {
	var s promise.Schedule
	var waits []time.Duration
	for range 10 {
		wait, ok := s.Give(start, model, caller(0), interval, promise.Latest)
		require.True(t, ok)
		waits = append(waits, wait)
	}
	refused := 0
	for _, wait := range waits {
		if _, own := s.Kept(start.Add(wait), model, caller(0)); !own {
			refused++
			continue
		}
		s.Take(start.Add(wait), model, caller(0))
	}
	require.LessOrEqual(t, refused, 1, "one in ten")
}

// Room for less urgent callers must not keep more urgent ones out.
func TestLessUrgentPlacesAreNotKeptFromMoreUrgentCallers(t *testing.T) {
	var s promise.Schedule
	wait, _ := s.Give(start, model, caller(0), interval, promise.Latest)
	for urgency, kept := range []int{0, 1, 1} {
		places, _ := s.Kept(start.Add(wait), model, promise.Caller{Account: "mail", Urgency: urgency})
		require.Equal(t, kept, places, "urgency %d", urgency)
	}
}

// BenchmarkGive measures the promise and the taking of a place with a full schedule.
func BenchmarkGive(b *testing.B) {
	var s promise.Schedule
	now := start
	for i := range b.N {
		s.Kept(now, model, caller(i))
		s.Give(now, model, caller(i), interval, promise.Latest)
		s.Take(now, model, promise.Caller{Account: "mail" + strconv.Itoa(i%20)})
		now = now.Add(interval)
	}
}
