package formation

import (
	"time"

	"redwinghall/fleet"
)

const (
	// demandWindow is the time over which the demand for models is smoothed: longer
	// than a response takes, shorter than a load.
	demandWindow = 5 * time.Second
	// minShareFraction is the fraction of its configured share that a model keeps
	// regardless of demand. Where nobody tells of refused requests, they don't show up as
	// demand, so without this floor a model could lose all its groups.
	minShareFraction = 0.5
)

// demand tracks the smoothed number of requests in the groups of each model of a zone, and of those that were refused.
type demand struct {
	requests map[string]float64
	since    time.Time // of the first reading, soon after the first request
	at       time.Time
}

// update adds a reading. Until demandWindow has passed, the demand is the mean of the
// readings since the first request.
//
// The first reading is taken when requests are only starting. Smoothing from it over
// the full window would underestimate the demand when it is first used, and a group
// that is needed would be converted.
func (d *demand) update(now time.Time, requests map[string]float64) {
	if d.requests == nil {
		d.requests, d.since, d.at = requests, now, now
		return
	}
	if !now.After(d.at) {
		return
	}
	weight := now.Sub(d.at).Seconds() / min(demandWindow, now.Sub(d.since)).Seconds()
	d.at = now
	for model := range requests {
		d.requests[model] += min(1, weight) * (requests[model] - d.requests[model])
	}
}

// updateDemand adds a reading to the smoothed demand of a zone and returns it, or nil
// before the first request and for demandWindow after the first reading.
func (m *Manager) updateDemand(now time.Time, z *Zone, zone, service string) map[string]float64 {
	if !m.TrafficStarted() {
		return nil
	}
	requests := map[string]float64{}
	for _, model := range z.Engine.Models {
		requests[model.Name] = 0
	}
	groups := map[string]int{}
	for _, w := range z.Workers {
		if w.Endpoint.Serves() {
			requests[w.Endpoint.Model()] += float64(m.Running(now, w.Endpoint.ID))
			groups[w.Endpoint.Model()]++
		}
	}
	m.addRefused(now, z, zone, service, requests, groups)
	d, ok := m.demands[zone]
	if !ok {
		d = &demand{}
		m.demands[zone] = d
	}
	d.update(now, requests)
	if now.Sub(d.since) < demandWindow {
		return nil // the first few requests are not representative
	}
	return d.requests
}

// shares returns each model's share of the VMs: in proportion to the VMs its requests
// need if the demand is known, else its configured share.
func (z *Zone) shares() map[string]float64 {
	shares, needed := map[string]float64{}, 0.0
	for _, m := range z.Engine.Models {
		shares[m.Name] = m.Share
		needed += z.vmsNeeded(m)
	}
	if needed < 1 {
		return shares
	}
	for _, m := range z.Engine.Models {
		if m.Share > 0 {
			shares[m.Name] = max(z.vmsNeeded(m)/needed, minShareFraction*m.Share)
		}
	}
	return shares
}

// vmsNeeded returns how many VMs the requests for a model fill.
func (z *Zone) vmsNeeded(m fleet.Model) float64 {
	return z.Demand[m.Name] / float64(max(1, z.Engine.Slots)) * float64(m.Size)
}
