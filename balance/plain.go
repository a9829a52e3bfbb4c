package balance

import (
	"time"

	"redwinghall/fleet"
)

// Weights for choosing among the endpoints of a plain service, that is, one
// without an engine.
const (
	// failurePenalty is added to the score of an endpoint whose requests all fail.
	failurePenalty = 2 * time.Second
	// plainOtherZonePenalty is added to the score of an endpoint of another zone. It
	// is less than otherZonePenalty, as answers are small.
	plainOtherZonePenalty = 15 * time.Millisecond
	// defaultLatency is assumed for an endpoint that has no latency recorded.
	defaultLatency = 50 * time.Millisecond
)

// ChoosePlain chooses the endpoint of a plain service for a request, or returns the
// reason why there is none.
func (t *Tracker) ChoosePlain(now time.Time, endpoints []*fleet.Endpoint, zonesOut map[string]bool, request Request) (Choice, *Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	request = t.prepare(now, request)
	l := t.newLookup(now, zonesOut, request, request.evaluatePlain)
	l.consider(t, endpoints, func(*fleet.Endpoint) bool { return true })
	best := l.best
	if best == nil {
		return Choice{}, l.refusal()
	}
	latest := latestStart(max(request.Objective, defaultLatency))
	if !request.Resumed && (best.full || best.predicted > latest) {
		again := t.tryAgain(now, best, request, latest, Request.evaluatePlain)
		if again == nil {
			t.recordRoom(l, best, l.evaluated, false)
			return Choice{}, &Refusal{Reason: Overloaded, Predicted: best.predicted, RetryAfter: retrySoon}
		}
		best = again
	}
	if limit := t.roomLimit(l, latest); limit != nil {
		t.recordRoom(l, best, l.evaluated, false)
		return Choice{}, &Refusal{Reason: limit.Reason, Predicted: best.predicted, RetryAfter: retrySoon, Limit: *limit}
	}
	t.recordRoom(l, best, l.evaluated, true)
	return t.startChosen(now, best, request), nil
}

func (r Request) evaluatePlain(now time.Time, s *State, e *fleet.Endpoint) candidate {
	running := s.running(now)
	c := candidate{endpoint: e, state: s, running: running}
	work := c.latency()
	waiting := max(0, running+1-max(1, e.Slots))
	c.predicted = work + work*time.Duration(waiting)/time.Duration(max(1, e.Slots))
	c.full = r.isFull(now, s)
	c.score = c.predicted + time.Duration(running)*work/time.Duration(max(1, e.Slots))/2 +
		time.Duration(s.failures*float64(failurePenalty)) + r.rejectingPenalty(now, s)
	if e.Zone != r.Zone {
		c.score += plainOtherZonePenalty
	}
	if c.full {
		c.score += time.Hour
	}
	return c
}
