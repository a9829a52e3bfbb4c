package ramp_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"redwinghall"
	"redwinghall/ramp"
	_ "redwinghall/rwhtest/fixedseed"
)

var group = redwinghall.Group{MaxInFlight: 32, ColdInFlight: 2, WarmAfter: 20}

// Guards against a starting group that fails repeatedly. If each router had a ramp
// of its own, N routers would send N times as much as the group can handle once it
// becomes ready. The sum over all routers has to stay within the limit of the group.
func TestSumOverRoutersStaysWithinGroupLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := redwinghall.Group{
			MaxInFlight: rapid.IntRange(30, 300).Draw(rt, "max"), ColdInFlight: rapid.IntRange(1, 8).Draw(rt, "cold"),
			WarmAfter: rapid.IntRange(1, 100).Draw(rt, "warm"),
		}
		routers := rapid.IntRange(1, 30).Draw(rt, "routers")
		completed := uint64(rapid.IntRange(0, 200).Draw(rt, "completed"))
		sum := 0
		for i := range routers {
			sum += ramp.SingleOwner{}.Share(ramp.Input{Group: g, Completed: completed, Owner: i == 0, Routers: routers})
		}
		limit := g.MaxInFlight
		if int(completed) < g.WarmAfter {
			limit = g.ColdInFlight + (g.MaxInFlight-g.ColdInFlight)*int(completed)/g.WarmAfter
		}
		require.LessOrEqual(rt, sum, limit)
		require.Positive(rt, sum)
	})
}

func TestShare(t *testing.T) {
	tests := []struct {
		name      string
		completed uint64
		owner     bool
		routers   int
		want      int
	}{
		{"cold, the owner", 0, true, 4, 2},
		{"cold, not the owner", 0, false, 4, 0},
		{"half way, the owner", 10, true, 4, 17},
		{"warm, any", 20, false, 4, 8},
		{"warm, the only router", 20, true, 1, 32},
		{"warm, more routers than MaxInFlight", 20, false, 100, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := ramp.SingleOwner{}.Share(ramp.Input{Group: group, Completed: tt.completed, Owner: tt.owner, Routers: tt.routers})
			require.Equal(t, tt.want, got)
		})
	}
}
