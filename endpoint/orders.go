package endpoint

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"redwinghall"
)

// stepOrders polls the members of groups that are not healthy, and sends orders to
// those that are not in their group's current generation. Healthy groups are
// skipped, because routers already poll their members.
func (m *Manager) stepOrders(ctx context.Context, now time.Time, _ redwinghall.VMs, _ redwinghall.Manifest) error {
	for _, g := range m.groups.Groups() {
		if m.isHealthy(g, now) {
			h, _ := m.node.Health.Get(g.ID)
			for _, member := range g.Members {
				m.recordResponse(member.VM, h.SeenAt)
			}
			continue
		}
		m.orderGroup(ctx, now, g)
	}
	return nil
}

func (m *Manager) orderGroup(ctx context.Context, now time.Time, g redwinghall.Group) {
	reports := m.requestReports(ctx, now, g.Members)
	for i, member := range g.Members {
		r := reports[i]
		if r == nil || (r.Group == g.ID && r.Generation == g.Generation) {
			continue
		}
		order := redwinghall.Order{
			Fencing: m.lease.Fencing(), Group: g.ID, Generation: g.Generation,
			Role: roleOf(i), Members: g.Members, Model: g.Model, Version: g.Version, Adapters: g.Adapters,
		}
		m.sendOrder(ctx, member, order)
	}
}

func roleOf(i int) redwinghall.Role {
	if i == 0 {
		return redwinghall.RoleLeader
	}
	return redwinghall.RoleMember
}

// sendOrder sends one order if the lease is still held.
//
// A controller that was paused since its last check of the lease would send orders
// at the same time as its successor, so it checks again right before each order.
// A pause after this check is caught by engines that check the fencing number. For
// engines that do not, routers use only endpoints that themselves report the
// group's current generation, and the holder sends a new order to every endpoint
// that reports anything else.
func (m *Manager) sendOrder(ctx context.Context, member redwinghall.Member, order redwinghall.Order) {
	if !m.lease.Holds(time.Now()) {
		return
	}
	if err := m.engine.Order(ctx, member.Address, order); err != nil {
		klog.InfoS("order_failed", "vm", member.VM, "group", order.Group, "generation", order.Generation, "cause", err.Error())
		return
	}
	klog.InfoS("order_given", "vm", member.VM, "group", order.Group, "generation", order.Generation, "role", order.Role)
}
