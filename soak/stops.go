package soak

import (
	"context"
	"errors"
	"time"

	"redwinghall/kernel"
	"redwinghall/platform/platformtest"
	"redwinghall/standin/process"
)

// Times of planned stops.
const (
	// stopInterval is shorter than a stop takes, so that several stops overlap.
	stopInterval = 2 * time.Second
	startDelay   = 500 * time.Millisecond // between a node's exit and its next start
)

// runStops stops nodes one after another while sessions send requests, and checks that
// no request is cut off.
func (d *deployment) runStops(ctx context.Context, report *Report) error {
	c := &stopChecker{}
	sessionGroup := kernel.NewGroup(ctx)
	b := newBalancer(d.nodes)
	b.start(sessionGroup)
	for i := range sessionCount {
		s := newSession(d, b, c, i)
		sessionGroup.Go(s.name, s.run)
	}
	if err := d.stopNodesInTurn(ctx, c); err != nil {
		return err
	}
	sessionGroup.Stop()
	if err := sessionGroup.Wait(); err != nil {
		return err
	}
	c.finish(d.runs, report)
	return nil
}

// stopNodesInTurn stops the nodes in turn, repeatedly, for the configured length, and
// waits until all have started again.
func (d *deployment) stopNodesInTurn(ctx context.Context, c *stopChecker) error {
	g := kernel.NewGroup(ctx)
	order := d.random.Perm(len(d.nodes))
	end := time.Now().Add(d.config.Length)
	for i := 0; time.Now().Before(end) && ctx.Err() == nil; i++ {
		n := d.nodes[order[i%len(order)]]
		g.Go("stop "+n.settings.Node, func(ctx context.Context) error { return d.restartGracefully(ctx, c, n) })
		kernel.Sleep(ctx, stopInterval)
	}
	return g.Wait()
}

// restartGracefully stops a node as the platform does and starts it again. A node that
// does not exit within its grace period is killed; this is a violation even if it cuts
// off no request. A node whose previous stop has not finished yet is skipped.
func (d *deployment) restartGracefully(ctx context.Context, c *stopChecker, n *nodeProcess) error {
	if !d.beginStop(n, time.Now()) {
		return nil
	}
	defer d.releaseNode(n)
	d.recordFault("%s gets SIGTERM", n.settings.Node)
	err := d.processes.StopWithin(n.proc, platformtest.Grace)
	switch {
	case errors.Is(err, process.ErrKilled):
		d.recordFault("%s gets SIGKILL", n.settings.Node)
		c.recordKilled(n)
	case err != nil:
		return err
	}
	kernel.Sleep(ctx, startDelay)
	return d.restart(n)
}

func (d *deployment) beginStop(n *nodeProcess, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n.reserved {
		return false
	}
	n.reserved, n.stoppedAt = true, now
	return true
}

// lastSIGTERM returns when a node last got SIGTERM, or the zero time.
func (d *deployment) lastSIGTERM(n *nodeProcess) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return n.stoppedAt
}
