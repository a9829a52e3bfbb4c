package formation_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/fleet"
)

// The head of a group is unresponsive and may still serve. Its members are ordered to
// leave, and some of the orders are lost. A member that is joined to another group
// before it reports that it left would be in two groups at once, however long ago the
// head became unresponsive.
func TestMembersOfASilentHeadJoinOnlyOnceTheyLeft(t *testing.T) {
	runDefault(t, func(t *testing.T, f *fakeZone, _ *node) {
		w := f.servingHeads("large")[0]
		group, stays := w.Member.Group, w.members[1:3]
		f.mu.Lock()
		w.unresponsive = true // alive and open, but unreachable
		for _, id := range stays {
			f.workers[id].ignores = fleet.OrderLeave
		}
		f.mu.Unlock()
		f.removeEntry(w.ID, 3600*time.Millisecond)
		for range 400 {
			time.Sleep(50 * time.Millisecond)
			f.mu.Lock()
			for _, id := range stays {
				require.Equal(t, group, f.workers[id].Member.Group)
			}
			require.Equal(t, fleet.Open, w.Member.State)
			require.Empty(t, f.violations)
			f.mu.Unlock()
		}
		f.mu.Lock()
		require.NotEqual(t, group, f.workers[w.members[3]].Member.Group, "members that left can be used again")
		f.mu.Unlock()
	})
}

// A head's process has ended: its address refuses connections, while its entry remains
// for some seconds. Its members need not wait as for an unresponsive head, and its
// address need not be probed at each step.
func TestMembersOfAnEndedHeadDoNotWait(t *testing.T) {
	runDefault(t, func(t *testing.T, f *fakeZone, n *node) {
		w := f.servingHeads("large")[0]
		f.kill(w.ID, false)
		n.manager.ReportStall(context.Background(), w.ID)
		requestedBefore := f.reportCount()
		time.Sleep(2500 * time.Millisecond)
		require.Len(t, f.servingHeads("large"), 2)
		require.LessOrEqual(t, f.reportCount()-requestedBefore, 40, "the domain's 11 endpoints once, then the members before the group opens")
	})
}

// Unanswered orders are carried out seconds later, after newer ones. Groups still form,
// and none opens without its members.
func TestOrdersCarriedOutLate(t *testing.T) {
	runDefault(t, func(t *testing.T, f *fakeZone, n *node) {
		f.mu.Lock()
		f.lossRate = 0.4
		f.mu.Unlock()
		member, head := memberOf(f, "large", 1)
		f.kill(member, true)
		time.Sleep(700 * time.Millisecond)
		n.manager.ReportStall(context.Background(), head)
		time.Sleep(20 * time.Second)
		f.mu.Lock()
		f.lossRate = 0
		f.mu.Unlock()
		time.Sleep(20 * time.Second)
		require.Len(t, f.servingHeads("large"), 2)
	})
}

// A member is found to be slow while its group opens: the head has been ordered to open
// and doesn't show it yet. The group must not be dissolved as if it were not open.
func TestGroupIsNotDissolvedWhileItOpens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeZone(1, 2, 11)
		n := manage(f, true)
		defer n.stop(t)
		for range 800 {
			time.Sleep(50 * time.Millisecond)
			for _, head := range f.slowOpening() {
				n.manager.ReportStall(context.Background(), head)
			}
		}
		require.Empty(t, f.violations)
	})
}

// slowOpening slows down a member of each group that has been ordered to open, and
// returns the groups' heads.
func (f *fakeZone) slowOpening() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var heads []string
	for _, w := range f.workers {
		if w.opening {
			f.workers[w.members[1]].slow = 4
			heads = append(heads, w.ID)
		}
	}
	return heads
}

// A member crashes and restarts while its group waits to open. Its outdated entry still
// shows it as ready. A group opened on that basis would serve without it.
func TestOpenAsksTheMembersThemselves(t *testing.T) {
	runDefault(t, func(t *testing.T, f *fakeZone, n *node) {
		member, head := memberOf(f, "small", 1)
		f.mu.Lock()
		f.refuseOpen = true
		f.mu.Unlock()
		f.kill(member, false)
		n.manager.ReportStall(context.Background(), head)
		time.Sleep(4 * time.Second)
		f.mu.Lock()
		var last string
		for _, w := range f.workers {
			if w.Member.State == fleet.Ready && w.Member.Rank == 0 && len(w.members) == 3 {
				last = w.members[2]
			}
		}
		f.mu.Unlock()
		require.NotEmpty(t, last, "a group waits to open")
		f.restart(last)
		f.mu.Lock()
		f.refuseOpen = false
		f.mu.Unlock()
		time.Sleep(10 * time.Second)
	})
}

// A member's process ends, and another process listens at its address under a new id. It
// answers requests for the old id's report too. The two ids must not count as two
// members: the member list of a group would then contain one that is gone.
func TestAnotherProcessAtAnAddress(t *testing.T) {
	runDefault(t, func(t *testing.T, f *fakeZone, n *node) {
		for round, model := range []string{"small", "large", "small"} {
			w := f.servingHeads(model)[0]
			for i, id := range w.members[1:] {
				f.replace(id, fmt.Sprintf("new-%d-%d", round, i))
			}
			n.manager.ReportStall(context.Background(), w.ID)
			time.Sleep(5 * time.Second)
			f.mu.Lock()
			f.lossRate = 0.6
			f.mu.Unlock()
			time.Sleep(6 * time.Second)
			f.mu.Lock()
			f.lossRate = 0
			f.mu.Unlock()
			time.Sleep(25 * time.Second)
		}
	})
}
