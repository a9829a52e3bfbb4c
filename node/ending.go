package node

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"redwinghall/kernel"
)

// Reasons for the end of a node, and for the end of requests with it.
const (
	endedByStop    = "planned_stop"
	endedByFailure = "part_failed"
	cutByGrace     = "grace_over"
)

// maxInterruptedLines bounds the lines on requests that end with the process.
const maxInterruptedLines = 200

// ending collects why and how the node ends, for the log line node_stopped.
type ending struct {
	mu          sync.Mutex
	reason      string
	cause       string // the signal, for a planned stop
	begun       time.Time
	byGrace     bool // the grace period was over before all requests were
	interrupted int  // requests that the node ended
	unanswered  int  // those of them that were still without their answer when the process exited
}

// begin records the reason and the beginning of the end.
func (e *ending) begin(now time.Time, reason string, cause error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reason, e.begun = reason, now
	if cause != nil {
		e.cause = cause.Error()
	}
}

// interrupt records how many requests the node ends.
func (e *ending) interrupt(requests int, byGrace bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.interrupted, e.byGrace = requests, byGrace
}

// leave records how many requests are without their answer when the process exits.
func (e *ending) leave(unanswered int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unanswered = unanswered
}

// failed reports whether the node ends as a part of it has failed.
func (e *ending) failed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reason == endedByFailure
}

// stopAsPlanned shuts the node down after the context of its caller ended. running is the context
// of the node's parts.
func (n *Node) stopAsPlanned(running, caller context.Context) {
	n.ending.begin(time.Now(), endedByStop, context.Cause(caller))
	n.stop(running, context.Cause(caller))
}

// logStopped writes the last line of the node.
func (n *Node) logStopped(now time.Time, err error) {
	e := &n.ending
	e.mu.Lock()
	defer e.mu.Unlock()
	line := []any{
		"node", n.settings.Node, "reason", e.reason, "cause", e.cause, "took", now.Sub(e.begun), "ran_for", now.Sub(n.started),
		"by_grace", e.byGrace, "interrupted", e.interrupted, "unanswered", e.unanswered, "err", err,
	}
	if err != nil || e.reason != endedByStop || e.interrupted > 0 {
		kernel.WarningS(nil, "node_stopped", line...)
		return
	}
	klog.InfoS("node_stopped", line...)
}
