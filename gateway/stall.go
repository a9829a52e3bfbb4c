package gateway

import (
	"sync"
	"time"

	"k8s.io/klog/v2"

	"redwinghall/balance"
	"redwinghall/kernel"
)

// watchStall starts a takeover once the group has made no progress for silenceTolerance, or for the stall timeout if
// it serves other nodes meanwhile, other endpoints answer, and the stream can resume at another group.
// The returned function stops the watch.
//
// A group that lost a member makes no progress for seconds, while its callers
// disconnect after 2 s.
func (run *streamRun) watchStall() func() { return run.watch(nil) }

// watchSilence is watchStall for an attempt of a takeover, which makes its next one instead.
func (run *streamRun) watchSilence(t *takeover) func() { return run.watch(t) }

func (run *streamRun) watch(t *takeover) func() {
	w := &stallWatch{run: run, call: run.call, choice: run.choice, takeover: t, timeout: run.call.stallTimeout()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = kernel.AfterFunc(w.timeout, w.check)
	w.call.g.stallWatches.add(w)
	return w.stop
}

// stallWatch detects that the group of one attempt is stalled.
type stallWatch struct {
	mu       sync.Mutex
	run      *streamRun
	call     *streamCall
	choice   balance.Choice
	takeover *takeover // whose attempt it is, nil for the attempt whose events are passed on
	timeout  time.Duration
	timer    *kernel.Timer
	stopped  bool
	reported bool
}

func (w *stallWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	if w.call.unread.Load() { // its caller is the cause
		w.timer.Reset(stallCheckInterval)
		return
	}
	now := time.Now()
	silent := w.choice.Attempt.TimeWithoutEvent(now)
	if silent < w.timeout {
		w.timer.Reset(max(stallCheckInterval, w.timeout-silent))
		return
	}
	if !w.reported {
		w.reported = true
		w.call.g.recordStalled(now, w.choice.Endpoint, silent)
	}
	g, e := w.call.g, w.choice.Endpoint
	lost := g.Paths.ServesOthers(now, e.ID) || (silent >= silenceTolerance && g.othersAnswer(now, e))
	if !lost || !w.move(now, "silent") {
		w.call.askOthers(now)
	}
	w.timer.Reset(stallCheckInterval)
}

// move starts the next attempt if the stream may go on elsewhere, and reports whether it did.
func (w *stallWatch) move(now time.Time, reason string) bool {
	if !w.mayMove(now) || !w.call.mayResumeElsewhere(now) {
		return false
	}
	w.logMoved(now, reason)
	if w.takeover != nil {
		w.takeover.leave(w.run)
	} else {
		w.call.startTakeover(w.run)
	}
	return true
}

// mayMove reports whether another attempt would be of use.
func (w *stallWatch) mayMove(now time.Time) bool {
	if w.takeover != nil {
		return !w.run.isAbandoned() && !w.takeover.hasWon(w.run)
	}
	return w.call.mayStartTakeover(now) && !w.call.callerIsBehind(now)
}

// callerIsBehind reports whether the caller has yet to take events that have arrived. What another endpoint sent meanwhile
// would remain unread until it cuts the response off, and what has arrived would be dropped.
func (c *streamCall) callerIsBehind(now time.Time) bool {
	ahead := c.ahead.Load()
	return ahead != nil && ahead.callerIsBehind(now)
}

// logMoved writes the line of a stream that is about to resume elsewhere.
func (w *stallWatch) logMoved(now time.Time, reason string) {
	klog.InfoS("stream_moves", "request", w.call.r.Info.ID, "endpoint", w.choice.Endpoint.ID, "group", w.choice.Endpoint.Member.Group,
		"reason", reason, "silent", w.choice.Attempt.TimeWithoutEvent(now), "since_first_event", w.choice.Attempt.SinceFirstEvent(now),
		"attempts", w.call.sent.Load(), "node_stopping", w.call.g.stop().Active())
}

func (w *stallWatch) stop() {
	w.call.g.stallWatches.remove(w)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// mayResumeElsewhere reports whether the stream may resume at another group now, and
// spends the retry budget if so.
func (c *streamCall) mayResumeElsewhere(now time.Time) bool {
	return c.mayGoOnElsewhere(now) && c.mayRetry(now)
}

// hasAlternative reports whether an endpoint that hasn't been tried could take the stream.
func (c *streamCall) hasAlternative(now time.Time) bool {
	return c.g.hasAlternative(now, c.r, c.triedEndpoints())
}

// hasAlternative reports whether an endpoint that isn't among the tried ones could take a
// request.
func (g *Gateway) hasAlternative(now time.Time, r *Request, tried map[string]bool) bool {
	return g.Tracker.HasAlternative(now, g.candidates(r), g.Cache.View().ZonesOut, g.balanceRequest(r, tried))
}
