package node_test

import (
	"fmt"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/platform/platformtest"
)

// drainBound is how long an endpoint may still receive requests after it reports draining.
const drainBound = 2 * time.Second

// restoreStore restores the store from a copy that is many versions older. Endpoints
// then write their entries again.
func (z *zonedDeployment) restoreStore(t *testing.T) {
	t.Helper()
	const lost = 400 // versions
	store := z.nodes[0].store
	kept := store.Snapshot()
	for i := range lost {
		require.NoError(t, store.Put("status", "note", i))
	}
	time.Sleep(2 * time.Second) // until all nodes have read these versions
	store.Restore(kept)
	for _, e := range z.all() {
		require.NoError(t, e.Heartbeat())
	}
}

func (z *zonedDeployment) all() []*platformtest.Endpoint {
	all := append([]*platformtest.Endpoint(nil), z.desks...)
	for _, heads := range z.heads {
		all = append(all, heads...)
	}
	return all
}

// A restored store assigns versions below those that nodes have already read. Nodes
// must still apply its changes, without listing the tables again and again.
func TestChangesAfterStoreRestoreAreFollowed(t *testing.T) {
	t.Parallel()
	for name, nodes := range map[string]map[string]int{"each reads": {"a": 2, "b": 1}, "one reads for all": {"a": 5}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			z := deployZones(t, nodes)
			z.restoreStore(t)
			time.Sleep(2 * time.Second)
			refused := z.nodes[0].store.RefusedFeeds()
			require.NoError(t, z.desks[0].Drain())
			left := time.Now()
			require.NoError(t, z.nodes[0].store.PutConfiguration(platformtest.Configuration(2, "key-1", "key-2")))
			z.runCallers(t, 5*time.Second, http.MethodGet, "/look/x")
			for _, at := range z.desks[0].ArrivalTimes() {
				require.Less(t, at.Sub(left), drainBound)
			}
			require.LessOrEqual(t, z.nodes[0].store.RefusedFeeds(), refused, "nodes keep requesting changes that the store doesn't have")
			require.NotEmpty(t, z.desks[1].ArrivalTimes(), fmt.Sprint(nodes))
		})
	}
}

// recoveryBound is how long requests may fail after all nodes have restarted.
const recoveryBound = 12 * time.Second

// The store is restored from an older copy and all nodes restart, so the copy is all that
// they can read. They must serve again in time, from groups that are still complete.
func TestAllNodesRestartAfterStoreRestore(t *testing.T) {
	z := deployZones(t, map[string]int{"a": 4})
	z.restoreStore(t)
	for _, d := range z.nodes {
		d.stop()
	}
	for _, d := range z.nodes {
		require.NoError(t, <-d.done)
		d.settings.Restarted = true
		require.NoError(t, os.WriteFile(d.path, []byte(d.settings.Text()), 0o600))
		d.start()
	}
	back := time.Now()
	for i, d := range z.nodes {
		for _, path := range []string{"/stream/x", "/look/x"} {
			require.Eventually(t, func() bool {
				status, _ := d.request(http.MethodPost, path, fmt.Sprint("after-", i, time.Now().UnixNano()))
				return status == http.StatusOK
			}, recoveryBound-time.Since(back), 50*time.Millisecond, path)
		}
	}
}
