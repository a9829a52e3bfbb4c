package endpoint

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"redwinghall"
	"redwinghall/kernel"
)

// unresponsiveVM records since when a VM has not responded, and how many requests
// it has left unanswered.
type unresponsiveVM struct {
	since    time.Time
	requests int
}

// minUnanswered is how many of this controller's own requests a VM must leave
// unanswered before it counts as lost. A single lost response is not enough.
const minUnanswered = 2

func (m *Manager) recordResponse(vm string, now time.Time) {
	m.lastSeen[vm] = now
	delete(m.unresponsive, vm)
}

// recordNoResponse records a request without a response. The VM counts as
// unresponsive from when any process last saw it alive, not from this controller's
// first request.
func (m *Manager) recordNoResponse(vm string, now time.Time) {
	s, ok := m.unresponsive[vm]
	if !ok {
		s.since = now
		if seen, known := m.lastSeen[vm]; known {
			s.since = seen
		}
	}
	s.requests++
	m.unresponsive[vm] = s
}

// isLost reports whether a VM has been unresponsive for too long while this process ran.
func (m *Manager) isLost(vm string, now time.Time) bool {
	s, ok := m.unresponsive[vm]
	return ok && s.requests >= minUnanswered && kernel.RunTime(s.since, now) >= m.config.LostAfter
}

// stepMembers replaces lost members, starts a new generation of groups that are
// broken although all members respond, and starts to drain groups with VMs that
// are leaving.
func (m *Manager) stepMembers(ctx context.Context, now time.Time, vms redwinghall.VMs, _ redwinghall.Manifest) error {
	byID := vms.ByID()
	for _, g := range m.groups.Groups() {
		if g.Leaving {
			continue
		}
		lost, leaving := 0, 0
		for _, member := range g.Members {
			if m.isLost(member.VM, now) {
				lost++
			}
			if vm, ok := byID[member.VM]; ok && vm.State == redwinghall.VMLeaving {
				leaving++
			}
		}
		var err error
		switch {
		case lost > 0:
			err = m.replaceLost(ctx, now, g, vms)
		case leaving > 0:
			err = m.startLeaving(ctx, now, g)
		case m.isBroken(g):
			err = m.putGroup(ctx, g.WithGeneration(g.Generation+1))
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (m *Manager) isBroken(g redwinghall.Group) bool {
	h, ok := m.node.Health.Get(g.ID)
	return ok && h.Broken && h.Generation == g.Generation
}

// replaceLost replaces lost members with free VMs of the same fabric domain. If
// there are not enough of them, the group is dissolved, so that its other VMs can
// join other groups.
func (m *Manager) replaceLost(ctx context.Context, now time.Time, g redwinghall.Group, vms redwinghall.VMs) error {
	spares := m.freeVMs(ctx, now, vms, g.FabricDomain)
	members := slices.Clone(g.Members)
	for i, member := range members {
		if !m.isLost(member.VM, now) {
			continue
		}
		if len(spares) == 0 {
			klog.InfoS("group_lost", "group", g.ID, "vm", member.VM)
			return m.deleteGroup(ctx, g)
		}
		klog.InfoS("member_replaced", "group", g.ID, "lost", member.VM, "by", spares[0].ID)
		members[i] = redwinghall.Member{VM: spares[0].ID, Address: spares[0].Address}
		spares = spares[1:]
	}
	g.Members = members
	return m.putGroup(ctx, g.WithGeneration(g.Generation+1))
}

// freeVMs returns the VMs of a domain ("" for all) that belong to no group and
// respond now. The platform's list lags, so each VM is polled.
func (m *Manager) freeVMs(ctx context.Context, now time.Time, vms redwinghall.VMs, domain string) redwinghall.VMs {
	var candidates redwinghall.VMs
	var members []redwinghall.Member
	for _, vm := range vms.Workers(m.config.AvailabilityZone) {
		if m.groups.Assigned(vm.ID) || (domain != "" && vm.FabricDomain != domain) {
			continue
		}
		candidates = append(candidates, vm)
		members = append(members, redwinghall.Member{VM: vm.ID, Address: vm.Address})
	}
	reports := m.requestReports(ctx, now, members)
	var out redwinghall.VMs
	for i, vm := range candidates {
		if reports[i] != nil {
			out = append(out, vm)
		}
	}
	return out
}
