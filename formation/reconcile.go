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
	case !g.reached():
		p.release(g)
	case g.head().Member.State == fleet.Open && g.head().Unlisted:
		p.give(g.head(), fleet.Order{Kind: fleet.OrderClose, Group: g.name, Epoch: g.epoch}, "head_unlisted")
	case g.head().Member.State == fleet.Open:
		p.opened(g)
	case g.head().Member.State == fleet.Closing:
		p.closing(g)
	case g.head().Member.State == fleet.Broken || !g.whole() || g.head().Unlisted:
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
		p.idle = append(p.idle, g)
	default:
		p.joining(g)
	}
}

func (p *planner) count(g *group) { p.serving[g.model.Name] += g.model.Size }

// opened looks at a group that serves.
//
// Guard: a group that lost a member goes on accepting requests, and nothing
// moves. It is closed at once, so that its callers go elsewhere and its other
// members are of use again.
func (p *planner) opened(g *group) {
	switch {
	case g.whole():
		p.count(g)
		p.serves = append(p.serves, g)
		if g.slow() {
			p.draining = append(p.draining, g)
		}
	case g.onlySilent() && p.zone.Progressing(g.head().Endpoint.ID):
		// Members that are cut off from here and from the store may still serve
		// with the others: what the streams show goes first.
		p.count(g)
	case g.lost() || !g.known:
		p.give(g.head(), fleet.Order{Kind: fleet.OrderClose, Group: g.name, Epoch: g.epoch, Cancel: true}, "member_lost")
	default:
		p.count(g)
		p.draining = append(p.draining, g)
	}
}

func (p *planner) closing(g *group) {
	since := p.now.Sub(g.head().ChangedAt)
	patience := stuckClosing
	if g.whole() && g.unfit() == 0 {
		p.closings = append(p.closings, g)
		patience = patientClosing
	}
	if g.lost() || since > patience {
		p.give(g.head(), fleet.Order{Kind: fleet.OrderClose, Group: g.name, Epoch: g.epoch, Cancel: true}, "closing_takes_long")
	}
}

// joining waits for members, and gives the order again to those that show no
// sign of it.
func (p *planner) joining(g *group) {
	if p.muted(g) {
		p.release(g)
		return
	}
	p.count(g)
	members := g.members()
	for rank := range g.size() {
		w := g.byRank[rank]
		shown := w.Endpoint.Member.Group == g.name && w.Endpoint.Member.Epoch == g.epoch
		if !shown && members != nil {
			p.give(w, fleet.Order{Kind: fleet.OrderJoin, Group: g.name, Epoch: g.epoch, Model: g.model.Name, Members: members}, "join_again")
		}
	}
}

// muted reports whether a member's entry doesn't show that it joined, although
// the entries of most others do, and leaves that member out for a while.
//
// Guard: an endpoint that is cut off from the store, and from nothing else,
// takes the order, and its entry stays as it was until it lapses.
// The group waits for it, and those of its members that are fit serve nobody.
func (p *planner) muted(g *group) bool {
	var late []*Worker
	shown := 0
	for rank := range g.size() {
		w := g.byRank[rank]
		switch {
		case w.Endpoint.Member.Group == g.name && w.Endpoint.Member.Epoch == g.epoch:
			shown++
		case p.now.Sub(w.ChangedAt) > entryLate:
			late = append(late, w)
		}
	}
	if len(late) == 0 || 2*shown < g.size() {
		return false // where most are late, the store is slow
	}
	for _, w := range late {
		w.StaleEntryUntil = p.now.Add(suspectFor)
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
	standing := g.standing(p.zone)
	if p.ended(g, standing) || !g.reached() {
		p.releaseMembers(g, standing)
		return
	}
	p.give(g.head(), fleet.Order{Kind: fleet.OrderLeave, Group: g.name, Epoch: g.epoch}, "may_open_late")
}

func (p *planner) releaseMembers(g *group, standing Evidence) {
	for _, w := range g.byRank {
		if !w.usable() {
			continue
		}
		if !p.setFree(w, standing) {
			p.give(w, fleet.Order{Kind: fleet.OrderLeave, Group: g.name, Epoch: g.epoch}, "head_unreachable")
			continue
		}
		if g.standby && w.Member.State == fleet.Joining && p.now.Sub(w.ChangedAt) < 2*g.model.Load+stuckJoining {
			w.loading = g.model.Name
		}
	}
}

// ended reports whether a group is proven to serve no longer.
func (p *planner) ended(g *group, standing Evidence) bool {
	standing.Member = fleet.Membership{Group: g.name, Epoch: g.epoch}
	return standing.Proof(p.now) != Unproven
}
