package formation

import (
	"redwinghall/fleet"
)

// reconcile looks at one group: it opens one that is ready, ends one that lost
// a member, and sets the members free of one that serves nobody.
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
		// An order that takes a member away may still be carried out: a group
		// that opened again would lose it while it serves.
		p.release(g)
	case g.ready() && !p.zone.History(g.name).FormedHere:
		// An earlier holder's orders may still be carried out, under higher
		// epochs than this group's. A group of our own outlasts them.
		p.release(g)
	case g.ready():
		p.openable = append(p.openable, g)
	default:
		p.reconcileJoining(g)
	}
}

func (p *planner) countServing(g *group) { p.serving[g.model.Name] += g.model.Size }

// reconcileOpen looks at a group that serves.
//
// Guard: a group that lost a member goes on accepting requests, and nothing
// moves. It is closed at once, so that its callers go elsewhere and its other
// members are of use again.
func (p *planner) reconcileOpen(g *group) {
	switch {
	case g.complete():
		p.countServing(g)
		p.openGroups = append(p.openGroups, g)
		if g.slow() {
			p.draining = append(p.draining, g)
		}
	case g.onlySilent() && p.zone.Progressing(g.head().Endpoint.ID):
		// Members that are cut off from here and from the store may still serve
		// with the others: what the streams show goes first.
		p.countServing(g)
	case g.hasLostMember() || !g.known:
		p.issue(g.head(), fleet.Order{Kind: fleet.OrderClose, Group: g.name, Epoch: g.epoch, Cancel: true}, "member_lost")
	default:
		p.countServing(g)
		p.draining = append(p.draining, g)
	}
}

func (p *planner) reconcileClosing(g *group) {
	since := p.now.Sub(g.head().ChangedAt)
	patience := closeTimeout
	if g.complete() && g.unfit() == 0 {
		p.closingGroups = append(p.closingGroups, g)
		patience = gracefulCloseTimeout
	}
	if g.hasLostMember() || since > patience {
		p.issue(g.head(), fleet.Order{Kind: fleet.OrderClose, Group: g.name, Epoch: g.epoch, Cancel: true}, "closing_takes_long")
	}
}

// reconcileJoining waits for members, and gives the order again to those that show no
// sign of it.
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
			p.issue(w, fleet.Order{Kind: fleet.OrderJoin, Group: g.name, Epoch: g.epoch, Model: g.model.Name, Members: members}, "join_again")
		}
	}
}

// excludeStaleMembers reports whether a member's entry doesn't show that it joined, although
// the entries of most others do, and leaves that member out for a while.
//
// Guard: an endpoint that is cut off from the store, and from nothing else,
// takes the order, and its entry stays as it was until it lapses.
// The group waits for it, and those of its members that are fit serve nobody.
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
		return false // where most are late, the store is slow
	}
	for _, w := range late {
		w.StaleEntryUntil = p.now.Add(suspectDuration)
		w.Suspect = true
	}
	return true
}

// members returns the ids of a whole group in the order of their ranks.
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

// release takes a group apart that serves nobody, or whose head can't be
// reached. Members that are proven to be free may join another one; the others
// are told to leave, and are free once they have said that they did.
//
// Guard: an order to open that got no answer may be carried out seconds later.
// If the members had joined other groups by then, the head would accept
// requests that nobody works on. So the head leaves first where it is reached:
// its word frees all others at once.
func (p *planner) release(g *group) {
	standing := g.evidence(p.zone)
	if p.provenEnded(g, standing) || !g.headReachable() {
		p.releaseMembers(g, standing)
		return
	}
	p.issue(g.head(), fleet.Order{Kind: fleet.OrderLeave, Group: g.name, Epoch: g.epoch}, "may_open_late")
}

func (p *planner) releaseMembers(g *group, standing Evidence) {
	for _, w := range g.byRank {
		if !w.usable() {
			continue
		}
		if !p.freeWorker(w, standing) {
			p.issue(w, fleet.Order{Kind: fleet.OrderLeave, Group: g.name, Epoch: g.epoch}, "head_unreachable")
			continue
		}
		if g.standby && w.Member.State == fleet.Joining && p.now.Sub(w.ChangedAt) < 2*g.model.Load+joinGrace {
			w.loading = g.model.Name
		}
	}
}

// provenEnded reports whether a group is proven to serve no longer.
func (p *planner) provenEnded(g *group, standing Evidence) bool {
	standing.Member = fleet.Membership{Group: g.name, Epoch: g.epoch}
	return standing.Proof(p.now) != Unproven
}
