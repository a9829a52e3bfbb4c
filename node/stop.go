package node

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"redwinghall/gateway"
	"redwinghall/kernel"
)

// How a node stops within the grace that the operators give.
const (
	// noticeTime is how long the balancer takes to notice: it asks once a
	// second, and two misses take a node out.
	noticeTime = 2400 * time.Millisecond
	// lastMargin is left of the grace for the process to end.
	lastMargin = 400 * time.Millisecond
	// leaveBudget bounds how long the store may take over giving the lease up;
	// without its answer the lease ends by itself.
	leaveBudget = time.Second
	// stopCheck is how often a stopping node looks whether a request still runs.
	stopCheck = 50 * time.Millisecond
)

// plannedStop returns the stop that is under way, the zero value if there is none.
func (n *Node) plannedStop() gateway.Stop {
	if stop := n.stopping.Load(); stop != nil {
		return stop.AdjustForSuspend(time.Now(), kernel.BootTime())
	}
	return gateway.Stop{}
}

// newStop returns a stop that begins now and must be over within a grace.
func newStop(now, boot time.Time, grace time.Duration) gateway.Stop {
	lasts := max(0, grace-lastMargin)
	return gateway.Stop{Begun: now, Boot: boot, Noticed: now.Add(min(noticeTime, lasts)), End: now.Add(lasts)}
}

// stop ends a node's service without breaking a request off: it becomes not
// ready, takes from now on only what it expects to finish, lets each answer be
// the last on its connection, and ends once the balancer has noticed and nothing
// runs any more.
func (n *Node) stop(ctx context.Context) {
	begun := time.Now()
	n.reload() // the grace counts as it stands in the file now
	stop := newStop(begun, kernel.BootTime(), n.inForce().Bounds.Grace)
	n.stopping.Store(&stop)
	n.conns.endAfterAnswers()
	klog.InfoS("node_stopping", "node", n.settings.Node, "grace_left", stop.End.Sub(begun))
	n.manager.Stop()
	leave, cancel := context.WithTimeout(ctx, min(leaveBudget, time.Until(stop.End)))
	defer cancel()
	n.table.Leave(leave)
	kernel.Sleep(ctx, time.Until(stop.Noticed))
	for n.conns.working(time.Now()) && n.untilNextLook(ctx) {
	}
	// Guard: a connection that is taken after the last one was seen to end would
	// be cut with its request. So none is taken any more, and those that were
	// taken just before have time to be served.
	if err := n.callers.Close(); err != nil {
		klog.ErrorS(err, "listener_not_closed")
	}
	klog.InfoS("node_takes_no_connections", "node", n.settings.Node, "stopping_for", time.Since(begun))
	kernel.Sleep(ctx, stopCheck)
	// Connections that bring no request stay open until now: each close of one may
	// cross a request that its caller then believes to be under way.
	for !n.conns.closeUnlessWorking(time.Now()) && n.untilNextLook(ctx) {
	}
	n.conns.logCut(time.Now())
}

// untilNextLook waits a while, and reports false when the stop is over.
func (n *Node) untilNextLook(ctx context.Context) bool {
	return time.Now().Before(n.plannedStop().End) && kernel.Sleep(ctx, stopCheck)
}
