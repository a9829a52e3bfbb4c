package gateway

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"redwinghall/balance"
	"redwinghall/fleet"
)

// maxPermitRequests bounds how many endpoints with a limit are asked about for one try: each
// takes a way to the node that lends for it.
const maxPermitRequests = 4

// fullLimitShare is the part of a limit that the only node there is lends to itself.
const fullLimitShare = 1

// PermitIssuer gives permits for endpoints that named a limit.
type PermitIssuer interface {
	// Permit asks for one request to an endpoint. ok is false if nobody gave an answer.
	Permit(ctx context.Context, e *fleet.Endpoint, known balance.LimitWord) (permit balance.Permit, ok bool)
}

// withinLimits makes a choice until one is found that its endpoint's limit allows for.
//
// Guard: a limit bounds the sum over all nodes, and none knows what the others send. If
// each kept to it alone, an endpoint in need would get it as many times as there are
// nodes. So one node counts for all, and what it doesn't lend goes elsewhere.
func (g *Gateway) withinLimits(ctx context.Context, r *Request, choose func(now time.Time) (balance.Choice, *balance.Refusal)) (balance.Choice, *balance.Refusal) {
	var refused *balance.Refusal
	for range maxPermitRequests {
		var choice balance.Choice
		choice, refused = choose(time.Now())
		if refused != nil {
			return choice, refused
		}
		if choice.Permitted {
			return choice, nil
		}
		permit, ok := g.requestPermit(ctx, choice)
		if permit.Given {
			return choice.WithPermit(true), nil
		}
		choice.Visit.Withdraw()
		klog.InfoS("not_permitted", "request", r.Ask.ID, "endpoint", choice.Endpoint.ID, "answered", ok, "wait", permit.Wait,
			"per_second", permit.Limit.Limit.PerSecond, "limit_age", permit.Limit.Age)
		g.Metrics.NotPermitted()
		refused = balance.LimitedRefusal(permit.Wait)
	}
	return balance.Choice{}, refused
}

// requestPermit asks for a requestPermit and takes in what the answer tells.
func (g *Gateway) requestPermit(ctx context.Context, choice balance.Choice) (balance.Permit, bool) {
	id := choice.Endpoint.ID
	known := g.Tracker.Limit(time.Now(), id)
	permit, ok := balance.Permit{}, true
	if g.PermitIssuer == nil {
		permit = g.Tracker.Lend(time.Now(), known, fullLimitShare)
	} else {
		permit, ok = g.PermitIssuer.Permit(ctx, choice.Endpoint, known)
	}
	now := time.Now()
	if ok {
		g.Tracker.LearnLimits(now, []balance.LimitWord{permit.Limit})
	}
	if !permit.Given {
		g.Tracker.NotPermitted(now, id, permit.Wait)
	}
	return permit, ok
}

// recordLimit takes in what an answer says of its endpoint's limit.
func (g *Gateway) recordLimit(r *Request, choice balance.Choice, response *Response) {
	if response.Verdict.LimitUnreadable {
		klog.InfoS("limit_unreadable", "request", r.Ask.ID, "endpoint", choice.Endpoint.ID)
		return
	}
	limit := response.Verdict.Limit
	before, changed := choice.Visit.Limited(time.Now(), limit, !response.Verdict.NotRun)
	if !changed {
		return
	}
	klog.InfoS("limit_named", "request", r.Ask.ID, "endpoint", choice.Endpoint.ID, "named", limit.Named, "per_second", limit.PerSecond,
		"named_before", before.Named, "per_second_before", before.PerSecond, "status", response.Status, "running", choice.Running)
	g.Metrics.LimitChanged(limit.Named)
}
