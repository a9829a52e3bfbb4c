package formation_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// All endpoints fall silent to the holder within 0.1 s, and answer again later: no group loses its streams.
func TestSilenceOfAllEndpointsEndsNoGroup(t *testing.T) {
	for _, silence := range []time.Duration{550, 600, 650, 700, 800, 1000, 1300, 2000, 3000, 6000} {
		for _, apart := range []time.Duration{0, 30, 100, 200} {
			t.Run(fmt.Sprintf("%d_ms,_%d_ms_apart", silence, apart), func(t *testing.T) {
				runDefault(t, func(t *testing.T, f *fakeZone, n *node) {
					before := f.memberships()
					for i, id := range slices.Sorted(maps.Keys(before)) {
						// Each third one falls silent last, and returns last.
						later := time.Duration(i%3) * apart / 2 * time.Millisecond
						time.AfterFunc(later, func() { f.isolate(id, silence*time.Millisecond) })
					}
					reportStalls(f, n, (silence+2*apart)*time.Millisecond)
					time.Sleep(15 * time.Second)
					require.Equal(t, before, f.memberships())
					require.Empty(t, f.cancelled)
				})
			})
		}
	}
}

// The endpoints fall silent and answer again in any order within 0.2 s.
func TestSilenceOfAllInAnyOrderEndsNoGroup(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runDefault(t, func(t *testing.T, f *fakeZone, n *node) {
				random := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // a seeded play
				silence := time.Duration(500+random.IntN(500)) * time.Millisecond
				apart := 1 + random.IntN(200)
				before := f.memberships()
				for _, id := range slices.Sorted(maps.Keys(before)) {
					later, longer := time.Duration(random.IntN(apart))*time.Millisecond, time.Duration(random.IntN(apart))*time.Millisecond
					time.AfterFunc(later, func() { f.isolate(id, silence+longer) })
				}
				reportStalls(f, n, 1500*time.Millisecond)
				time.Sleep(6 * time.Second)
				require.Equal(t, before, f.memberships(), "silence %s, %d ms apart", silence, apart)
				require.Empty(t, f.cancelled)
			})
		})
	}
}

// reportStalls reports the streams of all open groups as stalled, again and again.
func reportStalls(f *fakeZone, n *node, duration time.Duration) {
	const interval = 50 * time.Millisecond
	for range duration / interval {
		for _, model := range []string{"large", "small"} {
			for _, head := range f.servingHeads(model) {
				n.manager.ReportStall(context.Background(), head.ID)
			}
		}
		time.Sleep(interval)
	}
}

// memberships returns the group of each endpoint.
func (f *fakeZone) memberships() map[string]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	groups := map[string]string{}
	for id, w := range f.workers {
		groups[id] = w.Member.Group
	}
	return groups
}
