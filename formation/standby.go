package formation

import (
	"math"

	"redwinghall/fleet"
)

// keepStandbys loads the workers that are left over with the models that they are most
// likely needed for, so that replacing a lost member takes a second instead of a load.
func (p *planner) keepStandbys() {
	grouped := p.countByModel()
	for _, domain := range sortedKeys(p.free) {
		groups := grouped[domain]
		count := map[string]int{}
		var idle []*Worker
		for _, w := range p.free[domain] {
			has := w.LastModel
			if w.loading != "" {
				has = w.loading
			}
			if has != "" && count[has] == 0 {
				count[has]++
				continue
			}
			idle = append(idle, w)
		}
		for _, w := range idle {
			p.keepStandby(w, groups, count)
		}
	}
}

// countByModel counts the workers of each domain by the model of their group.
func (p *planner) countByModel() map[string]map[string]int {
	count := map[string]map[string]int{}
	for _, w := range p.zone.Workers {
		model, standby := parseName(w.Member.Group)
		if standby || model == "" {
			continue
		}
		domain := w.Endpoint.Domain
		if count[domain] == nil {
			count[domain] = map[string]int{}
		}
		count[domain][model]++
	}
	return count
}

func (p *planner) keepStandby(w *Worker, groups, count map[string]int) {
	var best fleet.Model
	most := 0.0
	for _, m := range p.zone.Engine.Models {
		// The first standby covers most losses of a model, a second one few more.
		need := (float64(groups[m.Name]) + 0.1*m.Share) / math.Pow(float64(1+count[m.Name]), 2)
		if w.LastModel == m.Name || w.Endpoint.HasStaged(m.Name) || w.loading == m.Name {
			need *= stagedBonus
		}
		if need > most {
			best, most = m, need
		}
	}
	count[best.Name]++
	if best.Name != "" && w.LastModel != best.Name && (p.zone.Startup || p.freeFor(w, loadDelay)) {
		p.loadStandby(w, best, "standby")
	}
}

// loadStandby makes a free worker load a model, as a standby group of its own that
// never opens.
func (p *planner) loadStandby(w *Worker, model fleet.Model, why string) {
	if w.loading != "" {
		return // one load at a time
	}
	loads := w.needsLoad(model)
	if loads && !p.zone.Startup {
		if p.zone.Loads <= 0 {
			return
		}
		p.zone.Loads--
	}
	epoch := p.zone.NextEpoch()
	order := fleet.Order{
		Kind: fleet.OrderJoin, Group: groupName(standbyPrefix, model.Name, epoch, 1), Epoch: epoch, Model: model.Name, Members: []string{w.Endpoint.ID}, Expected: p.zone.expected(w),
	}
	p.steps = append(p.steps, Step{Endpoint: w.Endpoint, Order: order, Why: why, Loads: loads, Proof: w.proof})
}
