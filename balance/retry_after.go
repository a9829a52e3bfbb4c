package balance

import (
	"math/rand/v2"
	"time"

	"redwinghall/fleet"
)

const (
	// retryAfterSpread is the largest delay beyond a Retry-After, as a share of it:
	// an endpoint often rejects many nodes at the same time, and they would all return
	// at the same time.
	retryAfterSpread = 0.25
	// maxRetryAfterSpread bounds that delay.
	maxRetryAfterSpread = 2 * time.Second
)

// retryAfter is the Retry-After that an endpoint sent to this node with a rejection. The
// tracker's lock guards it.
//
// It binds only this node and says nothing about the endpoint's health. So it is separate
// from the backoff, which ends with the next event of any stream.
type retryAfter struct {
	until time.Time
	// startedMillis identifies the process that rejected the request. A later process
	// under the same id knows nothing of it.
	startedMillis int64
	// recovering is true from a rejection until a later request is accepted. After the
	// Retry-After, the endpoint gets only one request at a time until then: the probe.
	recovering bool
	probe      *Attempt
}

// appliesTo reports whether an endpoint's process is the one that rejected a request.
func (r *retryAfter) appliesTo(startedMillis int64) bool {
	return r.recovering && startedMillis <= r.startedMillis
}

// left returns for how long this node must not send a request to the endpoint. attempt is
// the request's attempt, nil if it has not begun; the probe itself may be sent.
func (r *retryAfter) left(now time.Time, startedMillis int64, attempt *Attempt) time.Duration {
	switch {
	case !r.appliesTo(startedMillis):
		return 0
	case now.Before(r.until):
		return r.until.Sub(now)
	case r.probe != nil && r.probe != attempt:
		return retrySoon
	}
	return 0
}

// start makes an attempt the probe if one is needed and none is in progress.
func (r *retryAfter) start(now time.Time, a *Attempt) {
	if r.appliesTo(a.startedMillis) && r.probe == nil && !now.Before(r.until) {
		r.probe = a
	}
}

// finish records the end of an attempt, which may be the probe.
func (r *retryAfter) finish(a *Attempt) {
	if r.probe == a {
		r.probe = nil
	}
}

// reject records a rejection. Of several, the latest end counts.
func (r *retryAfter) reject(now time.Time, random *rand.Rand, wait time.Duration, startedMillis int64) {
	if startedMillis < r.startedMillis {
		return
	}
	spread := min(time.Duration(retryAfterSpread*float64(wait)), maxRetryAfterSpread)
	until := now.Add(wait + upTo(random, spread))
	if startedMillis > r.startedMillis {
		*r = retryAfter{startedMillis: startedMillis}
	}
	r.recovering, r.until = true, later(r.until, until)
}

// RecordResponse records whether the endpoint rejected the request, and for how long it
// wants no further one from this node, 0 if it doesn't say. Responses may arrive out of
// order: an accepted request shows that the endpoint has recovered only if it was sent
// after the Retry-After.
func (a *Attempt) RecordResponse(now time.Time, rejected bool, wait time.Duration) {
	a.t.mu.Lock()
	defer a.t.mu.Unlock()
	a.t.answeredAt = now
	r := &a.s.retryAfter
	switch {
	case wait > 0:
		r.reject(now, a.t.Random, wait, a.startedMillis)
	case !rejected && r.appliesTo(a.startedMillis) && !a.sentAt.Before(r.until):
		*r = retryAfter{}
	}
}

// RetryAfterLeft returns for how long this node must not send the request to the endpoint,
// 0 if it may be sent now.
func (a *Attempt) RetryAfterLeft(now time.Time) time.Duration {
	a.t.mu.Lock()
	defer a.t.mu.Unlock()
	return a.s.retryAfter.left(now, a.startedMillis, a)
}

// RetryAfterLeft returns for how long this node must not send requests to an endpoint.
func (t *Tracker) RetryAfterLeft(now time.Time, e *fleet.Endpoint) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.states[e.ID]; ok {
		return s.retryAfter.left(now, e.StartedMillis, nil)
	}
	return 0
}

// retryAfterLeft returns for how long the node that the choice is for must not send
// requests to an endpoint. What another node was asked is unknown here.
func (r Request) retryAfterLeft(now time.Time, s *State, e *fleet.Endpoint) time.Duration {
	if r.ForOtherNode {
		return 0
	}
	return s.retryAfter.left(now, e.StartedMillis, nil)
}

// InRetryAfter returns the ids of those endpoints to which this node must not send
// requests now.
func (t *Tracker) InRetryAfter(now time.Time, endpoints []*fleet.Endpoint) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var waiting []string
	for _, e := range endpoints {
		if s, ok := t.states[e.ID]; ok && s.retryAfter.left(now, e.StartedMillis, nil) > 0 {
			waiting = append(waiting, e.ID)
		}
	}
	return waiting
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
