package node

import (
	"context"
	"sync"
	"time"

	"redwinghall/balance"
	"redwinghall/fleet"
	"redwinghall/gateway"
	"redwinghall/neighbor"
	"redwinghall/relay"
)

// placerPause is how long a zone is skipped after it failed to respond, so that an
// unreachable zone doesn't delay every stream by a timeout.
const placerPause = time.Second

// zonePlacer asks the dispatchers of zones to choose among their groups.
type zonePlacer struct {
	node        *Node
	mu          sync.Mutex
	pausedUntil map[string]time.Time // by other zone: end of the pause
}

var _ gateway.Placer = (*zonePlacer)(nil)

func newZonePlacer(n *Node) *zonePlacer {
	return &zonePlacer{node: n, pausedUntil: map[string]time.Time{}}
}

// HasDispatcher implements gateway.Placer.
func (p *zonePlacer) HasDispatcher(now time.Time) bool {
	own := p.node.settings
	one, ok := p.node.dispatcher(now, own.Zone)
	return ok && one.Name != own.Node
}

// Place implements gateway.Placer.
func (p *zonePlacer) Place(ctx context.Context, zone string, request fleet.PlacementRequest) (fleet.Placement, bool) {
	now := time.Now()
	peer, ok := p.target(now, zone)
	if !ok || peer.Name == p.node.settings.Node || p.paused(now, zone) {
		return fleet.Placement{}, false
	}
	request.Node, request.Zone = p.node.settings.Node, p.node.settings.Zone
	placement, err := p.node.neighbors.Reserve(ctx, peer.Address, request, p.node.streamReport(now, peer.Name, request))
	if err == nil {
		p.node.backoff.RecordSuccess(peer.Name)
		return placement, true
	}
	if ctx.Err() == nil { // otherwise the caller canceled the request
		p.node.noteSilent(time.Now(), zone, peer, err)
		p.pause(time.Now(), zone)
	}
	return fleet.Placement{}, false
}

// streamReport returns what a request to another node says about this node's streams;
// nothing if that node is in another zone.
func (n *Node) streamReport(now time.Time, peer string, request fleet.PlacementRequest) neighbor.StreamReport {
	if request.Ticket == 0 {
		return neighbor.StreamReport{}
	}
	settled := n.tracker.Tickets.Settled() // before the loads, which then include the streams of these tickets
	heads := n.cache.View().Heads(request.Service, request.Model)
	return neighbor.StreamReport{Settled: settled, Loads: n.toldLoads.Changes(now, n.tracker, peer, heads)}
}

// target returns the node that chooses for a zone: its dispatcher, or the node that collects its loads.
func (p *zonePlacer) target(now time.Time, zone string) (relay.Peer, bool) {
	return p.node.backoff.FirstAvailable(now, p.node.peersOf(zone))
}

func (p *zonePlacer) paused(now time.Time, zone string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.pausedUntil[zone])
}

// pause skips another zone for placerPause. In this node's own zone, the next node in rank
// is asked instead.
func (p *zonePlacer) pause(now time.Time, zone string) {
	if zone == p.node.settings.Zone {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pausedUntil[zone] = now.Add(placerPause)
}

// reserve chooses a group of this zone for another node's stream. It reports
// false if this node doesn't know the service or the model.
func (n *Node) reserve(now time.Time, request fleet.PlacementRequest) (fleet.Placement, bool) {
	view := n.cache.View()
	service, ok := view.Service(request.Service)
	if !ok || service.Engine == nil {
		return fleet.Placement{}, false
	}
	model, ok := service.Engine.Model(request.Model)
	if !ok {
		return fleet.Placement{}, false
	}
	n.recordRequester(now, request)
	heads := view.Heads(request.Service, request.Model)
	if request.Ticket == 0 && !n.mayTakeRoom(now, heads, request) {
		return fleet.Placement{}, true
	}
	promises := promiser{n}
	req := promises.WithKept(now, n.reservationRequest(now, service, model, request))
	choice, refused := n.tracker.Reserve(now, heads, view.ZonesOut, req, balance.Requester{Node: request.Node, Ticket: request.Ticket})
	if n.settings.ZonePrice > 0 {
		n.recordDemand(now, request, req, refused == nil)
	}
	if refused == nil {
		promises.Placed(now, req)
		return fleet.Placement{Endpoint: choice.Endpoint.ID, Predicted: choice.Predicted, Permitted: choice.Permitted}, true
	}
	placement := n.refusedPlacement(request, refused)
	if request.Ticket > 0 { // otherwise the requesting node is in another zone and asks the remaining zones itself
		placement.AlternativeZone, placement.OnLoan = n.leave(now, heads, view.ZonesOut, req, refused.Predicted)
		if placement.AlternativeZone == "" && refused.Reason == balance.Overloaded {
			placement.RetryAfter = promises.Promise(now, heads, req, request.Left)
		}
	}
	return placement, true
}

// recordRequester records what a node's request tells about endpoints.
func (n *Node) recordRequester(now time.Time, request fleet.PlacementRequest) {
	for _, id := range request.InBackoff {
		n.tracker.RecordFailureReport(now, id, request.Node)
	}
	if request.Ticket > 0 { // otherwise the requesting node's zone reports them
		n.tracker.RecordRejecting(now, request.InRetryAfter)
	}
}

// reservationRequest returns the inputs of the choice for another node's stream.
func (n *Node) reservationRequest(now time.Time, service fleet.Service, model fleet.Model, request fleet.PlacementRequest) balance.Request {
	tried := map[string]bool{}
	for _, ids := range [][]string{request.Tried, request.InBackoff, request.InRetryAfter} {
		for _, id := range ids {
			tried[id] = true
		}
	}
	return balance.Request{
		Service: service, Model: model, Zone: n.settings.Zone, Prompt: request.Prompt, Objective: request.Objective, Tried: tried,
		Node: n.settings.Node, Nodes: len(n.table.Nodes()), ZoneNodes: len(n.peers()), IsDispatcher: n.dispatches(now), Resumed: request.Resumed,
		PermitShare: n.permitShare(n.settings.Zone), Urgency: request.Urgency, Account: request.Account, ExpectedAnswer: request.Answer,
	}
}

// refusedPlacement returns the reply to a request for which this zone has no room.
func (n *Node) refusedPlacement(request fleet.PlacementRequest, refused *balance.Refusal) fleet.Placement {
	placement := fleet.Placement{Predicted: refused.Predicted, Reason: refused.Limit.Reason}
	if placement.Reason != "" {
		n.recordRoomRefused(request, refused)
	}
	if refused.Reason == balance.Limited {
		placement.LimitedFor = refused.RetryAfter
	}
	return placement
}
