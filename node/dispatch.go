package node

import (
	"time"

	"k8s.io/klog/v2"

	"redwinghall/relay"
)

const (
	// fewNodes is the most nodes of a zone that need no dispatcher: each sees so much
	// of the load that it chooses well by itself.
	fewNodes = 3
	// dispatcherFirst is how long a dispatcher that gave no answer is passed over; each
	// further failure doubles it up to dispatcherLongest. One answer may be late
	// because a VM stood still for a moment, so the first pause is short.
	dispatcherFirst   = 250 * time.Millisecond
	dispatcherLongest = 4 * time.Second
)

// dispatcher returns the node that chooses groups for all nodes of a zone, as
// far as this node can tell. There is none in a zone of few nodes.
//
// Guard: a dispatcher that ended, is cut off or stands still gives no answer.
// Each node that finds that out passes over it, and the next in rank chooses
// meanwhile, by what it hears of the others' loads.
func (n *Node) dispatcher(now time.Time, zone string) (relay.Peer, bool) {
	peers := n.peersOf(zone)
	if len(peers) <= fewNodes {
		return relay.Peer{}, false
	}
	return n.avoided.FirstAvailable(now, peers)
}

// dispatches reports whether this node chooses groups for all nodes of its zone.
func (n *Node) dispatches(now time.Time) bool {
	one, ok := n.dispatcher(now, n.settings.Zone)
	return ok && one.Name == n.settings.Node
}

// undispatched notes that a dispatcher gave no answer.
func (n *Node) undispatched(now time.Time, zone string, peer relay.Peer, err error) {
	klog.InfoS("dispatcher_silent", "zone", zone, "node", peer.Name, "err", err)
	n.avoided.RecordFailure(now, peer.Name)
}

// told takes in that a node of the zone has told its loads.
func (n *Node) told(now time.Time, node string, settled uint64) {
	n.tracker.Settle(node, settled)
	if n.gathers(now) {
		n.takeBoard(now)
	}
}

// gathers reports whether the nodes of this zone tell this one their loads.
func (n *Node) gathers(now time.Time) bool {
	first, ok := n.avoided.FirstAvailable(now, n.peers())
	return ok && first.Name == n.settings.Node
}

// takeBoard takes in what the board shows of others' loads.
func (n *Node) takeBoard(now time.Time) {
	n.tracker.SetOthers(now, n.board.SumOfOthers(now, n.settings.Node))
	n.tracker.SetZones(now, n.board.SumOfOtherZones(now))
}
