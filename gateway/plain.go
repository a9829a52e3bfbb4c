package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"redwinghall"
	"redwinghall/balance"
	"redwinghall/fleet"
	"redwinghall/kernel"
	"redwinghall/platform"
)

const (
	// maxBufferedResponse is the size up to which a response is read completely
	// before it is forwarded, so that a truncated one can be replaced by a retry.
	maxBufferedResponse = 256 << 10
	// smallBufferedResponse is what is read of each response. More is read only while less than maxAnswerBytes
	// are held of all responses together: an endpoint may send responses without end to all requests.
	smallBufferedResponse = 4 << 10
	maxAnswerBytes        = 1 << 20
	copyBufferSize        = 4 << 10
	// maxDials bounds how many failed connection attempts to endpoints one request
	// may cause.
	maxDials = 3
	// attemptTimeShare is the fraction of the remaining time that one attempt gets
	// while a retry is still possible.
	attemptTimeShare = 0.4
)

var errEncodedResponse = errors.New("the response is encoded, so its bytes are not the endpoint's own")

// plainAttempt is the result of one attempt at a plain service.
type plainAttempt struct {
	endpoint *fleet.Endpoint
	response *Response
	body     []byte
	err      error // of kind NotSent or Unknown
	// notRun is true if the endpoint guaranteed that it did not execute the request.
	notRun bool
	// unread is the remainder of a response that is too large to be buffered; nil if
	// body is complete. It must be closed by release.
	unread  io.Reader
	release func()
	// giveBack ends the holding of body; nil if nothing is held.
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

// plainCall is the state of one request to a plain service.
type plainCall struct {
	g           *Gateway
	r           *Request
	tried       map[string]bool
	sent        int // attempts whose request may have reached an endpoint
	failedDials int // failed connection attempts
	// mayHaveRun is true if an endpoint may have executed the request.
	mayHaveRun bool
	gate       quarantineGate
}

// servePlain handles a request whose response is a single body.
func (g *Gateway) servePlain(ctx context.Context, w http.ResponseWriter, r *Request) {
	call := &plainCall{g: g, r: r, tried: map[string]bool{}, gate: quarantineGate{g: g, r: r}}
	if !call.fitsPlannedStop(time.Now()) {
		g.refuse(w, r, g.stop().refusal(time.Now(), g.callTimes.longest(r.Route.Name)))
		return
	}
	defer call.recordCallTime()
	for {
		if why := call.gate.pass(ctx); why != nil {
			g.refuse(w, r, call.truthful(*why))
			return
		}
		choice, refused := g.choosePlain(ctx, r, g.balanceRequest(r, call.tried))
		if refused != nil {
			call.gate.endTrial()
		}
		if refused != nil && g.awaitEndpoints(ctx, time.Now(), r, refused) {
			r.takeView(g.Cache)
			continue
		}
		if refused != nil {
			g.refuse(w, r, call.truthful(g.noEndpointRefusal(refused)))
			return
		}
		last := call.attempt(ctx, choice)
		call.mayHaveRun = call.mayHaveRun || (!last.notRun && redwinghall.KindOf[Kind](last.err) != NotSent)
		if call.shouldRetry(ctx, last) {
			last.close()
			r.takeView(g.Cache)
			continue
		}
		defer last.close()
		g.finishPlain(ctx, w, call, last)
		return
	}
}

// choosePlain chooses the endpoint of a plain service.
func (g *Gateway) choosePlain(ctx context.Context, r *Request, req balance.Request) (balance.Choice, *balance.Refusal) {
	return g.withinLimits(ctx, r, func(now time.Time) (balance.Choice, *balance.Refusal) {
		return g.Tracker.ChoosePlain(now, r.view().ByService[r.Service.Name], r.view().ZonesOut, req)
	})
}

// fitsPlannedStop reports whether one more attempt would end before a planned stop of
// this node. The estimate is kept per route, since calls of one service differ: it
// may answer look-ups immediately and take seconds for bookings.
func (c *plainCall) fitsPlannedStop(now time.Time) bool {
	stop, expected := c.g.stop(), c.g.callTimes.longest(c.r.Route.Name)
	if !stop.Accepts(now, expected, c.r.Deadline) {
		return false
	}
	stop.logAccepted(now, c.r, expected)
	return true
}

// recordCallTime records the duration of the call for its route, whatever its result.
func (c *plainCall) recordCallTime() {
	if c.sent > 0 {
		c.g.callTimes.record(c.r.Route.Name, kernel.RunTime(c.r.Arrived, time.Now()))
	}
}

// truthful returns a refusal with a status that guarantees that nothing was executed only if no endpoint may have
// run the request.
func (c *plainCall) truthful(why refusal) refusal {
	if c.mayHaveRun {
		why.status = http.StatusBadGateway
	}
	return why
}

// attempt sends the request to one endpoint and reads the response, a large one only
// in part.
func (c *plainCall) attempt(ctx context.Context, choice balance.Choice) plainAttempt {
	c.tried[choice.Endpoint.ID] = true
	defer choice.Attempt.Cancel() // if the exchange panics
	ctx, timer, cancel := withAttemptTimer(ctx, c.attemptTimeout(time.Now()))
	c.g.unproven.add(&c.gate, cancel)
	defer c.g.unproven.remove(&c.gate)
	defer c.gate.endTrial()
	response, err := c.g.send(ctx, c.r, choice.Endpoint, "", c.sendMode())
	if err != nil {
		c.recordBrokenOff(ctx, choice.Endpoint, err)
		cancel(nil)
		return c.recordSendFailure(choice, err)
	}
	c.sent++
	c.g.recordResponded(time.Now(), choice.Endpoint, response)
	c.g.recordResponseInfo(c.r, choice, response)
	last := c.readResponse(choice.Endpoint, response)
	last.release = func() {
		_ = response.Body.Close() // the part that is needed has been read
		cancel(nil)
	}
	c.recordBrokenOff(ctx, choice.Endpoint, last.err)
	if last.err == nil && !last.notRun && last.unread == nil {
		c.gate.recordProven(time.Now())
	}
	c.recordAttempt(choice, last)
	timer.Stop() // what is unread can't be replaced by a retry any more
	if last.unread == nil {
		last.release()
		last.release = nil
	}
	return last
}

// recordBrokenOff finds out whether the endpoint's process ended, if an attempt broke off without this node's doing.
func (c *plainCall) recordBrokenOff(ctx context.Context, e *fleet.Endpoint, err error) {
	if redwinghall.KindOf[Kind](err) != Unknown || ctx.Err() != nil {
		return
	}
	e = c.g.latestEntry(e)
	found := c.g.presence(ctx, e)
	c.gate.recordPresence(time.Now(), e, found)
}

// withAttemptTimer returns a context that is canceled once this process has run for timeout, unless the
// timer is stopped.
func withAttemptTimer(parent context.Context, timeout time.Duration) (context.Context, *kernel.Timer, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	timer := kernel.AfterFunc(timeout, func() { cancel(context.DeadlineExceeded) })
	return ctx, timer, func(cause error) {
		timer.Stop()
		cancel(cause)
	}
}

// sendMode returns how the next attempt is sent. One that may not be repeated isn't written to
// an open connection that may be dead: its outcome would be unknown until its deadline.
func (c *plainCall) sendMode() sendMode {
	return sendMode{
		fresh:  c.mayHaveRun,
		insist: func() bool { return c.failedDials > 0 || !c.g.hasAlternative(time.Now(), c.r, c.tried) },
	}
}

// readResponse reads a response, or the first part of a large one.
func (c *plainCall) readResponse(e *fleet.Endpoint, response *Response) plainAttempt {
	last := plainAttempt{endpoint: e, response: response, notRun: response.Info.NotRun}
	body, complete, err := readUpTo(response.Body, nil, smallBufferedResponse)
	if err == nil && !complete && c.g.answerBytes.take(maxBufferedResponse) {
		last.giveBack = func() { c.g.answerBytes.giveBack(maxBufferedResponse) }
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
func (c *plainCall) recordAttempt(choice balance.Choice, last plainAttempt) {
	now := time.Now()
	if last.err != nil {
		choice.Attempt.Done(now, false)
		c.g.Metrics.AttemptFailed(redwinghall.KindOf[Kind](last.err))
		klog.InfoS("attempt_failed", "request", c.r.Info.ID, "endpoint", choice.Endpoint.ID, "address", choice.Endpoint.Address,
			"kind", redwinghall.KindOf[Kind](last.err), "running", choice.Running, "identity", c.r.identity(), "err", last.err)
		return
	}
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
		"not_run", last.notRun, "running", choice.Running, "load_age", choice.Age, "attempts", c.sent, "took", now.Sub(c.r.Arrived), "via", last.response.Peer,
		"configuration", c.r.configVersion())
}

// attemptTimeout returns the timeout of the next attempt. A sound endpoint may be silent for
// silenceTolerance.
func (c *plainCall) attemptTimeout(now time.Time) time.Duration {
	left := c.r.Left(now)
	if c.r.Idempotent() && c.sent+1 < c.r.Route.MaxAttempts {
		return min(left, max(silenceTolerance, time.Duration(attemptTimeShare*float64(left))))
	}
	return left
}

// recordSendFailure records and logs an attempt that got no response.
func (c *plainCall) recordSendFailure(choice balance.Choice, err error) plainAttempt {
	now := time.Now()
	choice.Attempt.Done(now, false)
	if redwinghall.KindOf[Kind](err) == NotSent {
		c.failedDials++
	} else {
		c.sent++
		c.g.recordBroken(now, choice.Endpoint, nil)
	}
	c.g.Metrics.AttemptFailed(redwinghall.KindOf[Kind](err))
	klog.InfoS("attempt_failed", "request", c.r.Info.ID, "endpoint", choice.Endpoint.ID, "address", choice.Endpoint.Address,
		"kind", redwinghall.KindOf[Kind](err), "running", choice.Running, "identity", c.r.identity(), "err", err)
	return plainAttempt{err: err}
}

// shouldRetry reports whether the request may be sent to another endpoint.
func (c *plainCall) shouldRetry(ctx context.Context, last plainAttempt) bool {
	now := time.Now()
	switch {
	case ctx.Err() != nil || !c.fitsPlannedStop(now):
		return false
	case redwinghall.KindOf[Kind](last.err) == NotSent:
		return c.failedDials < maxDials && c.r.Left(now) > minRemaining
	case last.notRun:
		return c.g.mayRetry(c.r, c.sent, now)
	case !c.r.Idempotent():
		return false
	case last.err != nil || last.response.Status >= http.StatusInternalServerError:
		return c.g.mayRetry(c.r, c.sent, now)
	}
	return false
}

// callerGone ends a request whose connection to the caller has ended. more are further keys and
// values of its line.
//
// A caller that only shut its sending side looks the same, so the connection gets a status. mayHaveRun tells whether an
// endpoint may have run the request, and begun whether the response has begun.
func (g *Gateway) callerGone(w http.ResponseWriter, r *Request, mayHaveRun, begun bool, more ...any) {
	g.logUnanswered("caller_gone", r, g.goneReason(), more...)
	g.Metrics.CallerGone(r)
	if begun {
		panic(http.ErrAbortHandler)
	}
	why := refusal{status: http.StatusServiceUnavailable, reason: reasonCallerLeft, retryAfter: defaultRetryAfter}
	if mayHaveRun {
		why = refusal{status: http.StatusBadGateway, reason: reasonCallerLeft}
	}
	w.Header().Set("Connection", "close")
	_ = writeRefusal(w, r, why) // the caller has left in most cases
}

// forwardHeaders returns the headers that are added to a request for an endpoint.
func (g *Gateway) forwardHeaders(r *Request, e *fleet.Endpoint, lastEvent string) platform.ForwardHeaders {
	return platform.ForwardHeaders{
		Timeout: r.Left(time.Now()), Endpoint: e.ID, Account: r.account(), Priority: r.Priority(), LastEvent: lastEvent,
	}
}
