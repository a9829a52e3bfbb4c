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

// permitIssuer obtains permits for requests to endpoints that announced a rate limit.
type permitIssuer struct{ node *Node }

var _ gateway.PermitIssuer = permitIssuer{}

// Permit implements gateway.PermitIssuer. Permits are issued by the first responsive node in
// the rank order of the endpoint's zone. A node that can't reach it sends no request
// to the endpoint.
func (i permitIssuer) Permit(ctx context.Context, e *fleet.Endpoint, known balance.LimitReport) (balance.Permit, bool) {
	n := i.node
	peer, ok := n.backoff.FirstAvailable(time.Now(), n.permitIssuers(e.Zone))
	switch {
	case !ok:
		return balance.Permit{}, false
	case peer.Name == n.settings.Node:
		return n.issuePermit(time.Now(), e.Zone, known), true
	}
	permit, err := n.neighbors.Permit(ctx, peer.Address, e.Zone, known)
	if err == nil {
		n.backoff.RecordSuccess(peer.Name)
		return permit, true
	}
	if ctx.Err() == nil { // otherwise the caller canceled the request
		n.noteSilent(time.Now(), e.Zone, peer, err)
	}
	return balance.Permit{}, false
}

// issuePermit returns a permit for one request to an endpoint of a zone.
//
// A node that has just started lists only itself and would rank itself first. If all
// nodes started together, each of them would issue permits for the whole limit. So a node
// issues none until it has read the list of nodes.
func (n *Node) issuePermit(now time.Time, zone string, known balance.LimitReport) balance.Permit {
	share := n.permitShare(zone)
	if share == 0 {
		klog.InfoS("not_lent", "endpoint", known.Endpoint, "zone", zone)
		return balance.Permit{Limit: known}
	}
	return n.tracker.IssuePermit(now, known, share)
}

// permitIssuers returns the nodes that may issue permits for a zone's endpoints, in rank order:
// the zone's own nodes, which see the traffic from the zone, or all nodes if it has none.
func (n *Node) permitIssuers(zone string) []relay.Peer {
	if peers := n.peersOf(zone); len(peers) > 0 {
		return peers
	}
	return relay.RankPeers(append(n.peers(), n.remotePeers()...), relay.Dispatcher)
}

// permitShare returns the fraction of a limit for which this node may issue permits to
// endpoints of a zone, or 0 if it may not issue any.
func (n *Node) permitShare(zone string) float64 {
	if !n.knowsMembers() {
		return 0
	}
	for rank, one := range n.permitIssuers(zone) {
		if one.Name == n.settings.Node {
			return balance.PermitShare(rank)
		}
	}
	return 0
}
