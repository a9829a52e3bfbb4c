package formation

import (
	"sort"

	"redwinghall/fleet"
)

// stagedDivisor is which part of a large group's members can be replaced at once.
const stagedDivisor = 2

// stageRetryFactor is after how many times its loading time an order to stage a model
// that shows no effect is given again.
const stageRetryFactor = 2

// stage lets members of small groups take a larger model into their hosts' memory
// while they serve, so that they can replace lost members of its groups at once.
// Half of a group's size is kept in each domain: the next loss may come before a
// load ends, and a rest of less than half isn't made whole. A domain's only small group
// is left alone: hosts that crash come back with what they have in memory, and it
// would be gone for a load's time.
//
// Gain: a VM that stands by for a loss serves nobody meanwhile; these do.
func (p *planner) stage() {
	if p.zone.Startup {
		if p.forming() {
			return // first the groups: loads slow each other down
		}
		p.stageInAdvance()
	}
	domains := p.domains()
	for _, model := range p.largestFirst() {
		for _, domain := range domains {
			if p.hasGroup(domain, model) {
				p.stageIn(domain, model)
			}
		}
	}
}

// stageIn orders what a domain lacks of the VMs that have a model at hand.
func (p *planner) stageIn(domain string, model fleet.Model) {
	missing := (model.Size + stagedDivisor - 1) / stagedDivisor
	for _, w := range p.free[domain] {
		if w.loading == model.Name || (w.loading == "" && !w.needsLoad(model)) {
			missing--
		}
	}
	groups := p.stageable(domain, model)
	if len(groups) < 2 {
		return
	}
	for _, g := range groups {
		if p.staged(g, model) == g.size() {
			missing -= g.size()
		}
	}
	for _, g := range groups {
		if missing <= 0 {
			return
		}
		if p.staged(g, model) == g.size() {
			continue
		}
		missing -= g.size()
		for rank := range g.size() {
			p.stageOn(g.byRank[rank], model)
		}
	}
}

// stageable returns the groups of a domain whose hosts may take in a larger
// model, those first that have most of it.
func (p *planner) stageable(domain string, model fleet.Model) []*group {
	var groups []*group
	for _, g := range p.openGroups {
		if g.model.Size < model.Size && g.head().Endpoint.Domain == domain && g.unfit() == 0 && !p.dismantled[g.name] {
			groups = append(groups, g)
		}
	}
	sort.SliceStable(groups, func(i, j int) bool { return p.staged(groups[i], model) > p.staged(groups[j], model) })
	return groups
}

// staged counts the members of a group that have a model in the host's memory or
// are taking it in.
func (p *planner) staged(g *group, model fleet.Model) int {
	n := 0
	for _, w := range g.byRank {
		if w.Endpoint.HasStaged(model.Name) || p.staging(w, model) {
			n++
		}
	}
	return n
}

// stagingNow counts the workers of the zone that take a model in while they serve.
func (p *planner) stagingNow() int {
	n := 0
	for _, w := range p.zone.Workers {
		model, known := p.zone.Engine.Model(w.Staging)
		if known && !w.Endpoint.HasStaged(model.Name) && p.staging(w, model) {
			n++
		}
	}
	return n
}

func (p *planner) staging(w *Worker, model fleet.Model) bool {
	return w.Staging == model.Name && w.orderedWithin(fleet.OrderStage, p.now, stageRetryFactor*model.Load)
}

// stageOn lets a worker take a model in, if not too many do.
//
// Guard: the weight store gives all loads together so much; in a zone of many
// domains what is loaded just in case would hold up what groups wait for.
func (p *planner) stageOn(w *Worker, model fleet.Model) {
	if w.Endpoint.HasStaged(model.Name) || p.staging(w, model) || p.loading >= p.zone.StageAtOnce {
		return
	}
	if !p.zone.Startup {
		if p.zone.Loads <= 0 {
			return
		}
		p.zone.Loads--
	}
	p.loading++
	order := fleet.Order{Kind: fleet.OrderStage, Model: model.Name}
	p.steps = append(p.steps, Step{Endpoint: w.Endpoint, Order: order, Why: "stage_for_repair", Loads: true})
}

// forming reports whether any worker of the zone is about to join a group.
func (p *planner) forming() bool {
	if len(p.openable) > 0 || len(p.openGroups) == 0 {
		return true
	}
	for _, w := range p.zone.Workers {
		if w.Member.State == fleet.Joining {
			return true
		}
	}
	return false
}

// hasGroup reports whether a model is served in a domain.
func (p *planner) hasGroup(domain string, model fleet.Model) bool {
	for _, g := range p.openGroups {
		if g.model.Name == model.Name && g.head().Endpoint.Domain == domain {
			return true
		}
	}
	return false
}
