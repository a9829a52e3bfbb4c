package balance

import (
	"math/rand/v2"
	"sync"
	"time"

	"redwinghall"
	"redwinghall/fleet"
	"redwinghall/kernel"
)

// How long the data about an endpoint is used and kept.
const (
	// reportTTL is how long an endpoint's own report of its load is used.
	reportTTL = 2 * time.Second
	// ownZoneLoadTTL is how long the loads that other nodes of the zone share are
	// used; it outlasts a few lost messages.
	ownZoneLoadTTL = 600 * time.Millisecond
	// otherZoneLoadTTL is the same for other zones, which share theirs less often.
	otherZoneLoadTTL = 1500 * time.Millisecond
	// otherZonesInterest is how long after considering groups of other zones this
	// node still requests their loads.
	otherZonesInterest = 3 * time.Second
	// smoothing is the weight of a new observation in an exponential moving average.
	smoothing = 0.15
	// minBackoff is the first backoff of an endpoint that refused a connection. It
	// doubles up to maxBackoff, so that an occasional request finds out whether the
	// endpoint is back.
	minBackoff = 400 * time.Millisecond
	maxBackoff = 3 * time.Second
	// forgetAfter is how long the state of an unused endpoint is kept. What the
	// endpoint itself stated, its rate limit or that it leaves, is kept longer, as it
	// holds until the endpoint states something else or its process ends.
	forgetAfter          = 30 * time.Second
	forgetStatementAfter = 10 * time.Minute
)

// State is this node's data about one endpoint. The tracker's lock guards it.
type State struct {
	id        string
	own       int // requests of this node in progress there
	unstarted int // of these, streams without a first event
	unread    int // prompt tokens of the unstarted streams
	// reported is the number of requests that the endpoint reported at reportedAt,
	// ownAtReport this node's part of it.
	reported    int
	ownAtReport int
	reportedAt  time.Time

	ownZoneLoad     Load // what other nodes of the zone have
	ownZoneLoadAt   time.Time
	otherZoneLoad   Load // what the nodes of other zones have
	otherZoneLoadAt time.Time
	sent            recentRequests // what this node sent
	reserved        []reservation

	lastEvent time.Time // of any stream
	// waitingSince is the start of the current wait for an event, zero if this node
	// has no request there.
	waitingSince time.Time
	slowdown     float64 // observed pause between events over the predicted one, smoothed
	latency      time.Duration
	failures     float64 // smoothed share of failed requests
	// learnedAt is when an answer or an event last changed one of these.
	learnedAt time.Time

	backoffUntil time.Time
	backoff      time.Duration
	// unverified means that no other node has confirmed yet that the endpoint doesn't
	// answer: the fault may be this node's path to it.
	unverified     bool
	failureReports []failureReport
	usedAt         time.Time
	cold           bucket
	limit          limitState
	retryAfter     retryAfter
	leaving        leaving
	// rejectingUntil is until when the endpoint counts as rejecting other nodes of this
	// zone, by their reports; rejectingElsewhereUntil is the same by what other zones and
	// the collecting node of this zone passed on.
	rejectingUntil, rejectingElsewhereUntil time.Time
	// stillUntil is until when no node of the zone is known to get events from the endpoint.
	stillUntil time.Time
}

// Tracker keeps the state of all endpoints.
type Tracker struct {
	// Tickets numbers the requests of this node to its zone's dispatcher.
	Tickets Tickets
	// Admission returns what decides who gets the room of a service while there is too
	// little of it, nil if nothing does. It has to be set before the tracker is used.
	Admission func(service string) redwinghall.Admission
	// Random breaks ties and spreads times. It may be replaced before the tracker is used, so
	// that what happens to callers can be repeated.
	Random *rand.Rand

	runTime func(from, to time.Time) time.Duration

	mu     sync.Mutex
	states map[string]*State
	totals totals
	// models holds a summary of the requests of each model.
	models map[requestKind]*modelState
	// candidates is memory that each lookup uses again.
	candidates []candidate
	// answers holds the mean length of the answers of each kind, in tokens.
	answers map[requestKind]float64
	// otherZonesConsideredAt is when a group of another zone was last considered.
	otherZonesConsideredAt time.Time
	// anyLimit reports whether any endpoint has reported a limit.
	anyLimit bool
	// answeredAt is when any endpoint last sent this node something.
	answeredAt time.Time
	// bias is how much later than predicted first events come. It covers what Pace
	// doesn't model, such as the network and the endpoint's preparation of a request.
	bias   time.Duration
	biasAt time.Time // when it last changed
}

// NewTracker returns an empty tracker. It measures endpoints by the time for which this process
// runs: after a pause, sound ones would look slow or silent.
func NewTracker() *Tracker { return NewTrackerWithRunTime(kernel.RunTime) }

// NewTrackerWithRunTime returns an empty tracker. runTime returns for how long the process ran in a
// span of time.
func NewTrackerWithRunTime(runTime func(from, to time.Time) time.Duration) *Tracker {
	return &Tracker{
		Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), //nolint:gosec // no secret
		states: map[string]*State{}, answers: map[requestKind]float64{}, models: map[requestKind]*modelState{}, runTime: runTime,
	}
}

// state returns an endpoint's state. The lock is held.
func (t *Tracker) state(id string, now time.Time) *State {
	s, ok := t.states[id]
	if !ok {
		s = &State{id: id, slowdown: 1}
		t.states[id] = s
	}
	s.usedAt = now
	return s
}

// Forget drops the state of endpoints that haven't been used for long. It has to be
// called periodically.
func (t *Tracker) Forget(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range t.states {
		after := forgetAfter
		if s.limit.limit.Named || !s.leaving.learnedAt.IsZero() {
			after = forgetStatementAfter
		}
		if s.own == 0 && now.Sub(s.usedAt) > after && !now.Before(s.retryAfter.until) {
			delete(t.states, id)
		}
	}
}

// running estimates how many requests an endpoint has, from its last report, from
// what this node sent and finished since, and from the loads that other nodes share.
func (s *State) running(now time.Time) int { return s.runningWith(now, s.others(now)) }

// runningWith is running with the loads of other nodes given.
func (s *State) runningWith(now time.Time, others Load) int {
	count := s.own + others.Requests
	if s.reportedAt.IsZero() || now.Sub(s.reportedAt) > reportTTL {
		return count
	}
	return max(count, s.reported+s.own-s.ownAtReport)
}

// others returns the load that other nodes shared for the endpoint, plus the
// reservations there.
func (s *State) others(now time.Time) Load {
	sum := s.reservedLoad(now)
	if now.Sub(s.ownZoneLoadAt) <= ownZoneLoadTTL {
		sum = sum.With(s.ownZoneLoad)
	}
	if now.Sub(s.otherZoneLoadAt) <= otherZoneLoadTTL {
		sum = sum.With(s.otherZoneLoad)
	}
	return sum
}

// reportAge returns the age of the newest report of the endpoint's load, by the
// endpoint or other nodes of the zone; negative if there is none.
func (s *State) reportAge(now time.Time) time.Duration {
	newest := s.reportedAt
	if s.ownZoneLoadAt.After(newest) {
		newest = s.ownZoneLoadAt
	}
	if newest.IsZero() {
		return -1
	}
	return now.Sub(newest)
}

// MarkUnreachable records that an endpoint refused a connection or makes no
// progress. It gets no requests during the backoff.
func (t *Tracker) MarkUnreachable(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(id, now)
	s.backOff(now)
	s.unverified = false
}

// MarkUnreached is MarkUnreachable for an endpoint that only this node is known not to
// reach.
func (t *Tracker) MarkUnreached(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(id, now)
	s.unverified = s.unverified || !now.Before(s.backoffUntil)
	s.backOff(now)
}

// EndBackoff ends the backoff of an endpoint that other nodes reach.
func (t *Tracker) EndBackoff(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.states[id]; ok {
		s.backoff, s.backoffUntil, s.unverified = 0, time.Time{}, false
	}
}

// AllInBackoff reports whether each of some endpoints is in backoff; false if there are none.
func (t *Tracker) AllInBackoff(now time.Time, endpoints []*fleet.Endpoint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range endpoints {
		if s, ok := t.states[e.ID]; !ok || !now.Before(s.backoffUntil) {
			return false
		}
	}
	return len(endpoints) > 0
}

// backOff starts a backoff, twice as long as the previous one, unless one is
// active. The lock is held.
func (s *State) backOff(now time.Time) {
	if now.Before(s.backoffUntil) {
		return
	}
	s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
	s.backoffUntil = now.Add(s.backoff)
}

// SinceAnswer returns how long ago any endpoint last sent this node something, negative if
// none has.
func (t *Tracker) SinceAnswer(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.answeredAt.IsZero() {
		return -1
	}
	return now.Sub(t.answeredAt)
}

// Running estimates how many requests an endpoint has.
func (t *Tracker) Running(now time.Time, id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.states[id]; ok {
		return s.running(now)
	}
	return 0
}

// Snapshot is the tracker's state of one endpoint, for logs.
type Snapshot struct {
	Own, Running, Unread int
	Slowdown             float64
	InBackoff            bool
}

// Snapshot returns the state of an endpoint.
func (t *Tracker) Snapshot(now time.Time, e *fleet.Endpoint) Snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(e.ID, now)
	return Snapshot{Own: s.own, Running: s.running(now), Unread: s.unread, Slowdown: s.slowdown, InBackoff: now.Before(s.backoffUntil)}
}

// slowFactor is the observed slowdown of a group above which its members should be
// checked.
const slowFactor = 2.5

// SlowEndpoints returns the ids of endpoints that are slower than declared by more
// than slowFactor.
func (t *Tracker) SlowEndpoints(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var slow []string
	for id, s := range t.states {
		if s.own > 0 && s.slowdown > slowFactor && t.runTime(s.lastEvent, now) < reportTTL {
			slow = append(slow, id)
		}
	}
	return slow
}

// progressWindow is how long after an event a group counts as progressing.
const progressWindow = time.Second

// Progressing reports whether this node got an event from an endpoint within
// progressWindow.
func (t *Tracker) Progressing(now time.Time, id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.states[id]
	return ok && t.runTime(s.lastEvent, now) < progressWindow
}
