package soak

import (
	"context"
	"syscall"
	"time"

	"redwinghall/kernel"
)

const (
	hangUpTime     = 1000 // milliseconds within which all nodes get SIGHUP
	stopHangUpTime = 50   // milliseconds between the SIGHUPs of a node that stops
)

func (d *deployment) hangUp(n *nodeProcess) {
	l := d.lifetimeOf(n)
	d.recordFault("%s (pid %d) gets SIGHUP", n.settings.Node, l.process.PID())
	d.recordEarlyHangUp(l)
	l.process.Signal(syscall.SIGHUP)
}

// recordEarlyHangUp records a SIGHUP that comes before the first instructions of a process, which ends by it.
func (d *deployment) recordEarlyHangUp(l *lifetime) {
	if l.process.Handles(syscall.SIGHUP) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	l.hungUpEarly = true
}

// hangUpAll sends SIGHUP to all nodes within a second, and replaces the settings of some
// beside it.
func hangUpAll(ctx context.Context, d *deployment) error {
	g := kernel.NewGroup(ctx)
	for _, n := range d.nodes {
		g.Go("SIGHUP to "+n.settings.Node, func(ctx context.Context) error {
			kernel.Sleep(ctx, d.randomTime(0, hangUpTime))
			switch d.randomInt(4) {
			case 0:
				if err := d.replaceSettings(n); err != nil {
					return err
				}
			case 1:
				return d.overwriteSettings(ctx, n)
			}
			d.hangUp(n)
			return nil
		})
	}
	return g.Wait()
}

// hangUpUntilExit sends SIGHUPs to a node that stops, until its process has ended.
func (d *deployment) hangUpUntilExit(ctx context.Context, n *nodeProcess, l *lifetime) {
	first := time.Now()
	for l.running() && ctx.Err() == nil {
		kernel.Sleep(ctx, d.randomTime(1, stopHangUpTime))
		l.process.Signal(syscall.SIGHUP)
	}
	d.recordFault("%s (pid %d) got SIGHUPs for %s, until its end", n.settings.Node, l.process.PID(), time.Since(first))
}
