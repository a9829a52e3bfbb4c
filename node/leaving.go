package node

import (
	"time"

	"k8s.io/klog/v2"

	"redwinghall/balance"
	"redwinghall/fleet"
)

// onLeaving processes the reports of another node, or of another zone, that endpoints
// leave.
func (n *Node) onLeaving(now time.Time, from string, reports []balance.LeavingReport) {
	for _, report := range n.tracker.MergeLeaving(now, reports...) {
		klog.InfoS("endpoint_leaving_reported", "endpoint", report.Endpoint, "from", from)
	}
}

// onLeavingResponse processes an endpoint's statement that it leaves, in its response to
// an order or a question.
func (n *Node) onLeavingResponse(e *fleet.Endpoint) {
	n.onLeaving(time.Now(), e.ID, []balance.LeavingReport{{Endpoint: e.ID, StartedMillis: e.StartedMillis}})
}
