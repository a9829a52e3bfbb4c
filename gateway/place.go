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
		if none != nil || c.g.Desk == nil || choice.Endpoint.Zone == ask.Zone || choice.Endpoint.ColdAt(now) {
			return choice, none
		}
		offer, ok := c.g.Desk.Ask(ctx, choice.Endpoint.Zone, c.wish(ask))
		if !ok {
			return choice, nil // by what this node knows itself
		}
		now = time.Now()
		offered, known := view.Endpoints[offer.Endpoint]
		switch {
		case offer.Endpoint == "":
			klog.InfoS("zone_has_no_room", "request", c.r.Ask.ID, "zone", choice.Endpoint.Zone, "there", offer.Predicted,
				"predicted_here", choice.Predicted, "load_age", choice.Age)
			choice.Visit.Withdraw()
			ask = ask.WithZoneFull(choice.Endpoint.Zone)
		case !known || offered.ID == choice.Endpoint.ID || !balance.Usable(&ask.Service, offered, view.ZonesOut):
			return choice, nil
		default:
			choice.Visit.Withdraw()
			return c.g.Tracker.Take(now, offered, ask, offer.Predicted), nil
		}
	}
}

func (c *streamCall) wish(ask balance.Ask) fleet.Wish {
	wish := fleet.Wish{
		Service: ask.Service.Name, Model: ask.Model.Name, Prompt: ask.Prompt, Objective: ask.Objective, GoesOn: ask.GoesOn,
	}
	for id := range ask.Tried {
		wish.Tried = append(wish.Tried, id)
	}
	return wish
}
