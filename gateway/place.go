package gateway

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"redwinghall/balance"
	"redwinghall/fleet"
)

// chooseGroup chooses the group for a stream. If another node dispatches for this
// zone, it is asked first; without its reply this node chooses from its own view.
func (c *streamCall) chooseGroup(ctx context.Context, now time.Time, req balance.Request) (balance.Choice, *balance.Refusal) {
	heads := c.r.view().Heads(c.r.Service.Name, c.r.Info.Model)
	if c.g.Placer == nil || !c.g.Placer.HasDispatcher(now) {
		return c.chooseWithPromises(ctx, now, heads, req)
	}
	placement, answered := c.askDispatcher(ctx, heads, req)
	switch {
	case placement.choice != nil:
		return *placement.choice, nil
	case placement.onLoan:
		return c.chooseOnLoan(ctx, heads, placement.alternativeZone, req)
	case answered:
		req = req.WithOnlyZone(heads, placement.alternativeZone)
		req.LimitedFor = placement.limitedFor
	}
	choice, refused := c.chooseByZones(ctx, time.Now(), heads, req)
	if refused != nil && refused.Reason == balance.Overloaded && placement.retryAfter > 0 {
		refused.RetryAfter = placement.retryAfter
	}
	if refused != nil && refused.Reason == balance.Overloaded && placement.reason != "" {
		refused.Reason, refused.Predicted = placement.reason, placement.predicted
	}
	return choice, refused
}

// chooseWithPromises is chooseByZones at the node that chooses for its zone: some places
// may be kept for callers that it refused.
func (c *streamCall) chooseWithPromises(ctx context.Context, now time.Time, heads []*fleet.Endpoint, req balance.Request) (balance.Choice, *balance.Refusal) {
	if c.g.Promiser == nil {
		return c.chooseByZones(ctx, now, heads, req)
	}
	req = c.g.Promiser.WithKept(now, req)
	choice, refused := c.chooseByZones(ctx, now, heads, req)
	now = time.Now()
	switch {
	case refused == nil:
		c.g.Promiser.Placed(now, req)
	case refused.Reason == balance.Overloaded:
		if wait := c.g.Promiser.Promise(now, heads, req, c.r.Left(now)); wait > 0 {
			refused.RetryAfter = wait
		}
	}
	return choice, refused
}

// dispatcherChoice is the reply of the dispatcher of this zone: the chosen group, or
// another zone that may have capacity.
type dispatcherChoice struct {
	choice          *balance.Choice
	alternativeZone string
	limitedFor      time.Duration
	retryAfter      time.Duration // when a place is kept for the caller, 0 if none is
	reason          string        // why the room of this zone is for others, or ""
	predicted       time.Duration
	onLoan          bool // alternativeZone has lent room, which the stream takes
}

// chooseOnLoan asks a zone that lent room for a group. Without room there, the stream goes to
// no further zone: it has spent its loan.
func (c *streamCall) chooseOnLoan(ctx context.Context, heads []*fleet.Endpoint, zone string, req balance.Request) (balance.Choice, *balance.Refusal) {
	request := c.placementRequest(heads, req)
	request.OnLoan = true
	placement, answered := c.g.Placer.Place(ctx, zone, request)
	now := time.Now()
	placed, usable := c.placedEndpoint(now, placement, req)
	klog.InfoS("stream_on_loan", "request", c.r.Info.ID, "zone", zone, "answered", answered, "endpoint", placement.Endpoint, "predicted", placement.Predicted)
	if answered && usable {
		return c.acceptPlacement(now, placed, req, placement), nil
	}
	return c.chooseByZones(ctx, now, heads, req.WithOnlyZone(heads, ""))
}

// askDispatcher asks the dispatcher of this zone for a group. It reports false if
// there was no usable reply.
func (c *streamCall) askDispatcher(ctx context.Context, heads []*fleet.Endpoint, req balance.Request) (dispatcherChoice, bool) {
	tickets := &c.g.Tracker.Tickets
	ticket := tickets.Open()
	defer tickets.Close(ticket)
	request := c.placementRequest(heads, req)
	now := time.Now()
	request.Left = c.r.Left(now)
	request.Ticket, request.InBackoff = ticket, c.g.Tracker.InBackoff(now, heads)
	request.Tried = append(request.Tried, c.g.Tracker.Unreached(now, heads)...)
	placement, ok := c.g.Placer.Place(ctx, req.Zone, request)
	switch {
	case !ok:
		return dispatcherChoice{}, false
	case placement.Endpoint == "":
		klog.InfoS("dispatcher_has_no_room", "request", c.r.Info.ID, "predicted", placement.Predicted, "elsewhere", placement.AlternativeZone,
			"limited_for", placement.LimitedFor, "promised", placement.RetryAfter, "ticket", ticket, "reason", placement.Reason, "on_loan", placement.OnLoan)
		// A reply with neither a prediction nor a rate limit means that the
		// dispatcher's view has no group in this zone. Views differ briefly, so the
		// view of this node may have one.
		return dispatcherChoice{
			alternativeZone: placement.AlternativeZone, limitedFor: placement.LimitedFor, retryAfter: placement.RetryAfter,
			reason: placement.Reason, predicted: placement.Predicted, onLoan: placement.OnLoan,
		}, placement.Predicted > 0 || placement.LimitedFor > 0
	}
	now = time.Now()
	placed, usable := c.placedEndpoint(now, placement, req)
	if !usable {
		return dispatcherChoice{}, false
	}
	choice := c.acceptPlacement(now, placed, req, placement)
	return dispatcherChoice{choice: &choice}, true
}

// acceptPlacement returns the choice that another node made for the stream.
func (c *streamCall) acceptPlacement(now time.Time, placed *fleet.Endpoint, req balance.Request, placement fleet.Placement) balance.Choice {
	choice := c.g.Tracker.AcceptChoice(now, placed, req, placement.Predicted)
	return choice.WithPermit(choice.Permitted || placement.Permitted)
}

// placedEndpoint returns the endpoint of a placement, and whether this node may use
// it. Where views differ, the view of this node decides: it may already show that the
// group has become cold or closed.
func (c *streamCall) placedEndpoint(now time.Time, placement fleet.Placement, req balance.Request) (*fleet.Endpoint, bool) {
	placed, known := c.r.view().Endpoints[placement.Endpoint]
	usable := known && !placed.ColdAt(now) && balance.Usable(&req.Service, placed, c.r.view().ZonesOut)
	return placed, usable && !c.g.Tracker.IsLeaving(placed) && c.g.Tracker.RetryAfterLeft(now, placed) == 0
}

// chooseByZones chooses a group from this node's own view. Before a stream goes to
// another zone, that zone is asked, since it has current load figures for its groups
// while those of this node are delayed. A zone without capacity is excluded, and the
// choice is repeated.
//
// A zone that does not respond is usually partitioned, and a stream sent there waits
// for a connection that is never established. So such a zone is used only if no other
// zone accepts the stream.
func (c *streamCall) chooseByZones(ctx context.Context, now time.Time, heads []*fleet.Endpoint, req balance.Request) (balance.Choice, *balance.Refusal) {
	view := c.r.view()
	var unanswered *balance.Choice
	for {
		choice, refused := c.g.Tracker.ChooseGroup(now, heads, view.ZonesOut, req)
		if refused != nil && unanswered != nil {
			return c.g.Tracker.AcceptChoice(now, unanswered.Endpoint, req, unanswered.Predicted), nil
		}
		if refused != nil || c.g.Placer == nil || choice.Endpoint.Zone == req.Zone || choice.Endpoint.ColdAt(now) {
			return choice, refused
		}
		placement, ok := c.g.Placer.Place(ctx, choice.Endpoint.Zone, c.placementRequest(heads, req))
		now = time.Now()
		placed, usable := c.placedEndpoint(now, placement, req)
		switch {
		case !ok:
			choice.Attempt.Cancel()
			if unanswered == nil {
				unanswered = &choice
			}
			req = req.WithZoneFull(choice.Endpoint.Zone)
		case placement.Endpoint == "":
			klog.InfoS("zone_has_no_room", "request", c.r.Info.ID, "zone", choice.Endpoint.Zone, "there", placement.Predicted,
				"predicted_here", choice.Predicted, "load_age", choice.Age)
			choice.Attempt.Cancel()
			req = req.WithZoneFull(choice.Endpoint.Zone)
		case !usable:
			return choice, nil
		case placed.ID == choice.Endpoint.ID:
			return choice.WithPermit(choice.Permitted || placement.Permitted), nil
		default:
			choice.Attempt.Cancel()
			return c.acceptPlacement(now, placed, req, placement), nil
		}
	}
}

// placementRequest returns the request by which a zone is asked to place the stream.
func (c *streamCall) placementRequest(heads []*fleet.Endpoint, req balance.Request) fleet.PlacementRequest {
	request := fleet.PlacementRequest{
		Service: req.Service.Name, Model: req.Model.Name, Prompt: req.Prompt, Objective: req.Objective, Resumed: req.Resumed,
		InRetryAfter: c.g.Tracker.InRetryAfter(time.Now(), heads), Urgency: req.Urgency, Account: req.Account, Answer: req.ExpectedAnswer,
	}
	for id := range req.Tried {
		request.Tried = append(request.Tried, id)
	}
	return request
}
