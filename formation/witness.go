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
	// maxAnswerGap is how much of the time between two answers counts as time in which endpoints answer.
	maxAnswerGap = 200 * time.Millisecond
)

// answerClock runs only while endpoints answer this node and this process runs.
//
// If all endpoints fall silent together, this node or its link stands still, not they. Orders given for that
// reason would arrive once all answer again, and would cancel the streams of sound groups. So the silence of
// one endpoint is measured by this clock.
type answerClock struct {
	total time.Duration // up to the last answer
	last  time.Time     // when that came, zero if none did
}

// record adds an answer.
func (c *answerClock) record(now time.Time) { c.total, c.last = c.at(now), now }

// at returns what the clock shows at a time.
func (c *answerClock) at(now time.Time) time.Duration {
	if c.last.IsZero() {
		return 0
	}
	return c.total + min(maxAnswerGap, kernel.RunTime(c.last, now))
}

// sinceAnswer returns how long ago the last answer came, negative if there was none.
func (c *answerClock) sinceAnswer(now time.Time) time.Duration {
	if c.last.IsZero() {
		return -1
	}
	return now.Sub(c.last)
}

// askWhileSilent asks others while an endpoint is silent and it isn't decided yet whether it is lost.
func (m *Manager) askWhileSilent(now time.Time, workers []*Worker) {
	for _, w := range workers {
		n, ok := m.endpoints[w.Endpoint.ID]
		if ok && !w.Suspect && m.probing[w.Endpoint.ID] && !n.silentSince.IsZero() {
			m.askWitnesses(now, w.Endpoint)
		}
	}
}

// askWitnesses asks other endpoints for a report while one is silent. The lock is held.
func (m *Manager) askWitnesses(now time.Time, silent *fleet.Endpoint) {
	m.askWitnessesWithin(now, silent, witnessInterval)
}

// askWitnessesWithin is askWitnesses with another interval.
func (m *Manager) askWitnessesWithin(now time.Time, silent *fleet.Endpoint, interval time.Duration) {
	if now.Sub(m.witnessedAt) < interval {
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
