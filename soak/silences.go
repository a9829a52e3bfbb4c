package soak

import (
	"context"
	"time"

	"redwinghall/kernel"
)

// Times of PlanSilences, in milliseconds.
const (
	minEngineSilence   = 1200
	maxEngineSilence   = 1900
	minSilenceInterval = 300
	maxSilenceInterval = 1500
	// stopShare is in how many of the turns a node is stopped too.
	stopShare = 4
	// rejectedFor is the Retry-After of the other engines' rejections, in seconds.
	rejectedFor = "0.1"
)

// runSilences lets endpoints fall silent for a moment while all others reject what comes, beside versions and
// planned stops. Streams in progress can only go on where they are.
func (d *deployment) runSilences(ctx context.Context, report *Report) error {
	return d.superviseSessions(ctx, report, func(b *balancer, _ *cutChecker) error {
		d.awaitReady(ctx, b)
		g := kernel.NewGroup(ctx)
		g.Go("versions", func(ctx context.Context) error { return storm(ctx, d, d.config.Length) })
		for end := time.Now().Add(d.config.Length); time.Now().Before(end) && ctx.Err() == nil; {
			silence, reject := d.randomTime(minEngineSilence, maxEngineSilence), d.randomInt(2) == 0
			g.Go("silence", func(ctx context.Context) error {
				d.silenceEngine(ctx, silence, reject)
				return nil
			})
			if d.randomInt(stopShare) == 0 {
				g.Go("stop", func(ctx context.Context) error { return d.stopAfterVersion(ctx, 1) })
			}
			kernel.Sleep(ctx, d.randomTime(minSilenceInterval, maxSilenceInterval)+silence)
		}
		return g.Wait()
	})
}

// silenceEngine lets one engine send nothing for a while. If reject is set, the others take no requests meanwhile.
func (d *deployment) silenceEngine(ctx context.Context, silence time.Duration, reject bool) {
	engines := d.engines()
	silent := engines[d.randomInt(len(engines))]
	d.recordFault("%s is silent for %s (the others reject: %t)", silent.config.ID, silence, reject)
	for _, e := range engines {
		if reject && e != silent {
			e.endpoint.Reject(rejectedFor, 0)
			defer e.endpoint.Accept()
		}
	}
	silent.endpoint.Stall(true)
	defer silent.endpoint.Stall(false)
	kernel.Sleep(ctx, silence)
}

// engines returns the endpoints with an engine.
func (d *deployment) engines() (engines []*linkedEndpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.endpoints {
		if e.config.Engine {
			engines = append(engines, e)
		}
	}
	return engines
}
