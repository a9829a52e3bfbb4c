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
		n = &note{born: e.Born, worker: Worker{OrderedAt: map[fleet.OrderKind]time.Time{}}}
		m.notes[e.ID] = n
	}
	n.seenAt = now
	n.unlisted = unlisted{}
	w := &n.worker
	w.Endpoint = e
	w.Unlisted, w.Silent = false, false
	w.Suspect = now.Before(n.suspect) || now.Before(w.Mute)
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
		n.shown = e.Member
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
	if e.Member.Rank == 0 && e.Member.Group != "" && !w.Unlisted && member.Group == e.Member.Group {
		m.noteHead(now, e)
	}
}

// noteHead notes which endpoint heads a group. What was found out of its
// process stays as long as it is the same.
//
// Guard: the entry of a process that has ended stays for 3.6 s. If it undid
// what the process's address told, the group's other members would wait for
// 4.5 s as for a silent head, and the address would be asked ten times a second.
func (m *Manager) noteHead(now time.Time, e *fleet.Endpoint) {
	h, known := m.heads[e.Member.Group]
	if !known || h.endpoint.ID != e.ID || h.endpoint.Born != e.Born {
		h = &headNote{}
		m.heads[e.Member.Group] = h
	}
	h.endpoint, h.seenAt = e, now
}
