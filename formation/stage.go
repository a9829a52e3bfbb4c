package formation

import (
	"sort"

	"redwinghall/fleet"
)

// stagedDivisor sets how many replacements are kept staged: the size of the large group
// divided by it.
const stagedDivisor = 2

// stageRetryFactor times a model's load time is the time after which an order to stage
// it that shows no effect is sent again.
const stageRetryFactor = 2

// stage makes members of small groups stage a larger model in host memory while they
// serve, so that they can replace lost members of its groups at once. Half of a group's
// size is kept staged in each domain: the next loss may happen before a load ends, and
// a group with less than half of its members left isn't rebuilt. A domain's only small
// group stages nothing: VMs that crash come back with the staged model in host memory,
// and that group would be unavailable for a whole load.
//
// Unlike VMs that are kept idle as standbys, these VMs keep serving.
func (p *planner) stage() {
	if p.zone.Startup {
		if p.forming() {
			return // groups come first, as loads slow each other down
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

// stageIn orders the staging that a domain still needs for a model.
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

// stageable returns the groups of a domain whose members may stage a larger model, those
// that have staged it on the most members first.
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

// staged counts the members of a group that have a model in host memory or are staging
// it.
func (p *planner) staged(g *group, model fleet.Model) int {
	n := 0
	for _, w := range g.byRank {
		if w.Endpoint.HasStaged(model.Name) || p.staging(w, model) {
			n++
		}
	}
	return n
}

// stagingNow counts the workers of the zone that stage a model while they serve.
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

// stageOn makes a worker stage a model unless the limit of concurrent loads is reached.
//
// The weight store's bandwidth is shared by all loads. In a zone of many domains,
// speculative staging would delay the loads that groups wait for.
func (p *planner) stageOn(w *Worker, model fleet.Model) {
	if w.Endpoint.HasStaged(model.Name) || p.staging(w, model) || p.stagingCount >= p.zone.StageAtOnce {
		return
	}
	if !p.zone.Startup {
		if p.zone.Loads <= 0 {
			return
		}
		p.zone.Loads--
	}
	p.stagingCount++
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

// hasGroup reports whether a domain has an open group of a model.
func (p *planner) hasGroup(domain string, model fleet.Model) bool {
	for _, g := range p.openGroups {
		if g.model.Name == model.Name && g.head().Endpoint.Domain == domain {
			return true
		}
	}
	return false
}
