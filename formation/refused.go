package formation

import (
	"math"
	"time"

	"redwinghall"
	"redwinghall/fleet"
)

// maxRefusedShare bounds the demand that refused requests add to a model's, as a share of what its groups can have in
// progress: callers return, and are counted again.
const maxRefusedShare = 1.0

// Refused returns, by model of a service, how many more requests would be in progress if none were refused. An urgent
// request counts in full, and each step less urgent one half of the step before.
//
// A model that is short of groups shows only what they have in progress. Its refused requests would be taken for no
// demand, and its groups for as many as it needs.
func Refused(uses []redwinghall.AccountUse, service string, engine *fleet.Engine) map[string]float64 {
	refused := map[string]float64{}
	for _, use := range uses {
		if use.Service != service || use.Asked <= use.Given {
			continue
		}
		groups := (use.Asked - use.Given).Seconds() // kept busy all the time
		refused[use.Model] += groups * float64(engine.Slots) * math.Pow(2, -float64(max(0, use.Urgency)))
	}
	return refused
}

// addRefused adds to the requests in the groups of each model of a zone those that were refused.
func (m *Manager) addRefused(now time.Time, z *Zone, zone, service string, requests map[string]float64, groups map[string]int) {
	if m.Uses == nil {
		return
	}
	for model, more := range Refused(m.Uses(now, zone), service, z.Engine) {
		if _, known := requests[model]; known {
			requests[model] += min(more, maxRefusedShare*float64(max(1, groups[model])*z.Engine.Slots))
		}
	}
}
