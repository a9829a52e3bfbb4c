package balance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/balance"
	"redwinghall/fleet"
)

func roomOf(t *balance.Tracker, zone string, out map[string]bool, heads ...*fleet.Endpoint) balance.ZoneRoom {
	return t.RoomOfZone(start, heads, out, zone, balance.Request{
		Service: fleet.Service{Name: "llm", Engine: zoneEngine()}, Model: zoneEngine().Models[0], Zone: "a", Prompt: 854,
		Objective: zoneObjective, Nodes: 20, ZoneNodes: 10, Node: "n", IsDispatcher: true,
	})
}

// A zone that comes back from an evacuation has room once its groups are warm.
func TestRoomOfZone(t *testing.T) {
	cold := head("1", "a", "small")
	cold.Cold = time.Second
	other := head("2", "b", "small")
	tracker := balance.NewTracker()
	require.Zero(t, roomOf(tracker, "a", nil, cold, other).PerSecond)
	require.Zero(t, roomOf(tracker, "a", map[string]bool{"a": true}, head("1", "a", "small")).PerSecond)
	warm := roomOf(tracker, "a", nil, head("1", "a", "small"), other)
	require.Positive(t, warm.Free)
	require.InDelta(t, 12, warm.PerSecond, 1.5)
}

// A group that gets no first event out in time has no room.
func TestRoomOfSlowGroup(t *testing.T) {
	tracker := balance.NewTracker()
	group := head("1", "a", "small")
	fast := roomOf(tracker, "a", nil, group)
	tracker.SetOwnZoneLoads(start, map[string]balance.Load{"1": {Requests: 13, Unstarted: 13, Unread: 60_000}})
	full := roomOf(tracker, "a", nil, group)
	require.Positive(t, fast.Free)
	require.Zero(t, full.Free)
}
