package node

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"redwinghall/gateway"
	"redwinghall/kernel"
)

// Timing of a planned stop within the configured grace period.
const (
	// balancerNoticeTime is how long the load balancer takes to notice that a node is not
	// ready: it probes once a second and removes a node after two failed probes.
	balancerNoticeTime = 2400 * time.Millisecond
	// exitMargin is the part of the grace period reserved for the process to exit.
	exitMargin = 400 * time.Millisecond
	// maxLogDrainTime is how long the last log lines wait for their reader, minLogDrainTime the same
	// once a stop has used its grace period; it leaves the rest of exitMargin for the exit.
	maxLogDrainTime = time.Second
	minLogDrainTime = exitMargin / 2
	// leaveTimeout is the timeout for releasing the lease in the store. If the release
	// fails, the lease expires by itself.
	leaveTimeout = time.Second
	// drainTime is how long the listener gets to take what waits there once nothing is running, or the stop is over.
	drainTime = 150 * time.Millisecond
	// stopPollInterval is how often a stopping node checks for running requests.
	stopPollInterval = 50 * time.Millisecond
)

// plannedStop returns the stop in progress, or the zero value if there is none.
func (n *Node) plannedStop() gateway.Stop {
	if stop := n.stopping.Load(); stop != nil {
		return stop.AdjustForSuspend(time.Now(), kernel.BootTime())
	}
	return gateway.Stop{}
}

// newStop returns a stop that begins now and must complete within a grace period, and how much of that its last moment
// may take for the requests that are running.
func (n *Node) newStop(now, boot time.Time, grace time.Duration, requests int) (stop gateway.Stop, answers time.Duration) {
	lasts := max(0, grace-exitMargin)
	answers = answerTime(requests, n.settings.Processor, lasts)
	lasts -= answers
	return gateway.Stop{Begun: now, Boot: boot, Noticed: now.Add(min(balancerNoticeTime, lasts)), End: now.Add(lasts)}, answers
}

// stop shuts a node down gracefully. The node reports that it isn't ready, from now
// on accepts only requests that it expects to finish, closes each connection after
// its response, and returns once the load balancer has noticed and no request is running.
// cause is what made it stop.
func (n *Node) stop(ctx context.Context, cause error) {
	begun := time.Now()
	protectStep("stop_reload", n.reload) // the grace period in the file may have changed
	connections, requests := n.conns.counts()
	stop, answers := n.newStop(begun, kernel.BootTime(), n.currentSettings().Bounds.Grace, requests+n.gateway.Forwards())
	n.last.answers = answers
	n.stopping.Store(&stop)
	n.conns.closeAfterResponses()
	n.group.Task("answer_early", n.answerEarly)
	klog.InfoS("node_stopping", "node", n.settings.Node, "cause", cause, "grace_left", stop.End.Sub(begun), "answer_time", answers, "connections", connections,
		"requests", requests, "forwards", n.gateway.Forwards())
	protectStep("stop_planning", n.manager.Stop)
	n.leaveTable(ctx, min(leaveTimeout, time.Until(stop.End)))
	n.awaitNoticed(ctx)
	n.awaitInactive(ctx)
	// A connection accepted after the check above would be cut off with its request.
	// So the listener is closed first, and connections accepted just before that get
	// time to be served.
	n.closeListener(ctx, drainTime)
	klog.InfoS("node_takes_no_connections", "node", n.settings.Node, "stopping_for", time.Since(begun))
	kernel.Sleep(ctx, min(stopPollInterval, time.Until(n.lastMomentBegins())))
	// Idle connections stay open until now: closing one may race with a request on it,
	// whose caller could then not tell whether it was executed.
	inactive := n.conns.closeIfInactive(time.Now())
	for !inactive && n.waitStopPoll(ctx) {
		inactive = n.conns.closeIfInactive(time.Now())
	}
	until := n.plannedStop().End.Add(answers)
	switch {
	case ctx.Err() != nil:
		n.answerRunning(earlier(until, time.Now().Add(maxFailedTime)), endedByFailure)
	case !inactive, n.gateway.Forwards() > 0: // what other nodes wait for runs on no connection of a caller
		n.answerRunning(until, cutByGrace)
	default:
		if given, _ := n.answers.counts(); given > 0 {
			n.ending.interrupt(given, true)
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// leaveTable gives up what this node holds in the store, and waits for that no longer than limit. A call to a silent store that
// was in progress before may hold it up for longer; it ends with the node.
func (n *Node) leaveTable(ctx context.Context, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	n.group.Task("stop_leave", func(context.Context) {
		defer cancel()
		n.table.Leave(ctx)
	})
	<-ctx.Done()
}

// closeListener closes the listener of callers once it has taken what waits there, for which it gets some time.
func (n *Node) closeListener(ctx context.Context, most time.Duration) {
	if err := n.callers.CloseDrained(ctx, most); err != nil {
		klog.ErrorS(err, "listener_not_closed")
	}
}

// awaitNoticed waits until the load balancer has noticed the stop, which it does also while this VM is suspended.
func (n *Node) awaitNoticed(ctx context.Context) {
	left := func() time.Duration { return time.Until(n.plannedStop().Noticed) }
	for wait := left(); wait > 0 && kernel.Sleep(ctx, min(wait, stopPollInterval)); wait = left() {
		continue
	}
}

// awaitInactive waits until no request has been running for stopPollInterval, or the stop is over.
//
// What came while the process stood still is accepted and read only after it runs again. A node that
// found nothing running at that moment would close its listener, and the kernel would reset the
// connections that wait there. So the time counts for which the process runs.
func (n *Node) awaitInactive(ctx context.Context) {
	since := time.Now()
	for n.waitStopPoll(ctx) {
		now := time.Now()
		if n.conns.active(now) || n.gateway.Forwards() > 0 {
			since = now
		}
		if kernel.RunTime(since, now) >= stopPollInterval {
			return
		}
	}
}

// logDrainTime returns how long the last log lines may wait for their reader.
func (n *Node) logDrainTime(now time.Time) time.Duration {
	stop := n.plannedStop()
	if !stop.Active() || n.ending.failed() {
		return maxLogDrainTime
	}
	return min(maxLogDrainTime, minLogDrainTime+max(0, stop.End.Sub(now)))
}

// protectStep performs a step of a stop. If it panics, the stop goes on: the streams in progress still get
// the rest of the grace period.
func protectStep(name string, step func()) {
	_ = kernel.Protect(name, func() error { step(); return nil }) // it is logged
}

// waitStopPoll waits for stopPollInterval, and reports false when the stop is over.
func (n *Node) waitStopPoll(ctx context.Context) bool {
	return time.Now().Before(n.lastMomentBegins()) && kernel.Sleep(ctx, stopPollInterval)
}

// lastMomentBegins returns when the requests that are still running are to be answered. That is after the end for which
// requests are accepted if fewer are running than at the signal.
func (n *Node) lastMomentBegins() time.Time {
	stop := n.plannedStop()
	_, requests := n.conns.counts()
	needed := answerTime(requests+n.gateway.Forwards(), n.settings.Processor, stop.End.Add(n.last.answers).Sub(stop.Begun))
	return stop.End.Add(max(0, n.last.answers-needed))
}
