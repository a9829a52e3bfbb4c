package formation

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"redwinghall"
	"redwinghall/directory"
	"redwinghall/fleet"
	"redwinghall/kernel"
)

// Timing of the manager.
const (
	planInterval = 100 * time.Millisecond
	// suspectDuration is how long an endpoint that didn't answer is kept out of groups.
	suspectDuration = 4 * time.Second
	// overlayTimeout is how long an order is assumed to be carried out before its
	// effect shows in the endpoint's entry.
	overlayTimeout = 2 * time.Second
	// slowTimeFactor is the time factor from which a member counts as slow: it delays
	// its whole group. It counts as slow for slowDuration and is then probed again.
	slowTimeFactor = 1.7
	slowDuration   = 10 * time.Second
	// settleTime is how long the set of endpoints of a zone must stay unchanged before
	// its first groups are formed: groups of the first few endpoints would leave no
	// domain for the large models. maxSettleTime is the longest wait, because groups
	// must be open when the first requests arrive.
	settleTime    = 500 * time.Millisecond
	maxSettleTime = 6 * time.Second
	// lateOrderWindow is how long after it was sent an unanswered order may still be
	// carried out.
	lateOrderWindow = 14 * time.Second
	// minSilence is how long a member must leave reports unanswered before it counts as lost. Its
	// streams have been still for about as long when it is first asked, and a sound endpoint
	// may be silent for a second.
	minSilence      = 600 * time.Millisecond
	probeRetryDelay = 50 * time.Millisecond
	// probeInterval is the minimum time between probes of an endpoint that doesn't
	// answer.
	probeInterval = 500 * time.Millisecond
	// panicPause is how long a zone or a service isn't planned after its planning panicked.
	panicPause = time.Second
)

// Options are the dependencies of a manager.
type Options struct {
	// Settings returns the settings in force.
	Settings func() fleet.Settings
	Cache    *directory.Cache
	Orderer  fleet.Orderer
	// HoldsLease reports whether this node may form the groups of a zone now, and
	// LeasePosition returns the store position at which it acquired the zone's lease.
	HoldsLease    func(zone string) bool
	LeasePosition func(zone string) fleet.Position
	// Recovered reports whether the entries that the store lost before an era have been
	// written again.
	Recovered func(era int64) bool
	// Position returns the newest store position that this node has seen.
	Position func() fleet.Position
	// TrafficStarted reports whether any request has arrived yet.
	TrafficStarted func() bool
	// Progressing reports whether this node recently saw a stream of an endpoint
	// advance.
	Progressing func(now time.Time, endpointID string) bool
	// IsLeaving reports whether an endpoint said itself that it leaves.
	IsLeaving func(*fleet.Endpoint) bool
	// Uses returns what client accounts asked of a zone and got there; nil if nobody tells.
	Uses func(now time.Time, zone string) []redwinghall.AccountUse
	// Running returns this node's estimate of how many requests a head has in progress.
	Running func(now time.Time, endpointID string) int
}

// Manager forms the groups of the zones whose lease this node holds.
type Manager struct {
	Options
	mu            sync.Mutex
	endpoints     map[string]*endpointState
	groups        map[string]*groupState
	epoch         int64
	loadBudgets   map[string]*loadBudget   // by zone
	registrations map[string]*registration // by zone
	demands       map[string]*demand       // by zone
	tenures       map[string]tenure        // by zone whose lease this node holds
	sending       map[string]bool          // endpoints with an order in flight
	probing       map[string]bool
	pausedUntil   map[string]time.Time // by what is planned, after a panic
	answers       answerClock
	witnessedAt   time.Time // when endpoints were last asked only to find out whether any answers
	pending       atomic.Bool
	stopped       bool
	group         *kernel.Group
}

// endpointState is what the manager keeps about an endpoint between plans.
type endpointState struct {
	worker        Worker
	startedMillis int64
	suspectUntil  time.Time
	// bySilence is set if the endpoint is suspect only because it left reports unanswered.
	bySilence  bool
	slowUntil  time.Time
	overlay    fleet.Membership
	overlaidAt time.Time
	reported   fleet.Membership
	seenAt     time.Time
	probedAt   time.Time
	// silentSince is when the first of the reports that it left unanswered was asked for, zero if
	// it answered the last one.
	silentSince time.Time
	// silentFrom is what the clock of answers showed at silentSince.
	silentFrom time.Duration
	// stillUntil is until when no node of the zone is known to get events from the endpoint's streams.
	stillUntil time.Time
	// early is set while the endpoint is asked only because its group is still for all nodes.
	early bool
	// unreached is the first of the questions that reached the endpoint neither by this node's own connection nor by
	// way of others, and unreachedAt when that was last found, zero if the last one reached it.
	unreached   question
	unreachedAt time.Time
	unlisted    unlisted
	// unansweredJoin is the group of the last join order that got no answer, and
	// unansweredJoinUntil is until when that order may still be carried out.
	unansweredJoin      string
	unansweredJoinUntil time.Time
	confirmed           confirmedOrders
	// highestEpoch is the highest epoch that the endpoint's entry showed.
	highestEpoch int64
}

// registration tracks how the endpoints of a zone register at startup.
type registration struct {
	count   int
	first   time.Time
	changed time.Time
}

// NewManager returns a manager without endpoints. Start runs it.
func NewManager(options Options) *Manager {
	options.Orderer = protectedOrderer{options.Orderer}
	return &Manager{
		Options: options, endpoints: map[string]*endpointState{}, groups: map[string]*groupState{},
		loadBudgets: map[string]*loadBudget{}, registrations: map[string]*registration{}, demands: map[string]*demand{}, tenures: map[string]tenure{}, sending: map[string]bool{}, probing: map[string]bool{},
		pausedUntil: map[string]time.Time{},
	}
}

// Pending reports whether this node waits for endpoints to carry out orders that take
// only moments.
func (m *Manager) Pending() bool { return m.pending.Load() }

// Stop ends planning; orders in flight are not cancelled.
func (m *Manager) Stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
}

// Start runs the planning loop until the kernel group stops.
func (m *Manager) Start(g *kernel.Group) {
	m.group = g
	g.Every("formation", planInterval, m.step)
}

func (m *Manager) step(ctx context.Context, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		m.pending.Store(false)
		return
	}
	m.pruneGroups(now)
	pending := false
	for _, zone := range m.Settings().Zones {
		pending = m.protectPlan(now, zone, func() bool { return m.planLeasedZone(ctx, now, zone) }) || pending
	}
	m.pending.Store(pending)
}

// protectPlan calls plan, which reports whether any change is in progress. A panic in it ends only this call,
// so that what belongs to other names is planned.
func (m *Manager) protectPlan(now time.Time, name string, plan func() bool) (pending bool) {
	if now.Before(m.pausedUntil[name]) {
		return false
	}
	delete(m.pausedUntil, name)
	err := kernel.Protect("formation", func() error {
		pending = plan()
		return nil
	})
	if err != nil {
		m.pausedUntil[name] = now.Add(panicPause)
	}
	return pending
}

// planLeasedZone plans a zone's groups if this node holds its lease. It reports whether any change is in progress.
func (m *Manager) planLeasedZone(ctx context.Context, now time.Time, zone string) bool {
	if !m.HoldsLease(zone) {
		delete(m.loadBudgets, zone)
		delete(m.demands, zone)
		delete(m.tenures, zone)
		return false
	}
	if !m.caughtUp(zone) {
		return true
	}
	return m.planServices(ctx, now, zone)
}

// planServices plans the groups of a zone's engine services from the newest view: a
// view taken before caughtUp may be older than the position that caughtUp checked. It
// reports whether any change is in progress.
func (m *Manager) planServices(ctx context.Context, now time.Time, zone string) bool {
	view := m.Cache.View()
	config := view.Config()
	if config == nil {
		return false
	}
	pending := false
	for name, service := range config.Services {
		if service.Engine != nil {
			plan := func() bool { return m.planZone(ctx, now, zone, service, view.ByService[name]) }
			pending = m.protectPlan(now, zone+"/"+name, plan) || pending
		}
	}
	return pending
}

// caughtUp reports whether this node has read the endpoints' entries as of the time it
// acquired a zone's lease.
//
// The last holder opens a group based on its members' entries and may stop right
// afterwards. A new holder with an older copy of the entries would see those members
// without a group and join them to other groups while they serve. The same holds for
// entries of a store that was just restored to an older state.
func (m *Manager) caughtUp(zone string) bool {
	read := m.Cache.Read()
	return !read.Before(m.LeasePosition(zone)) && m.Recovered(read.Era)
}

// planZone plans one zone's groups and sends the orders. It reports whether any change
// is in progress.
func (m *Manager) planZone(ctx context.Context, now time.Time, zone string, service fleet.Service, endpoints []*fleet.Endpoint) bool {
	engine := service.Engine
	z := &Zone{History: m.history, Progressing: func(id string) bool { return m.Progressing(now, id) }, Engine: engine, Startup: m.Settings().FirstStart && !m.TrafficStarted(), NextEpoch: m.nextEpoch}
	pending := false
	for _, e := range endpoints {
		if e.Zone != zone {
			continue
		}
		w := m.trackEndpoint(now, e)
		z.Workers = append(z.Workers, w)
		m.epoch = max(m.epoch, w.Member.Epoch, e.Member.Epoch)
		pending = pending || w.changePending()
	}
	if z.Startup && !m.registrationSettled(now, zone, len(z.Workers)) {
		return true
	}
	m.addUnlisted(ctx, now, z, zone, service.Name, service.HealthPath)
	m.recheckSuspects(ctx, now, z.Workers)
	m.askWhileSilent(now, z.Workers)
	m.markFree(now, z.Workers)
	held := m.tenureOf(now, zone)
	z.EarlierOrders = held.earlierOrders(now)
	m.trackOrders(z.Workers, held)
	budget := m.loadBudgetFor(zone, engine)
	z.Loads, z.StageAtOnce = budget.available(now), max(1, engine.LoadsAtOnce/max(1, len(m.Settings().Zones)))
	z.Demand = m.updateDemand(now, z, zone, service.Name)
	steps := z.Plan(now)
	m.confirmOrders(ctx, z.Workers)
	for _, s := range steps {
		if s.Loads && !z.Startup {
			budget.spend()
		}
		m.send(ctx, now, s)
	}
	return pending || len(steps) > 0
}

// registrationSettled reports whether all endpoints of a zone have probably registered:
// their number hasn't changed for settleTime, or maxSettleTime has passed.
func (m *Manager) registrationSettled(now time.Time, zone string, endpoints int) bool {
	r, ok := m.registrations[zone]
	if !ok {
		r = &registration{first: now}
		m.registrations[zone] = r
	}
	if r.count != endpoints {
		r.count, r.changed = endpoints, now
	}
	return endpoints > 0 && (now.Sub(r.changed) >= settleTime || now.Sub(r.first) >= maxSettleTime)
}

const (
	// epochBits leaves room for 4,096 epochs for each version of the store.
	epochBits = 12
	// eraBits leaves room for 2^28 versions in each era of the store.
	eraBits = 40
)

// nextEpoch returns an epoch higher than all earlier ones.
//
// Orders of an earlier holder may be carried out late. Its epochs derive from store
// positions before this holder acquired the lease, so they are lower, and a VM that has
// seen a newer epoch refuses them. Versions alone go back when the store is restored to
// an older state; eras don't.
func (m *Manager) nextEpoch() int64 {
	at := m.Position()
	m.epoch = max(m.epoch, at.Era<<eraBits+at.Version<<epochBits) + 1
	return m.epoch
}

// markFree records since when each worker belongs to no group that serves or forms.
func (m *Manager) markFree(now time.Time, workers []*Worker) {
	serving := map[string]bool{}
	for _, w := range workers {
		if _, standby := parseName(w.Member.Group); standby || w.Member.Group == "" {
			continue
		}
		if w.Member.State == fleet.Joining || (w.Member.Rank == 0 && (w.Member.State == fleet.Open || w.Member.State == fleet.Closing)) {
			serving[w.Member.Group] = true
		}
	}
	for _, w := range workers {
		switch {
		case serving[w.Member.Group]:
			w.FreeSince = time.Time{}
		case w.FreeSince.IsZero():
			w.FreeSince = now
		}
	}
}
