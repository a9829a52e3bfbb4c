package balance_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/balance"
	"redwinghall/fleet"
)

// A zone loses its groups. Each of its 27 nodes has a prompt at the same
// moment, and all choose the emptiest group of the next zone: 27 prompts wait
// for each other there, and most are late. Where that zone is asked, it takes
// what it can serve in time and spreads it over its groups.
func TestReserveSpreadsAndRefuses(t *testing.T) {
	const nodes = 27
	heads := []*fleet.Endpoint{head("one", "b", "large"), head("two", "b", "large")}
	zone := balance.NewTracker()
	reserved := map[string]int{}
	unasked := 0
	for i := range nodes {
		far := ask()
		far.Nodes, far.ZoneNodes = 2*nodes, nodes
		if _, none := balance.NewTracker().Group(start, heads, nil, far); none == nil {
			unasked++
		}
		request := ask()
		request.Zone, request.ZoneNodes = "b", nodes
		if choice, none := zone.Reserve(start.Add(time.Duration(i)*time.Millisecond), heads, nil, request); none == nil {
			require.LessOrEqual(t, choice.Predicted, request.Objective)
			reserved[choice.Endpoint.ID]++
		}
	}
	require.Equal(t, nodes, unasked, "each node alone sees two empty groups")
	require.Less(t, reserved["one"]+reserved["two"], nodes)
	require.InDelta(t, reserved["one"], reserved["two"], 1)
}

// A reservation counts until the other zone has told of the stream itself;
// counted for longer, a group would look full of streams that are long gone.
func TestReservationEnds(t *testing.T) {
	heads := []*fleet.Endpoint{head("one", "a", "large")}
	zone := balance.NewTracker()
	taken := func(at time.Time) (n int) {
		for {
			if _, none := zone.Reserve(at, heads, nil, ask()); none != nil {
				return n
			}
			n++
		}
	}
	first := taken(start)
	require.Positive(t, first)
	require.Equal(t, first, zone.Own(start)["one"].Requests, "the zone's other nodes hear of it")
	require.Zero(t, taken(start.Add(300*time.Millisecond)))
	require.Equal(t, first, taken(start.Add(500*time.Millisecond)))
}

// A cold group falls over when a zone offers it to all others.
func TestReserveOffersNoColdGroup(t *testing.T) {
	cold := head("cold", "a", "large")
	cold.Cold = 3 * time.Second
	_, none := balance.NewTracker().Reserve(start, []*fleet.Endpoint{cold}, nil, ask())
	require.NotNil(t, none)
}

// Streams wait for events that never come, and a group looks as if it stood
// still, because a visit that was not made still counts.
func TestWithdrawnVisitLeavesNothing(t *testing.T) {
	tracker := balance.NewTracker()
	e := head("one", "a", "large")
	choice, none := tracker.Group(start, []*fleet.Endpoint{e}, nil, ask())
	require.Nil(t, none)
	choice.Visit.Withdraw()
	require.Equal(t, balance.Snapshot{Slow: 1}, tracker.Snapshot(start, e))
	require.Zero(t, choice.Visit.Silent(start.Add(time.Second)))
}

func TestZonesThatAreFullAreLeftOut(t *testing.T) {
	var heads []*fleet.Endpoint
	for i, zone := range []string{"b", "c"} {
		heads = append(heads, head("h"+strconv.Itoa(i), zone, "large"))
	}
	tracker := balance.NewTracker()
	choice, none := tracker.Group(start, heads, nil, ask().WithZoneFull("b"))
	require.Nil(t, none)
	require.Equal(t, "c", choice.Endpoint.Zone)
	_, none = tracker.Group(start, heads, nil, ask().WithZoneFull("b").WithZoneFull("c"))
	require.NotNil(t, none)
}

// A zone has no group of a model, and the other zones have no room. Callers were
// told that no endpoint exists, and to stay away for longer than where one is
// merely busy; those who explain it looked for lost groups. Cause: endpoints
// that were passed by didn't count as endpoints. The same where all were left
// alone after failed connections.
func TestRefusalTellsWhyNothingWasFound(t *testing.T) {
	heads := []*fleet.Endpoint{head("one", "b", "large"), head("two", "c", "large")}
	refusal := func(tracker *balance.Tracker, heads []*fleet.Endpoint, one balance.Ask) *balance.Refusal {
		_, none := tracker.Group(start, heads, nil, one)
		require.NotNil(t, none)
		return none
	}
	full := refusal(balance.NewTracker(), heads, ask().WithZoneFull("b").WithZoneFull("c"))
	require.Equal(t, balance.Overloaded, full.Reason)

	silent := balance.NewTracker()
	silent.Unreachable(start, "one")
	silent.Unreachable(start, "two")
	unreachable := refusal(silent, heads, ask())
	require.Equal(t, balance.Unreachable, unreachable.Reason)

	missing := refusal(balance.NewTracker(), nil, ask())
	require.Equal(t, balance.NoEndpoint, missing.Reason)
	require.Less(t, full.RetryAfter, missing.RetryAfter)
	require.Less(t, unreachable.RetryAfter, missing.RetryAfter)
}
