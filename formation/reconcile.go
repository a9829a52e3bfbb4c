package formation

import (
	"redwinghall/fleet"
)

// reconcile decides what happens to one group: it queues a ready group for opening,
// closes one that lost a member, and frees the members of one that doesn't serve.
func (p *planner) reconcile(g *group) {
	switch {
	case g.standby:
		p.release(g)
	case !g.headReachable():
		p.release(g)
	case g.head().Member.State == fleet.Open && g.head().Unlisted:
		p.issue(g.head(), fleet.Order{Kind: fleet.OrderClose, Group: g.name, Epoch: g.epoch}, "head_unlisted")
	case g.head().Member.State == fleet.Open:
		p.reconcileOpen(g)
	case g.head().Member.State == fleet.Closing:
		p.reconcileClosing(g)
	case g.head().Member.State == fleet.Broken || !g.complete() || g.head().Unlisted:
		p.release(g)
	case p.zone.History(g.name).MembersRemoved:
		// An order that removes a member may still be carried out: a group opened again
		// now would lose that member while it serves.
		p.release(g)
	case g.ready() && !p.zone.History(g.name).FormedHere:
		// An earlier holder's orders may still be carried out, with higher epochs than
		// this group's. A group formed by this holder has a higher epoch than any of
		// them.
		p.release(g)
	case g.ready():
		p.openable = append(p.openable, g)
	default:
		p.reconcileJoining(g)
	}
}

func (p *planner) countServing(g *group) { p.serving[g.model.Name] += g.model.Size }

// reconcileOpen handles a group that is open.
//
// A group that lost a member keeps accepting requests although nothing progresses. It
// is closed at once, so that its callers are sent elsewhere and its other members can
// be reused. One that only no longer fits the configuration finishes its streams: all
// groups of its model close at the same time, so their streams could go nowhere else.
func (p *planner) reconcileOpen(g *group) {
	switch {
	case g.complete():
		p.countServing(g)
		p.openGroups = append(p.openGroups, g)
		if g.slow() {
			p.draining = append(p.draining, g)
		}
	case g.onlyOutlived():
		p.countServing(g)
	case g.onlySilent() && p.zone.Progressing(g.head().Endpoint.ID):
		// Members that neither this node nor the store reaches may still serve with the
		// others: the progress of the streams takes precedence.
		p.countServing(g)
	case g.hasLostMember():
		p.issue(g.head(), fleet.Order{Kind: fleet.OrderClose, Group: g.name, Epoch: g.epoch, Cancel: true}, "member_lost")
	case g.outdated():
		p.issue(g.head(), fleet.Order{Kind: fleet.OrderClose, Group: g.name, Epoch: g.epoch}, "model_changed")
	default:
		p.countServing(g)
		p.draining = append(p.draining, g)
	}
}

func (p *planner) reconcileClosing(g *group) {
	if g.outdated() && !g.hasLostMember() && g.unfit() == 0 {
		return // the timeouts of its streams end it
	}
	since := p.now.Sub(g.head().ChangedAt)
	timeout := closeTimeout
	if g.complete() && g.unfit() == 0 {
		p.closingGroups = append(p.closingGroups, g)
		timeout = gracefulCloseTimeout
	}
	if g.hasLostMember() || since > timeout {
		p.issue(g.head(), fleet.Order{Kind: fleet.OrderClose, Group: g.name, Epoch: g.epoch, Cancel: true}, "closing_takes_long")
	}
}

// reconcileJoining waits for members to join, and repeats the order to those whose
// entry doesn't show the membership.
func (p *planner) reconcileJoining(g *group) {
	if p.excludeStaleMembers(g) {
		p.release(g)
		return
	}
	p.countServing(g)
	members := g.members()
	for rank := range g.size() {
		w := g.byRank[rank]
		shown := w.Endpoint.Member.Group == g.name && w.Endpoint.Member.Epoch == g.epoch
		if !shown && members != nil {
			p.issue(w, fleet.Order{Kind: fleet.OrderJoin, Group: g.name, Epoch: g.epoch, Model: g.model.Name, Members: members, Expected: w.JoinExpected}, "join_again")
		}
	}
}

// excludeStaleMembers reports whether some members' entries don't show that they joined
// although those of most others do, and keeps these members out of groups for
// suspectDuration.
//
// An endpoint that is partitioned from the store, but from nothing else, accepts the
// order, and its entry stays unchanged until it expires. The group would wait for it,
// and its healthy members would stay idle.
func (p *planner) excludeStaleMembers(g *group) bool {
	var late []*Worker
	shown := 0
	for rank := range g.size() {
		w := g.byRank[rank]
		switch {
		case w.Endpoint.Member.Group == g.name && w.Endpoint.Member.Epoch == g.epoch:
			shown++
		case p.now.Sub(w.ChangedAt) > entryLagLimit:
			late = append(late, w)
		}
	}
	if len(late) == 0 || 2*shown < g.size() {
		return false // if most are late, the store is slow
	}
	for _, w := range late {
		w.StaleEntryUntil = p.now.Add(suspectDuration)
		w.Suspect = true
	}
	return true
}

// members returns the ids of a complete group's members in rank order.
func (g *group) members() []string {
	ids := make([]string, 0, g.size())
	for rank := range g.size() {
		w := g.byRank[rank]
		if w == nil {
			return nil
		}
		ids = append(ids, w.Endpoint.ID)
	}
	return ids
}

// release dissolves a group that doesn't serve or whose head can't be reached. Members
// that are proven to be free may join another group; the others are ordered to leave
// and are free once they have confirmed it.
//
// An order to open that got no answer may be carried out seconds later. If the members
// had joined other groups by then, the head would accept requests that make no progress.
// So a reachable head is ordered to leave first: its confirmation frees all others at
// once.
func (p *planner) release(g *group) {
	p.released = append(p.released, g)
	evidence := g.evidence(p.zone)
	if p.provenEnded(g, evidence) || !g.headReachable() {
		p.releaseMembers(g, evidence)
		return
	}
	p.issue(g.head(), fleet.Order{Kind: fleet.OrderLeave, Group: g.name, Epoch: g.epoch}, "may_open_late")
}

func (p *planner) releaseMembers(g *group, evidence Evidence) {
	for _, w := range g.byRank {
		if !w.usable() {
			continue
		}
		if !p.freeWorker(w, evidence) {
			if w.ordersUnconfirmed {
				continue
			}
			p.issue(w, fleet.Order{Kind: fleet.OrderLeave, Group: g.name, Epoch: g.epoch}, "head_unreachable")
			continue
		}
		if g.standby && w.Member.State == fleet.Joining && p.now.Sub(w.ChangedAt) < 2*g.model.Load+joinGrace {
			w.loading = g.model.Name
		}
	}
}

// provenEnded reports whether a group is proven not to serve any more.
func (p *planner) provenEnded(g *group, evidence Evidence) bool {
	evidence.Member, evidence.EarlierOrders = fleet.Membership{Group: g.name, Epoch: g.epoch}, p.zone.EarlierOrders
	return evidence.Proof(p.now) != Unproven
}
