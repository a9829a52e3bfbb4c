package formation

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"redwinghall"
	"redwinghall/fleet"
	"redwinghall/platform"
)

// send gives one order, and notes its expected effect.
func (m *Manager) send(ctx context.Context, now time.Time, s Step) {
	id := s.Endpoint.ID
	if m.sending[id] {
		return
	}
	m.sending[id] = true
	n := m.notes[id]
	m.logTaken(now, n, s)
	n.worker.OrderedAt[s.Order.Kind] = now
	m.overlay(now, n, s)
	if s.Order.Kind == fleet.OrderJoin {
		m.formed[s.Order.Group] = formed{at: now}
	}
	klog.InfoS("order", "kind", s.Order.Kind, "endpoint", id, "group", s.Order.Group, "epoch", s.Order.Epoch, "why", s.Why,
		"members", s.Order.Members, "entry", s.Endpoint.Revision, "loads", s.Loads)
	m.group.Go("order", func(context.Context) error {
		if s.Order.Kind == fleet.OrderOpen && !m.confirmReady(ctx, s) {
			m.mu.Lock()
			defer m.mu.Unlock()
			delete(m.sending, id)
			n.overlaid = time.Time{}
			return nil
		}
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
		if s.Order.Kind == fleet.OrderOpen {
			m.noteOpen(time.Now(), s.Order.Group, outcome)
		}
		m.noteUnchanged(time.Now(), n, s.Order.Kind, outcome)
		if redwinghall.KindOf[platform.Kind](err) == platform.Ended {
			n.suspect = time.Now().Add(suspectFor)
			n.unlisted.ended = !n.unlisted.since.IsZero()
		}
		return nil
	})
}

// logTaken tells what is known of the group that a VM is joined away from.
func (m *Manager) logTaken(now time.Time, n *note, s Step) {
	from := n.worker.Member
	h, known := m.heads[from.Group]
	if s.Order.Kind != fleet.OrderJoin || from.Group == s.Order.Group || !known {
		return
	}
	klog.InfoS("taken_from_group", "endpoint", s.Endpoint.ID, "group", from.Group, "state", from.State, "head", h.endpoint.ID,
		"head_state", h.endpoint.Member.State, "head_gone", h.gone, "head_moves", m.Moves(now, h.endpoint.ID),
		"seen_ago", now.Sub(h.seenAt), "own", m.own(from.Group), "open_doubt", m.openDoubt(now, from.Group))
}

// noteUnchanged takes in that an order changed nothing: the entry already tells
// how things are.
//
// Guard: of a join it may not tell yet. Where the store is slow, an endpoint
// answers that it has joined before its entry shows it; taken for the truth, the
// old entry dissolves the group, and its members wait for seconds.
func (m *Manager) noteUnchanged(now time.Time, n *note, kind fleet.OrderKind, outcome fleet.Outcome) {
	switch {
	case outcome == fleet.Done && kind == fleet.OrderJoin:
		n.overlaid = now
	case outcome == fleet.Done && kind == fleet.OrderLeave:
	case outcome == fleet.Refused || outcome == fleet.Done:
		n.overlaid = time.Time{}
	}
}

// noteOpen notes until when an order to open may still take effect.
func (m *Manager) noteOpen(now time.Time, group string, outcome fleet.Outcome) {
	lasts := openSettle
	if outcome == fleet.Unanswered {
		lasts = lateOrders
	}
	f := m.formed[group]
	if until := now.Add(lasts); until.After(f.doubtUntil) && outcome != fleet.Refused {
		f.doubtUntil = until
	}
	m.formed[group] = f
}

// confirmReady asks all members of a group whether they are ready in it.
//
// Guard: entries may be seconds old. A member that crashed and came back looks
// ready in its old entry, and a group that opens on that word serves without
// it. So each member is asked itself right before the order to open.
func (m *Manager) confirmReady(ctx context.Context, s Step) bool {
	answers := make(chan bool, len(s.Members))
	for _, e := range s.Members {
		m.group.Go("confirm_ready", func(context.Context) error {
			report, err := m.Orderer.Report(ctx, e)
			// A report may lag behind the entry, which says ready: what counts is
			// that it is the same membership.
			ready := err == nil && report.Member.Group == s.Order.Group && report.Member.Epoch == s.Order.Epoch
			if !ready {
				m.noteUnready(e, report, err)
			}
			answers <- ready
			return nil
		})
	}
	all := true
	for range s.Members {
		all = <-answers && all
	}
	return all
}

// noteUnready keeps an endpoint that contradicts its entry out of groups for a while.
func (m *Manager) noteUnready(e *fleet.Endpoint, report fleet.Report, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	klog.InfoS("member_not_ready", "endpoint", e.ID, "entry", e.Revision, "group", report.Member.Group, "state", report.Member.State, "err", err)
	if n, ok := m.notes[e.ID]; ok {
		n.suspect = time.Now().Add(suspectFor)
	}
}

// left notes that an endpoint left its group.
func (m *Manager) left(now time.Time, n *note, s Step) {
	n.overlay, n.overlaid = fleet.Membership{}, now
	if s.Hold {
		n.worker.HeldUntil = now.Add(m.Settings().Bounds.Stall + holdMargin)
	}
	if h, ok := m.heads[s.Order.Group]; ok && h.endpoint.ID == s.Endpoint.ID {
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
