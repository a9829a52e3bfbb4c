package caller

import (
	"context"
	"crypto/rand"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"redwinghall"
	"redwinghall/admit"
	"redwinghall/claim"
	"redwinghall/peer"
	"redwinghall/route"
)

// request is a caller's request that the router is handling.
type request struct {
	id      string
	hops    int
	started time.Time
	account redwinghall.ClientAccount
	view    *route.View
	body    []byte
	http    *http.Request
	series  *series
}

// handler responds to a request, or returns the error for the refusal. An error after
// the response has started wraps errResponseStarted.
type handler func(ctx context.Context, w http.ResponseWriter, r *request) error

// handle returns an HTTP handler that applies what all requests have in common before
// it calls next: request id, limits, authentication and deadline. It sends the refusal
// if one of them or next fails.
func (s *Server) handle(next handler) http.HandlerFunc {
	return func(w http.ResponseWriter, hr *http.Request) {
		started := time.Now()
		r := &request{id: requestID(hr), started: started, view: s.selector.View(), http: hr}
		w.Header().Set(HeaderRequestID, r.id)
		if s.draining() {
			w.Header().Set("Connection", "close")
		}
		if s.inProgress.Add(1) > int64(s.config.MaxRequests) {
			s.inProgress.Add(-1)
			s.refuse(w, r, redwinghall.NewOpError("Server.handle", redwinghall.CodeTooManyConnections, nil))
			return
		}
		defer s.inProgress.Add(-1)

		timeout, err := s.prepare(w, r)
		if err == nil && s.exceedsDrain(time.Now().Add(timeout)) {
			err = redwinghall.NewOpError("Server.handle", redwinghall.CodeShuttingDown, nil)
		}
		if err == nil {
			ctx, cancel := context.WithTimeout(hr.Context(), timeout)
			defer cancel()
			err = next(ctx, w, r)
		}
		s.finish(w, r, err)
	}
}

// prepare looks up the client account, reads the headers and the body, and returns
// the timeout of the request.
func (s *Server) prepare(w http.ResponseWriter, r *request) (time.Duration, error) {
	if r.view.Accepted.Generation == 0 {
		return 0, redwinghall.NewOpError("Server.prepare", redwinghall.CodeNoManifest, nil)
	}
	account, ok := r.view.Account(peer.BearerToken(r.http))
	if !ok {
		return 0, redwinghall.NewOpError("Server.prepare", redwinghall.CodeUnknownKey, nil)
	}
	r.account = account
	r.series = s.metrics.seriesOf(account)
	if text := r.http.Header.Get(HeaderHops); text != "" {
		hops, err := strconv.Atoi(text)
		if err != nil || hops < 0 {
			return 0, redwinghall.NewOpError("Server.prepare", redwinghall.CodeBadRequest,
				detail("the X-Redwinghall-Hops header is not a number"))
		}
		r.hops = hops
	}
	timeout, err := s.timeoutOf(r.http)
	if err != nil {
		return 0, err
	}
	r.body, err = io.ReadAll(http.MaxBytesReader(w, r.http.Body, s.config.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return 0, redwinghall.NewOpError("Server.prepare", redwinghall.CodeTooLarge, nil)
	}
	if err != nil {
		return 0, redwinghall.NewOpError("Server.prepare", redwinghall.CodeBadRequest, detail("the body could not be read"))
	}
	return timeout, nil
}

// finish counts and logs the outcome of a request, and refuses one that failed before
// its response started.
func (s *Server) finish(w http.ResponseWriter, r *request, err error) {
	if errors.Is(err, errResponseStarted) {
		s.metrics.count(string(codeOf(err)))
		klog.V(1).InfoS("response_incomplete", "request_id", r.id, "client_account", r.account.ID, "code", codeOf(err))
		return
	}
	if err != nil {
		s.refuse(w, r, err)
		return
	}
	s.metrics.count("ok")
	observe(r.series.total, time.Since(r.started))
	klog.V(2).InfoS("request_done", "request_id", r.id, "client_account", r.account.ID,
		"duration", time.Since(r.started))
}

// refuse sends an error response with the code of err.
func (s *Server) refuse(w http.ResponseWriter, r *request, err error) {
	code := codeOf(err)
	body, status := newRefusal(code, r.id, detailOf(err))
	if wait := s.retryAfter(r, code); wait > 0 {
		body.RetryAfter = redwinghall.Duration(wait)
	}
	s.metrics.count(string(code))
	klog.V(1).InfoS("request_refused", "request_id", r.id, "client_account", r.account.ID,
		"code", code, "outcome", body.Outcome, "cause", err.Error())
	body.write(w, status)
}

// retryAfter returns the time that callers should wait, as estimated from the queues,
// or zero if the code's own RetryAfter applies.
func (s *Server) retryAfter(r *request, code redwinghall.Code) time.Duration {
	if code != redwinghall.CodeQueueFull && code != redwinghall.CodeDeadlineTooShort {
		return 0
	}
	longest := time.Duration(0)
	for _, m := range r.view.Models {
		longest = max(longest, m.Gate.RetryAfter(time.Now()))
	}
	return longest
}

// codeOf returns the code for the error response to the caller.
func codeOf(err error) redwinghall.Code {
	if code := redwinghall.KindOf[redwinghall.Code](err); code != "" {
		return code
	}
	switch redwinghall.KindOf[admit.Kind](err) {
	case admit.QueueFull:
		return redwinghall.CodeQueueFull
	case admit.DeadlineTooShort:
		return redwinghall.CodeDeadlineTooShort
	case admit.DeadlinePassed:
		return redwinghall.CodeDeadlinePassed
	}
	if redwinghall.KindOf[claim.Kind](err) != "" {
		return redwinghall.CodeClaimsUnavailable
	}
	return redwinghall.CodeEndpointFailed
}

func detailOf(err error) string {
	var d detail
	if errors.As(err, &d) {
		return string(d)
	}
	return ""
}

// maxRequestID is the maximum length of a request id sent by a caller.
const maxRequestID = 64

// requestID returns the id that the caller sent if it is valid, and a new one
// otherwise.
func requestID(r *http.Request) string {
	if id := r.Header.Get(HeaderRequestID); isValidID(id) {
		return id
	}
	return rand.Text()
}

// isValidID reports whether an id can be used in headers, events and logs without
// escaping.
func isValidID(id string) bool {
	for _, c := range id {
		valid := c == '-' || c == '_' || c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !valid {
			return false
		}
	}
	return id != "" && len(id) <= maxRequestID
}

func (s *Server) unknownPath(context.Context, http.ResponseWriter, *request) error {
	return redwinghall.NewOpError("Server.unknownPath", redwinghall.CodeUnknownPath, nil)
}
