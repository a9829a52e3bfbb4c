package balance

import (
	"time"

	"redwinghall/fleet"
)

// ZoneRoom is what the warm groups of a zone that serve a model can take.
type ZoneRoom struct {
	Free      int     // streams that can be placed now and get their first event in time
	PerSecond float64 // streams of usual length that the groups can serve in each second
	// FirstEvent is the predicted time to the first event in the best group, 0 if there is none.
	FirstEvent time.Duration
	// Age is the age of the loads of other zones' nodes.
	Age        time.Duration
	InProgress int // streams that the groups have now
	// UsualRate is how many streams would begin in each second if those in progress were of usual length.
	UsualRate float64
}

// RoomOfZone returns the room of a zone for streams like the request.
func (t *Tracker) RoomOfZone(now time.Time, heads []*fleet.Endpoint, zonesOut map[string]bool, zone string, request Request) ZoneRoom {
	t.mu.Lock()
	defer t.mu.Unlock()
	request = t.prepare(now, request)
	request.ForOtherNode = true
	room := ZoneRoom{Age: now.Sub(t.totals.otherZoneAt)}
	l := &lookup{request: request, now: now, zonesOut: zonesOut, evaluate: func(now time.Time, s *State, e *fleet.Endpoint) candidate {
		c := request.evaluateGroup(now, s, e)
		room = room.withGroup(request, c, max(1, s.slowdown))
		return c
	}}
	l.consider(t, heads, func(e *fleet.Endpoint) bool { return e.Zone == zone && !e.ColdAt(now) })
	if l.best != nil {
		room.FirstEvent = l.best.predicted
	}
	return room
}

// withGroup returns the room with that of one more group.
func (r ZoneRoom) withGroup(request Request, c candidate, slowdown float64) ZoneRoom {
	engine := request.Service.Engine
	pace := NewPace(engine, request.Model, slowdown)
	if pace.FirstEvent(0, 0, request.Prompt)+request.bias > request.Objective {
		return r // too slow even for a single stream
	}
	reading := pace.readTime(request.Prompt)
	occupied := pace.residenceTime(engine.Slots) + time.Duration(engine.Slots)*reading
	if occupied > 0 {
		r.PerSecond += float64(engine.Slots) / occupied.Seconds()
	}
	r.InProgress += c.running
	if residence := pace.residenceTime(c.running) + time.Duration(c.running)*reading; residence > 0 {
		r.UsualRate += float64(c.running) / residence.Seconds()
	}
	if c.predicted > request.Objective {
		return r
	}
	free := engine.Slots - c.running - unsharedRequests
	if reading > 0 {
		free = min(free, 1+int((request.Objective-c.predicted)/reading))
	}
	r.Free += max(0, free)
	return r
}
