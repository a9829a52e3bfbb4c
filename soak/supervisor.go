package soak

import (
	"context"
	"syscall"
	"time"

	"redwinghall/kernel"
	"redwinghall/standin/process"
)

const (
	// maxStartHangUps is the most SIGHUPs that a started process gets within startHangUpTime.
	maxStartHangUps = 3
	startHangUpTime = 100 // milliseconds
	// handlerTimeout is how long the run waits until a new process handles SIGHUP. Before its
	// first instructions no process does.
	handlerTimeout = 2 * time.Second
)

// supervise starts a node again whenever its process has ended, as the platform does, and
// checks that the run made it end.
func (d *deployment) supervise(ctx context.Context, n *nodeProcess) error {
	for {
		l := d.lifetimeOf(n)
		select {
		case <-ctx.Done():
			return nil
		case <-l.process.Exited():
		}
		d.processes.Forget(l.process)
		if err := d.end(l); err != nil {
			d.addViolation("%v; events of the second before: %v", err, d.faultsSince(l.endedAt.Add(-eventsBefore)))
		}
		kernel.Sleep(ctx, d.restartDelay(n))
		if ctx.Err() != nil {
			return nil
		}
		if err := d.startSupervised(ctx, n); err != nil {
			return err
		}
	}
}

// startSupervised starts a node and, half of the time, sends it SIGHUPs as it starts.
func (d *deployment) startSupervised(ctx context.Context, n *nodeProcess) error {
	n.settingsFile.Lock()
	err := d.restart(n)
	n.settingsFile.Unlock()
	p := d.lifetimeOf(n).process
	d.recordFault("%s (pid %d) starts", n.settings.Node, p.PID())
	if err != nil || d.randomInt(2) == 0 {
		return err
	}
	awaitHandler(ctx, p)
	for range 1 + d.randomInt(maxStartHangUps) {
		kernel.Sleep(ctx, d.randomTime(0, startHangUpTime))
		d.hangUp(n)
	}
	return nil
}

// awaitHandler waits until a process handles SIGHUP.
func awaitHandler(ctx context.Context, p *process.Process) {
	end := time.Now().Add(handlerTimeout)
	for !p.Handles(syscall.SIGHUP) && time.Now().Before(end) {
		kernel.Sleep(ctx, time.Millisecond)
	}
}

// restartDelay returns the time between the end of a node's process and its next start.
func (d *deployment) restartDelay(n *nodeProcess) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n.restartDelay > 0 {
		return n.restartDelay
	}
	return startDelay
}

// randomTime returns a random time of some milliseconds.
func (d *deployment) randomTime(from, to int) time.Duration {
	return time.Duration(from+d.randomInt(to-from)) * time.Millisecond
}
