package caller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"redwinghall"
	"redwinghall/claim"
	"redwinghall/route"
)

// onceResult is how an attempt ended.
type onceResult struct {
	answer   redwinghall.Response
	replayed bool
	err      error
}

// callOnce calls a service that may not be called twice. The attempt runs
// apart from the caller's connection: once the call is sent, its outcome is
// recorded also when the caller has gone or no longer waits.
func (s *Server) callOnce(ctx context.Context, w http.ResponseWriter, r *request, view *route.ServiceView) error {
	latch := &claim.Latch{}
	done := make(chan onceResult, 1)
	timeout := view.Service.Timeout.Std() + s.config.SettleTimeout
	s.sent.Add(1)
	s.calls.Go("caller.once", func(context.Context) error {
		defer s.sent.Add(-1)
		callCtx, cancel := callContext(s.calls, timeout)
		defer cancel()
		done <- s.attempt(ctx, callCtx, latch, r, view)
		return nil
	})
	select {
	case result := <-done:
		return writeOnce(w, result)
	case <-ctx.Done():
	}
	if latch.Refuse() {
		return redwinghall.NewOpError("Server.callOnce", redwinghall.CodeDeadlinePassed, ctx.Err())
	}
	select {
	case result := <-done: // it ended in the same moment
		return writeOnce(w, result)
	default:
		return redwinghall.NewOpError("Server.callOnce", redwinghall.CodeOutcomeUnknown, ctx.Err())
	}
}

func writeOnce(w http.ResponseWriter, result onceResult) error {
	if result.err != nil {
		return result.err
	}
	writeAnswer(w, result.answer, result.replayed)
	return nil
}

// attempt claims the key, sends the call and records the outcome. waitCtx is
// the caller's; callCtx bounds the call itself.
func (s *Server) attempt(waitCtx, callCtx context.Context, latch *claim.Latch, r *request, view *route.ServiceView) onceResult {
	key := redwinghall.ClaimKey(r.account.ID, view.Service.ID, r.http.Header.Get(HeaderIdempotency))
	hash := claim.BodyHash(r.http.Method, r.http.PathValue("path")+"?"+r.http.URL.RawQuery, r.body)
	held, err := s.keeper.Claim(waitCtx, time.Now(), key, hash)
	if err != nil {
		return onceResult{err: err}
	}
	if held.Verdict != claim.Proceed {
		return resultOf(held)
	}
	conn, err := dialAny(waitCtx, view.Endpoints)
	if err != nil {
		s.keeper.Release(held)
		return onceResult{err: redwinghall.NewOpError("Server.attempt", redwinghall.CodeNoCapacity, err)}
	}
	// The caller's time is looked at last, so that a router that was frozen
	// on the way here does not send a call that nobody waits for any more.
	if waitCtx.Err() != nil || !latch.Dispatch() {
		_ = conn.Close()
		s.keeper.Release(held)
		return onceResult{err: redwinghall.NewOpError("Server.attempt", redwinghall.CodeDeadlinePassed, waitCtx.Err())}
	}
	answer, err := sendOnce(callCtx, conn, r)
	if err != nil {
		s.keeper.RecordUnknown(held)
		return onceResult{err: redwinghall.NewOpError("Server.attempt", redwinghall.CodeOutcomeUnknown, err)}
	}
	s.keeper.RecordRan(held, recordable(answer))
	return onceResult{answer: answer}
}

// resultOf is what a claim that stands in the way means for the caller.
func resultOf(a claim.Attempt) onceResult {
	code := redwinghall.CodeOutcomeUnknown
	switch a.Verdict {
	case claim.Replay:
		return onceResult{answer: *a.Claim.Response, replayed: true}
	case claim.InProgress:
		code = redwinghall.CodeInProgress
	case claim.KeyReused:
		code = redwinghall.CodeKeyReused
	}
	return onceResult{err: redwinghall.NewOpError("resultOf", code, nil)}
}

// dialAny connects to the first endpoint that accepts. Nothing of the call is
// sent yet, so another endpoint may be tried.
func dialAny(ctx context.Context, endpoints redwinghall.ServiceEndpoints) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	var last error
	for _, i := range rand.Perm(len(endpoints)) {
		conn, err := dialer.DialContext(ctx, "tcp", endpoints[i].Address)
		if err == nil {
			return conn, nil
		}
		last = err
	}
	return nil, fmt.Errorf("no service endpoint accepts a connection: %w", last)
}

// sendOnce sends the call on a fresh connection and reads the whole answer.
//
// Guard: Go's transport sends a request again by itself when a reused
// connection breaks and the request carries an Idempotency-Key or has no
// body; the service would book twice and nothing here would show it. The
// transport made here has one connection that was never used before, keeps
// none, cannot dial, and follows no redirect; and the body cannot be rewound.
func sendOnce(ctx context.Context, conn net.Conn, r *request) (redwinghall.Response, error) {
	unused := conn
	transport := &http.Transport{
		DisableKeepAlives:  true,
		DisableCompression: true,
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			if unused == nil {
				return nil, errors.New("the call was sent already")
			}
			c := unused
			unused = nil
			return c, nil
		},
	}
	defer func() { _ = conn.Close() }()
	out, err := serviceRequest(ctx, conn.RemoteAddr().String(), r)
	if err != nil {
		return redwinghall.Response{}, err
	}
	out.Body = io.NopCloser(bytes.NewReader(r.body))
	out.GetBody = nil
	answer, err := transport.RoundTrip(out)
	if err != nil {
		return redwinghall.Response{}, err
	}
	return readAnswer(answer)
}

// recordable returns the answer as the table keeps it: a large body is left
// out, and a replay says so.
func recordable(a redwinghall.Response) redwinghall.Response {
	if len(a.Body) <= maxRecordedAnswer {
		return a
	}
	a.ContentType = "application/json"
	a.Body = []byte(`{"detail":"the call ran; its answer was too large to keep"}`)
	return a
}
