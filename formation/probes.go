package formation

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"redwinghall"
	"redwinghall/fleet"
	"redwinghall/kernel"
	"redwinghall/platform"
)

// ReportStall tells the manager that an endpoint's group makes little or no progress.
// The manager probes all VMs of the domain to find out which members are lost or slow
// and which other VMs could replace them.
func (m *Manager) ReportStall(ctx context.Context, headID string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	head, ok := m.endpoints[headID]
	if !ok || head.worker.Endpoint == nil || m.group == nil || !m.HoldsLease(head.worker.Endpoint.Zone) {
		return
	}
	now := time.Now()
	for id, n := range m.endpoints {
		e := n.worker.Endpoint
		if e == nil || e.Domain != head.worker.Endpoint.Domain || e.Zone != head.worker.Endpoint.Zone {
			continue
		}
		m.endEarly(now, n)
		if m.probing[id] || now.Sub(n.probedAt) < probeInterval || now.Sub(n.seenAt) > time.Second {
			continue
		}
		m.probing[id] = true
		n.probedAt = now
		m.probe(ctx, n)
	}
}

// probe asks one endpoint for a report, and again until it answers or has been silent for too
// long.
func (m *Manager) probe(ctx context.Context, n *endpointState) {
	endpoint := n.worker.Endpoint
	m.group.Task("probe", func(running context.Context) {
		for {
			q := m.newQuestion(time.Now())
			report, err := m.Orderer.Report(ctx, endpoint)
			if m.recordProbe(q, time.Now(), n, report, err) || !kernel.Sleep(running, probeRetryDelay) {
				return
			}
		}
	})
}

// question is one request for a report.
type question struct {
	asked time.Time
	heard time.Duration // what the clock of answers showed
}

// newQuestion returns a question that is asked now.
func (m *Manager) newQuestion(now time.Time) question {
	m.mu.Lock()
	defer m.mu.Unlock()
	return question{asked: now, heard: m.answers.at(now)}
}

// recordProbe records the answer to a probe. It reports whether the endpoint answered or is known to be lost, or this
// node can't tell.
func (m *Manager) recordProbe(q question, now time.Time, n *endpointState, report fleet.Report, err error) (done bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	id := n.worker.Endpoint.ID
	n.recordUnreached(q, now, err)
	if err == nil {
		m.answers.record(now)
		m.suspectUnreached(now)
		n.silentSince = time.Time{}
		if n.bySilence {
			n.suspectUntil, n.bySilence = now, false
		}
		m.recordTimeFactor(now, n, report.TimeFactor)
		delete(m.probing, id)
		return true
	}
	if redwinghall.KindOf[platform.Kind](err) == platform.Unclear {
		klog.InfoS("member_not_asked", "endpoint", id, "group", n.worker.Member.Group, "err", err)
		n.silentSince = time.Time{}
		delete(m.probing, id)
		return true
	}
	absent := redwinghall.KindOf[platform.Kind](err) == platform.Absent
	if n.early && !absent {
		return m.recordEarlySilence(now, n, err)
	}
	silent := n.silence(q.asked, now)
	if n.silentSince.Equal(q.asked) {
		n.silentFrom = q.heard
	}
	klog.InfoS("member_silent", "endpoint", id, "group", n.worker.Member.Group, "since_report", m.answers.sinceAnswer(now), "silent", silent, "err", err)
	if !absent && m.answers.at(now)-n.silentFrom < minSilence {
		m.askWitnesses(now, n.worker.Endpoint)
		if silent < suspectDuration {
			return false
		}
		delete(m.probing, id) // it is asked again when streams are next reported as stalled
		return true
	}
	n.suspect(q.asked, now, true)
	delete(m.probing, id)
	return true
}

// recheckSuspects asks the endpoints that are suspect by their silence again, until they answer.
//
// A holder that was parted from them would otherwise believe for seconds that sound members are lost.
func (m *Manager) recheckSuspects(ctx context.Context, now time.Time, workers []*Worker) {
	for _, w := range workers {
		n, ok := m.endpoints[w.Endpoint.ID]
		if !ok || !w.Suspect || !n.bySilence || m.probing[w.Endpoint.ID] || now.Sub(n.probedAt) < probeInterval {
			continue
		}
		m.probing[w.Endpoint.ID] = true
		n.probedAt = now
		m.probe(ctx, n)
	}
}

// silence returns how long the endpoint has left reports unanswered while this process ran, the
// last of them asked for at a given time.
func (n *endpointState) silence(asked, now time.Time) time.Duration {
	if n.silentSince.IsZero() || asked.Sub(n.silentSince) > suspectDuration {
		n.silentSince = asked
	}
	return kernel.RunTime(n.silentSince, now)
}

// recordTimeFactor records whether an endpoint reports that it works slower than it should.
func (m *Manager) recordTimeFactor(now time.Time, n *endpointState, timeFactor float64) {
	if timeFactor < slowTimeFactor {
		n.slowUntil = time.Time{}
		return
	}
	klog.InfoS("member_slow", "endpoint", n.worker.Endpoint.ID, "group", n.worker.Member.Group, "pace", timeFactor)
	n.slowUntil = now.Add(slowDuration)
}
