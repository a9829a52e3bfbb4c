package node

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"redwinghall/balance"
	"redwinghall/fleet"
	"redwinghall/gateway"
	"redwinghall/relay"
)

// lender asks for permits for endpoints that named a limit.
type lender struct{ node *Node }

var _ gateway.Lender = lender{}

// Permit implements gateway.Lender. The first node of the endpoint's zone that gives
// answers lends. Who can't ask it sends nothing there.
func (l lender) Permit(ctx context.Context, e *fleet.Endpoint, known balance.LimitWord) (balance.Permit, bool) {
	n := l.node
	peer, ok := n.avoided.FirstAvailable(time.Now(), n.lenders(e.Zone))
	switch {
	case !ok:
		return balance.Permit{}, false
	case peer.Name == n.settings.Node:
		return n.lend(time.Now(), e.Zone, known), true
	}
	permit, err := n.neighbors.Permit(ctx, peer.Address, e.Zone, known)
	if err == nil {
		n.avoided.RecordSuccess(peer.Name)
		return permit, true
	}
	if ctx.Err() == nil { // else the caller left
		n.undispatched(time.Now(), e.Zone, peer, err)
	}
	return balance.Permit{}, false
}

// lend gives a permit for one request to an endpoint of a zone.
//
// Guard: a node that has just started knows no other one and would take itself for the
// first. After a start of all nodes each of them would lend the whole limit.
func (n *Node) lend(now time.Time, zone string, known balance.LimitWord) balance.Permit {
	share := n.lenderShare(zone)
	if share == 0 {
		klog.InfoS("not_lent", "endpoint", known.Endpoint, "zone", zone)
		return balance.Permit{Limit: known}
	}
	return n.tracker.Lend(now, known, share)
}

// lenders returns the nodes that may lend for a zone's endpoints, the first one first: the
// zone's own, which see what comes from it, or all where it has none.
func (n *Node) lenders(zone string) []relay.Peer {
	if peers := n.peersOf(zone); len(peers) > 0 {
		return peers
	}
	return relay.RankPeers(append(n.peers(), n.foreigners()...), relay.Dispatcher)
}

// lenderShare returns the part of a limit that this node lends for endpoints of a zone, 0
// if it may not lend.
func (n *Node) lenderShare(zone string) float64 {
	if !n.knowsOthers() {
		return 0
	}
	for place, one := range n.lenders(zone) {
		if one.Name == n.settings.Node {
			return balance.LenderShare(place)
		}
	}
	return 0
}
