package formation

import (
	"math"
	"sort"
	"time"

	"redwinghall/fleet"
)

// closeTime is the estimated time that a dismantled group needs to finish its streams.
// It reduces the worth of the group that is rebuilt from its members.
const closeTime = 2 * time.Second

// gather completes groups that lost members with the members of smaller models' groups
// that have the larger model staged in host memory.
//
// A group of a large model that permanently loses members leaves too few VMs in its
// domain to form it again. The remaining VMs would go to small groups, and over several
// losses the large model would lose all its groups while the small models have more
// than they need. Dismantling a small group only costs that group's own slots, and the
// large group is back without a load.
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

// rebuildGroup obtains the members that an incomplete group of a model lacks, and forms
// the group once all of them are free. It does nothing if fewer than half of the
// members remain, or if the group would be converted to another model right away.
func (p *planner) rebuildGroup(domain string, model fleet.Model) {
	rest := p.freeWithModel(domain, model)
	if 2*len(rest) < model.Size {
		return
	}
	missing := model.Size - len(rest) - p.closingDonors(domain, model)
	if missing > 0 && !p.dismantleDonors(domain, model, missing, 0) {
		return
	}
	if missing <= 0 && p.wouldConvert(model) {
		return
	}
	rest = p.freeWithModel(domain, model) // members of groups that were not open are free at once
	if len(rest) >= model.Size {
		p.joinRebuilt(domain, model, rest[:model.Size])
		return
	}
	p.hold(domain, rest)
}

// joinRebuilt forms a group from workers some of which served another model, unless
// they are worth more there.
func (p *planner) joinRebuilt(domain string, model fleet.Model, rest []*Worker) {
	donated := map[string]int{}
	for _, w := range rest {
		if w.LastModel != "" && w.LastModel != model.Name {
			donated[w.LastModel]++
		}
	}
	if len(donated) == 0 || !p.worthDismantling(model, donated, donated) {
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

// replaceLeaving obtains replacements for group members that announced that they are
// leaving.
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

// dismantleDonors closes groups of a domain so that their members can join a group of a
// larger model. It reports whether it found enough groups that are worth less as they
// are. expectedLoss is the number of VMs that the larger model loses without a
// replacement.
func (p *planner) dismantleDonors(domain string, model fleet.Model, missing, expectedLoss int) bool {
	var chosen []*group
	donated, notServing := map[string]int{}, map[string]int{}
	for _, g := range p.donors(domain, model) {
		if missing <= 0 {
			break
		}
		chosen = append(chosen, g)
		donated[g.model.Name] += g.size()
		if g.head().Member.State != fleet.Open {
			notServing[g.model.Name] += g.size()
		}
		missing -= g.size()
	}
	p.serving[model.Name] -= expectedLoss
	worth := missing <= 0 && p.worthDismantling(model, donated, notServing)
	p.serving[model.Name] += expectedLoss
	if !worth || (expectedLoss == 0 && p.wouldConvertWithout(model, donated, notServing)) {
		return false
	}
	for _, g := range chosen {
		p.dismantle(g, "gather_for_"+model.Name)
	}
	return true
}

// dismantle ends a group; if it is open, its streams finish first.
func (p *planner) dismantle(g *group, why string) {
	p.dismantled[g.name] = true
	if g.head().Member.State != fleet.Open {
		p.release(g)
		return
	}
	p.serving[g.model.Name] -= g.size()
	p.issue(g.head(), fleet.Order{Kind: fleet.OrderClose, Group: g.name, Epoch: g.epoch}, why)
}

// worthDismantling reports whether one more group of a model adds more to the balanced
// supply than the VMs in donated contribute to their present models. p.serving no longer
// counts the VMs in notServing, so they are added back.
func (p *planner) worthDismantling(model fleet.Model, donated, notServing map[string]int) bool {
	loss := 0.0
	for _, m := range p.zone.Engine.Models {
		if n := donated[m.Name]; n > 0 {
			held := p.serving[m.Name] + notServing[m.Name]
			loss += p.supply(m, held) - p.supply(m, held-n)
		}
	}
	held := p.serving[model.Name]
	gain := p.supply(model, held+model.Size) - p.supply(model, held)
	wait := model.Warm + closeTime
	return gain/(1+wait.Seconds()/switchTime.Seconds()) > loss
}

// supply returns the contribution of a number of VMs serving a model to the balanced
// supply: its share times the logarithm of that number.
func (p *planner) supply(m fleet.Model, vms int) float64 {
	return p.shares[m.Name] * math.Log(max(float64(vms), 0.5))
}

// donors returns the groups of a domain that may be dismantled for a larger model:
// those whose members all have it staged in host memory. Groups that are not open come
// first.
func (p *planner) donors(domain string, model fleet.Model) []*group {
	var donors []*group
	for _, g := range append(append([]*group(nil), p.openable...), p.openGroups...) {
		if p.canDonate(g, domain, model) && !p.dismantled[g.name] {
			donors = append(donors, g)
		}
	}
	return donors
}

// closingDonors counts the members of closing groups that may join a group of a model
// afterwards.
func (p *planner) closingDonors(domain string, model fleet.Model) int {
	n := 0
	for _, g := range p.closingGroups {
		if p.canDonate(g, domain, model) {
			n += g.size()
		}
	}
	return n
}

// canDonate reports whether a group of a domain may be dismantled for a larger model.
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

// freeWithModel returns the free workers of a domain that have a model loaded or
// staged, those whose last group served it first.
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

// hold reserves free workers while the other members of their group are obtained.
func (p *planner) hold(domain string, workers []*Worker) {
	p.held[domain] = append(p.held[domain], workers...)
}

// largestFirst returns the models ordered by group size, largest first.
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
