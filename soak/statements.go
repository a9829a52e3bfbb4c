package soak

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"redwinghall/kernel"
	"redwinghall/platform/platformtest"
)

const (
	maxRetryAfter = 5000 // milliseconds
	// minLeavingTime is long enough that requests after the drain time would show.
	minLeavingTime = 3 * platformtest.DrainTime
)

// rejectRequests makes an endpoint reject requests with a Retry-After for a while, and
// checks that nodes keep it.
func rejectRequests(ctx context.Context, d *deployment, duration time.Duration) error {
	e, wait := d.pickEndpoint(), time.Duration(d.randomInt(maxRetryAfter))*time.Millisecond
	d.recordFault("%s rejects requests for %s, with a Retry-After of %s", e.config.ID, duration, wait)
	e.endpoint.Reject(strconv.FormatFloat(wait.Seconds(), 'f', -1, 64), wait)
	kernel.Sleep(ctx, duration)
	e.endpoint.Accept()
	kernel.Sleep(ctx, wait)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, one := range e.endpoint.Rejections() {
		if one.Arrived > platformtest.RetryAfterAllowance && !d.disturbed(e, one.Node, one.At, one.Until) {
			d.violations = append(d.violations, fmt.Sprintf("%s sent %d requests to %s within %s after its rejection at %s",
				one.Node, one.Arrived, e.config.ID, one.Until.Sub(one.At), one.At.Format("15:04:05.000")))
		}
	}
	return nil
}

// leaveEndpoint makes an endpoint say that it leaves, half of the time also in its entry,
// and checks that nodes that were told send it nothing. Another endpoint then takes its
// place.
func leaveEndpoint(ctx context.Context, d *deployment, duration time.Duration) error {
	e, inEntry := d.pickEndpoint(), d.randomInt(2) == 0
	d.recordFault("%s says that it leaves (in its entry: %t), and ends after %s", e.config.ID, inEntry, minLeavingTime+duration)
	e.endpoint.AnnounceLeaving()
	if inEntry {
		if err := e.endpoint.Drain(); err != nil {
			return err
		}
	}
	kernel.Sleep(ctx, minLeavingTime+duration)
	d.checkLeaving(e)
	return d.replace(e)
}

func (d *deployment) checkLeaving(e *linkedEndpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, late := e.endpoint.AfterLeaving()
	for _, one := range late {
		if !d.disturbed(e, one.Node, one.ToldAt, one.At) {
			d.violations = append(d.violations, fmt.Sprintf("%s sent a request to %s %s after it was told that it leaves",
				one.Node, e.config.ID, one.At.Sub(one.ToldAt)))
		}
	}
}

// disturbed reports whether a fault of a node or of an endpoint's link overlapped a time:
// the node may have restarted, or may not have received the endpoint's response. The
// lock is held.
func (d *deployment) disturbed(e *linkedEndpoint, node string, from, to time.Time) bool {
	for _, n := range d.nodes {
		if n.settings.Node == node && n.faults.overlap(from, to) {
			return true
		}
	}
	return e.faults.overlap(from, to)
}

// intervals are the times in which one part of the deployment was disturbed.
type intervals []interval

type interval struct {
	from, to time.Time // to is zero if the interval hasn't ended
}

func (i *intervals) begin(now time.Time) { *i = append(*i, interval{from: now}) }

// end ends the interval that began last and hasn't ended.
func (i *intervals) end(now time.Time) {
	for at := len(*i) - 1; at >= 0; at-- {
		if (*i)[at].to.IsZero() {
			(*i)[at].to = now
			return
		}
	}
}

func (i intervals) overlap(from, to time.Time) bool {
	for _, one := range i {
		if one.from.Before(to) && (one.to.IsZero() || one.to.After(from)) {
			return true
		}
	}
	return false
}
