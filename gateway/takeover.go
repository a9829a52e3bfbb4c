package gateway

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"redwinghall"
	"redwinghall/eventstream"
	"redwinghall/kernel"
)

// takeover is a second attempt of a stream whose endpoint is silent, at another endpoint.
//
// A silent endpoint may be sound and go on, and the other one may reject the stream, fail it or be silent itself. So the
// attempt at the silent one goes on until the takeover has shown that it serves: whichever has events first goes
// on, and the other one ends. The events of a takeover are held until then.
//
// A takeover settles once: one of its attempts wins, it fails as no other attempt may be made, or it is dropped as the
// silent endpoint goes on. An attempt that has failed is withdrawn; one at an endpoint that is silent too is left.
type takeover struct {
	call   *streamCall
	from   *streamRun // the attempt at the silent endpoint
	ctx    context.Context
	cancel context.CancelFunc
	// settled is closed once the takeover has won, failed or been dropped.
	settled chan struct{}

	// The rest is guarded by call.mu.
	isSettled bool
	alone     bool       // the attempt at the silent endpoint has ended
	candidate *streamRun // has an open response and hasn't won yet
	won       *streamRun
}

// startTakeover begins a takeover from a silent attempt.
func (c *streamCall) startTakeover(from *streamRun) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.resumableLocked() { // an event came meanwhile
		return
	}
	if c.takeovers == nil {
		c.takeovers = kernel.NewGroup(from.parent)
	}
	t := &takeover{call: c, from: from, settled: make(chan struct{})}
	t.ctx, t.cancel = context.WithCancel(c.takeovers.Context())
	c.takeover = t
	c.takeovers.Task("takeover", func(context.Context) {
		defer t.fail()
		t.run()
	})
}

// hasTakeover reports whether a takeover is in progress or has won.
func (c *streamCall) hasTakeover() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.takeover != nil
}

// mayStartTakeover reports whether a takeover may start: none is in progress, and none was refused just now.
func (c *streamCall) mayStartTakeover(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.takeover == nil && now.Sub(c.refusedAt) >= takeoverPause
}

// run makes attempts until one goes on with the stream, or no other may be made.
func (t *takeover) run() {
	for again := true; again && t.ctx.Err() == nil; {
		run := t.begin()
		again = run != nil && t.attempt(run)
	}
}

// attempt makes one attempt, and reports whether another one may follow. It closes the attempt unless that has won.
func (t *takeover) attempt(run *streamRun) (again bool) {
	defer t.closeUnlessWon(run) // also if it panics
	last, won := t.try(run)
	switch {
	case won:
		return false
	case t.ctx.Err() != nil:
		klog.InfoS("takeover_dropped", "request", t.call.r.Info.ID, "endpoint", run.choice.Endpoint.ID)
		t.call.mayHaveRun.Store(true)
		return false
	}
	run.record(last)
	return t.call.shouldRetry(t.ctx, last)
}

func (t *takeover) closeUnlessWon(run *streamRun) {
	if !t.hasWon(run) {
		run.close()
	}
}

// begin chooses the endpoint of the next attempt. It returns nil if there is none.
func (t *takeover) begin() *streamRun {
	t.call.r.takeView(t.call.g.Cache)
	run, why := t.call.begin(t.ctx)
	if why != nil {
		klog.InfoS("takeover_refused", "request", t.call.r.Info.ID, "reason", why.reason)
		t.call.recordRefused(time.Now())
		return nil
	}
	return run
}

// try makes one attempt, and reports whether it has won.
func (t *takeover) try(run *streamRun) (last streamAttempt, won bool) {
	stop := run.watchSilence(t)
	defer stop()
	mode := t.call.sendMode()
	mode.fresh = true // the connections to the silent endpoint may have broken with others
	response, last := run.open(mode)
	if response == nil {
		return last, false
	}
	if run.response == nil {
		_ = response.Body.Close()
		return streamAttempt{response: response, err: redwinghall.NewOpError("takeover.try", Unknown, errEndpointFailed)}, false
	}
	body := eventstream.NewProvingBody(response.Body)
	run.body = body
	after, _ := t.call.lastEvent()
	if t.enter(run) {
		body.EndProving()
		return last, true
	}
	if err := body.Prove(after, func() { t.win(run) }); err != nil && t.withdraw(run) {
		return streamAttempt{response: response, err: redwinghall.NewOpError("takeover.try", Unknown, err)}, false
	}
	return last, t.win(run)
}

// enter makes an attempt with an open response the candidate, and reports whether it has won at once.
func (t *takeover) enter(run *streamRun) bool {
	t.call.mu.Lock()
	defer t.call.mu.Unlock()
	if !run.abandoned {
		t.candidate = run
	}
	return t.alone && t.winLocked(run)
}

// win ends the attempt at the silent endpoint, unless that has gone on meanwhile. It reports whether the run goes on
// with the stream.
func (t *takeover) win(run *streamRun) bool {
	t.call.mu.Lock()
	defer t.call.mu.Unlock()
	return t.winLocked(run)
}

func (t *takeover) winLocked(run *streamRun) bool {
	if t.isSettled || t.candidate != run {
		return t.won == run
	}
	t.won = run
	t.from.abandoned = true
	t.from.cancel(ErrStalled)
	t.settleLocked()
	return true
}

func (t *takeover) hasWon(run *streamRun) bool {
	t.call.mu.Lock()
	defer t.call.mu.Unlock()
	return t.won == run
}

// withdraw makes a candidate that has failed none, and reports whether it did: not if the attempt has won.
func (t *takeover) withdraw(run *streamRun) bool {
	t.call.mu.Lock()
	defer t.call.mu.Unlock()
	if t.won == run {
		return false
	}
	t.candidate = nil
	return true
}

// leave ends an attempt at an endpoint that is silent too, unless it has won.
func (t *takeover) leave(run *streamRun) {
	t.call.mu.Lock()
	defer t.call.mu.Unlock()
	if t.won == run {
		return
	}
	if t.candidate == run {
		t.candidate = nil
	}
	run.abandoned = true
	run.cancel(ErrStalled)
}

// fail settles a takeover that has not won.
func (t *takeover) fail() {
	t.call.mu.Lock()
	defer t.call.mu.Unlock()
	if !t.isSettled {
		t.settleLocked()
		t.call.takeover = nil
	}
}

func (t *takeover) settleLocked() {
	t.isSettled = true
	close(t.settled)
}

// dropLocked ends a takeover that has not won. The caller holds call.mu.
func (t *takeover) dropLocked() {
	if t.isSettled {
		return
	}
	t.settleLocked()
	t.call.takeover = nil
	t.cancel()
}

// awaitTakeover returns the attempt that goes on with the stream after another one has ended, nil if there is none.
func (c *streamCall) awaitTakeover(last streamAttempt) *streamRun {
	c.mu.Lock()
	t := c.takeover
	if t == nil || last.done {
		c.mu.Unlock()
		return nil
	}
	if t.alone = true; t.candidate != nil {
		t.winLocked(t.candidate)
	}
	c.mu.Unlock()
	<-t.settled
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.takeover == t {
		c.takeover = nil
	}
	return t.won
}

// endTakeovers ends what is left of takeovers as their request ends.
func (c *streamCall) endTakeovers() {
	c.mu.Lock()
	group, t := c.takeovers, c.takeover
	if t != nil {
		t.dropLocked()
	}
	c.mu.Unlock()
	if group == nil {
		return
	}
	group.Stop()
	if t != nil && t.won != nil {
		t.won.close()
	}
	_ = group.Wait() // tasks return no error
}
