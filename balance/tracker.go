package balance

import (
	"sync"
	"time"

	"redwinghall/fleet"
)

// What is remembered of an endpoint, and for how long.
const (
	// loadTrust is how long an endpoint's own count of its load is used.
	loadTrust = 2 * time.Second
	// shareTrust is how long the loads that other nodes of the zone share are
	// used; it outlasts a few of their messages that are lost.
	shareTrust = 600 * time.Millisecond
	// zonesTrust is the same of the other zones, which share theirs less often.
	zonesTrust = 1500 * time.Millisecond
	// farInterest is how long after a look at groups of other zones this node
	// wants to hear of their loads.
	farInterest = 3 * time.Second
	// smoothing is the weight of one new observation in a mean.
	smoothing = 0.15
	// backoffFirst is how long an endpoint that refused a connection is left
	// alone; it doubles up to backoffLongest, so that one request in a while
	// finds out whether it is back.
	backoffFirst   = 400 * time.Millisecond
	backoffLongest = 3 * time.Second
	// forgetAfter drops what is known of an endpoint without an entry. A limit is kept
	// longer, as it holds until the endpoint says something else.
	forgetAfter      = 30 * time.Second
	forgetLimitAfter = 10 * time.Minute
)

// State is what this node knows of one endpoint. The tracker's lock guards it.
type State struct {
	id        string
	own       int // requests of this node that are there
	unstarted int // of these, streams without a first event
	unread    int // prompt tokens of the unstarted
	// reported is the endpoint's own count at reportedAt, ownAtReport this
	// node's part of it.
	reported    int
	ownAtReport int
	reportedAt  time.Time

	shared   Load // what other nodes of the zone have
	sharedAt time.Time
	zones    Load // what the nodes of other zones have
	zonesAt  time.Time
	sent     recent // what this node sent
	reserved []reservation

	lastEvent time.Time // of any stream
	// waitingSince is when this node began to wait for an event without a break.
	waitingSince time.Time
	slowdown     float64 // observed pace against the declared one
	latency      time.Duration
	failures     float64 // smoothed share of failed requests

	backoffUntil time.Time
	backoff      time.Duration
	complaints   []complaint
	usedAt       time.Time
	cold         bucket
	limit        limitState
}

// Tracker keeps the states of all endpoints.
type Tracker struct {
	// Tickets number what this node asks its zone's dispatcher.
	Tickets Tickets

	mu     sync.Mutex
	states map[string]*State
	// lookedFar is when a group of another zone was last considered.
	lookedFar time.Time
	// anyLimit says that an endpoint has named a limit.
	anyLimit bool
	// bias is how much later than predicted first events come: what the pace
	// doesn't describe, as the way to the endpoint and its own start-up.
	bias time.Duration
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker { return &Tracker{states: map[string]*State{}} }

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

// Forget drops states that were not used for long. Call it now and then.
func (t *Tracker) Forget(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range t.states {
		after := forgetAfter
		if s.limit.limit.Named {
			after = forgetLimitAfter
		}
		if s.own == 0 && now.Sub(s.usedAt) > after {
			delete(t.states, id)
		}
	}
}

// running estimates how many requests an endpoint has, from its last report and
// from what this node sent and finished since, and from what the other nodes
// of the zone say that they have.
func (s *State) running(now time.Time) int { return s.runningWith(now, s.others(now)) }

// runningWith is the same with what others have.
func (s *State) runningWith(now time.Time, others Load) int {
	count := s.own + others.Requests
	if s.reportedAt.IsZero() || now.Sub(s.reportedAt) > loadTrust {
		return count
	}
	return max(count, s.reported+s.own-s.ownAtReport)
}

// others returns what other nodes have at the endpoint, as far as known.
func (s *State) others(now time.Time) Load {
	sum := s.reservedLoad(now)
	if now.Sub(s.sharedAt) <= shareTrust {
		sum = sum.With(s.shared)
	}
	if now.Sub(s.zonesAt) <= zonesTrust {
		sum = sum.With(s.zones)
	}
	return sum
}

// reportAge returns how old the newest report of the endpoint's load is, from
// itself or other nodes; negative if there was none.
func (s *State) reportAge(now time.Time) time.Duration {
	newest := s.reportedAt
	if s.sharedAt.After(newest) {
		newest = s.sharedAt
	}
	if newest.IsZero() {
		return -1
	}
	return now.Sub(newest)
}

// MarkUnreachable notes that an endpoint didn't take a connection, or that nothing
// moves there: it gets no request for a while.
func (t *Tracker) MarkUnreachable(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state(id, now).backOff(now)
}

// backOff leaves the endpoint alone, longer each time. The lock is held.
func (s *State) backOff(now time.Time) {
	if now.Before(s.backoffUntil) {
		return
	}
	s.backoff = min(max(2*s.backoff, backoffFirst), backoffLongest)
	s.backoffUntil = now.Add(s.backoff)
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

// Snapshot is what the tracker thinks of one endpoint, for logs.
type Snapshot struct {
	Own, Running, Unread int
	Slowdown             float64
	BackedOff            bool
}

// Snapshot returns what is known of an endpoint.
func (t *Tracker) Snapshot(now time.Time, e *fleet.Endpoint) Snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(e.ID, now)
	return Snapshot{Own: s.own, Running: s.running(now), Unread: s.unread, Slowdown: s.slowdown, BackedOff: now.Before(s.backoffUntil)}
}

// slowFactor is how many times slower than declared a group must work, as
// observed, to be worth a look at its members.
const slowFactor = 2.5

// SlowEndpoints returns the endpoints that work much slower than they should.
func (t *Tracker) SlowEndpoints(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var slow []string
	for id, s := range t.states {
		if s.own > 0 && s.slowdown > slowFactor && now.Sub(s.lastEvent) < loadTrust {
			slow = append(slow, id)
		}
	}
	return slow
}

// movesFor is how long after an event a group counts as moving.
const movesFor = time.Second

// Progressing reports whether this node saw an event of an endpoint lately.
func (t *Tracker) Progressing(now time.Time, id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.states[id]
	return ok && now.Sub(s.lastEvent) < movesFor
}
