package formation_test

import (
	"context"
	"fmt"
	"sort"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/directory"
	"redwinghall/fleet"
	"redwinghall/formation"
	"redwinghall/kernel"
)

// node is a manager of the farm's zone.
type node struct {
	manager *formation.Manager
	group   *kernel.Group
	holds   bool
	begun   bool
	moving  map[string]bool
	// asked is how many requests each open group of a model has.
	asked atomic.Pointer[map[string]int]
	fresh bool
	era   int64 // of the store
	// onHolds is called as the manager asks whether it holds the lease; it may be nil.
	onHolds func()
	// unsettled says that entries may be older than what endpoints had written.
	unsettled bool
	version   int64 // of the store when it took the lease
	// heldFrom is the version from which the entries must have been read.
	heldFrom fleet.Position
}

func manage(f *farm, fresh bool) *node {
	f.leases++
	n := &node{version: f.leases, holds: true, fresh: fresh, moving: map[string]bool{}, group: kernel.NewGroup(context.Background())}
	n.start(f.book, f)
	return n
}

// start lets a node form groups by its copy of the entries and its way to the
// endpoints.
func (n *node) start(book *directory.Book, orderer fleet.Orderer) {
	settings := fleet.Settings{Zone: "z", Zones: []string{"z"}, FirstStart: n.fresh, Bounds: fleet.Bounds{
		Stall: 4 * time.Second, LoadsWindow: 5 * time.Second, LoadsOvershoot: 1.1,
	}}
	n.manager = formation.NewManager(formation.Options{
		Settings: func() fleet.Settings { return settings }, Book: book, Orderer: orderer, LeasePosition: func(string) fleet.Position { return n.heldFrom },
		Settled:    func(int64) bool { return !n.unsettled },
		HoldsLease: func(string) bool { n.asksHolds(); return n.holds }, Position: func() fleet.Position { return fleet.Position{Era: n.era, Version: n.version} },
		TrafficStarted: func() bool { return n.begun }, Progressing: func(_ time.Time, id string) bool { return n.moving[id] },
		Running: n.running(book),
	})
	n.manager.Start(n.group)
}

func (n *node) asksHolds() {
	if n.onHolds != nil {
		n.onHolds()
	}
}

// running returns how many requests a head has, by what is asked for of its model.
func (n *node) running(book *directory.Book) func(time.Time, string) int {
	return func(_ time.Time, id string) int {
		e, known := book.View().Endpoints[id]
		asked := n.asked.Load()
		if !known || asked == nil {
			return 0
		}
		return (*asked)[e.Model()]
	}
}

func (n *node) stop(t *testing.T) {
	t.Helper()
	n.group.Stop()
	require.NoError(t, n.group.Wait())
}

// play runs a test over two domains of eleven that have formed their groups.
func play(t *testing.T, run func(t *testing.T, f *farm, n *node)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFarm(1, 2, 11)
		n := manage(f, true)
		defer n.stop(t)
		time.Sleep(40 * time.Second)
		n.begun = true
		require.Len(t, f.whole("large"), 2)
		require.Len(t, f.whole("small"), 2)
		run(t, f, n)
		require.Empty(t, f.broken)
	})
}

// memberOf returns a member of some group of a model, and the group's head.
func memberOf(f *farm, model string, rank int) (member, head string) {
	w := f.whole(model)[0]
	return w.members[rank], w.ID
}

// Endpoints register over about a second. Groups of the first few would leave
// no domain for the large model, and half of its groups would be missing.
func TestFirstGroupsWaitForAllEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFarm(1, 0, 0)
		n := manage(f, true)
		defer n.stop(t)
		for i := range 22 {
			f.add(string(rune('a'+i)), []string{"d0", "d1"}[i%2])
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(30 * time.Second)
		require.Len(t, f.whole("large"), 2)
		require.Len(t, f.whole("small"), 2)
	})
}

// Of many endpoints only so many register in a second. Groups that are formed
// while they still come find half-filled domains: a zone of two domains of 27
// that fill for 4 s got one large group instead of two, and half of the large
// model's callers were refused all day.
func TestFirstGroupsWaitWhileEndpointsKeepComing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFarm(1, 0, 0)
		n := manage(f, true)
		defer n.stop(t)
		for i := range 22 {
			f.add(fmt.Sprintf("w%02d", i), []string{"d0", "d1"}[i/11])
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(30 * time.Second)
		require.Len(t, f.whole("large"), 2)
		require.Len(t, f.whole("small"), 2)
	})
}

// Callers of a group wait for nothing: a member fell silent, the head goes on
// accepting, and no event comes. The group is closed as soon as its streams
// stand still, and a standby that has the model takes the place.
func TestLostMemberIsReplacedWithinSeconds(t *testing.T) {
	for _, model := range []string{"large", "small"} {
		t.Run(model, func(t *testing.T) {
			play(t, func(t *testing.T, f *farm, n *node) {
				member, head := memberOf(f, model, 1)
				loads := f.loads
				f.kill(member, true)
				time.Sleep(700 * time.Millisecond)
				n.manager.ReportStall(context.Background(), head)
				time.Sleep(2500 * time.Millisecond)
				require.Len(t, f.whole("large"), 2)
				require.Len(t, f.whole("small"), 2)
				require.Equal(t, loads, f.loads, "each domain keeps a standby of each model")
			})
		})
	}
}

// The store is slow, and entries show what was ordered after 2 s. A member that
// answers that it has joined already must not be taken for one that has not:
// its group would be dissolved, and its members wait for seconds.
func TestSlowEntriesDissolveNoGroup(t *testing.T) {
	play(t, func(t *testing.T, f *farm, n *node) {
		member, head := memberOf(f, "large", 1)
		f.mu.Lock()
		f.lag = 1800 * time.Millisecond
		f.mu.Unlock()
		f.kill(member, true)
		time.Sleep(700 * time.Millisecond)
		n.manager.ReportStall(context.Background(), head)
		time.Sleep(8 * time.Second)
		require.Len(t, f.whole("large"), 2)
	})
}

// A whole domain goes dark and comes back with the models in its hosts'
// memory. Its groups are there again within seconds, without a load.
func TestDomainComesBack(t *testing.T) {
	play(t, func(t *testing.T, f *farm, _ *node) {
		loads := f.loads
		f.mu.Lock()
		var ids []string
		for id, w := range f.workers {
			if w.Domain == "d0" {
				ids = append(ids, id)
			}
		}
		f.mu.Unlock()
		for _, id := range ids {
			f.kill(id, true)
		}
		time.Sleep(6 * time.Second)
		f.mu.Lock()
		for _, id := range ids {
			old := f.workers[id]
			old.dead, old.dark = false, false
			old.Born, old.last, old.Member, old.members, old.Models = 2, "", fleet.Membership{}, nil, nil
			f.show(old)
		}
		f.mu.Unlock()
		time.Sleep(5 * time.Second)
		require.Len(t, f.whole("large"), 2)
		require.Len(t, f.whole("small"), 2)
		require.LessOrEqual(t, f.loads-loads, 1)
	})
}

// The store's trouble ends the service of good groups: members that are cut
// off from the store alone lose their entries while they serve on. They are
// asked, and the group stays open.
func TestMemberCutOffFromTheStoreStays(t *testing.T) {
	play(t, func(t *testing.T, f *farm, _ *node) {
		member, head := memberOf(f, "large", 2)
		group := f.workers[head].Member
		f.cutFromStore(member)
		time.Sleep(10 * time.Second)
		require.Equal(t, group, f.workers[head].Member)
	})
}

// A member that neither the store nor this node reaches may still serve with
// the others. While the group's streams advance, the group stays.
func TestSilentMemberOfAMovingGroupStays(t *testing.T) {
	play(t, func(t *testing.T, f *farm, n *node) {
		member, head := memberOf(f, "large", 2)
		group := f.workers[head].Member
		n.moving[head] = true
		f.mu.Lock()
		f.workers[member].dark = true
		f.mu.Unlock()
		f.hide(member, 3600*time.Millisecond)
		time.Sleep(10 * time.Second)
		require.Equal(t, group, f.workers[head].Member)
		n.moving[head] = false
		time.Sleep(5 * time.Second)
		require.NotEqual(t, group, f.workers[head].Member)
	})
}

// A head that lost its entry gets no requests. The group is formed anew under
// another head, and the old one stays a member.
func TestUnlistedHeadIsReplaced(t *testing.T) {
	play(t, func(t *testing.T, f *farm, _ *node) {
		_, head := memberOf(f, "small", 1)
		f.cutFromStore(head)
		time.Sleep(12 * time.Second)
		small := f.whole("small")
		require.Len(t, small, 2)
		for _, w := range small {
			require.False(t, w.unlisted)
		}
	})
}

// A slow member makes its whole group late. It is replaced by a standby, and
// the group isn't opened again as it was.
func TestSlowMemberIsReplaced(t *testing.T) {
	play(t, func(t *testing.T, f *farm, n *node) {
		member, head := memberOf(f, "large", 3)
		f.mu.Lock()
		f.workers[member].slow = 4
		f.mu.Unlock()
		n.manager.ReportStall(context.Background(), head)
		time.Sleep(4 * time.Second)
		require.Len(t, f.whole("large"), 2)
		for _, w := range f.whole("large") {
			require.NotContains(t, w.members, member)
		}
	})
}

// The head of a group is silent, and nobody knows whether it still serves. Its
// members are told to leave, and some of the orders never arrive. A member that
// was joined to another group before it said itself that it left would be in
// two groups at once, however long ago the head fell silent.
func TestMembersOfASilentHeadJoinOnlyOnceTheyLeft(t *testing.T) {
	play(t, func(t *testing.T, f *farm, _ *node) {
		w := f.whole("large")[0]
		group, stays := w.Member.Group, w.members[1:3]
		f.mu.Lock()
		w.dark = true // alive and open, but not to be reached
		for _, id := range stays {
			f.workers[id].ignores = fleet.OrderLeave
		}
		f.mu.Unlock()
		f.hide(w.ID, 3600*time.Millisecond)
		for range 400 {
			time.Sleep(50 * time.Millisecond)
			f.mu.Lock()
			for _, id := range stays {
				require.Equal(t, group, f.workers[id].Member.Group)
			}
			require.Equal(t, fleet.Open, w.Member.State)
			require.Empty(t, f.broken)
			f.mu.Unlock()
		}
		f.mu.Lock()
		require.NotEqual(t, group, f.workers[w.members[3]].Member.Group, "who left is of use again")
		f.mu.Unlock()
	})
}

// A head's process has ended: its address refuses connections, while its entry
// stays for some seconds. Its members need not wait as for a silent one, and
// its address need not be asked at each step.
func TestMembersOfAnEndedHeadDoNotWait(t *testing.T) {
	play(t, func(t *testing.T, f *farm, n *node) {
		w := f.whole("large")[0]
		f.kill(w.ID, false)
		n.manager.ReportStall(context.Background(), w.ID)
		asked := f.reports
		time.Sleep(2500 * time.Millisecond)
		require.Len(t, f.whole("large"), 2)
		require.LessOrEqual(t, f.reports-asked, 40, "11 of the domain at once, the members before the group opens")
	})
}

// Orders get no answer and are carried out seconds later, after newer ones.
// Groups still form, and none opens without its members.
func TestOrdersCarriedOutLate(t *testing.T) {
	play(t, func(t *testing.T, f *farm, n *node) {
		f.mu.Lock()
		f.lose = 0.4
		f.mu.Unlock()
		member, head := memberOf(f, "large", 1)
		f.kill(member, true)
		time.Sleep(700 * time.Millisecond)
		n.manager.ReportStall(context.Background(), head)
		time.Sleep(20 * time.Second)
		f.mu.Lock()
		f.lose = 0
		f.mu.Unlock()
		time.Sleep(20 * time.Second)
		require.Len(t, f.whole("large"), 2)
	})
}

// A member turns out to be slow in the moment in which its group opens: the
// head was told to open and doesn't show it yet. The group must not be taken
// apart as if it were closed.
func TestGroupIsNotTakenApartWhileItOpens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFarm(1, 2, 11)
		n := manage(f, true)
		defer n.stop(t)
		for range 800 {
			time.Sleep(50 * time.Millisecond)
			for _, head := range f.slowOpening() {
				n.manager.ReportStall(context.Background(), head)
			}
		}
		require.Empty(t, f.broken)
	})
}

// slowOpening makes a member of each group slow that was told to open, and
// returns the groups' heads.
func (f *farm) slowOpening() []string {
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

// A member crashed and came back while its group waited to open. Its entry is
// old and says that it is ready. The group would serve without it.
func TestOpenAsksTheMembersThemselves(t *testing.T) {
	play(t, func(t *testing.T, f *farm, n *node) {
		member, head := memberOf(f, "small", 1)
		f.mu.Lock()
		f.closed = true
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
		f.closed = false
		f.mu.Unlock()
		time.Sleep(10 * time.Second)
	})
}

// A member ended, and another process stands at its address under a new id.
// When the old id is asked there, the new process answers. It must not be taken
// for two members: the list of a group would then name one that is gone.
func TestAnotherProcessAtAnAddress(t *testing.T) {
	play(t, func(t *testing.T, f *farm, n *node) {
		for round, model := range []string{"small", "large", "small"} {
			w := f.whole(model)[0]
			for i, id := range w.members[1:] {
				f.replace(id, fmt.Sprintf("new-%d-%d", round, i))
			}
			n.manager.ReportStall(context.Background(), w.ID)
			time.Sleep(5 * time.Second)
			f.mu.Lock()
			f.lose = 0.6
			f.mu.Unlock()
			time.Sleep(6 * time.Second)
			f.mu.Lock()
			f.lose = 0
			f.mu.Unlock()
			time.Sleep(25 * time.Second)
		}
	})
}

// A new holder of the zone's lease knows only what endpoints say. It goes on
// where the last one stopped, and breaks up nothing.
func TestNewHolderTakesOver(t *testing.T) {
	play(t, func(t *testing.T, f *farm, n *node) {
		before := map[string]fleet.Membership{}
		for id, w := range f.workers {
			before[id] = w.Member
		}
		n.holds = false
		next := manage(f, false)
		defer next.stop(t)
		next.begun = true
		time.Sleep(20 * time.Second)
		for id, w := range f.workers {
			if before[id].State == fleet.Open {
				require.Equal(t, before[id], w.Member)
			}
		}
	})
}

// Holders follow each other while orders are carried out late. What one
// ordered must not undo, later, what the next one formed.
func TestHoldersChangeWhileOrdersAreLate(t *testing.T) {
	for seed := range uint64(15) {
		synctest.Test(t, func(t *testing.T) {
			f := newFarm(seed, 2, 11)
			first := manage(f, true)
			defer first.stop(t)
			time.Sleep(40 * time.Second)
			first.begun = true
			holder := first
			for range 4 {
				member, head := memberOf(f, "small", 1)
				f.mu.Lock()
				f.lose = 0.6
				f.mu.Unlock()
				f.kill(member, false)
				holder.manager.ReportStall(context.Background(), head)
				time.Sleep(time.Duration(500+f.random.IntN(1500)) * time.Millisecond)
				holder.holds = false
				holder = manage(f, false)
				defer holder.stop(t)
				holder.begun = true
				time.Sleep(2 * time.Second)
				f.mu.Lock()
				f.lose = 0
				f.mu.Unlock()
				time.Sleep(20 * time.Second)
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			require.Empty(t, f.broken, "seed %d", seed)
		})
	}
}

// Random losses, cuts and late orders, for many seeds: whatever happens, no
// group opens without its members, and none is taken apart while it serves.
func TestRandomTroubleKeepsGroupsWhole(t *testing.T) {
	for seed := range uint64(25) {
		synctest.Test(t, func(t *testing.T) {
			f := newFarm(seed, 2, 11)
			n := manage(f, true)
			defer n.stop(t)
			time.Sleep(40 * time.Second)
			n.begun = true
			for range 14 {
				f.trouble(n)
				time.Sleep(time.Duration(f.random.IntN(3000)) * time.Millisecond)
			}
			time.Sleep(30 * time.Second)
			f.mu.Lock()
			defer f.mu.Unlock()
			require.Empty(t, f.broken, "seed %d", seed)
		})
	}
}

// trouble does one random thing to a random worker.
func (f *farm) trouble(n *node) {
	f.mu.Lock()
	var ids []string
	for id := range f.workers {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	id := ids[f.random.IntN(len(ids))]
	head := ""
	if w := f.workers[id]; len(w.members) > 0 {
		head = w.members[0]
	}
	kind := f.random.IntN(5)
	f.lose = []float64{0, 0, 0.3}[f.random.IntN(3)]
	f.mu.Unlock()
	switch kind {
	case 0:
		f.kill(id, true)
	case 1:
		f.kill(id, false)
	case 2:
		f.cutFromStore(id)
	case 3:
		f.mu.Lock()
		f.workers[id].slow = 4
		f.mu.Unlock()
	case 4:
		f.book.Apply(time.Now(), directory.Change{Gone: id})
	}
	if head != "" {
		n.manager.ReportStall(context.Background(), head)
	}
}
