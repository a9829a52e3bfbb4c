package soak

import (
	"context"
	"time"

	"redwinghall/kernel"
	"redwinghall/platform/platformtest"
	"redwinghall/standin/process"
)

// Times of PlanVersions, in milliseconds unless they have a unit.
const (
	versionRounds     = 2 // the run does everything twice
	aloneShare        = 4 // the part of a round in which only versions change
	minActionInterval = 200
	maxActionInterval = 800
	minStormTime      = 500
	maxStormTime      = 2000
	maxAfterAck       = 400 // from a version's acknowledgement to a stop or kill
	minRestartDelay   = 100 // from the kill of all nodes to the start of one
	maxRestartDelay   = 1500
	lossShare         = 3 // at most one node in three loses its output at once
	recoveryPoll      = 100 * time.Millisecond
	// maxRoundTime bounds a round of a long run.
	maxRoundTime = 20 * time.Second
	// countersPerZone is the number of endpoints of the second plain service in each zone.
	countersPerZone = 2
)

// versionAction is what operators do beside versions, or what happens to nodes' output.
type versionAction struct {
	name string
	run  func(ctx context.Context, d *deployment) error
}

var versionActions = []versionAction{
	{"versions", stormForAWhile},
	{"SIGHUP to all nodes", hangUpAll},
	{"stop of some nodes", stopSome},
	{"stop of all nodes", stopAll},
	{"readers of output end", closeOutputs},
	{"readers of output stand still", stallOutputs},
}

// runVersions changes the configuration while sessions send requests, alone at first and
// then beside SIGHUPs, planned stops and the loss of nodes' output. It ends each round by
// killing all nodes after a version.
func (d *deployment) runVersions(ctx context.Context, report *Report) error {
	return d.superviseSessions(ctx, report, func(b *balancer, c *cutChecker) error {
		for range versionRounds {
			if err := d.runRound(ctx, b, c, report); err != nil {
				return err
			}
		}
		return nil
	})
}

// superviseSessions starts nodes again whenever they end, and checks what sessions see while a
// function runs.
func (d *deployment) superviseSessions(ctx context.Context, report *Report, run func(*balancer, *cutChecker) error) error {
	c := &cutChecker{deployment: d}
	sessionGroup, supervisors := kernel.NewGroup(ctx), kernel.NewGroup(ctx)
	defer sessionGroup.Stop()
	defer supervisors.Stop()
	b := newBalancer(d.nodes)
	b.start(sessionGroup)
	for i := range d.config.sessions() {
		s := newSession(d, b, c, i)
		sessionGroup.Go(s.name, s.run)
	}
	for _, n := range d.nodes {
		supervisors.Go("supervisor of "+n.settings.Node, func(ctx context.Context) error { return d.supervise(ctx, n) })
	}
	if err := run(b, c); err != nil {
		return err
	}
	sessionGroup.Stop()
	if err := sessionGroup.Wait(); err != nil {
		return err
	}
	d.awaitReady(ctx, b)
	report.Violations = append(report.Violations, d.checkWithdrawnKey(ctx)...)
	supervisors.Stop()
	if err := supervisors.Wait(); err != nil {
		return err
	}
	c.finish(report)
	report.note("%d versions of the configuration; %d processes ended by SIGHUP before their first instructions", len(d.versions), d.earlyHangUps)
	report.Violations = append(report.Violations, d.violations...)
	return nil
}

// runRound is a time of versions alone, one of versions beside all else, and a kill of all
// nodes, after which versions go on.
func (d *deployment) runRound(ctx context.Context, b *balancer, c *cutChecker, report *Report) error {
	length := min(d.config.Length/versionRounds, maxRoundTime)
	alone := length / aloneShare
	d.awaitReady(ctx, b)
	c.alone.begin(time.Now())
	if err := storm(ctx, d, alone); err != nil {
		return err
	}
	c.alone.end(time.Now())
	actions := kernel.NewGroup(ctx)
	for end := time.Now().Add(length - alone); time.Now().Before(end) && ctx.Err() == nil; {
		action := versionActions[d.randomInt(len(versionActions))]
		actions.Go(action.name, func(ctx context.Context) error { return action.run(ctx, d) })
		kernel.Sleep(ctx, d.randomTime(minActionInterval, maxActionInterval))
	}
	if err := d.killAllAfterVersion(ctx, c, report); err != nil {
		return err
	}
	return actions.Wait()
}

func stormForAWhile(ctx context.Context, d *deployment) error {
	return storm(ctx, d, d.randomTime(minStormTime, maxStormTime))
}

// killAllAfterVersion kills all nodes soon after a version, and waits until they serve again
// while versions go on.
func (d *deployment) killAllAfterVersion(ctx context.Context, c *cutChecker, report *Report) error {
	for _, n := range d.nodes {
		d.setRestartDelay(n, d.randomTime(minRestartDelay, maxRestartDelay))
	}
	if err := d.putVersion(); err != nil {
		return err
	}
	kernel.Sleep(ctx, d.randomTime(0, maxAfterAck))
	killedAt := time.Now()
	d.recordFault("all nodes get SIGKILL")
	for _, n := range d.nodes {
		d.kill(d.lifetimeOf(n), killedAt)
	}
	return d.awaitRecovery(ctx, c, report, killedAt)
}

// awaitRecovery waits until the nodes serve again after a kill of all, at most for as long as
// they may take.
func (d *deployment) awaitRecovery(ctx context.Context, c *cutChecker, report *Report, killedAt time.Time) error {
	firstStart, lastStart := d.awaitStarts(ctx, killedAt)
	storms := kernel.NewGroup(ctx)
	storms.Go("versions", func(ctx context.Context) error { return storm(ctx, d, servedBound) })
	for ctx.Err() == nil {
		now := time.Now()
		_, served := c.firstTries.servedFrom(lastStart, now)
		if served || now.Sub(lastStart) > servedBound+2*servedWindow {
			c.firstTries.checkRecovery(report, killedAt, firstStart, lastStart, now)
			break
		}
		kernel.Sleep(ctx, recoveryPoll)
	}
	for _, n := range d.nodes {
		d.setRestartDelay(n, 0)
	}
	storms.Stop()
	return storms.Wait()
}

// awaitStarts waits until all nodes have started again after a time, and returns the times
// of the first and the last start.
func (d *deployment) awaitStarts(ctx context.Context, after time.Time) (first, last time.Time) {
	for _, n := range d.nodes {
		started := d.lifetimeOf(n).startedAt
		for ; !started.After(after) && ctx.Err() == nil; started = d.lifetimeOf(n).startedAt {
			kernel.Sleep(ctx, recoveryPoll/10)
		}
		if first.IsZero() || started.Before(first) {
			first = started
		}
		if started.After(last) {
			last = started
		}
	}
	return first, last
}

// awaitReady waits until all nodes are ready, at most for as long as they may take.
func (d *deployment) awaitReady(ctx context.Context, b *balancer) {
	end := time.Now().Add(servedBound)
	for _, n := range d.nodes {
		for !b.isReady(ctx, n) && time.Now().Before(end) {
			kernel.Sleep(ctx, recoveryPoll)
		}
	}
}

func (d *deployment) setRestartDelay(n *nodeProcess, delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n.restartDelay = delay
}

// stopSome stops some nodes, and stopAll all of them, soon after a version.
func stopSome(ctx context.Context, d *deployment) error {
	return d.stopAfterVersion(ctx, 1+d.randomInt(max(1, len(d.nodes)/2)))
}

func stopAll(ctx context.Context, d *deployment) error {
	return d.stopAfterVersion(ctx, len(d.nodes))
}

func (d *deployment) stopAfterVersion(ctx context.Context, count int) error {
	if err := d.putVersion(); err != nil {
		return err
	}
	kernel.Sleep(ctx, d.randomTime(0, maxAfterAck))
	first := d.randomInt(len(d.nodes))
	g := kernel.NewGroup(ctx)
	for i := range count {
		n := d.nodes[(first+i)%len(d.nodes)]
		g.Go("stop "+n.settings.Node, func(ctx context.Context) error {
			d.stopSupervised(ctx, n)
			return nil
		})
	}
	return g.Wait()
}

// stopSupervised stops a node as the platform does, half of the time with SIGHUPs until its
// end. A node that doesn't exit within its grace period is killed, which is a violation.
func (d *deployment) stopSupervised(ctx context.Context, n *nodeProcess) {
	l := d.lifetimeOf(n)
	if !d.terminate(n, l, time.Now()) {
		return
	}
	d.recordFault("%s (pid %d) gets SIGTERM", n.settings.Node, l.process.PID())
	g := kernel.NewGroup(ctx)
	if d.randomInt(2) == 0 {
		g.Go("SIGHUP", func(ctx context.Context) error {
			d.hangUpUntilExit(ctx, n, l)
			return nil
		})
	}
	select {
	case <-ctx.Done():
	case <-l.process.Exited():
	case <-time.After(platformtest.Grace):
		if d.kill(l, time.Now()) {
			d.addViolation("%s (pid %d) did not exit within its grace period and was killed", n.settings.Node, l.process.PID())
		}
	}
	_ = g.Wait() // it returns no error
}

// closeOutputs closes the pipes from which the output of some nodes is read.
func closeOutputs(_ context.Context, d *deployment) error {
	d.loseOutputs("the pipe from which the output of %s (pid %d) is read is closed", (*process.Process).CloseOutput)
	return nil
}

// stallOutputs lets the readers of the output of some nodes stand still until the nodes end.
func stallOutputs(_ context.Context, d *deployment) error {
	d.loseOutputs("the reader of the output of %s (pid %d) stands still", (*process.Process).StallOutput)
	return nil
}

func (d *deployment) loseOutputs(message string, lose func(*process.Process)) {
	for range 1 + d.randomInt(max(1, len(d.nodes)/lossShare)) {
		n := d.nodes[d.randomInt(len(d.nodes))]
		l := d.lifetimeOf(n)
		d.recordFault(message, n.settings.Node, l.process.PID())
		lose(l.process)
	}
}
