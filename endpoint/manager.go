package endpoint

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"redwinghall"
	"redwinghall/lease"
	"redwinghall/peer"
	"redwinghall/place"
)

// ManagerConfig says how one controller keeps its zone.
type ManagerConfig struct {
	AvailabilityZone string
	Controller       string
	Lease            lease.Config
	// LostAfter is how long a member may be silent before it is replaced.
	LostAfter time.Duration
	// SettleTime is how long a leaving group keeps its VMs at least, so that
	// every router has heard of it.
	SettleTime time.Duration
	// DrainTimeout is how long a leaving group may finish its work.
	DrainTimeout time.Duration
	// MaxLoading bounds the groups that load at once, for the weight store.
	MaxLoading int
	// OrderTimeout is how long an order may be on its way.
	OrderTimeout time.Duration
}

// Manager keeps the groups of one zone formed while its controller holds the
// zone's lease, and watches the lease otherwise.
type Manager struct {
	config ManagerConfig
	table  redwinghall.Table
	engine redwinghall.Engine
	lister redwinghall.VMLister
	placer place.Placer
	node   *peer.Node
	ledger *Ledger

	lease      lease.State
	holding    bool
	quietUntil time.Time
	nextLook   time.Time            // when a watching controller reads the lease again
	seen       map[string]time.Time // when each VM last answered
	silent     map[string]silence   // VMs that do not answer
	leavingAt  map[string]time.Time // when each group was found leaving
	counter    uint64               // of this holder's registers
	published  map[string]string    // last value of each counted register
	status     atomic.Pointer[LeaseStatus]
}

// NewManager returns a manager. Its Tick does all the work.
func NewManager(c ManagerConfig, table redwinghall.Table, engine redwinghall.Engine, lister redwinghall.VMLister, placer place.Placer, node *peer.Node) *Manager {
	m := &Manager{
		config: c, table: table, engine: engine, lister: lister, placer: placer, node: node,
		ledger: NewLedger(c.AvailabilityZone, table),
		lease:  lease.NewState(c.Lease),
		seen:   map[string]time.Time{}, silent: map[string]silence{},
		leavingAt: map[string]time.Time{}, published: map[string]string{},
	}
	m.status.Store(&LeaseStatus{})
	return m
}

// Tick renews or watches the lease, and when this controller holds it brings
// the zone one step closer to the manifest. Calls must not overlap.
func (m *Manager) Tick(ctx context.Context, now time.Time) {
	if err := m.stepLease(ctx, now); err != nil {
		klog.V(1).InfoS("lease_step_failed", "cause", err.Error())
	}
	holds := m.lease.Holds(time.Now())
	m.node.WantHealth(holds)
	m.status.Store(&LeaseStatus{Holder: m.lease.Holder(), Fencing: m.lease.Fencing(), Holding: holds, until: m.lease.HeldUntil()})
	if holds != m.holding {
		m.holding = holds
		m.ledger.Forget()
		// Another holder may have published since: what was published counts
		// for nothing under the new fencing number.
		m.published = map[string]string{}
		m.counter = 0
		// The last order of the previous holder may still be on its way.
		m.quietUntil = now.Add(m.config.OrderTimeout)
		m.node.SetGranter(m.granter(now, holds))
		klog.InfoS("lease_changed", "holding", holds, "fencing", m.lease.Fencing())
	}
	if !holds || now.Before(m.quietUntil) {
		return
	}
	if err := m.stepGroups(ctx, now); err != nil {
		m.ledger.Forget()
		klog.V(1).InfoS("group_step_failed", "cause", err.Error())
	}
}

// stepGroups does one round of a holder's work.
func (m *Manager) stepGroups(ctx context.Context, now time.Time) error {
	if !m.ledger.Loaded() {
		if err := m.ledger.Load(ctx); err != nil {
			return err
		}
		m.publishGroups()
	}
	vms, err := m.lister.VMs(ctx)
	if err != nil {
		return err
	}
	e, ok := m.node.Store.Get(peer.KeyManifest)
	if !ok {
		return nil
	}
	var accepted redwinghall.Accepted
	if err := json.Unmarshal(e.Value, &accepted); err != nil {
		return err
	}
	steps := []func(context.Context, time.Time, redwinghall.VMs, redwinghall.Manifest) error{
		m.stepOrders, m.stepMembers, m.stepVersions, m.stepDrain, m.stepForm,
	}
	for _, step := range steps {
		if err := step(ctx, now, vms, accepted.Manifest); err != nil {
			return err
		}
	}
	m.publishServices(vms)
	m.publishGateway(vms)
	return nil
}

// whole reports whether a group was seen whole lately, by any router.
func (m *Manager) whole(g redwinghall.Group, now time.Time) bool {
	h, ok := m.node.Health.Get(g.ID)
	return ok && h.Whole(g, now, m.config.LostAfter)
}

// stepOrders asks the members of groups that are not whole, and orders those
// that are not in their group's present generation. A group that is whole is
// left alone: its routers ask its members already.
func (m *Manager) stepOrders(ctx context.Context, now time.Time, _ redwinghall.VMs, _ redwinghall.Manifest) error {
	for _, g := range m.ledger.Groups() {
		if m.whole(g, now) {
			h, _ := m.node.Health.Get(g.ID)
			for _, member := range g.Members {
				m.answered(member.VM, h.SeenAt)
			}
			continue
		}
		m.orderGroup(ctx, now, g)
	}
	return nil
}

func (m *Manager) orderGroup(ctx context.Context, now time.Time, g redwinghall.Group) {
	reports := m.askAll(ctx, now, g.Members)
	for i, member := range g.Members {
		r := reports[i]
		if r == nil || (r.Group == g.ID && r.Generation == g.Generation) {
			continue
		}
		order := redwinghall.Order{
			Fencing: m.lease.Fencing(), Group: g.ID, Generation: g.Generation,
			Role: roleOf(i), Members: g.Members, Model: g.Model, Version: g.Version, Adapters: g.Adapters,
		}
		m.give(ctx, member, order)
	}
}

func roleOf(i int) redwinghall.Role {
	if i == 0 {
		return redwinghall.RoleLeader
	}
	return redwinghall.RoleMember
}

// give sends one order if the lease is still held.
//
// Guard: a controller that was frozen since its last look at the lease would
// order endpoints beside its successor. It looks again right before each
// order. A freeze after this look is caught by engines that check the fencing
// number; for those that do not, routers serve only what an endpoint itself
// reports under the group's present generation, and the holder orders anew
// every endpoint that reports something else.
func (m *Manager) give(ctx context.Context, member redwinghall.Member, order redwinghall.Order) {
	if !m.lease.Holds(time.Now()) {
		return
	}
	if err := m.engine.Order(ctx, member.Address, order); err != nil {
		klog.InfoS("order_failed", "vm", member.VM, "group", order.Group, "generation", order.Generation, "cause", err.Error())
		return
	}
	klog.InfoS("order_given", "vm", member.VM, "group", order.Group, "generation", order.Generation, "role", order.Role)
}

func (m *Manager) answered(vm string, now time.Time) {
	m.seen[vm] = now
	delete(m.silent, vm)
}

// silence is how long, and how often, a VM has not answered.
type silence struct {
	since time.Time
	asked int
}

// minAsked is how often a VM must have left this controller's own question
// unanswered before it is lost: one lost answer is no loss.
const minAsked = 2

// unanswered notes a question without an answer. The silence counts from when
// the VM was last seen alive by anyone, not from when this controller began to
// ask.
func (m *Manager) unanswered(vm string, now time.Time) {
	s, ok := m.silent[vm]
	if !ok {
		s.since = now
		if seen, known := m.seen[vm]; known {
			s.since = seen
		}
	}
	s.asked++
	m.silent[vm] = s
}

// lost reports whether a VM has been silent for too long.
func (m *Manager) lost(vm string, now time.Time) bool {
	s, ok := m.silent[vm]
	return ok && s.asked >= minAsked && now.Sub(s.since) >= m.config.LostAfter
}

// stepMembers replaces lost members, orders anew groups that are broken
// although all members answer, and lets groups go whose VMs are leaving.
func (m *Manager) stepMembers(ctx context.Context, now time.Time, vms redwinghall.VMs, _ redwinghall.Manifest) error {
	byID := vms.ByID()
	for _, g := range m.ledger.Groups() {
		if g.Leaving {
			continue
		}
		lost, leaving := 0, 0
		for _, member := range g.Members {
			if m.lost(member.VM, now) {
				lost++
			}
			if vm, ok := byID[member.VM]; ok && vm.State == redwinghall.VMLeaving {
				leaving++
			}
		}
		var err error
		switch {
		case lost > 0:
			err = m.replaceLost(ctx, now, g, vms)
		case leaving > 0:
			err = m.leave(ctx, now, g)
		case m.broken(g):
			err = m.put(ctx, g.WithGeneration(g.Generation+1))
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (m *Manager) broken(g redwinghall.Group) bool {
	h, ok := m.node.Health.Get(g.ID)
	return ok && h.Broken && h.Generation == g.Generation
}

// replaceLost puts spare VMs of the same fabric domain in the places of lost
// members. Without enough spares the group is dissolved, so that its other
// VMs can serve elsewhere.
func (m *Manager) replaceLost(ctx context.Context, now time.Time, g redwinghall.Group, vms redwinghall.VMs) error {
	spares := m.free(ctx, now, vms, g.FabricDomain)
	members := slices.Clone(g.Members)
	for i, member := range members {
		if !m.lost(member.VM, now) {
			continue
		}
		if len(spares) == 0 {
			klog.InfoS("group_lost", "group", g.ID, "vm", member.VM)
			return m.drop(ctx, g)
		}
		klog.InfoS("member_replaced", "group", g.ID, "lost", member.VM, "by", spares[0].ID)
		members[i] = redwinghall.Member{VM: spares[0].ID, Address: spares[0].Address}
		spares = spares[1:]
	}
	g.Members = members
	return m.put(ctx, g.WithGeneration(g.Generation+1))
}

// free returns the VMs of a domain ("" for all) that belong to no group and
// answer now. The platform's list lags, so each is asked.
func (m *Manager) free(ctx context.Context, now time.Time, vms redwinghall.VMs, domain string) redwinghall.VMs {
	var candidates redwinghall.VMs
	var members []redwinghall.Member
	for _, vm := range vms.Workers(m.config.AvailabilityZone) {
		if m.ledger.Booked(vm.ID) || (domain != "" && vm.FabricDomain != domain) {
			continue
		}
		candidates = append(candidates, vm)
		members = append(members, redwinghall.Member{VM: vm.ID, Address: vm.Address})
	}
	reports := m.askAll(ctx, now, members)
	var out redwinghall.VMs
	for i, vm := range candidates {
		if reports[i] != nil {
			out = append(out, vm)
		}
	}
	return out
}

func (m *Manager) put(ctx context.Context, g redwinghall.Group) error {
	if err := m.ledger.Put(ctx, m.lease.FenceCheck(m.config.AvailabilityZone), g); err != nil {
		return err
	}
	m.publishGroups()
	return nil
}

func (m *Manager) drop(ctx context.Context, g redwinghall.Group) error {
	if err := m.ledger.Drop(ctx, m.lease.FenceCheck(m.config.AvailabilityZone), g.ID); err != nil {
		return err
	}
	delete(m.leavingAt, g.ID)
	m.publishGroups()
	return nil
}

func (m *Manager) leave(ctx context.Context, now time.Time, g redwinghall.Group) error {
	klog.InfoS("group_leaving", "group", g.ID, "version", g.Version)
	m.leavingAt[g.ID] = now
	return m.put(ctx, g.WithLeaving())
}

// newGroupID names a group for good: the fencing number keeps two holders
// apart, the random part two groups of one holder.
func (m *Manager) newGroupID(model string) string {
	return fmt.Sprintf("%s-%d-%s", model, m.lease.Fencing(), rand.Text()[:6])
}
