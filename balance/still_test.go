package balance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/balance"
	"redwinghall/fleet"
)

// A stream that has begun gets no event for longer than the longest pass: its head is still. Before that, and for
// streams that haven't begun, it isn't.
func TestProgressTellsStillHeads(t *testing.T) {
	pace := balance.NewPace(zoneEngine(), zoneEngine().Models[0], 1)
	paceOf := func(string, float64) (balance.Pace, bool) { return pace, true }
	ran := func(from, to time.Time) time.Duration { return to.Sub(from) }
	tracker := balance.NewTrackerWithRunTime(func(from, to time.Time) time.Duration { return ran(from, to) })
	now := start
	choice, refused := tracker.ChooseGroup(now, []*fleet.Endpoint{head("a", "a", "large")}, nil, newRequest())
	require.Nil(t, refused)
	require.Empty(t, tracker.Progress(now.Add(time.Second), paceOf), "it has not begun")
	choice.Attempt.RecordEvent(now, nil)
	after := balance.StillAfter(pace, 1)
	require.Equal(t, []string{"a"}, tracker.Progress(now.Add(after-time.Millisecond), paceOf).Moving)
	require.Equal(t, after, tracker.Progress(now.Add(after), paceOf).Still["a"])
	ran = func(time.Time, time.Time) time.Duration { return 0 } // this process stood still
	require.Empty(t, tracker.Progress(now.Add(time.Second), paceOf).Still)
}

// A still head gets a stream only if no other one would answer in time, and as before once it sends an event.
func TestStillHeadIsAvoided(t *testing.T) {
	tracker := balance.NewTracker()
	now := start
	first, refused := tracker.ChooseGroup(now, []*fleet.Endpoint{head("a", "a", "large")}, nil, newRequest())
	require.Nil(t, refused)
	tracker.MarkStill(now, "a")
	for range 5 {
		choice, refused := tracker.ChooseGroup(now, []*fleet.Endpoint{head("a", "a", "large"), head("b", "a", "large")}, nil, newRequest())
		require.Nil(t, refused)
		require.Equal(t, "b", choice.Endpoint.ID)
	}
	alone, refused := tracker.ChooseGroup(now, []*fleet.Endpoint{head("a", "a", "large")}, nil, newRequest())
	require.Nil(t, refused)
	require.Equal(t, "a", alone.Endpoint.ID)
	first.Attempt.RecordEvent(now, nil)
	choice, refused := tracker.ChooseGroup(now, []*fleet.Endpoint{head("a", "a", "large"), head("b", "a", "large")}, nil, newRequest())
	require.Nil(t, refused)
	require.Equal(t, "a", choice.Endpoint.ID)
}
