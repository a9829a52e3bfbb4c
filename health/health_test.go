package health_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall"
	"redwinghall/health"
	"redwinghall/peer"
)

const bound = 2 * time.Second

var start = time.Date(2026, 1, 14, 5, 0, 0, 0, time.UTC)

func pair() redwinghall.Group {
	return redwinghall.Group{
		ID: "g", Generation: 3,
		Members: []redwinghall.Member{{VM: "a", Address: "a:1"}, {VM: "b", Address: "b:1"}},
	}
}

func report(startID string) redwinghall.Report {
	return redwinghall.Report{StartID: startID, Group: "g", Generation: 3, Ready: true}
}

func TestTrackerHealth(t *testing.T) {
	at := start.Add
	tests := []struct {
		name    string
		polls   func(*health.Tracker)
		now     time.Time
		healthy bool
	}{
		{"no member seen", func(*health.Tracker) {}, start, false},
		{"one member never seen", func(tr *health.Tracker) {
			tr.Observe(0, report("s"), start)
		}, start, false},
		{"both seen", func(tr *health.Tracker) {
			tr.Observe(0, report("s"), start)
			tr.Observe(1, report("t"), start)
		}, at(time.Second), true},
		{"one silent for longer than the bound", func(tr *health.Tracker) {
			tr.Observe(0, report("s"), start)
			tr.Observe(1, report("t"), start)
			tr.Observe(0, report("s"), at(3*time.Second))
		}, at(3 * time.Second), false},
		{"one restarted under the same address", func(tr *health.Tracker) {
			tr.Observe(0, report("s"), start)
			tr.Observe(1, report("t"), start)
			tr.Observe(1, report("new"), at(time.Second))
		}, at(time.Second), false},
		{"one taken into another group", func(tr *health.Tracker) {
			tr.Observe(0, report("s"), start)
			tr.Observe(1, report("t"), start)
			tr.Observe(1, redwinghall.Report{StartID: "t", Group: "other", Generation: 1, Ready: true}, at(time.Second))
		}, at(time.Second), false},
		{"one refuses connections", func(tr *health.Tracker) {
			tr.Observe(0, report("s"), start)
			tr.Observe(1, report("t"), start)
			tr.Observe(0, report("s"), at(time.Second))
			tr.ObserveRefusal(at(time.Second))
		}, at(time.Second), false},
		{"one refused connections and answers again", func(tr *health.Tracker) {
			tr.Observe(0, report("s"), start)
			tr.Observe(1, report("t"), start)
			tr.ObserveRefusal(at(time.Second))
			tr.Observe(0, report("s"), at(1500*time.Millisecond))
			tr.Observe(1, report("t"), at(1500*time.Millisecond))
		}, at(1500 * time.Millisecond), true},
		{"still loading", func(tr *health.Tracker) {
			r := report("s")
			r.Ready = false
			tr.Observe(0, r, start)
			tr.Observe(1, report("t"), start)
		}, start, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tracker := health.NewTracker(pair())
			tt.polls(tracker)
			require.Equal(t, tt.healthy, tracker.Health().Healthy(pair(), tt.now, bound))
		})
	}
}

// Guards against requests being sent to a replica whose second VM has just died.
// Both members are seen, one process dies, the next poll is refused, and then an
// older health record arrives from another router. Without the refusal on record,
// the group would count as healthy until its last observation expired.
func TestRefusedMemberTakesGroupOutAtOnce(t *testing.T) {
	cache := peer.NewHealthCache()
	tracker := health.NewTracker(pair())
	tracker.Observe(0, report("s"), start)
	tracker.Observe(1, report("t"), start)
	cache.Merge(tracker.Health())
	stale := tracker.Health()

	now := start.Add(500 * time.Millisecond)
	tracker.Observe(0, report("s"), now)
	tracker.ObserveRefusal(now)
	require.True(t, cache.Merge(tracker.Health()), "peers must receive it at once")
	cache.Merge(stale)

	merged, ok := cache.Get("g")
	require.True(t, ok)
	require.False(t, merged.Healthy(pair(), now, bound))
}

// Guards against requests being sent to a broken replica. A member restarts and the
// group is found broken; then a health record sent before the restart arrives from
// a peer. It must not make the group healthy again.
func TestBrokenIsFinalForItsGeneration(t *testing.T) {
	cache := peer.NewHealthCache()
	broken := redwinghall.GroupHealth{Group: "g", Generation: 3, Broken: true, Ready: true, SeenAt: start}
	require.True(t, cache.Merge(broken))
	require.False(t, cache.Merge(broken), "the group was broken already")
	cache.Merge(redwinghall.GroupHealth{Group: "g", Generation: 3, Ready: true, SeenAt: start.Add(time.Second)})
	merged, _ := cache.Get("g")
	require.False(t, merged.Healthy(pair(), start.Add(time.Second), bound))

	cache.Merge(redwinghall.GroupHealth{Group: "g", Generation: 4, Ready: true, SeenAt: start.Add(2 * time.Second)})
	merged, _ = cache.Get("g")
	require.True(t, merged.Healthy(pair().WithGeneration(4), start.Add(2*time.Second), bound))
}
