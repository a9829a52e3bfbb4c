package formation

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"redwinghall/fleet"
)

// tenure describes when this node acquired the lease of a zone.
//
// If a VM doesn't answer an order, it may still carry the order out, at most
// lateOrderWindow later. A new holder of the lease doesn't know which orders of the
// earlier holder weren't answered. So this can happen:
//
//  1. A VM carries out a join of the earlier holder and is again in a group that it left.
//  2. The head of that group carries out an open of the earlier holder, and the group
//     accepts requests.
//  3. The VM carries out a join of the new holder and moves to another group. The first
//     group lacks a member now, and its requests stall.
//
// Each order that a VM accepts increases a count, and a VM refuses a join that expects
// another count. So for lateOrderWindow after acquiring the lease, the new holder sends
// joins that expect the count in the VM's last report: after step 1 the count is higher,
// and the VM refuses the join of step 3. A VM that has joined a group of the new holder
// needs no such join, as it refuses the lower epochs of the earlier holder.
type tenure struct {
	position fleet.Position // of the store at that time
	since    time.Time
	// firstEpoch is higher than all epochs of earlier holders and lower than those that
	// this holder gives.
	firstEpoch int64
	// fresh reports that there was no earlier holder.
	fresh bool
}

// earlierOrders reports whether orders of an earlier holder may still be carried out.
func (t tenure) earlierOrders(now time.Time) bool {
	return !t.fresh && now.Sub(t.since) < lateOrderWindow
}

// tenureOf returns the present tenure of a zone's lease, which this node holds. A lease
// that was lost and acquired again begins another one.
func (m *Manager) tenureOf(now time.Time, zone string) tenure {
	position := m.LeasePosition(zone)
	t, held := m.tenures[zone]
	if !held || t.position != position {
		t = tenure{position: position, since: now, firstEpoch: m.nextEpoch(), fresh: m.Settings().FirstStart && !m.TrafficStarted()}
		m.tenures[zone] = t
	}
	return t
}

// confirmedOrdersTimeout is how long a plan waits for a worker's report. It is longer than
// reports lag behind a change.
const confirmedOrdersTimeout = time.Second

// awaitConfirmedOrders marks a worker as unusable until its report shows the number of its
// accepted orders. Until then, free workers of its domain don't load another model, which
// takes seconds: they may be needed for a group with this worker.
func (p *planner) awaitConfirmedOrders(w *Worker) {
	w.ordersUnconfirmed = true
	if w.unconfirmedSince.IsZero() {
		w.unconfirmedSince = p.now
	}
	if p.now.Sub(w.unconfirmedSince) < confirmedOrdersTimeout {
		p.awaiting[w.Endpoint.Domain] = true
	}
}

// awaitUnsettled keeps the free workers of a domain from loading another model while other
// VMs of the domain are still in a group that doesn't serve. Late orders of an earlier
// holder make VMs refuse to join, so the members of such a group become free one after the
// other. If the first one loaded another model, the rest would be too few for a group.
func (p *planner) awaitUnsettled(groups []*group) {
	if !p.zone.EarlierOrders {
		return
	}
	for _, g := range groups {
		if g.standby || (g.head() != nil && serves(g.head().Member.State)) {
			continue
		}
		for _, w := range g.byRank {
			domain := w.Endpoint.Domain
			if w.usable() && !slices.Contains(p.free[domain], w) {
				p.awaiting[domain] = true
			}
		}
	}
}

// confirmedOrders is the number of orders that a VM had accepted when its own report
// showed its membership.
type confirmedOrders struct {
	member fleet.Membership
	count  fleet.OrderCount
}

// needsConfirmedOrders reports whether a worker may join only by an order that expects a
// number of accepted orders.
func (z *Zone) needsConfirmedOrders(w *Worker) bool { return z.EarlierOrders && !w.JoinedHere }

// expected returns the number of accepted orders that an order to join must expect.
func (z *Zone) expected(w *Worker) fleet.OrderCount {
	if !z.needsConfirmedOrders(w) {
		return fleet.OrderCount{}
	}
	return w.Orders
}

// expectedOrders returns the number of orders that an order to join must expect, unknown
// if the VM's reports haven't shown its present membership yet.
func (c confirmedOrders) expectedOrders(present fleet.Membership) fleet.OrderCount {
	if c.member.Group != present.Group || c.member.Epoch != present.Epoch {
		return fleet.OrderCount{}
	}
	return c.count
}

// trackOrders sets, for each worker, the number of orders that it is known to have accepted
// and whether it has joined a group of this holder.
func (m *Manager) trackOrders(workers []*Worker, held tenure) {
	for _, w := range workers {
		n := m.endpoints[w.Endpoint.ID]
		n.highestEpoch = max(n.highestEpoch, w.Endpoint.Member.Epoch)
		w.Orders = n.confirmed.expectedOrders(w.Member)
		w.JoinedHere = n.highestEpoch > held.firstEpoch
	}
}

// confirmOrders requests a report from each worker that the last plan could not use because
// the number of its accepted orders is unknown.
func (m *Manager) confirmOrders(ctx context.Context, workers []*Worker) {
	for _, w := range workers {
		id := w.Endpoint.ID
		n, known := m.endpoints[id]
		if !w.ordersUnconfirmed || !known || m.probing[id] || m.sending[id] {
			continue
		}
		m.probing[id] = true
		endpoint := w.Endpoint
		m.group.Task("confirm_orders", func(context.Context) {
			report, err := m.Orderer.Report(ctx, endpoint)
			m.mu.Lock()
			defer m.mu.Unlock()
			delete(m.probing, id)
			if err != nil {
				klog.InfoS("orders_unconfirmed", "endpoint", id, "group", n.worker.Member.Group, "err", err)
				return
			}
			n.confirmed = confirmedOrders{member: report.Member, count: fleet.OrderCount{Known: true, Count: report.Orders}}
		})
	}
}
