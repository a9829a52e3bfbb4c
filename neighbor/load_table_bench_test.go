package neighbor_test

import (
	"fmt"
	"testing"
	"time"

	"redwinghall/balance"
	"redwinghall/neighbor"
)

// A zone of 100 nodes and 156 groups: each node has streams at 16 of them and reports its
// loads, which the dispatcher applies.
func BenchmarkDispatcherAppliesALoadReport(b *testing.B) {
	const nodes, groups, atOnce = 100, 156, 16
	now := time.Now()
	table, tracker := neighbor.NewLoadTable(), balance.NewTracker()
	loadsOf := func(node, shift int) map[string]balance.Load {
		loads := map[string]balance.Load{}
		for i := range atOnce {
			loads[fmt.Sprint("i-", (node*7+i*9+shift)%groups)] = balance.Load{Requests: 1 + i%2, Unstarted: i % 2, Unread: 300 * (i % 2)}
		}
		return loads
	}
	for node := range nodes {
		table.SetNode(now, fmt.Sprint("node-", node), loadsOf(node, 0))
	}
	for _, zone := range []string{"b", "c"} {
		table.SetZone(now, zone, loadsOf(1, 5))
	}
	reports := [2]map[string]balance.Load{loadsOf(5, 0), loadsOf(5, 1)}
	b.ReportAllocs()
	for i := range b.N {
		changes := table.SetNode(now, "node-5", reports[i%2])
		tracker.ReleaseReservations("node-5", 0)
		tracker.ChangeOwnZoneLoads(now, changes)
	}
}
