package soak

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"redwinghall/kernel"
	"redwinghall/platform/platformtest"
	"redwinghall/standin/link"
)

// Times of PlanEnds, in milliseconds unless they have a unit.
const (
	minSilence    = 5 // from a node's silence to its end
	maxSilence    = 200
	minStandstill = 80
	maxStandstill = 1200
	maxAfterwards = 100 // from the end of a standstill to a node's end
	maxSurvivors  = 3
	silenceOfAll  = time.Second // less than a sound endpoint may be silent
	// seriesTime is for how long ends are watched while nodes live on, and versions go on.
	seriesTime = 5 * time.Second
)

// endGaps are the times between the ends of two nodes of a series.
var endGaps = []time.Duration{0, 2 * time.Millisecond, 10 * time.Millisecond, 50 * time.Millisecond}

// seriesEnd is how the nodes of a series end.
type seriesEnd struct {
	name string
	run  func(ctx context.Context, d *deployment, n *nodeProcess)
	// lives reports whether the nodes go on afterwards.
	lives bool
}

var seriesEnds = []seriesEnd{
	{"get SIGKILL", func(_ context.Context, d *deployment, n *nodeProcess) { d.kill(d.lifetimeOf(n), time.Now()) }, false},
	{"lose power", losePower, false},
	{"stand still and get SIGKILL soon after", endAfterStandstill, false},
	{"stand still and go on", standStill, true},
}

// losePower lets a node fall silent to everybody, and ends it.
func losePower(ctx context.Context, d *deployment, n *nodeProcess) {
	l := d.lifetimeOf(n)
	n.storeLink.Set(link.Blackhole, 0)
	l.process.Signal(syscall.SIGSTOP)
	kernel.Sleep(ctx, d.randomTime(minSilence, maxSilence))
	d.kill(l, time.Now())
	n.storeLink.Set(link.Pass, 0)
}

func standStill(ctx context.Context, d *deployment, n *nodeProcess) {
	l := d.lifetimeOf(n)
	l.process.Signal(syscall.SIGSTOP)
	kernel.Sleep(ctx, d.randomTime(minStandstill, maxStandstill))
	l.process.Signal(syscall.SIGCONT)
}

func endAfterStandstill(ctx context.Context, d *deployment, n *nodeProcess) {
	standStill(ctx, d, n)
	kernel.Sleep(ctx, d.randomTime(0, maxAfterwards))
	d.kill(d.lifetimeOf(n), time.Now())
}

// runEnds ends all nodes or all but a few in series, each time right after a version of the
// configuration, and lets all endpoints fall silent in between.
func (d *deployment) runEnds(ctx context.Context, report *Report) error {
	return d.superviseSessions(ctx, report, func(b *balancer, c *cutChecker) error {
		for end := time.Now().Add(d.config.Length); time.Now().Before(end) && ctx.Err() == nil; {
			d.awaitReady(ctx, b)
			if err := storm(ctx, d, d.randomTime(minStormTime, maxStormTime)); err != nil {
				return err
			}
			if err := d.runSeries(ctx, c, report); err != nil {
				return err
			}
			if err := d.silenceAll(ctx, d.randomInt(3)); err != nil {
				return err
			}
		}
		c.checkAlive(report)
		return nil
	})
}

// runSeries ends nodes in series within maxAfterAck of a version.
func (d *deployment) runSeries(ctx context.Context, c *cutChecker, report *Report) error {
	end, gap := seriesEnds[d.randomInt(len(seriesEnds))], endGaps[d.randomInt(len(endGaps))]
	count := len(d.nodes)
	if d.randomInt(2) == 0 {
		count = max(1, count-1-d.randomInt(maxSurvivors))
	}
	for _, n := range d.nodes {
		d.setRestartDelay(n, d.randomTime(minRestartDelay, maxRestartDelay))
	}
	first := d.randomInt(len(d.nodes))
	if err := d.putVersion(); err != nil {
		return err
	}
	kernel.Sleep(ctx, d.randomTime(0, maxAfterAck))
	from := time.Now()
	d.recordFault("%d nodes from node-%d %s, %s apart", count, first, end.name, gap)
	g := kernel.NewGroup(ctx)
	for i := range count {
		n := d.nodes[(first+i)%len(d.nodes)]
		g.Go("end of "+n.settings.Node, func(ctx context.Context) error {
			kernel.Sleep(ctx, time.Duration(i)*gap)
			end.run(ctx, d, n)
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	if count == len(d.nodes) && !end.lives {
		return d.awaitRecovery(ctx, c, report, from)
	}
	if end.lives {
		count = 0
	}
	for i := count; i < len(d.nodes); i++ {
		c.live(d.nodes[(first+i)%len(d.nodes)], from, from.Add(seriesTime))
	}
	return storm(ctx, d, seriesTime)
}

// silenceAll lets all endpoints, the store, or both fall silent for a time in which nobody may take the endpoints
// for lost.
func (d *deployment) silenceAll(ctx context.Context, which int) error {
	from := time.Now()
	name := []string{"all endpoints", "the store", "the store and all endpoints"}[which]
	d.recordFault("%s: silent for %s", name, silenceOfAll)
	if which != 1 {
		d.setEndpointLinks(link.Hold)
	}
	d.store.SetFaults(platformtest.Faults{Silent: which != 0})
	versions := kernel.NewGroup(ctx)
	versions.Go("versions", func(ctx context.Context) error { return storm(ctx, d, silenceOfAll) })
	kernel.Sleep(ctx, silenceOfAll)
	d.store.SetFaults(platformtest.Faults{})
	d.setEndpointLinks(link.Pass)
	err := versions.Wait()
	open := d.openHeads()
	kernel.Sleep(ctx, resumedTime)
	now := d.openHeads()
	for id, group := range open {
		if now[id] != group {
			d.addViolation("the group of %s was closed after a silence of %s from %s, open are %v", id, name, clock(from), now)
		}
	}
	return err
}

func (d *deployment) setEndpointLinks(mode link.Mode) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.endpoints {
		e.link.Set(mode, 0)
	}
}

// livingNode is a node that nothing was done to while others ended or stood still.
type livingNode struct {
	node     *nodeProcess
	from, to time.Time
}

// live records that a node lives on while others end.
func (c *cutChecker) live(n *nodeProcess, from, to time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.living = append(c.living, livingNode{n, from, to})
}

// checkAlive checks that nodes that lived on refused no more than a few requests and sent no stream
// to a second endpoint.
func (c *cutChecker) checkAlive(report *Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	all, refused := 0, 0
	for _, one := range c.living {
		for _, x := range c.exchanges {
			if x.node != one.node || x.ended.Before(one.from) || x.sent.After(one.to) {
				continue
			}
			all++
			if x.status != http.StatusOK {
				refused++
			}
			if runs := c.deployment.runs.Runs(x.id); runs > 1 {
				report.violate("%s (%s) ran %d times at %s, which lived on from %s", x.id, x.kind, runs, one.node.settings.Node, clock(one.from))
			}
		}
	}
	if float64(refused) > (1-minServedRatio)*float64(all) {
		report.violate("nodes that lived on while others ended or stood still didn't serve %d of %d attempts", refused, all)
	}
	report.Notes = append(report.Notes, fmt.Sprintf("nodes that lived on while others ended or stood still served %d of %d attempts", all-refused, all))
}
