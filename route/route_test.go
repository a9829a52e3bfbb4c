package route_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall"
	"redwinghall/route"
)

var (
	start = time.Date(2026, 1, 14, 5, 0, 0, 0, time.UTC)
	bound = 2 * time.Second
)

func groups(n, limit int) []*route.TrackedGroup {
	out := make([]*route.TrackedGroup, n)
	for i := range out {
		id := fmt.Sprint("g", i)
		out[i] = route.NewTrackedGroup(redwinghall.Group{ID: id, Generation: 1})
		out[i].SetHealth(redwinghall.GroupHealth{Group: id, Generation: 1, Ready: true, SeenAt: start})
		out[i].SetLimit(limit, time.Time{})
	}
	return out
}

func query() route.Query { return route.Query{Now: start, Bound: bound} }

func TestPickTakesOnlyUsableGroups(t *testing.T) {
	tests := []struct {
		name    string
		disable func(*route.TrackedGroup)
	}{
		{"not seen within the bound", func(g *route.TrackedGroup) {
			g.SetHealth(redwinghall.GroupHealth{Generation: 1, Ready: true, SeenAt: start.Add(-3 * time.Second)})
		}},
		{"newer generation", func(g *route.TrackedGroup) { g.SetGroup(g.Group().WithGeneration(2)) }},
		{"leaving", func(g *route.TrackedGroup) { g.SetGroup(g.Group().WithLeaving()) }},
		{"full", func(g *route.TrackedGroup) { g.SetLimit(0, time.Time{}) }},
		{"grant ended", func(g *route.TrackedGroup) { g.SetLimit(1000, start) }},
		{"avoided after a failure", func(g *route.TrackedGroup) { g.Avoid(start.Add(time.Second)) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			all := groups(3, 1000)
			tt.disable(all[0])
			tt.disable(all[1])
			for range 100 {
				require.Same(t, all[2], route.TwoChoices{}.Pick(query(), all))
			}
		})
	}
}

func TestPickAvoidedIsBetterThanNone(t *testing.T) {
	all := groups(1, 1)
	all[0].Avoid(start.Add(time.Second))
	require.Same(t, all[0], route.TwoChoices{}.Pick(query(), all))
	require.Nil(t, route.TwoChoices{}.Pick(query(), all), "full")
	all[0].Release()
	q := query()
	q.Exclude = all[0]
	require.Nil(t, route.TwoChoices{}.Pick(q, all))
}

func TestPrefixHintGivesWayToLoad(t *testing.T) {
	all := groups(4, 100)
	q := query()
	q.Prefix = 6 // maps to the third group
	for range 20 {
		require.Same(t, all[2], route.TwoChoices{}.Pick(q, all))
	}
	for range 400 {
		route.TwoChoices{}.Pick(q, all)
	}
	for _, g := range all {
		require.Positive(t, g.InFlight(), "requests with one prefix spread before the preferred group is full")
	}
}

func TestPickSpreadsLoad(t *testing.T) {
	all := groups(10, 1000)
	for range 1000 {
		require.NotNil(t, route.TwoChoices{}.Pick(query(), all))
	}
	for _, g := range all {
		require.InDelta(t, 100, g.InFlight(), 30)
	}
}

func TestOwnerMovesOnlyWithItsRouter(t *testing.T) {
	routers := []string{"a", "b", "c", "d"}
	moved := 0
	for i := range 200 {
		item := fmt.Sprint("group-", i)
		owner := route.Owner(item, routers)
		if without := route.Owner(item, []string{"a", "b", "c"}); owner == "d" {
			moved++
		} else {
			require.Equal(t, owner, without, "items of the remaining routers do not move")
		}
	}
	require.InDelta(t, 50, moved, 30)
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{20, 80, 325} {
		b.Run(fmt.Sprint("groups=", n), func(b *testing.B) {
			all := groups(n, 1<<30)
			q := query()
			for b.Loop() {
				q.Prefix += 0x9e3779b97f4a7c15
				route.TwoChoices{}.Pick(q, all).Release()
			}
		})
	}
}
