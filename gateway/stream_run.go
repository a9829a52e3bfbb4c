package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"redwinghall"
	"redwinghall/balance"
	"redwinghall/endpointhttp"
	"redwinghall/fleet"
)

// streamRun is one attempt of a stream: its request at one endpoint.
type streamRun struct {
	call   *streamCall
	choice balance.Choice
	gate   *quarantineGate
	cancel context.CancelCauseFunc
	// ctx ends with the attempt, and parent with the request.
	ctx, parent context.Context
	// response is the endpoint's, once its head has shown that the stream can be passed on; nil before.
	response *Response
	// body is the response's, from its beginning.
	body io.Reader
	// abandoned is set before the attempt is canceled as another one goes on with the stream. Guarded by call.mu.
	abandoned bool
}

// newRun begins an attempt; close must be called.
func (c *streamCall) newRun(ctx context.Context, choice balance.Choice, gate *quarantineGate) *streamRun {
	c.mu.Lock()
	c.tried[choice.Endpoint.ID] = true
	c.mu.Unlock()
	run := &streamRun{call: c, choice: choice, gate: gate, parent: ctx}
	run.ctx, run.cancel = context.WithCancelCause(ctx)
	c.g.unproven.add(gate, run.cancel)
	return run
}

// close ends an attempt, also if its exchange panicked, as it does when the caller has left.
func (run *streamRun) close() {
	run.call.endTrial(run.gate)
	run.call.g.unproven.remove(run.gate)
	if run.response != nil {
		_ = run.response.Body.Close()
	}
	run.cancel(nil)
	run.choice.Attempt.Cancel()
}

// streamAttempt is the result of one attempt of a stream.
type streamAttempt struct {
	done     bool // the caller has the complete response
	notRun   bool
	err      error
	response *Response
}

// status returns the status of the endpoint's response, 0 if there was none.
func (a streamAttempt) status() int {
	if a.response == nil {
		return 0
	}
	return a.response.Status
}

// attempt passes on the response of one attempt, and sends its request first if that wasn't done by a takeover.
func (c *streamCall) attempt(run *streamRun) streamAttempt {
	defer run.close()
	stop := run.watchStall()
	defer stop()
	last := c.exchange(run)
	stop()
	run.record(last)
	return last
}

// exchange sends the request and relays the events of the response.
func (c *streamCall) exchange(run *streamRun) streamAttempt {
	if run.response == nil {
		response, last := run.open(c.sendMode())
		switch {
		case response == nil:
			return last
		case run.response == nil:
			defer func() { _ = response.Body.Close() }()
			return c.forwardFailure(response)
		}
	}
	response := run.response
	if err := c.relay(run); err != nil {
		return streamAttempt{response: response, err: redwinghall.NewOpError("streamCall.exchange", Unknown, err)}
	}
	first, took := c.firstEventAt.Sub(c.r.Arrived), time.Since(c.r.Arrived)
	klog.InfoS("streamed", "request", c.r.Info.ID, "route", c.r.Route.Name, "endpoint", run.choice.Endpoint.ID, "zone", run.choice.Endpoint.Zone,
		"running", run.choice.Running, "load_age", run.choice.Age, "predicted", run.choice.Predicted, "first", first, "expected", run.choice.Expected, "pause", c.longestPause,
		"took", took, "attempts", c.sent.Load(), "via", response.Peer, "configuration", c.r.configVersion())
	c.g.Metrics.Streamed(c.r, first, c.longestPause, took)
	return streamAttempt{done: true}
}

// open sends the request and checks the head of the response. A response that can be passed on is run.response from then
// on; one that reports a failure is returned and must be closed; without one, the result of the attempt is.
func (run *streamRun) open(mode sendMode) (*Response, streamAttempt) {
	c := run.call
	c.sent.Add(1)
	spent := c.retrySpent.Swap(false)
	response, err := c.g.send(run.ctx, c.r, run.choice.Endpoint, c.lastEventHeader(), mode)
	if redwinghall.KindOf[Kind](err) == NotSent {
		c.failedDials.Add(1)
		c.sent.Add(-1)
		if spent {
			c.retrySpent.Store(true)
		}
	}
	if err != nil {
		return nil, streamAttempt{err: err}
	}
	c.g.recordResponseInfo(c.r, run.choice, response)
	if response.Info.Load.Known {
		run.choice.Attempt.RecordLoad(time.Now(), response.Info.Load.Running+response.Info.Load.Waiting)
	}
	switch {
	case response.Info.NotRun:
		_ = response.Body.Close()
		return nil, streamAttempt{notRun: true, response: response}
	case response.Status != http.StatusOK:
		return response, streamAttempt{}
	case !response.Info.Signed || response.Info.RequestID != c.r.Info.ID || response.Info.Encoded:
		_ = response.Body.Close()
		return nil, streamAttempt{err: redwinghall.NewOpError("streamRun.open", Unknown, endpointhttp.ErrWrongResponse)}
	}
	run.response, run.body = response, response.Body
	return response, streamAttempt{}
}

// lastEventHeader returns from where the next attempt goes on, "" if from the beginning.
func (c *streamCall) lastEventHeader() string {
	if id, ok := c.lastEvent(); ok {
		return strconv.FormatInt(id, 10)
	}
	return ""
}

// record reports the result of the attempt to the tracker, finds out whether the endpoint is still there, and logs it.
func (run *streamRun) record(last streamAttempt) {
	c, choice := run.call, run.choice
	abandoned := run.isAbandoned()
	unknown := redwinghall.KindOf[Kind](last.err) == Unknown
	if unknown {
		c.mayHaveRun.Store(true)
	}
	ok := last.err == nil && !last.notRun
	now := time.Now()
	if last.response.rejectedWithRetryAfter() {
		choice.Attempt.Cancel()
	} else {
		choice.Attempt.Done(now, ok || (run.ctx.Err() != nil && !abandoned))
	}
	presence := fleet.PresenceUnknown
	switch {
	case unknown && run.ctx.Err() == nil:
		c.g.recordBroken(now, choice.Endpoint, last.response)
		var latest *fleet.Endpoint
		latest, presence = c.g.presenceAfter(run.ctx, choice.Endpoint, last.err)
		if !run.gate.proven {
			run.gate.recordPresence(now, latest, presence)
		}
	case last.notRun && c.r.Service.Engine != nil && !last.response.rejectedWithRetryAfter():
		// While the store is unreachable, the head of a closed group still looks open
		// here, and less loaded than all others. Streams would be sent to it one
		// after the other and use up their only retry.
		c.g.Tracker.MarkUnreachable(now, choice.Endpoint.ID)
	}
	if ok {
		return
	}
	lastID, _ := c.lastEvent()
	c.g.Metrics.AttemptFailed(redwinghall.KindOf[Kind](last.err))
	klog.InfoS("attempt_failed", "request", c.r.Info.ID, "endpoint", choice.Endpoint.ID, "address", choice.Endpoint.Address,
		"group", choice.Endpoint.Member.Group, "kind", redwinghall.KindOf[Kind](last.err), "not_run", last.notRun,
		"status", last.status(), "stalled", abandoned, "last_event", lastID, "since_first_event", choice.Attempt.SinceFirstEvent(now),
		"parts", c.r.Info.PromptParts, "identity", c.r.identity(), "endpoint_now", presence, "running", choice.Running, "predicted", choice.Predicted, "via", last.response.via(), "err", last.err)
}

// sendMode returns how the next attempt is sent. A stream that was just broken off goes on over
// a new connection: the open ones may have broken with it, and it has no attempt to lose.
func (c *streamCall) sendMode() sendMode {
	return sendMode{
		fresh:       c.mayHaveRun.Load(),
		insist:      func() bool { return c.failedDials.Load() > 0 || !c.hasAlternative(time.Now()) },
		mayRunAgain: func() bool { return c.mayGoOnElsewhere(time.Now()) },
	}
}

// mayGoOnElsewhere reports whether another attempt may go on with the stream.
func (c *streamCall) mayGoOnElsewhere(now time.Time) bool {
	return c.resumable() && c.sent.Load() < int64(c.r.Route.MaxAttempts) && c.hasAlternative(now)
}

// forwardFailure forwards an endpoint's error response to the caller, unless a retry
// may succeed.
func (c *streamCall) forwardFailure(response *Response) streamAttempt {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBody+1))
	if len(body) > maxErrorBody {
		err = errErrorTooLarge
	}
	if err != nil || c.headersSent.Load() || statusMeansNotRun(response.Status) || response.Status < http.StatusMultipleChoices {
		return streamAttempt{err: redwinghall.NewOpError("streamCall.forwardFailure", Unknown, errors.Join(errEndpointFailed, err))}
	}
	mayGoOn := c.sent.Load() < int64(c.r.Route.MaxAttempts) || c.hasTakeover()
	if response.Status >= http.StatusInternalServerError && c.r.Idempotent() && mayGoOn {
		return streamAttempt{err: redwinghall.NewOpError("streamCall.forwardFailure", Unknown, errEndpointFailed)}
	}
	c.g.forwardResponse(c.w, c.r, plainAttempt{response: response, body: body})
	return streamAttempt{done: true}
}
