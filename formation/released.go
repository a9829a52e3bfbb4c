package formation

import (
	"slices"
	"time"
)

// releaseTimeout is how long the free VMs of a domain wait for other members of a group that is released. An order to
// leave that is on its way arrives within this time, so a member that hasn't confirmed its leaving by then isn't waited for.
const releaseTimeout = 4 * time.Second

// awaitReleased keeps the free VMs of a domain from loading another model while other members of a released group
// aren't free yet.
//
// The members of a group whose head can't be asked become free one after the other, as each has to confirm that it left.
// If the first ones loaded another model, the rest would be too few for the group, and its model would be gone from their
// hosts.
func (p *planner) awaitReleased() {
	for _, g := range p.released {
		if g.standby || len(g.byRank) <= 1 {
			continue
		}
		for _, w := range g.byRank {
			domain := w.Endpoint.Domain
			if w.usable() && !slices.Contains(p.free[domain], w) && p.now.Sub(g.releasedSince(w)) < releaseTimeout {
				p.awaiting[domain] = true
			}
		}
	}
}

// releasedSince returns about when the group of a member stopped to serve; long ago if that is unknown.
func (g *group) releasedSince(w *Worker) time.Time {
	head := g.head()
	if w.FreeSince.IsZero() && head != nil && head.Suspect {
		return head.SuspectedAt
	}
	return w.FreeSince
}
