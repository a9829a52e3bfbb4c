package balance

import (
	"time"

	"redwinghall/fleet"
)

// leavesKept reports whether the groups of its zone have to be left to other requests, for
// which their places are kept.
func (l *lookup) leavesKept(t *Tracker, heads []*fleet.Endpoint) bool {
	r := l.request
	if r.Kept <= 0 || r.Resumed || l.best == nil || l.best.endpoint.ColdAt(l.now) {
		return false
	}
	if l.places(t, heads, r.Kept+1) > r.Kept {
		return false
	}
	l.full++
	return true
}

// places returns how many further requests like that of the lookup the groups of its
// zone can serve in time, at most enough.
func (l *lookup) places(t *Tracker, heads []*fleet.Endpoint, enough int) int {
	found := 0
	for _, e := range heads {
		if e.Zone != l.request.Zone || e.ColdAt(l.now) || !Usable(&l.request.Service, e, l.zonesOut) {
			continue
		}
		s := t.state(e.ID, l.now)
		if l.now.Before(s.backoffUntil) || l.request.Tried[e.ID] || s.leaving.appliesTo(e.StartedMillis) {
			continue
		}
		found += l.request.placesAt(l.now, s, e, enough-found)
		if found >= enough {
			return found
		}
	}
	return found
}

// placesAt returns how many further requests a group can serve in time, at most enough.
// Callers that come back do so one after the other, so only the slots that they take
// count, and not the reading of their prompts.
func (r Request) placesAt(now time.Time, s *State, e *fleet.Endpoint, enough int) int {
	c := r.evaluateGroup(now, s, e)
	pace := NewPace(r.Service.Engine, r.Model, max(1, s.slowdown))
	reading := c.predicted - c.queued
	for n := range enough {
		if reading+pace.slotWait(c.running+1+n, r.bias) > r.Objective {
			return n
		}
	}
	return enough
}

// PlaceInterval returns the time between two places that come free at the groups of this
// zone while all slots are taken, 0 if there are no groups.
func (r Request) PlaceInterval(now time.Time, heads []*fleet.Endpoint, zonesOut map[string]bool) time.Duration {
	slots := 0
	for _, e := range heads {
		if e.Zone == r.Zone && !e.ColdAt(now) && Usable(&r.Service, e, zonesOut) {
			slots += r.Service.Engine.Slots
		}
	}
	if slots == 0 {
		return 0
	}
	return NewPace(r.Service.Engine, r.Model, 1).residenceTime(r.Service.Engine.Slots) / time.Duration(slots)
}
