package directory_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/directory"
	"redwinghall/fleet"
)

// restore restores the store from an older copy, so that its next version is one that it had
// assigned before.
func (s *fakeStore) restore(version int64, rows ...fleet.Row) {
	s.set(version, "", rows...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
}

// An endpoint leaves after the store was restored from an older copy. The version of that
// change is below versions that were read before. If the follower ignored it, requests
// would be sent to the endpoint until it exits.
func TestFollowerFollowsChangesAfterStoreRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{era: 1}
		store.set(90, "", entry(t, "a", 3), entry(t, "b", 80))
		cache, stop := follow(t, store)
		defer stop()
		time.Sleep(3 * time.Second)
		store.restore(50, entry(t, "a", 3), entry(t, "b", 40))
		time.Sleep(3 * time.Second)
		require.Equal(t, fleet.Position{Era: 2, Version: 50}, cache.Read())
		lists := store.listed()
		store.set(51, "", entry(t, "a", 3), fleet.Row{Table: "servers", Key: "b", Version: 51, Removed: true})
		time.Sleep(3 * time.Second)
		require.NotContains(t, cache.View().Endpoints, "b")
		require.Equal(t, lists, store.listed(), "the change is read without a new list")
	})
}

func (s *fakeStore) listed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lists
}

// One endpoint is draining, another is gone, and a zone is taken out; then the store is
// restored from a copy from before that. None of these changes may be undone until the
// entry is written again or the grace is over.
func TestRestoredCopyUndoesNothingBeforeItsGrace(t *testing.T) {
	leaving := endpoint("leaving")
	leaving.StartedMillis, leaving.Sequence, leaving.State = 5, 9, fleet.EndpointDraining
	ready := endpoint("leaving")
	ready.StartedMillis, ready.Sequence = 5, 7
	gone := endpoint("gone")
	gone.StartedMillis, gone.Sequence = 5, 3
	restored := func(changes ...directory.Change) []directory.Change {
		for i := range changes {
			changes[i].Restored = true
		}
		return changes
	}
	back := start.Add(10 * time.Second)
	newCache := func() *directory.Cache {
		cache := directory.NewCache()
		cache.Apply(start, directory.Change{Endpoint: leaving}, directory.Change{Endpoint: gone}, directory.Change{ZoneOut: "a"})
		cache.Apply(start.Add(time.Second), directory.Change{Gone: "gone"})
		cache.Apply(back, restored(directory.Change{Endpoint: ready}, directory.Change{Endpoint: gone}, directory.Change{ZoneIn: "a"})...)
		require.Equal(t, fleet.EndpointDraining, cache.View().Endpoints["leaving"].State)
		require.NotContains(t, cache.View().Endpoints, "gone")
		require.True(t, cache.View().ZonesOut["a"])
		return cache
	}

	cache := newCache()
	cache.Apply(back.Add(time.Second), directory.Change{Gone: "gone"}, directory.Change{ZoneOut: "a"})
	cache.Expire(back.Add(time.Minute))
	require.NotContains(t, cache.View().Endpoints, "gone", "its entry has been removed again")
	require.True(t, cache.View().ZonesOut["a"], "the zone has been taken out again")

	cache = newCache()
	cache.Expire(back.Add(directory.RestoredGrace))
	require.Contains(t, cache.View().Endpoints, "gone", "it must be alive, as its entry is still there")
	require.False(t, cache.View().ZonesOut["a"], "nobody has taken the zone out again")
	later := *ready
	later.Sequence = 12
	cache.Apply(back.Add(time.Second), directory.Change{Endpoint: &later})
	require.Equal(t, fleet.EndpointReady, cache.View().Endpoints["leaving"].State, "the endpoint wrote a newer entry")

	cache = newCache()
	restarted := *gone
	restarted.StartedMillis = 6
	cache.Apply(back.Add(time.Second), restored(directory.Change{Endpoint: &restarted})...)
	require.Contains(t, cache.View().Endpoints, "gone", "the endpoint has restarted")
}

// The first list that a follower reads in a new era must not override newer known entries.
func TestFollowerKeepsNewerStateThanARestoredList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		entry := func(id, state string, written, version int64) fleet.Row {
			return fleet.Row{Table: "servers", Key: id, Value: entryValue(state, 5, written), Version: version}
		}
		store := &fakeStore{era: 1}
		store.set(90, "", entry("a", "draining", 9, 88), entry("b", "ready", 4, 80))
		cache, stop := follow(t, store)
		defer stop()
		time.Sleep(3 * time.Second)
		store.restore(50, entry("a", "ready", 7, 45), entry("b", "ready", 4, 40))
		time.Sleep(3 * time.Second)
		require.Equal(t, fleet.EndpointDraining, cache.View().Endpoints["a"].State)
		store.set(51, "", entry("a", "ready", 12, 51), entry("b", "ready", 4, 40))
		time.Sleep(3 * time.Second)
		require.Equal(t, fleet.EndpointReady, cache.View().Endpoints["a"].State)
	})
}
