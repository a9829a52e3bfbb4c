package balance

import (
	"time"

	"redwinghall/fleet"
)

// Weights of choosing among plain endpoints.
const (
	// failurePenalty is added for an endpoint all of whose requests fail.
	failurePenalty = 2 * time.Second
	// plainFarPenalty is added for an endpoint of another zone; answers are
	// small, so it is less than farPenalty.
	plainFarPenalty = 15 * time.Millisecond
	// defaultLatency is assumed of an endpoint of which nothing is known.
	defaultLatency = 50 * time.Millisecond
)

// ChoosePlain chooses the endpoint of a plain service for a request.
func (t *Tracker) ChoosePlain(now time.Time, endpoints []*fleet.Endpoint, zonesOut map[string]bool, ask Request) (Choice, *Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	look := &search{ask: ask, now: now, zonesOut: zonesOut, weigh: ask.weighPlain}
	look.consider(t, endpoints, func(*fleet.Endpoint) bool { return true })
	best := look.best
	if best == nil {
		return Choice{}, look.refusal()
	}
	if !ask.Resumed && (best.full || float64(best.predicted) > refuseBeyond*float64(max(ask.Objective, defaultLatency))) {
		return Choice{}, &Refusal{Reason: Overloaded, Predicted: best.predicted, RetryAfter: retrySoon}
	}
	return t.take(now, best, ask), nil
}

func (a Request) weighPlain(now time.Time, s *State, e *fleet.Endpoint) candidate {
	running := s.running(now)
	c := candidate{endpoint: e, state: s, running: running}
	work := s.latency
	if work == 0 {
		work = defaultLatency
	}
	waiting := max(0, running+1-max(1, e.Slots))
	c.predicted = work + work*time.Duration(waiting)/time.Duration(max(1, e.Slots))
	c.full = a.Connections > 0 && s.own >= a.Connections
	c.score = c.predicted + time.Duration(running)*work/time.Duration(max(1, e.Slots))/2 +
		time.Duration(s.failures*float64(failurePenalty))
	if e.Zone != a.Zone {
		c.score += plainFarPenalty
	}
	if c.full {
		c.score += time.Hour
	}
	return c
}
