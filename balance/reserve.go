package balance

import (
	"time"

	"redwinghall/fleet"
)

// reserveFor is how long a reservation counts. By then the other zone has
// shared the stream as a part of its load.
const reserveFor = 400 * time.Millisecond

// reservation is a stream that a node of another zone sends to a group here.
type reservation struct {
	until  time.Time
	prompt int
}

// Reserve chooses a group of this zone for a stream that a node of another
// zone has, and counts the stream, or says why none will do. Groups that are
// cold aren't offered: who sends to them spends its own part of what they bear.
//
// Guard: what a node knows of another zone's load is old. When a zone loses its
// groups, all its nodes choose the same group elsewhere at the same time, and
// its prompts wait for each other: their first events come late. The zone that
// is asked knows what it has.
func (t *Tracker) Reserve(now time.Time, heads []*fleet.Endpoint, zonesOut map[string]bool, ask Ask) (Choice, *Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ask.bias = t.bias
	look := &search{ask: ask, now: now, zonesOut: zonesOut, weigh: ask.weigh}
	look.consider(t, heads, func(e *fleet.Endpoint) bool { return e.Zone == ask.Zone && !e.ColdAt(now) })
	best := look.best
	if best == nil {
		return Choice{}, look.refusal()
	}
	if !ask.GoesOn && best.predicted > ask.Objective {
		return Choice{}, refusalOfLate(now, best, ask)
	}
	best.state.reserved = append(best.state.reserved, reservation{until: now.Add(reserveFor), prompt: ask.Prompt})
	return Choice{Endpoint: best.endpoint, Predicted: best.predicted, Running: best.running, Age: best.state.reportAge(now)}, nil
}

// reservedLoad returns what is reserved at the endpoint.
func (s *State) reservedLoad(now time.Time) Load {
	var sum Load
	kept := s.reserved[:0]
	for _, r := range s.reserved {
		if now.Before(r.until) {
			kept = append(kept, r)
			sum = sum.With(Load{Requests: 1, Unstarted: 1, Unread: r.prompt})
		}
	}
	s.reserved = kept
	return sum
}

// Take notes that a request goes to an endpoint that another node chose.
func (t *Tracker) Take(now time.Time, e *fleet.Endpoint, ask Ask, predicted time.Duration) Choice {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(e.ID, now)
	return t.take(now, &candidate{endpoint: e, state: s, predicted: predicted, running: s.running(now)}, ask)
}
