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

// placerPause is how long a zone is not asked after it gave no answer: a zone
// that is cut off must not cost each stream the wait.
const placerPause = time.Second

// zonePlacer asks other zones to choose among their groups. The node that gathers a
// zone's loads answers for it.
type zonePlacer struct {
	node  *Node
	mu    sync.Mutex
	quiet map[string]time.Time // until when a zone is not asked
}

func newZonePlacer(n *Node) *zonePlacer { return &zonePlacer{node: n, quiet: map[string]time.Time{}} }

// Place implements gateway.Placer.
func (p *zonePlacer) Place(ctx context.Context, zone string, request fleet.PlacementRequest) (fleet.Placement, bool) {
	ranked := relay.Ranked(p.node.peersOf(zone))
	if len(ranked) == 0 || p.paused(time.Now(), zone) {
		return fleet.Placement{}, false
	}
	placement, err := p.node.neighbors.Reserve(ctx, ranked[0].Address, request)
	if err != nil {
		klog.InfoS("zone_not_asked", "zone", zone, "node", ranked[0].Name, "err", err)
		p.pause(time.Now(), zone)
		return fleet.Placement{}, false
	}
	return placement, true
}

func (p *zonePlacer) paused(now time.Time, zone string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.quiet[zone])
}

func (p *zonePlacer) pause(now time.Time, zone string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.quiet[zone] = now.Add(placerPause)
}

// reserve chooses a group of this zone for a stream of another one.
func (n *Node) reserve(now time.Time, request fleet.PlacementRequest) fleet.Placement {
	view := n.book.View()
	service, ok := view.Service(request.Service)
	if !ok || service.Engine == nil {
		return fleet.Placement{}
	}
	model, ok := service.Engine.Model(request.Model)
	if !ok {
		return fleet.Placement{}
	}
	tried := map[string]bool{}
	for _, id := range request.Tried {
		tried[id] = true
	}
	choice, none := n.tracker.Reserve(now, view.Heads(request.Service, request.Model), view.ZonesOut, balance.Ask{
		Service: service, Model: model, Zone: n.settings.Zone, Prompt: request.Prompt, Objective: request.Objective, Tried: tried,
		Node: n.settings.Node, Nodes: len(n.table.Nodes()), ZoneNodes: len(n.peers()), GoesOn: request.GoesOn,
	})
	if none != nil {
		return fleet.Placement{Predicted: none.Predicted}
	}
	return fleet.Placement{Endpoint: choice.Endpoint.ID, Predicted: choice.Predicted}
}
