package formation_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/fleet"
)

// A head that is leaving has stopped listening and finishes its streams, while its entry,
// which the store hasn't updated, still shows it as open. It refuses the holder's probe.
// A holder that concluded from this that the head had ended would join its members to
// another group, and the streams would stall at once.
func TestMembersOfAHeadThatStoppedListening(t *testing.T) {
	for name, handOver := range map[string]bool{"same holder": false, "new holder": true} {
		for _, model := range []string{"large", "small"} {
			t.Run(name+" "+model, func(t *testing.T) {
				runDefault(t, func(t *testing.T, f *fakeZone, n *node) {
					w := f.servingHeads(model)[0]
					holder := n
					if handOver {
						n.holdsLease.Store(false)
						holder = manage(f, false)
						defer holder.stop(t)
						holder.trafficStarted.Store(true)
						time.Sleep(300 * time.Millisecond)
					}
					f.stopListening(w.ID)
					holder.manager.ReportStall(context.Background(), w.ID)
					time.Sleep(5 * time.Second)
					f.mu.Lock()
					defer f.mu.Unlock()
					require.Empty(t, f.violations)
				})
			})
		}
	}
}

// Members of a ready group were ordered to join another group, and these orders are
// delayed. The other group is never formed, and the old one is complete again. If it
// opened, it would lose its members to the late orders while it serves.
func TestGroupWhoseMembersWereOrderedToJoinAnotherDoesNotOpen(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) { lateOrdersToAReadyGroup(t, seed) })
	}
}

func lateOrdersToAReadyGroup(t *testing.T, seed uint64) {
	t.Helper()
	f := newFakeZone(seed, 1, 4)
	f.refuseOpen = true
	n := manage(f, true)
	defer n.stop(t)
	time.Sleep(40 * time.Second)
	n.trafficStarted.Store(true)
	group, spare := f.readyGroup()
	require.Len(t, group, 3)
	f.mu.Lock()
	f.workers[spare].Staged = []string{"small"}
	f.publishEntry(f.workers[spare])
	f.mu.Unlock()
	time.Sleep(time.Second)
	f.mu.Lock()
	f.lossRate = 1
	f.mu.Unlock()
	f.isolate(group[2], time.Second)
	n.manager.ReportStall(context.Background(), group[0])
	time.Sleep(600 * time.Millisecond)
	f.isolate(spare, 6*time.Second)
	n.manager.ReportStall(context.Background(), group[0])
	time.Sleep(3 * time.Second)
	f.mu.Lock()
	f.lossRate, f.refuseOpen = 0, false
	f.mu.Unlock()
	time.Sleep(20 * time.Second)
	f.mu.Lock()
	require.Empty(t, f.violations, "seed %d", seed)
	f.mu.Unlock()
	require.Len(t, f.servingHeads("small"), 1)
}

// readyGroup returns the members of the only ready group, its head first, and an
// endpoint outside it.
func (f *fakeZone) readyGroup() (members []string, spare string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		if len(w.members) > 1 && w.Member.Rank == 0 && w.Member.State == fleet.Ready {
			members = w.members
		}
	}
	for id := range f.workers {
		if !slices.Contains(members, id) {
			spare = id
		}
	}
	return members, spare
}
