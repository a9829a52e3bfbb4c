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
	"redwinghall/dial"
	"redwinghall/httpanswer"
	"redwinghall/route"
)

// onceResult is the result of an attempt.
type onceResult struct {
	response redwinghall.Response
	replayed bool
	err      error
}

// callOnce executes a call that must run at most once. The attempt runs independently
// of the caller's connection: once the call is sent, its outcome is recorded even if
// the caller disconnects or its deadline passes.
func (s *Server) callOnce(ctx context.Context, w http.ResponseWriter, r *request, view *route.ServiceView) error {
	latch := &claim.Latch{}
	done := make(chan onceResult, 1)
	timeout := view.Service.Timeout.Std() + s.config.SettleTimeout
	s.onceCalls.Add(1)
	s.calls.Task("caller.once", func(context.Context) {
		defer s.onceCalls.Add(-1)
		callCtx, cancel := callContext(s.calls, timeout)
		defer cancel()
		done <- s.attempt(ctx, callCtx, latch, r, view)
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
	case result := <-done: // the attempt ended at the same time
		return writeOnce(w, result)
	default:
		return redwinghall.NewOpError("Server.callOnce", redwinghall.CodeOutcomeUnknown, ctx.Err())
	}
}

func writeOnce(w http.ResponseWriter, result onceResult) error {
	if result.err != nil {
		return result.err
	}
	writeResponse(w, result.response, result.replayed)
	return nil
}

// attempt claims the key, sends the call and records the outcome. waitCtx is the
// context of the caller's request; callCtx limits the call itself.
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
	// The caller's deadline is checked last, so that a router that was suspended
	// until here does not send a call for which the caller no longer waits.
	if waitCtx.Err() != nil || !latch.Dispatch() {
		_ = conn.Close()
		s.keeper.Release(held)
		return onceResult{err: redwinghall.NewOpError("Server.attempt", redwinghall.CodeDeadlinePassed, waitCtx.Err())}
	}
	response, err := sendOnce(callCtx, conn, r)
	if err != nil {
		s.keeper.RecordUnknown(held)
		return onceResult{err: redwinghall.NewOpError("Server.attempt", redwinghall.CodeOutcomeUnknown, err)}
	}
	s.keeper.RecordRan(held, recordable(response))
	return onceResult{response: response}
}

// resultOf returns the caller's result if an existing claim prevents the call.
func resultOf(a claim.Attempt) onceResult {
	code := redwinghall.CodeOutcomeUnknown
	switch a.Verdict {
	case claim.Replay:
		return onceResult{response: *a.Claim.Response, replayed: true}
	case claim.InProgress:
		code = redwinghall.CodeInProgress
	case claim.KeyReused:
		code = redwinghall.CodeKeyReused
	}
	return onceResult{err: redwinghall.NewOpError("resultOf", code, nil)}
}

// dialAny tries the endpoints in random order and returns the first connection that
// opens. Nothing of the call has been sent by then, so trying several is safe.
func dialAny(ctx context.Context, endpoints redwinghall.ServiceEndpoints) (net.Conn, error) {
	open := dial.WithTimeout(new(net.Dialer).DialContext, dialTimeout)
	var last error
	for _, i := range rand.Perm(len(endpoints)) {
		conn, err := open(ctx, "tcp", endpoints[i].Address)
		if err == nil {
			return conn, nil
		}
		last = err
	}
	return nil, fmt.Errorf("no service endpoint accepts a connection: %w", last)
}

// sendOnce sends the call on a new connection and reads the whole response.
//
// Go's transport retries a request by itself when a reused connection breaks and the
// request has an Idempotency-Key or no body. The service would then execute the call
// twice without the router noticing. The transport used here has a single unused
// connection, does not keep it, cannot dial another one and follows no redirects, and
// the request body cannot be rewound.
func sendOnce(ctx context.Context, conn net.Conn, r *request) (redwinghall.Response, error) {
	unused := conn
	transport := httpanswer.New(&http.Transport{
		DisableKeepAlives:  true,
		DisableCompression: true,

		MaxResponseHeaderBytes: maxHeadBytes,
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			if unused == nil {
				return nil, errors.New("the call was already sent")
			}
			c := unused
			unused = nil
			return c, nil
		},
	})
	defer func() { _ = conn.Close() }()
	out, err := serviceRequest(ctx, conn.RemoteAddr().String(), r)
	if err != nil {
		return redwinghall.Response{}, err
	}
	out.Body = io.NopCloser(bytes.NewReader(r.body))
	out.GetBody = nil
	response, err := transport.RoundTrip(out)
	if err != nil {
		return redwinghall.Response{}, err
	}
	return readResponse(response)
}

// recordable returns the response to record in the table. A body that is too large is
// replaced by a note, which a replay returns.
func recordable(response redwinghall.Response) redwinghall.Response {
	if len(response.Body) <= maxRecordedResponse {
		return response
	}
	response.ContentType = "application/json"
	response.Body = []byte(`{"detail":"the call ran; its answer was too large to keep"}`)
	return response
}
