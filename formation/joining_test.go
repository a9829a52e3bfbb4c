package formation_test

import (
	"context"
	"fmt"
	"sort"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"redwinghall"
	"redwinghall/directory"
	"redwinghall/fleet"
	"redwinghall/kernel"
	"redwinghall/platform"
	_ "redwinghall/rwhtest/fixedseed"
)

// link is one holder's connection to the fake endpoints.
type link struct {
	zone *fakeZone
	// frozen is until when the holder's process is frozen. Orders that it had already
	// decided on are sent when it resumes.
	frozen time.Time
	// unreachable holds until when the holder can't reach an endpoint, and noAnswers
	// until when it gets no answers from one although its orders arrive.
	unreachable map[string]time.Time
	noAnswers   map[string]time.Time
}

func newLink(f *fakeZone) *link {
	return &link{zone: f, unreachable: map[string]time.Time{}, noAnswers: map[string]time.Time{}}
}

var errLink = redwinghall.NewOpError("link", platform.NoAnswer, errUnreachable)

// state waits while the holder is frozen, and reports whether an endpoint can be
// reached and whether its answers come back.
func (l *link) state(id string) (reached, answers bool) {
	l.zone.mu.Lock()
	wake := l.frozen
	l.zone.mu.Unlock()
	time.Sleep(time.Until(wake))
	l.zone.mu.Lock()
	defer l.zone.mu.Unlock()
	now := time.Now()
	return !now.Before(l.unreachable[id]), !now.Before(l.noAnswers[id])
}

// Order implements fleet.Orderer.
func (l *link) Order(ctx context.Context, e *fleet.Endpoint, o fleet.Order) (fleet.Outcome, error) {
	reached, answers := l.state(e.ID)
	if !reached {
		time.Sleep(700 * time.Millisecond)
		return fleet.Unanswered, errLink
	}
	outcome, err := l.zone.Order(ctx, e, o)
	if !answers {
		return fleet.Unanswered, errLink
	}
	return outcome, err
}

// Report implements fleet.Orderer.
func (l *link) Report(ctx context.Context, e *fleet.Endpoint) (fleet.Report, error) {
	reached, answers := l.state(e.ID)
	if !reached || !answers {
		time.Sleep(300 * time.Millisecond)
		return fleet.Report{}, errLink
	}
	return l.zone.Report(ctx, e)
}

// Healthy implements fleet.Orderer.
func (l *link) Healthy(ctx context.Context, e *fleet.Endpoint, path string) (bool, error) {
	reached, answers := l.state(e.ID)
	if !reached || !answers {
		time.Sleep(300 * time.Millisecond)
		return false, errLink
	}
	return l.zone.Healthy(ctx, e, path)
}

// Kinds of faults in a test case. "It" is the endpoint that the fault hits.
const (
	faultCrash         = "crash"    // it ends, and its address refuses connections
	faultUnresponsive  = "dark"     // it ends, and requests to its address time out
	faultLeave         = "leave"    // it stops listening, finishes its requests, and ends
	faultIsolated      = "silent"   // it is partitioned from everything for a while, and keeps serving
	faultUnreachable   = "cut"      // the holder can't reach it for a while
	faultNoAnswers     = "one_way"  // its answers don't reach the holder for a while
	faultStore         = "store"    // its entry expires, and it keeps serving
	faultRestart       = "restart"  // it restarts under its id
	faultSlow          = "slow"     // it works slowly
	faultOrders        = "orders"   // orders are lost, delayed and repeated for a while
	faultEntries       = "entries"  // entries reach the nodes late for a while
	faultHandOver      = "hand"     // the holder gives up the lease
	faultKill          = "kill"     // the holder ends, and another one acquires the lease
	faultFreeze        = "freeze"   // the holder freezes, and another one acquires the lease
	faultLeaseRegained = "lease_on" // the holder loses the lease and reacquires it
	faultNone          = "none"
)

// fault is one event of a test case.
type fault struct {
	Kind  string
	VM    int           // index of the endpoint, in the order of target
	After time.Duration // delay since the last event
	Lasts time.Duration
	Share float64 // share of lost orders, for faultOrders
}

func faults() *rapid.Generator[[]fault] {
	one := rapid.Custom(func(t *rapid.T) fault {
		return fault{
			Kind: rapid.SampledFrom([]string{
				faultNone, faultCrash, faultUnresponsive, faultLeave, faultLeave, faultIsolated, faultUnreachable, faultNoAnswers, faultStore,
				faultRestart, faultSlow, faultOrders, faultEntries, faultHandOver, faultKill, faultFreeze, faultLeaseRegained,
			}).Draw(t, "kind"),
			VM:    rapid.IntRange(0, 8).Draw(t, "vm"),
			After: time.Duration(rapid.IntRange(0, 40).Draw(t, "after")) * 50 * time.Millisecond,
			Lasts: time.Duration(rapid.IntRange(4, 100).Draw(t, "lasts")) * 100 * time.Millisecond,
			Share: rapid.SampledFrom([]float64{0.2, 0.5, 0.9}).Draw(t, "share"),
		}
	})
	return rapid.SliceOfN(one, 1, 12)
}

// scenario runs a test case: consecutive lease holders over the same endpoints.
type scenario struct {
	settle time.Duration  // time to form the first groups
	demand map[string]int // requests in each group of a model
	t      *testing.T
	zone   *fakeZone
	holder *node
	link   *link
	stops  []func()
	counts *caseCounts
	next   *follower // the next holder's copy of the entries
}

// followerLag is how much later a node that isn't the holder reads the entries.
const followerLag = 800 * time.Millisecond

// caseCounts counts what happened in the cases.
type caseCounts struct {
	cases, events, holders, joins, left, staged atomic.Int64
}

func (j *scenario) startHolder(firstStart bool) {
	j.link = newLink(j.zone)
	j.zone.mu.Lock()
	j.zone.write()
	version := j.zone.version
	j.next.extraLag = 0 // a holder reads the entries more often
	j.zone.mu.Unlock()
	n := manageBy(j.zone, firstStart, j.link, j.next.cache)
	j.next = j.zone.follow(followerLag)
	n.set(func() { n.leasePosition = fleet.Position{Version: version} })
	n.trafficStarted.Store(!firstStart)
	n.demand.Store(&j.demand)
	j.holder = n
	j.stops = append(j.stops, func() { n.stop(j.t) })
	j.counts.holders.Add(1)
}

// run runs a case and returns the violations.
func (j *scenario) run(events []fault) []string {
	defer func() {
		for _, stop := range j.stops {
			stop()
		}
	}()
	j.next = j.zone.follow(followerLag)
	j.startHolder(true)
	time.Sleep(j.settle)
	j.holder.trafficStarted.Store(true)
	for _, e := range events {
		time.Sleep(e.After)
		j.inject(e)
		j.counts.events.Add(1)
	}
	time.Sleep(25 * time.Second)
	j.zone.mu.Lock()
	defer j.zone.mu.Unlock()
	j.counts.cases.Add(1)
	j.counts.joins.Add(int64(j.zone.joins))
	j.counts.left.Add(int64(j.zone.left))
	return j.zone.doubleMembers
}

// target returns the n-th endpoint and its group's head: heads of open groups come
// first, then other members, then the rest.
func (j *scenario) target(n int) (id, head string) {
	j.zone.mu.Lock()
	defer j.zone.mu.Unlock()
	rank := func(w *fakeEndpoint) int {
		switch {
		case w.dead || len(w.members) < 2:
			return 2
		case w.Member.Rank == 0 && (w.Member.State == fleet.Open || w.opening):
			return 0
		}
		return 1
	}
	var all []*fakeEndpoint
	for _, w := range j.zone.workers {
		all = append(all, w)
	}
	sort.Slice(all, func(a, b int) bool {
		if rank(all[a]) != rank(all[b]) {
			return rank(all[a]) < rank(all[b])
		}
		return all[a].ID < all[b].ID
	})
	w := all[n%len(all)]
	if len(w.members) > 0 {
		head = w.members[0]
	}
	return w.ID, head
}

func (j *scenario) inject(e fault) {
	f := j.zone
	id, head := j.target(e.VM)
	until := time.Now().Add(e.Lasts)
	switch e.Kind {
	case faultCrash, faultUnresponsive:
		f.kill(id, e.Kind == faultUnresponsive)
	case faultLeave:
		f.stopListening(id)
		time.AfterFunc(e.Lasts, func() { f.kill(id, true) })
	case faultIsolated:
		f.isolate(id, e.Lasts)
	case faultUnreachable, faultNoAnswers:
		f.mu.Lock()
		if e.Kind == faultUnreachable {
			j.link.unreachable[id] = until
		} else {
			j.link.noAnswers[id] = until
		}
		f.mu.Unlock()
	case faultStore:
		f.cutFromStore(id)
	case faultRestart:
		f.restart(id)
		f.mu.Lock()
		f.publishEntry(f.workers[id])
		f.mu.Unlock()
	case faultSlow:
		f.mu.Lock()
		f.workers[id].slow = 4
		f.mu.Unlock()
	case faultOrders:
		f.mu.Lock()
		f.lossRate, f.repeatRate = e.Share, e.Share/2
		f.mu.Unlock()
		time.AfterFunc(e.Lasts, func() { f.mu.Lock(); f.lossRate, f.repeatRate = 0, 0; f.mu.Unlock() })
	case faultEntries:
		f.mu.Lock()
		f.lag = 150*time.Millisecond + min(e.Lasts, 2*time.Second)
		f.mu.Unlock()
		time.AfterFunc(e.Lasts, func() { f.mu.Lock(); f.lag = 150 * time.Millisecond; f.mu.Unlock() })
	default:
		j.injectHolderFault(e, until)
	}
	if head != "" {
		j.holder.manager.ReportStall(context.Background(), head)
	}
}

// injectHolderFault changes the lease holder.
func (j *scenario) injectHolderFault(e fault, until time.Time) {
	switch e.Kind {
	case faultHandOver:
		j.holder.holdsLease.Store(false)
		time.Sleep(100 * time.Millisecond)
		j.startHolder(false)
	case faultKill:
		j.holder.holdsLease.Store(false)
		j.holder.group.Stop()
		time.Sleep(3 * time.Second)
		j.startHolder(false)
	case faultFreeze:
		j.zone.mu.Lock()
		j.link.frozen = until
		j.zone.mu.Unlock()
		j.holder.holdsLease.Store(false)
		time.Sleep(3 * time.Second)
		j.startHolder(false)
	case faultLeaseRegained:
		first, link := j.holder, j.link
		first.holdsLease.Store(false)
		time.Sleep(time.Second)
		j.startHolder(false)
		time.Sleep(e.Lasts / 2)
		j.holder.holdsLease.Store(false)
		j.zone.mu.Lock()
		j.zone.write()
		first.set(func() { first.leasePosition = fleet.Position{Version: j.zone.version} })
		j.zone.mu.Unlock()
		j.holder, j.link = first, link
		first.holdsLease.Store(true)
	}
}

// Whatever faults hit heads, members, orders, connections, entries and holders, and in
// whatever order, no VM accepts an order to join another group while the head of its own
// group is open: the group's streams would stall.
func TestNoVMIsInTwoGroups(t *testing.T) {
	seen := &caseCounts{}
	rapid.Check(t, func(rt *rapid.T) {
		events := faults().Draw(rt, "events")
		seed := rapid.Uint64().Draw(rt, "seed")
		var violations []string
		synctest.Test(t, func(t *testing.T) {
			j := &scenario{t: t, settle: 25 * time.Second, zone: newFakeZone(seed, 1, 11), counts: seen}
			violations = j.run(events)
		})
		if len(violations) > 0 {
			rt.Fatalf("%s", fmt.Sprint(violations))
		}
	})
	t.Logf("%d cases: %d events, %d holders, %d joins, %d accepted orders to leave", seen.cases.Load(), seen.events.Load(),
		seen.holders.Load(), seen.joins.Load(), seen.left.Load())
}

// The same as TestNoVMIsInTwoGroups, while members of small groups replace those of
// large ones and groups are converted to another model as the demand changes.
func TestNoVMIsInTwoGroupsWhileGroupsAreDismantled(t *testing.T) {
	seen := &caseCounts{}
	rapid.Check(t, func(rt *rapid.T) {
		events := faults().Draw(rt, "events")
		seed := rapid.Uint64().Draw(rt, "seed")
		demand := map[string]int{"large": rapid.IntRange(0, 20).Draw(rt, "large"), "small": rapid.IntRange(0, 20).Draw(rt, "small")}
		var violations []string
		synctest.Test(t, func(t *testing.T) {
			j := &scenario{t: t, settle: time.Minute, demand: demand, zone: newFakeZoneWith(pairsEngine(), seed, 3, 18), counts: seen}
			violations = j.run(events)
			seen.staged.Add(int64(j.zone.staged))
		})
		if len(violations) > 0 {
			rt.Fatalf("%s", fmt.Sprint(violations))
		}
	})
	t.Logf("%d cases: %d events, %d holders, %d joins, %d models staged by serving members", seen.cases.Load(), seen.events.Load(),
		seen.holders.Load(), seen.joins.Load(), seen.staged.Load())
}

// The lease changes holders at each step of a group's life, from the first order to
// join until after its end: by a planned handover, by the holder's crash, or while the
// holder is frozen with an order pending. In addition, the head stops listening,
// becomes unresponsive or crashes.
func TestLeaseChangesHandsAtEachStep(t *testing.T) {
	seen := &caseCounts{}
	for _, how := range []string{faultHandOver, faultKill, faultFreeze, faultLeaseRegained} {
		for _, head := range []string{faultNone, faultLeave, faultIsolated, faultCrash, faultNoAnswers, faultStore} {
			for step := range 24 {
				events := []fault{
					{Kind: faultUnresponsive, VM: 2}, // a member, so that its group is formed again
					{Kind: how, After: time.Duration(step) * 100 * time.Millisecond, Lasts: 4 * time.Second},
					{Kind: head, VM: 0, After: time.Duration(step%5) * 100 * time.Millisecond, Lasts: 3 * time.Second},
					{Kind: faultNone, After: time.Second},
				}
				var violations []string
				synctest.Test(t, func(t *testing.T) {
					j := &scenario{t: t, settle: 25 * time.Second, zone: newFakeZone(uint64(step), 1, 11), counts: seen}
					violations = j.run(events)
				})
				if len(violations) > 0 {
					t.Errorf("%s, head: %s, step %d: %v", how, head, step, violations)
				}
			}
		}
	}
	t.Logf("%d cases: %d holders, %d joins", seen.cases.Load(), seen.holders.Load(), seen.joins.Load())
}

var _ fleet.Orderer = (*link)(nil)

// manageBy returns a holder that reaches the endpoints through a link, with its own
// copy of their entries.
func manageBy(f *fakeZone, firstStart bool, orderer fleet.Orderer, cache *directory.Cache) *node {
	f.mu.Lock()
	f.leases++
	n := &node{version: f.leases, firstStart: firstStart, progressing: map[string]bool{}, leaving: map[string]bool{}, group: kernel.NewGroup(context.Background())}
	n.holdsLease.Store(true)
	f.mu.Unlock()
	n.start(cache, orderer)
	return n
}
