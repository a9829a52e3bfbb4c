package balance

import (
	"time"

	"redwinghall/fleet"
)

// leavingShareTime is how long a node shares that an endpoint leaves, after it learned
// it: several of the intervals at which nodes and zones report.
const leavingShareTime = 2 * time.Second

// LeavingReport says that an endpoint's process leaves, as nodes share it.
type LeavingReport struct {
	Endpoint      string
	StartedMillis int64
}

// leaving records that an endpoint's process said that it leaves. The tracker's lock
// guards it.
//
// A process never takes that back, so it holds whatever else is read of it: its entry
// may be older, or from a restored store.
type leaving struct {
	learnedAt     time.Time // zero if the endpoint didn't say so
	startedMillis int64
}

// appliesTo reports whether an endpoint's process is the one that leaves. A later process
// under the same id doesn't.
func (l *leaving) appliesTo(startedMillis int64) bool {
	return !l.learnedAt.IsZero() && startedMillis <= l.startedMillis
}

// RecordLeaving records that the endpoint said that it leaves. It returns whether that
// was unknown.
func (a *Attempt) RecordLeaving(now time.Time) bool {
	a.t.mu.Lock()
	defer a.t.mu.Unlock()
	return a.s.recordLeaving(now, a.startedMillis)
}

// IsLeaving reports whether the endpoint said that it leaves.
func (a *Attempt) IsLeaving() bool {
	a.t.mu.Lock()
	defer a.t.mu.Unlock()
	return a.s.leaving.appliesTo(a.startedMillis)
}

// MergeLeaving records the reports of other nodes, or of other responses of the
// endpoints than those to requests. It returns those that were unknown.
func (t *Tracker) MergeLeaving(now time.Time, reports ...LeavingReport) []LeavingReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	var unknown []LeavingReport
	for _, report := range reports {
		if t.state(report.Endpoint, now).recordLeaving(now, report.StartedMillis) {
			unknown = append(unknown, report)
		}
	}
	return unknown
}

func (s *State) recordLeaving(now time.Time, startedMillis int64) bool {
	if s.leaving.appliesTo(startedMillis) {
		return false
	}
	s.leaving = leaving{learnedAt: now, startedMillis: startedMillis}
	return true
}

// IsLeaving reports whether an endpoint said that it leaves.
func (t *Tracker) IsLeaving(e *fleet.Endpoint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.states[e.ID]
	return ok && s.leaving.appliesTo(e.StartedMillis)
}

// RecentlyLeaving returns the endpoints of which this node learned within
// leavingShareTime that they leave.
func (t *Tracker) RecentlyLeaving(now time.Time) []LeavingReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	var reports []LeavingReport
	for id, s := range t.states {
		if !s.leaving.learnedAt.IsZero() && now.Sub(s.leaving.learnedAt) < leavingShareTime {
			reports = append(reports, LeavingReport{Endpoint: id, StartedMillis: s.leaving.startedMillis})
		}
	}
	return reports
}
