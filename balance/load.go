package balance

import (
	"math"
	"time"

	"redwinghall/fleet"
)

// Load is the load that a node has in progress at one endpoint.
type Load struct {
	Requests  int
	Unstarted int // of these, streams without a first event
	Unread    int // prompt tokens of the unstarted streams
}

// With returns the sum of two loads.
func (l Load) With(more Load) Load {
	return Load{Requests: l.Requests + more.Requests, Unstarted: l.Unstarted + more.Unstarted, Unread: l.Unread + more.Unread}
}

// Without returns the difference of two loads.
func (l Load) Without(less Load) Load {
	return Load{Requests: l.Requests - less.Requests, Unstarted: l.Unstarted - less.Unstarted, Unread: l.Unread - less.Unread}
}

// recentRequests counts what this node recently sent to an endpoint, with
// exponential decay.
type recentRequests struct {
	requests, tokens float64
	at               time.Time
}

// shareLag is the mean age of the shared loads of other nodes, over those of this
// zone and of other zones.
const shareLag = 150 * time.Millisecond

// decayed returns the counts as of now.
func (r recentRequests) decayed(now time.Time) recentRequests {
	if r.at.IsZero() {
		return recentRequests{at: now}
	}
	left := math.Exp(-now.Sub(r.at).Seconds() / shareLag.Seconds())
	return recentRequests{requests: r.requests * left, tokens: r.tokens * left, at: now}
}

// With returns the counts after one more request.
func (r recentRequests) With(now time.Time, tokens int) recentRequests {
	next := r.decayed(now)
	next.requests++
	next.tokens += float64(tokens)
	return next
}

// unsharedLoad estimates the load that other nodes sent to an endpoint but have not
// shared yet: times what this node sent.
//
// When a group opens, or one is emptier than the others, all nodes see that at the
// same time, and each sends as much as the group could handle from one node. The
// prompts are then read one after the other, and all of them are late.
func (s *State) unsharedLoad(now time.Time, times float64) Load {
	if times <= 0 || s.sent.at.IsZero() {
		return Load{}
	}
	r := s.sent.decayed(now)
	n := int(times*r.requests + 0.5)
	return Load{Requests: n, Unstarted: n, Unread: int(times * r.tokens)}
}

// likelyUnshared returns the part of the unshared load that is there if the other nodes
// have times what this node has in progress at the endpoint, of which they shared known.
//
// What they sent lately replaces streams that ended. Where streams are short, it would
// count several times over in addition to what they shared.
func (s *State) likelyUnshared(unshared, known Load, times float64) Load {
	missing := max(0, int(times*float64(s.own)+0.5)-known.Requests)
	if unshared.Requests <= missing {
		return unshared
	}
	return Load{Requests: missing, Unstarted: missing, Unread: unshared.Unread / unshared.Requests * missing}
}

// OwnLoads returns the load of this node at each endpoint, including what it has
// reserved there for others.
func (t *Tracker) OwnLoads(now time.Time) map[string]Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := map[string]Load{}
	for id, s := range t.states {
		if load := s.ownLoad(now); load.Requests > 0 {
			own[id] = load
		}
	}
	return own
}

// ownLoad returns the load of this node at the endpoint, including what it has reserved
// there for others.
func (s *State) ownLoad(now time.Time) Load {
	return Load{Requests: s.own, Unstarted: s.unstarted, Unread: s.unread}.With(s.reservedLoad(now))
}

// Settle applies what a node of this zone said about its streams at the heads of a
// model: by how much its loads there change, and which of its tickets are settled.
//
// A stream that ended counts until its node says so. Reports are late while the node is
// short of processor, and callers would be refused while places are free.
func (t *Tracker) Settle(now time.Time, heads []*fleet.Endpoint, node string, settled Settled, changes map[string]Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changeOwnZoneLoads(now, changes)
	for _, e := range heads {
		if s, ok := t.states[e.ID]; ok {
			s.release(node, settled)
		}
	}
}

// ChangeOwnZoneLoads adds to the loads of the other nodes of this zone by how much they
// changed since they were last set.
func (t *Tracker) ChangeOwnZoneLoads(now time.Time, changes map[string]Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changeOwnZoneLoads(now, changes)
}

func (t *Tracker) changeOwnZoneLoads(now time.Time, changes map[string]Load) {
	for id, change := range changes {
		s := t.state(id, now)
		if now.Sub(s.ownZoneLoadAt) > ownZoneLoadTTL {
			s.ownZoneLoad = Load{}
		}
		s.ownZoneLoad, s.ownZoneLoadAt = s.ownZoneLoad.With(change).atLeastNone(), now
		t.totals.ownZone = max(0, t.totals.ownZone+change.Requests)
	}
}

// atLeastNone returns the load with nothing below 0: a change may refer to a load that
// has expired.
func (l Load) atLeastNone() Load {
	return Load{Requests: max(0, l.Requests), Unstarted: max(0, l.Unstarted), Unread: max(0, l.Unread)}
}

// SetOwnZoneLoads sets the loads of the other nodes of this zone.
func (t *Tracker) SetOwnZoneLoads(now time.Time, loads map[string]Load) {
	t.setLoads(now, loads, func(s *State, load Load) { s.ownZoneLoad, s.ownZoneLoadAt = load, now }, func(requests int) {
		t.totals.ownZone, t.totals.ownZoneAt = requests, now
	})
}

// SetOtherZoneLoads sets the loads of the nodes of all other zones.
func (t *Tracker) SetOtherZoneLoads(now time.Time, loads map[string]Load) {
	t.setLoads(now, loads, func(s *State, load Load) { s.otherZoneLoad, s.otherZoneLoadAt = load, now }, func(requests int) {
		t.totals.otherZones, t.totals.otherZoneAt = requests, now
	})
}

// ConsidersOtherZones reports whether this node considered groups of other zones
// within otherZonesInterest.
func (t *Tracker) ConsidersOtherZones(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.otherZonesConsideredAt) < otherZonesInterest
}

// setLoads sets the load of each endpoint that is tracked or in loads, and their total.
func (t *Tracker) setLoads(now time.Time, loads map[string]Load, set func(*State, Load), setTotal func(requests int)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	total := 0
	for _, load := range loads {
		total += load.Requests
	}
	setTotal(total)
	for id, s := range t.states {
		set(s, loads[id])
	}
	for id, load := range loads {
		set(t.state(id, now), load)
	}
}
