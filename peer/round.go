package peer

import (
	"context"
	"sort"
	"time"

	"redwinghall/kernel"
)

// The health of a zone's groups travels among its routers in rounds. The
// routers, in the order of their ids, form a tree; in each interval the first
// one hands all it knows to its children, which hand it on to theirs, and the
// answers bring back up what each subtree knows better. So an observation
// reaches the first router within the round in which it is made, and every
// router with the next, over one exchange for each router and interval. Random
// exchanges of the same cost need about log2(routers) intervals, which can be
// longer than alive_bound.
const (
	roundChildren = 2
	roundTime     = 800 * time.Millisecond // that the first router waits
	roundStep     = 150 * time.Millisecond // less for each level below it
	missedRounds  = 2.5                    // intervals without one until a router asks by itself
)

// tickRouter starts a round when this router is the first one. Another router
// that no round reached for a while asks the first one and a random one
// itself: the tree may be broken above it, or the others may not know it.
func (n *Node) tickRouter(ctx context.Context, now time.Time) {
	live := n.ordered()
	if len(live) > 0 && live[0].ID == n.Self.ID {
		n.handOn(ctx, now, roundTime)
		n.noteRound(now)
		return
	}
	n.mu.Lock()
	missed := now.Sub(n.lastRound) > time.Duration(missedRounds*float64(n.Interval))
	n.mu.Unlock()
	if !missed {
		return
	}
	if len(live) > 0 {
		_ = n.exchange(ctx, live[0], n.periodicExchange(now, true)) // its failure counts towards down
	}
	n.exchangeOne(ctx, now, n.routers(), true)
}

// ordered returns the live routers in the order of the tree.
func (n *Node) ordered() []Member {
	live := n.Live(Router)
	sort.Slice(live, func(i, j int) bool { return live[i].ID < live[j].ID })
	return live
}

// handOn passes a round to this router's children and returns when they have
// answered or the time is over.
func (n *Node) handOn(ctx context.Context, now time.Time, left time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	live := n.ordered()
	out := n.periodicExchange(now, true)
	out.round = max(time.Millisecond, left-roundStep)
	calls := kernel.NewGroup(ctx)
	for _, child := range childrenOf(live, n.Self.ID) {
		calls.Go("peer.round", func(ctx context.Context) error {
			_ = n.exchange(ctx, child, out) // its failure counts towards down
			return nil
		})
	}
	_ = calls.Wait() // the calls return no errors
}

// childrenOf returns a router's children in the tree over the live routers.
func childrenOf(live []Member, id string) []Member {
	for i, m := range live {
		if m.ID == id {
			first := min(len(live), i*roundChildren+1)
			return live[first:min(len(live), first+roundChildren)]
		}
	}
	return nil
}

func (n *Node) noteRound(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastRound = now
}
