package soak

import (
	"context"
	"fmt"
	"time"

	"redwinghall/kernel"
)

// pauseTimes are the times for which nodes stand still in PlanPauses.
var pauseTimes = []time.Duration{300 * time.Millisecond, 1200 * time.Millisecond, 6 * time.Second, 15 * time.Second}

const (
	// resumedTime is how long after a pause its checks apply. No other pause begins in it.
	resumedTime = 3 * time.Second
	// turnInterval is the time between the pauses of nodes that stand still in turn.
	turnInterval = 150 * time.Millisecond
)

// nodePause is a time in which some nodes stood still.
type nodePause struct {
	nodes    map[int]bool
	from, to time.Time
	// died reports whether an endpoint ended as the nodes ran again.
	died bool
}

// pauseNodes lets one node, half of them, all, or one after another stand still, again and again.
// In some of the pauses an endpoint really ends.
func (d *deployment) pauseNodes(ctx context.Context) error {
	end := time.Now().Add(d.config.Length)
	for time.Now().Before(end) && ctx.Err() == nil {
		duration := pauseTimes[d.randomInt(len(pauseTimes))]
		count := []int{1, (len(d.nodes) + 1) / 2, len(d.nodes)}[d.randomInt(3)]
		first, inTurn, dies := d.randomInt(len(d.nodes)), d.randomInt(4) == 0, d.randomInt(3) == 0
		d.recordFault("%d nodes from node-%d stand still for %s, in turn %t, an endpoint ends %t", count, first, duration, inTurn, dies)
		if err := d.pauseOnce(ctx, first, count, duration, inTurn, dies); err != nil {
			return err
		}
		kernel.Sleep(ctx, resumedTime)
	}
	return nil
}

// pauseOnce lets some nodes stand still, ends an endpoint in the moment in which they run again if dies
// is set, and waits until the checks after the pause no longer apply.
func (d *deployment) pauseOnce(ctx context.Context, first, count int, duration time.Duration, inTurn, dies bool) error {
	open := d.openHeads()
	p := nodePause{nodes: map[int]bool{}, from: time.Now(), died: dies}
	g := kernel.NewGroup(ctx)
	for i := range count {
		at := (first + i) % len(d.nodes)
		p.nodes[at] = true
		g.Go("pause", func(ctx context.Context) error {
			if inTurn {
				kernel.Sleep(ctx, time.Duration(i)*turnInterval)
			}
			if err := d.nodes[at].proc.Freeze(); err != nil {
				return err
			}
			kernel.Sleep(ctx, duration)
			return d.nodes[at].proc.Thaw()
		})
	}
	if dies {
		kernel.Sleep(ctx, duration)
		e := d.pickEndpoint()
		d.setLostMember(e.endpoint.Group())
		if err := d.replace(e); err != nil {
			return err
		}
	}
	err := g.Wait()
	p.to = time.Now()
	kernel.Sleep(ctx, resumedTime)
	d.mu.Lock()
	d.pauses = append(d.pauses, p)
	d.mu.Unlock()
	now := d.openHeads()
	for id, group := range open {
		if _, still := now[id]; !dies && !still && !d.hasLostMember(group) {
			d.addViolation("the group of %s was closed in a pause of nodes, open are %v", id, now)
		}
	}
	return err
}

// openHeads returns the groups that are open, by the id of the endpoint that heads them.
func (d *deployment) openHeads() map[string]string {
	d.mu.Lock()
	defer d.mu.Unlock()
	open := map[string]string{}
	for _, e := range d.endpoints {
		if e.endpoint.IsOpen() {
			open[e.config.ID] = e.endpoint.Group()
		}
	}
	return open
}

// setLostMember records that a member of a group has ended. While its streams advance the group is
// closed only seconds later, maybe in another pause.
func (d *deployment) setLostMember(group string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lostMembers[group] = true
}

func (d *deployment) hasLostMember(group string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lostMembers[group]
}

// checkPauses checks that nodes that stood still serve the requests that follow, and that no request
// was sent to a second endpoint for a pause alone.
func (d *deployment) checkPauses(r *results) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	var violations []string
	for _, p := range d.pauses {
		sent, served := 0, 0
		var failed []string
		for _, one := range r.tries {
			if one.sent.Before(p.from.Add(-requestTimeout)) || one.sent.After(p.to.Add(resumedTime)) {
				continue
			}
			if runs := d.runs.Runs(one.id); runs > 1 && !p.died && one.sent.After(p.from) {
				violations = append(violations, fmt.Sprintf("%s ran %d times, sent %s before nodes ran again", one.id, runs, p.to.Sub(one.sent)))
			}
			if !p.nodes[one.node] || one.sent.Before(p.to) {
				continue
			}
			sent++
			if one.served {
				served++
			} else {
				failed = append(failed, fmt.Sprintf("%s status %d, %s after", one.id, one.status, one.sent.Sub(p.to)))
			}
		}
		if float64(served) < minServedRatio*float64(sent) {
			violations = append(violations, fmt.Sprintf("nodes that stood still from %s to %s served %d of %d requests after it: %v",
				p.from.Format("15:04:05.000"), p.to.Format("15:04:05.000"), served, sent, failed))
		}
	}
	return violations
}
