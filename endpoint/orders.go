package endpoint

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"redwinghall"
)

// stepOrders asks the members of groups that are not whole, and orders those
// that are not in their group's present generation. A group that is whole is
// left alone: its routers ask its members already.
func (m *Manager) stepOrders(ctx context.Context, now time.Time, _ redwinghall.VMs, _ redwinghall.Manifest) error {
	for _, g := range m.ledger.Groups() {
		if m.isWhole(g, now) {
			h, _ := m.node.Health.Get(g.ID)
			for _, member := range g.Members {
				m.noteAnswered(member.VM, h.SeenAt)
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
		m.giveOrder(ctx, member, order)
	}
}

func roleOf(i int) redwinghall.Role {
	if i == 0 {
		return redwinghall.RoleLeader
	}
	return redwinghall.RoleMember
}

// giveOrder sends one order if the lease is still held.
//
// Guard: a controller that was frozen since its last look at the lease would
// order endpoints beside its successor. It looks again right before each
// order. A freeze after this look is caught by engines that check the fencing
// number; for those that do not, routers serve only what an endpoint itself
// reports under the group's present generation, and the holder orders anew
// every endpoint that reports something else.
func (m *Manager) giveOrder(ctx context.Context, member redwinghall.Member, order redwinghall.Order) {
	if !m.lease.Holds(time.Now()) {
		return
	}
	if err := m.engine.Order(ctx, member.Address, order); err != nil {
		klog.InfoS("order_failed", "vm", member.VM, "group", order.Group, "generation", order.Generation, "cause", err.Error())
		return
	}
	klog.InfoS("order_given", "vm", member.VM, "group", order.Group, "generation", order.Generation, "role", order.Role)
}
