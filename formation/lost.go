package formation

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"redwinghall"
	"redwinghall/kernel"
	"redwinghall/platform"
)

// stillDuration is how long a head counts as still after it was last reported. It outlasts some lost reports, and a
// question to a member that isn't reached.
const stillDuration = 800 * time.Millisecond

const (
	// minUnreached is how long a member must be unreached while others answer. Endpoints that all stood still go on
	// within less.
	minUnreached = 250 * time.Millisecond
	// maxUnheard is how long the clock of answers may have stood still meanwhile.
	maxUnheard = 150 * time.Millisecond
	// earlyWitnessInterval replaces witnessInterval while a member of a still group is asked.
	earlyWitnessInterval = 50 * time.Millisecond
)

// ReportSilentGroup tells the manager that no node of the zone gets events from the group of a head, while others go
// on. The manager asks the members for reports. It returns whether the group is known to have lost one.
//
// A sound endpoint may be silent for a second, and its group stands still for as long; it still takes connections.
// So the group counts as lost before minSilence has passed only if a member's address takes no connection of this
// node nor of others, while other endpoints answer.
func (m *Manager) ReportSilentGroup(ctx context.Context, headID string) (lost bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	head, ok := m.endpoints[headID]
	if !ok || head.worker.Endpoint == nil || m.group == nil || !m.HoldsLease(head.worker.Endpoint.Zone) {
		return false
	}
	now := time.Now()
	group := head.worker.Member.Group
	if group == "" {
		return false
	}
	head.stillUntil = now.Add(stillDuration)
	for id, n := range m.endpoints {
		if n.worker.Endpoint == nil || n.worker.Member.Group != group {
			continue
		}
		lost = lost || now.Before(n.suspectUntil)
		if n.early && m.probing[id] {
			m.askWitnessesWithin(now, n.worker.Endpoint, earlyWitnessInterval)
		}
		if !m.probing[id] && now.Sub(n.probedAt) >= probeInterval {
			m.probing[id], n.early = true, true
			n.probedAt = now
			m.probe(ctx, n)
		}
	}
	return lost
}

// recordUnreached records whether a question reached the endpoint.
func (n *endpointState) recordUnreached(q question, now time.Time, err error) {
	if redwinghall.KindOf[platform.Kind](err) != platform.NotReached {
		n.unreachedAt = time.Time{}
		return
	}
	if n.unreachedAt.IsZero() {
		n.unreached = q
	}
	n.unreachedAt = now
}

// recordEarlySilence records that a member of a still group left a question unanswered. It reports whether the member
// isn't asked again.
//
// How long it is silent doesn't count yet: a sound endpoint may be silent for a second, and ReportStall tells when its
// streams have been still for long.
func (m *Manager) recordEarlySilence(now time.Time, n *endpointState, err error) (done bool) {
	id := n.worker.Endpoint.ID
	klog.InfoS("member_of_still_group_silent", "endpoint", id, "group", n.worker.Member.Group, "err", err)
	if !m.groupIsStill(now, n) || now.Before(n.suspectUntil) {
		n.early = false
		delete(m.probing, id)
		return true
	}
	m.askWitnessesWithin(now, n.worker.Endpoint, earlyWitnessInterval)
	return false
}

// endEarly makes the silence of an endpoint count from now on.
func (m *Manager) endEarly(now time.Time, n *endpointState) {
	if n.early {
		n.early = false
		n.silentSince, n.silentFrom = now, m.answers.at(now)
	}
}

// suspectUnreached makes the unreached members of still groups suspect. It is called after an endpoint has answered.
//
// If all endpoints fall silent together, this node is parted, or they stand still and go on one after the other. So
// others must have answered all the while from the first question on, and after the last one had failed.
func (m *Manager) suspectUnreached(now time.Time) {
	for id, n := range m.endpoints {
		if n.unreachedAt.IsZero() || !n.unreachedAt.Before(now) || now.Before(n.suspectUntil) || !m.groupIsStill(now, n) {
			continue
		}
		heard := m.answers.at(now) - n.unreached.heard
		unheard := kernel.RunTime(n.unreached.asked, now) - heard
		if heard < minUnreached || unheard > maxUnheard {
			continue
		}
		klog.InfoS("member_lost_early", "endpoint", id, "group", n.worker.Member.Group, "heard", heard, "unheard", unheard, "unreached", now.Sub(n.unreachedAt))
		n.suspect(n.unreached.asked, now, true)
		n.early = false
	}
}

// groupIsStill reports whether no node is known to get events from the group of an endpoint.
func (m *Manager) groupIsStill(now time.Time, n *endpointState) bool {
	group := n.worker.Member.Group
	if group == "" {
		return false
	}
	for _, head := range m.endpoints {
		if now.Before(head.stillUntil) && head.worker.Member.Group == group {
			return true
		}
	}
	return false
}
