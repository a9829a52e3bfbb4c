package gateway

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"redwinghall"
	"redwinghall/balance"
	"redwinghall/kernel"
)

// hedge is a second attempt of a plain call whose endpoint is silent, at another endpoint.
//
// A silent endpoint may be sound and answer, and the other one may reject the call, fail it or be silent itself. So the
// attempt at the silent one goes on, and the caller gets the first answer of either.
type hedge struct {
	cancel context.CancelCauseFunc
	// result receives the result of the hedge once it has ended.
	result chan plainAttempt
}

var (
	errAnsweredElsewhere = errors.New("another endpoint has answered the request")
	errHedgeFailed       = errors.New("the second attempt ended without a result")
)

// plainRun is one attempt of a plain call in progress.
type plainRun struct {
	choice balance.Choice
	gate   *quarantineGate
	cancel context.CancelCauseFunc
	// ctx ends with the attempt, and parent with the request or with the hedge that the attempt belongs to.
	ctx, parent context.Context
	// fresh is set if the request is sent over a new connection.
	fresh bool
	// hedge is nil until one was started. Guarded by plainCall.mu.
	hedge *hedge
}

// beginRun begins an attempt; endRun must be called.
func (c *plainCall) beginRun(ctx context.Context, choice balance.Choice, gate *quarantineGate) *plainRun {
	run := &plainRun{choice: choice, gate: gate, parent: ctx}
	run.ctx, run.cancel = context.WithCancelCause(ctx)
	c.g.unproven.add(gate, run.cancel)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tried[choice.Endpoint.ID] = true
	c.sent++
	c.running = append(c.running, run)
	if c.answered {
		run.cancel(errAnsweredElsewhere)
	}
	return run
}

// endRun ends an attempt, also if its exchange panicked. No hedge of it is started any more.
func (c *plainCall) endRun(run *plainRun) {
	run.choice.Attempt.Cancel()
	c.g.unproven.remove(run.gate)
	run.gate.endTrial()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running = slices.DeleteFunc(c.running, func(one *plainRun) bool { return one == run })
}

// claim makes the response of an attempt the one that the caller gets if it is an answer, and ends all other attempts.
// It returns the result of the attempt, which is a failure if another one has answered first.
func (c *plainCall) claim(run *plainRun, last plainAttempt) plainAttempt {
	if !last.isResponse() || last.response.Status >= http.StatusInternalServerError || !isUsable(c.r, last.response) {
		return last
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answered {
		last.close()
		return plainAttempt{err: redwinghall.NewOpError("plainCall.claim", Unknown, errAnsweredElsewhere)}
	}
	c.answered, last.answers = true, true
	for _, other := range c.running {
		switch {
		case other == run:
		case other.hedge != nil:
			other.cancel(ErrStalled)
		default:
			other.cancel(errAnsweredElsewhere)
		}
	}
	if run.hedge != nil {
		run.hedge.cancel(errAnsweredElsewhere)
	}
	return last
}

// hedgeDelay returns after what time without an answer an attempt that begins gets a hedge; ok is false if it gets none.
// A sound endpoint may be silent for silenceTolerance. A trial gets none: a suspected part is at one endpoint at a time.
func (c *plainCall) hedgeDelay(now time.Time, run *plainRun) (delay time.Duration, ok bool) {
	share := time.Duration(attemptTimeShare * float64(c.r.Left(now)))
	return max(silenceTolerance, share), !run.gate.trial && c.r.Idempotent() && c.sentAttempts() < c.r.Route.MaxAttempts
}

// hedgeIfSilent starts a hedge if the attempt gets no answer for some time. The returned function stops the timer.
func (c *plainCall) hedgeIfSilent(now time.Time, run *plainRun) (stop func()) {
	delay, ok := c.hedgeDelay(now, run)
	if !ok {
		return func() {}
	}
	timer := kernel.AfterFunc(delay, func() { c.startHedge(time.Now(), run) })
	return func() { timer.Stop() }
}

// startHedge starts a hedge if the call may be sent to another endpoint.
func (c *plainCall) startHedge(now time.Time, run *plainRun) {
	if run.ctx.Err() != nil || c.checkStop(now) != nil || !c.g.mayRetry(c.r, c.sentAttempts(), now) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answered || !slices.Contains(c.running, run) {
		return
	}
	if c.hedges == nil {
		c.hedges = kernel.NewGroup(run.parent)
	}
	klog.InfoS("call_hedged", "request", c.r.Info.ID, "endpoint", run.choice.Endpoint.ID, "attempts", c.sent, "held", now.Sub(c.r.Arrived),
		"node_stopping", c.g.stop().Active())
	h := &hedge{result: make(chan plainAttempt, 1)}
	run.hedge = h
	var ctx context.Context
	ctx, h.cancel = context.WithCancelCause(run.parent) // what is unread of an answer outlives the group
	c.hedges.Task("hedge", func(context.Context) {
		last := plainAttempt{err: redwinghall.NewOpError("plainCall.startHedge", Unknown, errHedgeFailed)}
		defer func() { h.result <- last }()
		c.r.takeView(c.g.Cache)
		last = c.tryEndpoints(ctx, true)
	})
}

// join waits for the hedge of an attempt that has ended, and returns the result of the two that the caller gets. ok is
// false if the attempt had none.
func (c *plainCall) join(run *plainRun, last plainAttempt) (result plainAttempt, ok bool) {
	c.mu.Lock()
	h := run.hedge
	c.mu.Unlock()
	if h == nil {
		return last, false
	}
	other := <-h.result
	if other.isBetterThan(last) {
		last, other = other, last
	}
	other.close()
	return last, true
}

// isBetterThan reports whether a result of a hedge goes to the caller rather than that of the attempt at the silent
// endpoint, which ended later.
func (t plainAttempt) isBetterThan(silent plainAttempt) bool {
	if t.answers || silent.answers {
		return t.answers
	}
	return t.isResponse() && !silent.isResponse()
}

// isResponse reports whether the attempt has a response other than a rejection.
func (t plainAttempt) isResponse() bool { return t.response != nil && t.err == nil && !t.notRun }

// endHedges waits until all hedges have ended.
func (c *plainCall) endHedges() {
	c.mu.Lock()
	group := c.hedges
	c.mu.Unlock()
	if group != nil {
		_ = group.Wait() // tasks return no error
	}
}

// recordDropped records an attempt that was ended as another endpoint had answered first. That says nothing of its
// endpoint, unless it was silent for so long that it had a hedge. It reports whether it did.
func (c *plainCall) recordDropped(run *plainRun) bool {
	if !errors.Is(context.Cause(run.ctx), errAnsweredElsewhere) {
		return false
	}
	klog.InfoS("hedge_dropped", "request", c.r.Info.ID, "endpoint", run.choice.Endpoint.ID)
	run.choice.Attempt.Cancel()
	return true
}

// triedEndpoints returns the endpoints that got an attempt.
func (c *plainCall) triedEndpoints() map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.tried)
}

// sentAttempts returns how many requests may have reached an endpoint.
func (c *plainCall) sentAttempts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent
}

// dialsFailed returns how many connection attempts have failed.
func (c *plainCall) dialsFailed() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failedDials
}

// ranSomewhere reports whether an endpoint may have executed the request.
func (c *plainCall) ranSomewhere() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mayHaveRun
}
