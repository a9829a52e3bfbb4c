package formation

import (
	"cmp"
	"context"
	"slices"
	"time"

	"redwinghall/fleet"
	"redwinghall/kernel"
)

const (
	// witnessCount is how many endpoints are asked at once while another one is silent, at most once
	// in witnessInterval.
	witnessCount    = 2
	witnessInterval = 200 * time.Millisecond
	// maxAnswerGap is the longest time between two answers in which this node counts as reached. It
	// leaves room for one report that times out.
	maxAnswerGap = 600 * time.Millisecond
)

// answerSpan is the time in which endpoints have answered this node without a gap.
//
// If all endpoints fall silent together, this node or its link stands still, not they. Orders given for that
// reason would arrive once all answer again, and would cancel the streams of sound groups. So the silence of
// one endpoint counts only while others answer.
type answerSpan struct{ from, to time.Time }

// record adds an answer.
func (a *answerSpan) record(now time.Time) {
	if kernel.RunTime(a.to, now) > maxAnswerGap {
		a.from = now
	}
	a.to = now
}

// silence returns for how long an endpoint has been silent while others answered and this process ran.
func (a answerSpan) silence(since, now time.Time) time.Duration {
	if kernel.RunTime(a.to, now) > maxAnswerGap {
		return 0
	}
	return kernel.RunTime(later(since, a.from), now)
}

// age returns how long ago the last answer came, negative if there was none.
func (a answerSpan) age(now time.Time) time.Duration {
	if a.to.IsZero() {
		return -1
	}
	return now.Sub(a.to)
}

// askWitnesses asks other endpoints for a report while one is silent. The lock is held.
func (m *Manager) askWitnesses(now time.Time, silent *fleet.Endpoint) {
	if now.Sub(m.witnessedAt) < witnessInterval {
		return
	}
	m.witnessedAt = now
	for _, n := range m.witnesses(now, silent) {
		m.probing[n.worker.Endpoint.ID] = true
		n.probedAt = now
		m.probe(context.Background(), n)
	}
}

// witnesses returns some listed endpoints of a zone that aren't silent themselves: those of other domains
// first, as a domain may fail as a whole, and those that were not asked for longest.
func (m *Manager) witnesses(now time.Time, silent *fleet.Endpoint) []*endpointState {
	var all []*endpointState
	for id, n := range m.endpoints {
		e := n.worker.Endpoint
		if e == nil || e.Zone != silent.Zone || m.probing[id] || !n.silentSince.IsZero() || now.Sub(n.seenAt) > time.Second {
			continue
		}
		all = append(all, n)
	}
	slices.SortFunc(all, func(a, b *endpointState) int {
		x, y := a.worker.Endpoint, b.worker.Endpoint
		if (x.Domain == silent.Domain) != (y.Domain == silent.Domain) {
			return cmp.Compare(boolRank(x.Domain == silent.Domain), boolRank(y.Domain == silent.Domain))
		}
		return cmp.Or(a.probedAt.Compare(b.probedAt), cmp.Compare(x.ID, y.ID))
	})
	return all[:min(witnessCount, len(all))]
}

// boolRank orders false before true.
func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}
