package balance

import (
	"math/rand/v2"
	"time"

	"redwinghall/fleet"
)

// Thresholds of choosing and refusing.
const (
	// nearEnough is the share of the objective within which a group of the
	// caller's own zone is taken without a look at the other zones: bytes
	// between zones are costly, and what is known of other zones is older.
	nearEnough = 0.9
	// farPenalty is what a group of another zone must be faster by: bytes
	// between zones are costly, and several nodes may choose the same group
	// before they hear of each other.
	farPenalty = 60 * time.Millisecond
	// refuseBeyond is how many times the objective the predicted first event
	// must take before a request is refused: one that is surely late takes
	// places from others that could be in time.
	refuseBeyond = 1.1
)

// Request is what choosing needs to know of a request.
type Request struct {
	Service fleet.Service
	Model   fleet.Model // of a stream at an engine
	Zone    string      // of this node, which is the caller's
	Prompt  int
	// Answer is how many tokens the answer has at most, 0 if that isn't known.
	Answer    int
	Objective time.Duration
	// Tried holds the endpoints that this request has been sent to.
	Tried map[string]bool
	// Node is this node's name.
	Node string
	// ColdRateOwnZone and ColdRateOtherZones are the most requests that this node may send to a
	// cold endpoint of its own or another zone in any second. Below 2, some of
	// the nodes send 2 and the others none.
	ColdRateOwnZone, ColdRateOtherZones float64
	// Nodes is how many nodes there are, ZoneNodes how many in this zone.
	Nodes, ZoneNodes int
	// IsDispatcher says that this node chooses for all nodes of its zone, so that it
	// knows what they send.
	IsDispatcher bool
	// ZonesFull holds the zones that said that they can't serve the stream in
	// time. Their cold groups, which no zone offers, are not meant.
	ZonesFull map[string]bool
	// Resumed says that the stream was taken from another group: it is worth
	// finishing late, and is not refused for being so.
	Resumed bool
	// Connections bounds this node's requests at one endpoint.
	Connections int
	// PermitShare is the part of an endpoint's limit that this node lends to others, 0 where
	// it doesn't choose for them.
	PermitShare float64
	// LimitedFor is how long the limits of its endpoints keep the caller's zone from one
	// more request, 0 if they don't.
	LimitedFor time.Duration

	bias time.Duration // of predictions, as observed
}

// WithZoneFull returns the ask without the groups of a zone.
func (a Request) WithZoneFull(zone string) Request {
	full := map[string]bool{zone: true}
	for one := range a.ZonesFull {
		full[one] = true
	}
	a.ZonesFull = full
	return a
}

// WithOnlyZone returns the ask without the warm groups of all zones but one.
func (a Request) WithOnlyZone(heads []*fleet.Endpoint, but string) Request {
	full := map[string]bool{a.Zone: true}
	for _, e := range heads {
		if e.Zone != but {
			full[e.Zone] = true
		}
	}
	a.ZonesFull = full
	return a
}

// Choice is the endpoint for a request, with what decided it.
type Choice struct {
	Endpoint *fleet.Endpoint
	Attempt  *Attempt
	// Predicted is the time to the first event, or to the answer of a plain
	// service.
	Predicted time.Duration
	// Expected is the time to the end of the longest answer that a stream of an
	// engine may get, 0 if that isn't known.
	Expected time.Duration
	Running  int
	// Age is how old the newest report of the endpoint's load was; negative if
	// there was none.
	Age time.Duration
	// Permitted says that the endpoint's limit allows for the request.
	Permitted bool
}

// WithPermit returns the choice as one that the endpoint's limit allows for, or not.
func (c Choice) WithPermit(permitted bool) Choice {
	c.Permitted = permitted
	return c
}

// Refusal says why a request gets no endpoint now.
type Refusal struct {
	Reason     string
	Predicted  time.Duration
	RetryAfter time.Duration
	// Best is the id of the endpoint that would have been chosen, "" if none was
	// found; Running and Age say what was known of it, as in Choice.
	Best    string
	Running int
	Age     time.Duration
}

// Reasons of a refusal.
const (
	NoEndpoint  = "no_endpoint"
	Overloaded  = "overloaded"
	ColdOnly    = "cold_only"
	Unreachable = "unreachable"
	Limited     = "limited"
)

// Retry times for callers.
const (
	retrySoon = 300 * time.Millisecond
	// retryLater is for those who wait for a group to be formed. Callers with a few
	// seconds' patience come back within a third of it.
	retryLater = 2 * time.Second
)

// Usable reports whether an endpoint may get requests at all: it is ready, in
// a zone that is in service, and heads an open group where it is an engine's.
func Usable(service *fleet.Service, e *fleet.Endpoint, zonesOut map[string]bool) bool {
	if e.State != fleet.EndpointReady || zonesOut[e.Zone] {
		return false
	}
	return service.Engine == nil || e.Serves()
}

// candidate is one endpoint under consideration.
type candidate struct {
	endpoint  *fleet.Endpoint
	state     *State
	predicted time.Duration
	queued    time.Duration // of predicted, the wait for a place
	running   int
	score     time.Duration
	full      bool
}

// ChooseGroup chooses the group for a stream, or says why none is.
func (t *Tracker) ChooseGroup(now time.Time, heads []*fleet.Endpoint, zonesOut map[string]bool, ask Request) (Choice, *Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ask.bias = t.bias
	look := &search{ask: ask, now: now, zonesOut: zonesOut, weigh: ask.weigh}
	look.consider(t, heads, func(e *fleet.Endpoint) bool { return e.Zone == ask.Zone })
	near := look.best
	if near == nil || near.full || float64(near.predicted) > nearEnough*float64(ask.Objective) {
		t.lookedFar = now
		look.consider(t, heads, func(e *fleet.Endpoint) bool { return e.Zone != ask.Zone })
	}
	best := look.best
	if best == nil {
		return Choice{}, look.refusal()
	}
	if !ask.Resumed && float64(best.predicted) > refuseBeyond*float64(ask.Objective) {
		return Choice{}, refusalOfLate(now, best, ask)
	}
	return t.take(now, best, ask), nil
}

// search holds what a choice asks for and the best endpoint found so far.
type search struct {
	ask      Request
	now      time.Time
	zonesOut map[string]bool
	weigh    func(time.Time, *State, *fleet.Endpoint) candidate

	best   *candidate // nil or what chosen holds
	chosen candidate
	// Endpoints that fit but were passed by: in zones without room now, left
	// alone after failed connections, and too cold for one more.
	full, backedOff, cold int
	// limited counts those that take no more now by their own limit, limitedFor is
	// when the first of them does.
	limited    int
	limitedFor time.Duration
}

// consider weighs the usable ones among the endpoints that are wanted.
func (l *search) consider(t *Tracker, endpoints []*fleet.Endpoint, wanted func(*fleet.Endpoint) bool) {
	for _, e := range endpoints {
		if !wanted(e) || !Usable(&l.ask.Service, e, l.zonesOut) || l.ask.Tried[e.ID] {
			continue
		}
		if l.ask.Service.Engine != nil && e.Model() != l.ask.Model.Name {
			continue
		}
		s := t.state(e.ID, l.now)
		switch {
		case l.ask.ZonesFull[e.Zone] && !e.ColdAt(l.now):
			l.full++
		case l.now.Before(s.backoffUntil):
			l.backedOff++
		case !l.ask.admits(l.now, s, e):
			l.cold++
		default:
			l.offerWithin(s, e)
		}
	}
}

// offerWithin weighs an endpoint unless its limit keeps it from one more request.
func (l *search) offerWithin(s *State, e *fleet.Endpoint) {
	wait := l.ask.limitedFor(l.now, s)
	if wait <= 0 {
		l.offer(l.weigh(l.now, s, e))
		return
	}
	l.noteLimited(wait)
}

func (l *search) noteLimited(wait time.Duration) {
	if l.limited == 0 || wait < l.limitedFor {
		l.limitedFor = wait
	}
	l.limited++
}

// HasAlternative reports whether another endpoint could take a stream over now. One with a
// limit may give no permit, and a stream that was ended for it would be lost.
func (t *Tracker) HasAlternative(now time.Time, endpoints []*fleet.Endpoint, zonesOut map[string]bool, ask Request) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	look := &search{ask: ask, now: now, zonesOut: zonesOut, weigh: func(_ time.Time, s *State, e *fleet.Endpoint) candidate {
		return candidate{endpoint: e, state: s}
	}}
	look.consider(t, endpoints, func(e *fleet.Endpoint) bool { return !t.state(e.ID, now).limit.limit.Named })
	return look.best != nil
}

// refusal says why no endpoint was found. Where some were passed by, their
// callers may come back soon; where there is none, one has to come first.
func (l *search) refusal() *Refusal {
	switch {
	case l.cold > 0:
		return &Refusal{Reason: ColdOnly, RetryAfter: retrySoon}
	case l.limited > 0:
		return LimitedRefusal(l.limitedFor)
	case l.full > 0 && l.ask.LimitedFor > 0:
		return LimitedRefusal(l.ask.LimitedFor)
	case l.full > 0:
		return &Refusal{Reason: Overloaded, RetryAfter: l.ask.retryWhenFull(0)}
	case l.backedOff > 0:
		return &Refusal{Reason: Unreachable, RetryAfter: retrySoon}
	}
	return &Refusal{Reason: NoEndpoint, RetryAfter: retryLater}
}

// LimitedRefusal refuses a request for which endpoints have room within their limits
// after a wait.
func LimitedRefusal(wait time.Duration) *Refusal {
	return &Refusal{Reason: Limited, RetryAfter: min(max(wait, retrySoon), retryLater)}
}

// refusalOfLate refuses a stream that even the best group would serve late.
func refusalOfLate(now time.Time, best *candidate, ask Request) *Refusal {
	return &Refusal{
		Reason: Overloaded, Predicted: best.predicted, RetryAfter: ask.retryWhenFull(best.predicted - ask.Objective),
		Best: best.endpoint.ID, Running: best.running, Age: best.state.reportAge(now),
	}
}

// offer keeps a candidate that is better than the best so far.
func (l *search) offer(c candidate) {
	if l.best == nil || c.score < l.best.score || (c.score == l.best.score && rand.N(2) == 0) {
		l.chosen = c
		l.best = &l.chosen
	}
}

func (a Request) weigh(now time.Time, s *State, e *fleet.Endpoint) candidate {
	pace := NewPace(a.Service.Engine, a.Model, max(1, s.slowdown))
	c := candidate{endpoint: e, state: s}
	nodes := a.ZoneNodes
	switch {
	case e.Zone != a.Zone:
		nodes = a.Nodes
	case a.IsDispatcher:
		nodes = 1
	}
	known, unshared := s.others(now), s.unshared(now, nodes)
	others := known.With(unshared)
	running := s.runningWith(now, known) + unshared.Requests
	waiting := s.unstarted + others.Unstarted
	c.running = running
	c.queued = pace.placeTime(running+1, a.bias)
	c.predicted = pace.FirstEvent(running-waiting, s.unread+others.Unread, a.Prompt) + a.bias + c.queued
	c.score = c.predicted + pace.Pass(running+1, 0)
	c.full = a.Connections > 0 && s.own >= a.Connections
	if e.Zone != a.Zone {
		c.score += farPenalty
	}
	if c.full {
		c.predicted += time.Hour
		c.score += time.Hour
	}
	return c
}

func (t *Tracker) take(now time.Time, c *candidate, ask Request) Choice {
	if ask.Service.ColdPerSecond > 0 && c.endpoint.ColdAt(now) {
		share := ask.coldShare(c.endpoint)
		c.state.cold.take(now, share/2, share/2)
	}
	return Choice{
		Endpoint: c.endpoint, Attempt: t.visit(now, c.state, ask.Prompt, c.predicted, c.queued),
		Predicted: c.predicted, Expected: ask.longest(c), Running: c.running, Age: c.state.reportAge(now),
		Permitted: !c.state.limit.limit.Named,
	}
}
