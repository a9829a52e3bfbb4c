package peer

import (
	"context"
	"sort"
	"time"

	"redwinghall/kernel"
)

// Routers of a zone exchange the health of groups in rounds. Ordered by ID, the
// routers form a tree. In each interval the root sends all its observations to
// its children, which forward them to theirs, and the responses carry newer
// observations of each subtree back up. An observation thus reaches the root in
// the round in which it is made and every router in the next one, at a cost of
// one exchange per router and interval. Random exchanges of the same cost need
// about log2(routers) intervals, which can be longer than alive_bound.
const (
	roundChildren     = 2
	firstRoundTimeout = 800 * time.Millisecond // how long the root waits for a round
	roundStep         = 150 * time.Millisecond // reduction of that time for each level below
	maxMissedRounds   = 2.5                    // intervals without a round after which a router starts exchanges itself
)

// tickRouter starts a round if this router is the root. Any other router that no
// round has reached for a while exchanges with the root and a random router: a
// router above it in the tree may have failed, or the others may not know it.
func (n *Node) tickRouter(ctx context.Context, now time.Time) {
	live := n.liveRouters()
	if len(live) > 0 && live[0].ID == n.Self.ID {
		n.forwardRound(ctx, now, firstRoundTimeout)
		n.recordRound(now)
		return
	}
	n.mu.Lock()
	missed := now.Sub(n.lastRound) > time.Duration(maxMissedRounds*float64(n.Interval))
	n.mu.Unlock()
	if !missed {
		return
	}
	if len(live) > 0 {
		_ = n.exchange(ctx, live[0], n.periodicExchange(now, true)) // a failure is recorded by exchange
	}
	n.exchangeOne(ctx, now, n.routers(), true)
}

// liveRouters returns the live routers in the order of the tree, the root first.
func (n *Node) liveRouters() []Member {
	live := n.Live(Router)
	sort.Slice(live, func(i, j int) bool { return live[i].ID < live[j].ID })
	return live
}

// forwardRound sends a round to this router's children and returns when all have
// answered or the time is up.
func (n *Node) forwardRound(ctx context.Context, now time.Time, left time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	live := n.liveRouters()
	out := n.periodicExchange(now, true)
	out.roundTimeout = max(time.Millisecond, left-roundStep)
	calls := kernel.NewGroup(ctx)
	for _, child := range childrenOf(live, n.Self.ID) {
		calls.Task("peer.round", func(ctx context.Context) {
			_ = n.exchange(ctx, child, out) // a failure is recorded by exchange
		})
	}
	_ = calls.Wait() // the tasks return no errors
}

// childrenOf returns the children of a router in the tree of live routers.
func childrenOf(live []Member, id string) []Member {
	for i, m := range live {
		if m.ID == id {
			first := min(len(live), i*roundChildren+1)
			return live[first:min(len(live), first+roundChildren)]
		}
	}
	return nil
}

func (n *Node) recordRound(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastRound = now
}
