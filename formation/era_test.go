package formation_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// After the store is restored to an older state, its versions are low again. Epochs
// derived from the version alone would be lower than those of earlier orders that may
// still be carried out. VMs would refuse the new orders, or leave their group for an
// old one.
func TestEpochsRiseAfterStoreRestore(t *testing.T) {
	runDefault(t, func(t *testing.T, f *fakeZone, n *node) {
		const versions = 1000
		n.set(func() { n.version = versions })
		f.kill(f.servingHeads("small")[0].members[1], true)
		n.manager.ReportStall(t.Context(), f.servingHeads("small")[0].ID)
		time.Sleep(20 * time.Second)
		before := int64(0)
		for _, epoch := range f.epochs() {
			before = max(before, epoch)
		}
		n.holdsLease.Store(false)
		next := manage(f, false)
		defer next.stop(t)
		next.trafficStarted.Store(true)
		next.set(func() { next.era, next.version = 1, 3 })
		member, head := memberOf(f, "small", 1)
		f.kill(member, true)
		next.manager.ReportStall(t.Context(), head)
		time.Sleep(30 * time.Second)
		formed := 0
		for _, epoch := range f.epochs() {
			if epoch > before {
				formed++
				require.Greater(t, epoch, int64(versions)<<20)
			}
		}
		require.Positive(t, formed)
	})
}
