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
	// stopGap is shorter than a stop, so that several overlap.
	stopGap    = 2 * time.Second
	startPause = 500 * time.Millisecond // between a node's end and its next start
)

// playStops stops nodes in series while sessions ask, and checks that no
// request is cut off.
func (w *world) playStops(ctx context.Context, report *Report) error {
	p := &promise{}
	asking := kernel.NewGroup(ctx)
	b := newBalancer(w.nodes)
	b.start(asking)
	for i := range sessions {
		s := newSession(w, b, p, i)
		asking.Go(s.name, s.run)
	}
	if err := w.stopInSeries(ctx, p); err != nil {
		return err
	}
	asking.Stop()
	if err := asking.Wait(); err != nil {
		return err
	}
	p.close(w.ledger, report)
	return nil
}

// stopInSeries stops each node in turn, round after round, until the run's
// length is over, and waits until all have started again.
func (w *world) stopInSeries(ctx context.Context, p *promise) error {
	g := kernel.NewGroup(ctx)
	order := w.random.Perm(len(w.nodes))
	end := time.Now().Add(w.config.Length)
	for i := 0; time.Now().Before(end) && ctx.Err() == nil; i++ {
		n := w.nodes[order[i%len(order)]]
		g.Go("stop "+n.settings.Node, func(ctx context.Context) error { return w.stopAndStart(ctx, p, n) })
		kernel.Sleep(ctx, stopGap)
	}
	return g.Wait()
}

// stopAndStart stops a node as the platform does. A node that outlasts its grace
// is killed, which breaks the promise also where it cuts no request. A node that
// a stop of the round before still holds is left alone.
func (w *world) stopAndStart(ctx context.Context, p *promise, n *nodeProcess) error {
	if !w.beginStop(n, time.Now()) {
		return nil
	}
	defer w.unclaim(n)
	w.note("%s gets SIGTERM", n.settings.Node)
	err := w.set.StopWithin(n.running, platformtest.Grace)
	switch {
	case errors.Is(err, process.ErrKilled):
		w.note("%s gets SIGKILL", n.settings.Node)
		p.outlasted(n)
	case err != nil:
		return err
	}
	kernel.Sleep(ctx, startPause)
	return w.restart(n)
}

func (w *world) beginStop(n *nodeProcess, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if n.busy {
		return false
	}
	n.busy, n.stopped = true, now
	return true
}

// stoppedAt returns when a node last got SIGTERM, or the zero time.
func (w *world) stoppedAt(n *nodeProcess) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return n.stopped
}
