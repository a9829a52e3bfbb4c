package formation

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"redwinghall"
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
		if m.probing[id] || now.Sub(n.probedAt) < probeInterval || now.Sub(n.seenAt) > time.Second {
			continue
		}
		m.probing[id] = true
		n.probedAt = now
		m.probe(ctx, n)
	}
}

// probe asks one endpoint for a report.
func (m *Manager) probe(ctx context.Context, n *endpointState) {
	endpoint := n.worker.Endpoint
	m.group.Go("probe", func(context.Context) error {
		report, err := m.Orderer.Report(ctx, endpoint)
		now := time.Now()
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.probing, endpoint.ID)
		if err == nil {
			m.reportedAt = now
			m.recordTimeFactor(now, n, report.TimeFactor)
			return nil
		}
		if redwinghall.KindOf[platform.Kind](err) == platform.Unclear {
			klog.InfoS("member_not_asked", "endpoint", endpoint.ID, "group", n.worker.Member.Group, "err", err)
			return nil
		}
		klog.InfoS("member_silent", "endpoint", endpoint.ID, "group", n.worker.Member.Group, "since_report", m.sinceReport(now), "err", err)
		n.suspectUntil = now.Add(suspectDuration)
		return nil
	})
}

// sinceReport returns how long ago any probed endpoint last answered, negative if none has.
func (m *Manager) sinceReport(now time.Time) time.Duration {
	if m.reportedAt.IsZero() {
		return -1
	}
	return now.Sub(m.reportedAt)
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
