package balance

import (
	"math"
	"time"

	"redwinghall/fleet"
)

// fadeHalfLife is the time in which half of what was learned from answers fades while nothing is
// learned.
const fadeHalfLife = time.Second

// retest marks a request that is sent although it looks late by what was learned from earlier
// answers.
type retest struct {
	// latest is the response time up to which what was learned counts as outdated.
	latest    time.Duration
	estimates estimates
}

// estimates is what was learned of an endpoint from its answers, beyond what it declares.
type estimates struct {
	latency  time.Duration
	slowdown float64
	bias     time.Duration // of all endpoints
}

// tryAgain predicts the response of the best candidate of a lookup once more, with what was learned
// from answers faded by the time since the last one. It returns nil if the response is late even
// so, or if a request of this node is already in progress there. The lock is held.
//
// Answers that were slow for a moment, as those that came through a paused node, make each
// further request look late. If all were refused for that, no answer would ever show that the
// endpoint is fast again. One request at a time finds out.
func (t *Tracker) tryAgain(now time.Time, best *candidate, request Request, latest time.Duration,
	evaluate func(Request, time.Time, *State, *fleet.Endpoint) candidate,
) *candidate {
	s := best.state
	if s.own > 0 || best.full {
		return nil
	}
	faded := estimates{
		latency:  defaultLatency + fade(max(0, s.latency-defaultLatency), now.Sub(s.learnedAt)),
		slowdown: 1 + fade(max(0, s.slowdown-1), now.Sub(s.learnedAt)),
		bias:     fade(t.bias, now.Sub(t.biasAt)),
	}
	latency, slowdown := s.latency, s.slowdown
	request.bias, s.latency, s.slowdown = faded.bias, faded.latency, faded.slowdown
	again := evaluate(request, now, s, best.endpoint)
	s.latency, s.slowdown = latency, slowdown
	if again.predicted > latest {
		return nil
	}
	again.retest = &retest{latest: latest, estimates: faded}
	return &again
}

// fade returns what is left of a value after some time.
func fade[T float64 | time.Duration](value T, idle time.Duration) T {
	return T(float64(value) * math.Exp2(-idle.Seconds()/fadeHalfLife.Seconds()))
}

// confirm replaces what was learned of the endpoint by what a retest assumed, if its answer came in
// time. The lock is held.
func (a *Attempt) confirm(took time.Duration) {
	if a.retest == nil {
		return
	}
	if took <= a.retest.latest {
		a.s.latency, a.s.slowdown, a.t.bias = a.retest.estimates.latency, a.retest.estimates.slowdown, a.retest.estimates.bias
	}
	a.retest = nil
}
