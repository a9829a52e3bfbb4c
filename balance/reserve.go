package balance

import (
	"time"

	"redwinghall/fleet"
)

const (
	// reserveFor is how long a reservation counts that nobody settles. By then
	// the other zone has shared the stream as a part of its load.
	reserveFor = 400 * time.Millisecond
	// reserveUnsettled is the same for a node of this zone, which settles its
	// reservations by telling its loads; it outlasts a few lost words.
	reserveUnsettled = time.Second
)

// Requester is the node that a reservation is for.
type Requester struct {
	Node string
	// Ticket numbers the node's own asks. It is 0 for a node of another zone,
	// whose loads come as a part of its zone's sum.
	Ticket uint64
}

// reservation is a stream that another node sends to a group here.
type reservation struct {
	claimant Requester
	until    time.Time
	prompt   int
}

// Reserve chooses a group of this zone for a stream that another node has, and
// counts the stream, or says why none will do. Groups that are cold aren't
// offered: who sends to them spends its own part of what they bear.
//
// Guard: what a node knows of the load that others bring is old. All nodes see
// the same group as the emptiest and choose it until they hear of each other:
// its prompts wait for each other, its places run out, and first events come
// late. Where one node chooses for all, it knows of each stream that it placed.
func (t *Tracker) Reserve(now time.Time, heads []*fleet.Endpoint, zonesOut map[string]bool, ask Request, claimant Requester) (Choice, *Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ask.bias = t.bias
	look := &search{ask: ask, now: now, zonesOut: zonesOut, weigh: ask.weigh}
	look.consider(t, heads, func(e *fleet.Endpoint) bool { return e.Zone == ask.Zone && !e.ColdAt(now) })
	best := look.best
	if best == nil {
		return Choice{}, look.refusal()
	}
	if !ask.Resumed && best.predicted > ask.Objective {
		return Choice{}, refusalOfLate(now, best, ask)
	}
	best.state.reserve(now, claimant, ask.Prompt)
	limited := best.state.limit.limit.Named
	lent, _ := best.state.limit.lend(now, ask.PermitShare) // it was weighed because there is one
	return Choice{
		Endpoint: best.endpoint, Predicted: best.predicted, Running: best.running, Age: best.state.reportAge(now), Permitted: limited && lent,
	}, nil
}

// OtherZoneWithRoom returns another zone that may serve a stream in time, as far as this
// node knows, "" if none has room.
//
// Gain: when all zones are full, each stream would ask every one of them before it is
// refused. Those bytes cost, and so do the answers.
func (t *Tracker) OtherZoneWithRoom(now time.Time, heads []*fleet.Endpoint, zonesOut map[string]bool, ask Request) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	ask.bias = t.bias
	ask.Nodes = 2       // this one, and all that it tells: what it told counts once
	ask.PermitShare = 0 // other zones lend for their own endpoints
	look := &search{ask: ask, now: now, zonesOut: zonesOut, weigh: ask.weigh}
	look.consider(t, heads, func(e *fleet.Endpoint) bool { return e.Zone != ask.Zone && !e.ColdAt(now) })
	best := look.best
	if best == nil || best.predicted > ask.Objective {
		return ""
	}
	best.state.sent = best.state.sent.With(now, ask.Prompt)
	return best.endpoint.Zone
}

func (s *State) reserve(now time.Time, claimant Requester, prompt int) {
	until := now.Add(reserveFor)
	if claimant.Ticket > 0 {
		until = now.Add(reserveUnsettled)
	}
	s.reserved = append(s.reserved, reservation{claimant: claimant, until: until, prompt: prompt})
}

// ReleaseReservations ends the reservations of a node of this zone whose streams are in the
// loads that it told, which are those below a ticket.
func (t *Tracker) ReleaseReservations(node string, below uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.states {
		kept := s.reserved[:0]
		for _, r := range s.reserved {
			if r.claimant.Node != node || r.claimant.Ticket == 0 || r.claimant.Ticket >= below {
				kept = append(kept, r)
			}
		}
		s.reserved = kept
	}
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

// AcceptChoice notes that a request goes to an endpoint that another node chose.
func (t *Tracker) AcceptChoice(now time.Time, e *fleet.Endpoint, ask Request, predicted time.Duration) Choice {
	t.mu.Lock()
	defer t.mu.Unlock()
	ask.bias = t.bias
	c := ask.weigh(now, t.state(e.ID, now), e)
	c.predicted = predicted
	return t.take(now, &c, ask)
}
