package endpoint

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
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
	m.node.SetWantHealth(holds)
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
		m.node.SetGrantFunc(m.granter(now, holds))
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

// isWhole reports whether a group was seen whole lately, by any router.
func (m *Manager) isWhole(g redwinghall.Group, now time.Time) bool {
	h, ok := m.node.Health.Get(g.ID)
	return ok && h.Whole(g, now, m.config.LostAfter)
}

func (m *Manager) putGroup(ctx context.Context, g redwinghall.Group) error {
	if err := m.ledger.Put(ctx, m.lease.FenceCheck(m.config.AvailabilityZone), g); err != nil {
		return err
	}
	m.publishGroups()
	return nil
}

func (m *Manager) dropGroup(ctx context.Context, g redwinghall.Group) error {
	if err := m.ledger.Drop(ctx, m.lease.FenceCheck(m.config.AvailabilityZone), g.ID); err != nil {
		return err
	}
	delete(m.leavingAt, g.ID)
	m.publishGroups()
	return nil
}

func (m *Manager) startLeaving(ctx context.Context, now time.Time, g redwinghall.Group) error {
	klog.InfoS("group_leaving", "group", g.ID, "version", g.Version)
	m.leavingAt[g.ID] = now
	return m.putGroup(ctx, g.WithLeaving())
}

// newGroupID names a group for good: the fencing number keeps two holders
// apart, the random part two groups of one holder.
func (m *Manager) newGroupID(model string) string {
	return fmt.Sprintf("%s-%d-%s", model, m.lease.Fencing(), rand.Text()[:6])
}
