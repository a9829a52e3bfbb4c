// Package health derives the health of a group from the reports of its members.
// It does no I/O.
package health

import (
	"time"

	"redwinghall"
)

// Tracker records the state of the members of one group under one generation.
type Tracker struct {
	group     redwinghall.Group
	startIDs  []string // first start id reported by each member; "" until it reported
	seenAt    []time.Time
	ready     []bool
	refusedAt time.Time // when a member last refused a connection
	broken    bool
	leader    redwinghall.Report
}

// NewTracker returns a tracker for the group under its current generation.
func NewTracker(g redwinghall.Group) *Tracker {
	return &Tracker{
		group:    g,
		startIDs: make([]string, len(g.Members)),
		seenAt:   make([]time.Time, len(g.Members)),
		ready:    make([]bool, len(g.Members)),
	}
}

// Group returns the tracked group.
func (t *Tracker) Group() redwinghall.Group { return t.group }

// Observe records a member's report. askedAt is the time of the poll's request;
// it counts as the time of the observation because the member may have died
// right after it answered.
//
// A member that restarts under the same address answers normally, but its part
// of the model is no longer loaded, and the group returns garbage or nothing. So
// only the first start id seen under a generation is accepted; a group with
// another one stays broken until it gets a new generation.
func (t *Tracker) Observe(member int, report redwinghall.Report, askedAt time.Time) {
	if report.Group != t.group.ID || report.Generation != t.group.Generation {
		t.observeOutsideGroup(member)
		return
	}
	if t.startIDs[member] == "" {
		t.startIDs[member] = report.StartID
	}
	if t.startIDs[member] != report.StartID {
		t.broken = true
		return
	}
	if askedAt.After(t.seenAt[member]) {
		t.seenAt[member] = askedAt
	}
	t.ready[member] = report.Ready
	if member == 0 {
		t.leader = report
	}
}

// ObserveRefusal records that a member refused the connection of a poll that
// began at askedAt.
func (t *Tracker) ObserveRefusal(askedAt time.Time) {
	if askedAt.After(t.refusedAt) {
		t.refusedAt = askedAt
	}
}

// observeOutsideGroup handles a report that names another group or generation. If
// the member was never seen in the group, the order to join may still be in
// transit; otherwise the member has left and the group is broken.
func (t *Tracker) observeOutsideGroup(member int) {
	t.ready[member] = false
	t.seenAt[member] = time.Time{}
	if t.startIDs[member] != "" {
		t.broken = true
	}
}

// Health returns the group's health as observed so far. Its SeenAt is the time
// at which the member seen least recently was seen.
func (t *Tracker) Health() redwinghall.GroupHealth {
	health := redwinghall.GroupHealth{
		Group: t.group.ID, Generation: t.group.Generation,
		Broken: t.broken, Ready: true, LostAt: t.refusedAt,
		Running: t.leader.Running, Completed: t.leader.Completed,
	}
	oldest := t.seenAt[0]
	for i := range t.seenAt {
		if t.seenAt[i].Before(oldest) {
			oldest = t.seenAt[i]
		}
		health.Ready = health.Ready && t.ready[i]
	}
	health.SeenAt = oldest
	return health
}
