// Package kernel starts, runs and stops the parts of a program together, and
// keeps the registry through which plug-ins offer themselves.
package kernel

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"
)

// Group runs goroutines that stop together: the first error, or the end of
// the parent context, ends the context of all. It is the only way in which
// this project starts a goroutine.
type Group struct {
	ctx  context.Context
	stop context.CancelFunc
	eg   *errgroup.Group
}

// NewGroup returns a group below ctx.
func NewGroup(ctx context.Context) *Group {
	ctx, stop := context.WithCancel(ctx)
	eg, ctx := errgroup.WithContext(ctx)
	return &Group{ctx: ctx, stop: stop, eg: eg}
}

// Context ends when the group stops.
func (g *Group) Context() context.Context { return g.ctx }

// Go runs fn until it returns. An error stops the whole group.
func (g *Group) Go(name string, fn func(ctx context.Context) error) {
	g.eg.Go(func() error {
		err := fn(g.ctx)
		if err != nil && g.ctx.Err() == nil {
			klog.ErrorS(err, "part_failed", "part", name)
		}
		return err
	})
}

// Every runs fn at each interval until the group stops. now is handed on so
// that what fn decides reads no clock of its own.
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

// Stop ends the group's context. It does not wait.
func (g *Group) Stop() { g.stop() }

// Wait returns when every goroutine has returned, with the first error.
func (g *Group) Wait() error {
	defer g.stop()
	return g.eg.Wait()
}
