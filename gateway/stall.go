package gateway

import (
	"sync"
	"time"

	"k8s.io/klog/v2"

	"redwinghall/balance"
	"redwinghall/kernel"
)

// watchStall calls cancel once the group has made no progress for silenceTolerance, or for the
// stall timeout if it serves other nodes meanwhile, other endpoints answer, and the stream can resume at
// another group.
// The returned function stops the watch.
//
// A group that lost a member makes no progress for seconds, while its callers
// disconnect after 2 s. A stream that no other group can continue is not cancelled,
// since it may only be slow.
func (c *streamCall) watchStall(choice balance.Choice, cancel func()) func() {
	w := &stallWatch{call: c, choice: choice, cancel: cancel, timeout: c.stallTimeout()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = kernel.AfterFunc(w.timeout, w.check)
	c.g.stallWatches.add(w)
	return w.stop
}

// stallWatch detects that the group of one attempt is stalled.
type stallWatch struct {
	mu       sync.Mutex
	call     *streamCall
	choice   balance.Choice
	cancel   func()
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
	if lost && w.call.mayResumeElsewhere(now) {
		w.logMoved(now, "silent")
		w.cancel()
		return
	}
	w.call.askOthers(now)
	w.timer.Reset(stallCheckInterval)
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
	if !c.r.Idempotent() || c.sent.Load() >= int64(c.r.Route.MaxAttempts) {
		return false
	}
	if !c.hasAlternative(now) {
		return false
	}
	return c.g.mayRetry(c.r, int(c.sent.Load()), now)
}

// hasAlternative reports whether an endpoint that hasn't been tried could take the stream.
func (c *streamCall) hasAlternative(now time.Time) bool {
	return c.g.hasAlternative(now, c.r, c.tried)
}

// hasAlternative reports whether an endpoint that isn't among the tried ones could take a
// request.
func (g *Gateway) hasAlternative(now time.Time, r *Request, tried map[string]bool) bool {
	return g.Tracker.HasAlternative(now, g.candidates(r), g.Cache.View().ZonesOut, g.balanceRequest(r, tried))
}
