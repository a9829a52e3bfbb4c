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
//
// A panic in one of them never ends the process. What else it ends depends on the method
// that started the goroutine.
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

// Go runs fn in a goroutine. If fn returns an error or panics, the whole group stops; the
// error is logged under name unless the group was already stopping.
//
// It is for what the group can't do without, and what can't be run a second time: an HTTP server whose
// accept loop panicked has closed its listener, and a planned stop that began anew would get its grace
// period twice. Other parts run by Every, Keep or Task.
func (g *Group) Go(name string, fn func(ctx context.Context) error) {
	g.eg.Go(func() error {
		err := Protect(name, func() error { return fn(g.ctx) })
		if err != nil && g.ctx.Err() == nil {
			klog.ErrorS(err, "part_failed", "part", name)
		}
		return err
	})
}

// Keep runs fn in a goroutine until it returns nil or the group stops. If fn returns an error or
// panics, it is run again after a pause that grows with each failure in a row. fn must be able to
// continue from any state in which it may have failed.
func (g *Group) Keep(name string, fn func(ctx context.Context) error) {
	g.Go(name, func(ctx context.Context) error {
		for failures := 1; ; failures++ {
			begun := time.Now()
			err := Protect(name, func() error { return fn(ctx) })
			if err == nil || ctx.Err() != nil {
				return err
			}
			if time.Since(begun) > maxBackoff {
				failures = 1
			}
			pause := backoff(failures)
			klog.ErrorS(err, "part_restarts", "part", name, "failures", failures, "pause", pause)
			if !Sleep(ctx, pause) {
				return nil
			}
		}
	})
}

// Task runs fn once in a goroutine. A panic in fn ends only this call.
func (g *Group) Task(name string, fn func(ctx context.Context)) {
	g.eg.Go(func() error {
		_ = protectCall(name, func() { fn(g.ctx) }) // it is logged
		return nil
	})
}

// Every calls fn at each interval until the group stops. fn receives the current
// time, so that it needn't read a clock. A panic in fn ends only this call. If several calls in
// a row panic, pauses follow them that grow with each.
func (g *Group) Every(name string, interval time.Duration, fn func(ctx context.Context, now time.Time)) {
	g.Go(name, func(ctx context.Context) error {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		failures := 0
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
			}
			if protectCall(name, func() { fn(ctx, time.Now()) }) == nil {
				failures = 0
				continue
			}
			if failures++; failures > 1 && !Sleep(ctx, backoff(failures)) {
				return nil
			}
		}
	})
}

func protectCall(name string, fn func()) error {
	return Protect(name, func() error { fn(); return nil })
}

// Stop cancels the group's context. It does not wait for the goroutines.
func (g *Group) Stop() { g.stop() }

// WaitWithin waits like Wait, but no longer than limit. ok reports whether all goroutines have returned.
func (g *Group) WaitWithin(limit time.Duration) (ok bool, err error) {
	done := make(chan error, 1)
	NewGroup(context.Background()).Task("wait", func(context.Context) { done <- g.Wait() })
	select {
	case err := <-done:
		return true, err
	case <-time.After(limit):
		return false, nil
	}
}

// Wait waits until all goroutines have returned, and returns the first error.
func (g *Group) Wait() error {
	defer g.stop()
	return g.eg.Wait()
}
