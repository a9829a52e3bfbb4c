package node

import (
	"time"

	"k8s.io/klog/v2"

	"redwinghall/balance"
	"redwinghall/fleet"
	"redwinghall/neighbor"
	"redwinghall/relay"
)

const (
	// maxNodesWithoutDispatcher is the largest number of nodes in a zone that works without a
	// dispatcher: each node then sees enough of the load to choose groups well itself.
	maxNodesWithoutDispatcher = 3
	// dispatcherMinBackoff is how long a dispatcher that failed to respond is skipped. Each
	// further failure doubles the backoff, up to dispatcherMaxBackoff. A single response
	// may be late because a VM paused briefly, so the first backoff is short.
	dispatcherMinBackoff = 250 * time.Millisecond
	dispatcherMaxBackoff = 4 * time.Second
	// applyInterval is how often the loads of all nodes and zones are applied as a whole. In
	// between, only what a report changes is.
	applyInterval = 100 * time.Millisecond
)

// dispatcher returns the node that chooses groups for all nodes of a zone,
// according to this node's view of the membership. A zone with few nodes has none.
//
// A dispatcher that exited, is unreachable or is paused does not respond. Each node
// that notices skips it for a while, and the next node in rank dispatches in the
// meantime, using the loads that the other nodes report to it.
func (n *Node) dispatcher(now time.Time, zone string) (relay.Peer, bool) {
	peers := n.peersOf(zone)
	if len(peers) <= maxNodesWithoutDispatcher {
		return relay.Peer{}, false
	}
	return n.backoff.FirstAvailable(now, peers)
}

// dispatches reports whether this node chooses groups for all nodes of its zone.
func (n *Node) dispatches(now time.Time) bool {
	one, ok := n.dispatcher(now, n.settings.Zone)
	return ok && one.Name == n.settings.Node
}

// noteSilent starts or extends the backoff for a dispatcher that did not respond.
func (n *Node) noteSilent(now time.Time, zone string, peer relay.Peer, err error) {
	klog.InfoS("dispatcher_silent", "zone", zone, "node", peer.Name, "err", err)
	n.backoff.RecordFailure(now, peer.Name)
}

// onLoads processes a load report from another node of the zone.
func (n *Node) onLoads(now time.Time, node string, loads map[string]balance.Load, lowestOpenTicket uint64) {
	n.loadsMu.Lock()
	defer n.loadsMu.Unlock()
	changes := n.loads.SetNode(now, node, loads)
	n.tracker.ReleaseReservations(node, lowestOpenTicket)
	switch {
	case !n.collectsLoads(now):
	case now.Sub(n.loadsAppliedAt) < applyInterval:
		n.tracker.ChangeOwnZoneLoads(now, changes)
	default:
		n.applyLoadsLocked(now)
	}
}

// collectsLoads reports whether the nodes of this zone report their loads to this node.
func (n *Node) collectsLoads(now time.Time) bool {
	first, ok := n.backoff.FirstAvailable(now, n.peers())
	return ok && first.Name == n.settings.Node
}

// onStreams processes what another node's request for a group says about its streams.
func (n *Node) onStreams(now time.Time, request fleet.PlacementRequest, streams neighbor.StreamReport) {
	heads := n.cache.View().Heads(request.Service, request.Model)
	n.loadsMu.Lock()
	defer n.loadsMu.Unlock()
	changes := n.loads.MergeNode(now, request.Node, request.Ticket, streams.Loads)
	n.tracker.Settle(now, heads, request.Node, streams.Settled, changes)
}

// applyLoads updates the tracker with the other nodes' and zones' loads.
func (n *Node) applyLoads(now time.Time) {
	n.loadsMu.Lock()
	defer n.loadsMu.Unlock()
	n.applyLoadsLocked(now)
}

func (n *Node) applyLoadsLocked(now time.Time) {
	n.loadsAppliedAt = now
	n.tracker.SetOwnZoneLoads(now, n.loads.SumOfOthers(now, n.settings.Node))
	n.tracker.SetOtherZoneLoads(now, n.loads.SumOfOtherZones(now))
}
