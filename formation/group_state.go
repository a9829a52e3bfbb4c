package formation

import (
	"time"

	"redwinghall/fleet"
)

// groupState is what the manager keeps about a group between plans.
type groupState struct {
	GroupHistory
	seenAt time.Time // when an entry last named it or an order was last sent to it
}

// trackGroup returns the state of a group and creates it if there is none.
func (m *Manager) trackGroup(now time.Time, group string) *groupState {
	g, ok := m.groups[group]
	if !ok {
		g = &groupState{}
		m.groups[group] = g
	}
	g.seenAt = now
	return g
}

// history returns the recorded history of a group, the zero value if there is none.
func (m *Manager) history(group string) GroupHistory {
	if g, ok := m.groups[group]; ok {
		return g.GroupHistory
	}
	return GroupHistory{}
}

// pruneGroups drops the state of groups not seen for stateRetention.
func (m *Manager) pruneGroups(now time.Time) {
	for name, g := range m.groups {
		if now.Sub(g.seenAt) > stateRetention {
			delete(m.groups, name)
		}
	}
}

// recordOrder records how an order that is about to be sent affects the groups. Until
// it is answered, an order to open counts as unanswered.
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

// recordOpenOutcome records the outcome of an order to open a group. before is the
// group's history at the time of the order; it is restored if the order was refused or
// never sent.
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

// recordReportedMembership records a change of the membership that an endpoint reports
// in its entry.
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
