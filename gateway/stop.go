package gateway

import (
	"net/http"
	"time"
)

// Stop is a planned stop of this node, as far as it decides which requests are
// still taken. The zero value is a node that isn't stopping.
type Stop struct {
	Begun time.Time
	// Boot is the boot clock at that moment, which counts suspended time.
	Boot time.Time
	// Noticed is when the balancer has noticed the stop, and sends new connections
	// to other nodes as long as enough of them are ready.
	Noticed time.Time
	// End is when the process ends, and what still runs is cut.
	End time.Time
}

// Active reports whether the node is stopping.
func (s Stop) Active() bool { return !s.End.IsZero() }

// AdjustForSuspend returns the stop as it stands at a moment, which is told by both clocks.
//
// Guard: the steady clock stands still while the VM is suspended, and the
// operators' grace goes on. A stop that counted by that clock alone would take
// what it can't finish, and be killed. What the boot clock ran ahead is taken
// off.
func (s Stop) AdjustForSuspend(now, boot time.Time) Stop {
	if !s.Active() || s.Boot.IsZero() {
		return s
	}
	suspended := max(0, boot.Sub(s.Boot)-now.Sub(s.Begun))
	s.Noticed, s.End = s.Noticed.Add(-suspended), s.End.Add(-suspended)
	return s
}

// How much more time than a request is expected to take the node must have, as a
// part of that: answers take longer where prompts of others are read meanwhile.
const (
	// noticedMargin holds once callers can find another node.
	noticedMargin = 0.6
	// unnoticedMargin is smaller: until then, who is refused may well come to
	// a node that stops too, or back to this one.
	unnoticedMargin = 0.1
)

// Accepts reports whether the node takes a request now that is expected to take so
// long at most (0: unknown), and surely ends by its deadline.
//
// Guard: a stopping node that takes what it can't finish cuts it when its grace
// is over, and the caller sees an answer that ends in the middle. Callers keep
// their connections and go on using them, whatever the balancer does with new
// ones, so a stop that only waits for the balancer takes requests up to its
// end. What is taken here either ends in time by its own deadline, or is
// expected to, by the longest answer that it may get.
func (s Stop) Accepts(now time.Time, expected time.Duration, deadline time.Time) bool {
	if !s.Active() || !deadline.After(s.End) {
		return true
	}
	if expected <= 0 {
		return false
	}
	margin := unnoticedMargin
	if !now.Before(s.Noticed) {
		margin = noticedMargin
	}
	return !now.Add(expected + time.Duration(margin*float64(expected))).After(s.End)
}

// stopRetryAfter is when a caller may ask another node: at once.
const stopRetryAfter = 20 * time.Millisecond

// refusal refuses a request that this node has no time for.
func (s Stop) refusal(now time.Time, expected time.Duration) refusal {
	return refusal{
		status: http.StatusServiceUnavailable, reason: "node_stops", retryAfter: stopRetryAfter,
		predicted: expected, nodeLeft: s.End.Sub(now),
	}
}

// stop returns the planned stop that is under way.
func (g *Gateway) stop() Stop {
	if g.Stopping == nil {
		return Stop{}
	}
	return g.Stopping()
}
