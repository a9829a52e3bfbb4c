package formation

import (
	"time"

	"redwinghall/fleet"
)

// trackEndpoint updates the state of an endpoint that has an entry, and returns its
// worker.
func (m *Manager) trackEndpoint(now time.Time, e *fleet.Endpoint) *Worker {
	n, ok := m.endpoints[e.ID]
	if !ok || n.startedMillis != e.StartedMillis {
		// A process that restarts under the same id has lost its membership.
		if ok && e.StartedMillis > n.startedMillis {
			m.recordReportedMembership(now, n.reported, fleet.Membership{})
		}
		n = &endpointState{startedMillis: e.StartedMillis, worker: Worker{OrderedAt: map[fleet.OrderKind]time.Time{}}}
		m.endpoints[e.ID] = n
	}
	n.seenAt = now
	n.unlisted = unlisted{}
	w := &n.worker
	if e.State == fleet.EndpointReady && m.IsLeaving(e) {
		// The entry may be older than the statement, or from a restored store.
		e = e.WithState(fleet.EndpointDraining)
	}
	w.Endpoint = e
	w.Unlisted, w.Silent = false, false
	n.updateSuspicion(now)
	w.Slow = now.Before(n.slowUntil)
	if e.State == fleet.EndpointReady {
		w.DrainingSince = time.Time{}
	} else if w.DrainingSince.IsZero() {
		w.DrainingSince = now
	}
	m.updateMembership(now, n)
	return w
}

// suspect keeps an endpoint out of groups for suspectDuration. at is when it was asked.
func (n *endpointState) suspect(at, now time.Time, bySilence bool) {
	n.bySilence = bySilence && (n.bySilence || !now.Before(n.suspectUntil))
	n.suspectUntil = now.Add(suspectDuration)
	n.worker.SuspectedAt = at
}

// updateSuspicion updates whether the endpoint is suspect.
func (n *endpointState) updateSuspicion(now time.Time) {
	w := &n.worker
	suspect := now.Before(n.suspectUntil) || now.Before(w.StaleEntryUntil)
	if w.Suspect && !suspect {
		w.TrustedSince = now
	}
	w.Suspect = suspect
}

// updateMembership derives an endpoint's membership from its entry and from the last
// order sent to it.
func (m *Manager) updateMembership(now time.Time, n *endpointState) {
	w := &n.worker
	e := w.Endpoint
	if e.Member != n.reported {
		m.recordReportedMembership(now, n.reported, e.Member)
		if e.Member.Group == "" {
			n.delayRejoin(n.reported.Group)
		}
		n.reported, w.ReportedAt = e.Member, now
		if e.Member.Epoch >= n.overlay.Epoch {
			n.overlaidAt = time.Time{}
		}
	}
	member := e.Member
	if !n.overlaidAt.IsZero() && now.Sub(n.overlaidAt) < overlayTimeout {
		member = n.overlay
	}
	if member != w.Member {
		w.Member = member
		w.ChangedAt = now
	}
	model, _ := parseName(e.Member.Group)
	if model != "" && e.Member.State != fleet.Joining {
		w.LastModel = model
	}
	if g, known := m.groups[e.Member.Group]; known {
		g.seenAt = now
	}
}

// delayRejoin keeps an endpoint that left a group from joining another one while an
// order to join the old one may still be in flight.
//
// An order that got no answer may be carried out late and put the endpoint back into
// the group that it left, whose head may still be open.
func (n *endpointState) delayRejoin(group string) {
	if group != "" && n.unansweredJoin == group {
		n.worker.RejoinUntil = n.unansweredJoinUntil
	}
}
