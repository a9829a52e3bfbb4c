package directory_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/directory"
	"redwinghall/fleet"
)

// goBack lets the store come back from an older copy, in which its next version is one that
// it had given out before.
func (s *script) goBack(version int64, rows ...fleet.Row) {
	s.set(version, "", rows...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
}

// An endpoint leaves after the store came back older. The version of that entry is below the
// ones that were read before, and requests go to it until it ends.
func TestFollowerGoesOnAfterTheStoreWentBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &script{era: 1}
		store.set(90, "", entry(t, "a", 3), entry(t, "b", 80))
		book, stop := follow(t, store)
		defer stop()
		time.Sleep(3 * time.Second)
		store.goBack(50, entry(t, "a", 3), entry(t, "b", 40))
		time.Sleep(3 * time.Second)
		require.Equal(t, fleet.Position{Era: 2, Version: 50}, book.Read())
		lists := store.listed()
		store.set(51, "", entry(t, "a", 3), fleet.Row{Table: "servers", Key: "b", Version: 51, Removed: true})
		time.Sleep(3 * time.Second)
		require.NotContains(t, book.View().Endpoints, "b")
		require.Equal(t, lists, store.listed(), "by changes, not by lists")
	})
}

func (s *script) listed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lists
}

// An endpoint had said that it leaves, another was gone, and a zone was taken out; the store
// comes back from before that. None of it comes undone until it is written again.
func TestRestoredCopyUndoesNothingAtOnce(t *testing.T) {
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
	newBook := func() *directory.Book {
		book := directory.NewBook()
		book.Apply(start, directory.Change{Endpoint: leaving}, directory.Change{Endpoint: gone}, directory.Change{ZoneOut: "a"})
		book.Apply(start.Add(time.Second), directory.Change{Gone: "gone"})
		book.StoreReturned(back)
		book.Apply(back, restored(directory.Change{Endpoint: ready}, directory.Change{Endpoint: gone}, directory.Change{ZoneIn: "a"})...)
		require.Equal(t, fleet.EndpointDraining, book.View().Endpoints["leaving"].State)
		require.NotContains(t, book.View().Endpoints, "gone")
		require.True(t, book.View().ZonesOut["a"])
		return book
	}

	book := newBook()
	book.Apply(back.Add(time.Second), directory.Change{Gone: "gone"}, directory.Change{ZoneOut: "a"})
	book.Expire(back.Add(time.Minute))
	require.NotContains(t, book.View().Endpoints, "gone", "its entry was removed again")
	require.True(t, book.View().ZonesOut["a"], "it was taken out again")

	book = newBook()
	book.Expire(back.Add(directory.RestoredGrace))
	require.Contains(t, book.View().Endpoints, "gone", "it must live, as its entry is still there")
	require.False(t, book.View().ZonesOut["a"], "nobody took it out again")
	later := *ready
	later.Sequence = 12
	book.Apply(back.Add(time.Second), directory.Change{Endpoint: &later})
	require.Equal(t, fleet.EndpointReady, book.View().Endpoints["leaving"].State, "it says so itself")

	book = newBook()
	reborn := *gone
	reborn.StartedMillis = 6
	book.Apply(back.Add(time.Second), restored(directory.Change{Endpoint: &reborn})...)
	require.Contains(t, book.View().Endpoints, "gone", "it started again")
}

// The same through the follower: the first list of a new era is held against what is known.
func TestFollowerHoldsARestoredListAgainstWhatIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		entry := func(id, state string, written, version int64) fleet.Row {
			value := fmt.Sprintf(`{"service":"s","address":"%s:80","state":"%s","born":5,"sequence":%d}`, id, state, written)
			return fleet.Row{Table: "servers", Key: id, Value: []byte(value), Version: version}
		}
		store := &script{era: 1}
		store.set(90, "", entry("a", "draining", 9, 88), entry("b", "ready", 4, 80))
		book, stop := follow(t, store)
		defer stop()
		time.Sleep(3 * time.Second)
		store.goBack(50, entry("a", "ready", 7, 45), entry("b", "ready", 4, 40))
		time.Sleep(3 * time.Second)
		require.Equal(t, fleet.EndpointDraining, book.View().Endpoints["a"].State)
		store.set(51, "", entry("a", "ready", 12, 51), entry("b", "ready", 4, 40))
		time.Sleep(3 * time.Second)
		require.Equal(t, fleet.EndpointReady, book.View().Endpoints["a"].State)
	})
}
