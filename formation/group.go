package formation

import (
	"sort"

	"redwinghall/fleet"
)

// group is the members of one group that were seen.
type group struct {
	name    string
	epoch   int64
	model   fleet.Model
	known   bool
	standby bool
	byRank  map[int]*Worker
}

func (g *group) head() *Worker { return g.byRank[0] }

// headReachable reports whether the head is there and answers, as far as known.
func (g *group) headReachable() bool {
	head := g.head()
	return head != nil && !head.Suspect && !head.Silent
}

// evidence returns how the group's members stand to it.
func (g *group) evidence(z *Zone) Evidence {
	s := Evidence{Standby: g.standby, History: z.History(g.name)}
	if head := g.head(); head != nil {
		s.Head, s.HeadSince = head.Endpoint.Member, head.ReportedAt
	}
	return s
}

// complete reports whether every member is there, and usable.
func (g *group) complete() bool {
	for rank := range g.size() {
		w := g.byRank[rank]
		if w == nil || !w.usable() {
			return false
		}
	}
	return g.known
}

func (g *group) size() int {
	if g.standby {
		return 1
	}
	return g.model.Size
}

// hasLostMember reports whether a member is gone or doesn't answer, as against one that
// only says that it leaves.
func (g *group) hasLostMember() bool {
	for rank := range g.size() {
		if w := g.byRank[rank]; w == nil || w.Suspect || w.Silent {
			return true
		}
	}
	return false
}

// onlySilent reports whether all that is wrong is that members without an
// entry don't answer this node.
func (g *group) onlySilent() bool {
	for rank := range g.size() {
		if w := g.byRank[rank]; w == nil || w.Suspect || (!w.Silent && !w.usable()) {
			return false
		}
	}
	return g.known
}

// endpoints returns the members of a whole group in the order of their ranks.
func (g *group) endpoints() []*fleet.Endpoint {
	all := make([]*fleet.Endpoint, 0, g.size())
	for rank := range g.size() {
		all = append(all, g.byRank[rank].Endpoint)
	}
	return all
}

// slow reports whether a member holds the whole group up.
func (g *group) slow() bool {
	for _, w := range g.byRank {
		if w.Slow {
			return true
		}
	}
	return false
}

// unfit counts the members that hold the group up or are about to leave it.
func (g *group) unfit() int {
	n := 0
	for _, w := range g.byRank {
		if w.Slow || !w.usable() {
			n++
		}
	}
	return n
}

// leaving counts the members that said that they leave.
func (g *group) leaving() int {
	n := 0
	for _, w := range g.byRank {
		if !w.usable() {
			n++
		}
	}
	return n
}

// ready reports whether every member itself said that it is ready, under this
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

// groups gathers workers by the group that they belong to, in order of name.
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
			g = &group{name: w.Member.Group, epoch: w.Member.Epoch, model: model, known: known, standby: standby, byRank: map[int]*Worker{}}
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
