package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"redwinghall/directory"
	"redwinghall/kernel"
)

// Reasons why a request ends without a complete response, beside those of refusals.
const (
	reasonTimeout = "timeout"
	// reasonCallerLeft means that the connection to the caller ended, and not by this node.
	reasonCallerLeft = "caller_left"
	// reasonNodeEnded means that this node has ended the request as it ends itself.
	reasonNodeEnded = "node_ended"
	// reasonAttemptTimeout means that the time of the attempt was over before that of the request.
	reasonAttemptTimeout   = "attempt_timeout"
	reasonEndpointBrokeOff = "endpoint_broke_off"
)

// logUnanswered writes the line of a request that ends without a complete response, as a warning unless the
// caller has left. more are further keys and values.
func (g *Gateway) logUnanswered(event string, r *Request, reason string, more ...any) {
	now := time.Now()
	held, view := now.Sub(r.Arrived), g.Cache.View()
	line := append([]any{
		"request", r.Info.ID, "reason", reason, "route", routeName(r), "held", held, "paused", held - kernel.RunTime(r.Arrived, now),
		"node_stopping", g.stop().Active(), "configuration_at_arrival", r.arrivedUnder, "configuration_now", configVersion(view),
		"since_configuration", sinceConfiguration(view, now),
	}, more...)
	if reason == reasonCallerLeft {
		klog.InfoSDepth(1, event, line...)
		return
	}
	kernel.WarningSDepth(1, nil, event, line...)
}

// endedBy returns a function that reports whether this node ends a request as it ends itself.
func (g *Gateway) endedBy(request context.Context) func() bool {
	return func() bool { return g.Ended != nil && g.Ended(request) }
}

// goneReason returns why the connection to the caller of a request has ended.
func goneReason(r *Request) string {
	if r.isEnded() {
		return reasonNodeEnded
	}
	return reasonCallerLeft
}

// brokenReason returns why a response could not be passed on completely, given the error.
func brokenReason(r *Request, now time.Time, err error) string {
	switch {
	case r.callerLeft():
		return goneReason(r)
	case !now.Before(r.Deadline):
		return reasonTimeout
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return reasonAttemptTimeout
	}
	return reasonEndpointBrokeOff
}

// configVersion returns the version of a view's configuration, 0 if it has none.
func configVersion(view *directory.View) int64 {
	if config := view.Config(); config != nil {
		return config.Version
	}
	return 0
}

// sinceConfiguration returns how long a view's configuration has been in force, 0 if it has none.
func sinceConfiguration(view *directory.View, now time.Time) time.Duration {
	if view.Config() == nil {
		return 0
	}
	return now.Sub(view.ConfigSince())
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
