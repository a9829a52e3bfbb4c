package gateway

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"redwinghall/balance"
	"redwinghall/fleet"
	"redwinghall/platform"
)

// maxChoices bounds how often an endpoint is chosen for one attempt. A choice of a
// rate-limited endpoint costs a round trip to the node that issues its permits.
const maxChoices = 4

// fullLimitShare is the share of a rate limit that a node may issue as permits if it
// is the only one.
const fullLimitShare = 1

// PermitIssuer issues permits for endpoints that announced a rate limit.
type PermitIssuer interface {
	// Permit requests a permit for one request to an endpoint. ok is false if no node
	// responded.
	Permit(ctx context.Context, e *fleet.Endpoint, known balance.LimitReport) (permit balance.Permit, ok bool)
}

// withinLimits repeats the choice of an endpoint until the rate limit of the chosen
// one allows the request, and the endpoint has neither said that it leaves nor asked this
// node to send nothing. Every request to an endpoint passes here right before it is sent.
//
// A rate limit bounds the sum over all nodes, and no node sees what the others send.
// If each node enforced it alone, an overloaded endpoint would get the limit once per
// node. So one node issues the permits for all, and requests without a permit go
// elsewhere.
//
// An endpoint may say so while a request is being placed by another node or waits for a
// permit. So that is checked last.
func (g *Gateway) withinLimits(ctx context.Context, r *Request, choose func(now time.Time) (balance.Choice, *balance.Refusal)) (balance.Choice, *balance.Refusal) {
	var refused *balance.Refusal
	for range maxChoices {
		var choice balance.Choice
		choice, refused = choose(time.Now())
		if refused != nil {
			return choice, refused
		}
		if refused = g.permit(ctx, r, choice); refused == nil {
			refused = g.checkEndpoint(r, choice)
		}
		if refused == nil {
			return choice.WithPermit(true), nil
		}
		choice.Attempt.Cancel()
	}
	return balance.Choice{}, refused
}

// permit obtains a permit for the chosen endpoint if it has a rate limit.
func (g *Gateway) permit(ctx context.Context, r *Request, choice balance.Choice) *balance.Refusal {
	if choice.Permitted {
		return nil
	}
	permit, ok := g.requestPermit(ctx, choice)
	if permit.Given {
		return nil
	}
	klog.InfoS("not_permitted", "request", r.Info.ID, "endpoint", choice.Endpoint.ID, "answered", ok, "wait", permit.Wait,
		"per_second", permit.Limit.Limit.PerSecond, "limit_age", permit.Limit.Age)
	g.Metrics.NotPermitted()
	return balance.LimitedRefusal(permit.Wait)
}

// checkEndpoint refuses a request if the chosen endpoint has said that it leaves or asked
// this node to send nothing.
func (g *Gateway) checkEndpoint(r *Request, choice balance.Choice) *balance.Refusal {
	wait, leaving := choice.Attempt.RetryAfterLeft(time.Now()), choice.Attempt.IsLeaving()
	if wait == 0 && !leaving {
		return nil
	}
	klog.InfoS("choice_dropped", "request", r.Info.ID, "endpoint", choice.Endpoint.ID, "retry_after_left", wait, "leaving", leaving)
	g.Metrics.ChoiceDropped()
	if leaving {
		return balance.LeavingRefusal()
	}
	return balance.RetryAfterRefusal(wait)
}

// requestPermit requests a permit and records the rate limit and wait time of the
// reply.
func (g *Gateway) requestPermit(ctx context.Context, choice balance.Choice) (balance.Permit, bool) {
	id := choice.Endpoint.ID
	known := g.Tracker.Limit(time.Now(), id)
	permit, ok := balance.Permit{}, true
	if g.PermitIssuer == nil {
		permit = g.Tracker.IssuePermit(time.Now(), known, fullLimitShare)
	} else {
		permit, ok = g.PermitIssuer.Permit(ctx, choice.Endpoint, known)
	}
	now := time.Now()
	if ok {
		g.Tracker.MergeLimits(now, []balance.LimitReport{permit.Limit})
	}
	if !permit.Given {
		g.Tracker.RecordPermitDenied(now, id, permit.Wait)
	}
	return permit, ok
}

// recordLimit records the rate limit that a response announces for its endpoint.
func (g *Gateway) recordLimit(r *Request, choice balance.Choice, response *Response) {
	if response.Info.IsUnreadable(platform.FieldLimit) {
		return
	}
	limit := response.Info.Limit
	before, changed := choice.Attempt.RecordLimit(time.Now(), limit, !response.Info.NotRun)
	if !changed {
		return
	}
	klog.InfoS("limit_named", "request", r.Info.ID, "endpoint", choice.Endpoint.ID, "named", limit.Named, "per_second", limit.PerSecond,
		"named_before", before.Named, "per_second_before", before.PerSecond, "status", response.Status, "running", choice.Running)
	g.Metrics.LimitChanged(limit.Named)
}
