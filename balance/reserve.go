package balance

import (
	"time"

	"redwinghall/fleet"
)

const (
	// reservationTTL is how long a reservation for a node of another zone counts at most.
	// By then that zone has shared the stream as part of its load.
	reservationTTL = 400 * time.Millisecond
	// ownZoneReservationTTL is the same for a node of this zone. Its reservations end
	// when it shares its loads, so this outlasts a few lost messages.
	ownZoneReservationTTL = time.Second
)

// Requester is the node that a reservation is for.
type Requester struct {
	Node string
	// Ticket is the sequence number of the node's request. It is 0 for a node of
	// another zone, whose loads arrive as part of its zone's sum.
	Ticket uint64
}

// reservation is a stream that another node is about to send to a group of this
// zone.
type reservation struct {
	requester Requester
	until     time.Time
	prompt    int
}

// Reserve chooses a group of this zone for a stream of another node and counts the
// stream at the group, or returns the reason why there is none. It doesn't offer
// cold groups: each node that sends to them uses its own share of their rate.
//
// Shared loads are outdated. If each node chose by itself, all would choose the
// group that looks emptiest until they had shared their loads: its prompts would
// queue behind each other, its slots would run out, and first events would come
// late. A single node that chooses for all has counted each stream that it placed.
func (t *Tracker) Reserve(now time.Time, heads []*fleet.Endpoint, zonesOut map[string]bool, request Request, requester Requester) (Choice, *Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	request = t.prepare(now, request)
	request.ForOtherNode = true
	l := t.newLookup(now, zonesOut, request, request.evaluateGroup)
	l.consider(t, heads, func(e *fleet.Endpoint) bool { return e.Zone == request.Zone && !e.ColdAt(now) })
	best := l.best
	if best == nil {
		return Choice{}, l.refusal()
	}
	best, refused := t.inTime(now, best, request, request.latestReserved())
	if refused != nil {
		t.recordRefused(l, l.best, requester)
		return Choice{}, refused
	}
	if l.leavesKept(t, heads) {
		t.recordRefused(l, best, requester)
		return Choice{}, lateRefusal(now, best, request)
	}
	if limit := t.roomLimit(l, request.latestReserved()); limit != nil {
		t.recordRefused(l, best, requester)
		return Choice{}, limitRefusal(now, best, request, *limit)
	}
	t.recordRoom(l, best, l.evaluated, true)
	best.state.reserve(now, requester, request.Prompt, t.expectedTime(best, request))
	limited := best.state.limit.limit.Named
	issued, _ := best.state.limit.issue(now, request.PermitShare) // there is one, or the group would have been skipped
	return Choice{
		Endpoint: best.endpoint, Predicted: best.predicted, Running: best.running, Age: best.state.reportAge(now), Permitted: limited && issued,
	}, nil
}

// latestReserved returns the latest predicted time to the first event with which a group
// of this zone is reserved. A caller that was told to come back gets its place also where
// the prediction varies a little: it has been refused once.
func (r Request) latestReserved() time.Duration {
	if r.Promised {
		return latestStart(r.Objective)
	}
	return r.Objective
}

// AlternativeZone returns another zone that, by the loads it shared, may serve a
// stream in time, "" if there is none.
//
// It saves traffic between zones: when all zones are full, each stream would
// otherwise ask every one of them before it is refused.
func (t *Tracker) AlternativeZone(now time.Time, heads []*fleet.Endpoint, zonesOut map[string]bool, request Request) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	request.Nodes = 2 // this node and all others together: unshared load counts once at most
	request = t.prepare(now, request)
	request.ForOtherNode = true
	request.PermitShare = 0 // other zones issue permits for their own endpoints
	l := &lookup{request: request, now: now, zonesOut: zonesOut, evaluate: request.evaluateGroup}
	l.consider(t, heads, func(e *fleet.Endpoint) bool { return e.Zone != request.Zone && !e.ColdAt(now) })
	best := l.best
	if best == nil || (best.predicted > request.Objective && t.tryAgain(now, best, request, request.Objective, Request.evaluateGroup) == nil) {
		return ""
	}
	best.state.sent = best.state.sent.With(now, request.Prompt)
	return best.endpoint.Zone
}

// expectedTime returns how long a stream of usual length is expected to last in a group, as fast
// as the group was observed to be.
func (t *Tracker) expectedTime(c *candidate, request Request) time.Duration {
	engine := request.Service.Engine
	passes := t.expectedAnswer(request) / float64(max(1, engine.Stride))
	pass := NewPace(engine, request.Model, c.state.slowdown).Pass(c.running+1, 0)
	return c.predicted + predicted(passes*float64(pass))
}

// reserve counts a stream that another node is about to send. Another zone doesn't tell when
// it ends, so that it counts no longer than streams like it last.
func (s *State) reserve(now time.Time, requester Requester, prompt int, lasts time.Duration) {
	until := now.Add(min(reservationTTL, lasts))
	if requester.Ticket > 0 {
		until = now.Add(ownZoneReservationTTL)
	}
	s.reserved = append(s.reserved, reservation{requester: requester, until: until, prompt: prompt})
}

// ReleaseReservations ends those reservations of a node of this zone whose streams
// are included in the loads that it shared: the ones with a ticket below the given
// one.
func (t *Tracker) ReleaseReservations(node string, below uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.states {
		s.release(node, Settled{Below: below})
	}
}

// release ends the reservations of a node whose tickets are settled.
func (s *State) release(node string, settled Settled) {
	kept := s.reserved[:0]
	for _, r := range s.reserved {
		if r.requester.Node != node || r.requester.Ticket == 0 || !settled.Includes(r.requester.Ticket) {
			kept = append(kept, r)
		}
	}
	s.reserved = kept
}

// reservedLoad returns the load reserved at the endpoint and drops expired
// reservations.
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

// AcceptChoice starts an attempt at an endpoint that another node chose.
func (t *Tracker) AcceptChoice(now time.Time, e *fleet.Endpoint, request Request, predicted time.Duration) Choice {
	t.mu.Lock()
	defer t.mu.Unlock()
	request = t.prepare(now, request)
	c := request.evaluateGroup(now, t.state(e.ID, now), e)
	c.predicted = predicted
	return t.startChosen(now, &c, request)
}
