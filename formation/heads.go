package formation

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"redwinghall"
	"redwinghall/fleet"
	"redwinghall/platform"
)

// askHeads finds out of groups without a head whether its process has ended.
func (m *Manager) askHeads(ctx context.Context, now time.Time, z *Zone) {
	present := map[string]bool{}
	for _, w := range z.Workers {
		if w.Member.Rank == 0 && !w.Suspect && !w.Silent {
			present[w.Member.Group] = true
		}
	}
	for _, w := range z.Workers {
		name := w.Member.Group
		if name == "" || present[name] || w.Suspect || w.Silent {
			continue
		}
		h, known := m.heads[name]
		if !known {
			continue
		}
		z.HeadGone[name] = h.gone
		if !h.gone && now.Sub(h.askedAt) > probeAgain {
			h.askedAt = now
			m.askHead(ctx, name, h)
		}
	}
}

// heads reports whether a membership is that of a group's head that may serve.
func heads(m fleet.Membership, group string) bool {
	return m.Group == group && (m.State == fleet.Open || m.State == fleet.Closing)
}

// askHead asks a head that has no entry. A refused connection, or another
// process at its address, proves that it has ended.
func (m *Manager) askHead(ctx context.Context, name string, h *headNote) {
	m.group.Go("ask_head", func(context.Context) error {
		report, err := m.Orderer.Report(ctx, h.endpoint)
		gone := redwinghall.KindOf[platform.Kind](err) == platform.Ended || (err == nil && !heads(report.Member, name))
		m.mu.Lock()
		defer m.mu.Unlock()
		h.gone = gone
		klog.InfoS("head_asked", "group", name, "endpoint", h.endpoint.ID, "gone", gone, "err", err)
		return nil
	})
}
