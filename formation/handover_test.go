package formation_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/directory"
	"redwinghall/fleet"
)

// withOlderCopy gives the farm a book in which nobody belongs to a group, read up to a
// position. It returns the one that it had, and that one.
func (f *farm) withOlderCopy(at fleet.Position) (current, older *directory.Cache) {
	f.mu.Lock()
	defer f.mu.Unlock()
	current, older = f.book, directory.NewCache()
	older.Apply(time.Now(), directory.Change{Config: current.View().Config()})
	for _, e := range current.View().Endpoints {
		free := *e
		free.Member, free.Models = fleet.Membership{}, nil
		older.Apply(time.Now(), directory.Change{Endpoint: &free})
	}
	older.NoteRead(at)
	f.book = older
	return current, older
}

// Callers' streams stand still right after a node was stopped. The old holder
// had opened a group and given the lease up; the new one's copy of the entries
// was older than that. It saw the members without a group and joined them to
// others while their head served.
func TestNewHolderWaitsForTheEntriesOfItsTime(t *testing.T) {
	play(t, func(t *testing.T, f *farm, n *node) {
		n.holds = false
		current, old := f.withOlderCopy(fleet.Position{Version: 99})
		next := manage(f, false)
		defer next.stop(t)
		next.begun, next.heldFrom = true, fleet.Position{Version: 100}
		time.Sleep(10 * time.Second)
		f.mu.Lock()
		require.Empty(t, f.broken)
		f.mu.Unlock()
		require.True(t, next.manager.Pending(), "its node reads the entries sooner")
		for _, e := range current.View().Endpoints {
			old.Apply(time.Now(), directory.Change{Endpoint: e})
		}
		old.NoteRead(fleet.Position{Version: 100})
		time.Sleep(10 * time.Second)
		require.Len(t, f.whole("large"), 2)
		require.Len(t, f.whole("small"), 2)
	})
}

// The store comes back from a copy in which the members of an open group belong to none. Who
// holds the lease then waits until they have written again.
func TestHolderWaitsUntilAReturnedStoreIsSettled(t *testing.T) {
	play(t, func(t *testing.T, f *farm, n *node) {
		n.holds = false
		current, restored := f.withOlderCopy(fleet.Position{Era: 1, Version: 50})
		next := manage(f, false)
		defer next.stop(t)
		next.begun, next.unsettled, next.heldFrom = true, true, fleet.Position{Era: 1, Version: 40}
		time.Sleep(4 * time.Second)
		f.mu.Lock()
		require.Empty(t, f.broken)
		f.mu.Unlock()
		for _, e := range current.View().Endpoints {
			restored.Apply(time.Now(), directory.Change{Endpoint: e})
		}
		next.unsettled = false
		time.Sleep(10 * time.Second)
		require.Len(t, f.whole("large"), 2)
		require.Len(t, f.whole("small"), 2)
	})
}

// Entries come while the holder is about to plan: by the time of its check it has read up to
// its lease, and goes on by a view that it took before.
func TestHolderPlansByWhatItChecked(t *testing.T) {
	play(t, func(t *testing.T, f *farm, n *node) {
		n.holds = false
		current, old := f.withOlderCopy(fleet.Position{Version: 99})
		next := manage(f, false)
		defer next.stop(t)
		next.begun, next.heldFrom = true, fleet.Position{Version: 100}
		next.onHolds = func() {
			for _, e := range current.View().Endpoints {
				old.Apply(time.Now(), directory.Change{Endpoint: e})
			}
			old.NoteRead(fleet.Position{Version: 100})
			next.onHolds = nil
		}
		time.Sleep(10 * time.Second)
		require.Len(t, f.whole("large"), 2)
		require.Len(t, f.whole("small"), 2)
	})
}
