package formation_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/directory"
	"redwinghall/fleet"
)

// withOlderCopy replaces the fake zone's cache by one in which no endpoint belongs to a
// group, read up to a position. It returns the previous cache and the new one.
func (f *fakeZone) withOlderCopy(at fleet.Position) (current, older *directory.Cache) {
	f.mu.Lock()
	defer f.mu.Unlock()
	current, older = f.cache, directory.NewCache()
	older.Apply(time.Now(), directory.Change{Config: current.View().Config()})
	for _, e := range current.View().Endpoints {
		free := *e
		free.Member, free.Models = fleet.Membership{}, nil
		older.Apply(time.Now(), directory.Change{Endpoint: &free})
	}
	older.NoteRead(at)
	f.cache = older
	return current, older
}

// The old holder opens a group and gives up the lease as its node stops. The new holder's
// copy of the entries is older than that and shows the members without a group. If it
// joined them to others while their head serves, the group's streams would stall.
func TestNewHolderWaitsForEntriesAtItsLeasePosition(t *testing.T) {
	runDefault(t, func(t *testing.T, f *fakeZone, n *node) {
		n.holdsLease.Store(false)
		current, old := f.withOlderCopy(fleet.Position{Version: 99})
		next := manage(f, false)
		defer next.stop(t)
		next.trafficStarted.Store(true)
		next.set(func() { next.leasePosition = fleet.Position{Version: 100} })
		time.Sleep(10 * time.Second)
		f.mu.Lock()
		require.Empty(t, f.violations)
		f.mu.Unlock()
		require.True(t, next.manager.Pending(), "a pending manager makes its node read the entries sooner")
		for _, e := range current.View().Endpoints {
			old.Apply(time.Now(), directory.Change{Endpoint: e})
		}
		old.NoteRead(fleet.Position{Version: 100})
		time.Sleep(10 * time.Second)
		require.Len(t, f.servingHeads("large"), 2)
		require.Len(t, f.servingHeads("small"), 2)
	})
}

// The store is restored from a copy in which the members of an open group belong to no
// group. The lease holder must wait until they have written their entries again.
func TestHolderWaitsUntilRestoredStoreIsRecovered(t *testing.T) {
	runDefault(t, func(t *testing.T, f *fakeZone, n *node) {
		n.holdsLease.Store(false)
		current, restored := f.withOlderCopy(fleet.Position{Era: 1, Version: 50})
		next := manage(f, false)
		defer next.stop(t)
		next.trafficStarted.Store(true)
		next.set(func() { next.unrecovered, next.leasePosition = true, fleet.Position{Era: 1, Version: 40} })
		time.Sleep(4 * time.Second)
		f.mu.Lock()
		require.Empty(t, f.violations)
		f.mu.Unlock()
		for _, e := range current.View().Endpoints {
			restored.Apply(time.Now(), directory.Change{Endpoint: e})
		}
		next.set(func() { next.unrecovered = false })
		time.Sleep(10 * time.Second)
		require.Len(t, f.servingHeads("large"), 2)
		require.Len(t, f.servingHeads("small"), 2)
	})
}

// Entries arrive while the holder is about to plan. Its check finds that it has read up
// to its lease position, but it would plan from a view taken before the check.
func TestHolderPlansFromCheckedView(t *testing.T) {
	runDefault(t, func(t *testing.T, f *fakeZone, n *node) {
		n.holdsLease.Store(false)
		current, old := f.withOlderCopy(fleet.Position{Version: 99})
		next := manage(f, false)
		defer next.stop(t)
		next.trafficStarted.Store(true)
		next.set(func() { next.leasePosition = fleet.Position{Version: 100} })
		readLate := func() {
			for _, e := range current.View().Endpoints {
				old.Apply(time.Now(), directory.Change{Endpoint: e})
			}
			old.NoteRead(fleet.Position{Version: 100})
			next.set(func() { next.onLeaseCheck = nil })
		}
		next.set(func() { next.onLeaseCheck = readLate })
		time.Sleep(10 * time.Second)
		require.Len(t, f.servingHeads("large"), 2)
		require.Len(t, f.servingHeads("small"), 2)
	})
}
