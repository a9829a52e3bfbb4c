package formation

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"redwinghall"
	"redwinghall/directory"
	"redwinghall/fleet"
	"redwinghall/kernel"
	"redwinghall/platform"
)

// Times of the manager.
const (
	tick = 100 * time.Millisecond
	// suspectFor is how long an endpoint that didn't answer stays out of groups.
	suspectFor = 4 * time.Second
	// overlayFor is how long an order counts as carried out before its effect
	// shows in the endpoint's entry, which this node reads every 250 ms.
	overlayFor = 2 * time.Second
	// holdMargin is added to the time after which a group without a member is
	// broken, before its other members join another.
	holdMargin = 500 * time.Millisecond
	// slowPace is the pace from which a member counts as slow: it makes a whole
	// group late. It counts so for slowFor, and is asked again then.
	slowPace = 1.7
	slowFor  = 10 * time.Second
	// settleTime is how long the endpoints of a zone must be the same before its
	// first groups are formed: they register over about a second, and groups
	// of the first few would leave no domain for the large models. settleBound
	// is the longest wait.
	settleTime  = 500 * time.Millisecond
	settleBound = 3 * time.Second
	// lateOrders is how long after it was given an order without an answer may
	// still be carried out.
	lateOrders = 14 * time.Second
	// probeAgain spaces questions to an endpoint that doesn't answer.
	probeAgain = 500 * time.Millisecond
)

// Options are the parts that a manager works with.
type Options struct {
	// Settings returns the settings in force.
	Settings func() fleet.Settings
	Book     *directory.Book
	Orderer  fleet.Orderer
	// Holds reports whether this node may form the groups of a zone now.
	Holds func(zone string) bool
	// Version returns the newest version of the store that this node knows.
	Version func() int64
	// Begun reports whether requests have come yet.
	Begun func() bool
	// Moves reports whether this node saw a stream of an endpoint advance lately.
	Moves func(now time.Time, endpointID string) bool
}

// Manager forms the groups of the zones whose lease this node holds.
type Manager struct {
	Options
	mu       sync.Mutex
	notes    map[string]*note
	headers  map[string]*headNote // by group
	epoch    int64
	loads    map[string]*loadBudget // by zone
	arrivals map[string]*arrival    // by zone
	sending  map[string]bool        // endpoints with an order on its way
	probing  map[string]bool
	formed   map[string]formed // groups that this manager formed
	pending  atomic.Bool
	stopped  bool
	group    *kernel.Group
}

// note is what the manager remembers of an endpoint between plans.
type note struct {
	worker   Worker
	born     int64
	suspect  time.Time // until when
	slow     time.Time // until when
	overlay  fleet.Membership
	overlaid time.Time
	shown    fleet.Membership
	seenAt   time.Time
	probedAt time.Time
	unlisted unlisted
}

// arrival follows how the endpoints of a zone register at the start.
type arrival struct {
	count   int
	first   time.Time
	changed time.Time
}

// formed is what is known of a group that this manager formed.
type formed struct {
	at time.Time
	// doubtUntil is until when an order to open it may still be carried out.
	doubtUntil time.Time
}

// openDoubt reports whether a group's head may yet open. Of groups that an
// earlier holder formed nothing is known.
func (m *Manager) openDoubt(now time.Time, group string) bool {
	f, own := m.formed[group]
	return !own || now.Before(f.doubtUntil)
}

// forget drops what is known of groups that are long gone.
func (m *Manager) forget(now time.Time) {
	for name, f := range m.formed {
		if _, known := m.headers[name]; !known && now.Sub(f.at) > notesFor {
			delete(m.formed, name)
		}
	}
	for name, h := range m.headers {
		if now.Sub(h.seenAt) > notesFor {
			delete(m.headers, name)
		}
	}
}

// headNote is what is known of a group's head.
type headNote struct {
	endpoint *fleet.Endpoint
	gone     bool
	askedAt  time.Time
	seenAt   time.Time
}

// NewManager returns a manager that has seen nothing.
func NewManager(options Options) *Manager {
	return &Manager{
		Options: options, notes: map[string]*note{}, headers: map[string]*headNote{},
		loads: map[string]*loadBudget{}, arrivals: map[string]*arrival{}, formed: map[string]formed{}, sending: map[string]bool{}, probing: map[string]bool{},
	}
}

// Pending reports whether this node waits for endpoints to carry out orders.
func (m *Manager) Pending() bool { return m.pending.Load() }

// Stop ends planning; orders on their way are not called back.
func (m *Manager) Stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
}

// Start plans until the group stops.
func (m *Manager) Start(g *kernel.Group) {
	m.group = g
	g.Every("formation", tick, m.step)
}

func (m *Manager) step(ctx context.Context, now time.Time) {
	view := m.Book.View()
	config := view.Config()
	if config == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		m.pending.Store(false)
		return
	}
	m.forget(now)
	pending := false
	for _, zone := range m.Settings().Zones {
		if !m.Holds(zone) {
			delete(m.loads, zone)
			continue
		}
		for name, service := range config.Services {
			if service.Engine == nil {
				continue
			}
			pending = m.planZone(ctx, now, zone, service, view.ByService[name]) || pending
		}
	}
	m.pending.Store(pending)
}

// planZone plans one zone's groups and sends the orders. It reports whether
// something is under way.
func (m *Manager) planZone(ctx context.Context, now time.Time, zone string, service fleet.Service, endpoints []*fleet.Endpoint) bool {
	engine := service.Engine
	z := &Zone{OpenDoubt: func(group string) bool { return m.openDoubt(now, group) }, Moves: func(id string) bool { return m.Moves(now, id) }, Engine: engine, HeadGone: map[string]bool{}, Fresh: m.Settings().FirstStart && !m.Begun(), NextEpoch: m.nextEpoch}
	pending := false
	for _, e := range endpoints {
		if e.Zone != zone {
			continue
		}
		w := m.noted(now, e)
		z.Workers = append(z.Workers, w)
		m.epoch = max(m.epoch, w.Member.Epoch, e.Member.Epoch)
		state := w.Member.State
		pending = pending || state == fleet.Joining || state == fleet.Closing || w.Member != e.Member
	}
	if z.Fresh && !m.settled(now, zone, len(z.Workers)) {
		return true
	}
	m.addUnlisted(ctx, now, z, zone, service.Name, service.HealthPath)
	m.markFree(now, z.Workers)
	m.askHeads(ctx, now, z)
	budget := m.budgetOf(zone, engine)
	z.Loads = budget.left(now)
	steps := z.Plan(now)
	for _, s := range steps {
		if s.Loads && !z.Fresh {
			budget.spend()
		}
		m.send(ctx, now, s)
	}
	return pending || len(steps) > 0
}

// settled reports whether a zone's endpoints have all registered, as far as can be told.
func (m *Manager) settled(now time.Time, zone string, count int) bool {
	a, ok := m.arrivals[zone]
	if !ok {
		a = &arrival{first: now}
		m.arrivals[zone] = a
	}
	if a.count != count {
		a.count, a.changed = count, now
	}
	return count > 0 && (now.Sub(a.changed) >= settleTime || now.Sub(a.first) >= settleBound)
}

func (m *Manager) nextEpoch() int64 {
	m.epoch = max(m.epoch, m.Version()) + 1
	return m.epoch
}

// noted returns the worker of an endpoint, with what is remembered of it.
func (m *Manager) noted(now time.Time, e *fleet.Endpoint) *Worker {
	n, ok := m.notes[e.ID]
	if !ok || n.born != e.Born {
		// A process that starts again under its id knows nothing of before.
		n = &note{born: e.Born, worker: Worker{OrderedAt: map[fleet.OrderKind]time.Time{}}}
		m.notes[e.ID] = n
	}
	n.seenAt = now
	n.unlisted = unlisted{}
	w := &n.worker
	w.Endpoint = e
	w.Unlisted, w.Silent = false, false
	w.Suspect = now.Before(n.suspect)
	w.Slow = now.Before(n.slow)
	if e.State == fleet.EndpointReady {
		w.DrainingSince = time.Time{}
	} else if w.DrainingSince.IsZero() {
		w.DrainingSince = now
	}
	m.noteMember(now, n)
	return w
}

// noteMember works out an endpoint's membership from its entry and from the
// order that it was given last.
func (m *Manager) noteMember(now time.Time, n *note) {
	w := &n.worker
	e := w.Endpoint
	if e.Member != n.shown {
		n.shown = e.Member
		if e.Member.Epoch >= n.overlay.Epoch {
			n.overlaid = time.Time{}
		}
	}
	member := e.Member
	if !n.overlaid.IsZero() && now.Sub(n.overlaid) < overlayFor {
		member = n.overlay
	}
	if member != w.Member {
		w.Member = member
		w.ChangedAt = now
	}
	model, _ := parseName(e.Member.Group)
	if model != "" && e.Member.State != fleet.Joining {
		w.LastModel = model
	}
	if e.Member.Rank == 0 && e.Member.Group != "" && !w.Unlisted && member.Group == e.Member.Group {
		m.headers[e.Member.Group] = &headNote{endpoint: e, seenAt: now}
	}
}

// markFree notes since when each worker belongs to no group that serves or forms.
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

// askHeads finds out of groups without a head whether its process has ended.
func (m *Manager) askHeads(ctx context.Context, now time.Time, z *Zone) {
	present := map[string]bool{}
	for _, w := range z.Workers {
		if w.Member.Rank == 0 && !w.Suspect && !w.Silent {
			present[w.Member.Group] = true
		}
	}
	for _, w := range z.Workers {
		name := w.Member.Group
		if name == "" || present[name] || w.Suspect || w.Silent {
			continue
		}
		h, known := m.headers[name]
		if !known {
			continue
		}
		z.HeadGone[name] = h.gone
		if !h.gone && now.Sub(h.askedAt) > probeAgain {
			h.askedAt = now
			m.askHead(ctx, name, h)
		}
	}
}

// heads reports whether a membership is that of a group's head that may serve.
func heads(m fleet.Membership, group string) bool {
	return m.Group == group && (m.State == fleet.Open || m.State == fleet.Closing)
}

// askHead asks a head that has no entry. A refused connection, or another
// process at its address, proves that it has ended.
func (m *Manager) askHead(ctx context.Context, name string, h *headNote) {
	m.group.Go("ask_head", func(context.Context) error {
		report, err := m.Orderer.Report(ctx, h.endpoint)
		gone := redwinghall.KindOf[platform.Kind](err) == platform.Ended || (err == nil && !heads(report.Member, name))
		m.mu.Lock()
		defer m.mu.Unlock()
		h.gone = gone
		klog.InfoS("head_asked", "group", name, "endpoint", h.endpoint.ID, "gone", gone, "err", err)
		return nil
	})
}

// send gives one order, and notes its expected effect.
func (m *Manager) send(ctx context.Context, now time.Time, s Step) {
	id := s.Endpoint.ID
	if m.sending[id] {
		return
	}
	m.sending[id] = true
	n := m.notes[id]
	n.worker.OrderedAt[s.Order.Kind] = now
	m.overlay(now, n, s)
	if s.Order.Kind == fleet.OrderJoin {
		m.formed[s.Order.Group] = formed{at: now}
	}
	klog.InfoS("order", "kind", s.Order.Kind, "endpoint", id, "group", s.Order.Group, "epoch", s.Order.Epoch, "why", s.Why,
		"entry", s.Endpoint.Revision, "loads", s.Loads)
	m.group.Go("order", func(context.Context) error {
		outcome, err := m.Orderer.Order(ctx, s.Endpoint, s.Order)
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.sending, id)
		if err != nil {
			klog.InfoS("order_failed", "kind", s.Order.Kind, "endpoint", id, "group", s.Order.Group, "epoch", s.Order.Epoch,
				"outcome", outcome, "err", err)
		}
		if (outcome == fleet.Begun || outcome == fleet.Done) && s.Order.Kind == fleet.OrderLeave {
			m.left(time.Now(), n, s)
		}
		if outcome == fleet.Unanswered && s.Order.Kind == fleet.OrderOpen {
			m.formed[s.Order.Group] = formed{at: m.formed[s.Order.Group].at, doubtUntil: time.Now().Add(lateOrders)}
		}
		if outcome == fleet.Refused || (outcome == fleet.Done && s.Order.Kind != fleet.OrderLeave) {
			// Nothing changes: the entry already tells how things are.
			n.overlaid = time.Time{}
		}
		if redwinghall.KindOf[platform.Kind](err) == platform.Ended {
			n.suspect = time.Now().Add(suspectFor)
			n.unlisted.ended = !n.unlisted.since.IsZero()
		}
		return nil
	})
}

// left notes that an endpoint left its group.
func (m *Manager) left(now time.Time, n *note, s Step) {
	n.overlay, n.overlaid = fleet.Membership{}, now
	if s.Hold {
		n.worker.HeldUntil = now.Add(m.Settings().Bounds.Stall + holdMargin)
	}
	if h, ok := m.headers[s.Order.Group]; ok && h.endpoint.ID == s.Endpoint.ID {
		h.gone = true
	}
}

// overlay notes what an order does before the endpoint's entry shows it.
func (m *Manager) overlay(now time.Time, n *note, s Step) {
	order := s.Order
	next := n.worker.Member
	switch order.Kind {
	case fleet.OrderJoin:
		next = fleet.Membership{Group: order.Group, Epoch: order.Epoch, Rank: rankOf(order.Members, n.worker.Endpoint.ID), State: fleet.Joining}
	case fleet.OrderOpen:
		next.State = fleet.Open
	case fleet.OrderClose:
		next.State = fleet.Closing
	case fleet.OrderLeave, fleet.OrderStage:
		return // what counts is that it was done
	}
	n.overlay, n.overlaid = next, now
}

func rankOf(members []string, id string) int {
	for rank, one := range members {
		if one == id {
			return rank
		}
	}
	return -1
}

// Stalled tells the manager that little or nothing moves in the group of an
// endpoint. It asks all VMs of the domain, so that it knows which members are
// lost or slow, and which others could replace them.
func (m *Manager) Stalled(ctx context.Context, headID string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	head, ok := m.notes[headID]
	if !ok || head.worker.Endpoint == nil || m.group == nil || !m.Holds(head.worker.Endpoint.Zone) {
		return
	}
	now := time.Now()
	for id, n := range m.notes {
		e := n.worker.Endpoint
		if e == nil || e.Domain != head.worker.Endpoint.Domain || e.Zone != head.worker.Endpoint.Zone {
			continue
		}
		if m.probing[id] || now.Sub(n.probedAt) < probeAgain || now.Sub(n.seenAt) > time.Second {
			continue
		}
		m.probing[id] = true
		n.probedAt = now
		m.probe(ctx, n)
	}
}

// probe asks one endpoint whether it is alive.
func (m *Manager) probe(ctx context.Context, n *note) {
	endpoint := n.worker.Endpoint
	m.group.Go("probe", func(context.Context) error {
		report, err := m.Orderer.Report(ctx, endpoint)
		now := time.Now()
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.probing, endpoint.ID)
		if err == nil {
			m.notePace(now, n, report.Pace)
			return nil
		}
		klog.InfoS("member_silent", "endpoint", endpoint.ID, "group", n.worker.Member.Group, "err", err)
		n.suspect = now.Add(suspectFor)
		if h, ok := m.headers[n.worker.Member.Group]; ok && h.endpoint.ID == endpoint.ID {
			h.gone = redwinghall.KindOf[platform.Kind](err) == platform.Ended
		}
		return nil
	})
}

// notePace notes an endpoint that says that it works slower than it should.
func (m *Manager) notePace(now time.Time, n *note, pace float64) {
	if pace < slowPace {
		n.slow = time.Time{}
		return
	}
	klog.InfoS("member_slow", "endpoint", n.worker.Endpoint.ID, "group", n.worker.Member.Group, "pace", pace)
	n.slow = now.Add(slowFor)
}
