package formation

import (
	"math"
	"sort"
	"time"

	"redwinghall/fleet"
)

// proposal is a candidate group.
type proposal struct {
	domain  string
	model   fleet.Model
	members []*Worker
	time    time.Duration // estimated time until the last member has joined
	worth   float64
}

// form assigns the free workers of each domain to groups, those of the highest worth
// first. A group whose members all have the model loaded or staged is formed at once.
// For any other group, the members that lack the model load it as standbys; the rest
// stay free meanwhile, so that they remain available when a lost member comes back.
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

// formFirst forms the first groups, while every VM can still serve any model.
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

// allHaveModel reports whether all members have the model loaded or staged and none is
// loading one.
func (p *proposal) allHaveModel() bool {
	for _, w := range p.members {
		if w.loading != "" || w.needsLoad(p.model) {
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

// propose returns the group of a model that a domain's free workers could form. Its
// worth is the gain in balanced supply over all models per worker, reduced by the time
// that forming the group takes.
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

// listedFirst moves workers that have a directory entry to the front: the first member
// becomes the head, and requests are only routed to listed endpoints.
func listedFirst(workers []*Worker) []*Worker {
	sort.SliceStable(workers, func(i, j int) bool { return !workers[i].Unlisted && workers[j].Unlisted })
	return workers
}

// cost ranks the workers for a group: those that can join soonest first, slow ones
// last.
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
		Kind: fleet.OrderJoin, Group: groupName(replicaPrefix, next.model.Name, epoch, len(next.members)), Epoch: epoch, Model: next.model.Name,
	}
	for _, w := range next.members {
		order.Members = append(order.Members, w.Endpoint.ID)
	}
	for _, w := range next.members {
		order.Expected = p.zone.expected(w)
		p.steps = append(p.steps, Step{
			Endpoint: w.Endpoint, Order: order, Why: "form", Loads: w.needsLoad(next.model), Proof: w.proof,
		})
	}
}

// load makes the members of a proposed group that lack its model load it.
//
// VMs that crash come back after some seconds with their model still in host memory. If
// the remaining members loaded another model at once, their old group would be
// unavailable for a whole load. So when most members would have to change their model,
// they wait for reloadDelay first.
func (p *planner) load(next *proposal) {
	var cold []*Worker
	changing := 0
	for _, w := range next.members {
		if !w.needsLoad(next.model) {
			continue
		}
		cold = append(cold, w)
		if w.holdsModel() {
			changing++
		}
	}
	delay := loadDelay
	if 2*changing > next.model.Size {
		delay = reloadDelay
	}
	for _, w := range cold {
		if p.freeFor(w, delay) {
			p.loadStandby(w, next.model, "load_for_group")
		}
	}
}

// freeFor reports whether a worker has been free for a while and no other one of its
// domain becomes free within moments.
func (p *planner) freeFor(w *Worker, delay time.Duration) bool {
	return !w.FreeSince.IsZero() && p.now.Sub(w.FreeSince) >= delay && !p.awaiting[w.Endpoint.Domain]
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
