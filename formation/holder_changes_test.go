package formation_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/rwhtest/fixedseed"
)

// playHolderChanges plays changes of the lease's holder while a small group loses a member
// and orders are carried out late. It returns the violations, and whether a group of the
// small model served 20 s after each change.
func playHolderChanges(t *testing.T, seed uint64) (violations []string, served bool) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFakeZone(seed, 2, 11)
		first := manage(f, true)
		defer first.stop(t)
		time.Sleep(40 * time.Second)
		first.trafficStarted.Store(true)
		holder := first
		for range 4 {
			if served = len(f.servingHeads("small")) > 0; !served {
				break
			}
			member, head := memberOf(f, "small", 1)
			f.mu.Lock()
			f.lossRate = 0.6
			f.mu.Unlock()
			f.kill(member, false)
			holder.manager.ReportStall(context.Background(), head)
			time.Sleep(time.Duration(500+f.intN(1500)) * time.Millisecond)
			holder.holdsLease.Store(false)
			holder = manage(f, false)
			defer holder.stop(t)
			holder.trafficStarted.Store(true)
			time.Sleep(2 * time.Second)
			f.mu.Lock()
			f.lossRate = 0
			f.mu.Unlock()
			time.Sleep(20 * time.Second)
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		violations = append(violations, f.violations...)
	})
	return violations, served
}

// holderChangeSeeds returns the seeds of playHolderChanges.
func holderChangeSeeds() []uint64 {
	seeds := make([]uint64, 15)
	if fixedseed.Explore() {
		seeds = make([]uint64, 2000)
	}
	for i := range seeds {
		seeds[i] = uint64(i) //nolint:gosec // an index
		if fixedseed.Explore() {
			seeds[i] = rand.Uint64()
		}
	}
	return seeds
}

// A free VM that loads another model, while others of its domain are still between two
// groups, leaves no group of its own model.
func TestModelIsServedAfterEachChangeOfHolder(t *testing.T) {
	for _, seed := range holderChangeSeeds() {
		violations, served := playHolderChanges(t, seed)
		require.Empty(t, violations, "seed %d", seed)
		require.True(t, served, "seed %d", seed)
	}
}
