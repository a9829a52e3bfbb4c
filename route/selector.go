package route

import (
	"sync"
	"sync/atomic"
	"time"

	"redwinghall/admit"
	"redwinghall/peer"
	"redwinghall/ramp"
)

// Selector chooses the groups that receive a router's requests, from the
// router's current view.
type Selector struct {
	zone       string
	self       string
	aliveBound time.Duration
	ramp       ramp.Ramp
	picker     Picker

	view atomic.Pointer[View]

	mu     sync.Mutex
	groups map[string]*TrackedGroup
	grants map[string]time.Time // by group: end of this router's grant to send to it while it is cold
	gates  map[string]*admit.Gate[*TrackedGroup]
}

// SelectorConfig holds the identity of a router and how it chooses groups.
type SelectorConfig struct {
	AvailabilityZone string
	Router           string
	AliveBound       time.Duration
	Ramp             ramp.Ramp
	Picker           Picker
}

// NewSelector returns a selector with an empty view.
func NewSelector(c SelectorConfig) *Selector {
	s := &Selector{
		zone: c.AvailabilityZone, self: c.Router, aliveBound: c.AliveBound, ramp: c.Ramp, picker: c.Picker,
		groups: map[string]*TrackedGroup{}, grants: map[string]time.Time{}, gates: map[string]*admit.Gate[*TrackedGroup]{},
	}
	s.view.Store(&View{})
	return s
}

// View returns the current view.
func (s *Selector) View() *View { return s.view.Load() }

// gate returns the model's admission gate. A gate outlives views because
// requests wait in its queues.
func (s *Selector) gate(model string) *admit.Gate[*TrackedGroup] {
	g, ok := s.gates[model]
	if !ok {
		g = admit.NewGate(func() (*TrackedGroup, bool) {
			group := s.pick(model, Query{Now: time.Now(), Bound: s.aliveBound})
			return group, group != nil
		})
		s.gates[model] = g
	}
	return g
}

func (s *Selector) pick(model string, q Query) *TrackedGroup {
	m, ok := s.View().Models[model]
	if !ok {
		return nil
	}
	return s.picker.Pick(q, m.Groups)
}

// PickOther acquires a slot on another group than the one that failed.
func (s *Selector) PickOther(model string, now time.Time, failed *TrackedGroup) *TrackedGroup {
	return s.pick(model, Query{Now: now, Bound: s.aliveBound, Exclude: failed})
}

// PickPrefix acquires a slot, preferably on the group that probably served
// the same prompt prefix before. prefix is a hash of it.
func (s *Selector) PickPrefix(model string, now time.Time, prefix uint64) *TrackedGroup {
	return s.pick(model, Query{Now: now, Bound: s.aliveBound, Prefix: prefix})
}

// CountUsable returns the number of groups of the model that may receive
// requests from this router at now.
func (s *Selector) CountUsable(model string, now time.Time) int {
	return s.countGroups(model, func(group *TrackedGroup) bool { return group.Limit() > 0 && group.Usable(now, s.aliveBound) })
}

// CountHealthy returns the number of groups of the model that can take
// requests at now, including those that this router may not send to.
func (s *Selector) CountHealthy(model string, now time.Time) int {
	return s.countGroups(model, func(group *TrackedGroup) bool { return group.Usable(now, s.aliveBound) })
}

func (s *Selector) countGroups(model string, counts func(*TrackedGroup) bool) int {
	m, ok := s.View().Models[model]
	if !ok {
		return 0
	}
	n := 0
	for _, group := range m.Groups {
		if counts(group) {
			n++
		}
	}
	return n
}

// Refresh updates the health and the limit of each group and wakes waiting
// requests when capacity has become available. routers are the live routers of
// the zone.
func (s *Selector) Refresh(now time.Time, health *peer.HealthCache, routers []peer.Member) {
	ids := make([]string, len(routers))
	addresses := make(map[string]string, len(routers))
	for i, r := range routers {
		ids[i] = r.ID
		addresses[r.ID] = r.CallerAddress
	}
	for _, model := range s.View().Models {
		for _, group := range model.Groups {
			g := group.Group()
			h, ok := health.Get(g.ID)
			if !ok {
				continue
			}
			owner := Owner(g.ID, ids)
			until, granted := s.activeGrant(g.ID, now)
			limit := s.ramp.Share(ramp.Input{
				Group: g, Completed: h.Completed, Routers: len(routers), Owner: granted,
			})
			if int(h.Completed) >= g.WarmAfter {
				until = time.Time{}
			}
			group.SetHealth(h)
			group.SetLimit(limit, until)
			if limit > 0 {
				owner = s.self
			}
			group.SetOwner(ownerAddress(owner, s.self, addresses))
		}
		model.Gate.Wake(now)
	}
}
