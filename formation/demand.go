package formation

import (
	"time"

	"redwinghall/fleet"
)

const (
	// demandWindow is over how long the demand for models is smoothed: longer than
	// answers take, shorter than a load.
	demandWindow = 5 * time.Second
	// minShareFraction is the part of its configured share that a model keeps whatever
	// is asked for. What isn't served isn't seen, so demand alone would let a
	// model die out.
	minShareFraction = 0.5
)

// demand follows how many requests the groups of each model of a zone have.
type demand struct {
	requests map[string]float64
	since    time.Time // when the first request came
	at       time.Time
}

// update takes in what the groups have now. Until demandTime is over it is the mean of
// what came since the first request.
//
// Guard: smoothed from the first reading, in which the requests are only beginning, the
// demand would count as a part of itself when it is first used, and a group that is needed
// would be given away.
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

// updateDemand returns the smoothed demand of a zone, nil while it isn't known.
func (m *Manager) updateDemand(now time.Time, z *Zone, zone string) map[string]float64 {
	if !m.TrafficStarted() {
		return nil
	}
	requests := map[string]float64{}
	for _, model := range z.Engine.Models {
		requests[model.Name] = 0
	}
	for _, w := range z.Workers {
		if w.Endpoint.Serves() {
			requests[w.Endpoint.Model()] += float64(m.Running(now, w.Endpoint.ID))
		}
	}
	d, ok := m.demands[zone]
	if !ok {
		d = &demand{}
		m.demands[zone] = d
	}
	d.update(now, requests)
	if now.Sub(d.since) < demandWindow {
		return nil // the first few requests say nothing of the day
	}
	return d.requests
}

// shares returns each model's part of the VMs: what its requests need, as far as
// that is known, and its configured share else.
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

// vmsNeeded is how many VMs the requests for a model fill.
func (z *Zone) vmsNeeded(m fleet.Model) float64 {
	return z.Demand[m.Name] / float64(max(1, z.Engine.Slots)) * float64(m.Size)
}
