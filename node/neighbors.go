package node

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"redwinghall/clienthttp"
	"redwinghall/kernel"
	"redwinghall/neighbor"
	"redwinghall/platform"
	"redwinghall/relay"
)

// zoneInterval is how often zones report their loads to each other. Traffic between
// zones costs money, but a longer interval would send streams to groups that have
// filled up since the last report.
const zoneInterval = 250 * time.Millisecond

// equalFor returns the comparison of a table's row values. It returns nil for the
// members' table, where every write counts because it shows that a node is alive.
func equalFor(table string) relay.EqualValues {
	if table == platform.TableEndpoints {
		return platform.EqualEntries
	}
	return nil
}

// leader returns the name of the node that holds this zone's lease, or "" if it is unknown.
func (n *Node) leader() string {
	holder, _ := n.table.Holder(n.settings.Zone)
	return holder.Name
}

// peers returns the nodes of this zone.
func (n *Node) peers() []relay.Peer { return n.peersOf(n.settings.Zone) }

// remotePeers returns the nodes of the other zones.
func (n *Node) remotePeers() []relay.Peer {
	var peers []relay.Peer
	for _, zone := range n.settings.Zones {
		if zone != n.settings.Zone {
			peers = append(peers, n.peersOf(zone)...)
		}
	}
	return peers
}

// peersOf returns the nodes of a zone, ordered by their rank as dispatcher.
func (n *Node) peersOf(zone string) []relay.Peer { return n.rosters.of(n.table.Nodes()).zones[zone] }

func (n *Node) internalAddress() string {
	return net.JoinHostPort(n.settings.IP, strconv.Itoa(n.settings.InternalFirst))
}

func (n *Node) neighborServer() *http.Server {
	calls := neighbor.NewHandler(neighbor.ServerConfig{
		Mirror: n.source.Mirror, Loads: n.loads, Suspect: n.manager.ReportStall,
		SuspectGroup: n.manager.ReportSilentGroup, OnProgress: n.onProgress, StillHeads: n.stillHeads.list,
		Commit: n.source.CommitDirect, Reserve: n.reserve, OnLoads: n.onLoads, OnStreams: n.onStreams,
		Tracker: n.tracker, Permit: n.issuePermit, OnLeaving: n.onLeaving, Quarantine: n.quarantine,
		OnUses: n.onUses, UsesFor: n.usesFor,
		Lend: n.lendRoom,
	})
	return &http.Server{
		Addr: n.internalAddress(), ReadHeaderTimeout: internalHeaderTimeout, MaxHeaderBytes: maxHeaderBytes,
		Handler: newInternalHandler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if neighbor.IsForwarded(r) {
				clienthttp.Sent(r.Context())
				n.gateway.ServeForwarded(w, r)
				return
			}
			calls.ServeHTTP(w, r)
		})),
	}
}

// startZoneSharing reports the load of this zone to the other zones. The report is
// sent by the node that collects the zone's loads.
func (n *Node) startZoneSharing(g *kernel.Group) {
	for _, zone := range n.settings.Zones {
		if zone == n.settings.Zone {
			continue
		}
		sync := quarantineSync{node: n}
		g.Every("share_zone "+zone, zoneInterval, func(ctx context.Context, now time.Time) {
			theirs, ok := n.backoff.FirstAvailable(now, n.peersOf(zone))
			if !ok || !n.collectsLoads(now) {
				return
			}
			report := neighbor.ZoneReport{
				Zone: n.settings.Zone, Loads: n.loads.SumOfZone(now), Limits: n.tracker.ChangedLimits(now), Rejecting: n.tracker.RejectingZone(now),
				Leaving: n.tracker.RecentlyLeaving(now), Uses: n.room.ZoneUses(now, maxUses),
			}
			digest, err := n.neighbors.ShareZone(ctx, theirs.Address, report)
			if err != nil {
				n.noteSilent(time.Now(), zone, theirs, err)
				return
			}
			sync.compare(ctx, now, theirs, digest)
		})
	}
}

// reportStall reports to the lease holder of an endpoint's zone that the endpoint's group
// makes little progress.
func (n *Node) reportStall(endpointID string) {
	e, ok := n.cache.View().Endpoints[endpointID]
	if !ok {
		return
	}
	holder, known := n.table.Holder(e.Zone)
	if !known || holder.Name == n.settings.Node {
		n.manager.ReportStall(context.Background(), endpointID)
		return
	}
	n.group.Task("suspect", func(ctx context.Context) {
		if err := n.neighbors.Suspect(ctx, holder.Address, endpointID); err != nil {
			klog.InfoS("suspicion_not_told", "endpoint", endpointID, "holder", holder.Name, "err", err)
		}
	})
}
