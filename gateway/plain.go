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
	// wholeAnswer is the size up to which an answer is read whole before it is
	// passed on, so that a broken one can be replaced by a second try.
	wholeAnswer = 256 << 10
	// maxDials bounds how many endpoints may refuse a connection to one request.
	maxDials = 3
	// tryShare is the part of the time left that one endpoint gets while
	// another may still be tried.
	tryShare = 0.4
)

var errEncoded = errors.New("the answer is not the endpoint's own bytes")

// try is one attempt's end, as far as the next step depends on it.
type try struct {
	answer *Answer
	body   []byte
	err    error // of kind NotSent or Unknown
	// notRun: the endpoint promised that it did not run the request.
	notRun bool
	// rest is what follows body of an answer that is too large to be kept; nil
	// if body is all. It is closed by end.
	rest io.Reader
	end  func()
}

// close ends the connection of an answer that was not read whole.
func (t try) close() {
	if t.end != nil {
		t.end()
	}
}

// plainCall is the progress of one request to a plain service.
type plainCall struct {
	g     *Gateway
	r     *Request
	tried map[string]bool
	sent  int // endpoints that may have seen the request
	dials int // connections that were refused
	// mayHaveRun says that an endpoint may have run the request.
	mayHaveRun bool
}

// servePlain answers a request whose answer is one body.
func (g *Gateway) servePlain(ctx context.Context, w http.ResponseWriter, r *Request) {
	call := &plainCall{g: g, r: r, tried: map[string]bool{}}
	if !call.fits(time.Now()) {
		g.refuse(w, r, g.stop().refusal(time.Now(), g.callTimes.longest(r.Route.Name)))
		return
	}
	defer call.noteTime()
	for {
		choice, none := g.choosePlain(ctx, r, g.ask(r, call.tried))
		if none != nil && g.awaitEndpoints(ctx, time.Now(), none) {
			r.view = g.Book.View()
			continue
		}
		if none != nil {
			g.refuse(w, r, call.refusalOfNone(none))
			return
		}
		last := call.once(ctx, choice)
		call.mayHaveRun = call.mayHaveRun || (!last.notRun && redwinghall.KindOf[Kind](last.err) != NotSent)
		if call.again(ctx, last) {
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
func (g *Gateway) choosePlain(ctx context.Context, r *Request, ask balance.Request) (balance.Choice, *balance.Refusal) {
	return g.withinLimits(ctx, r, func(now time.Time) (balance.Choice, *balance.Refusal) {
		return g.Tracker.ChoosePlain(now, r.view.ByService[r.Service.Name], r.view.ZonesOut, ask)
	})
}

// fits reports whether a node that may be stopping has time for one more try.
// Only the calls of one route resemble each other: a service may answer
// look-ups at once and take seconds for bookings.
func (c *plainCall) fits(now time.Time) bool {
	return c.g.stop().Takes(now, c.g.callTimes.longest(c.r.Route.Name), c.r.Deadline)
}

// noteTime remembers how long the call took, whatever came of it.
func (c *plainCall) noteTime() {
	if c.sent > 0 {
		c.g.callTimes.note(c.r.Route.Name, time.Since(c.r.Arrived))
	}
}

// refusalOfNone refuses a request for which no endpoint is left. It promises
// that nothing ran only if nothing was sent.
func (c *plainCall) refusalOfNone(none *balance.Refusal) refusal {
	why := c.g.refusalOfNone(none)
	if c.mayHaveRun {
		why.status = http.StatusBadGateway
	}
	return why
}

// once sends the request to one endpoint and reads the answer, a large one in part.
func (c *plainCall) once(ctx context.Context, choice balance.Choice) try {
	c.tried[choice.Endpoint.ID] = true
	ctx, cancel := context.WithTimeout(ctx, c.tryTime(time.Now()))
	answer, err := c.g.Upstream.Send(ctx, choice.Endpoint, c.r, c.g.forward(c.r, choice.Endpoint, ""))
	if err != nil {
		cancel()
		return c.failed(choice, err)
	}
	c.sent++
	c.g.noteLimit(c.r, choice, answer)
	last := c.read(answer)
	last.end = func() {
		_ = answer.Body.Close() // what was needed of it was read
		cancel()
	}
	c.note(choice, last)
	if last.rest == nil {
		last.end()
		last.end = nil
	}
	return last
}

// read reads an answer as far as it is kept.
func (c *plainCall) read(answer *Answer) try {
	last := try{answer: answer, notRun: answer.Verdict.NotRun}
	var err error
	last.body, err = io.ReadAll(io.LimitReader(answer.Body, wholeAnswer+1))
	if err == nil && answer.Verdict.Encoded {
		err = errEncoded
	}
	if err != nil && !last.notRun {
		return try{err: redwinghall.NewOpError("plainCall.read", Unknown, err)}
	}
	if len(last.body) > wholeAnswer {
		last.rest = answer.Body
	}
	return last
}

// note tells the tracker, and the log, how an attempt ended.
func (c *plainCall) note(choice balance.Choice, last try) {
	now := time.Now()
	if last.err != nil {
		choice.Attempt.Done(now, false)
		klog.InfoS("attempt_failed", "request", c.r.Ask.ID, "endpoint", choice.Endpoint.ID, "address", choice.Endpoint.Address,
			"kind", redwinghall.KindOf[Kind](last.err), "running", choice.Running, "err", last.err)
		return
	}
	load := last.answer.Verdict.Load
	if load.Known {
		choice.Attempt.RecordLoad(now, load.Running+load.Waiting)
	}
	choice.Attempt.Done(now, !last.notRun && last.answer.Status < http.StatusInternalServerError)
	if last.answer.Status == http.StatusMisdirectedRequest {
		c.g.Tracker.MarkUnreachable(now, choice.Endpoint.ID)
	}
	klog.InfoS("answered", "request", c.r.Ask.ID, "route", c.r.Route.Name, "endpoint", choice.Endpoint.ID, "status", last.answer.Status,
		"not_run", last.notRun, "running", choice.Running, "load_age", choice.Age, "attempts", c.sent, "took", now.Sub(c.r.Arrived),
		"configuration", c.r.version())
}

// tryTime is how long one endpoint may take.
func (c *plainCall) tryTime(now time.Time) time.Duration {
	left := c.r.Left(now)
	if c.r.Idempotent() && c.sent+1 < c.r.Route.MaxAttempts {
		return time.Duration(tryShare * float64(left))
	}
	return left
}

// failed ends a visit that brought no answer.
func (c *plainCall) failed(choice balance.Choice, err error) try {
	now := time.Now()
	choice.Attempt.Done(now, false)
	if redwinghall.KindOf[Kind](err) == NotSent {
		c.dials++
		c.g.Tracker.MarkUnreachable(now, choice.Endpoint.ID)
	} else {
		c.sent++
	}
	klog.InfoS("attempt_failed", "request", c.r.Ask.ID, "endpoint", choice.Endpoint.ID, "address", choice.Endpoint.Address,
		"kind", redwinghall.KindOf[Kind](err), "running", choice.Running, "err", err)
	return try{err: err}
}

// again reports whether another endpoint may get the request.
func (c *plainCall) again(ctx context.Context, last try) bool {
	now := time.Now()
	switch {
	case ctx.Err() != nil || !c.fits(now):
		return false
	case redwinghall.KindOf[Kind](last.err) == NotSent:
		return c.dials < maxDials && c.r.Left(now) > leastLeft
	case last.notRun:
		return c.g.mayRetry(c.r, c.sent, now)
	case !c.r.Idempotent():
		return false
	case last.err != nil || last.answer.Status >= http.StatusInternalServerError:
		return c.g.mayRetry(c.r, c.sent, now)
	}
	return false
}

// finishPlain gives the caller what the last try brought.
func (g *Gateway) finishPlain(ctx context.Context, w http.ResponseWriter, call *plainCall, last try) {
	r := call.r
	switch {
	case last.answer != nil && last.notRun && !call.mayHaveRun:
		g.refuse(w, r, refusal{status: http.StatusServiceUnavailable, reason: "endpoint_busy", retryAfter: retryUnknown})
	case last.answer != nil && !last.notRun:
		g.pass(w, r, last)
	case redwinghall.KindOf[Kind](last.err) == NotSent && !call.mayHaveRun && ctx.Err() == nil:
		g.refuse(w, r, refusal{status: http.StatusServiceUnavailable, reason: balance.Unreachable, retryAfter: retryUnknown})
	case errors.Is(ctx.Err(), context.Canceled):
		g.callerGone(r)
	case ctx.Err() != nil:
		g.refuse(w, r, refusal{status: http.StatusGatewayTimeout, reason: "timeout"})
	default:
		g.refuse(w, r, refusal{status: http.StatusBadGateway, reason: "outcome_unknown"})
	}
}

// pass gives the caller the endpoint's answer as it is.
//
// Guard: 408, 429 and 503 tell a caller that its request has not run. An
// endpoint that sends one of them without that promise may have run it, so the
// caller gets 502, which promises nothing.
func (g *Gateway) pass(w http.ResponseWriter, r *Request, last try) {
	status := last.answer.Status
	if promises(status) || (status < http.StatusMultipleChoices && !whole(r, last.answer)) {
		g.refuse(w, r, refusal{status: http.StatusBadGateway, reason: "answer_unusable"})
		return
	}
	platform.CopyResponseHeaders(w.Header(), last.answer.Header)
	w.WriteHeader(status)
	if err := passBody(w, last); err != nil {
		klog.InfoS("answer_broken_off", "request", r.Ask.ID, "status", status, "err", err)
		panic(http.ErrAbortHandler) // an answer that ends early must not look complete
	}
	g.Metrics.Answered(r, status, time.Since(r.Arrived))
}

func passBody(w io.Writer, last try) error {
	if _, err := w.Write(last.body); err != nil || last.rest == nil {
		return err
	}
	_, err := io.Copy(w, last.rest)
	return err
}

// promises reports whether a status says that nothing ran.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// whole reports whether a success is the endpoint's own: signed, and for this request.
func whole(r *Request, answer *Answer) bool {
	return answer.Verdict.Signed && answer.Verdict.RequestID == r.Ask.ID
}

func (g *Gateway) callerGone(r *Request) {
	klog.InfoS("caller_gone", "request", r.Ask.ID, "route", r.Route.Name, "after", time.Since(r.Arrived), "node_stopping", g.stop().Active())
	g.Metrics.CallerGone(r)
	panic(http.ErrAbortHandler)
}

// forward returns what is added to a request for an endpoint.
func (g *Gateway) forward(r *Request, e *fleet.Endpoint, lastEvent string) platform.ForwardHeaders {
	return platform.ForwardHeaders{
		Timeout: r.Left(time.Now()), Endpoint: e.ID, Account: r.account(), Priority: r.Priority(), LastEvent: lastEvent,
	}
}
