package node

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"redwinghall"
	"redwinghall/balance"
	"redwinghall/fleet"
	"redwinghall/kernel"
	"redwinghall/lend"
)

// borrowInterval is how often the dispatcher finds out whether its zone is short of room.
const borrowInterval = 100 * time.Millisecond

// newBook returns the book of what this node's zone borrows and lends.
func newBook(n *Node) *lend.Book {
	return lend.NewBook(lend.Options{Zone: n.settings.Zone, Room: n.roomOf, Price: n.settings.ZonePrice})
}

// startBorrowing asks other zones for room while this node dispatches and its zone is short.
func (n *Node) startBorrowing(g *kernel.Group) {
	g.Every("borrow_room", borrowInterval, func(_ context.Context, now time.Time) {
		if n.settings.ZonePrice <= 0 || !n.dispatches(now) || !n.otherZoneDispatches() {
			return
		}
		for _, ask := range n.book.Ask(now, n.otherZones()) {
			g.Task("ask_room", func(ctx context.Context) { n.askRoom(ctx, now, ask) })
		}
	})
}

// askRoom asks the dispatcher of another zone for room.
func (n *Node) askRoom(ctx context.Context, sentAt time.Time, ask lend.Ask) {
	n.metrics.RoomAsked()
	lender, ok := n.backoff.FirstAvailable(sentAt, n.peersOf(ask.Zone))
	if !ok {
		n.book.RecordAnswer(sentAt, time.Now(), ask, nil, redwinghall.NewOpError("Node.askRoom", fleet.StoreUnavailable, nil))
		return
	}
	loans, err := n.neighbors.Lend(ctx, lender.Address, n.settings.Zone, ask.Wishes)
	n.book.RecordAnswer(sentAt, time.Now(), ask, loans, err)
	klog.InfoS("room_asked", "zone", ask.Zone, "node", lender.Name, "wishes", ask.Wishes, "loans", loans, "expected", ask.Expected, "missed", ask.Missed,
		"free", ask.Own.Free, "per_second", ask.Own.PerSecond, "err", err)
}

// lendRoom decides about another zone's wish.
func (n *Node) lendRoom(now time.Time, borrower string, wish redwinghall.RoomWish) redwinghall.RoomLoan {
	if !n.dispatches(now) || !n.lends(n.cache.View().Heads(wish.Service, wish.Model)) {
		return redwinghall.RoomLoan{}
	}
	g := n.book.Grant(now, borrower, wish)
	event := "room_lent"
	if g.Loan.Streams == 0 {
		event = "room_not_lent"
	}
	n.metrics.RoomWished(g.Loan.Streams > 0)
	klog.InfoS(event, "zone", borrower, "service", wish.Service, "model", wish.Model, "urgency", wish.Urgency, "wished", wish.Streams,
		"streams", g.Loan.Streams, "reason", g.Reason, "free", g.Room.Free, "per_second", g.Room.PerSecond, "own", g.Own, "lendable", g.Lendable, "others", g.Others)
	return g.Loan
}

// roomOf returns the room of a zone as this node knows it.
func (n *Node) roomOf(now time.Time, zone string, m lend.Model, objective time.Duration) lend.Room {
	view := n.cache.View()
	service, ok := view.Service(m.Service)
	if !ok || service.Engine == nil {
		return lend.Room{}
	}
	model, ok := service.Engine.Model(m.Name)
	if !ok {
		return lend.Room{}
	}
	req := balance.Request{
		Service: service, Model: model, Zone: n.settings.Zone, Prompt: int(service.Engine.MeanPromptTokens), Objective: objective, Node: n.settings.Node,
		Nodes: len(n.table.Nodes()), ZoneNodes: len(n.peers()), IsDispatcher: n.dispatches(now), PermitShare: n.permitShare(n.settings.Zone),
	}
	if zone != n.settings.Zone {
		req.Nodes, req.PermitShare = 2, 0 // as in Tracker.AlternativeZone
	}
	r := n.tracker.RoomOfZone(now, view.Heads(m.Service, m.Name), view.ZonesOut, zone, req)
	room := lend.Room{Free: r.Free, PerSecond: r.PerSecond, FirstEvent: r.FirstEvent, InProgress: r.InProgress, UsualRate: r.UsualRate}
	if zone != n.settings.Zone {
		room.Age = r.Age + zoneInterval/2
	}
	return room
}

// otherZones returns the other zones, and which of them have a dispatcher.
func (n *Node) otherZones() []lend.Other {
	var others []lend.Other
	for _, zone := range n.settings.Zones {
		if zone != n.settings.Zone {
			others = append(others, lend.Other{Name: zone, Lends: n.hasDispatcher(zone)})
		}
	}
	return others
}

func (n *Node) hasDispatcher(zone string) bool {
	return len(n.peersOf(zone)) > maxNodesWithoutDispatcher
}

// otherZoneDispatches reports whether another zone has a dispatcher.
func (n *Node) otherZoneDispatches() bool {
	return slices.ContainsFunc(n.otherZones(), func(one lend.Other) bool { return one.Lends })
}

// lends reports whether zones lend each other room of a model, given the heads of its groups.
func (n *Node) lends(heads []*fleet.Endpoint) bool {
	serving := map[string]bool{}
	for _, e := range heads {
		serving[e.Zone] = true
	}
	return n.settings.ZonePrice > 0 && lend.Applies(n.hasDispatcher(n.settings.Zone), n.otherZones(), len(serving))
}

// streamOf describes a stream of this zone's callers to the book.
func streamOf(req balance.Request, here time.Duration) lend.Stream {
	s := lend.Stream{
		Model: lend.Model{Service: req.Service.Name, Name: req.Model.Name}, Urgency: req.Urgency, Objective: req.Objective,
		Prompt: req.Prompt, Answer: req.ExpectedAnswer, Here: here,
	}
	if s.Answer == 0 {
		s.Answer = int(req.Service.Engine.MeanAnswerTokens)
	}
	return s
}

// recordDemand records that a stream was to be placed here.
func (n *Node) recordDemand(now time.Time, request fleet.PlacementRequest, req balance.Request, placed bool) {
	s := streamOf(req, 0)
	switch {
	case request.Ticket > 0:
		n.book.Record(now, s, placed)
	case placed: // it comes from another zone
		n.book.RecordReceived(now, s.Model)
	}
}

// leave returns the zone for a stream of this zone's callers that finds no room here, "" if
// there is none, and whether the zone lent room for it.
func (n *Node) leave(now time.Time, heads []*fleet.Endpoint, zonesOut map[string]bool, req balance.Request, here time.Duration) (zone string, onLoan bool) {
	emptiest := func() string { return n.tracker.AlternativeZone(now, heads, zonesOut, req) }
	if !n.lends(heads) {
		return emptiest(), false
	}
	zone, exit := n.book.Leave(now, streamOf(req, here), func(zone string) bool { return !zonesOut[zone] }, emptiest)
	n.metrics.LeftZone(string(exit))
	return zone, exit == lend.OnLoan
}

// mayTakeRoom reports whether a stream of another zone may be placed here: it has a loan, or
// there is more room than is lent to others, or it has begun and is worth finishing.
func (n *Node) mayTakeRoom(now time.Time, heads []*fleet.Endpoint, request fleet.PlacementRequest) bool {
	if request.Zone == "" || request.Resumed || !n.lends(heads) {
		return true
	}
	m := lend.Model{Service: request.Service, Name: request.Model}
	if request.OnLoan && n.book.Spend(now, request.Zone, m, request.Urgency) {
		return true
	}
	return n.book.AcceptsWithoutLoan(now, request.Zone, m, request.Objective)
}
