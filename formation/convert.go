package formation

import (
	"redwinghall/fleet"
)

const (
	// convertGain is by how much the even supply must gain, so that a group is
	// given to another model: small differences come and go with the load.
	convertGain = 0.03
	// minGroups is the least number of groups that a model keeps in a zone.
	minGroups = 2
	// maxUtilization is how much of their places a model's groups may need, when one has
	// been given away and another is lost.
	maxUtilization = 0.8
)

// convert gives a group of a model that has places to spare to a smaller one
// that is short, one group at a time. Its members take the smaller model into
// their hosts' memory first, while they serve.
//
// Gain: the configured shares say what the work was thought to be. Where it has
// shifted, groups of one model are half empty while callers of another one are
// refused.
func (p *planner) convert() {
	if p.zone.Startup || len(p.closingGroups) > 0 {
		return
	}
	for _, g := range p.openable { // it was closed for this, and isn't counted
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

// spareGroups returns the groups that serve and are worth more to a smaller model.
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

// hasCapacity reports whether so many groups of a model bear what is asked of it.
func (p *planner) hasCapacity(model fleet.Model, groups int) bool {
	return p.zone.Demand[model.Name] <= maxUtilization*float64(groups*p.zone.Engine.Slots)
}

// bestSmallerModel returns the smaller model to which the VMs of one group of a model are
// worth most, if it is enough. held is how many VMs the model has with that group.
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

// wouldConvert reports whether one more group of a model would be given away at once.
func (p *planner) wouldConvert(model fleet.Model) bool {
	_, spare := p.bestSmallerModel(model, p.serving[model.Name]+model.Size)
	return spare && p.countGroups()[model.Name] >= minGroups
}

// countGroups counts the groups that serve each model.
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

// stageInAdvance lets one group of the largest model take the next smaller one into its
// hosts' memory before the first request, when loads are quick, so that it can
// be given away as soon as the demand shows.
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
