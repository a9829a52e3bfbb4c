package node

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"redwinghall/kernel"
	"redwinghall/neighbor"
	"redwinghall/platform"
	"redwinghall/relay"
)

// zoneInterval is how often the zones tell each other their loads. Bytes between
// zones cost, and a load that is older sends streams to a group that has filled
// up since.
const zoneInterval = 250 * time.Millisecond

// sameValue returns how values of a table's rows are compared. In the members'
// table each writing counts, as it shows that a node lives.
func sameValue(table string) relay.EqualValues {
	if table == platform.TableEndpoints {
		return platform.SameEntry
	}
	return nil
}

// leader returns the name of the node that forms this zone's groups, if it is known.
func (n *Node) leader() string {
	holder, _ := n.table.Holder(n.settings.Zone)
	return holder.Name
}

// peers returns the nodes of this zone.
func (n *Node) peers() []relay.Peer { return n.peersOf(n.settings.Zone) }

// foreigners returns the nodes of the other zones.
func (n *Node) foreigners() []relay.Peer {
	var peers []relay.Peer
	for _, zone := range n.settings.Zones {
		if zone != n.settings.Zone {
			peers = append(peers, n.peersOf(zone)...)
		}
	}
	return peers
}

// peersOf returns the nodes of a zone, in the order in which they are to dispatch.
func (n *Node) peersOf(zone string) []relay.Peer { return n.rosters.of(n.table.Nodes()).zones[zone] }

func (n *Node) internalAddress() string {
	return net.JoinHostPort(n.settings.IP, strconv.Itoa(n.settings.InternalFirst))
}

func (n *Node) neighborServer() *http.Server {
	return &http.Server{
		Addr: n.internalAddress(), ReadHeaderTimeout: smallHeaderTimeout,
		Handler: neighbor.NewHandler(neighbor.ServerConfig{
			Mirror: n.source.Mirror, Loads: n.board, Suspect: n.manager.ReportStall,
			Commit: n.source.CommitDirect, Reserve: n.reserve, OnLoads: n.told,
			Limits: n.tracker, Permit: n.lend,
		}),
	}
}

// startZoneSharing tells the other zones how much this zone's nodes have. The
// node that gathers a zone's loads speaks for it.
func (n *Node) startZoneSharing(g *kernel.Group) {
	for _, zone := range n.settings.Zones {
		if zone == n.settings.Zone {
			continue
		}
		g.Every("share_zone "+zone, zoneInterval, func(ctx context.Context, now time.Time) {
			theirs, ok := n.avoided.FirstAvailable(now, n.peersOf(zone))
			if !ok || !n.gathers(now) {
				return
			}
			if err := n.neighbors.ShareZone(ctx, theirs.Address, n.settings.Zone, n.board.SumOfZone(now), n.tracker.ChangedLimits(now)); err != nil {
				n.undispatched(time.Now(), zone, theirs, err)
			}
		})
	}
}

// suspect tells the holder of an endpoint's zone that little moves there.
func (n *Node) suspect(endpointID string) {
	e, ok := n.book.View().Endpoints[endpointID]
	if !ok {
		return
	}
	holder, known := n.table.Holder(e.Zone)
	if !known || holder.Name == n.settings.Node {
		n.manager.ReportStall(context.Background(), endpointID)
		return
	}
	n.group.Go("suspect", func(ctx context.Context) error {
		if err := n.neighbors.Suspect(ctx, holder.Address, endpointID); err != nil {
			klog.InfoS("suspicion_not_told", "endpoint", endpointID, "holder", holder.Name, "err", err)
		}
		return nil
	})
}
