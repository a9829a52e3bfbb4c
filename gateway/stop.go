package gateway

import (
	"net/http"
	"time"

	"k8s.io/klog/v2"
)

// Stop is the schedule of a planned stop of this node, from which it decides which
// requests it still accepts. The zero value is a node that is not stopping.
type Stop struct {
	Begun time.Time
	// Boot is the reading of the boot clock when the stop began. The boot clock
	// includes the time that the VM is suspended.
	Boot time.Time
	// Noticed is when the load balancer has noticed the stop and sends new
	// connections to other nodes, as long as enough of them are ready.
	Noticed time.Time
	// End is when the process exits and remaining requests are cut off.
	End time.Time
}

// Active reports whether the node is stopping.
func (s Stop) Active() bool { return !s.End.IsZero() }

// AdjustForSuspend returns the stop with Noticed and End brought forward by the time
// that the VM was suspended since the stop began, which is the difference between the
// progress of the boot clock and of the monotonic clock.
//
// The monotonic clock stands still while the VM is suspended, but the operator's
// grace period goes on. A node that used that clock alone would accept requests that
// it can't finish, and would be killed while serving them.
func (s Stop) AdjustForSuspend(now, boot time.Time) Stop {
	if !s.Active() || s.Boot.IsZero() {
		return s
	}
	suspended := max(0, boot.Sub(s.Boot)-now.Sub(s.Begun))
	s.Noticed, s.End = s.Noticed.Add(-suspended), s.End.Add(-suspended)
	return s
}

// The margins by which the remaining time must exceed the expected duration of a
// request, as a fraction of that duration: responses take longer while prompts of
// other requests are processed.
const (
	// largeMargin applies once callers can reach another node, and to what can't be repeated.
	largeMargin = 0.6
	// unnoticedMargin is smaller: until callers reach other nodes, a refused one may well
	// meet another stopping node, or this one again.
	unnoticedMargin = 0.1
	// silenceReserve is for how long a sound endpoint may send nothing in the middle of an answer. It is reserved
	// wherever largeMargin applies.
	silenceReserve = 1900 * time.Millisecond
)

// Loss is what the caller of a request loses if a stop cuts it.
type Loss int

// The losses, from the smallest to the largest.
const (
	// LosesTime is the loss of a caller that may repeat the request, or go on with it at another node.
	LosesTime Loss = iota
	// LosesAnswer is the loss of a caller whose stream can't be resumed. The length of its answer is limited by the
	// request, so that only its pace is a guess.
	LosesAnswer
	// LosesCertainty is the loss of a caller that must not repeat the request and can't tell whether it was
	// executed. How long it takes is known from other calls only, and the service may have become slower.
	LosesCertainty
)

// Ending says when a request ends.
type Ending struct {
	// Deadline is when it ends at the latest.
	Deadline time.Time
	// Expected is how long it is expected to take at most, 0 if unknown.
	Expected time.Duration
	// Cut is what its caller loses if it is cut before.
	Cut Loss
}

// Accepts reports whether the node accepts a request.
//
// A request that can't finish is cut off when the grace period ends, and its caller
// gets a truncated response. Callers keep using their open connections whatever the
// load balancer does with new ones, so a node that only waited for the load balancer
// would accept requests until it exits. An accepted request therefore either has a
// deadline before the end, or is expected to finish in time, judged by the longest
// response that it may get.
//
// The expectation is a guess that the caller pays for. A refusal costs one more attempt, so what must not be
// repeated is never taken on a guess once callers reach other nodes.
func (s Stop) Accepts(now time.Time, r Ending) bool {
	switch {
	case !s.Active() || !r.Deadline.After(s.End):
		return true
	case r.Expected <= 0, r.Cut == LosesCertainty && s.isNoticed(now):
		return false
	}
	return !now.Add(r.Expected + s.reserve(now, r)).After(s.End)
}

// isNoticed reports whether callers reach other nodes.
func (s Stop) isNoticed(now time.Time) bool { return !now.Before(s.Noticed) }

// reserve returns the time that must be left beyond the expected end of a request.
func (s Stop) reserve(now time.Time, r Ending) time.Duration {
	if r.Cut == LosesTime && !s.isNoticed(now) {
		return time.Duration(unnoticedMargin * float64(r.Expected))
	}
	return max(silenceReserve, time.Duration(largeMargin*float64(r.Expected)))
}

// stopRetryAfter is the Retry-After of a stopping node. It is short because the
// caller may try another node immediately.
const stopRetryAfter = 20 * time.Millisecond

// refusal returns the refusal of a request that this node has no time left for.
func (s Stop) refusal(now time.Time, expected time.Duration) refusal {
	return refusal{
		status: http.StatusServiceUnavailable, reason: "node_stops", retryAfter: stopRetryAfter,
		predicted: expected, nodeLeft: s.End.Sub(now),
	}
}

// logAccepted writes the line of a request that is sent to an endpoint although this node stops.
func (s Stop) logAccepted(now time.Time, r *Request, expected time.Duration) {
	if s.Active() {
		klog.InfoS("accepted_while_stopping", "request", r.Info.ID, "route", routeName(r), "expected", expected, "node_left", s.End.Sub(now),
			"left", r.Left(now), "stopping_for", now.Sub(s.Begun))
	}
}

// stop returns the current planned stop, the zero value if there is none.
func (g *Gateway) stop() Stop {
	if g.Stopping == nil {
		return Stop{}
	}
	return g.Stopping()
}
