package gateway

import (
	"time"

	"k8s.io/klog/v2"

	"redwinghall/balance"
)

// noteLimit takes in what an answer says of its endpoint's limit.
func (g *Gateway) noteLimit(r *Request, choice balance.Choice, answer *Answer) {
	if answer.Verdict.LimitUnreadable {
		klog.InfoS("limit_unreadable", "request", r.Ask.ID, "endpoint", choice.Endpoint.ID)
		return
	}
	limit := answer.Verdict.Limit
	before, changed := choice.Visit.Limited(time.Now(), limit)
	if !changed {
		return
	}
	klog.InfoS("limit_named", "request", r.Ask.ID, "endpoint", choice.Endpoint.ID, "named", limit.Named, "per_second", limit.PerSecond,
		"named_before", before.Named, "per_second_before", before.PerSecond, "status", answer.Status, "running", choice.Running)
	g.Metrics.LimitChanged(limit.Named)
}
