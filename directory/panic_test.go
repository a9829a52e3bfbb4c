package directory_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/directory"
	"redwinghall/fleet"
	"redwinghall/kernel"
)

// panickingStore panics at the call with a given number.
type panickingStore struct {
	fleet.Store
	left atomic.Int32 // calls until the panic
}

func (s *panickingStore) call() {
	if s.left.Add(-1) == 0 {
		panic("answer")
	}
}

// List implements fleet.Store.
func (s *panickingStore) List(ctx context.Context, table string) (fleet.Rows, error) {
	s.call()
	return s.Store.List(ctx, table)
}

// Changes implements fleet.Store.
func (s *panickingStore) Changes(ctx context.Context, table string, after fleet.Position, wait time.Duration) (fleet.Rows, error) {
	s.call()
	return s.Store.Changes(ctx, table, after, wait)
}

// An answer of the store that makes a follower panic must neither end the process, nor what is known, nor
// the following.
func TestFollowerContinuesAfterAPanic(t *testing.T) {
	for _, calls := range []int32{1, 2, 3, 4, 5} {
		synctest.Test(t, func(t *testing.T) {
			store := &fakeStore{}
			store.set(7, "", entry(t, "a", 5))
			panicking := &panickingStore{Store: store}
			panicking.left.Store(calls)
			cache, stop := follow(t, panicking)
			defer stop()
			time.Sleep(5 * time.Second)
			require.Contains(t, cache.View().Endpoints, "a")
			store.set(9, "", entry(t, "a", 5), entry(t, "b", 9))
			time.Sleep(5 * time.Second)
			require.Len(t, cache.View().Endpoints, 2)
			require.Equal(t, fleet.Position{Version: 9}, cache.Read())
			require.Negative(t, panicking.left.Load(), "the store was called often enough")
		})
	}
}

// A row that panics whenever it is read must not keep any node from the rows behind it.
func TestRowThatPanicsDoesNotHoldBackItsTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{}
		store.set(7, "", entry(t, "a", 5), entry(t, "bad", 6), entry(t, "b", 7))
		cache := directory.NewCache()
		follower := directory.NewFollower(store, cache, nil)
		follower.PanicOnEntry("bad")
		g := kernel.NewGroup(context.Background())
		follower.Start(g)
		time.Sleep(5 * time.Second)
		require.Contains(t, cache.View().Endpoints, "a")
		require.Contains(t, cache.View().Endpoints, "b", "in the same list")
		store.set(9, "", entry(t, "a", 5), entry(t, "bad", 8), entry(t, "c", 9))
		time.Sleep(5 * time.Second)
		require.Contains(t, cache.View().Endpoints, "c", "in the same response with changes")
		require.NotContains(t, cache.View().Endpoints, "bad")
		require.Equal(t, fleet.Position{Version: 9}, cache.Read())
		g.Stop()
		require.NoError(t, g.Wait())
	})
}

func TestChangeThatPanicsDoesNotHoldBackOthers(t *testing.T) {
	var applied []string
	directory.ApplyEach([]directory.Change{{Gone: "a"}, {Gone: "bad"}, {Gone: "b"}}, func(change directory.Change) {
		if change.Gone == "bad" {
			panic(change.Gone)
		}
		applied = append(applied, change.Gone)
	})
	require.Equal(t, []string{"a", "b"}, applied)
}
