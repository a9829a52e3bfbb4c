package formation

import (
	"time"

	"redwinghall/fleet"
)

// loadBudget bounds the loads from the weight store that one zone's holder
// starts.
//
// Guard: operators bound the loads that begin in a window over all zones, and
// the zones' holders don't ask each other. Each gets an even part of it.
type loadBudget struct {
	rate, burst float64
	tokens      float64
	at          time.Time
}

// The weight store's own allowance beyond its rate, and the part of the whole
// that is used, as windows slide on another clock.
const (
	loadsAllowance = 3
	loadsMargin    = 0.9
	minLoadRate    = 0.2 // a second, where the parts are too small for a group
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
		// A new holder doesn't know what the last one started: it begins with nothing.
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
