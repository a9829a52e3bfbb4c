package formation_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Timing of what nodes tell of a group: all of them miss its events after allStill, and each by itself after ownStill.
const (
	allStill     = 300 * time.Millisecond
	ownStill     = 700 * time.Millisecond
	tellInterval = 60 * time.Millisecond
)

// tellStill tells that groups are still for a while, as the nodes of a zone do. It returns when a group was first known
// to have lost a member, 0 if none was.
func tellStill(n *node, lasts time.Duration, heads ...string) (lostAfter time.Duration) {
	begun := time.Now()
	time.Sleep(allStill)
	for time.Since(begun) < lasts {
		for _, head := range heads {
			if n.manager.ReportSilentGroup(context.Background(), head) && lostAfter == 0 {
				lostAfter = time.Since(begun)
			}
			if time.Since(begun) >= ownStill {
				n.manager.ReportStall(context.Background(), head)
			}
		}
		time.Sleep(tellInterval)
	}
	return lostAfter
}

// goDark makes endpoints take no connections for a while.
func (f *fakeZone) goDark(lasts time.Duration, ids ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range ids {
		f.workers[id].dark = true
		time.AfterFunc(lasts, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.workers[id].dark = false
		})
	}
}

// A member of a group goes dark, or the head does, and all nodes miss the group's events.
func TestDarkMemberOfStillGroupIsLostEarly(t *testing.T) {
	for _, rank := range []int{0, 3} {
		t.Run(fmt.Sprint("rank ", rank), func(t *testing.T) {
			runDefault(t, func(t *testing.T, f *fakeZone, n *node) {
				member, head := memberOf(f, "large", rank)
				f.goDark(time.Hour, member)
				lostAfter := tellStill(n, time.Second, head)
				require.NotZero(t, lostAfter)
				require.LessOrEqual(t, lostAfter, 500*time.Millisecond)
			})
		})
	}
}

// A member answers nothing for a second and takes connections meanwhile, as a sound one may: its group stays.
func TestSecondOfSilenceBreaksNoStillGroup(t *testing.T) {
	runDefault(t, func(t *testing.T, f *fakeZone, n *node) {
		member, head := memberOf(f, "large", 3)
		before := groupsOf(f, "large")
		f.isolate(member, 1200*time.Millisecond)
		require.Zero(t, tellStill(n, 1200*time.Millisecond, head))
		time.Sleep(5 * time.Second)
		require.Equal(t, before, groupsOf(f, "large"))
		require.Empty(t, f.cancelled)
	})
}

// All members answer: the group is slow.
func TestStillGroupWhoseMembersAnswerStays(t *testing.T) {
	runDefault(t, func(t *testing.T, f *fakeZone, n *node) {
		_, head := memberOf(f, "large", 3)
		before := groupsOf(f, "large")
		require.Zero(t, tellStill(n, 2*time.Second, head))
		time.Sleep(5 * time.Second)
		require.Equal(t, before, groupsOf(f, "large"))
		require.Empty(t, f.cancelled)
	})
}

// A member goes dark for this node while its group goes on: no node misses its events.
func TestDarkMemberOfMovingGroupStays(t *testing.T) {
	runDefault(t, func(t *testing.T, f *fakeZone, n *node) {
		member, head := memberOf(f, "large", 3)
		before := groupsOf(f, "large")
		f.goDark(1200*time.Millisecond, member)
		time.Sleep(ownStill)
		for range 5 {
			n.manager.ReportStall(context.Background(), head)
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		require.Equal(t, before, groupsOf(f, "large"))
		require.Empty(t, f.cancelled)
	})
}

// All endpoints go dark within 0.2 s, and come back later one after the other: no group is lost.
func TestDarknessOfAllEndsNoStillGroup(t *testing.T) {
	for _, lasts := range []time.Duration{300, 400, 500, 600, 700, 1000, 1500, 3000} {
		for _, apart := range []time.Duration{0, 50, 100, 200} {
			t.Run(fmt.Sprintf("%d_ms,_%d_ms_apart", lasts, apart), func(t *testing.T) {
				runDefault(t, func(t *testing.T, f *fakeZone, n *node) {
					before := f.memberships()
					for i, id := range slices.Sorted(maps.Keys(before)) {
						later := time.Duration(i%3) * apart / 2 * time.Millisecond
						time.AfterFunc(later, func() { f.goDark(lasts*time.Millisecond, id) })
					}
					var heads []string
					for _, model := range []string{"large", "small"} {
						for _, head := range f.servingHeads(model) {
							heads = append(heads, head.ID)
						}
					}
					require.Zero(t, tellStill(n, (lasts+2*apart)*time.Millisecond, heads...))
					time.Sleep(5 * time.Second)
					require.Equal(t, before, f.memberships())
					require.Empty(t, f.cancelled)
				})
			})
		}
	}
}
