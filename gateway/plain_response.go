package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"redwinghall"
	"redwinghall/balance"
	"redwinghall/kernel"
	"redwinghall/platform"
)

// forward sends the endpoint's response to the caller. One that wasn't read completely before shows only then whether
// the endpoint lives on.
func (c *plainCall) forward(ctx context.Context, w http.ResponseWriter, last plainAttempt) {
	if last.unread == nil {
		c.g.forwardResponse(w, c.r, last)
		return
	}
	complete := false
	defer func() {
		if !complete && !c.r.callerLeft() {
			c.recordBrokenOff(ctx, last.gate, last.endpoint, errBrokenOff)
		}
	}()
	c.g.forwardResponse(w, c.r, last)
	complete = true
	last.gate.recordProven(time.Now())
}

var errBrokenOff = redwinghall.NewOpError("plainCall.forward", Unknown, nil)

// timeLimitResolution is how much earlier the time of a forwarded request may end at the node that forwards it:
// time limits travel in whole milliseconds.
const timeLimitResolution = time.Millisecond

// finishPlain sends the caller the result of the last attempt.
func (g *Gateway) finishPlain(ctx context.Context, w http.ResponseWriter, call *plainCall, last plainAttempt) {
	r := call.r
	if left := r.Left(time.Now()); last.response == nil && left > 0 && left <= timeLimitResolution {
		kernel.Sleep(ctx, left) // it can end in nothing but a timeout
	}
	outOfTime := ctx.Err() != nil || r.Left(time.Now()) <= 0 // the timer of ctx may fire after that of the last attempt
	mayHaveRun := call.ranSomewhere()
	switch {
	case last.response != nil && last.notRun && !mayHaveRun:
		g.refuse(w, r, g.rejectedRefusal(r))
	case last.response != nil && !last.notRun:
		call.forward(ctx, w, last)
	case redwinghall.KindOf[Kind](last.err) == NotSent && !mayHaveRun && !outOfTime:
		g.refuse(w, r, refusal{status: http.StatusServiceUnavailable, reason: balance.Unreachable, retryAfter: defaultRetryAfter})
	case errors.Is(ctx.Err(), context.Canceled):
		g.callerGone(w, r, mayHaveRun, false, "attempts", call.sentAttempts())
	case outOfTime:
		g.refuse(w, r, refusal{status: http.StatusGatewayTimeout, reason: reasonTimeout})
	default:
		g.refuse(w, r, refusal{status: http.StatusBadGateway, reason: "outcome_unknown"})
	}
}

// forwardResponse sends the endpoint's response to the caller unchanged.
//
// Statuses 408, 421, 429 and 503 tell a caller that its request was not executed. An
// endpoint that sends one of them without that guarantee may have executed the
// request, so the caller gets 502, which guarantees nothing.
func (g *Gateway) forwardResponse(w http.ResponseWriter, r *Request, last plainAttempt) {
	status := last.response.Status
	if !isUsable(r, last.response) {
		g.refuse(w, r, refusal{status: http.StatusBadGateway, reason: "answer_unusable"})
		return
	}
	r.releaseBody()
	platform.CopyResponseHeaders(w.Header(), last.response.Header)
	w.WriteHeader(status)
	if sent, err := g.writeBody(w, r, last); err != nil {
		g.logUnanswered("answer_broken_off", r, brokenReason(r, time.Now(), err), "status", status, "bytes", sent, "err", err)
		panic(http.ErrAbortHandler) // a truncated response must not look complete
	}
	g.Metrics.Answered(r, status, time.Since(r.Arrived))
}

// writeBody writes the body of a response and returns how many bytes it wrote.
func (g *Gateway) writeBody(w http.ResponseWriter, r *Request, last plainAttempt) (int64, error) {
	if last.unread == nil && len(last.body) <= smallBufferedResponse {
		n, err := w.Write(last.body)
		return int64(n), err
	}
	rest := last.unread
	if rest == nil {
		rest = strings.NewReader("")
	}
	ahead := g.newAheadBody(w, r, rest, aheadEvents{})
	defer ahead.close()
	writer := aheadWriter{w, ahead} // without the writer's own method to read: its larger buffer would be one for each request
	n, err := writer.Write(last.body)
	if err != nil {
		return int64(n), err
	}
	// What was written isn't needed any more: each of many answers without end would hold it beside another buffer.
	copied, err := io.CopyBuffer(writer, struct{ io.Reader }{ahead}, last.body[:copyBufferSize])
	return int64(n) + copied, err
}

// statusMeansNotRun reports whether a status tells the caller that its request was
// not executed.
func statusMeansNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// isUsable reports whether an endpoint's response may be passed on.
func isUsable(r *Request, response *Response) bool {
	if response.Status < http.StatusMultipleChoices {
		return signedFor(r, response)
	}
	return !statusMeansNotRun(response.Status)
}

// signedFor reports whether a successful response is signed by the endpoint and
// belongs to this request.
func signedFor(r *Request, response *Response) bool {
	return response.Info.Signed && response.Info.RequestID == r.Info.ID
}
