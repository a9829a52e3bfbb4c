package soak

import (
	"context"
	"fmt"
	"time"

	"redwinghall/kernel"
	"redwinghall/platform/platformtest"
)

// Bounds on the requests that all nodes together may send to a rate-limited endpoint.
const (
	limitWindow    = 4 * time.Second
	limitOvershoot = 1.5
	limitSlack     = 5 // requests
	// limitPropagation is the time within which all nodes must apply a limit, counted from
	// when no fault affects any of them.
	limitPropagation = 3 * time.Second
	// minLimitDuration is long enough that complete windows lie within the time in which
	// the limit is checked.
	minLimitDuration = limitPropagation + 2*limitWindow
	maxLimit         = 4 // requests a second
)

// limitEndpoint makes an endpoint send a rate limit for a while and checks the rate of
// the requests that it receives. One that sends a limit already keeps it: a second one would end with the first.
func limitEndpoint(ctx context.Context, d *deployment, duration time.Duration) error {
	e, perSecond := d.pickEndpoint(), float64(1+d.randomInt(maxLimit))
	if !d.beginLimit(e) {
		return nil
	}
	defer d.endLimit(e)
	d.recordFault("%s sends a limit of %g requests a second for %s", e.config.ID, perSecond, minLimitDuration+duration)
	limitSetAt := time.Now()
	e.endpoint.SetRateLimit(perSecond)
	kernel.Sleep(ctx, minLimitDuration+duration)
	d.checkLimit(e, perSecond, limitSetAt)
	return nil
}

func (d *deployment) beginLimit(e *linkedEndpoint) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e.limited {
		return false
	}
	e.limited = true
	return true
}

func (d *deployment) endLimit(e *linkedEndpoint) {
	e.endpoint.ClearRateLimit()
	d.mu.Lock()
	defer d.mu.Unlock()
	e.limited = false
}

// checkLimit checks the rate of requests from limitPropagation after the limit was set and
// after the last fault of a node: a node that has just started or resumed may not have
// received the limit yet.
func (d *deployment) checkLimit(e *linkedEndpoint, perSecond float64, limitSetAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	from := limitSetAt
	if d.lastNodeFault.After(from) {
		from = d.lastNodeFault
	}
	most := platformtest.MaxInWindow(e.endpoint.ArrivalTimes(), limitWindow, from.Add(limitPropagation))
	if allowed := limitOvershoot*perSecond*limitWindow.Seconds() + limitSlack; float64(most) > allowed {
		d.violations = append(d.violations, fmt.Sprintf("%s sent a limit of %g requests a second and received %d requests in %s", e.config.ID, perSecond, most, limitWindow))
	}
}
