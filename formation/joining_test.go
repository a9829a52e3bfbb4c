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

// link is how one holder reaches the farm's endpoints.
type link struct {
	farm *farm
	// frozen is until when the holder stands still: what it had decided before,
	// it does when it wakes.
	frozen time.Time
	// cut holds until when it doesn't reach an endpoint, and deaf the endpoints
	// of which it gets no answers although its orders arrive.
	cut  map[string]time.Time
	deaf map[string]time.Time
}

func newLink(f *farm) *link {
	return &link{farm: f, cut: map[string]time.Time{}, deaf: map[string]time.Time{}}
}

var errLink = redwinghall.NewOpError("link", platform.NoAnswer, errFarm)

// pass waits while the holder is frozen, and reports whether an endpoint is
// reached and whether its answers come back.
func (l *link) pass(id string) (reached, answers bool) {
	l.farm.mu.Lock()
	wake := l.frozen
	l.farm.mu.Unlock()
	time.Sleep(time.Until(wake))
	l.farm.mu.Lock()
	defer l.farm.mu.Unlock()
	now := time.Now()
	return !now.Before(l.cut[id]), !now.Before(l.deaf[id])
}

// Order implements fleet.Orderer.
func (l *link) Order(ctx context.Context, e *fleet.Endpoint, o fleet.Order) (fleet.Outcome, error) {
	reached, answers := l.pass(e.ID)
	if !reached {
		time.Sleep(700 * time.Millisecond)
		return fleet.Unanswered, errLink
	}
	outcome, err := l.farm.Order(ctx, e, o)
	if !answers {
		return fleet.Unanswered, errLink
	}
	return outcome, err
}

// Report implements fleet.Orderer.
func (l *link) Report(ctx context.Context, e *fleet.Endpoint) (fleet.Report, error) {
	reached, answers := l.pass(e.ID)
	if !reached || !answers {
		time.Sleep(300 * time.Millisecond)
		return fleet.Report{}, errLink
	}
	return l.farm.Report(ctx, e)
}

// Healthy implements fleet.Orderer.
func (l *link) Healthy(ctx context.Context, e *fleet.Endpoint, path string) (bool, error) {
	reached, answers := l.pass(e.ID)
	if !reached || !answers {
		time.Sleep(300 * time.Millisecond)
		return false, errLink
	}
	return l.farm.Healthy(ctx, e, path)
}

// kinds of trouble that a case is made of.
const (
	troubleCrash    = "crash"    // its address refuses connections
	troubleDark     = "dark"     // it ends, and its address is silent
	troubleLeave    = "leave"    // it stops listening, works on, and ends
	troubleSilent   = "silent"   // nobody reaches it for a while; it serves on
	troubleCut      = "cut"      // the holder doesn't reach it for a while
	troubleOneWay   = "one_way"  // its answers don't reach the holder for a while
	troubleStore    = "store"    // its entry lapses; it serves on
	troubleRestart  = "restart"  // it starts again under its id
	troubleSlow     = "slow"     // it works slowly
	troubleOrders   = "orders"   // orders are lost, late and twice for a while
	troubleEntries  = "entries"  // entries reach the nodes late for a while
	troubleHandOver = "hand"     // the holder gives the lease up
	troubleKill     = "kill"     // the holder ends, and another takes the lease
	troubleFreeze   = "freeze"   // the holder freezes, and another takes the lease
	troubleBack     = "lease_on" // the holder loses the lease and takes it again
	troubleNone     = "none"
)

// trouble is one event of a case.
type trouble struct {
	Kind  string
	VM    int           // which one, of those in groups first
	After time.Duration // since the last event
	Lasts time.Duration
	Share float64
}

func troubles() *rapid.Generator[[]trouble] {
	one := rapid.Custom(func(t *rapid.T) trouble {
		return trouble{
			Kind: rapid.SampledFrom([]string{
				troubleNone, troubleCrash, troubleDark, troubleLeave, troubleLeave, troubleSilent, troubleCut, troubleOneWay, troubleStore,
				troubleRestart, troubleSlow, troubleOrders, troubleEntries, troubleHandOver, troubleKill, troubleFreeze, troubleBack,
			}).Draw(t, "kind"),
			VM:    rapid.IntRange(0, 8).Draw(t, "vm"),
			After: time.Duration(rapid.IntRange(0, 40).Draw(t, "after")) * 50 * time.Millisecond,
			Lasts: time.Duration(rapid.IntRange(4, 100).Draw(t, "lasts")) * 100 * time.Millisecond,
			Share: rapid.SampledFrom([]float64{0.2, 0.5, 0.9}).Draw(t, "share"),
		}
	})
	return rapid.SliceOfN(one, 1, 12)
}

// joining plays a case: holders that follow each other over one domain.
type joining struct {
	settle time.Duration  // until the first groups are formed
	asked  map[string]int // requests at each group of a model
	t      *testing.T
	farm   *farm
	holder *node
	link   *link
	stops  []func()
	seen   *seenCases
	next   *follower // the copy that the next holder has
}

// copyBehind is how much less often a node reads the entries that is no holder.
const copyBehind = 800 * time.Millisecond

// seenCases counts what the cases brought about.
type seenCases struct {
	cases, events, holders, joins, left, staged atomic.Int64
}

func (j *joining) hold(fresh bool) {
	j.link = newLink(j.farm)
	j.farm.mu.Lock()
	j.farm.write()
	version := j.farm.version
	j.next.behind = 0 // a holder reads more often
	j.farm.mu.Unlock()
	n := manageBy(j.farm, fresh, j.link, j.next.book)
	j.next = j.farm.follow(copyBehind)
	n.heldFrom = fleet.Position{Version: version}
	n.begun = !fresh
	n.asked.Store(&j.asked)
	j.holder = n
	j.stops = append(j.stops, func() { n.stop(j.t) })
	j.seen.holders.Add(1)
}

// play runs a case and returns what was broken.
func (j *joining) play(events []trouble) []string {
	defer func() {
		for _, stop := range j.stops {
			stop()
		}
	}()
	j.next = j.farm.follow(copyBehind)
	j.hold(true)
	time.Sleep(j.settle)
	j.holder.begun = true
	for _, e := range events {
		time.Sleep(e.After)
		j.strike(e)
		j.seen.events.Add(1)
	}
	time.Sleep(25 * time.Second)
	j.farm.mu.Lock()
	defer j.farm.mu.Unlock()
	j.seen.cases.Add(1)
	j.seen.joins.Add(int64(j.farm.joins))
	j.seen.left.Add(int64(j.farm.left))
	return j.farm.two
}

// target returns an endpoint: heads of open groups, then their members, then others.
func (j *joining) target(n int) (id, head string) {
	j.farm.mu.Lock()
	defer j.farm.mu.Unlock()
	rank := func(w *farmWorker) int {
		switch {
		case w.dead || len(w.members) < 2:
			return 2
		case w.Member.Rank == 0 && (w.Member.State == fleet.Open || w.opening):
			return 0
		}
		return 1
	}
	var all []*farmWorker
	for _, w := range j.farm.workers {
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

func (j *joining) strike(e trouble) {
	f := j.farm
	id, head := j.target(e.VM)
	until := time.Now().Add(e.Lasts)
	switch e.Kind {
	case troubleCrash, troubleDark:
		f.kill(id, e.Kind == troubleDark)
	case troubleLeave:
		f.deafen(id)
		time.AfterFunc(e.Lasts, func() { f.kill(id, true) })
	case troubleSilent:
		f.silence(id, e.Lasts)
	case troubleCut, troubleOneWay:
		f.mu.Lock()
		if e.Kind == troubleCut {
			j.link.cut[id] = until
		} else {
			j.link.deaf[id] = until
		}
		f.mu.Unlock()
	case troubleStore:
		f.cutFromStore(id)
	case troubleRestart:
		f.restart(id)
		f.mu.Lock()
		f.show(f.workers[id])
		f.mu.Unlock()
	case troubleSlow:
		f.mu.Lock()
		f.workers[id].slow = 4
		f.mu.Unlock()
	case troubleOrders:
		f.mu.Lock()
		f.lose, f.twice = e.Share, e.Share/2
		f.mu.Unlock()
		time.AfterFunc(e.Lasts, func() { f.mu.Lock(); f.lose, f.twice = 0, 0; f.mu.Unlock() })
	case troubleEntries:
		f.mu.Lock()
		f.lag = 150*time.Millisecond + min(e.Lasts, 2*time.Second)
		f.mu.Unlock()
		time.AfterFunc(e.Lasts, func() { f.mu.Lock(); f.lag = 150 * time.Millisecond; f.mu.Unlock() })
	default:
		j.strikeHolder(e, until)
	}
	if head != "" {
		j.holder.manager.ReportStall(context.Background(), head)
	}
}

// strikeHolder changes who holds the lease.
func (j *joining) strikeHolder(e trouble, until time.Time) {
	switch e.Kind {
	case troubleHandOver:
		j.holder.holds = false
		time.Sleep(100 * time.Millisecond)
		j.hold(false)
	case troubleKill:
		j.holder.holds = false
		j.holder.group.Stop()
		time.Sleep(3 * time.Second)
		j.hold(false)
	case troubleFreeze:
		j.farm.mu.Lock()
		j.link.frozen = until
		j.farm.mu.Unlock()
		j.holder.holds = false
		time.Sleep(3 * time.Second)
		j.hold(false)
	case troubleBack:
		first, link := j.holder, j.link
		first.holds = false
		time.Sleep(time.Second)
		j.hold(false)
		time.Sleep(e.Lasts / 2)
		j.holder.holds = false
		j.farm.mu.Lock()
		j.farm.write()
		first.heldFrom = fleet.Position{Version: j.farm.version}
		j.farm.mu.Unlock()
		j.holder, j.link, first.holds = first, link, true
	}
}

// Callers' streams stand still because a VM of their group was joined to another
// one. Whatever happens to heads, members, orders, links, entries and holders,
// and in whatever order, no VM takes a join of another group while the head of
// its own is open.
func TestNoVMIsInTwoGroups(t *testing.T) {
	seen := &seenCases{}
	rapid.Check(t, func(rt *rapid.T) {
		events := troubles().Draw(rt, "events")
		seed := rapid.Uint64().Draw(rt, "seed")
		var broken []string
		synctest.Test(t, func(t *testing.T) {
			j := &joining{t: t, settle: 25 * time.Second, farm: newFarm(seed, 1, 11), seen: seen}
			broken = j.play(events)
		})
		if len(broken) > 0 {
			rt.Fatalf("%s", fmt.Sprint(broken))
		}
	})
	t.Logf("%d cases: %d events, %d holders, %d joins, %d orders to leave that were taken", seen.cases.Load(), seen.events.Load(),
		seen.holders.Load(), seen.joins.Load(), seen.left.Load())
}

// The same where members of small groups replace those of large ones, and groups
// are given to another model while the demand moves.
func TestNoVMIsInTwoGroupsWhileGroupsAreTakenApart(t *testing.T) {
	seen := &seenCases{}
	rapid.Check(t, func(rt *rapid.T) {
		events := troubles().Draw(rt, "events")
		seed := rapid.Uint64().Draw(rt, "seed")
		asked := map[string]int{"large": rapid.IntRange(0, 20).Draw(rt, "large"), "small": rapid.IntRange(0, 20).Draw(rt, "small")}
		var broken []string
		synctest.Test(t, func(t *testing.T) {
			j := &joining{t: t, settle: time.Minute, asked: asked, farm: newFarmOf(pairsEngine(), seed, 3, 18), seen: seen}
			broken = j.play(events)
			seen.staged.Add(int64(j.farm.staged))
		})
		if len(broken) > 0 {
			rt.Fatalf("%s", fmt.Sprint(broken))
		}
	})
	t.Logf("%d cases: %d events, %d holders, %d joins, %d models taken in by members that serve", seen.cases.Load(), seen.events.Load(),
		seen.holders.Load(), seen.joins.Load(), seen.staged.Load())
}

// A group's life goes from the first order to join to the time after its end,
// and the lease changes hands at each step of it: as planned, by the holder's
// end, or while the holder stands still with an order decided. The head stops
// listening, falls silent or crashes besides.
func TestLeaseChangesHandsAtEachStep(t *testing.T) {
	seen := &seenCases{}
	for _, how := range []string{troubleHandOver, troubleKill, troubleFreeze, troubleBack} {
		for _, head := range []string{troubleNone, troubleLeave, troubleSilent, troubleCrash, troubleOneWay, troubleStore} {
			for step := range 24 {
				events := []trouble{
					{Kind: troubleDark, VM: 2}, // a member: its group is formed anew
					{Kind: how, After: time.Duration(step) * 100 * time.Millisecond, Lasts: 4 * time.Second},
					{Kind: head, VM: 0, After: time.Duration(step%5) * 100 * time.Millisecond, Lasts: 3 * time.Second},
					{Kind: troubleNone, After: time.Second},
				}
				var broken []string
				synctest.Test(t, func(t *testing.T) {
					j := &joining{t: t, settle: 25 * time.Second, farm: newFarm(uint64(step), 1, 11), seen: seen}
					broken = j.play(events)
				})
				if len(broken) > 0 {
					t.Errorf("%s, head: %s, step %d: %v", how, head, step, broken)
				}
			}
		}
	}
	t.Logf("%d cases: %d holders, %d joins", seen.cases.Load(), seen.holders.Load(), seen.joins.Load())
}

var _ fleet.Orderer = (*link)(nil)

// manageBy returns a holder that reaches the endpoints by a link, with its own
// copy of their entries.
func manageBy(f *farm, fresh bool, orderer fleet.Orderer, book *directory.Book) *node {
	f.mu.Lock()
	f.leases++
	n := &node{version: f.leases, holds: true, fresh: fresh, moving: map[string]bool{}, group: kernel.NewGroup(context.Background())}
	f.mu.Unlock()
	n.start(book, orderer)
	return n
}
