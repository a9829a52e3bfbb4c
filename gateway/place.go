package gateway

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"redwinghall/balance"
	"redwinghall/fleet"
)

// chooseGroup chooses the group for a stream. Where another node dispatches for
// this zone, it is asked first; without its answer this node chooses by what
// it knows itself.
func (c *streamCall) chooseGroup(ctx context.Context, now time.Time, ask balance.Request) (balance.Choice, *balance.Refusal) {
	heads := c.r.view.Heads(c.r.Service.Name, c.r.Ask.Model)
	if c.g.Placer == nil || !c.g.Placer.Dispatched(now) {
		return c.chooseByZones(ctx, now, heads, ask)
	}
	placement, answered := c.dispatched(ctx, heads, ask)
	switch {
	case placement.choice != nil:
		return *placement.choice, nil
	case answered:
		ask = ask.WithOnlyZone(heads, placement.elsewhere)
		ask.LimitedFor = placement.limitedFor
	}
	return c.chooseByZones(ctx, time.Now(), heads, ask)
}

// dispatched is what the dispatcher of this zone said: its choice, or the zone that may
// have room.
type dispatched struct {
	choice     *balance.Choice
	elsewhere  string
	limitedFor time.Duration
}

// dispatched asks the dispatcher of this zone for a group. It reports false if there was no
// answer that this node can go by.
func (c *streamCall) dispatched(ctx context.Context, heads []*fleet.Endpoint, ask balance.Request) (dispatched, bool) {
	tickets := &c.g.Tracker.Tickets
	ticket := tickets.Open()
	defer tickets.Close(ticket)
	request := c.placement(ask)
	request.Ticket, request.InBackoff = ticket, c.g.Tracker.InBackoff(time.Now(), heads)
	placement, ok := c.g.Placer.Place(ctx, ask.Zone, request)
	switch {
	case !ok:
		return dispatched{}, false
	case placement.Endpoint == "":
		klog.InfoS("dispatcher_has_no_room", "request", c.r.Ask.ID, "predicted", placement.Predicted, "elsewhere", placement.AlternativeZone,
			"limited_for", placement.LimitedFor)
		// Without a prediction or a limit it knows of no group here. This node may, as
		// their views differ for moments.
		return dispatched{elsewhere: placement.AlternativeZone, limitedFor: placement.LimitedFor}, placement.Predicted > 0 || placement.LimitedFor > 0
	}
	now := time.Now()
	placed, usable := c.offered(now, placement, ask)
	if !usable {
		return dispatched{}, false
	}
	choice := c.taken(now, placed, ask, placement)
	return dispatched{choice: &choice}, true
}

// taken returns the choice that another node made for the stream.
func (c *streamCall) taken(now time.Time, placed *fleet.Endpoint, ask balance.Request, placement fleet.Placement) balance.Choice {
	choice := c.g.Tracker.AcceptChoice(now, placed, ask, placement.Predicted)
	return choice.WithPermit(choice.Permitted || placement.Permitted)
}

// offered returns the endpoint of a placement, and whether this node may use
// it. Where views differ, this node's own decides: it may know of a group that
// turned cold or closed since.
func (c *streamCall) offered(now time.Time, placement fleet.Placement, ask balance.Request) (*fleet.Endpoint, bool) {
	placed, known := c.r.view.Endpoints[placement.Endpoint]
	return placed, known && !placed.ColdAt(now) && balance.Usable(&ask.Service, placed, c.r.view.ZonesOut)
}

// chooseByZones chooses a group by what this node knows. Before a stream goes
// to another zone, that zone is asked, as it knows its groups' load and this
// node knows it late; a zone that has no room is left out, and the choice made
// again.
//
// Guard: a zone that gives no answer is mostly cut off, and a stream that is sent
// there waits for a connection that never comes. So it is used only where no other
// zone takes the stream.
func (c *streamCall) chooseByZones(ctx context.Context, now time.Time, heads []*fleet.Endpoint, ask balance.Request) (balance.Choice, *balance.Refusal) {
	view := c.r.view
	var unanswered *balance.Choice
	for {
		choice, none := c.g.Tracker.ChooseGroup(now, heads, view.ZonesOut, ask)
		if none != nil && unanswered != nil {
			return c.g.Tracker.AcceptChoice(now, unanswered.Endpoint, ask, unanswered.Predicted), nil
		}
		if none != nil || c.g.Placer == nil || choice.Endpoint.Zone == ask.Zone || choice.Endpoint.ColdAt(now) {
			return choice, none
		}
		placement, ok := c.g.Placer.Place(ctx, choice.Endpoint.Zone, c.placement(ask))
		now = time.Now()
		placed, usable := c.offered(now, placement, ask)
		switch {
		case !ok:
			choice.Attempt.Cancel()
			if unanswered == nil {
				unanswered = &choice
			}
			ask = ask.WithZoneFull(choice.Endpoint.Zone)
		case placement.Endpoint == "":
			klog.InfoS("zone_has_no_room", "request", c.r.Ask.ID, "zone", choice.Endpoint.Zone, "there", placement.Predicted,
				"predicted_here", choice.Predicted, "load_age", choice.Age)
			choice.Attempt.Cancel()
			ask = ask.WithZoneFull(choice.Endpoint.Zone)
		case !usable:
			return choice, nil
		case placed.ID == choice.Endpoint.ID:
			return choice.WithPermit(choice.Permitted || placement.Permitted), nil
		default:
			choice.Attempt.Cancel()
			return c.taken(now, placed, ask, placement), nil
		}
	}
}

// placement returns what a zone needs to know of the stream.
func (c *streamCall) placement(ask balance.Request) fleet.PlacementRequest {
	request := fleet.PlacementRequest{
		Service: ask.Service.Name, Model: ask.Model.Name, Prompt: ask.Prompt, Objective: ask.Objective, Resumed: ask.Resumed,
	}
	for id := range ask.Tried {
		request.Tried = append(request.Tried, id)
	}
	return request
}
