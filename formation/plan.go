package formation

import (
	"math"
	"sort"
	"time"

	"redwinghall/fleet"
)

// Weights and times of a plan.
const (
	// switchTime is the loading time that halves the worth of forming a group:
	// a group that is there after a second is worth more than one after 16 s.
	switchTime = 4 * time.Second
	// convertPatience is how long free VMs wait for a lost member to come back
	// before they are loaded with another model. VMs that crashed are back
	// after 4 to 7 s, with their model still in the host's memory.
	convertPatience = 6 * time.Second
	// loadSettle is how long a worker must be free before it loads a model: VMs
	// of a domain that was dark come back over half a second, and the first
	// should not be loaded with what the whole domain doesn't need.
	loadSettle = time.Second
	// slowPenalty puts slow workers last when a group is formed.
	slowPenalty = 10 * time.Second
	// unlistedPenalty puts those without an entry behind equals, so that they
	// don't become heads.
	unlistedPenalty = 100 * time.Millisecond
	// atHandBonus favours the model that a standby has already.
	atHandBonus = 1.2
	// drainGrace is how long a group without a replacement goes on serving
	// after a member said that it leaves.
	drainGrace = 2500 * time.Millisecond
	// orderRepeat is when an order without visible effect is given again.
	orderRepeat = 1200 * time.Millisecond
	// stuckClosing is when a group that finishes its work is told to end it.
	stuckClosing = 1500 * time.Millisecond
	// stuckJoining bounds how long a member may take to join beyond its load.
	stuckJoining = 3 * time.Second
	// instantJoin is the time of a join where the VM's last group had the model.
	instantJoin = 200 * time.Millisecond
)

// Step is one order for one endpoint, with why it is given.
type Step struct {
	Endpoint *fleet.Endpoint
	Order    fleet.Order
	Why      string
	// Loads says that the order makes the VM load from the weight store.
	Loads bool
	// Hold says that the VM must wait, after it left, until the group's head
	// has noticed.
	Hold bool
}

// Worker is an endpoint as the planner sees it: its entry, overlaid with the
// order that was given last and not yet shown, and with what was found out.
type Worker struct {
	Endpoint *fleet.Endpoint
	Member   fleet.Membership
	// LastModel is the model of its last group since its start.
	LastModel string
	// Suspect says that it didn't answer when it was asked.
	Suspect bool
	// HeldUntil is set where it left a group whose head may still be open.
	HeldUntil time.Time
	// OrderedAt is when it was last given an order of a kind.
	OrderedAt map[fleet.OrderKind]time.Time
	// DrainingSince is when its entry first said that it leaves.
	DrainingSince time.Time
	// FreeSince is when it was first seen without a group that serves.
	FreeSince time.Time
	// ChangedAt is when its membership last changed.
	ChangedAt time.Time
	// Slow says that it works slower than it should.
	Slow bool
	// Unlisted says that its entry is missing but it answers: it can be a
	// member, but no head, as requests don't go to it.
	Unlisted bool
	// Silent says that it is unlisted and doesn't answer this node.
	Silent bool

	loading string // the model that it takes in as a standby
}

func (w *Worker) usable() bool {
	return !w.Suspect && !w.Silent && w.Endpoint.State == fleet.EndpointReady
}

func (w *Worker) ordered(kind fleet.OrderKind, now time.Time, within time.Duration) bool {
	at, ok := w.OrderedAt[kind]
	return ok && now.Sub(at) < within
}

// joinTime is how long the worker takes to join a group of a model.
func (w *Worker) joinTime(m fleet.Model, now time.Time) time.Duration {
	switch {
	case w.loading == m.Name:
		// Not before it is done: a join would start the load anew.
		return max(0, m.Load-now.Sub(w.ChangedAt)) + m.Warm + instantJoin
	case w.loading == "" && w.LastModel == m.Name:
		return instantJoin
	case w.loading == "" && w.Endpoint.HasStaged(m.Name):
		return m.Warm
	}
	return max(m.Load, instantJoin) + m.Warm
}

// cold reports whether the worker would have to load the model from the
// weight store, and isn't doing so.
func (w *Worker) cold(m fleet.Model) bool {
	if w.loading != "" {
		return w.loading != m.Name
	}
	return w.LastModel != m.Name && !w.Endpoint.HasStaged(m.Name)
}

// Zone is what a plan is made from.
type Zone struct {
	Engine  *fleet.Engine
	Workers []*Worker
	// Moves reports whether a head's streams advance.
	Moves func(endpointID string) bool
	// OpenDoubt holds the groups whose head may yet open, by an order that was
	// not answered or that an earlier holder gave.
	OpenDoubt func(group string) bool
	// HeadGone holds the groups whose head's process is known to have ended.
	HeadGone map[string]bool
	// Fresh says that no request has come yet: loads are quick and free.
	Fresh bool
	// Loads is how many loads from the weight store may start now.
	Loads int
	// NextEpoch returns a new epoch, higher than all before.
	NextEpoch func() int64
}

// group is the members of one group that were seen.
type group struct {
	name    string
	epoch   int64
	model   fleet.Model
	known   bool
	standby bool
	byRank  map[int]*Worker
}

func (g *group) head() *Worker { return g.byRank[0] }

// whole reports whether every member is there, and usable.
func (g *group) whole() bool {
	for rank := range g.size() {
		w := g.byRank[rank]
		if w == nil || !w.usable() {
			return false
		}
	}
	return g.known
}

func (g *group) size() int {
	if g.standby {
		return 1
	}
	return g.model.Size
}

// lost reports whether a member is gone or doesn't answer, as against one that
// only says that it leaves.
func (g *group) lost() bool {
	for rank := range g.size() {
		if w := g.byRank[rank]; w == nil || w.Suspect || w.Silent {
			return true
		}
	}
	return false
}

// onlySilent reports whether all that is wrong is that members without an
// entry don't answer this node.
func (g *group) onlySilent() bool {
	for rank := range g.size() {
		if w := g.byRank[rank]; w == nil || w.Suspect || (!w.Silent && !w.usable()) {
			return false
		}
	}
	return g.known
}

// slow reports whether a member holds the whole group up.
func (g *group) slow() bool {
	for _, w := range g.byRank {
		if w.Slow {
			return true
		}
	}
	return false
}

// unfit counts the members that hold the group up or are about to leave it.
func (g *group) unfit() int {
	n := 0
	for _, w := range g.byRank {
		if w.Slow || !w.usable() {
			n++
		}
	}
	return n
}

// ready reports whether every member itself said that it is ready, under this
// name and epoch.
func (g *group) ready() bool {
	for rank := range g.size() {
		w := g.byRank[rank]
		if w == nil || w.Endpoint.Member != w.Member || w.Member.State != fleet.Ready || w.Suspect {
			return false
		}
	}
	return true
}

// Plan returns the orders that bring a zone nearer to serving its models.
func (z *Zone) Plan(now time.Time) []Step {
	for _, w := range z.Workers {
		w.loading = ""
	}
	groups := z.groups()
	p := &planner{zone: z, now: now, free: map[string][]*Worker{}, serving: map[string]int{}, reserved: map[string]int{}}
	for _, g := range groups {
		p.reconcile(g)
	}
	for _, w := range z.Workers {
		if w.Member.Group == "" && w.usable() && !now.Before(w.HeldUntil) {
			p.free[w.Endpoint.Domain] = append(p.free[w.Endpoint.Domain], w)
		}
	}
	p.replace()
	p.open()
	p.form()
	p.keepStandbys()
	return p.steps
}

// groups gathers workers by the group that they belong to, in order of name.
func (z *Zone) groups() []*group {
	byName := map[string]*group{}
	for _, w := range z.Workers {
		if w.Member.Group == "" {
			continue
		}
		g, ok := byName[w.Member.Group]
		if !ok {
			name, standby := parseName(w.Member.Group)
			model, known := z.Engine.Model(name)
			g = &group{name: w.Member.Group, epoch: w.Member.Epoch, model: model, known: known, standby: standby, byRank: map[int]*Worker{}}
			byName[g.name] = g
		}
		if w.Member.Epoch > g.epoch {
			g.epoch, g.byRank = w.Member.Epoch, map[int]*Worker{}
		}
		if w.Member.Epoch == g.epoch {
			g.byRank[w.Member.Rank] = w
		}
	}
	all := make([]*group, 0, len(byName))
	for _, g := range byName {
		all = append(all, g)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].name < all[j].name })
	return all
}

// planner is a plan in the making.
type planner struct {
	zone  *Zone
	now   time.Time
	steps []Step
	// free holds the workers of each domain that may join another group.
	free map[string][]*Worker
	// serving counts the workers in groups of each model.
	serving map[string]int
	// draining are groups that serve until a replacement is there, reserved
	// counts the workers of each domain that are meant as one.
	draining []*group
	idle     []*group // ready to open
	reserved map[string]int
}

func (p *planner) give(w *Worker, order fleet.Order, why string) {
	if w.ordered(order.Kind, p.now, orderRepeat) {
		return
	}
	p.steps = append(p.steps, Step{Endpoint: w.Endpoint, Order: order, Why: why})
}

func (p *planner) giveHeld(w *Worker, order fleet.Order, why string) {
	before := len(p.steps)
	p.give(w, order, why)
	for i := before; i < len(p.steps); i++ {
		p.steps[i].Hold = true
	}
}

// reconcile looks at one group: it opens one that is ready, ends one that lost
// a member, and sets the members free of one that serves nobody.
func (p *planner) reconcile(g *group) {
	switch {
	case g.standby:
		p.release(g)
	case g.head() == nil || g.head().Suspect || g.head().Silent:
		p.headless(g)
	case g.head().Member.State == fleet.Open && g.head().Unlisted:
		p.give(g.head(), fleet.Order{Kind: fleet.OrderClose, Group: g.name, Epoch: g.epoch}, "head_unlisted")
	case g.head().Member.State == fleet.Open:
		p.opened(g)
	case g.head().Member.State == fleet.Closing:
		p.closing(g)
	case g.head().Member.State == fleet.Broken || !g.whole() || g.head().Unlisted:
		p.release(g)
	case g.ready():
		p.idle = append(p.idle, g)
	default:
		p.joining(g)
	}
}

func (p *planner) count(g *group) { p.serving[g.model.Name] += g.model.Size }

// opened looks at a group that serves.
//
// Guard: a group that lost a member goes on accepting requests, and nothing
// moves. It is closed at once, so that its callers go elsewhere and its other
// members are of use again.
func (p *planner) opened(g *group) {
	switch {
	case g.whole():
		p.count(g)
		if g.slow() {
			p.draining = append(p.draining, g)
		}
	case g.onlySilent() && p.zone.Moves(g.head().Endpoint.ID):
		// Members that are cut off from here and from the store may still serve
		// with the others: what the streams show goes first.
		p.count(g)
	case g.lost() || !g.known:
		p.give(g.head(), fleet.Order{Kind: fleet.OrderClose, Group: g.name, Epoch: g.epoch, Cancel: true}, "member_lost")
	default:
		p.count(g)
		p.draining = append(p.draining, g)
	}
}

func (p *planner) closing(g *group) {
	since := p.now.Sub(g.head().ChangedAt)
	if g.lost() || since > stuckClosing {
		p.give(g.head(), fleet.Order{Kind: fleet.OrderClose, Group: g.name, Epoch: g.epoch, Cancel: true}, "closing_takes_long")
	}
}

// joining waits for members, and gives the order again to those that show no
// sign of it.
func (p *planner) joining(g *group) {
	p.count(g)
	members := g.members()
	for rank := range g.size() {
		w := g.byRank[rank]
		shown := w.Endpoint.Member.Group == g.name && w.Endpoint.Member.Epoch == g.epoch
		if !shown && members != nil {
			p.give(w, fleet.Order{Kind: fleet.OrderJoin, Group: g.name, Epoch: g.epoch, Model: g.model.Name, Members: members}, "join_again")
		}
	}
}

// members returns the ids of a whole group in the order of their ranks.
func (g *group) members() []string {
	ids := make([]string, 0, g.size())
	for rank := range g.size() {
		w := g.byRank[rank]
		if w == nil {
			return nil
		}
		ids = append(ids, w.Endpoint.ID)
	}
	return ids
}

// headless looks at a group whose head can't be asked.
//
// Guard: the head may still serve although its entry lapsed or this node
// doesn't reach it. If its members joined other groups meanwhile, its callers
// would wait on a group that stands still. Unless the head's process is known
// to have ended, the members leave first and are held until the head has
// noticed.
func (p *planner) headless(g *group) {
	if p.zone.HeadGone[g.name] || neverOpened(g) {
		p.release(g)
		return
	}
	for _, w := range g.byRank {
		if w.usable() {
			p.giveHeld(w, fleet.Order{Kind: fleet.OrderLeave, Group: g.name, Epoch: g.epoch}, "head_unreachable")
		}
	}
}

// neverOpened reports whether a member has not even joined yet: then no head
// was told to open.
func neverOpened(g *group) bool {
	for _, w := range g.byRank {
		if w.Member.State == fleet.Joining {
			return true
		}
	}
	return false
}

// release sets the members of a group free that serves nobody.
//
// Guard: an order to open that got no answer may be carried out seconds later.
// If the members had joined other groups by then, the head would accept
// requests that nobody works on. While that may happen, the head leaves first.
func (p *planner) release(g *group) {
	if head := g.head(); !g.standby && head != nil && !head.Suspect && !head.Silent && p.zone.OpenDoubt(g.name) {
		p.give(head, fleet.Order{Kind: fleet.OrderLeave, Group: g.name, Epoch: g.epoch}, "may_open_late")
		return
	}
	for _, w := range g.byRank {
		if !w.usable() || p.now.Before(w.HeldUntil) {
			continue
		}
		if g.standby && w.Member.State == fleet.Joining && p.now.Sub(w.ChangedAt) < 2*g.model.Load+stuckJoining {
			w.loading = g.model.Name
		}
		p.free[w.Endpoint.Domain] = append(p.free[w.Endpoint.Domain], w)
	}
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
			p.give(g.head(), fleet.Order{Kind: fleet.OrderClose, Group: g.name, Epoch: g.epoch}, "member_leaves")
		}
	}
}

// open opens the groups that are ready, unless a slow member can be replaced.
func (p *planner) open() {
	for _, g := range p.idle {
		if g.slow() && p.spares(g) >= g.unfit() {
			p.reserved[g.head().Endpoint.Domain] += g.unfit()
			p.release(g)
			continue
		}
		p.count(g)
		p.give(g.head(), fleet.Order{Kind: fleet.OrderOpen, Group: g.name, Epoch: g.epoch}, "all_ready")
	}
}

// spares counts the free workers that could replace members of a group at once.
func (p *planner) spares(g *group) int {
	domain := g.head().Endpoint.Domain
	n := -p.reserved[domain]
	for _, w := range p.free[domain] {
		if w.LastModel == g.model.Name && w.loading == "" && !w.Slow {
			n++
		}
	}
	return n
}

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
	if p.zone.Fresh {
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
		case p.zone.Fresh || best.atHand():
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

// atHand reports whether all members have the model, and none is loading.
func (n *proposal) atHand() bool {
	for _, w := range n.members {
		if w.loading != "" || w.cold(n.model) {
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
	gain := model.Share * (math.Log(held+float64(model.Size)) - math.Log(max(held, 0.5))) / float64(model.Size)
	if !p.zone.Fresh {
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
			Endpoint: w.Endpoint, Order: order, Why: "form", Loads: w.cold(next.model),
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
		if w.cold(next.model) {
			cold = append(cold, w)
		}
	}
	patience := loadSettle
	if 2*len(cold) > next.model.Size {
		patience = convertPatience
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

// keepStandbys loads the workers that are left over with the models that they
// may be needed for, so that the loss of a member costs a second instead of a load.
func (p *planner) keepStandbys() {
	for _, domain := range sortedKeys(p.free) {
		groups := p.groupsIn(domain)
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

// groupsIn counts the workers of a domain by the model of their group.
func (p *planner) groupsIn(domain string) map[string]int {
	count := map[string]int{}
	for _, w := range p.zone.Workers {
		model, standby := parseName(w.Member.Group)
		if w.Endpoint.Domain == domain && !standby && model != "" {
			count[model]++
		}
	}
	return count
}

func (p *planner) keepStandby(w *Worker, groups, count map[string]int) {
	var best fleet.Model
	most := 0.0
	for _, m := range p.zone.Engine.Models {
		// The first spare covers most of a model's losses, a second one few.
		need := (float64(groups[m.Name]) + 0.1*m.Share) / math.Pow(float64(1+count[m.Name]), 2)
		if w.LastModel == m.Name || w.Endpoint.HasStaged(m.Name) || w.loading == m.Name {
			need *= atHandBonus
		}
		if need > most {
			best, most = m, need
		}
	}
	count[best.Name]++
	if best.Name != "" && w.LastModel != best.Name && (p.zone.Fresh || p.freeFor(w, loadSettle)) {
		p.loadStandby(w, best, "standby")
	}
}

// loadStandby lets a free worker take a model in, by a group of its own that
// never opens.
func (p *planner) loadStandby(w *Worker, model fleet.Model, why string) {
	if w.loading != "" {
		return // one load after the other
	}
	loads := w.cold(model)
	if loads && !p.zone.Fresh {
		if p.zone.Loads <= 0 {
			return
		}
		p.zone.Loads--
	}
	epoch := p.zone.NextEpoch()
	order := fleet.Order{
		Kind: fleet.OrderJoin, Group: groupName(standbyPrefix, model.Name, epoch), Epoch: epoch, Model: model.Name, Members: []string{w.Endpoint.ID},
	}
	p.steps = append(p.steps, Step{Endpoint: w.Endpoint, Order: order, Why: why, Loads: loads})
}

func sortedKeys(m map[string][]*Worker) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
