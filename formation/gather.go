package formation

import (
	"math"
	"sort"
	"time"

	"redwinghall/fleet"
)

// closeTime is how long a group that is taken apart needs for its last streams,
// as far as it counts against gathering.
const closeTime = 2 * time.Second

// gather makes groups whole again with the members of smaller models' groups
// that have the larger model in their hosts' memory.
//
// Guard: a group of a large model that loses members for good leaves too few
// VMs in its domain. What is left goes to small groups, and the large model
// dies out, one loss after the other, while the small ones have more groups than
// they need. A group of a small model that is taken apart costs its own places;
// the large group is there again without a load.
func (p *planner) gather() {
	if p.zone.Startup {
		return
	}
	for _, model := range p.largestFirst() {
		for _, domain := range p.domains() {
			p.replaceLeaving(domain, model)
			p.rebuildGroup(domain, model)
		}
	}
	for domain := range p.free {
		p.free[domain] = without(p.free[domain], p.held[domain])
	}
}

// rebuildGroup gathers what the rest of a group of a model lacks, and joins the
// group once all members are there. A rest of less than half of it, and of a
// group that would be given to another model, is left to other uses.
func (p *planner) rebuildGroup(domain string, model fleet.Model) {
	rest := p.freeWithModel(domain, model)
	if 2*len(rest) < model.Size || p.wouldConvert(model) {
		return
	}
	missing := model.Size - len(rest) - p.closingDonors(domain, model)
	if missing > 0 && !p.dismantleDonors(domain, model, missing, 0) {
		return
	}
	rest = p.freeWithModel(domain, model) // groups that weren't open are free at once
	if len(rest) >= model.Size {
		p.joinRebuilt(domain, model, rest[:model.Size])
		return
	}
	p.hold(domain, rest)
}

// joinRebuilt joins a group some of whose members served another model, unless
// they are worth more there.
func (p *planner) joinRebuilt(domain string, model fleet.Model, rest []*Worker) {
	given := map[string]int{}
	for _, w := range rest {
		if w.LastModel != "" && w.LastModel != model.Name {
			given[w.LastModel]++
		}
	}
	if len(given) == 0 || !p.worthDismantling(model, given, given) {
		return
	}
	next := &proposal{domain: domain, model: model, members: listedFirst(rest)}
	if next.members[0].Unlisted {
		return
	}
	p.serving[model.Name] += model.Size
	p.free[domain] = without(p.free[domain], rest)
	p.join(next)
}

// replaceLeaving gathers replacements for members of a group that say that they leave.
func (p *planner) replaceLeaving(domain string, model fleet.Model) {
	leaving := 0
	for _, g := range p.draining {
		if g.model.Name == model.Name && g.head().Endpoint.Domain == domain {
			leaving += g.leaving()
		}
	}
	if leaving == 0 {
		return
	}
	missing := leaving - len(p.freeWithModel(domain, model)) - p.closingDonors(domain, model)
	if missing <= 0 || p.dismantleDonors(domain, model, missing, model.Size) {
		p.hold(domain, p.freeWithModel(domain, model))
	}
}

// dismantleDonors closes groups of a domain so that their members can join one of a larger
// model. It reports whether it found enough that are worth less where they are.
// about is how many VMs of the model will be lost otherwise.
func (p *planner) dismantleDonors(domain string, model fleet.Model, missing, about int) bool {
	var chosen []*group
	given := map[string]int{}
	for _, g := range p.donors(domain, model) {
		if missing <= 0 {
			break
		}
		chosen = append(chosen, g)
		given[g.model.Name] += g.size()
		missing -= g.size()
	}
	p.serving[model.Name] -= about
	worth := missing <= 0 && p.worthDismantling(model, given, nil)
	p.serving[model.Name] += about
	if !worth {
		return false
	}
	for _, g := range chosen {
		p.dismantle(g, "gather_for_"+model.Name)
	}
	return true
}

// dismantle ends a group, after its streams if it serves.
func (p *planner) dismantle(g *group, why string) {
	p.dismantled[g.name] = true
	if g.head().Member.State != fleet.Open {
		p.release(g)
		return
	}
	p.serving[g.model.Name] -= g.size()
	p.issue(g.head(), fleet.Order{Kind: fleet.OrderClose, Group: g.name, Epoch: g.epoch}, why)
}

// worthDismantling reports whether one more group of a model adds more to the even
// supply of all models than the VMs add that are given for it. Those that are
// out of service already are counted back in.
func (p *planner) worthDismantling(model fleet.Model, given, out map[string]int) bool {
	loss := 0.0
	for _, m := range p.zone.Engine.Models {
		if n := given[m.Name]; n > 0 {
			held := p.serving[m.Name] + out[m.Name]
			loss += p.supply(m, held) - p.supply(m, held-n)
		}
	}
	held := p.serving[model.Name]
	gain := p.supply(model, held+model.Size) - p.supply(model, held)
	wait := model.Warm + closeTime
	return gain/(1+wait.Seconds()/switchTime.Seconds()) > loss
}

// supply is what a number of VMs that serve a model are worth to the even supply.
func (p *planner) supply(m fleet.Model, vms int) float64 {
	return p.shares[m.Name] * math.Log(max(float64(vms), 0.5))
}

// donors returns the groups of a domain that may be taken apart for a larger
// model: all their members have it in the host's memory. Those that aren't open
// come first.
func (p *planner) donors(domain string, model fleet.Model) []*group {
	var donors []*group
	for _, g := range append(append([]*group(nil), p.openable...), p.openGroups...) {
		if p.canDonate(g, domain, model) && !p.dismantled[g.name] {
			donors = append(donors, g)
		}
	}
	return donors
}

// closingDonors counts the members of groups that close and may join one of a model then.
func (p *planner) closingDonors(domain string, model fleet.Model) int {
	n := 0
	for _, g := range p.closingGroups {
		if p.canDonate(g, domain, model) {
			n += g.size()
		}
	}
	return n
}

// canDonate reports whether a group of a domain is fit to be taken apart for a
// larger model.
func (p *planner) canDonate(g *group, domain string, model fleet.Model) bool {
	if g.model.Size >= model.Size || g.head().Endpoint.Domain != domain || !g.complete() || g.unfit() > 0 {
		return false
	}
	for _, w := range g.byRank {
		if w.Unlisted {
			return false
		}
	}
	return p.hasStaged(g, model)
}

// freeWithModel returns the free workers of a domain that have a model at hand, those
// whose last group had it first.
func (p *planner) freeWithModel(domain string, model fleet.Model) []*Worker {
	var all []*Worker
	for _, w := range without(p.free[domain], p.held[domain]) {
		if w.loading == "" && !w.Slow && !w.needsLoad(model) {
			all = append(all, w)
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return p.cost(all[i], model) < p.cost(all[j], model) })
	return all
}

// hold keeps free workers out of other uses while more are gathered.
func (p *planner) hold(domain string, workers []*Worker) {
	p.held[domain] = append(p.held[domain], workers...)
}

// largestFirst returns the models by the size of their groups.
func (p *planner) largestFirst() []fleet.Model {
	models := append([]fleet.Model(nil), p.zone.Engine.Models...)
	sort.SliceStable(models, func(i, j int) bool { return models[i].Size > models[j].Size })
	return models
}

// domains returns the domains of the zone's workers, sorted.
func (p *planner) domains() []string {
	seen := map[string]bool{}
	var all []string
	for _, w := range p.zone.Workers {
		if !seen[w.Endpoint.Domain] {
			seen[w.Endpoint.Domain] = true
			all = append(all, w.Endpoint.Domain)
		}
	}
	sort.Strings(all)
	return all
}
