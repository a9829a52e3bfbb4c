package soak

import (
	"context"
	"fmt"
	"time"

	"redwinghall/kernel"
	"redwinghall/platform/platformtest"
	"redwinghall/standin/link"
)

// Times of PlanRemovals, in milliseconds.
const (
	minStoreCut     = 2500
	maxStoreCut     = 6500
	minRemovalDelay = 300
	maxRemovalDelay = 2000
)

// removeAfterCuts cuts a zone's nodes off from the store, again and again, and removes the entry of an endpoint a moment
// after the end of each cut. The endpoint doesn't say that it leaves, and serves on for a while.
func (d *deployment) removeAfterCuts(ctx context.Context) error {
	for end := time.Now().Add(d.config.Length); time.Now().Before(end) && ctx.Err() == nil; {
		zone, cut, delay := zones[d.randomInt(len(zones))], d.randomTime(minStoreCut, maxStoreCut), d.randomTime(minRemovalDelay, maxRemovalDelay)
		e := d.pickPlainEndpoint()
		d.recordFault("nodes of %s are cut off from the store for %s, %s is removed %s later", zone, cut, e.config.ID, delay)
		d.setStoreLinks(zone, link.Cut)
		kernel.Sleep(ctx, cut)
		d.setStoreLinks(zone, link.Pass)
		regained := time.Now()
		kernel.Sleep(ctx, delay)
		e.endpoint.Unregister()
		bound := time.Now().Add(platformtest.DrainTime)
		if inTouch := regained.Add(contactTime); bound.Before(inTouch) {
			bound = inTouch
		}
		kernel.Sleep(ctx, minLeavingTime)
		d.checkRemoved(e, bound)
		if err := d.replace(e); err != nil {
			return err
		}
	}
	return nil
}

// pickPlainEndpoint returns a random endpoint without an engine.
func (d *deployment) pickPlainEndpoint() *linkedEndpoint {
	for {
		if e := d.pickEndpoint(); !e.config.Engine {
			return e
		}
	}
}

func (d *deployment) setStoreLinks(zone string, mode link.Mode) {
	for _, n := range d.nodes {
		if n.settings.Zone == zone {
			n.storeLink.Set(mode, 0)
		}
	}
}

// checkRemoved checks that no request reached an endpoint after the bound for its removal.
func (d *deployment) checkRemoved(e *linkedEndpoint, bound time.Time) {
	late := 0
	var last time.Time
	for _, at := range e.endpoint.ArrivalTimes() {
		if at.After(bound) {
			late, last = late+1, at
		}
	}
	if late == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.violations = append(d.violations, fmt.Sprintf("%d requests reached %s after its entry was removed, the last %s after the bound",
		late, e.config.ID, last.Sub(bound).Round(time.Millisecond)))
}
