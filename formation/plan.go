package formation

import (
	"sort"
	"time"

	"redwinghall/fleet"
)

// Weights and times of a plan.
const (
	// switchTime is the loading time that halves the worth of forming a group.
	switchTime = 4 * time.Second
	// reloadDelay is how long free VMs wait for a lost member to come back
	// before they are loaded with another model. VMs that crashed come
	// back with their model still in the host's memory.
	reloadDelay = 6 * time.Second
	// loadDelay is how long a worker must be free before it loads a model: VMs
	// of a domain that was dark come back over half a second, and the first
	// should not be loaded with what the whole domain doesn't need.
	loadDelay = time.Second
	// slowPenalty puts slow workers last when a group is formed.
	slowPenalty = 10 * time.Second
	// unlistedPenalty puts those without an entry behind equals, so that they
	// don't become heads.
	unlistedPenalty = 100 * time.Millisecond
	// stagedBonus favours the model that a standby has already.
	stagedBonus = 1.2
	// drainGrace is how long a group without a replacement goes on serving
	// after a member said that it leaves.
	drainGrace = 2500 * time.Millisecond
	// orderRetryInterval is when an order without visible effect is given again.
	orderRetryInterval = 1200 * time.Millisecond
	// entryLagLimit is how much later than those of the others of its group a
	// member's entry may show that it joined.
	entryLagLimit = 900 * time.Millisecond
	// openSettleTime is how long after an order to open a head may still look as if
	// it were not open: it takes the formation's time, and the entry's way.
	openSettleTime = 2500 * time.Millisecond
	// closeTimeout is when a group that finishes its work is told to end it.
	closeTimeout = 1500 * time.Millisecond
	// gracefulCloseTimeout is the same where no member is about to leave: longer than
	// most streams take.
	gracefulCloseTimeout = 4 * time.Second
	// joinGrace bounds how long a member may take to join beyond its load.
	joinGrace = 3 * time.Second
	// warmJoinTime is the time of a join where the VM's last group had the model.
	warmJoinTime = 200 * time.Millisecond
)

// Step is one order for one endpoint, with why it is given.
type Step struct {
	Endpoint *fleet.Endpoint
	Order    fleet.Order
	Why      string
	// Loads says that the order makes the VM load from the weight store.
	Loads bool
	// Members are, of an order to open, all members of the group.
	Members []*fleet.Endpoint
	// Proof is, of an order to join, why the VM may join another group.
	Proof Proof
}

// Zone is what a plan is made from.
type Zone struct {
	Engine  *fleet.Engine
	Workers []*Worker
	// Progressing reports whether a head's streams advance.
	Progressing func(endpointID string) bool
	// History returns what this holder knows of a group beside its members' words.
	History func(group string) GroupHistory
	// Startup says that no request has come yet: loads are quick and free.
	Startup bool
	// Demand is how many requests each model's groups have, smoothed; nil where
	// that isn't known.
	Demand map[string]float64
	// Loads is how many loads from the weight store may start now, and StageAtOnce how
	// many workers may take a model in at the same time while they serve.
	Loads, StageAtOnce int
	// NextEpoch returns a new epoch, higher than all before.
	NextEpoch func() int64
}

// Plan returns the orders that bring a zone nearer to serving its models.
func (z *Zone) Plan(now time.Time) []Step {
	for _, w := range z.Workers {
		w.loading = ""
	}
	groups := z.groups()
	p := &planner{
		zone: z, now: now, free: map[string][]*Worker{}, held: map[string][]*Worker{}, dismantled: map[string]bool{},
		serving: map[string]int{}, reserved: map[string]int{}, shares: z.shares(),
	}
	p.loading = p.stagingNow()
	for _, g := range groups {
		p.reconcile(g)
	}
	for _, w := range z.Workers {
		if w.Member.Group == "" && w.usable() {
			p.freeWorker(w, Evidence{})
		}
	}
	p.gather()
	p.convert()
	p.replace()
	p.openReady()
	p.form()
	p.keepStandbys()
	p.stage()
	return p.steps
}

// planner is a plan in the making.
type planner struct {
	zone  *Zone
	now   time.Time
	steps []Step
	// free holds the workers of each domain that may join another group.
	free map[string][]*Worker
	// held are free workers that are kept while others are gathered to join them,
	// taken are the names of the groups that are taken apart for that.
	held       map[string][]*Worker
	dismantled map[string]bool
	// shares are the models' parts of the VMs.
	shares map[string]float64
	// serving counts the workers in groups of each model.
	serving map[string]int
	// draining are groups that serve until a replacement is there, reserved
	// counts the workers of each domain that are meant as one.
	draining      []*group
	openable      []*group // ready to open
	openGroups    []*group // open, and whole
	loading       int      // workers that take a model in while they serve
	closingGroups []*group // finishing their streams
	reserved      map[string]int
}

func (p *planner) issue(w *Worker, order fleet.Order, why string) {
	if w.orderedWithin(order.Kind, p.now, orderRetryInterval) {
		return
	}
	p.steps = append(p.steps, Step{Endpoint: w.Endpoint, Order: order, Why: why})
}

// freeWorker lets a worker join another group if that is proven to be safe, and
// reports whether it is. Nothing else makes workers free.
func (p *planner) freeWorker(w *Worker, s Evidence) bool {
	s.Member, s.RejoinUntil = w.Member, w.RejoinUntil
	w.proof = s.Proof(p.now)
	if w.proof == Unproven {
		return false
	}
	p.free[w.Endpoint.Domain] = append(p.free[w.Endpoint.Domain], w)
	return true
}

// replace closes the groups with a leaving or slow member once a replacement is there,
// or shortly before the member goes.
func (p *planner) replace() {
	for _, g := range p.draining {
		spare := p.spares(g) >= g.unfit()
		since := p.now
		for _, w := range g.byRank {
			if !w.DrainingSince.IsZero() && w.DrainingSince.Before(since) {
				since = w.DrainingSince
			}
		}
		if spare || p.now.Sub(since) > drainGrace {
			p.reserved[g.head().Endpoint.Domain] += g.unfit()
			p.issue(g.head(), fleet.Order{Kind: fleet.OrderClose, Group: g.name, Epoch: g.epoch}, "member_leaves")
		}
	}
}

// openReady opens the groups that are ready, unless a slow member can be replaced.
func (p *planner) openReady() {
	for _, g := range p.openable {
		if p.dismantled[g.name] {
			continue
		}
		opening := g.head().orderedWithin(fleet.OrderOpen, p.now, openSettleTime)
		if !opening && g.slow() && p.spares(g) >= g.unfit() {
			p.reserved[g.head().Endpoint.Domain] += g.unfit()
			p.release(g)
			continue
		}
		p.countServing(g)
		before := len(p.steps)
		p.issue(g.head(), fleet.Order{Kind: fleet.OrderOpen, Group: g.name, Epoch: g.epoch}, "all_ready")
		for i := before; i < len(p.steps); i++ {
			p.steps[i].Members = g.endpoints()
		}
	}
}

// spares counts the free workers that could replace members of a group at once.
func (p *planner) spares(g *group) int {
	domain := g.head().Endpoint.Domain
	n := -p.reserved[domain]
	for _, w := range append(append([]*Worker(nil), p.free[domain]...), p.held[domain]...) {
		if !w.needsLoad(g.model) && w.loading == "" && !w.Slow {
			n++
		}
	}
	return n
}

func sortedKeys(m map[string][]*Worker) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
