package gateway

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"redwinghall/balance"
	"redwinghall/fleet"
)

// chooseGroup chooses the group for a stream. Before a stream goes to another
// zone, that zone is asked, as it knows its groups' load and this node knows it
// late; a zone that has no room is left out, and the choice made again.
func (c *streamCall) chooseGroup(ctx context.Context, now time.Time, ask balance.Ask) (balance.Choice, *balance.Refusal) {
	view := c.r.view
	heads := view.Heads(c.r.Service.Name, c.r.Ask.Model)
	for {
		choice, none := c.g.Tracker.Group(now, heads, view.ZonesOut, ask)
		if none != nil || c.g.Placer == nil || choice.Endpoint.Zone == ask.Zone || choice.Endpoint.ColdAt(now) {
			return choice, none
		}
		placement, ok := c.g.Placer.Place(ctx, choice.Endpoint.Zone, c.placement(ask))
		if !ok {
			return choice, nil // by what this node knows itself
		}
		now = time.Now()
		placed, known := view.Endpoints[placement.Endpoint]
		switch {
		case placement.Endpoint == "":
			klog.InfoS("zone_has_no_room", "request", c.r.Ask.ID, "zone", choice.Endpoint.Zone, "there", placement.Predicted,
				"predicted_here", choice.Predicted, "load_age", choice.Age)
			choice.Visit.Withdraw()
			ask = ask.WithZoneFull(choice.Endpoint.Zone)
		case !known || placed.ID == choice.Endpoint.ID || placed.ColdAt(now) || !balance.Usable(&ask.Service, placed, view.ZonesOut):
			// Where views differ, this node's own decides: it may know of a group
			// that turned cold or closed since.
			return choice, nil
		default:
			choice.Visit.Withdraw()
			return c.g.Tracker.Take(now, placed, ask, placement.Predicted), nil
		}
	}
}

// placement returns what another zone needs to know of the stream.
func (c *streamCall) placement(ask balance.Ask) fleet.PlacementRequest {
	request := fleet.PlacementRequest{
		Service: ask.Service.Name, Model: ask.Model.Name, Prompt: ask.Prompt, Objective: ask.Objective, GoesOn: ask.GoesOn,
	}
	for id := range ask.Tried {
		request.Tried = append(request.Tried, id)
	}
	return request
}
