package formation

import (
	"redwinghall/fleet"
)

const (
	// convertGain is the minimum gain in balanced supply (see supply) for which a group
	// is converted to another model. Smaller differences come and go with the load.
	convertGain = 0.03
	// minGroups is the minimum number of groups that a model keeps in a zone.
	minGroups = 2
	// maxUtilization is the highest part of a model's slots that may be needed after
	// one of its groups is converted and another is lost.
	maxUtilization = 0.8
)

// convert converts one group at a time from a model with spare capacity to a smaller
// model that is short of it. The group's members stage the smaller model in host memory
// first, while they keep serving.
//
// The configured shares are only an estimate of the workload. When the demand differs,
// groups of one model are half empty while requests for another are refused.
func (p *planner) convert() {
	if p.zone.Startup || len(p.closingGroups) > 0 {
		return
	}
	for _, g := range p.openable { // includes groups closed for conversion, which serving no longer counts
		if to, ok := p.bestSmallerModel(g.model, p.serving[g.model.Name]+g.size()); ok && !p.dismantled[g.name] && g.unfit() == 0 && p.hasStaged(g, to) {
			p.dismantle(g, "convert_to_"+to.Name)
			return
		}
	}
	spare := p.spareGroups()
	for _, g := range spare {
		if to, _ := p.bestSmallerModel(g.model, p.serving[g.model.Name]); p.hasStaged(g, to) {
			p.dismantle(g, "convert_to_"+to.Name)
			return
		}
	}
	if len(spare) > 0 {
		to, _ := p.bestSmallerModel(spare[0].model, p.serving[spare[0].model.Name])
		p.stageAll(spare[0], to)
	}
}

// spareGroups returns the open groups whose VMs are worth more to a smaller model.
func (p *planner) spareGroups() []*group {
	count := p.countGroups()
	var spare []*group
	for _, g := range p.openGroups {
		if count[g.model.Name] <= minGroups || !p.hasCapacity(g.model, count[g.model.Name]-2) || p.dismantled[g.name] || g.unfit() > 0 {
			continue
		}
		if _, ok := p.bestSmallerModel(g.model, p.serving[g.model.Name]); ok {
			spare = append(spare, g)
		}
	}
	return spare
}

// hasCapacity reports whether the given number of groups can carry a model's demand
// within maxUtilization.
func (p *planner) hasCapacity(model fleet.Model, groups int) bool {
	return p.zone.Demand[model.Name] <= maxUtilization*float64(groups*p.zone.Engine.Slots)
}

// bestSmallerModel returns the smaller model to which the VMs of one group of from are
// worth most, and false if the gain is not above convertGain. held is the number of VMs
// that from has, including that group.
func (p *planner) bestSmallerModel(from fleet.Model, held int) (fleet.Model, bool) {
	var best fleet.Model
	most := convertGain
	loss := p.supply(from, held) - p.supply(from, held-from.Size)
	for _, to := range p.zone.Engine.Models {
		if to.Size >= from.Size || to.Share <= 0 {
			continue
		}
		now := p.serving[to.Name]
		if gain := p.supply(to, now+from.Size) - p.supply(to, now) - loss; gain > most {
			best, most = to, gain
		}
	}
	return best, best.Name != ""
}

// wouldConvert reports whether one more group of a model would be converted right away.
func (p *planner) wouldConvert(model fleet.Model) bool {
	_, spare := p.bestSmallerModel(model, p.serving[model.Name]+model.Size)
	return spare && p.countGroups()[model.Name] >= minGroups
}

// wouldConvertWithout is wouldConvert once the VMs in donated have left their present models. p.serving no longer counts
// those in notServing.
//
// A group that is closed for a larger one no longer serves. If that alone made the larger one worth converting, the
// group would be opened again, and closed again.
func (p *planner) wouldConvertWithout(model fleet.Model, donated, notServing map[string]int) bool {
	for name, n := range donated {
		p.serving[name] -= n - notServing[name]
	}
	would := p.wouldConvert(model)
	for name, n := range donated {
		p.serving[name] += n - notServing[name]
	}
	return would
}

// countGroups counts the open groups of each model.
func (p *planner) countGroups() map[string]int {
	count := map[string]int{}
	for _, g := range p.openGroups {
		count[g.model.Name]++
	}
	return count
}

func (p *planner) hasStaged(g *group, model fleet.Model) bool {
	for _, w := range g.byRank {
		if !w.Endpoint.HasStaged(model.Name) {
			return false
		}
	}
	return true
}

func (p *planner) stageAll(g *group, model fleet.Model) {
	for rank := range g.size() {
		p.stageOn(g.byRank[rank], model)
	}
}

// stageInAdvance stages the next smaller model on one group of the largest model before
// the first request, while loads are fast, so that the group can be converted as soon
// as the demand is known.
func (p *planner) stageInAdvance() {
	models, count := p.largestFirst(), p.countGroups()
	if len(models) < 2 || models[1].Size >= models[0].Size || count[models[0].Name] <= minGroups {
		return
	}
	for i := len(p.openGroups) - 1; i >= 0; i-- {
		if g := p.openGroups[i]; g.model.Name == models[0].Name {
			p.stageAll(g, models[1])
			return
		}
	}
}
