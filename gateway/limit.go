package gateway

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"redwinghall/balance"
	"redwinghall/fleet"
)

// maxPermitAsks bounds how many endpoints with a limit are asked about for one try: each
// takes a way to the node that lends for it.
const maxPermitAsks = 4

// wholeLimit is the part of a limit that the only node there is lends to itself.
const wholeLimit = 1

// Lender gives permits for endpoints that named a limit.
type Lender interface {
	// Permit asks for one request to an endpoint. ok is false if nobody gave an answer.
	Permit(ctx context.Context, e *fleet.Endpoint, known balance.LimitReport) (permit balance.Permit, ok bool)
}

// withinLimits makes a choice until one is found that its endpoint's limit allows for.
//
// Guard: a limit bounds the sum over all nodes, and none knows what the others send. If
// each kept to it alone, an endpoint in need would get it as many times as there are
// nodes. So one node counts for all, and what it doesn't lend goes elsewhere.
func (g *Gateway) withinLimits(ctx context.Context, r *Request, choose func(now time.Time) (balance.Choice, *balance.Refusal)) (balance.Choice, *balance.Refusal) {
	var none *balance.Refusal
	for range maxPermitAsks {
		var choice balance.Choice
		choice, none = choose(time.Now())
		if none != nil {
			return choice, none
		}
		if choice.Permitted {
			return choice, nil
		}
		permit, ok := g.permit(ctx, choice)
		if permit.Given {
			return choice.WithPermit(true), nil
		}
		choice.Attempt.Cancel()
		klog.InfoS("not_permitted", "request", r.Ask.ID, "endpoint", choice.Endpoint.ID, "answered", ok, "wait", permit.Wait,
			"per_second", permit.Limit.Limit.PerSecond, "limit_age", permit.Limit.Age)
		g.Metrics.NotPermitted()
		none = balance.LimitedRefusal(permit.Wait)
	}
	return balance.Choice{}, none
}

// permit asks for a permit and takes in what the answer tells.
func (g *Gateway) permit(ctx context.Context, choice balance.Choice) (balance.Permit, bool) {
	id := choice.Endpoint.ID
	known := g.Tracker.Limit(time.Now(), id)
	permit, ok := balance.Permit{}, true
	if g.Lender == nil {
		permit = g.Tracker.IssuePermit(time.Now(), known, wholeLimit)
	} else {
		permit, ok = g.Lender.Permit(ctx, choice.Endpoint, known)
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

// noteLimit takes in what an answer says of its endpoint's limit.
func (g *Gateway) noteLimit(r *Request, choice balance.Choice, answer *Answer) {
	if answer.Verdict.LimitUnreadable {
		klog.InfoS("limit_unreadable", "request", r.Ask.ID, "endpoint", choice.Endpoint.ID)
		return
	}
	limit := answer.Verdict.Limit
	before, changed := choice.Attempt.RecordLimit(time.Now(), limit, !answer.Verdict.NotRun)
	if !changed {
		return
	}
	klog.InfoS("limit_named", "request", r.Ask.ID, "endpoint", choice.Endpoint.ID, "named", limit.Named, "per_second", limit.PerSecond,
		"named_before", before.Named, "per_second_before", before.PerSecond, "status", answer.Status, "running", choice.Running)
	g.Metrics.LimitChanged(limit.Named)
}
