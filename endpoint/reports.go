package endpoint

import (
	"context"
	"time"

	"redwinghall"
	"redwinghall/kernel"
)

// requestReports requests the reports of all members concurrently. The result is
// nil for a member that did not respond.
func (m *Manager) requestReports(ctx context.Context, now time.Time, members []redwinghall.Member) []*redwinghall.Report {
	reports := make([]*redwinghall.Report, len(members))
	round := kernel.NewGroup(ctx)
	for i, member := range members {
		round.Task("endpoint.request_report", func(ctx context.Context) {
			if r, err := m.engine.Report(ctx, member.Address); err == nil {
				reports[i] = &r
			}
		})
	}
	_ = round.Wait() // the goroutines return no errors
	for i, member := range members {
		if reports[i] != nil {
			m.recordResponse(member.VM, now)
		} else {
			m.recordNoResponse(member.VM, now)
		}
	}
	return reports
}
