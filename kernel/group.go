// Package kernel starts, runs and stops the components of a program, and provides
// a registry for plug-ins.
package kernel

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"
)

// Group runs goroutines that stop together: the first error, or the end of the
// parent context, cancels the context of all of them. This project starts
// goroutines only through a Group.
type Group struct {
	ctx  context.Context
	stop context.CancelFunc
	eg   *errgroup.Group
}

// NewGroup returns a group whose context is derived from ctx.
func NewGroup(ctx context.Context) *Group {
	ctx, stop := context.WithCancel(ctx)
	eg, ctx := errgroup.WithContext(ctx)
	return &Group{ctx: ctx, stop: stop, eg: eg}
}

// Context returns the context of the group, which is canceled when the group
// stops.
func (g *Group) Context() context.Context { return g.ctx }

// Go runs fn in a goroutine. If fn returns an error, the whole group stops; the
// error is logged under name unless the group was already stopping.
func (g *Group) Go(name string, fn func(ctx context.Context) error) {
	g.eg.Go(func() error {
		err := fn(g.ctx)
		if err != nil && g.ctx.Err() == nil {
			klog.ErrorS(err, "part_failed", "part", name)
		}
		return err
	})
}

// Every calls fn at each interval until the group stops. fn receives the current
// time, so that it needn't read a clock.
func (g *Group) Every(name string, interval time.Duration, fn func(ctx context.Context, now time.Time)) {
	g.Go(name, func(ctx context.Context) error {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
				fn(ctx, time.Now())
			}
		}
	})
}

// Stop cancels the group's context. It does not wait for the goroutines.
func (g *Group) Stop() { g.stop() }

// Wait waits until all goroutines have returned, and returns the first error.
func (g *Group) Wait() error {
	defer g.stop()
	return g.eg.Wait()
}
