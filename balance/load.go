package balance

import (
	"math"
	"time"
)

// Load is how much a node has at one endpoint.
type Load struct {
	Requests  int
	Unstarted int // of these, streams without a first event
	Unread    int // prompt tokens of the unstarted
}

// With returns the sum of two loads.
func (l Load) With(more Load) Load {
	return Load{Requests: l.Requests + more.Requests, Unstarted: l.Unstarted + more.Unstarted, Unread: l.Unread + more.Unread}
}

// recent counts what this node sent to an endpoint lately, fading with time.
type recent struct {
	requests, tokens float64
	at               time.Time
}

// shareLag is how old the shared loads of other nodes are, on average over
// those of this zone and of others.
const shareLag = 150 * time.Millisecond

// faded returns the counts as of now.
func (r recent) faded(now time.Time) recent {
	if r.at.IsZero() {
		return recent{at: now}
	}
	left := math.Exp(-now.Sub(r.at).Seconds() / shareLag.Seconds())
	return recent{requests: r.requests * left, tokens: r.tokens * left, at: now}
}

// With returns the counts after one more request.
func (r recent) With(now time.Time, tokens int) recent {
	next := r.faded(now)
	next.requests++
	next.tokens += float64(tokens)
	return next
}

// unshared estimates what other nodes sent to an endpoint but have not shared
// yet: each as much as this node did.
//
// Guard: when a group opens, or one is emptier than the others, all nodes see
// that at the same moment, and each sends what the group could bear alone. Its
// prompts are then read one after the other, and all of them are late.
func (s *State) unshared(now time.Time, nodes int) Load {
	if nodes <= 1 || s.sent.at.IsZero() {
		return Load{}
	}
	r := s.sent.faded(now)
	others := float64(max(0, nodes-1))
	n := int(others*r.requests + 0.5)
	return Load{Requests: n, Unstarted: n, Unread: int(others * r.tokens)}
}

// OwnLoads returns what this node has at each endpoint, and what it has promised
// to others there.
func (t *Tracker) OwnLoads(now time.Time) map[string]Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := map[string]Load{}
	for id, s := range t.states {
		load := Load{Requests: s.own, Unstarted: s.unstarted, Unread: s.unread}.With(s.reservedLoad(now))
		if load.Requests > 0 {
			own[id] = load
		}
	}
	return own
}

// SetOwnZoneLoads takes in what the other nodes of the zone have.
func (t *Tracker) SetOwnZoneLoads(now time.Time, loads map[string]Load) {
	t.setLoads(now, loads, func(s *State, load Load) { s.shared, s.sharedAt = load, now })
}

// SetOtherZoneLoads takes in what the nodes of the other zones have.
func (t *Tracker) SetOtherZoneLoads(now time.Time, loads map[string]Load) {
	t.setLoads(now, loads, func(s *State, load Load) { s.zones, s.zonesAt = load, now })
}

// ConsidersOtherZones reports whether this node lately considered groups of other zones.
func (t *Tracker) ConsidersOtherZones(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.lookedFar) < farInterest
}

// setLoads sets the load of each endpoint that is known or named.
func (t *Tracker) setLoads(now time.Time, loads map[string]Load, set func(*State, Load)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range t.states {
		set(s, loads[id])
	}
	for id, load := range loads {
		set(t.state(id, now), load)
	}
}
