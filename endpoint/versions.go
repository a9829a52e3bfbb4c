package endpoint

import (
	"context"
	"slices"
	"sort"
	"time"

	"redwinghall"
	"redwinghall/place"
)

// stepVersions starts to drain the groups that the manifest no longer specifies:
// those of models or versions that it does not name, and those in excess of the
// number of replicas.
func (m *Manager) stepVersions(ctx context.Context, now time.Time, _ redwinghall.VMs, manifest redwinghall.Manifest) error {
	wanted := map[string]redwinghall.Model{}
	for _, model := range manifest.Models {
		wanted[model.ID] = model
	}
	for id, groups := range m.byModel() {
		model, ok := wanted[id]
		for _, g := range surplus(model, ok, groups, m.config.AvailabilityZone, func(g redwinghall.Group) bool { return m.isHealthy(g, now) }) {
			if err := m.startLeaving(ctx, now, g); err != nil {
				return err
			}
		}
	}
	return nil
}

// byModel returns the groups that are not leaving, by model, in a fixed order.
func (m *Manager) byModel() map[string]redwinghall.Groups {
	out := map[string]redwinghall.Groups{}
	for _, g := range m.groups.Groups() {
		if !g.Leaving {
			out[g.Model] = append(out[g.Model], g)
		}
	}
	for _, groups := range out {
		sort.Slice(groups, func(i, j int) bool { return groups[i].ID < groups[j].ID })
	}
	return out
}

// surplus returns the groups of one model that may leave now. One group of an old
// version leaves for each new group that is healthy, so that the model is served
// throughout an update if there are enough VMs.
func surplus(model redwinghall.Model, wanted bool, groups redwinghall.Groups, zone string, healthy func(redwinghall.Group) bool) redwinghall.Groups {
	want := model.Replicas[zone]
	if !wanted || want == 0 {
		return groups
	}
	var present, old redwinghall.Groups
	ready := 0
	for _, g := range groups {
		if !matchesModel(g, model) {
			old = append(old, g)
			continue
		}
		present = append(present, g)
		if healthy(g) {
			ready++
		}
	}
	var out redwinghall.Groups
	if len(present) > want {
		out = append(out, present[want:]...)
	}
	mayLeave := max(0, ready+len(old)-want)
	return append(out, old[:min(mayLeave, len(old))]...)
}

// matchesModel reports whether a group serves what the manifest specifies.
func matchesModel(g redwinghall.Group, model redwinghall.Model) bool {
	return g.Version == model.Version && slices.Equal(g.Adapters, model.Adapters) &&
		len(g.Members) == model.VMsPerReplica &&
		g.MaxInFlight == model.MaxInFlight && g.ColdInFlight == model.ColdInFlight && g.WarmAfter == model.WarmAfter
}

// stepForm forms missing groups from free VMs, at most MaxLoading at once to limit
// the load on the weight store. If no VMs are free for a new version, one group of
// an old version is drained.
func (m *Manager) stepForm(ctx context.Context, now time.Time, vms redwinghall.VMs, manifest redwinghall.Manifest) error {
	room := m.config.MaxLoading - m.loading(now)
	if room <= 0 {
		return nil
	}
	demands := m.missingGroups(manifest, room)
	if len(demands) == 0 {
		return nil
	}
	placements := m.placer.Place(m.freeVMs(ctx, now, vms, ""), demands)
	for _, p := range placements[:min(room, len(placements))] {
		if err := m.putGroup(ctx, m.newGroup(p)); err != nil {
			return err
		}
	}
	if len(placements) == 0 {
		return m.makeRoom(ctx, now, manifest)
	}
	return nil
}

// loading counts the groups that are not healthy yet.
func (m *Manager) loading(now time.Time) int {
	n := 0
	for _, g := range m.groups.Groups() {
		if !g.Leaving && !m.isHealthy(g, now) {
			n++
		}
	}
	return n
}

func (m *Manager) missingGroups(manifest redwinghall.Manifest, room int) []place.Demand {
	byModel := m.byModel()
	var out []place.Demand
	for _, model := range manifest.Models {
		have := 0
		domains := map[string]int{}
		for _, g := range byModel[model.ID] {
			if matchesModel(g, model) {
				have++
			}
			domains[g.FabricDomain]++
		}
		missing := model.Replicas[m.config.AvailabilityZone] - have
		if missing > 0 {
			out = append(out, place.Demand{Model: model, Count: min(missing, room), PerDomain: domains})
		}
	}
	return out
}

// makeRoom drains one group of an old version if nothing else frees VMs for the new
// one. The last group that serves is drained only if there is no alternative.
func (m *Manager) makeRoom(ctx context.Context, now time.Time, manifest redwinghall.Manifest) error {
	for _, g := range m.groups.Groups() {
		if g.Leaving {
			return nil // VMs will soon be free
		}
	}
	byModel := m.byModel()
	for _, model := range manifest.Models {
		var old redwinghall.Groups
		for _, g := range byModel[model.ID] {
			if !matchesModel(g, model) {
				old = append(old, g)
			}
		}
		if len(old) > 0 && model.Replicas[m.config.AvailabilityZone] > len(byModel[model.ID])-len(old) {
			return m.startLeaving(ctx, now, old[0])
		}
	}
	return nil
}

func (m *Manager) newGroup(p place.Placement) redwinghall.Group {
	members := make([]redwinghall.Member, len(p.VMs))
	for i, vm := range p.VMs {
		members[i] = redwinghall.Member{VM: vm.ID, Address: vm.Address}
	}
	return redwinghall.Group{
		ID: m.newGroupID(p.Model.ID), AvailabilityZone: m.config.AvailabilityZone, FabricDomain: p.Domain,
		Model: p.Model.ID, Version: p.Model.Version, Adapters: p.Model.Adapters,
		Members: members, Generation: 1,
		MaxInFlight: p.Model.MaxInFlight, ColdInFlight: p.Model.ColdInFlight, WarmAfter: p.Model.WarmAfter,
	}
}

// stepDrain frees the VMs of leaving groups that have finished their work.
func (m *Manager) stepDrain(ctx context.Context, now time.Time, _ redwinghall.VMs, _ redwinghall.Manifest) error {
	for _, g := range m.groups.Groups() {
		if !g.Leaving {
			continue
		}
		since, ok := m.leavingAt[g.ID]
		if !ok {
			m.leavingAt[g.ID] = now
			continue
		}
		if now.Sub(since) < m.config.SettleTime || (m.isBusy(ctx, g) && now.Sub(since) < m.config.DrainTimeout) {
			continue
		}
		for i, member := range g.Members {
			m.sendOrder(ctx, member, redwinghall.Order{
				Fencing: m.lease.Fencing(), Generation: g.Generation, Role: redwinghall.RoleIdle, Members: g.Members[i : i+1],
			})
		}
		if err := m.deleteGroup(ctx, g); err != nil {
			return err
		}
	}
	return nil
}

// isBusy reports whether the leader has requests in progress. A leader that does
// not respond has none that could still complete.
func (m *Manager) isBusy(ctx context.Context, g redwinghall.Group) bool {
	r, err := m.engine.Report(ctx, g.Leader().Address)
	return err == nil && r.Group == g.ID && r.Running > 0
}
