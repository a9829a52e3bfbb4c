package balance

import (
	"slices"
	"time"

	"redwinghall/fleet"
)

// failureReport is a report of a node that an endpoint doesn't answer it.
type failureReport struct {
	node string
	at   time.Time
}

// Reports of failureReportsNeeded nodes within failureReportTTL count like a
// failure seen by this node. A single node may itself be partitioned.
const (
	failureReportsNeeded = 2
	failureReportTTL     = time.Second
)

// RecordFailureReport records that an endpoint doesn't answer another node, for
// which this node chooses.
func (t *Tracker) RecordFailureReport(now time.Time, id, node string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(id, now)
	s.failureReports = slices.DeleteFunc(s.failureReports, func(r failureReport) bool {
		return r.node == node || now.Sub(r.at) >= failureReportTTL
	})
	s.failureReports = append(s.failureReports, failureReport{node: node, at: now})
	if len(s.failureReports) < failureReportsNeeded {
		return
	}
	if now.Sub(s.backoffUntil) > maxBackoff {
		s.backoff = 0
	}
	s.unverified = false
	s.backOff(now)
}

// InBackoff returns the ids of those endpoints that are in backoff at this node, without those
// of Unreached.
func (t *Tracker) InBackoff(now time.Time, endpoints []*fleet.Endpoint) []string {
	return t.backedOff(now, endpoints, false)
}

// Unreached returns the ids of those endpoints in backoff of which only this node is known not
// to reach them.
//
// Several nodes may be parted from the same endpoints. If their word counted for others, sound
// endpoints would get nothing from a whole zone.
func (t *Tracker) Unreached(now time.Time, endpoints []*fleet.Endpoint) []string {
	return t.backedOff(now, endpoints, true)
}

func (t *Tracker) backedOff(now time.Time, endpoints []*fleet.Endpoint, unverified bool) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var backedOff []string
	for _, e := range endpoints {
		if s, ok := t.states[e.ID]; ok && now.Before(s.backoffUntil) && s.unverified == unverified {
			backedOff = append(backedOff, e.ID)
		}
	}
	return backedOff
}
