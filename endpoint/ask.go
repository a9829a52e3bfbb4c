package endpoint

import (
	"context"
	"time"

	"redwinghall"
	"redwinghall/kernel"
)

// askAll asks all members at once for their reports; nil where none came.
func (m *Manager) askAll(ctx context.Context, now time.Time, members []redwinghall.Member) []*redwinghall.Report {
	reports := make([]*redwinghall.Report, len(members))
	round := kernel.NewGroup(ctx)
	for i, member := range members {
		round.Go("endpoint.ask", func(ctx context.Context) error {
			if r, err := m.engine.Report(ctx, member.Address); err == nil {
				reports[i] = &r
			}
			return nil
		})
	}
	_ = round.Wait() // the rounds return no errors
	for i, member := range members {
		if reports[i] != nil {
			m.noteAnswered(member.VM, now)
		} else {
			m.noteUnanswered(member.VM, now)
		}
	}
	return reports
}
