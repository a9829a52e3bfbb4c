package formation_test

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall"
	"redwinghall/directory"
	"redwinghall/fleet"
	"redwinghall/formation"
	"redwinghall/kernel"
)

// node runs a manager of the fake zone.
type node struct {
	manager        *formation.Manager
	group          *kernel.Group
	holdsLease     atomic.Bool
	trafficStarted atomic.Bool
	// mu guards the fields below, which the manager reads while a test changes them.
	mu          sync.Mutex
	progressing map[string]bool
	leaving     map[string]bool // endpoints that said that they leave
	// demand is how many requests each open group of a model has.
	demand atomic.Pointer[map[string]int]
	// uses is what accounts ask and get.
	uses       []redwinghall.AccountUse
	firstStart bool
	era        int64 // of the store
	// onLeaseCheck is called when the manager checks whether it holds the lease; it may be
	// nil.
	onLeaseCheck func()
	// unrecovered reports that entries that the store lost may not have been written
	// again.
	unrecovered bool
	version     int64 // of the store when the node acquired the lease
	// leasePosition is the position up to which the entries must have been read.
	leasePosition fleet.Position
}

func manage(f *fakeZone, firstStart bool) *node {
	f.leases++
	n := &node{version: f.leases, firstStart: firstStart, progressing: map[string]bool{}, leaving: map[string]bool{}, group: kernel.NewGroup(context.Background())}
	n.holdsLease.Store(true)
	n.start(f.cache, f)
	return n
}

// start runs a manager that forms groups from the node's copy of the entries and sends
// orders through orderer.
func (n *node) start(cache *directory.Cache, orderer fleet.Orderer) {
	settings := fleet.Settings{Zone: "z", Zones: []string{"z"}, FirstStart: n.firstStart, Bounds: fleet.Bounds{
		Stall: 4 * time.Second, LoadsWindow: 5 * time.Second, LoadsOvershoot: 1.1,
	}}
	n.manager = formation.NewManager(formation.Options{
		Settings: func() fleet.Settings { return settings }, Cache: cache, Orderer: orderer, LeasePosition: func(string) fleet.Position { return locked(n, &n.leasePosition) },
		Recovered:  func(int64) bool { return !locked(n, &n.unrecovered) },
		HoldsLease: func(string) bool { n.leaseChecked(); return n.holdsLease.Load() }, Position: func() fleet.Position { return fleet.Position{Era: locked(n, &n.era), Version: locked(n, &n.version)} },
		TrafficStarted: func() bool { return n.trafficStarted.Load() }, Progressing: func(_ time.Time, id string) bool { return n.has(n.progressing, id) },
		Running: n.running(cache), Uses: func(time.Time, string) []redwinghall.AccountUse { return locked(n, &n.uses) },
		IsLeaving: func(e *fleet.Endpoint) bool { return n.has(n.leaving, e.ID) },
	})
	n.manager.Start(n.group)
}

func (n *node) leaseChecked() {
	if check := locked(n, &n.onLeaseCheck); check != nil {
		check()
	}
}

// locked returns a field of the node.
func locked[T any](n *node, field *T) T {
	n.mu.Lock()
	defer n.mu.Unlock()
	return *field
}

// has reports whether a set of the node has an endpoint.
func (n *node) has(set map[string]bool, id string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return set[id]
}

// set changes fields of the node.
func (n *node) set(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
}

// running returns a function that reports a head's number of requests, according to its
// model's demand.
func (n *node) running(cache *directory.Cache) func(time.Time, string) int {
	return func(_ time.Time, id string) int {
		e, known := cache.View().Endpoints[id]
		demand := n.demand.Load()
		if !known || demand == nil {
			return 0
		}
		return (*demand)[e.Model()]
	}
}

func (n *node) stop(t *testing.T) {
	t.Helper()
	n.group.Stop()
	require.NoError(t, n.group.Wait())
}

// runDefault runs a test on two domains of eleven that have formed their groups.
func runDefault(t *testing.T, run func(t *testing.T, f *fakeZone, n *node)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFakeZone(1, 2, 11)
		n := manage(f, true)
		defer n.stop(t)
		time.Sleep(40 * time.Second)
		n.trafficStarted.Store(true)
		require.Len(t, f.servingHeads("large"), 2)
		require.Len(t, f.servingHeads("small"), 2)
		run(t, f, n)
		require.Empty(t, f.violations)
	})
}

// memberOf returns a member of some group of a model, and the group's head.
func memberOf(f *fakeZone, model string, rank int) (member, head string) {
	w := f.servingHeads(model)[0]
	return w.members[rank], w.ID
}

// Endpoints register over about a second. Forming groups from the first few would leave
// no domain for the large model, and half of its groups would be missing.
func TestFirstGroupsWaitForAllEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeZone(1, 0, 0)
		n := manage(f, true)
		defer n.stop(t)
		for i := range 22 {
			f.add(string(rune('a'+i)), []string{"d0", "d1"}[i%2])
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(30 * time.Second)
		require.Len(t, f.servingHeads("large"), 2)
		require.Len(t, f.servingHeads("small"), 2)
	})
}

// The number of endpoints that can register per second is limited. Groups formed while
// endpoints still register find partly filled domains: a zone of two domains of 27 that
// took 4 s to fill got one large group instead of two, and half of the large model's
// requests were refused.
func TestFirstGroupsWaitWhileEndpointsKeepComing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeZone(1, 0, 0)
		n := manage(f, true)
		defer n.stop(t)
		for i := range 22 {
			f.add(fmt.Sprintf("w%02d", i), []string{"d0", "d1"}[i/11])
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(30 * time.Second)
		require.Len(t, f.servingHeads("large"), 2)
		require.Len(t, f.servingHeads("small"), 2)
	})
}

// A member becomes unresponsive while the head keeps accepting requests, and no event
// reports it. The group is closed as soon as its streams stall, and a standby that has
// the model replaces the member.
func TestLostMemberIsReplacedWithinSeconds(t *testing.T) {
	for _, model := range []string{"large", "small"} {
		t.Run(model, func(t *testing.T) {
			runDefault(t, func(t *testing.T, f *fakeZone, n *node) {
				member, head := memberOf(f, model, 1)
				loads := f.loadCount()
				f.kill(member, true)
				time.Sleep(700 * time.Millisecond)
				n.manager.ReportStall(context.Background(), head)
				time.Sleep(2500 * time.Millisecond)
				require.Len(t, f.servingHeads("large"), 2)
				require.Len(t, f.servingHeads("small"), 2)
				require.Equal(t, loads, f.loadCount(), "each domain keeps a standby of each model")
			})
		})
	}
}

// The store is slow, and entries show the effect of orders after 2 s. A member that
// answers that it has already joined must count as joined: otherwise its group would be
// dissolved, and its members would wait for seconds.
func TestSlowEntriesDissolveNoGroup(t *testing.T) {
	runDefault(t, func(t *testing.T, f *fakeZone, n *node) {
		member, head := memberOf(f, "large", 1)
		f.mu.Lock()
		f.lag = 1800 * time.Millisecond
		f.mu.Unlock()
		f.kill(member, true)
		time.Sleep(700 * time.Millisecond)
		n.manager.ReportStall(context.Background(), head)
		time.Sleep(8 * time.Second)
		require.Len(t, f.servingHeads("large"), 2)
	})
}

// A whole domain goes down and comes back with the models in host memory. Its groups
// are formed again within seconds, without a load.
func TestDomainComesBack(t *testing.T) {
	runDefault(t, func(t *testing.T, f *fakeZone, _ *node) {
		loads := f.loadCount()
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
			old.dead, old.unresponsive = false, false
			old.StartedMillis, old.lastModel, old.Member, old.members, old.Models = 2, "", fleet.Membership{}, nil, nil
			f.publishEntry(old)
		}
		f.mu.Unlock()
		time.Sleep(5 * time.Second)
		require.Len(t, f.servingHeads("large"), 2)
		require.Len(t, f.servingHeads("small"), 2)
		require.LessOrEqual(t, f.loadCount()-loads, 1)
	})
}

// Members that are partitioned from the store, but from nothing else, lose their entries
// while they keep serving. They are asked directly, and the group stays open: otherwise
// a store outage would end the service of healthy groups.
func TestMemberCutOffFromTheStoreStays(t *testing.T) {
	runDefault(t, func(t *testing.T, f *fakeZone, _ *node) {
		member, head := memberOf(f, "large", 2)
		group := f.workers[head].Member
		f.cutFromStore(member)
		time.Sleep(10 * time.Second)
		require.Equal(t, group, f.workers[head].Member)
	})
}

// A member that neither the store nor this node can reach may still serve with the
// others. The group stays while its streams progress.
func TestSilentMemberOfProgressingGroupStays(t *testing.T) {
	runDefault(t, func(t *testing.T, f *fakeZone, n *node) {
		member, head := memberOf(f, "large", 2)
		group := f.workers[head].Member
		n.set(func() { n.progressing[head] = true })
		f.mu.Lock()
		f.workers[member].unresponsive = true
		f.mu.Unlock()
		f.removeEntry(member, 3600*time.Millisecond)
		time.Sleep(10 * time.Second)
		require.Equal(t, group, f.workers[head].Member)
		n.set(func() { n.progressing[head] = false })
		time.Sleep(5 * time.Second)
		require.NotEqual(t, group, f.workers[head].Member)
	})
}

// A head without an entry gets no requests. The group is formed again under another
// head, and the old head stays a member.
func TestUnlistedHeadIsReplaced(t *testing.T) {
	runDefault(t, func(t *testing.T, f *fakeZone, _ *node) {
		_, head := memberOf(f, "small", 1)
		f.cutFromStore(head)
		time.Sleep(12 * time.Second)
		small := f.servingHeads("small")
		require.Len(t, small, 2)
		for _, w := range small {
			require.False(t, w.unlisted)
		}
	})
}

// A slow member delays its whole group. It is replaced by a standby, and the group
// isn't opened again with the slow member.
func TestSlowMemberIsReplaced(t *testing.T) {
	runDefault(t, func(t *testing.T, f *fakeZone, n *node) {
		member, head := memberOf(f, "large", 3)
		f.mu.Lock()
		f.workers[member].slow = 4
		f.mu.Unlock()
		n.manager.ReportStall(context.Background(), head)
		time.Sleep(4 * time.Second)
		require.Len(t, f.servingHeads("large"), 2)
		for _, w := range f.servingHeads("large") {
			require.NotContains(t, w.members, member)
		}
	})
}

// A sound member falls silent for a second, and its group stands still. If it counted as lost, the
// group would be closed with all its streams, and its members formed anew.
func TestSecondOfSilenceBreaksNoGroup(t *testing.T) {
	runDefault(t, func(t *testing.T, f *fakeZone, n *node) {
		member, head := memberOf(f, "large", 3)
		before := groupsOf(f, "large")
		silence := func(silent bool) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.workers[member].unresponsive = silent
		}
		silence(true)
		for range 5 { // its streams have been still for 0.7 s, and go on half a second later
			n.manager.ReportStall(context.Background(), head)
			time.Sleep(100 * time.Millisecond)
		}
		silence(false)
		time.Sleep(5 * time.Second)
		require.Equal(t, before, groupsOf(f, "large"))
	})
}

// groupsOf returns the names of a model's open groups.
func groupsOf(f *fakeZone, model string) []string {
	var names []string
	for _, w := range f.servingHeads(model) {
		names = append(names, w.Member.Group)
	}
	sort.Strings(names)
	return names
}

// A new holder of the zone's lease has only the endpoints' reports. It continues from the
// present state and dissolves no group.
func TestNewHolderTakesOver(t *testing.T) {
	runDefault(t, func(t *testing.T, f *fakeZone, n *node) {
		before := map[string]fleet.Membership{}
		for id, w := range f.workers {
			before[id] = w.Member
		}
		n.holdsLease.Store(false)
		next := manage(f, false)
		defer next.stop(t)
		next.trafficStarted.Store(true)
		time.Sleep(20 * time.Second)
		for id, w := range f.workers {
			if before[id].State == fleet.Open {
				require.Equal(t, before[id], w.Member)
			}
		}
	})
}

// The lease changes holders while orders are carried out late. A late order of one
// holder must not undo what the next holder formed.
func TestHoldersChangeWhileOrdersAreLate(t *testing.T) {
	for seed := range uint64(15) {
		synctest.Test(t, func(t *testing.T) {
			f := newFakeZone(seed, 2, 11)
			first := manage(f, true)
			defer first.stop(t)
			time.Sleep(40 * time.Second)
			first.trafficStarted.Store(true)
			holder := first
			for range 4 {
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
			require.Empty(t, f.violations, "seed %d", seed)
		})
	}
}

// Random failures, partitions and late orders for many seeds: no group opens without
// its members, and none is dissolved while it serves.
func TestRandomFaultsKeepGroupsComplete(t *testing.T) {
	for seed := range uint64(25) {
		synctest.Test(t, func(t *testing.T) {
			f := newFakeZone(seed, 2, 11)
			n := manage(f, true)
			defer n.stop(t)
			time.Sleep(40 * time.Second)
			n.trafficStarted.Store(true)
			for range 14 {
				f.injectRandomFault(n)
				time.Sleep(time.Duration(f.intN(3000)) * time.Millisecond)
			}
			time.Sleep(30 * time.Second)
			f.mu.Lock()
			defer f.mu.Unlock()
			require.Empty(t, f.violations, "seed %d", seed)
		})
	}
}

// injectRandomFault applies one random fault to a random endpoint.
func (f *fakeZone) injectRandomFault(n *node) {
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
	f.lossRate = []float64{0, 0, 0.3}[f.random.IntN(3)]
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
		f.cache.Apply(time.Now(), directory.Change{Gone: id})
	}
	if head != "" {
		n.manager.ReportStall(context.Background(), head)
	}
}
