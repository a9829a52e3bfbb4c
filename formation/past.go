package formation

import (
	"time"

	"redwinghall/fleet"
)

// groupState is what the manager remembers of a group between plans.
type groupState struct {
	GroupHistory
	seenAt time.Time // when it was last heard of or given an order
}

// trackGroup returns the note of a group, a new one if there is none.
func (m *Manager) trackGroup(now time.Time, group string) *groupState {
	g, ok := m.groups[group]
	if !ok {
		g = &groupState{}
		m.groups[group] = g
	}
	g.seenAt = now
	return g
}

// history returns what this holder knows of a group.
func (m *Manager) history(group string) GroupHistory {
	if g, ok := m.groups[group]; ok {
		return g.GroupHistory
	}
	return GroupHistory{}
}

// pruneGroups drops what is known of groups that are long gone.
func (m *Manager) pruneGroups(now time.Time) {
	for name, g := range m.groups {
		if now.Sub(g.seenAt) > stateRetention {
			delete(m.groups, name)
		}
	}
}

// recordOrder notes what an order that is about to be given does to the groups.
// Until its answer is there, an order to open counts as one without an answer.
func (m *Manager) recordOrder(now time.Time, from fleet.Membership, order fleet.Order) {
	if order.Kind == fleet.OrderStage {
		return
	}
	g := m.trackGroup(now, order.Group)
	switch order.Kind {
	case fleet.OrderJoin:
		g.FormedHere = true
		if from.Group != "" && from.Group != order.Group {
			m.trackGroup(now, from.Group).MembersRemoved = true
		}
	case fleet.OrderLeave:
		g.MembersRemoved = true
	case fleet.OrderOpen:
		g.OpenOrdered, g.OpenUntil = true, later(g.OpenUntil, now.Add(lateOrderWindow))
	case fleet.OrderClose, fleet.OrderStage:
	}
}

// recordOpenOutcome notes what came of an order to open a group, before which its past
// was another. An order that was refused or never given leaves that as it was.
func (m *Manager) recordOpenOutcome(now time.Time, group string, before GroupHistory, outcome fleet.Outcome) {
	g := m.trackGroup(now, group)
	switch outcome {
	case fleet.Refused:
		g.OpenOrdered, g.OpenUntil = before.OpenOrdered, before.OpenUntil
	case fleet.Unanswered:
		g.OpenUntil = later(before.OpenUntil, now.Add(lateOrderWindow))
	case fleet.Begun, fleet.Done:
		g.OpenUntil = later(before.OpenUntil, now.Add(openSettleTime))
	}
}

// recordReportedMembership takes in that an endpoint's own word of its membership changed.
func (m *Manager) recordReportedMembership(now time.Time, before, after fleet.Membership) {
	if isHead(before) && (!isHead(after) || after.Group != before.Group) {
		m.trackGroup(now, before.Group).HeadLeft = true
	}
	if isHead(after) {
		m.trackGroup(now, after.Group).HeadLeft = false
	}
}

// isHead reports whether a membership is that of a group's head.
func isHead(m fleet.Membership) bool { return m.Group != "" && m.Rank == 0 }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
