package node

import (
	"context"
	"maps"
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

// shareInterval is how often a node says how much it has at each endpoint while
// that changes. Each node of a zone adds sharePerNode to the interval without
// changes, as one node gathers what all say.
const (
	shareInterval = 60 * time.Millisecond
	sharePerNode  = 2500 * time.Microsecond
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

// hearOthers is how often a node hears of the others' loads where a dispatcher
// chooses for it. They are for the moments in which that gives no answer.
const hearOthers = 250 * time.Millisecond

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

// peersOf returns the nodes of a zone, in the order in which they are to dispatch.
func (n *Node) peersOf(zone string) []relay.Peer { return n.rosters.of(n.table.Nodes()).zones[zone] }

func (n *Node) internalAddress() string {
	return net.JoinHostPort(n.settings.IP, strconv.Itoa(n.settings.InternalFirst))
}

func (n *Node) neighborServer() *http.Server {
	return &http.Server{
		Addr: n.internalAddress(), ReadHeaderTimeout: smallHeaderTimeout,
		Handler: neighbor.NewHandler(neighbor.Parts{
			Mirror: n.source.Mirror, Board: n.board, Suspect: n.manager.Stalled,
			Commit: n.source.CommitDirect, Reserve: n.reserve, Told: n.told,
		}),
	}
}

// startSharing tells the zone's nodes of each other's load. The dispatcher, or the
// first in rank where there is none, gathers it; the others ask it.
func (n *Node) startSharing(g *kernel.Group) {
	var last, others, zones time.Time
	var told map[string]balance.Load
	g.Every("share_loads", shareInterval, func(ctx context.Context, now time.Time) {
		// Settled first: what is settled by then is in the loads.
		word := neighbor.Word{Node: n.settings.Node, Settled: n.tracker.Tickets.Settled(), Loads: n.tracker.Own(now)}
		if now.Sub(last) < time.Duration(len(n.peers()))*sharePerNode && maps.Equal(told, word.Loads) {
			return
		}
		last, told = now, word.Loads
		if n.gathers(now) {
			n.board.Put(now, word.Node, word.Loads)
			n.takeBoard(now)
			return
		}
		_, dispatched := n.dispatcher(now, n.settings.Zone)
		word.WithOthers = !dispatched || now.Sub(others) >= hearOthers
		word.WithZones = n.tracker.LooksFar(now) && now.Sub(zones) >= hearZones
		shared, ok := n.share(ctx, now, word)
		if !ok {
			return
		}
		if word.WithOthers {
			others = now
			n.tracker.SetOthers(time.Now(), shared.Others)
		}
		if word.WithZones {
			zones = now
			n.tracker.SetZones(time.Now(), shared.Zones)
		}
	})
}

// startZoneSharing tells the other zones how much this zone's nodes have. The
// node that gathers a zone's loads speaks for it.
func (n *Node) startZoneSharing(g *kernel.Group) {
	for _, zone := range n.settings.Zones {
		if zone == n.settings.Zone {
			continue
		}
		g.Every("share_zone "+zone, zoneInterval, func(ctx context.Context, now time.Time) {
			theirs, ok := n.avoided.First(now, n.peersOf(zone))
			if !ok || !n.gathers(now) {
				return
			}
			if err := n.neighbors.ShareZone(ctx, theirs.Address, n.settings.Zone, n.board.Zone(now)); err != nil {
				n.undispatched(time.Now(), zone, theirs, err)
			}
		})
	}
}

// share tells the zone's gatherer this node's loads.
func (n *Node) share(ctx context.Context, now time.Time, word neighbor.Word) (neighbor.Shared, bool) {
	peer, ok := n.avoided.First(now, n.peers())
	if !ok {
		return neighbor.Shared{}, false
	}
	shared, err := n.neighbors.Share(ctx, peer.Address, word)
	if err != nil {
		n.undispatched(time.Now(), n.settings.Zone, peer, err)
		return neighbor.Shared{}, false
	}
	return shared, true
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
