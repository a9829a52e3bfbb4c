package directory_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/fleet"
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
