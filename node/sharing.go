package node

import (
	"context"
	"maps"
	"time"

	"redwinghall/balance"
	"redwinghall/kernel"
	"redwinghall/neighbor"
	"redwinghall/relay"
)

// shareInterval is how often a node reports its load at each endpoint while the load
// changes. While it doesn't change, the interval is sharePerNode times the number of
// nodes in the zone, as a single node collects all reports.
const (
	shareInterval = 60 * time.Millisecond
	sharePerNode  = 2500 * time.Microsecond
)

// othersInterval is how often a node fetches the other nodes' loads if a dispatcher chooses
// for it. It needs them only while the dispatcher does not respond.
const othersInterval = 250 * time.Millisecond

// zonesInterval is how often a node fetches the other zones' loads while it looks for
// groups there. They only determine which zone to ask first; sent with every report,
// they would be most of the traffic between nodes in a deployment with many zones.
const zonesInterval = 250 * time.Millisecond

// sharer reports this node's loads, and the limits that endpoints announced to it, to the
// node that collects the zone's loads, and receives the loads of the other nodes.
type sharer struct {
	node *Node
	// When this node's loads were last sent, and when those of the zone's other nodes
	// and of the other zones were last received.
	sentAt, othersReceivedAt, zonesReceivedAt time.Time
	usesSentAt                                time.Time

	sentLoads  map[string]balance.Load
	sentLimits int
	// sentRejecting and sentLeaving are the numbers of rejecting and leaving endpoints
	// last sent.
	sentRejecting, sentLeaving int
	// sentStill is the number of still heads last sent.
	sentStill int
	// limitsFrom is the node from which all limits were fetched.
	limitsFrom string
	quarantine quarantineSync
}

// startSharing exchanges loads between the nodes of the zone. The dispatcher, or the
// first node in rank if there is none, collects them; the others send it their loads and
// fetch the rest.
func (n *Node) startSharing(g *kernel.Group) {
	s := &sharer{node: n, quarantine: quarantineSync{node: n}}
	g.Every("share_loads", shareInterval, s.share)
}

func (s *sharer) share(ctx context.Context, now time.Time) {
	n := s.node
	// LowestOpenTicket is read first, so that the loads include the streams of all lower
	// tickets.
	report := neighbor.LoadReport{
		Node: n.settings.Node, LowestOpenTicket: n.tracker.Tickets.LowestOpen(), Loads: n.tracker.OwnLoads(now), Limits: n.tracker.OwnLimitReports(now),
		Rejecting: n.tracker.RejectingNode(now), Leaving: n.tracker.RecentlyLeaving(now),
	}
	progress := n.progress(now)
	report.Still = progress.Still
	if !s.due(now, report) {
		return
	}
	s.sentAt, s.sentLoads, s.sentLimits, s.sentRejecting = now, report.Loads, len(report.Limits), len(report.Rejecting)
	s.sentLeaving, s.sentStill = len(report.Leaving), len(report.Still)
	if n.collectsLoads(now) {
		n.loads.SetNode(now, report.Node, report.Loads)
		n.silences.Set(now, report.Node, progress)
		n.applyLoads(now)
		s.learnLimits(ctx, now, report)
		return
	}
	if peer, ok := n.backoff.FirstAvailable(now, n.peers()); ok {
		s.exchange(ctx, now, peer, report)
	}
}

// learnLimits fetches all limits from another node if this node collects loads and has
// just started.
func (s *sharer) learnLimits(ctx context.Context, now time.Time, report neighbor.LoadReport) {
	if s.limitsFrom != "" {
		return
	}
	for _, peer := range s.node.peers() {
		if peer.Name != s.node.settings.Node && !s.node.backoff.InBackoff(now, peer.Name) {
			s.exchange(ctx, now, peer, report)
			return
		}
	}
}

// due reports whether a load report differs from the last one sent, or the last one is too old.
func (s *sharer) due(now time.Time, report neighbor.LoadReport) bool {
	return now.Sub(s.sentAt) >= time.Duration(len(s.node.peers()))*sharePerNode ||
		!maps.Equal(s.sentLoads, report.Loads) || s.sentLimits != len(report.Limits) || s.sentRejecting != len(report.Rejecting) ||
		s.sentLeaving != len(report.Leaving) || s.sentStill != len(report.Still) || s.sentStill > 0
}

// exchange sends a load report to the collecting node and applies its response.
func (s *sharer) exchange(ctx context.Context, now time.Time, peer relay.Peer, report neighbor.LoadReport) {
	n := s.node
	_, hasDispatcher := n.dispatcher(now, n.settings.Zone)
	report.WithOthers = !hasDispatcher || now.Sub(s.othersReceivedAt) >= othersInterval
	report.WithZones = n.tracker.ConsidersOtherZones(now) && now.Sub(s.zonesReceivedAt) >= zonesInterval
	report.WithLimits = peer.Name != s.limitsFrom
	if now.Sub(s.usesSentAt) >= usesInterval {
		s.usesSentAt, report.Uses = now, n.room.OwnUses(now, maxUses)
	}
	shared, err := n.neighbors.Share(ctx, peer.Address, report)
	if err != nil {
		n.noteSilent(time.Now(), n.settings.Zone, peer, err)
		return
	}
	received := time.Now()
	n.toldLoads.Confirm(peer.Name, report.Loads)
	s.limitsFrom = peer.Name
	n.tracker.MergeLimits(received, shared.Limits)
	n.tracker.RecordRejectingElsewhere(received, shared.Rejecting)
	n.onLeaving(received, peer.Name, shared.Leaving)
	n.applyStill(received, shared.Still)
	n.onUses(received, peer.Name, false, shared.Uses)
	s.quarantine.compare(ctx, now, peer, shared.Quarantine)
	if report.WithOthers {
		s.othersReceivedAt = now
		n.tracker.SetOwnZoneLoads(received, shared.Others)
	}
	if report.WithZones {
		s.zonesReceivedAt = now
		n.tracker.SetOtherZoneLoads(received, shared.Zones)
	}
}
