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

// Callers' streams stand still from one moment to the next. Their group's head
// leaves: it has stopped listening, works its streams off, and its entry, which
// the store didn't take, still says open. The holder asks the head, is refused,
// takes it for ended, and joins its members to another group while it serves.
func TestMembersOfAHeadThatStoppedListening(t *testing.T) {
	for name, handOver := range map[string]bool{"same holder": false, "new holder": true} {
		for _, model := range []string{"large", "small"} {
			t.Run(name+" "+model, func(t *testing.T) {
				play(t, func(t *testing.T, f *farm, n *node) {
					w := f.whole(model)[0]
					holder := n
					if handOver {
						n.holds = false
						holder = manage(f, false)
						defer holder.stop(t)
						holder.begun = true
						time.Sleep(300 * time.Millisecond)
					}
					f.deafen(w.ID)
					holder.manager.ReportStall(context.Background(), w.ID)
					time.Sleep(5 * time.Second)
					f.mu.Lock()
					defer f.mu.Unlock()
					require.Empty(t, f.broken)
				})
			})
		}
	}
}

// Members of a ready group were told to join another one, and these orders are
// late. The other group comes to nothing, and the old one is whole again. If it
// opened, it would lose its members to the late orders while it serves.
func TestGroupWhoseMembersWereToldToJoinAnotherDoesNotOpen(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) { lateOrdersToAReadyGroup(t, seed) })
	}
}

func lateOrdersToAReadyGroup(t *testing.T, seed uint64) {
	t.Helper()
	f := newFarm(seed, 1, 4)
	f.closed = true
	n := manage(f, true)
	defer n.stop(t)
	time.Sleep(40 * time.Second)
	n.begun = true
	group, spare := f.readyGroup()
	require.Len(t, group, 3)
	f.mu.Lock()
	f.workers[spare].Staged = []string{"small"}
	f.show(f.workers[spare])
	f.mu.Unlock()
	time.Sleep(time.Second)
	f.mu.Lock()
	f.lose = 1
	f.mu.Unlock()
	f.silence(group[2], time.Second)
	n.manager.ReportStall(context.Background(), group[0])
	time.Sleep(600 * time.Millisecond)
	f.silence(spare, 6*time.Second)
	n.manager.ReportStall(context.Background(), group[0])
	time.Sleep(3 * time.Second)
	f.mu.Lock()
	f.lose, f.closed = 0, false
	f.mu.Unlock()
	time.Sleep(20 * time.Second)
	f.mu.Lock()
	require.Empty(t, f.broken, "seed %d", seed)
	f.mu.Unlock()
	require.Len(t, f.whole("small"), 1)
}

// readyGroup returns the members of the only ready group, its head first, and
// an endpoint that isn't in it.
func (f *farm) readyGroup() (members []string, spare string) {
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
