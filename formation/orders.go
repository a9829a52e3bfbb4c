package formation

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"redwinghall"
	"redwinghall/fleet"
	"redwinghall/platform"
)

// send sends one order and records its expected effect.
func (m *Manager) send(ctx context.Context, now time.Time, s Step) {
	id := s.Endpoint.ID
	if m.sending[id] {
		return
	}
	n := m.endpoints[id]
	from, before := n.worker.Member, m.history(s.Order.Group)
	n.worker.OrderedAt[s.Order.Kind] = now
	if s.Order.Kind == fleet.OrderStage {
		n.worker.Staging = s.Order.Model
	}
	if s.Order.Kind == fleet.OrderJoin {
		n.worker.JoinExpected = s.Order.Expected
	}
	m.recordOrder(now, from, s.Order)
	m.overlay(now, n, s)
	klog.InfoS("order", "kind", s.Order.Kind, "endpoint", id, "group", s.Order.Group, "epoch", s.Order.Epoch, "why", s.Why,
		"members", s.Order.Members, "entry", s.Endpoint.Revision, "loads", s.Loads, "from", from.Group, "proof", s.Proof,
		"expects", s.Order.Expected.Known, "orders", s.Order.Expected.Count)
	m.sending[id] = true
	m.group.Task("order", func(context.Context) {
		if s.Order.Kind == fleet.OrderOpen && !m.confirmReady(ctx, s) {
			m.mu.Lock()
			defer m.mu.Unlock()
			delete(m.sending, id)
			n.overlaidAt = time.Time{}
			m.recordOpenOutcome(time.Now(), s.Order.Group, before, fleet.Refused)
			return
		}
		outcome, err := m.Orderer.Order(ctx, s.Endpoint, s.Order)
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.sending, id)
		if err != nil {
			klog.InfoS("order_failed", "kind", s.Order.Kind, "endpoint", id, "group", s.Order.Group, "epoch", s.Order.Epoch,
				"outcome", outcome, "err", err)
		}
		m.recordOutcome(time.Now(), n, s.Order, from, before, outcome)
		m.settleOverlay(time.Now(), n, s.Order.Kind, outcome)
		if redwinghall.KindOf[platform.Kind](err) == platform.Absent {
			n.suspect(time.Now(), time.Now(), false)
			n.unlisted.absent = !n.unlisted.since.IsZero()
		}
	})
}

// recordOutcome updates the group state with the outcome of an order. from is the
// endpoint's membership, and before the history of the order's group, at the time the
// order was sent.
func (m *Manager) recordOutcome(now time.Time, n *endpointState, order fleet.Order, from fleet.Membership, before GroupHistory, outcome fleet.Outcome) {
	switch order.Kind {
	case fleet.OrderLeave:
		if outcome == fleet.Begun || outcome == fleet.Done {
			m.recordLeave(now, n, from)
		}
	case fleet.OrderJoin:
		if outcome == fleet.Refused {
			n.confirmed = confirmedOrders{} // the endpoint may have accepted other orders
		}
		if outcome == fleet.Unanswered {
			n.unansweredJoin, n.unansweredJoinUntil = order.Group, now.Add(lateOrderWindow)
		}
	case fleet.OrderOpen:
		m.recordOpenOutcome(now, order.Group, before, outcome)
	case fleet.OrderClose, fleet.OrderStage:
	}
}

// settleOverlay drops the overlay if the order changed nothing, as the entry already
// shows the membership.
//
// For a completed join the overlay is renewed instead. With a slow store, an endpoint
// answers that it has joined before its entry shows it. Relying on the old entry would
// dissolve the group and leave its members waiting for seconds.
func (m *Manager) settleOverlay(now time.Time, n *endpointState, kind fleet.OrderKind, outcome fleet.Outcome) {
	switch {
	case kind == fleet.OrderStage: // doesn't affect the membership
	case outcome == fleet.Done && kind == fleet.OrderJoin:
		n.overlaidAt = now
	case outcome == fleet.Done && kind == fleet.OrderLeave:
	case outcome == fleet.Refused || outcome == fleet.Done:
		n.overlaidAt = time.Time{}
	}
}

// confirmReady asks all members of a group whether they are ready in it.
//
// Entries may be seconds old. A member that crashed and restarted still looks ready in
// its old entry, and a group opened on that basis would serve without it. So each
// member is asked directly before the order to open is sent.
func (m *Manager) confirmReady(ctx context.Context, s Step) bool {
	answers := make(chan bool, len(s.Members))
	for _, e := range s.Members {
		m.group.Task("confirm_ready", func(context.Context) {
			ready := false
			defer func() { answers <- ready }()
			report, err := m.Orderer.Report(ctx, e)
			// The report's state may lag behind the entry, which already shows ready, so
			// only the membership is compared.
			ready = err == nil && report.Member.Group == s.Order.Group && report.Member.Epoch == s.Order.Epoch
			if !ready {
				m.suspectMember(e, report, err)
			}
		})
	}
	all := true
	for range s.Members {
		all = <-answers && all
	}
	return all
}

// suspectMember keeps an endpoint that contradicts its entry out of groups for
// suspectDuration.
func (m *Manager) suspectMember(e *fleet.Endpoint, report fleet.Report, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	klog.InfoS("member_not_ready", "endpoint", e.ID, "entry", e.Revision, "group", report.Member.Group, "state", report.Member.State, "err", err)
	if redwinghall.KindOf[platform.Kind](err) == platform.Unclear {
		return // this node can't tell
	}
	n, ok := m.endpoints[e.ID]
	if err != nil && ok && redwinghall.KindOf[platform.Kind](err) != platform.Absent && n.silence(time.Now(), time.Now()) < minSilence {
		return // it is asked again before the next order to open
	}
	if ok {
		n.suspect(time.Now(), time.Now(), false)
	}
}

// recordLeave records that an endpoint confirmed leaving its group.
func (m *Manager) recordLeave(now time.Time, n *endpointState, from fleet.Membership) {
	n.overlay, n.overlaidAt = fleet.Membership{}, now
	n.delayRejoin(from.Group)
	if isHead(from) {
		m.trackGroup(now, from.Group).HeadLeft = true
	}
}

// overlay records the effect of an order before the endpoint's entry shows it.
func (m *Manager) overlay(now time.Time, n *endpointState, s Step) {
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
		return // takes effect only once it is confirmed
	}
	n.overlay, n.overlaidAt = next, now
}

func rankOf(members []string, id string) int {
	for rank, one := range members {
		if one == id {
			return rank
		}
	}
	return -1
}
