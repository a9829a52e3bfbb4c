package node

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"redwinghall/kernel"
)

// How a node stops within the grace that the operators give.
const (
	// noticeTime is how long the balancer takes to notice: it asks once a
	// second, and two misses take a node out.
	noticeTime = 2400 * time.Millisecond
	// quietTime is how long callers have after that to hear, with an answer,
	// that they should connect elsewhere, before idle connections are closed.
	quietTime = 800 * time.Millisecond
	// lastMargin is left of the grace for the process to end.
	lastMargin  = 700 * time.Millisecond
	leaveBudget = time.Second
	stopCheck   = 50 * time.Millisecond
)

// plannedStop is a stop that is under way.
type plannedStop struct {
	begun time.Time
	end   time.Time // what still runs then is cut
}

// stop ends a node's service without breaking a request off: it first becomes
// not ready and serves on until the balancer has noticed, then asks callers
// for new connections elsewhere, and finishes what runs.
func (n *Node) stop(ctx context.Context) {
	klog.InfoS("node_stopping", "node", n.settings.Node)
	started := time.Now()
	end := started.Add(n.inForce().Bounds.Grace - lastMargin)
	n.stopping.Store(&plannedStop{begun: started, end: end})
	n.manager.Stop()
	leave, cancel := context.WithTimeout(ctx, leaveBudget)
	defer cancel()
	n.table.Leave(leave)
	kernel.Sleep(ctx, noticeTime-time.Since(started))
	n.leaving.Store(true)
	kernel.Sleep(ctx, quietTime)
	// Guard: a connection that is taken after the last one was seen to be idle
	// would be cut with its request. So none is taken any more, and those that
	// were taken just before have time to be counted.
	if err := n.callers.Close(); err != nil {
		klog.ErrorS(err, "listener_not_closed")
	}
	kernel.Sleep(ctx, stopCheck)
	klog.InfoS("node_takes_no_connections", "node", n.settings.Node, "stopping_for", time.Since(started))
	for n.conns.closeIdle(time.Now(), 0) > 0 && time.Now().Before(end) {
		kernel.Sleep(ctx, stopCheck)
	}
	n.conns.logCut(time.Now())
}
