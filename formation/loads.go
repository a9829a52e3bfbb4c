package formation

import (
	"time"

	"redwinghall/fleet"
)

// loadBudget limits the loads from the weight store that the lease holder of one zone
// starts.
//
// Operators limit the number of loads that begin in a time window across all zones, but
// the lease holders of the zones don't coordinate. Each gets an equal part of that
// limit.
type loadBudget struct {
	rate, burst float64
	tokens      float64
	at          time.Time
}

// loadsAllowance is how many loads the weight store permits beyond its rate. Only the
// part loadsMargin of the total is used, because this node doesn't know when the windows
// of the weight store begin.
const (
	loadsAllowance = 3
	loadsMargin    = 0.9
	minLoadRate    = 0.2 // loads per second that a zone gets even if its part is too small for a group
)

func newLoadBudget(bounds fleet.Bounds, engine *fleet.Engine, zones int) *loadBudget {
	largest := 1
	for _, m := range engine.Models {
		largest = max(largest, m.Size)
	}
	window := max(bounds.LoadsWindow.Seconds(), 1)
	part := loadsMargin * (engine.LoadsPerSecond*window*bounds.LoadsOvershoot + loadsAllowance) / float64(max(1, zones))
	burst := min(float64(largest), max(1, part/2))
	return &loadBudget{rate: max(minLoadRate, (part-burst)/window), burst: burst}
}

func (m *Manager) loadBudgetFor(zone string, engine *fleet.Engine) *loadBudget {
	b, ok := m.loadBudgets[zone]
	if !ok {
		// The budget starts empty: the previous holder may just have started loads.
		b = newLoadBudget(m.Settings().Bounds, engine, len(m.Settings().Zones))
		m.loadBudgets[zone] = b
	}
	return b
}

// available returns how many loads may start now.
func (b *loadBudget) available(now time.Time) int {
	if !b.at.IsZero() {
		b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.at).Seconds())
	}
	b.at = now
	return int(b.tokens)
}

func (b *loadBudget) spend() { b.tokens-- }
