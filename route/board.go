package route

import (
	"sync"
	"sync/atomic"
	"time"

	"redwinghall/admit"
	"redwinghall/peer"
	"redwinghall/ramp"
)

// Selector keeps the present view of one router.
type Selector struct {
	zone   string
	self   string
	bound  time.Duration
	ramp   ramp.Ramp
	picker Picker

	view atomic.Pointer[View]

	mu     sync.Mutex
	slots  map[string]*Backend
	grants map[string]time.Time // until when this router may feed cold groups
	gates  map[string]*admit.Gate[*Backend]
}

// SelectorConfig says whose board it is and how it decides.
type SelectorConfig struct {
	AvailabilityZone string
	Router           string
	AliveBound       time.Duration
	Ramp             ramp.Ramp
	Picker           Picker
}

// NewSelector returns a board with an empty view.
func NewSelector(c SelectorConfig) *Selector {
	b := &Selector{
		zone: c.AvailabilityZone, self: c.Router, bound: c.AliveBound, ramp: c.Ramp, picker: c.Picker,
		slots: map[string]*Backend{}, grants: map[string]time.Time{}, gates: map[string]*admit.Gate[*Backend]{},
	}
	b.view.Store(&View{})
	return b
}

// View returns the present view.
func (b *Selector) View() *View { return b.view.Load() }

// gate returns the model's gate, which outlives views because requests wait
// in it.
func (b *Selector) gate(model string) *admit.Gate[*Backend] {
	g, ok := b.gates[model]
	if !ok {
		g = admit.NewGate(func() (*Backend, bool) {
			s := b.pick(model, Query{Now: time.Now(), Bound: b.bound})
			return s, s != nil
		})
		b.gates[model] = g
	}
	return g
}

func (b *Selector) pick(model string, q Query) *Backend {
	m, ok := b.View().Models[model]
	if !ok {
		return nil
	}
	return b.picker.Pick(q, m.Backends)
}

// PickOther takes a unit of room in another slot than the one that failed.
func (b *Selector) PickOther(model string, now time.Time, failed *Backend) *Backend {
	return b.pick(model, Query{Now: now, Bound: b.bound, Exclude: failed})
}

// PickPrefix takes a unit of room, with a hint where the prompt's beginning
// was likely served before.
func (b *Selector) PickPrefix(model string, now time.Time, prefix uint64) *Backend {
	return b.pick(model, Query{Now: now, Bound: b.bound, Prefix: prefix})
}

// CountUsable reports how many groups of the model may take work from this router
// at now.
func (b *Selector) CountUsable(model string, now time.Time) int {
	return b.countSlots(model, func(s *Backend) bool { return s.Limit() > 0 && s.Usable(now, b.bound) })
}

// CountHealthy reports how many groups of the model are whole at now, also those that
// this router may not send to.
func (b *Selector) CountHealthy(model string, now time.Time) int {
	return b.countSlots(model, func(s *Backend) bool { return s.Usable(now, b.bound) })
}

func (b *Selector) countSlots(model string, counts func(*Backend) bool) int {
	m, ok := b.View().Models[model]
	if !ok {
		return 0
	}
	n := 0
	for _, s := range m.Backends {
		if counts(s) {
			n++
		}
	}
	return n
}

// Refresh hands the newest health to the slots, sets their limits, and lets
// waiting requests through where room appeared. routers are the zone's live
// routers.
func (b *Selector) Refresh(now time.Time, book *peer.HealthBook, routers []peer.Member) {
	ids := make([]string, len(routers))
	addresses := make(map[string]string, len(routers))
	for i, r := range routers {
		ids[i] = r.ID
		addresses[r.ID] = r.CallerAddress
	}
	for _, model := range b.View().Models {
		for _, s := range model.Backends {
			g := s.Group()
			h, ok := book.Get(g.ID)
			if !ok {
				continue
			}
			owner := Owner(g.ID, ids)
			until, granted := b.granted(g.ID, now)
			limit := b.ramp.Share(ramp.Input{
				Group: g, Completed: h.Completed, Routers: len(routers), Owner: granted,
			})
			if int(h.Completed) >= g.WarmAfter {
				until = time.Time{}
			}
			s.SetHealth(h)
			s.SetLimit(limit, until)
			if limit > 0 {
				owner = b.self
			}
			s.SetOwner(ownerAddress(owner, b.self, addresses))
		}
		model.Gate.Wake(now)
	}
}
