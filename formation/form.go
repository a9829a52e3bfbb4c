package formation

import (
	"math"
	"sort"
	"time"

	"redwinghall/fleet"
)

// proposal is a group that could be formed.
type proposal struct {
	domain  string
	model   fleet.Model
	members []*Worker
	time    time.Duration // until the last member has joined
	worth   float64
}

// form decides what the free workers of each domain are for: the worthiest
// groups first. A group whose members all have the model at hand is formed at
// once. For another one, the members that lack the model load it as standbys;
// the rest stay free meanwhile, so that a member that comes back is of use.
func (p *planner) form() {
	if p.zone.Startup {
		p.formFirst()
	}
	for {
		best := p.bestProposal()
		if best == nil {
			return
		}
		p.serving[best.model.Name] += best.model.Size
		p.free[best.domain] = without(p.free[best.domain], best.members)
		switch {
		case p.zone.Startup || best.allHaveModel():
			p.join(best)
		default:
			p.load(best)
		}
	}
}

// formFirst joins the first groups, while every VM may still serve any model.
func (p *planner) formFirst() {
	sizes := map[string]int{}
	for domain, free := range p.free {
		sizes[domain] = len(free)
	}
	for domain, counts := range split(p.zone.Engine.Models, sizes, p.serving) {
		for i, model := range p.zone.Engine.Models {
			for range counts[i] {
				if next := p.propose(domain, model); next != nil {
					p.serving[model.Name] += model.Size
					p.free[domain] = without(p.free[domain], next.members)
					p.join(next)
				}
			}
		}
	}
}

// allHaveModel reports whether all members have the model, and none is loading.
func (n *proposal) allHaveModel() bool {
	for _, w := range n.members {
		if w.loading != "" || w.needsLoad(n.model) {
			return false
		}
	}
	return true
}

func (p *planner) bestProposal() *proposal {
	var best *proposal
	for _, domain := range sortedKeys(p.free) {
		for _, model := range p.zone.Engine.Models {
			next := p.propose(domain, model)
			if next != nil && (best == nil || next.worth > best.worth) {
				best = next
			}
		}
	}
	return best
}

// propose returns the group of a model that a domain's free workers could
// form, with its worth: what its workers add to the even supply of all models,
// for each worker, less the longer it takes.
func (p *planner) propose(domain string, model fleet.Model) *proposal {
	free := p.free[domain]
	if len(free) < model.Size || model.Share <= 0 {
		return nil
	}
	sorted := append([]*Worker(nil), free...)
	sort.SliceStable(sorted, func(i, j int) bool { return p.cost(sorted[i], model) < p.cost(sorted[j], model) })
	next := &proposal{domain: domain, model: model, members: listedFirst(sorted[:model.Size])}
	if next.members[0].Unlisted {
		return nil
	}
	for _, w := range next.members {
		next.time = max(next.time, w.joinTime(model, p.now))
	}
	held := float64(p.serving[model.Name])
	gain := p.shares[model.Name] * (math.Log(held+float64(model.Size)) - math.Log(max(held, 0.5))) / float64(model.Size)
	if !p.zone.Startup {
		gain /= 1 + next.time.Seconds()/switchTime.Seconds()
	}
	next.worth = gain
	return next
}

// listedFirst puts the workers that requests may go to first, as the first is the head.
func listedFirst(workers []*Worker) []*Worker {
	sort.SliceStable(workers, func(i, j int) bool { return !workers[i].Unlisted && workers[j].Unlisted })
	return workers
}

// cost orders the workers for a group: those that join soonest, and slow ones last.
func (p *planner) cost(w *Worker, model fleet.Model) time.Duration {
	cost := w.joinTime(model, p.now)
	if w.Slow {
		cost += slowPenalty
	}
	if w.Unlisted {
		cost += unlistedPenalty
	}
	return cost
}

func (p *planner) join(next *proposal) {
	epoch := p.zone.NextEpoch()
	order := fleet.Order{
		Kind: fleet.OrderJoin, Group: groupName(replicaPrefix, next.model.Name, epoch), Epoch: epoch, Model: next.model.Name,
	}
	for _, w := range next.members {
		order.Members = append(order.Members, w.Endpoint.ID)
	}
	for _, w := range next.members {
		p.steps = append(p.steps, Step{
			Endpoint: w.Endpoint, Order: order, Why: "form", Loads: w.needsLoad(next.model), Proof: w.proof,
		})
	}
}

// load lets the members of a planned group that lack its model load it.
//
// Guard: VMs that crash come back after some seconds, with their model in the
// host's memory. If those that are left were loaded with another model at
// once, the group that they were would be gone for a load's time. So when most
// members would have to change, they wait a while first.
func (p *planner) load(next *proposal) {
	var cold []*Worker
	for _, w := range next.members {
		if w.needsLoad(next.model) {
			cold = append(cold, w)
		}
	}
	patience := loadDelay
	if 2*len(cold) > next.model.Size {
		patience = reloadDelay
	}
	for _, w := range cold {
		if p.freeFor(w, patience) {
			p.loadStandby(w, next.model, "load_for_group")
		}
	}
}

func (p *planner) freeFor(w *Worker, patience time.Duration) bool {
	return !w.FreeSince.IsZero() && p.now.Sub(w.FreeSince) >= patience
}

func without(all, taken []*Worker) []*Worker {
	in := map[*Worker]bool{}
	for _, w := range taken {
		in[w] = true
	}
	var rest []*Worker
	for _, w := range all {
		if !in[w] {
			rest = append(rest, w)
		}
	}
	return rest
}
