package soak

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"redwinghall/kernel"
	"redwinghall/platform/platformtest"
)

// Phases and bounds of a run.
const (
	startupTimeout = 25 * time.Second // until each node must have served a stream
	recoveryTime   = 8 * time.Second  // after the last fault, until the service must have recovered
	sampleTime     = 3 * time.Second  // after recoveryTime; minServedRatio applies to its requests
	// minServedRatio is the ratio of requests that must be served during planned stops,
	// and after the service has recovered from faults.
	minServedRatio = 0.9
	// keyRevocationTime is how long a withdrawn key may still be accepted.
	keyRevocationTime = 2500 * time.Millisecond
)

// Report is the result of a run.
type Report struct {
	Seed     uint64
	Requests int
	Served   int
	// Refused counts attempts whose response states that the request was not
	// executed, Unanswered those without a response.
	Refused, Unanswered int
	Violations          []string
	Faults              []string
	// Notes are figures of the run, such as recovery times.
	Notes []string
}

// Run runs a plan with one seed. It returns an error only if the run itself fails;
// violations by the nodes are in the report.
func Run(ctx context.Context, config Config) (Report, error) {
	report := Report{Seed: config.Seed}
	d, err := newDeployment(config)
	if err != nil {
		return report, err
	}
	defer d.stop()
	if !d.waitServing(ctx) {
		report.Violations = append(report.Violations, "not every node served a stream before the first fault")
		return report, nil
	}
	err = d.plan()(ctx, &report)
	report.Violations = append(report.Violations, d.checkPanics()...)
	for _, f := range d.faults {
		report.Faults = append(report.Faults, f.String())
	}
	return report, err
}

// plan returns the function that runs the configured plan.
func (d *deployment) plan() func(context.Context, *Report) error {
	switch d.config.Plan {
	case PlanStops:
		return d.watchingExits(d.runStops)
	case PlanVersions:
		return d.runVersions // each node has a supervisor
	case PlanEnds:
		return d.runEnds
	case PlanSilences:
		return d.runSilences
	}
	return d.watchingExits(d.runFaults)
}

// watchingExits runs a plan in which a process that nobody ended and that ends is a
// violation.
func (d *deployment) watchingExits(run func(context.Context, *Report) error) func(context.Context, *Report) error {
	return func(ctx context.Context, report *Report) error {
		g := kernel.NewGroup(ctx)
		g.Every("exits", exitInterval, func(context.Context, time.Time) { d.reportExits() })
		err := run(ctx, report)
		g.Stop()
		err = errors.Join(err, g.Wait())
		d.reportExits()
		report.Violations = append(report.Violations, d.exits...)
		return err
	}
}

// runFaults injects faults while callers send requests, and checks that the service
// recovers after the last fault.
func (d *deployment) runFaults(ctx context.Context, report *Report) error {
	r := &results{}
	callersCtx, stop := context.WithCancel(ctx)
	defer stop()
	callersDone := make(chan error, 1)
	d.group.Go("callers", func(context.Context) error {
		callersDone <- d.runCallers(callersCtx, r, fmt.Sprintf("s%d", d.config.Seed))
		return nil
	})
	if err := d.injectFaults(ctx); err != nil {
		return err
	}
	time.Sleep(recoveryTime)
	attemptsBefore, servedBefore := r.counts()
	time.Sleep(sampleTime)
	attemptsAfter, servedAfter := r.counts()
	stop()
	if err := <-callersDone; err != nil {
		return err
	}
	report.Violations = append(append(r.finish(d.runs), d.violations...), d.checkPartitions(r)...)
	report.Violations = append(report.Violations, d.checkPauses(r)...)
	r.fillReport(report)
	if attempts := attemptsAfter - attemptsBefore; attempts == 0 || float64(servedAfter-servedBefore) < minServedRatio*float64(attempts) {
		report.Violations = append(report.Violations, fmt.Sprintf("after the faults %d of %d requests were served", servedAfter-servedBefore, attempts))
	}
	report.Violations = append(report.Violations, d.checkWithdrawnKey(ctx)...)
	return nil
}

// waitServing waits until each node has served a stream.
func (d *deployment) waitServing(ctx context.Context) bool {
	end := time.Now().Add(startupTimeout)
	for i := range d.nodes {
		c := &caller{deployment: d, name: "warm", node: i, client: &http.Client{Timeout: clientTimeout}}
		for {
			a := attempt{id: fmt.Sprintf("warm-%d-%d", i, time.Now().UnixNano()), kind: "stream"}
			c.send(ctx, &a, stableKey)
			if a.status == http.StatusOK && !a.incomplete {
				break
			}
			if time.Now().After(end) || ctx.Err() != nil {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

// checkWithdrawnKey withdraws a key and checks that every node rejects it.
func (d *deployment) checkWithdrawnKey(ctx context.Context) []string {
	if err := d.store.PutConfiguration(platformtest.Configuration(d.configVersion+1, stableKey)); err != nil {
		return []string{err.Error()}
	}
	time.Sleep(keyRevocationTime)
	var violations []string
	for i := range d.nodes {
		c := &caller{deployment: d, name: "withdrawn", node: i, client: &http.Client{Timeout: clientTimeout}}
		a := attempt{id: fmt.Sprintf("withdrawn-%d", i), kind: "look"}
		c.send(ctx, &a, withdrawnKey)
		if a.status != http.StatusUnauthorized {
			violations = append(violations, fmt.Sprintf("%s responded to a request with a withdrawn key with status %d", d.nodeName(i), a.status))
		}
	}
	return violations
}
