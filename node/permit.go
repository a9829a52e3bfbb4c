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

// lender obtains permits for requests to endpoints that announced a limit.
type lender struct{ node *Node }

var _ gateway.Lender = lender{}

// Permit implements gateway.Lender. Permits are lent by the first responsive node in
// the rank order of the endpoint's zone. A node that can't reach it sends no request
// to the endpoint.
func (l lender) Permit(ctx context.Context, e *fleet.Endpoint, known balance.LimitWord) (balance.Permit, bool) {
	n := l.node
	peer, ok := n.backoff.First(time.Now(), n.lenders(e.Zone))
	switch {
	case !ok:
		return balance.Permit{}, false
	case peer.Name == n.settings.Node:
		return n.lend(time.Now(), e.Zone, known), true
	}
	permit, err := n.neighbors.Permit(ctx, peer.Address, e.Zone, known)
	if err == nil {
		n.backoff.Worked(peer.Name)
		return permit, true
	}
	if ctx.Err() == nil { // otherwise the caller canceled the request
		n.noteSilent(time.Now(), e.Zone, peer, err)
	}
	return balance.Permit{}, false
}

// lend returns a permit for one request to an endpoint of a zone.
//
// A node that has just started knows no other nodes and would rank itself first. If all
// nodes started together, each of them would lend the whole limit. So a node lends
// nothing before it knows the others.
func (n *Node) lend(now time.Time, zone string, known balance.LimitWord) balance.Permit {
	share := n.lenderShare(zone)
	if share == 0 {
		klog.InfoS("not_lent", "endpoint", known.Endpoint, "zone", zone)
		return balance.Permit{Limit: known}
	}
	return n.tracker.Lend(now, known, share)
}

// lenders returns the nodes that may lend permits for a zone's endpoints, in rank order:
// the zone's own nodes, which see the traffic from the zone, or all nodes if it has none.
func (n *Node) lenders(zone string) []relay.Peer {
	if peers := n.peersOf(zone); len(peers) > 0 {
		return peers
	}
	return relay.Ranked(append(n.peers(), n.otherZonePeers()...), relay.Dispatching)
}

// lenderShare returns the fraction of a limit that this node may lend for endpoints of a
// zone, or 0 if it may not lend.
func (n *Node) lenderShare(zone string) float64 {
	if !n.knowsMembers() {
		return 0
	}
	for place, one := range n.lenders(zone) {
		if one.Name == n.settings.Node {
			return balance.LenderShare(place)
		}
	}
	return 0
}
