package formation

import (
	"time"

	"redwinghall/fleet"
)

// groupNote is what the manager remembers of a group between plans.
type groupNote struct {
	GroupHistory
	seenAt time.Time // when it was last heard of or given an order
}

// groupOf returns the note of a group, a new one if there is none.
func (m *Manager) groupOf(now time.Time, group string) *groupNote {
	g, ok := m.groups[group]
	if !ok {
		g = &groupNote{}
		m.groups[group] = g
	}
	g.seenAt = now
	return g
}

// past returns what this holder knows of a group.
func (m *Manager) past(group string) GroupHistory {
	if g, ok := m.groups[group]; ok {
		return g.GroupHistory
	}
	return GroupHistory{}
}

// forget drops what is known of groups that are long gone.
func (m *Manager) forget(now time.Time) {
	for name, g := range m.groups {
		if now.Sub(g.seenAt) > notesFor {
			delete(m.groups, name)
		}
	}
}

// notePast notes what an order that is about to be given does to the groups.
// Until its answer is there, an order to open counts as one without an answer.
func (m *Manager) notePast(now time.Time, from fleet.Membership, order fleet.Order) {
	if order.Kind == fleet.OrderStage {
		return
	}
	g := m.groupOf(now, order.Group)
	switch order.Kind {
	case fleet.OrderJoin:
		g.FormedHere = true
		if from.Group != "" && from.Group != order.Group {
			m.groupOf(now, from.Group).MembersRemoved = true
		}
	case fleet.OrderLeave:
		g.MembersRemoved = true
	case fleet.OrderOpen:
		g.OpenOrdered, g.OpenUntil = true, later(g.OpenUntil, now.Add(lateOrders))
	case fleet.OrderClose, fleet.OrderStage:
	}
}

// noteOpened notes what came of an order to open a group, before which its past
// was another. An order that was refused or never given leaves that as it was.
func (m *Manager) noteOpened(now time.Time, group string, before GroupHistory, outcome fleet.Outcome) {
	g := m.groupOf(now, group)
	switch outcome {
	case fleet.Refused:
		g.OpenOrdered, g.OpenUntil = before.OpenOrdered, before.OpenUntil
	case fleet.Unanswered:
		g.OpenUntil = later(before.OpenUntil, now.Add(lateOrders))
	case fleet.Begun, fleet.Done:
		g.OpenUntil = later(before.OpenUntil, now.Add(openSettle))
	}
}

// noteWord takes in that an endpoint's own word of its membership changed.
func (m *Manager) noteWord(now time.Time, before, after fleet.Membership) {
	if headed(before) && (!headed(after) || after.Group != before.Group) {
		m.groupOf(now, before.Group).HeadLeft = true
	}
	if headed(after) {
		m.groupOf(now, after.Group).HeadLeft = false
	}
}

// headed reports whether a membership is that of a group's head.
func headed(m fleet.Membership) bool { return m.Group != "" && m.Rank == 0 }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
