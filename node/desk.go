package node

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"redwinghall/balance"
	"redwinghall/fleet"
	"redwinghall/relay"
)

// deskPause is how long a zone is not asked after it gave no answer: a zone
// that is cut off must not cost each stream the wait.
const deskPause = time.Second

// desk asks other zones to choose among their groups. The node that gathers a
// zone's loads answers for it.
type desk struct {
	node  *Node
	mu    sync.Mutex
	quiet map[string]time.Time // until when a zone is not asked
}

func newDesk(n *Node) *desk { return &desk{node: n, quiet: map[string]time.Time{}} }

// Ask implements gateway.Desk.
func (d *desk) Ask(ctx context.Context, zone string, wish fleet.Wish) (fleet.Offer, bool) {
	ranked := relay.Ranked(d.node.peersOf(zone))
	if len(ranked) == 0 || d.paused(time.Now(), zone) {
		return fleet.Offer{}, false
	}
	offer, err := d.node.neighbors.Reserve(ctx, ranked[0].Address, wish)
	if err != nil {
		klog.InfoS("zone_not_asked", "zone", zone, "node", ranked[0].Name, "err", err)
		d.pause(time.Now(), zone)
		return fleet.Offer{}, false
	}
	return offer, true
}

func (d *desk) paused(now time.Time, zone string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Before(d.quiet[zone])
}

func (d *desk) pause(now time.Time, zone string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.quiet[zone] = now.Add(deskPause)
}

// reserve chooses a group of this zone for a stream of another one.
func (n *Node) reserve(now time.Time, wish fleet.Wish) fleet.Offer {
	view := n.book.View()
	service, ok := view.Service(wish.Service)
	if !ok || service.Engine == nil {
		return fleet.Offer{}
	}
	model, ok := service.Engine.Model(wish.Model)
	if !ok {
		return fleet.Offer{}
	}
	tried := map[string]bool{}
	for _, id := range wish.Tried {
		tried[id] = true
	}
	choice, none := n.tracker.Reserve(now, view.Heads(wish.Service, wish.Model), view.ZonesOut, balance.Ask{
		Service: service, Model: model, Zone: n.settings.Zone, Prompt: wish.Prompt, Objective: wish.Objective, Tried: tried,
		Node: n.settings.Node, Nodes: len(n.table.Nodes()), ZoneNodes: len(n.peers()), GoesOn: wish.GoesOn,
	})
	if none != nil {
		return fleet.Offer{Predicted: none.Predicted}
	}
	return fleet.Offer{Endpoint: choice.Endpoint.ID, Predicted: choice.Predicted}
}
