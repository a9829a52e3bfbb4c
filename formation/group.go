package formation

import (
	"sort"

	"redwinghall/fleet"
)

// group holds the members of one group that the zone's workers include.
type group struct {
	name       string
	epoch      int64
	model      fleet.Model
	modelKnown bool
	formedSize int // number of VMs that it was formed of, 0 if unknown
	standby    bool
	byRank     map[int]*Worker
}

func (g *group) head() *Worker { return g.byRank[0] }

// headReachable reports whether the group has a head that is neither suspect nor silent.
func (g *group) headReachable() bool {
	head := g.head()
	return head != nil && !head.Suspect && !head.Silent
}

// evidence returns the evidence on whether the group still serves. The caller sets the
// fields that differ between members.
func (g *group) evidence(z *Zone) Evidence {
	e := Evidence{Standby: g.standby, History: z.History(g.name)}
	if head := g.head(); head != nil {
		e.Head, e.HeadSince = head.Endpoint.Member, head.ReportedAt
	}
	return e
}

// complete reports whether every member is present and usable, and the group fits the
// configuration.
func (g *group) complete() bool {
	for rank := range g.size() {
		w := g.byRank[rank]
		if w == nil || !w.usable() {
			return false
		}
	}
	return !g.outdated()
}

// size returns the number of the group's members, which the configuration may have changed
// since the group was formed.
func (g *group) size() int {
	switch {
	case g.standby:
		return 1
	case g.formedSize > 0:
		return g.formedSize
	}
	return g.model.Size
}

// outdated reports whether the configuration no longer has the group's model, or has it in
// another size.
func (g *group) outdated() bool {
	return !g.modelKnown || (!g.standby && g.size() != g.model.Size)
}

// hasLostMember reports whether a member is gone or doesn't answer. A member that only
// announced that it is leaving doesn't count, nor one that is to be asked again.
func (g *group) hasLostMember() bool {
	for rank := range g.size() {
		if w := g.byRank[rank]; w == nil || w.Silent || (w.Suspect && !g.outlived(w)) {
			return true
		}
	}
	return false
}

// outlived reports whether the group's head was suspect itself after a member was last asked.
//
// This node was parted from both then, and finds out about the member only by asking it again. Members become
// suspect at different moments, so without this a sound group would lose its streams as soon as its head answers.
func (g *group) outlived(w *Worker) bool {
	head := g.head()
	return head != nil && w.SuspectedAt.Before(head.TrustedSince)
}

// onlyOutlived reports whether the only problem is that members are to be asked again.
func (g *group) onlyOutlived() bool {
	for rank := range g.size() {
		if w := g.byRank[rank]; w == nil || (!w.usable() && (!w.Suspect || !g.outlived(w))) {
			return false
		}
	}
	return !g.outdated()
}

// onlySilent reports whether the only problem is that members without a directory entry
// don't answer this node.
func (g *group) onlySilent() bool {
	for rank := range g.size() {
		if w := g.byRank[rank]; w == nil || w.Suspect || (!w.Silent && !w.usable()) {
			return false
		}
	}
	return !g.outdated()
}

// endpoints returns the members of a complete group in rank order.
func (g *group) endpoints() []*fleet.Endpoint {
	all := make([]*fleet.Endpoint, 0, g.size())
	for rank := range g.size() {
		all = append(all, g.byRank[rank].Endpoint)
	}
	return all
}

// slow reports whether a member slows down the whole group.
func (g *group) slow() bool {
	for _, w := range g.byRank {
		if w.Slow {
			return true
		}
	}
	return false
}

// unfit counts the members that are slow or about to leave the group.
func (g *group) unfit() int {
	n := 0
	for _, w := range g.byRank {
		if w.Slow || !w.usable() {
			n++
		}
	}
	return n
}

// leaving counts the members that announced that they are leaving.
func (g *group) leaving() int {
	n := 0
	for _, w := range g.byRank {
		if !w.usable() {
			n++
		}
	}
	return n
}

// ready reports whether every member's own entry shows it as ready under the group's
// name and epoch.
func (g *group) ready() bool {
	for rank := range g.size() {
		w := g.byRank[rank]
		if w == nil || w.Endpoint.Member != w.Member || w.Member.State != fleet.Ready || w.Suspect {
			return false
		}
	}
	return true
}

// groups collects the workers by group, sorted by group name.
func (z *Zone) groups() []*group {
	byName := map[string]*group{}
	for _, w := range z.Workers {
		if w.Member.Group == "" {
			continue
		}
		g, ok := byName[w.Member.Group]
		if !ok {
			name, standby := parseName(w.Member.Group)
			model, known := z.Engine.Model(name)
			g = &group{name: w.Member.Group, epoch: w.Member.Epoch, model: model, modelKnown: known, formedSize: formedSize(w.Member.Group), standby: standby, byRank: map[int]*Worker{}}
			byName[g.name] = g
		}
		if w.Member.Epoch > g.epoch {
			g.epoch, g.byRank = w.Member.Epoch, map[int]*Worker{}
		}
		if other := g.byRank[w.Member.Rank]; w.Member.Epoch == g.epoch && (other == nil || !w.Unlisted) {
			g.byRank[w.Member.Rank] = w
		}
	}
	all := make([]*group, 0, len(byName))
	for _, g := range byName {
		all = append(all, g)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].name < all[j].name })
	return all
}
