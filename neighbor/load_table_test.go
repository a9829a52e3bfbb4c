package neighbor_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"redwinghall/balance"
	"redwinghall/neighbor"
)

// The table keeps its sum; it is what adding up all reports that haven't expired would
// give, whatever comes in which order.
func TestSumOfLoadsIsThatOfAllReports(t *testing.T) {
	type reported struct {
		at    time.Time
		loads map[string]balance.Load
	}
	rapid.Check(t, func(t *rapid.T) {
		table, all, now := neighbor.NewLoadTable(), map[string]reported{}, time.Unix(1000, 0)
		ticket := uint64(0)
		for range rapid.IntRange(1, 30).Draw(t, "reports") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			node := fmt.Sprint("n", rapid.IntRange(0, 3).Draw(t, "node"))
			loads := map[string]balance.Load{}
			for range rapid.IntRange(0, 3).Draw(t, "endpoints") {
				loads[fmt.Sprint("e", rapid.IntRange(0, 4).Draw(t, "endpoint"))] = balance.Load{Requests: rapid.IntRange(0, 5).Draw(t, "requests")}
			}
			for name, one := range all {
				if now.Sub(one.at) > time.Second {
					delete(all, name)
				}
			}
			if rapid.Bool().Draw(t, "whole") {
				table.SetNode(now, node, loads)
				all[node] = reported{now, loads}
			} else {
				ticket++
				table.MergeNode(now, node, ticket, loads)
				merged := maps.Clone(all[node].loads)
				if merged == nil {
					merged = map[string]balance.Load{}
				}
				maps.Copy(merged, loads)
				all[node] = reported{now, merged}
			}
			want := map[string]balance.Load{}
			for name, one := range all {
				if name != "n0" {
					addTo(want, one.loads)
				}
			}
			require.Equal(t, want, withoutNone(table.SumOfOthers(now, "n0")))
		}
	})
}

func addTo(sum, loads map[string]balance.Load) {
	for id, load := range loads {
		sum[id] = sum[id].With(load)
		if sum[id] == (balance.Load{}) {
			delete(sum, id)
		}
	}
}

func withoutNone(loads map[string]balance.Load) map[string]balance.Load {
	for id, load := range loads {
		if load == (balance.Load{}) {
			delete(loads, id)
		}
	}
	return loads
}
