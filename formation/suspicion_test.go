package formation_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The holder is parted from a group for 1.5 s, and one member falls silent later than the head. The group
// is sound, so it must not be cancelled seconds after the partition.
func TestGroupIsNotCancelledSecondsAfterThePartition(t *testing.T) {
	runDefault(t, func(t *testing.T, f *fakeZone, n *node) {
		const partition, memberLater, longAfter = 1500 * time.Millisecond, 300 * time.Millisecond, time.Second
		member, head := memberOf(f, "large", 1)
		group := f.workers[head].Member
		for _, id := range f.workers[head].members {
			if id != member {
				f.isolate(id, partition)
			}
		}
		n.manager.ReportStall(context.Background(), head)
		time.Sleep(memberLater)
		f.isolate(member, partition-memberLater)
		time.Sleep(memberLater)
		n.manager.ReportStall(context.Background(), head)
		time.Sleep(partition - 2*memberLater + longAfter)
		f.mu.Lock()
		require.Equal(t, group, f.workers[head].Member)
		for _, id := range f.workers[head].members {
			require.Equal(t, group.Group, f.workers[id].Member.Group, "a member has left")
		}
		require.Empty(t, f.cancelled)
		f.mu.Unlock()
		time.Sleep(5 * time.Second)
		require.Empty(t, f.cancelled)
	})
}
