package gateway

import (
	"errors"
	"io"
	"net/http"
	"time"

	"redwinghall/directory"
	"redwinghall/fleet"
	"redwinghall/platform"
)

// Request is a caller's request, read whole, with the route and the account
// that were found for it.
type Request struct {
	Ask     platform.RequestInfo
	Method  string
	Host    string
	Target  string // path and query as the caller sent them
	Header  http.Header
	Body    []byte
	Route   *fleet.Route
	Service fleet.Service
	Account *fleet.Account // nil where the route asks for no key
	Arrived time.Time
	// Deadline is when the caller or the route gives up, whichever comes first.
	Deadline time.Time
	// ByRoute is true if the route's timeout is the earlier one.
	ByRoute bool
	view    *directory.View
}

// Priority returns the rank of the request, 0 first.
func (r *Request) Priority() int {
	if r.Account != nil && r.Account.HasPriority {
		return r.Account.Priority
	}
	return r.Route.Priority
}

// version returns the version of the configuration that decided the request, 0 for none.
func (r *Request) version() int64 {
	if config := r.view.Config(); config != nil {
		return config.Version
	}
	return 0
}

// account returns the account's name for headers, logs and metrics.
func (r *Request) account() string {
	if r.Account == nil {
		return ""
	}
	return r.Account.Name
}

// Idempotent reports whether the request may run more than once.
func (r *Request) Idempotent() bool {
	return r.Route.Kind == fleet.Safe || (r.Route.Kind == fleet.Streaming && r.Route.Resumable)
}

// Left returns how much time the request has.
func (r *Request) Left(now time.Time) time.Duration { return r.Deadline.Sub(now) }

// withDeadline sets when the request ends.
func (r *Request) withDeadline() {
	r.Deadline = r.Arrived.Add(r.Route.Timeout)
	r.ByRoute = true
	if r.Ask.Timeout > 0 && (r.Ask.Timeout < r.Route.Timeout || r.Route.Timeout <= 0) {
		r.Deadline = r.Arrived.Add(r.Ask.Timeout)
		r.ByRoute = false
	}
}

// Bounds of what is read of a caller where the configuration says nothing.
const (
	defaultBodyBytes = 4 << 20
	bodySlack        = 1 // one byte more tells a body that is too large
)

var errBodyTooLarge = errors.New("the body is larger than the configuration allows")

// readBody reads a request's body whole: a second endpoint may need it, and an
// endpoint is not kept waiting by a slow caller.
func readBody(in *http.Request, limit int64) ([]byte, error) {
	if in.Body == nil || in.ContentLength == 0 {
		return nil, nil
	}
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if in.ContentLength > limit {
		return nil, errBodyTooLarge
	}
	if in.ContentLength > 0 {
		body := make([]byte, in.ContentLength)
		_, err := io.ReadFull(in.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(in.Body, limit+bodySlack))
	if err == nil && int64(len(body)) > limit {
		return nil, errBodyTooLarge
	}
	return body, err
}
