package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"redwinghall"
	"redwinghall/fleet"
)

var errEncodedResponse = errors.New("the response is encoded, so its bytes are not the endpoint's own")

// plainAttempt is the result of one attempt at a plain service.
type plainAttempt struct {
	endpoint *fleet.Endpoint
	response *Response
	body     []byte
	gate     *quarantineGate
	err      error // of kind NotSent or Unknown
	// refused is set if there was no endpoint for the attempt.
	refused *refusal
	// answers is set if the response is the one that the caller gets.
	answers bool
	// notRun is true if the endpoint guaranteed that it did not execute the request.
	notRun bool
	// unread is the remainder of a response that is too large to be buffered; nil if
	// body is complete. It must be closed by release.
	unread  io.Reader
	release func()
	// giveBack releases the memory of body; nil if none is held.
	giveBack func()
}

// close releases the connection of a response that was not read completely, and what is held of it.
func (t plainAttempt) close() {
	if t.release != nil {
		t.release()
	}
	if t.giveBack != nil {
		t.giveBack()
	}
}

// isServed reports whether the endpoint has served the request.
func (t plainAttempt) isServed() bool {
	return t.isResponse() && t.response.Status < http.StatusInternalServerError && !statusMeansNotRun(t.response.Status)
}

// attempt sends the request to one endpoint and reads the response, a large one only
// in part.
func (c *plainCall) attempt(run *plainRun) plainAttempt {
	defer c.endRun(run)
	defer c.hedgeIfSilent(time.Now(), run)()
	endpoint := run.choice.Endpoint
	response, err := c.g.send(run.ctx, c.r, endpoint, "", c.sendMode(run.fresh))
	if err != nil {
		c.recordBrokenOff(run.ctx, run.gate, endpoint, err)
		c.recordSendFailure(run, err)
		run.cancel(nil)
		return plainAttempt{err: err}
	}
	c.g.recordResponded(time.Now(), endpoint, response)
	c.g.recordResponseInfo(c.r, run.choice, response)
	last := c.readResponse(endpoint, response)
	last.gate = run.gate
	last.release = func() {
		_ = response.Body.Close() // the part that is needed has been read
		run.cancel(nil)
	}
	last = c.claim(run, last)
	c.recordBrokenOff(run.ctx, run.gate, endpoint, last.err)
	if last.err == nil && !last.notRun && last.unread == nil {
		run.gate.recordProven(time.Now())
	}
	c.recordAttempt(run, last)
	if last.unread == nil && last.release != nil {
		last.release()
		last.release = nil
	}
	return last
}

// recordBrokenOff finds out whether the endpoint's process ended, if an attempt broke off without this node's doing.
func (c *plainCall) recordBrokenOff(ctx context.Context, gate *quarantineGate, e *fleet.Endpoint, err error) {
	if redwinghall.KindOf[Kind](err) != Unknown || ctx.Err() != nil {
		return
	}
	latest, found := c.g.presenceAfter(ctx, e, err)
	gate.recordPresence(time.Now(), latest, found)
}

// sendMode returns how the next attempt is sent. One that may not be repeated isn't written to
// an open connection that may be dead: its outcome would be unknown until its deadline.
func (c *plainCall) sendMode(fresh bool) sendMode {
	return sendMode{
		fresh:  fresh,
		insist: func() bool { return c.dialsFailed() > 0 || !c.g.hasAlternative(time.Now(), c.r, c.triedEndpoints()) },

		mayRunAgain: func() bool { return c.mayRunAgain(time.Now()) },
	}
}

// readResponse reads a response, or the first part of a large one.
func (c *plainCall) readResponse(e *fleet.Endpoint, response *Response) plainAttempt {
	last := plainAttempt{endpoint: e, response: response, notRun: response.Info.NotRun}
	body, complete, err := readUpTo(response.Body, nil, smallBufferedResponse)
	if err == nil && !complete && c.g.answerBytes.Take(maxBufferedResponse) {
		last.giveBack = func() { c.g.answerBytes.GiveBack(maxBufferedResponse) }
		body, complete, err = readUpTo(response.Body, body, maxBufferedResponse)
	}
	last.body = body
	if err == nil && response.Info.Encoded {
		err = errEncodedResponse
	}
	if err != nil && !last.notRun {
		last.close()
		return plainAttempt{err: redwinghall.NewOpError("plainCall.readResponse", Unknown, err)}
	}
	if err == nil && !complete {
		last.unread = response.Body
	}
	return last
}

// readUpTo reads a response on until it has more than limit bytes, and reports whether that is all of it.
func readUpTo(from io.Reader, begun []byte, limit int) (body []byte, complete bool, err error) {
	more, err := io.ReadAll(io.LimitReader(from, int64(limit+1-len(begun))))
	if len(begun) > 0 {
		more = append(begun, more...)
	}
	return more, len(more) <= limit, err
}

// recordAttempt reports the result of an attempt to the tracker and logs it.
func (c *plainCall) recordAttempt(run *plainRun, last plainAttempt) {
	choice := run.choice
	c.recordOutcome(last.err, last.notRun)
	if last.err != nil {
		c.recordFailure(time.Now(), run, last.err)
		return
	}
	now := time.Now()
	load := last.response.Info.Load
	if load.Known {
		choice.Attempt.RecordLoad(now, load.Running+load.Waiting)
	}
	if last.response.rejectedWithRetryAfter() {
		choice.Attempt.Cancel()
	} else {
		choice.Attempt.Done(now, !last.notRun && last.response.Status < http.StatusInternalServerError)
	}
	if last.response.Status == http.StatusMisdirectedRequest {
		c.g.Tracker.MarkUnreachable(now, choice.Endpoint.ID)
	}
	klog.InfoS("answered", "request", c.r.Info.ID, "route", c.r.Route.Name, "endpoint", choice.Endpoint.ID, "status", last.response.Status,
		"not_run", last.notRun, "running", choice.Running, "load_age", choice.Age, "attempts", c.sentAttempts(), "took", now.Sub(c.r.Arrived), "via", last.response.Peer,
		"configuration", c.r.configVersion())
}

// recordSendFailure records and logs an attempt that got no response.
func (c *plainCall) recordSendFailure(run *plainRun, err error) {
	now := time.Now()
	c.recordOutcome(err, false)
	if c.recordFailure(now, run, err) && redwinghall.KindOf[Kind](err) != NotSent {
		c.g.recordBroken(now, run.choice.Endpoint, nil)
	}
}

// recordOutcome counts an attempt that has ended.
func (c *plainCall) recordOutcome(err error, notRun bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case redwinghall.KindOf[Kind](err) == NotSent:
		c.failedDials++
		c.sent--
	case !notRun:
		c.mayHaveRun = true
	}
}

// recordFailure reports a failed attempt to the tracker and logs it, unless it was ended as it wasn't needed any more.
// It reports whether it did.
func (c *plainCall) recordFailure(now time.Time, run *plainRun, err error) bool {
	if c.recordDropped(run) {
		return false
	}
	choice := run.choice
	choice.Attempt.Done(now, false)
	c.g.Metrics.AttemptFailed(redwinghall.KindOf[Kind](err))
	klog.InfoS("attempt_failed", "request", c.r.Info.ID, "endpoint", choice.Endpoint.ID, "address", choice.Endpoint.Address,
		"kind", redwinghall.KindOf[Kind](err), "running", choice.Running, "identity", c.r.identity(), "err", err)
	return true
}
