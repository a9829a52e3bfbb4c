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
	"redwinghall/ramp"
)

// ManagerConfig holds the settings with which a controller manages its zone.
type ManagerConfig struct {
	AvailabilityZone string
	Controller       string
	Lease            lease.Config
	// LostAfter is how long a member may be unresponsive before it is replaced.
	LostAfter time.Duration
	// SettleTime is the minimum time for which a leaving group keeps its VMs, so that
	// every router learns that it is leaving.
	SettleTime time.Duration
	// DrainTimeout is how long a leaving group may take to finish its requests.
	DrainTimeout time.Duration
	// MaxLoading limits how many groups load at once, to protect the weight store.
	MaxLoading int
	// OrderTimeout is the longest time that an order may be in transit.
	OrderTimeout time.Duration
}

// Manager manages the groups of one zone while its controller holds the zone's
// lease, and watches the lease otherwise.
type Manager struct {
	config ManagerConfig
	table  redwinghall.Table
	engine redwinghall.Engine
	lister redwinghall.VMLister
	placer place.Placer
	node   *peer.Node
	groups *GroupStore

	lease              lease.State
	holding            bool
	continued          bool         // the lease was last acquired from this controller itself
	grants             *ramp.Grants // nil until this controller has held the lease
	ordersBlockedUntil time.Time
	nextLeaseRead      time.Time                 // when a watching controller reads the lease again
	lastSeen           map[string]time.Time      // when each VM last responded
	unresponsive       map[string]unresponsiveVM // VMs that do not respond
	leavingAt          map[string]time.Time      // when each group was first seen leaving
	entryCounter       uint64                    // number of the last entry published by publishValue
	published          map[string]string         // last value of each of these entries, by key
	status             atomic.Pointer[LeaseStatus]
}

// NewManager returns a manager. The caller must call its Tick periodically.
func NewManager(c ManagerConfig, table redwinghall.Table, engine redwinghall.Engine, lister redwinghall.VMLister, placer place.Placer, node *peer.Node) *Manager {
	m := &Manager{
		config: c, table: table, engine: engine, lister: lister, placer: placer, node: node,
		groups:   NewGroupStore(c.AvailabilityZone, table),
		lease:    lease.NewState(c.Lease),
		lastSeen: map[string]time.Time{}, unresponsive: map[string]unresponsiveVM{},
		leavingAt: map[string]time.Time{}, published: map[string]string{},
	}
	m.status.Store(&LeaseStatus{})
	return m
}

// Tick renews or watches the lease and, if this controller holds it, brings the
// zone one step closer to the manifest. Calls must not overlap.
func (m *Manager) Tick(ctx context.Context, now time.Time) {
	if err := m.stepLease(ctx, now); err != nil {
		klog.V(1).InfoS("lease_step_failed", "cause", err.Error())
	}
	holds := m.lease.Holds(time.Now())
	m.node.SetWantHealth(holds)
	m.status.Store(&LeaseStatus{Holder: m.lease.Holder(), Fencing: m.lease.Fencing(), Holding: holds, until: m.lease.HeldUntil()})
	if holds != m.holding {
		m.holding = holds
		m.groups.Invalidate()
		// Another holder may have published values since, so all values are
		// published again under the new fencing number.
		m.published = map[string]string{}
		m.entryCounter = 0
		if holds && !m.continued {
			// The last order of the previous holder may still be in transit.
			m.ordersBlockedUntil = now.Add(m.config.OrderTimeout)
			m.grants = ramp.NewGrants(now)
		}
		m.node.SetGrantFunc(m.grantFunc(holds))
		klog.InfoS("lease_changed", "holding", holds, "fencing", m.lease.Fencing(), "continued", m.continued)
	}
	if !holds || now.Before(m.ordersBlockedUntil) {
		return
	}
	if err := m.stepGroups(ctx, now); err != nil {
		m.groups.Invalidate()
		klog.V(1).InfoS("group_step_failed", "cause", err.Error())
	}
}

// stepGroups does one round of the lease holder's work on the groups.
func (m *Manager) stepGroups(ctx context.Context, now time.Time) error {
	if !m.groups.Loaded() {
		if err := m.groups.Load(ctx); err != nil {
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

// isHealthy reports whether a router has recently observed the group as healthy,
// that is with all members alive and ready in the current generation.
func (m *Manager) isHealthy(g redwinghall.Group, now time.Time) bool {
	h, ok := m.node.Health.Get(g.ID)
	return ok && h.Healthy(g, now, m.config.LostAfter)
}

func (m *Manager) putGroup(ctx context.Context, g redwinghall.Group) error {
	if err := m.groups.Put(ctx, m.lease.FenceCheck(m.config.AvailabilityZone), g); err != nil {
		return err
	}
	m.publishGroups()
	return nil
}

func (m *Manager) deleteGroup(ctx context.Context, g redwinghall.Group) error {
	if err := m.groups.Delete(ctx, m.lease.FenceCheck(m.config.AvailabilityZone), g.ID); err != nil {
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

// newGroupID returns an id that is never reused: the fencing number distinguishes
// holders, and the random part distinguishes the groups of one holder.
func (m *Manager) newGroupID(model string) string {
	return fmt.Sprintf("%s-%d-%s", model, m.lease.Fencing(), rand.Text()[:6])
}
