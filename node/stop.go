package node

import (
	"context"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"redwinghall/kernel"
)

// How a node stops within the grace that the operators give.
const (
	// noticeTime is how long the balancer takes to notice: it asks once a
	// second, and two misses take a node out.
	noticeTime = 2400 * time.Millisecond
	// lastMargin is left of the grace for the process to end.
	lastMargin  = 700 * time.Millisecond
	leaveBudget = time.Second
)

// stop ends a node's service without breaking a request off: it first becomes
// not ready and serves on until the balancer has noticed, then asks callers
// for new connections elsewhere, and finishes what runs.
func (n *Node) stop(ctx context.Context, servers []*http.Server) {
	klog.InfoS("node_stopping", "node", n.settings.Node)
	n.stopping.Store(true)
	started := time.Now()
	n.manager.Stop()
	leave, cancel := context.WithTimeout(ctx, leaveBudget)
	n.table.Leave(leave)
	cancel()
	kernel.Sleep(ctx, noticeTime-time.Since(started))
	callers := servers[0]
	callers.SetKeepAlivesEnabled(false)
	left := n.inForce().Bounds.Grace - lastMargin - time.Since(started)
	finish, cancel := context.WithTimeout(ctx, max(left, time.Second))
	defer cancel()
	if err := callers.Shutdown(finish); err != nil {
		klog.InfoS("requests_unfinished", "err", err)
	}
}
