package formation

import (
	"time"

	"redwinghall/fleet"
)

// noted returns the worker of an endpoint, with what is remembered of it.
func (m *Manager) noted(now time.Time, e *fleet.Endpoint) *Worker {
	n, ok := m.notes[e.ID]
	if !ok || n.born != e.Born {
		// A process that starts again under its id knows nothing of before.
		if ok && e.Born > n.born {
			m.noteWord(now, n.shown, fleet.Membership{})
		}
		n = &note{born: e.Born, worker: Worker{OrderedAt: map[fleet.OrderKind]time.Time{}}}
		m.notes[e.ID] = n
	}
	n.seenAt = now
	n.unlisted = unlisted{}
	w := &n.worker
	w.Endpoint = e
	w.Unlisted, w.Silent = false, false
	w.Suspect = now.Before(n.suspect) || now.Before(w.StaleEntryUntil)
	w.Slow = now.Before(n.slow)
	if e.State == fleet.EndpointReady {
		w.DrainingSince = time.Time{}
	} else if w.DrainingSince.IsZero() {
		w.DrainingSince = now
	}
	m.noteMember(now, n)
	return w
}

// noteMember works out an endpoint's membership from its entry and from the
// order that it was given last.
func (m *Manager) noteMember(now time.Time, n *note) {
	w := &n.worker
	e := w.Endpoint
	if e.Member != n.shown {
		m.noteWord(now, n.shown, e.Member)
		if e.Member.Group == "" {
			n.holdFor(n.shown.Group)
		}
		n.shown, w.ReportedAt = e.Member, now
		if e.Member.Epoch >= n.overlay.Epoch {
			n.overlaid = time.Time{}
		}
	}
	member := e.Member
	if !n.overlaid.IsZero() && now.Sub(n.overlaid) < overlayFor {
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

// holdFor keeps an endpoint that left a group from joining another one while an
// order to join the old one may be on its way.
//
// Guard: an order that got no answer may be carried out late, and puts the
// endpoint back into the group that it left, whose head may still be open.
func (n *note) holdFor(group string) {
	if group != "" && n.late == group {
		n.worker.RejoinUntil = n.lateUntil
	}
}
