// Package health turns the reports of a group's members into the health of the
// whole group. It does no I/O.
package health

import (
	"time"

	"redwinghall"
)

// Tracker follows the members of one group under one generation.
type Tracker struct {
	group  redwinghall.Group
	starts []string // first start id seen of each member; "" until seen
	seen   []time.Time
	ready  []bool
	lost   time.Time // when a member last refused a connection
	broken bool
	leader redwinghall.Report
}

// NewTracker returns a tracker of the group under its present generation.
func NewTracker(g redwinghall.Group) *Tracker {
	return &Tracker{
		group:  g,
		starts: make([]string, len(g.Members)),
		seen:   make([]time.Time, len(g.Members)),
		ready:  make([]bool, len(g.Members)),
	}
}

// Group returns the group followed.
func (t *Tracker) Group() redwinghall.Group { return t.group }

// Observe takes a member's report that was asked for at askedAt. The time of
// asking counts, not the time of the answer: the member may have died right
// after it answered.
//
// Guard: a member that restarts under the same address answers as if nothing
// had happened, but its part of the model is gone; callers get garbage or
// silence from the group. The first start id seen under a generation is the
// only one accepted until the group is ordered anew.
func (t *Tracker) Observe(member int, report redwinghall.Report, askedAt time.Time) {
	if report.Group != t.group.ID || report.Generation != t.group.Generation {
		t.notInGroup(member)
		return
	}
	if t.starts[member] == "" {
		t.starts[member] = report.StartID
	}
	if t.starts[member] != report.StartID {
		t.broken = true
		return
	}
	if askedAt.After(t.seen[member]) {
		t.seen[member] = askedAt
	}
	t.ready[member] = report.Ready
	if member == 0 {
		t.leader = report
	}
}

// ObserveRefusal takes note that a member refused the connection of a poll that
// began at askedAt.
func (t *Tracker) ObserveRefusal(askedAt time.Time) {
	if askedAt.After(t.lost) {
		t.lost = askedAt
	}
}

// notInGroup handles a report under another group or generation. Before the
// member was first seen in the group the order may still be on its way; after
// that the member was lost to the group.
func (t *Tracker) notInGroup(member int) {
	t.ready[member] = false
	t.seen[member] = time.Time{}
	if t.starts[member] != "" {
		t.broken = true
	}
}

// Health returns the group's health as observed so far.
func (t *Tracker) Health() redwinghall.GroupHealth {
	health := redwinghall.GroupHealth{
		Group: t.group.ID, Generation: t.group.Generation,
		Broken: t.broken, Ready: true, LostAt: t.lost,
		Running: t.leader.Running, Completed: t.leader.Completed,
	}
	oldest := t.seen[0]
	for i := range t.seen {
		if t.seen[i].Before(oldest) {
			oldest = t.seen[i]
		}
		health.Ready = health.Ready && t.ready[i]
	}
	health.SeenAt = oldest
	return health
}
