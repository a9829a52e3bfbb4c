package directory_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

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
