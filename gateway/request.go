package gateway

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"redwinghall/directory"
	"redwinghall/endpointhttp"
	"redwinghall/fleet"
	"redwinghall/heldmemory"
	"redwinghall/platform"
)

// Request is a caller's request, including its complete body, with the route and the
// account that were resolved for it.
type Request struct {
	Info    platform.RequestInfo
	Method  string
	Host    string
	Target  string // path and query exactly as the caller sent them
	Header  http.Header
	Body    []byte
	Route   *fleet.Route
	Service fleet.Service
	Account *fleet.Account // nil if no key is required
	Arrived time.Time
	// Deadline is when the timeout of the caller or of the route expires, whichever
	// is earlier.
	Deadline time.Time
	// ByRoute is true if the route's timeout is the earlier one.
	ByRoute bool
	// latestView is the view that applies. Attempts in progress at the same time may take a newer one.
	latestView atomic.Pointer[directory.View]
	// endpointsRead reports whether latestView was taken after the first read of the endpoints' entries.
	endpointsRead atomic.Bool
	// arrivedUnder is the version of the configuration when the request arrived, 0 if none was known.
	arrivedUnder int64
	// left is closed once the connection to the caller has ended; nil for a request without one.
	left <-chan struct{}
	// ended reports whether this node ends the request as it ends itself; nil if it never does.
	ended func() bool
	// memory is what the request holds.
	memory heldmemory.Share
	// ownIdentity is computed at its first use, before the body is released.
	ownIdentity     string
	computeIdentity sync.Once
	// allParts is computed at its first use too.
	allParts     []string
	computeParts sync.Once
}

// outgoing returns what an endpoint gets of the request.
func (r *Request) outgoing() *endpointhttp.Request {
	return &endpointhttp.Request{ID: r.Info.ID, Method: r.Method, Host: r.Host, Target: r.Target, Header: r.Header, Body: r.Body}
}

// path returns the path of the request as the endpoint gets it. The decoded path may begin with the prefix of another route.
func (r *Request) path() string {
	path, _, _ := strings.Cut(r.Target, "?")
	return path
}

// releaseBody drops the body once no endpoint will be sent it any more.
func (r *Request) releaseBody() {
	r.Body = nil
	r.memory.GiveBackAll(heldmemory.Bodies)
}

// takeView makes the request use the latest view.
func (r *Request) takeView(cache *directory.Cache) {
	r.endpointsRead.Store(isClosed(cache.Listed())) // asked first: a later view has what was read before
	r.latestView.Store(cache.View())
}

// view returns the view that applies to the request.
func (r *Request) view() *directory.View { return r.latestView.Load() }

// Priority returns the priority of the request; 0 is the highest.
func (r *Request) Priority() int {
	if r.Account != nil && r.Account.HasPriority {
		return r.Account.Priority
	}
	return r.Route.Priority
}

// configVersion returns the version of the configuration that applies to the request,
// 0 if none is known.
func (r *Request) configVersion() int64 { return configVersion(r.view()) }

// callerLeft reports whether the connection to the caller has ended.
func (r *Request) callerLeft() bool { return isClosed(r.left) }

// isEnded reports whether this node ends the request as it ends itself.
func (r *Request) isEnded() bool { return r.ended != nil && r.ended() }

// account returns the account's name for headers, logs and metrics, "" if the request
// has no account.
func (r *Request) account() string {
	if r.Account == nil {
		return ""
	}
	return r.Account.Name
}

// Idempotent reports whether the request may be executed more than once.
func (r *Request) Idempotent() bool {
	return r.Route.Kind == fleet.Safe || (r.Route.Kind == fleet.Streaming && r.Route.Resumable)
}

// ending returns when the request ends; expected is how long it takes, 0 if unknown.
func (r *Request) ending(expected time.Duration) Ending {
	out := Ending{Deadline: r.Deadline, Expected: expected}
	switch {
	case r.Idempotent():
	case r.Route.Kind == fleet.Streaming:
		out.Cut = LosesAnswer
	default:
		out.Cut = LosesCertainty
	}
	return out
}

// Left returns the time remaining until the deadline.
func (r *Request) Left(now time.Time) time.Duration { return r.Deadline.Sub(now) }

// setDeadline sets the deadline from the timeouts of the route and the caller.
func (r *Request) setDeadline() {
	r.Deadline = r.Arrived.Add(r.Route.Timeout)
	r.ByRoute = true
	if r.Info.Timeout > 0 && (r.Info.Timeout < r.Route.Timeout || r.Route.Timeout <= 0) {
		r.Deadline = r.Arrived.Add(r.Info.Timeout)
		r.ByRoute = false
	}
}

// forwardHeaders returns the headers that are added to a request for an endpoint.
func (g *Gateway) forwardHeaders(r *Request, e *fleet.Endpoint, lastEvent string) platform.ForwardHeaders {
	return platform.ForwardHeaders{
		Timeout: r.Left(time.Now()), Endpoint: e.ID, Account: r.account(), Priority: r.Priority(), LastEvent: lastEvent,
	}
}
