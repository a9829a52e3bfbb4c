package balance_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/balance"
	"redwinghall/fleet"
)

// A zone loses its groups. Each of its 27 nodes has a prompt at the same time, and
// without reservations all choose the emptiest group of the next zone: 27 prompts
// queue there, and most are late. With reservations that zone accepts only what it
// can serve in time and spreads it over its groups.
func TestReserveSpreadsAndRefuses(t *testing.T) {
	const nodes = 27
	heads := []*fleet.Endpoint{head("one", "b", "large"), head("two", "b", "large")}
	zone := balance.NewTracker()
	reserved := map[string]int{}
	unreserved := 0
	for i := range nodes {
		far := newRequest()
		far.Nodes, far.ZoneNodes = 2*nodes, nodes
		if _, refusal := balance.NewTracker().ChooseGroup(start, heads, nil, far); refusal == nil {
			unreserved++
		}
		request := newRequest()
		request.Zone, request.ZoneNodes = "b", nodes
		if choice, refusal := zone.Reserve(start.Add(time.Duration(i)*time.Millisecond), heads, nil, request, balance.Requester{}); refusal == nil {
			require.LessOrEqual(t, choice.Predicted, request.Objective)
			reserved[choice.Endpoint.ID]++
		}
	}
	require.Equal(t, nodes, unreserved, "each node alone sees two empty groups")
	require.Less(t, reserved["one"]+reserved["two"], nodes)
	require.InDelta(t, reserved["one"], reserved["two"], 1)
}

// A stream that the dispatcher placed for another node counts as a reservation until
// that node's own loads include it. Counted twice from then on, a group would look
// full, and callers would be refused although it has free slots.
func TestReservationIsReleasedByItsNode(t *testing.T) {
	heads := []*fleet.Endpoint{head("one", "a", "large")}
	dispatcher, node := balance.NewTracker(), balance.NewTracker()
	choose := func() uint64 {
		ticket := node.Tickets.Open()
		choice, refusal := dispatcher.Reserve(start, heads, nil, newRequest(), balance.Requester{Node: "n2", Ticket: ticket})
		require.Nil(t, refusal)
		node.AcceptChoice(start, choice.Endpoint, newRequest(), choice.Predicted)
		return ticket
	}
	first, second := choose(), choose()
	share := func() int {
		lowestOpen := node.Tickets.LowestOpen()
		dispatcher.SetOwnZoneLoads(start, node.OwnLoads(start))
		dispatcher.ReleaseReservations("n2", lowestOpen)
		return dispatcher.Snapshot(start, heads[0]).Running
	}
	node.Tickets.Close(second)
	require.Equal(t, 4, share(), "the node's loads may not include the first yet, so neither is released")
	node.Tickets.Close(first)
	require.Equal(t, 2, share())
	other := choose()
	dispatcher.ReleaseReservations("n3", other+1)
	require.Equal(t, 3, dispatcher.Snapshot(start, heads[0]).Running, "a node releases no reservations of another node")
	require.Equal(t, 2, dispatcher.Snapshot(start.Add(2*time.Second), heads[0]).Running+2, "reservations of a silent node expire")
}

// Nodes report to the dispatcher that a group's head doesn't answer them. A single
// node's report doesn't count, as that node may itself be partitioned.
func TestFailureReportsOfTwoNodesCount(t *testing.T) {
	heads := []*fleet.Endpoint{head("one", "a", "large")}
	tracker := balance.NewTracker()
	inBackoff := func(at time.Time) bool { return len(tracker.InBackoff(at, heads)) == 1 }
	tracker.RecordFailureReport(start, "one", "n2")
	tracker.RecordFailureReport(start.Add(10*time.Millisecond), "one", "n2")
	require.False(t, inBackoff(start.Add(20*time.Millisecond)))
	tracker.RecordFailureReport(start.Add(2*time.Second), "one", "n3")
	require.False(t, inBackoff(start.Add(2*time.Second)), "the first report has expired")
	tracker.RecordFailureReport(start.Add(2100*time.Millisecond), "one", "n2")
	require.True(t, inBackoff(start.Add(2110*time.Millisecond)))
	require.False(t, inBackoff(start.Add(3*time.Second)), "it is retried")
}

// A reservation counts until the other zone has shared the stream as part of its
// load. Counted for longer, a group would look full of streams that have ended.
func TestReservationExpires(t *testing.T) {
	heads := []*fleet.Endpoint{head("one", "a", "large")}
	zone := balance.NewTracker()
	fill := func(at time.Time) (n int) {
		for {
			if _, refusal := zone.Reserve(at, heads, nil, newRequest(), balance.Requester{}); refusal != nil {
				return n
			}
			n++
		}
	}
	first := fill(start)
	require.Positive(t, first)
	require.Equal(t, first, zone.OwnLoads(start)["one"].Requests, "it is shared with the zone's other nodes")
	require.Zero(t, fill(start.Add(300*time.Millisecond)))
	require.Equal(t, first, fill(start.Add(500*time.Millisecond)))
}

// A cold group would be overloaded if its zone offered it to all others.
func TestReserveOffersNoColdGroup(t *testing.T) {
	cold := head("cold", "a", "large")
	cold.Cold = 3 * time.Second
	_, refusal := balance.NewTracker().Reserve(start, []*fleet.Endpoint{cold}, nil, newRequest(), balance.Requester{})
	require.NotNil(t, refusal)
}

// An attempt that was not sent must not count: it would wait for events that never
// come, and the group would look stalled.
func TestCanceledAttemptLeavesNothing(t *testing.T) {
	tracker := balance.NewTracker()
	e := head("one", "a", "large")
	choice, refusal := tracker.ChooseGroup(start, []*fleet.Endpoint{e}, nil, newRequest())
	require.Nil(t, refusal)
	choice.Attempt.Cancel()
	require.Equal(t, balance.Snapshot{Slowdown: 1}, tracker.Snapshot(start, e))
	require.Zero(t, choice.Attempt.TimeWithoutEvent(start.Add(time.Second)))
}

func TestFullZonesAreExcluded(t *testing.T) {
	var heads []*fleet.Endpoint
	for i, zone := range []string{"b", "c"} {
		heads = append(heads, head("h"+strconv.Itoa(i), zone, "large"))
	}
	tracker := balance.NewTracker()
	choice, refusal := tracker.ChooseGroup(start, heads, nil, newRequest().WithZoneFull("b"))
	require.Nil(t, refusal)
	require.Equal(t, "c", choice.Endpoint.Zone)
	_, refusal = tracker.ChooseGroup(start, heads, nil, newRequest().WithZoneFull("b").WithZoneFull("c"))
	require.NotNil(t, refusal)
}

// A zone has no group of a model, and the groups of the other zones are full or in
// backoff. If skipped endpoints didn't count, the refusal would be that no endpoint
// exists: callers would retry later than for a busy one, and operators would search
// for lost groups.
func TestRefusalSaysWhyNothingWasFound(t *testing.T) {
	heads := []*fleet.Endpoint{head("one", "b", "large"), head("two", "c", "large")}
	refusal := func(tracker *balance.Tracker, heads []*fleet.Endpoint, one balance.Request) *balance.Refusal {
		_, refusal := tracker.ChooseGroup(start, heads, nil, one)
		require.NotNil(t, refusal)
		return refusal
	}
	full := refusal(balance.NewTracker(), heads, newRequest().WithZoneFull("b").WithZoneFull("c"))
	require.Equal(t, balance.Overloaded, full.Reason)

	silent := balance.NewTracker()
	silent.MarkUnreachable(start, "one")
	silent.MarkUnreachable(start, "two")
	unreachable := refusal(silent, heads, newRequest())
	require.Equal(t, balance.Unreachable, unreachable.Reason)

	missing := refusal(balance.NewTracker(), nil, newRequest())
	require.Equal(t, balance.NoEndpoint, missing.Reason)
	require.Less(t, full.RetryAfter, missing.RetryAfter)
	require.Less(t, unreachable.RetryAfter, missing.RetryAfter)
}

// The dispatcher of a full zone returns the emptiest other zone: not the same one
// for all streams that come at the same time, and none once all are full.
func TestOtherZoneWithRoom(t *testing.T) {
	heads := []*fleet.Endpoint{head("own", "a", "large"), head("b", "b", "large"), head("c", "c", "large")}
	tracker := balance.NewTracker()
	tracker.SetOtherZoneLoads(start, map[string]balance.Load{"b": {Requests: 1}})
	named := map[string]int{}
	for range 100 {
		named[tracker.AlternativeZone(start, heads, nil, newRequest())]++
	}
	require.Zero(t, named["a"])
	require.Positive(t, named["b"])
	require.Positive(t, named["c"])
	require.Greater(t, named[""], 50)
}

// A zone takes streams of another zone that have ended for load until that zone shares its loads, and refuses callers.
func TestReservationEndsWithTheStreamItIsFor(t *testing.T) {
	for name, c := range map[string]struct {
		answer          float64 // usual length in tokens
		running, ticket int
	}{
		"short, other zone": {6, 0, 0}, "long, other zone": {150, 1, 0}, "short, own zone": {6, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			tracker, request := balance.NewTracker(), newRequest()
			request.Service.Engine.MeanAnswerTokens = c.answer
			placed, refused := tracker.Reserve(start, []*fleet.Endpoint{head("one", "a", "large")}, nil, request, balance.Requester{Node: "n2", Ticket: uint64(c.ticket)})
			require.Nil(t, refused)
			require.Equal(t, 1, tracker.Running(start.Add(placed.Predicted), "one"), "it has just begun")
			require.Equal(t, c.running, tracker.Running(start.Add(350*time.Millisecond), "one"))
		})
	}
}
