package soak

import (
	"context"
	"fmt"
	"time"

	"redwinghall/kernel"
	"redwinghall/platform/platformtest"
)

// What an endpoint may get that names a limit, over all nodes.
const (
	limitWindow    = 4 * time.Second
	limitOvershoot = 1.5
	limitSlack     = 5 // requests
	// limitContact is how long nodes that run undisturbed have to learn of a limit.
	limitContact = 3 * time.Second
	// limitLasts is longer than what is judged, so that some windows lie within.
	limitLasts   = limitContact + 2*limitWindow
	highestLimit = 4 // requests a second
)

// limitEndpoint lets an endpoint name a limit for a while, and checks what it gets.
func limitEndpoint(ctx context.Context, w *world, lasts time.Duration) error {
	e, perSecond := w.pickEndpoint(), float64(1+w.pick(highestLimit))
	w.note("%s names a limit of %g a second for %s", e.config.ID, perSecond, limitLasts+lasts)
	named := time.Now()
	e.endpoint.SetRateLimit(perSecond)
	kernel.Sleep(ctx, limitLasts+lasts)
	w.judgeLimit(e, perSecond, named)
	e.endpoint.ClearRateLimit()
	return nil
}

// judgeLimit counts from when all nodes run undisturbed: one that has just started or woken
// can't know yet.
func (w *world) judgeLimit(e *liveEndpoint, perSecond float64, named time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	from := named
	if w.disturbed.After(from) {
		from = w.disturbed
	}
	most := platformtest.MaxInWindow(e.endpoint.ArrivalTimes(), limitWindow, from.Add(limitContact))
	if allowed := limitOvershoot*perSecond*limitWindow.Seconds() + limitSlack; float64(most) > allowed {
		w.mistakes = append(w.mistakes, fmt.Sprintf("%s named a limit of %g a second and got %d requests in %s", e.config.ID, perSecond, most, limitWindow))
	}
}
