package balance

import (
	"math/rand/v2"
	"time"

	"redwinghall"
)

// Refusal is the reason why no endpoint was chosen for a request.
type Refusal struct {
	Reason     string
	Predicted  time.Duration
	RetryAfter time.Duration
	// Best is the id of the endpoint that would have been chosen, "" if none was
	// found. Running and Age describe it as in Choice.
	Best    string
	Running int
	Age     time.Duration
	// InBackoff is the number of suitable endpoints that were skipped as they didn't answer.
	InBackoff int
	// Limit is the limit that the request exceeded, if its room is for others.
	Limit redwinghall.AdmissionLimit
}

// Reasons for a refusal.
const (
	NoEndpoint  = "no_endpoint"
	Overloaded  = "overloaded"
	ColdOnly    = "cold_only"
	Unreachable = "unreachable"
	Limited     = "limited"
	// EndpointsRejecting means that this node is within the Retry-After of all endpoints.
	EndpointsRejecting = "endpoints_rejecting"
)

// Times after which refused callers should retry.
const (
	retrySoon = 300 * time.Millisecond
	// retryLater applies while a group is being formed. It is at most a third of the
	// few seconds after which callers give up.
	retryLater = 2 * time.Second
)

// refusal returns the reason why no endpoint was found. Callers may retry soon if
// suitable endpoints were skipped, and later if none exists yet.
func (l *lookup) refusal() *Refusal {
	switch {
	case l.cold > 0:
		return &Refusal{Reason: ColdOnly, RetryAfter: retrySoon}
	case l.limited > 0:
		return LimitedRefusal(l.limitedFor)
	case l.full > 0 && l.request.LimitedFor > 0:
		return LimitedRefusal(l.request.LimitedFor)
	case l.full > 0:
		return &Refusal{Reason: Overloaded, RetryAfter: l.request.retryWhenFull(0)}
	case l.backedOff > 0:
		return &Refusal{Reason: Unreachable, RetryAfter: retrySoon, InBackoff: l.backedOff}
	case l.rejecting > 0:
		return RetryAfterRefusal(l.rejectingFor)
	}
	return &Refusal{Reason: NoEndpoint, RetryAfter: retryLater}
}

// LimitedRefusal returns the refusal of a request that rate limits allow only after
// a wait.
func LimitedRefusal(wait time.Duration) *Refusal {
	return &Refusal{Reason: Limited, RetryAfter: min(max(wait, retrySoon), retryLater)}
}

// lateRefusal returns the refusal of a stream that even the best group would serve
// too late.
func lateRefusal(now time.Time, best *candidate, request Request) *Refusal {
	return &Refusal{
		Reason: Overloaded, Predicted: best.predicted, RetryAfter: request.retryWhenFull(best.predicted - request.Objective),
		Best: best.endpoint.ID, Running: best.running, Age: best.state.reportAge(now),
	}
}

// RetryAfterRefusal returns the refusal of a request while this node is within the
// Retry-After of all its endpoints; wait is the shortest time left. Callers return spread
// over retrySoon, since the endpoint gets a single request at first.
func RetryAfterRefusal(wait time.Duration) *Refusal {
	return &Refusal{Reason: EndpointsRejecting, RetryAfter: wait + rand.N(retrySoon)}
}

// LeavingRefusal returns the refusal of a request whose chosen endpoint leaves.
func LeavingRefusal() *Refusal { return &Refusal{Reason: NoEndpoint, RetryAfter: retryLater} }
