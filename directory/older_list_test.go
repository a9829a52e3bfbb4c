package directory_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/fleet"
)

// The store drops its history and lists from a copy that is some seconds behind: an endpoint that left would be used
// again, a zone that was taken out would be back, and no change would ever correct that.
func TestListOlderThanWhatWasReadUndoesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := fleet.Row{Table: "op", Key: "evacuate/a", Value: []byte(`{}`), Version: 20}
		store := &fakeStore{}
		store.set(10, "", entry(t, "left", 3), entry(t, "stays", 4))
		cache, stop := follow(t, store)
		defer stop()
		time.Sleep(time.Second)
		store.set(20, "", fleet.Row{Table: "servers", Key: "left", Version: 19, Removed: true}, entry(t, "stays", 4), out)
		time.Sleep(3 * time.Second)
		require.NotContains(t, cache.View().Endpoints, "left")
		require.True(t, cache.View().ZonesOut["a"])

		store.set(15, fleet.StoreHistoryGone, entry(t, "left", 3), entry(t, "stays", 4))
		time.Sleep(3 * time.Second)
		require.NotContains(t, cache.View().Endpoints, "left")
		require.True(t, cache.View().ZonesOut["a"])

		store.set(21, "", entry(t, "stays", 4), entry(t, "new", 21), out)
		time.Sleep(3 * time.Second)
		require.Contains(t, cache.View().Endpoints, "new")
		require.True(t, cache.View().ZonesOut["a"])
	})
}
