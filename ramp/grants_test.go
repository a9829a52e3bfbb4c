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

// Guards against overload of a starting group by two routers that each keep their
// limit: the owner is partitioned from its peers but not from the group, the peers
// choose another owner, and both send. At no time may two routers hold a grant for
// the same group, with random requests, late responses, changes of the holder and
// clock skew.
func TestAtMostOneRouterHoldsAGrant(t *testing.T) {
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
			requestedAt := now
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(rt, "way")) * time.Millisecond)
			if len(grants.Acquire(now.Add(holderSkew), fmt.Sprint("router-", i), []string{"g"})) == 1 {
				held[i] = requestedAt.Add(skews[i]).Add(ramp.GrantTTL)
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

func TestGrantIsRenewedAndExpires(t *testing.T) {
	grants := ramp.NewGrants(start)
	require.Empty(t, grants.Acquire(start, "a", []string{"g"}), "the previous holder may have granted it")
	at := start.Add(ramp.GrantTTL)
	require.Equal(t, []string{"g"}, grants.Acquire(at, "a", []string{"g"}))
	at = at.Add(ramp.GrantTTL / 2)
	require.Equal(t, []string{"g"}, grants.Acquire(at, "a", []string{"g"}), "renewed")
	require.Equal(t, []string{"h"}, grants.Acquire(at, "b", []string{"g", "h"}))
	at = at.Add(ramp.GrantTTL)
	require.Equal(t, []string{"g"}, grants.Acquire(at, "b", []string{"g"}), "expired")
}
