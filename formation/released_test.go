package formation_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/fleet"
)

// The head of a large group goes dark, and its members become free one after the other, as each has to confirm that it
// left: the orders to one of them are lost for two seconds. Those that are free first load nothing else meanwhile, and
// the group is whole again without a load.
func TestMembersOfBrokenGroupWaitForEachOther(t *testing.T) {
	runDefault(t, func(t *testing.T, f *fakeZone, n *node) {
		loads, staged := f.loadCount(), f.staged
		late, head := memberOf(f, "large", 2)
		f.kill(head, true)
		f.mu.Lock()
		f.workers[late].ignores = fleet.OrderLeave
		f.mu.Unlock()
		time.AfterFunc(4*time.Second, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.workers[late].ignores = ""
		})
		time.Sleep(700 * time.Millisecond)
		n.manager.ReportStall(context.Background(), head)
		time.Sleep(8 * time.Second)
		require.Equal(t, loads, f.loadCount())
		require.Equal(t, staged, f.staged)
		require.Len(t, f.servingHeads("large"), 2)
	})
}
