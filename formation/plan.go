package formation

import (
	"sort"
	"time"

	"redwinghall/fleet"
)

// Weights and timing of a plan.
const (
	// switchTime is the loading time that halves the worth of forming a group.
	switchTime = 4 * time.Second
	// reloadDelay is how long free VMs wait for a lost member to come back before they
	// load another model. VMs that crashed come back with their model still in host
	// memory.
	reloadDelay = 6 * time.Second
	// loadDelay is how long a worker must be free before it loads a model: the VMs of a
	// domain that was down come back over half a second, and the first ones should not
	// load what the whole domain doesn't need.
	loadDelay = time.Second
	// slowPenalty ranks slow workers last when a group is formed.
	slowPenalty = 10 * time.Second
	// unlistedPenalty ranks workers without an entry behind otherwise equal ones, so
	// that they don't become heads.
	unlistedPenalty = 100 * time.Millisecond
	// stagedBonus favours the model that a standby already has loaded or staged.
	stagedBonus = 1.2
	// drainGrace is how long a group without a replacement keeps serving after a member
	// announced that it is leaving.
	drainGrace = 2500 * time.Millisecond
	// orderRetryInterval is the time after which an order without visible effect is
	// sent again.
	orderRetryInterval = 1200 * time.Millisecond
	// entryLagLimit is how much later than the entries of the rest of its group a
	// member's entry may show that it joined.
	entryLagLimit = 900 * time.Millisecond
	// openSettleTime is how long after an order to open a head may still appear not to
	// be open: it covers the formation time and the propagation of the entry.
	openSettleTime = 2500 * time.Millisecond
	// closeTimeout is the time after which a closing group is ordered to cancel its
	// remaining work.
	closeTimeout = 1500 * time.Millisecond
	// gracefulCloseTimeout replaces closeTimeout if no member is about to leave. It is
	// longer than most streams take.
	gracefulCloseTimeout = 4 * time.Second
	// joinGrace limits how long joining may take beyond the load.
	joinGrace = 3 * time.Second
	// warmJoinTime is the time of a join if the VM's last group had the same model.
	warmJoinTime = 200 * time.Millisecond
)

// Step is one order for one endpoint, with the reason for it.
type Step struct {
	Endpoint *fleet.Endpoint
	Order    fleet.Order
	Why      string
	// Loads reports whether the order makes the VM load from the weight store.
	Loads bool
	// Members holds all members of the group; set for orders to open only.
	Members []*fleet.Endpoint
	// Proof is the reason why the VM may join another group; set for orders to join
	// only.
	Proof Proof
}

// Zone is the input of a plan.
type Zone struct {
	Engine  *fleet.Engine
	Workers []*Worker
	// EarlierOrders reports whether orders of an earlier holder may still be carried out.
	EarlierOrders bool
	// Progressing reports whether a head's streams advance.
	Progressing func(endpointID string) bool
	// History returns what this holder recorded about a group.
	History func(group string) GroupHistory
	// Startup reports whether the deployment starts for the first time and no request
	// has arrived yet: loads are fast and don't count against the budget.
	Startup bool
	// Demand is the smoothed number of requests in the groups of each model; nil if it
	// is not known yet.
	Demand map[string]float64
	// Loads is how many loads from the weight store may start now, and StageAtOnce how
	// many workers may stage a model at the same time while they serve.
	Loads, StageAtOnce int
	// NextEpoch returns a new epoch, higher than all earlier ones.
	NextEpoch func() int64
}

// Plan returns the orders that move a zone towards serving its models.
func (z *Zone) Plan(now time.Time) []Step {
	for _, w := range z.Workers {
		w.loading, w.ordersUnconfirmed = "", false
	}
	groups := z.groups()
	p := &planner{
		zone: z, now: now, free: map[string][]*Worker{}, held: map[string][]*Worker{}, dismantled: map[string]bool{}, awaiting: map[string]bool{},
		serving: map[string]int{}, reserved: map[string]int{}, shares: z.shares(),
	}
	p.stagingCount = p.stagingNow()
	for _, g := range groups {
		p.reconcile(g)
	}
	p.awaitUnsettled(groups)
	p.awaitReleased()
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

// planner builds one plan.
type planner struct {
	zone  *Zone
	now   time.Time
	steps []Step
	// free holds the workers of each domain that may join another group.
	free map[string][]*Worker
	// held holds free workers that are reserved while the other members of their group
	// are obtained, and dismantled the names of the groups dismantled for that.
	held       map[string][]*Worker
	dismantled map[string]bool
	// awaiting holds the domains of workers that become free within moments, once the
	// number of their orders is known.
	awaiting map[string]bool
	// shares holds each model's share of the VMs.
	shares map[string]float64
	// serving counts the workers in groups of each model.
	serving map[string]int
	// draining holds groups that serve until a replacement is available, and reserved
	// counts the workers of each domain set aside as replacements.
	draining      []*group
	openable      []*group // every member is ready
	openGroups    []*group // open and complete
	stagingCount  int      // workers that stage a model while they serve
	closingGroups []*group // complete, and finishing their streams
	released      []*group // their members are to become free
	reserved      map[string]int
}

func (p *planner) issue(w *Worker, order fleet.Order, why string) {
	if w.orderedWithin(order.Kind, p.now, orderRetryInterval) {
		return
	}
	p.steps = append(p.steps, Step{Endpoint: w.Endpoint, Order: order, Why: why})
}

// freeWorker lets a worker join another group if that is proven to be safe, and reports
// whether it is. No other code makes workers free.
func (p *planner) freeWorker(w *Worker, e Evidence) bool {
	e.Member, e.RejoinUntil, e.EarlierOrders = w.Member, w.RejoinUntil, p.zone.EarlierOrders
	w.proof = e.Proof(p.now)
	if w.proof == Unproven {
		return false
	}
	if p.zone.needsConfirmedOrders(w) && !w.Orders.Known {
		p.awaitConfirmedOrders(w)
		return false
	}
	w.unconfirmedSince = time.Time{}
	p.free[w.Endpoint.Domain] = append(p.free[w.Endpoint.Domain], w)
	return true
}

// replace closes the groups that have a leaving or slow member once a replacement is
// available, or shortly before the member leaves.
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

// openReady opens the groups whose members are all ready, unless a slow member can be
// replaced.
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
