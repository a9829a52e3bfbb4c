package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"redwinghall/balance"
	"redwinghall/kernel"
	"redwinghall/neighbor"
	"redwinghall/platform"
	"redwinghall/relay"
)

// shareInterval is how often a node says how much it has at each endpoint, and
// sharePerNode the interval that each node of a zone adds, as one of them
// gathers what all say. Between two words a group gets about one request that
// others don't know of.
const (
	shareInterval = 60 * time.Millisecond
	sharePerNode  = 5 * time.Millisecond
)

// zoneInterval is how often the zones tell each other their loads. Bytes between
// zones cost, and a load that is older sends streams to a group that has filled
// up since.
const zoneInterval = 250 * time.Millisecond

// sameValue returns how values of a table's rows are compared. In the members'
// table each writing counts, as it shows that a node lives.
func sameValue(table string) relay.SameValue {
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

// hearZones is how often a node hears of the other zones' loads while it looks
// for groups there. They only say which zone to ask first; told each time, they
// would be most of what the nodes of many zones tell each other.
const hearZones = 250 * time.Millisecond

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

// peersOf returns the nodes of a zone.
func (n *Node) peersOf(zone string) []relay.Peer {
	var peers []relay.Peer
	for _, one := range n.table.Nodes() {
		if one.Zone == zone {
			peers = append(peers, relay.Peer{Name: one.Name, Address: one.Address})
		}
	}
	return peers
}

func (n *Node) internalAddress() string {
	return net.JoinHostPort(n.settings.IP, strconv.Itoa(n.settings.InternalFirst))
}

func (n *Node) neighborServer() *http.Server {
	return &http.Server{
		Addr: n.internalAddress(), ReadHeaderTimeout: smallHeaderTimeout,
		Handler: neighbor.NewHandler(neighbor.Parts{
			Mirror: n.source.Mirror, Board: n.board, Suspect: n.manager.Stalled,
			Commit: n.source.CommitDirect, Reserve: n.reserve,
		}),
	}
}

// startSharing tells the zone's nodes of each other's load. The first in rank
// gathers it; the others ask it.
func (n *Node) startSharing(g *kernel.Group) {
	var last, zones time.Time
	g.Every("share_loads", shareInterval, func(ctx context.Context, now time.Time) {
		ranked := relay.Ranked(n.peers())
		if now.Sub(last) < time.Duration(len(ranked))*sharePerNode {
			return
		}
		last = now
		own := n.tracker.Own(now)
		if ranked[0].Name == n.settings.Node {
			n.board.Put(now, n.settings.Node, own)
			n.tracker.SetOthers(now, n.board.Others(now, n.settings.Node))
			n.tracker.SetZones(now, n.board.Zones(now))
			return
		}
		withZones := n.tracker.LooksFar(now) && now.Sub(zones) >= hearZones
		shared, err := n.shareWith(ctx, ranked, own, withZones)
		if err != nil {
			klog.V(1).InfoS("loads_not_shared", "err", err)
			return
		}
		n.tracker.SetOthers(time.Now(), shared.Others)
		if withZones {
			zones = now
			n.tracker.SetZones(time.Now(), shared.Zones)
		}
	})
}

// startZoneSharing tells the other zones how much this zone's nodes have. The
// first node in rank of each zone speaks for it.
func (n *Node) startZoneSharing(g *kernel.Group) {
	for _, zone := range n.settings.Zones {
		if zone == n.settings.Zone {
			continue
		}
		g.Every("share_zone "+zone, zoneInterval, func(ctx context.Context, now time.Time) {
			own, theirs := relay.Ranked(n.peers()), relay.Ranked(n.peersOf(zone))
			if own[0].Name != n.settings.Node || len(theirs) == 0 {
				return
			}
			if err := n.neighbors.ShareZone(ctx, theirs[0].Address, n.settings.Zone, n.board.Zone(now)); err != nil {
				klog.V(1).InfoS("loads_not_shared", "zone", zone, "err", err)
			}
		})
	}
}

// shareWith tells the first node in rank that answers. A node that is not the
// first gathers only what is told to it, which is then a part of the whole.
func (n *Node) shareWith(ctx context.Context, ranked []relay.Peer, own map[string]balance.Load, withZones bool) (neighbor.Shared, error) {
	var errs error
	for _, peer := range ranked[:min(2, len(ranked))] {
		if peer.Name == n.settings.Node {
			continue
		}
		shared, err := n.neighbors.Share(ctx, peer.Address, n.settings.Node, own, withZones)
		if err == nil {
			return shared, nil
		}
		errs = errors.Join(errs, err)
	}
	return neighbor.Shared{}, errs
}

// suspect tells the holder of an endpoint's zone that little moves there.
func (n *Node) suspect(endpointID string) {
	e, ok := n.book.View().Endpoints[endpointID]
	if !ok {
		return
	}
	holder, known := n.table.Holder(e.Zone)
	if !known || holder.Name == n.settings.Node {
		n.manager.Stalled(context.Background(), endpointID)
		return
	}
	n.group.Go("suspect", func(ctx context.Context) error {
		if err := n.neighbors.Suspect(ctx, holder.Address, endpointID); err != nil {
			klog.InfoS("suspicion_not_told", "endpoint", endpointID, "holder", holder.Name, "err", err)
		}
		return nil
	})
}
