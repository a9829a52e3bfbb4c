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
	"redwinghall/platform"
)

const (
	// maxBufferedResponse is the size up to which an answer is read whole before it is
	// passed on, so that a broken one can be replaced by a second try.
	maxBufferedResponse = 256 << 10
	// maxDials bounds how many endpoints may refuse a connection to one request.
	maxDials = 3
	// attemptTimeShare is the part of the time left that one endpoint gets while
	// another may still be tried.
	attemptTimeShare = 0.4
)

var errEncodedResponse = errors.New("the answer is not the endpoint's own bytes")

// plainAttempt is one attempt's end, as far as the next step depends on it.
type plainAttempt struct {
	response *Response
	body   []byte
	err    error // of kind NotSent or Unknown
	// notRun: the endpoint promised that it did not run the request.
	notRun bool
	// unread is what follows body of an answer that is too large to be kept; nil
	// if body is all. It is closed by end.
	unread  io.Reader
	release func()
}

// close ends the connection of an answer that was not read whole.
func (t plainAttempt) close() {
	if t.release != nil {
		t.release()
	}
}

// plainCall is the progress of one request to a plain service.
type plainCall struct {
	g           *Gateway
	r           *Request
	tried       map[string]bool
	sent        int // endpoints that may have seen the request
	failedDials int // connections that were refused
	// mayHaveRun says that an endpoint may have run the request.
	mayHaveRun bool
}

// servePlain answers a request whose answer is one body.
func (g *Gateway) servePlain(ctx context.Context, w http.ResponseWriter, r *Request) {
	call := &plainCall{g: g, r: r, tried: map[string]bool{}}
	if !call.fitsPlannedStop(time.Now()) {
		g.refuse(w, r, g.stop().refusal(time.Now(), g.callTimes.longest(r.Route.Name)))
		return
	}
	defer call.recordCallTime()
	for {
		choice, refused := g.choosePlain(ctx, r, g.ask(r, call.tried))
		if refused != nil && g.awaitEndpoints(ctx, time.Now(), refused) {
			r.view = g.Book.View()
			continue
		}
		if refused != nil {
			g.refuse(w, r, call.noEndpointRefusal(refused))
			return
		}
		last := call.attempt(ctx, choice)
		call.mayHaveRun = call.mayHaveRun || (!last.notRun && redwinghall.KindOf[Kind](last.err) != NotSent)
		if call.shouldRetry(ctx, last) {
			last.close()
			r.view = g.Book.View()
			continue
		}
		defer last.close()
		g.finishPlain(ctx, w, call, last)
		return
	}
}

// choosePlain chooses the endpoint of a plain service.
func (g *Gateway) choosePlain(ctx context.Context, r *Request, ask balance.Ask) (balance.Choice, *balance.Refusal) {
	return g.withinLimits(ctx, r, func(now time.Time) (balance.Choice, *balance.Refusal) {
		return g.Tracker.Plain(now, r.view.ByService[r.Service.Name], r.view.ZonesOut, ask)
	})
}

// fitsPlannedStop reports whether a node that may be stopping has time for one more try.
// Only the calls of one route resemble each other: a service may answer
// look-ups at once and take seconds for bookings.
func (c *plainCall) fitsPlannedStop(now time.Time) bool {
	return c.g.stop().Accepts(now, c.g.callTimes.longest(c.r.Route.Name), c.r.Deadline)
}

// recordCallTime remembers how long the call took, whatever came of it.
func (c *plainCall) recordCallTime() {
	if c.sent > 0 {
		c.g.callTimes.record(c.r.Route.Name, time.Since(c.r.Arrived))
	}
}

// noEndpointRefusal refuses a request for which no endpoint is left. It promises
// that nothing ran only if nothing was sent.
func (c *plainCall) noEndpointRefusal(refused *balance.Refusal) refusal {
	why := c.g.noEndpointRefusal(refused)
	if c.mayHaveRun {
		why.status = http.StatusBadGateway
	}
	return why
}

// attempt sends the request to one endpoint and reads the answer, a large one in part.
func (c *plainCall) attempt(ctx context.Context, choice balance.Choice) plainAttempt {
	c.tried[choice.Endpoint.ID] = true
	ctx, cancel := context.WithTimeout(ctx, c.attemptTimeout(time.Now()))
	response, err := c.g.Upstream.Send(ctx, choice.Endpoint, c.r, c.g.forward(c.r, choice.Endpoint, ""))
	if err != nil {
		cancel()
		return c.recordSendFailure(choice, err)
	}
	c.sent++
	c.g.recordLimit(c.r, choice, response)
	last := c.readResponse(response)
	last.release = func() {
		_ = response.Body.Close() // what was needed of it was read
		cancel()
	}
	c.recordAttempt(choice, last)
	if last.unread == nil {
		last.release()
		last.release = nil
	}
	return last
}

// readResponse reads an answer as far as it is kept.
func (c *plainCall) readResponse(answer *Response) plainAttempt {
	last := plainAttempt{response: answer, notRun: answer.Verdict.NotRun}
	var err error
	last.body, err = io.ReadAll(io.LimitReader(answer.Body, maxBufferedResponse+1))
	if err == nil && answer.Verdict.Encoded {
		err = errEncodedResponse
	}
	if err != nil && !last.notRun {
		return plainAttempt{err: redwinghall.NewOpError("plainCall.readResponse", Unknown, err)}
	}
	if len(last.body) > maxBufferedResponse {
		last.unread = answer.Body
	}
	return last
}

// recordAttempt tells the tracker, and the log, how an attempt ended.
func (c *plainCall) recordAttempt(choice balance.Choice, last plainAttempt) {
	now := time.Now()
	if last.err != nil {
		choice.Visit.Done(now, false)
		klog.InfoS("attempt_failed", "request", c.r.Ask.ID, "endpoint", choice.Endpoint.ID, "address", choice.Endpoint.Address,
			"kind", redwinghall.KindOf[Kind](last.err), "running", choice.Running, "err", last.err)
		return
	}
	load := last.response.Verdict.Load
	if load.Known {
		choice.Visit.Told(now, load.Running+load.Waiting)
	}
	choice.Visit.Done(now, !last.notRun && last.response.Status < http.StatusInternalServerError)
	if last.response.Status == http.StatusMisdirectedRequest {
		c.g.Tracker.Unreachable(now, choice.Endpoint.ID)
	}
	klog.InfoS("answered", "request", c.r.Ask.ID, "route", c.r.Route.Name, "endpoint", choice.Endpoint.ID, "status", last.response.Status,
		"not_run", last.notRun, "running", choice.Running, "load_age", choice.Age, "attempts", c.sent, "took", now.Sub(c.r.Arrived),
		"configuration", c.r.configVersion())
}

// attemptTimeout is how long one endpoint may take.
func (c *plainCall) attemptTimeout(now time.Time) time.Duration {
	left := c.r.Left(now)
	if c.r.Idempotent() && c.sent+1 < c.r.Route.MaxAttempts {
		return time.Duration(attemptTimeShare * float64(left))
	}
	return left
}

// recordSendFailure ends a visit that brought no answer.
func (c *plainCall) recordSendFailure(choice balance.Choice, err error) plainAttempt {
	now := time.Now()
	choice.Visit.Done(now, false)
	if redwinghall.KindOf[Kind](err) == NotSent {
		c.failedDials++
		c.g.Tracker.Unreachable(now, choice.Endpoint.ID)
	} else {
		c.sent++
	}
	klog.InfoS("attempt_failed", "request", c.r.Ask.ID, "endpoint", choice.Endpoint.ID, "address", choice.Endpoint.Address,
		"kind", redwinghall.KindOf[Kind](err), "running", choice.Running, "err", err)
	return plainAttempt{err: err}
}

// shouldRetry reports whether another endpoint may get the request.
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

// finishPlain gives the caller what the last try brought.
func (g *Gateway) finishPlain(ctx context.Context, w http.ResponseWriter, call *plainCall, last plainAttempt) {
	r := call.r
	switch {
	case last.response != nil && last.notRun && !call.mayHaveRun:
		g.refuse(w, r, refusal{status: http.StatusServiceUnavailable, reason: "endpoint_busy", retryAfter: defaultRetryAfter})
	case last.response != nil && !last.notRun:
		g.forwardResponse(w, r, last)
	case redwinghall.KindOf[Kind](last.err) == NotSent && !call.mayHaveRun && ctx.Err() == nil:
		g.refuse(w, r, refusal{status: http.StatusServiceUnavailable, reason: balance.Unreachable, retryAfter: defaultRetryAfter})
	case errors.Is(ctx.Err(), context.Canceled):
		g.callerGone(r)
	case ctx.Err() != nil:
		g.refuse(w, r, refusal{status: http.StatusGatewayTimeout, reason: "timeout"})
	default:
		g.refuse(w, r, refusal{status: http.StatusBadGateway, reason: "outcome_unknown"})
	}
}

// forwardResponse gives the caller the endpoint's answer as it is.
//
// Guard: 408, 429 and 503 tell a caller that its request has not run. An
// endpoint that sends one of them without that promise may have run it, so the
// caller gets 502, which promises nothing.
func (g *Gateway) forwardResponse(w http.ResponseWriter, r *Request, last plainAttempt) {
	status := last.response.Status
	if statusMeansNotRun(status) || (status < http.StatusMultipleChoices && !signedFor(r, last.response)) {
		g.refuse(w, r, refusal{status: http.StatusBadGateway, reason: "answer_unusable"})
		return
	}
	platform.CopyAnswer(w.Header(), last.response.Header)
	w.WriteHeader(status)
	if err := writeBody(w, last); err != nil {
		klog.InfoS("answer_broken_off", "request", r.Ask.ID, "status", status, "err", err)
		panic(http.ErrAbortHandler) // an answer that ends early must not look complete
	}
	g.Metrics.Answered(r, status, time.Since(r.Arrived))
}

func writeBody(w io.Writer, last plainAttempt) error {
	if _, err := w.Write(last.body); err != nil || last.unread == nil {
		return err
	}
	_, err := io.Copy(w, last.unread)
	return err
}

// statusMeansNotRun reports whether a status says that nothing ran.
func statusMeansNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// signedFor reports whether a success is the endpoint's own: signed, and for this request.
func signedFor(r *Request, response *Response) bool {
	return response.Verdict.Signed && response.Verdict.RequestID == r.Ask.ID
}

func (g *Gateway) callerGone(r *Request) {
	klog.InfoS("caller_gone", "request", r.Ask.ID, "route", r.Route.Name, "after", time.Since(r.Arrived), "node_stopping", g.stop().Active())
	g.Metrics.CallerGone(r)
	panic(http.ErrAbortHandler)
}

// forward returns what is added to a request for an endpoint.
func (g *Gateway) forward(r *Request, e *fleet.Endpoint, lastEvent string) platform.Forward {
	return platform.Forward{
		Left: r.Left(time.Now()), Endpoint: e.ID, Account: r.account(), Priority: r.Priority(), LastEvent: lastEvent,
	}
}
