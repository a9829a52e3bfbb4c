package soak

import (
	"context"
	"time"

	"redwinghall/kernel"
	"redwinghall/standin/link"
)

// cutBeforeCrash is how long an endpoint has been cut off when it crashes: answers are in progress then.
const cutBeforeCrash = 50 * time.Millisecond

// halfAnswerFaults are the faults of PlanHalves.
var halfAnswerFaults = []fault{
	{"endpoint crashes behind a cut", crashBehindCut},
	{"endpoint crashes behind a cut again", crashBehindCut},
	{"drop what endpoint is sent", endpointLink(link.Deaf, 0)},
	{"freeze node", freezeNode},
}

// unframeAll makes all endpoints send answers that end with their connections.
func (d *deployment) unframeAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.endpoints {
		e.endpoint.Unframe()
	}
}

// crashBehindCut cuts an endpoint off, so that nothing reaches it and what it sends arrives. It crashes in its answers and
// starts again behind the cut.
func crashBehindCut(ctx context.Context, d *deployment, duration time.Duration) error {
	e := d.pickEndpoint()
	d.recordFault("%s is cut off for %s, and crashes", e.config.ID, duration)
	d.disturbLink(e, link.Deaf, 0)
	defer d.restoreLink(e)
	kernel.Sleep(ctx, cutBeforeCrash)
	e.endpoint.Crash(duration / 2)
	kernel.Sleep(ctx, duration)
	return nil
}
