package balance

import (
	"math/rand/v2"
	"time"

	"redwinghall"
	"redwinghall/fleet"
)

// Thresholds for choosing and refusing.
const (
	// ownZoneThreshold is the share of the objective up to which a group of the
	// caller's own zone is chosen without considering the other zones: traffic
	// between zones is costly, and the loads that other zones share are older.
	ownZoneThreshold = 0.9
	// otherZonePenalty is how much faster a group of another zone has to be:
	// traffic between zones is costly, and several nodes may choose the same group
	// before they have shared their loads.
	otherZonePenalty = 60 * time.Millisecond
	// refusalFactor times the objective is the longest predicted time to the first
	// event with which a request is accepted. A request that would be late occupies a
	// slot that another one could use in time.
	refusalFactor = 1.1
)

// Request describes a request for which an endpoint is chosen, with this node's
// share of the limits that apply to it.
type Request struct {
	Service fleet.Service
	Model   fleet.Model // for a stream of an engine
	Zone    string      // of this node and so of the caller
	Prompt  int         // tokens
	// Answer is the most tokens that the answer may have, 0 if unknown.
	Answer int
	// ExpectedAnswer is the expected length of the answer in tokens, 0 if unknown.
	ExpectedAnswer int
	// Urgency orders requests where room is short; 0 is the most urgent.
	Urgency int
	// Account is the client account, "" if the request has none.
	Account   string
	Objective time.Duration
	// Tried holds the endpoints that the request has already been sent to.
	Tried map[string]bool
	// Node is this node's name.
	Node string
	// ColdRateOwnZone and ColdRateOtherZones are the most requests that this node
	// may send in any second to a cold endpoint of its own or of another zone.
	// Below 2, some of the nodes send 2 and the others none.
	ColdRateOwnZone, ColdRateOtherZones float64
	// Nodes is the number of all nodes, ZoneNodes that of this zone's nodes.
	Nodes, ZoneNodes int
	// IsDispatcher reports whether this node chooses for all nodes of its zone, and
	// so has counted what they send.
	IsDispatcher bool
	// ZonesFull holds the zones that reported that they can't serve the stream in
	// time. It excludes only their warm groups: zones don't offer cold ones.
	ZonesFull map[string]bool
	// Resumed reports whether the stream was started at another group. It is worth
	// finishing late, so it isn't refused for a late prediction.
	Resumed bool
	// Connections is how many connections an endpoint accepts from all nodes together; 0 means no limit.
	Connections int
	// PermitShare is the part of an endpoint's rate limit that this node issues as
	// permits, 0 if it doesn't choose for other nodes.
	PermitShare float64
	// ForOtherNode reports whether the choice is for another node, which a Retry-After
	// sent to this node doesn't bind.
	ForOtherNode bool
	// LimitedFor is how long the caller's zone can't accept another request because of
	// its endpoints' rate limits, 0 if it can.
	LimitedFor time.Duration

	// Kept is the number of places at the groups of this zone that are kept for other
	// requests, Promised reports whether one is kept for this request.
	Kept     int
	Promised bool

	bias   time.Duration // observed error of predictions
	random *rand.Rand    // guarded by the tracker's lock
	// timesOwnZone and timesAllZones are how many times what this node sends the other nodes of its
	// zone, or those of all zones, send.
	timesOwnZone, timesAllZones float64
}

// WithZoneFull returns the request with the warm groups of a zone excluded.
func (r Request) WithZoneFull(zone string) Request {
	full := map[string]bool{zone: true}
	for one := range r.ZonesFull {
		full[one] = true
	}
	r.ZonesFull = full
	return r
}

// WithOnlyZone returns the request with the warm groups of all zones excluded,
// except those of one other zone.
func (r Request) WithOnlyZone(heads []*fleet.Endpoint, only string) Request {
	full := map[string]bool{r.Zone: true}
	for _, e := range heads {
		if e.Zone != only {
			full[e.Zone] = true
		}
	}
	r.ZonesFull = full
	return r
}

// Choice is the endpoint chosen for a request, with the data that the choice is
// based on.
type Choice struct {
	Endpoint *fleet.Endpoint
	Attempt  *Attempt
	// Predicted is the predicted time to the first event, or to the answer of a
	// plain service.
	Predicted time.Duration
	// Expected is the predicted time to the end of the longest answer that a stream
	// of an engine may get, 0 if unknown.
	Expected time.Duration
	Running  int
	// Age is the age of the newest report of the endpoint's load, negative if there
	// is none.
	Age time.Duration
	// Permitted reports whether the endpoint's rate limit allows the request.
	Permitted bool
}

// WithPermit returns the choice with Permitted set.
func (c Choice) WithPermit(permitted bool) Choice {
	c.Permitted = permitted
	return c
}

// Usable reports whether an endpoint may get requests at all: it is ready, its
// zone is in service, and, if it belongs to an engine, it heads an open group.
func Usable(service *fleet.Service, e *fleet.Endpoint, zonesOut map[string]bool) bool {
	if e.State != fleet.EndpointReady || zonesOut[e.Zone] {
		return false
	}
	return service.Engine == nil || e.Serves()
}

// candidate is an endpoint under consideration.
type candidate struct {
	endpoint  *fleet.Endpoint
	state     *State
	predicted time.Duration
	queued    time.Duration // the part of predicted spent waiting for a slot
	likely    time.Duration // predicted with the likely load of other nodes; predicted counts all that they may have
	running   int
	score     time.Duration
	full      bool    // this node may open no further connection there
	retest    *retest // nil unless the request is sent to learn whether the endpoint is fast again
}

// ChooseGroup chooses the group for a stream, or returns the reason why there is
// none.
func (t *Tracker) ChooseGroup(now time.Time, heads []*fleet.Endpoint, zonesOut map[string]bool, request Request) (Choice, *Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	request = t.prepare(now, request)
	l := t.newLookup(now, zonesOut, request, request.evaluateGroup)
	latest := latestStart(request.Objective)
	l.consider(t, heads, func(e *fleet.Endpoint) bool { return e.Zone == request.Zone })
	own, groups := l.chosen, l.evaluated
	limit := t.roomLimit(l, latest)
	if limit != nil || l.leavesKept(t, heads) {
		l.best = nil
	}
	if l.best == nil || own.full || float64(own.predicted) > ownZoneThreshold*float64(request.Objective) {
		t.otherZonesConsideredAt = now
		l.consider(t, heads, func(e *fleet.Endpoint) bool { return e.Zone != request.Zone })
	}
	best := l.best
	if groups > 0 && len(request.ZonesFull) == 0 { // otherwise it was recorded before
		t.recordRoom(l, &own, groups, best != nil && best.endpoint.Zone == request.Zone && best.predicted <= latest)
	}
	switch {
	case best == nil && limit != nil:
		return Choice{}, limitRefusal(now, &own, request, *limit)
	case best == nil:
		return Choice{}, l.refusal()
	}
	best, refused := t.inTime(now, best, request, latest)
	if refused != nil {
		return Choice{}, refused
	}
	return t.startChosen(now, best, request), nil
}

// inTime returns the best candidate of a stream if it is in time, or if the stream is worth a
// test whether its group is fast again; otherwise the refusal. The lock is held.
//
// Streams spread over groups by all that other nodes may have sent, but where nothing decides
// who gets room they are refused by what is likely there.
func (t *Tracker) inTime(now time.Time, best *candidate, request Request, latest time.Duration) (*candidate, *Refusal) {
	if request.Resumed || best.predicted <= latest {
		return best, nil
	}
	if best.likely <= latest && t.admissionOf(request) == nil {
		best.predicted = best.likely
		return best, nil
	}
	if again := t.tryAgain(now, best, request, latest, Request.evaluateGroup); again != nil {
		return again, nil
	}
	return nil, lateRefusal(now, best, request)
}

// latestStart returns the latest predicted time to the first event, or to the answer of a plain
// service, with which a request is accepted.
func latestStart(objective time.Duration) time.Duration {
	return time.Duration(refusalFactor * float64(objective))
}

// lookup is the state of one choice: the request and the best endpoint found so
// far.
type lookup struct {
	request  Request
	now      time.Time
	zonesOut map[string]bool
	evaluate func(time.Time, *State, *fleet.Endpoint) candidate

	best   *candidate // nil or &chosen, which saves an allocation
	chosen candidate
	// evaluated counts the endpoints that may serve the request.
	evaluated int
	// admission decides who gets room, nil if nothing does; candidates holds the endpoints
	// that may serve the request if something does.
	admission  redwinghall.Admission
	candidates []candidate
	// Numbers of suitable endpoints that were skipped: in full zones, in backoff
	// after failed connections, and cold with no request left in their rate.
	full, backedOff, cold int
	// limited counts endpoints whose rate limit allows no further request now,
	// limitedFor is the shortest wait for one of them.
	limited    int
	limitedFor time.Duration
	// rejecting counts endpoints within their Retry-After, rejectingFor is the shortest
	// time left of one.
	rejecting    int
	rejectingFor time.Duration
}

// consider evaluates the usable endpoints among those that wanted selects.
func (l *lookup) consider(t *Tracker, endpoints []*fleet.Endpoint, wanted func(*fleet.Endpoint) bool) {
	for _, e := range endpoints {
		if !wanted(e) || !Usable(&l.request.Service, e, l.zonesOut) {
			continue
		}
		if l.request.Service.Engine != nil && e.Model() != l.request.Model.Name {
			continue
		}
		s := t.state(e.ID, l.now)
		if s.leaving.appliesTo(e.StartedMillis) {
			continue
		}
		wait := l.request.retryAfterLeft(l.now, s, e)
		switch {
		case wait > 0:
			l.recordRejecting(wait)
		case l.request.Tried[e.ID]:
		case l.request.ZonesFull[e.Zone] && !e.ColdAt(l.now):
			l.full++
		case l.now.Before(s.backoffUntil):
			l.backedOff++
		case !l.request.admitsCold(l.now, s, e):
			l.cold++
		default:
			l.offerWithinLimit(s, e)
		}
	}
}

// offerWithinLimit evaluates an endpoint unless its rate limit allows no further
// request now.
func (l *lookup) offerWithinLimit(s *State, e *fleet.Endpoint) {
	wait := l.request.limitedFor(l.now, s)
	if wait <= 0 {
		l.offer(l.evaluate(l.now, s, e))
		return
	}
	l.recordLimited(wait)
}

func (l *lookup) recordLimited(wait time.Duration) {
	if l.limited == 0 || wait < l.limitedFor {
		l.limitedFor = wait
	}
	l.limited++
}

func (l *lookup) recordRejecting(wait time.Duration) {
	if l.rejecting == 0 || wait < l.rejectingFor {
		l.rejectingFor = wait
	}
	l.rejecting++
}

// HasAlternative reports whether another endpoint could take over a stream now. It
// leaves out endpoints with a rate limit: the permit may be denied, and a stream
// ended to move there would be lost.
func (t *Tracker) HasAlternative(now time.Time, endpoints []*fleet.Endpoint, zonesOut map[string]bool, request Request) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := &lookup{request: t.prepare(now, request), now: now, zonesOut: zonesOut, evaluate: evaluateNothing}
	l.consider(t, endpoints, func(e *fleet.Endpoint) bool { return !t.state(e.ID, now).limit.limit.Named })
	return l.best != nil
}

// RefusalWithinRetryAfters returns the refusal of a request if all endpoints asked this node
// to send nothing for some time, and nil otherwise. Endpoints that already tried the
// request count too.
func (t *Tracker) RefusalWithinRetryAfters(now time.Time, endpoints []*fleet.Endpoint, zonesOut map[string]bool, request Request) *Refusal {
	t.mu.Lock()
	defer t.mu.Unlock()
	request.Tried = nil
	l := &lookup{request: t.prepare(now, request), now: now, zonesOut: zonesOut, evaluate: evaluateNothing}
	l.consider(t, endpoints, func(*fleet.Endpoint) bool { return true })
	if l.best != nil {
		return nil
	}
	if refusal := l.refusal(); refusal.Reason == EndpointsRejecting {
		return refusal
	}
	return nil
}

// evaluateNothing makes a lookup find out only whether there is a candidate.
func evaluateNothing(_ time.Time, s *State, e *fleet.Endpoint) candidate {
	return candidate{endpoint: e, state: s}
}

// offer keeps a candidate that scores better than the best so far; ties are broken
// at random.
func (l *lookup) offer(c candidate) {
	l.evaluated++
	if l.admission != nil {
		l.candidates = append(l.candidates, c)
	}
	if l.best == nil || c.score < l.best.score || (c.score == l.best.score && l.request.random.IntN(2) == 0) {
		l.chosen = c
		l.best = &l.chosen
	}
}

func (r Request) evaluateGroup(now time.Time, s *State, e *fleet.Endpoint) candidate {
	pace := NewPace(r.Service.Engine, r.Model, max(1, s.slowdown))
	c := candidate{endpoint: e, state: s}
	times := r.timesOwnZone
	switch {
	case e.Zone != r.Zone:
		times = r.timesAllZones
	case r.IsDispatcher:
		times = 0
	}
	known, unshared := s.others(now), s.unsharedLoad(now, times)
	c.likely = c.predict(now, r, pace, known, s.likelyUnshared(unshared, known, times))
	c.predicted = c.predict(now, r, pace, known, unshared)
	c.score = c.predicted + pace.Pass(c.running+1, 0)
	c.full = r.isFull(now, s)
	if e.Zone != r.Zone {
		c.score += otherZonePenalty
	}
	c.score += r.rejectingPenalty(now, s) + r.stillPenalty(now, s)
	if c.full {
		c.predicted += time.Hour
		c.likely += time.Hour
		c.score += time.Hour
	}
	return c
}

// predict predicts the first event of a stream in a group where other nodes have some known
// and some unshared load, and sets the number of requests there.
func (c *candidate) predict(now time.Time, r Request, pace Pace, known, unshared Load) time.Duration {
	s, others := c.state, known.With(unshared)
	c.running = s.runningWith(now, known) + unshared.Requests
	c.queued = pace.slotWait(c.running+1, r.bias)
	waiting := s.unstarted + others.Unstarted
	return pace.FirstEvent(c.running-waiting, s.unread+others.Unread, r.Prompt) + r.bias + c.queued
}

func (t *Tracker) startChosen(now time.Time, c *candidate, request Request) Choice {
	if request.Service.ColdPerSecond > 0 && c.endpoint.ColdAt(now) {
		share := request.coldShare(c.endpoint)
		c.state.cold.take(now, share/2, share/2)
	}
	return Choice{
		Endpoint: c.endpoint, Attempt: t.startAttempt(now, c, request),
		Predicted: c.predicted, Expected: request.longestAnswer(c), Running: c.running, Age: c.state.reportAge(now),
		Permitted: !c.state.limit.limit.Named,
	}
}
