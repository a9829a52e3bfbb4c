package ramp_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"redwinghall/ramp"
)

var start = time.Date(2026, 1, 14, 5, 0, 0, 0, time.UTC)

// A group falls over while it starts, although each router keeps its limit.
// Order: its owner is cut off from its peers, not from the group; they choose
// another owner; both send.
// Judge: at no moment two routers hold the same group, over random asks,
// answers that are late, changes of holder, and clocks that differ.
func TestNeverTwoRoutersFeedAColdGroup(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		skews := []time.Duration{0, time.Hour, -time.Hour}
		held := make([]time.Time, len(skews)) // by each router's own clock
		holderSkew := time.Duration(0)
		grants := ramp.NewGrants(start)
		now := start
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(rt, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 9).Draw(rt, "holder") == 0 {
				holderSkew += time.Duration(rapid.IntRange(-60, 60).Draw(rt, "skew")) * time.Second
				grants = ramp.NewGrants(now.Add(holderSkew))
			}
			i := rapid.IntRange(0, len(skews)-1).Draw(rt, "router")
			asked := now
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(rt, "way")) * time.Millisecond)
			if len(grants.Acquire(now.Add(holderSkew), fmt.Sprint("router-", i), []string{"g"})) == 1 {
				held[i] = asked.Add(skews[i]).Add(ramp.GrantTTL)
			}
			holders := 0
			for r, until := range held {
				if now.Add(skews[r]).Before(until) {
					holders++
				}
			}
			require.LessOrEqual(rt, holders, 1)
		}
	})
}

func TestGrantIsRenewedAndEnds(t *testing.T) {
	grants := ramp.NewGrants(start)
	require.Empty(t, grants.Acquire(start, "a", []string{"g"}), "the holder before may have granted it")
	at := start.Add(ramp.GrantTTL)
	require.Equal(t, []string{"g"}, grants.Acquire(at, "a", []string{"g"}))
	at = at.Add(ramp.GrantTTL / 2)
	require.Equal(t, []string{"g"}, grants.Acquire(at, "a", []string{"g"}), "renewed")
	require.Equal(t, []string{"h"}, grants.Acquire(at, "b", []string{"g", "h"}))
	at = at.Add(ramp.GrantTTL)
	require.Equal(t, []string{"g"}, grants.Acquire(at, "b", []string{"g"}), "ended")
}
