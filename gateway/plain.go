package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
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
	// attemptTimeShare is the fraction of the remaining time that one attempt is alone
	// while a retry is still possible.
	attemptTimeShare = 0.4
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

// plainCall is the state of one request to a plain service.
type plainCall struct {
	g *Gateway
	r *Request

	// mu guards the rest, which attempts in progress at the same time share.
	mu          sync.Mutex
	tried       map[string]bool
	sent        int // attempts whose request may have reached an endpoint
	failedDials int // failed connection attempts
	// mayHaveRun is true if an endpoint may have executed the request.
	mayHaveRun bool
	// answered is true once an attempt has the answer for the caller.
	answered bool
	// served is set once the caller has the whole response of a call that an endpoint has served.
	served  bool
	running []*plainRun
	// hedges runs all hedges of the call, nil before the first.
	hedges *kernel.Group
}

// servePlain handles a request whose response is a single body.
func (g *Gateway) servePlain(ctx context.Context, w http.ResponseWriter, r *Request) {
	call := &plainCall{g: g, r: r, tried: map[string]bool{}}
	if why := call.checkStop(time.Now()); why != nil {
		g.refuse(w, r, *why)
		return
	}
	defer call.recordCallTime()
	last := call.answer(ctx)
	defer last.close()
	if last.refused != nil {
		g.refuse(w, r, call.truthful(*last.refused))
		return
	}
	g.finishPlain(ctx, w, call, last)
	call.served = last.isServed()
}

// answer returns the result for the caller, after all other attempts have ended.
func (c *plainCall) answer(ctx context.Context) plainAttempt {
	defer c.endHedges()
	return c.tryEndpoints(ctx, false)
}

// tryEndpoints makes attempts until one has an answer, or no other may be made. It is called for the hedges of an
// attempt too.
func (c *plainCall) tryEndpoints(ctx context.Context, isHedge bool) plainAttempt {
	for {
		gate := &quarantineGate{g: c.g, r: c.r}
		if why := gate.pass(ctx); why != nil {
			return plainAttempt{refused: why}
		}
		choice, refused := c.g.choosePlain(ctx, c.r, c.g.balanceRequest(c.r, c.triedEndpoints()))
		if refused != nil {
			gate.endTrial()
			if c.g.awaitEndpoints(ctx, time.Now(), c.r, refused) {
				c.r.takeView(c.g.Cache)
				continue
			}
			why := c.g.noEndpointRefusal(refused)
			return plainAttempt{refused: &why}
		}
		// Time has passed if the call waited for a trial, a permit or the first endpoints.
		if why := c.checkStop(time.Now()); why != nil {
			choice.Attempt.Cancel()
			gate.endTrial()
			return plainAttempt{refused: why}
		}
		c.logAccepted(time.Now())
		run := c.beginRun(ctx, choice, gate)
		run.fresh = isHedge || c.ranSomewhere() // the connections to a silent endpoint may have broken with others
		last := c.attempt(run)
		if result, ok := c.join(run, last); ok {
			return result
		}
		if !c.shouldRetry(ctx, last) {
			return last
		}
		last.close()
		c.r.takeView(c.g.Cache)
	}
}

// choosePlain chooses the endpoint of a plain service.
func (g *Gateway) choosePlain(ctx context.Context, r *Request, req balance.Request) (balance.Choice, *balance.Refusal) {
	return g.withinLimits(ctx, r, func(now time.Time) (balance.Choice, *balance.Refusal) {
		return g.Tracker.ChoosePlain(now, r.view().ByService[r.Service.Name], r.view().ZonesOut, req)
	})
}

// checkStop refuses an attempt that would not end before a planned stop of this node. The estimate is
// kept per route, since calls of one service differ: it may answer look-ups immediately and
// take seconds for bookings.
func (c *plainCall) checkStop(now time.Time) *refusal {
	stop, expected := c.g.stop(), c.g.callTimes.longest(c.r.Route.Name)
	if stop.Accepts(now, c.r.ending(expected)) {
		return nil
	}
	why := stop.refusal(now, expected)
	return &why
}

// logAccepted writes the line of a call that is sent although this node stops.
func (c *plainCall) logAccepted(now time.Time) {
	c.g.stop().logAccepted(now, c.r, c.g.callTimes.longest(c.r.Route.Name))
}

// recordCallTime records the duration of the call for its route.
func (c *plainCall) recordCallTime() {
	if c.sentAttempts() > 0 {
		c.g.callTimes.record(c.r.Route.Name, kernel.RunTime(c.r.Arrived, time.Now()), c.served)
	}
}

// truthful returns a refusal with a status that guarantees that nothing was executed only if no endpoint may have
// run the request.
func (c *plainCall) truthful(why refusal) refusal {
	if c.ranSomewhere() {
		why.status = http.StatusBadGateway
	}
	return why
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

// mayRunAgain reports whether the call may be sent to another endpoint: not once its caller gets a part of an answer.
func (c *plainCall) mayRunAgain(now time.Time) bool {
	c.mu.Lock()
	answered := c.answered
	c.mu.Unlock()
	return !answered && c.r.Idempotent() && c.sentAttempts() < c.r.Route.MaxAttempts && c.g.hasAlternative(now, c.r, c.triedEndpoints())
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

// shouldRetry reports whether the request may be sent to another endpoint.
func (c *plainCall) shouldRetry(ctx context.Context, last plainAttempt) bool {
	now := time.Now()
	switch {
	case ctx.Err() != nil || c.checkStop(now) != nil:
		return false
	case redwinghall.KindOf[Kind](last.err) == NotSent:
		return c.dialsFailed() < maxDials && c.r.Left(now) > minRemaining
	case last.notRun:
		return c.g.mayRetry(c.r, c.sentAttempts(), now)
	case !c.r.Idempotent():
		return false
	case last.err != nil || last.response.Status >= http.StatusInternalServerError:
		return c.g.mayRetry(c.r, c.sentAttempts(), now)
	}
	return false
}

// callerGone ends a request whose connection to the caller has ended, or which this node ends as it ends itself. more are
// further keys and values of its line.
//
// A caller that only shut its sending side looks the same as one that has left, so the connection gets a status. mayHaveRun
// tells whether an endpoint may have run the request, and begun whether the response has begun.
func (g *Gateway) callerGone(w http.ResponseWriter, r *Request, mayHaveRun, begun bool, more ...any) {
	why := goneRefusal(r, mayHaveRun)
	if begun {
		why.status = 0
	}
	g.logUnanswered("caller_gone", r, why.reason, append(more, "status", why.status)...)
	g.Metrics.CallerGone(r)
	if begun {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Connection", "close")
	_ = writeRefusal(w, r, why) // the caller has left in most cases
}

// goneRefusal returns the answer to a request that ended before its response began.
func goneRefusal(r *Request, mayHaveRun bool) refusal {
	why := refusal{status: http.StatusServiceUnavailable, reason: goneReason(r), retryAfter: defaultRetryAfter}
	if mayHaveRun {
		why.status, why.retryAfter = http.StatusBadGateway, 0
	}
	return why
}

// forwardHeaders returns the headers that are added to a request for an endpoint.
func (g *Gateway) forwardHeaders(r *Request, e *fleet.Endpoint, lastEvent string) platform.ForwardHeaders {
	return platform.ForwardHeaders{
		Timeout: r.Left(time.Now()), Endpoint: e.ID, Account: r.account(), Priority: r.Priority(), LastEvent: lastEvent,
	}
}
