package endpoint

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"redwinghall"
)

// silence is how long, and how often, a VM has not answered.
type silence struct {
	since time.Time
	asked int
}

// minAsked is how often a VM must have left this controller's own question
// unanswered before it is lost: one lost answer is no loss.
const minAsked = 2

func (m *Manager) noteAnswered(vm string, now time.Time) {
	m.seen[vm] = now
	delete(m.silent, vm)
}

// noteUnanswered notes a question without an answer. The silence counts from when
// the VM was last seen alive by anyone, not from when this controller began to
// ask.
func (m *Manager) noteUnanswered(vm string, now time.Time) {
	s, ok := m.silent[vm]
	if !ok {
		s.since = now
		if seen, known := m.seen[vm]; known {
			s.since = seen
		}
	}
	s.asked++
	m.silent[vm] = s
}

// isLost reports whether a VM has been silent for too long.
func (m *Manager) isLost(vm string, now time.Time) bool {
	s, ok := m.silent[vm]
	return ok && s.asked >= minAsked && now.Sub(s.since) >= m.config.LostAfter
}

// stepMembers replaces lost members, orders anew groups that are broken
// although all members answer, and lets groups go whose VMs are leaving.
func (m *Manager) stepMembers(ctx context.Context, now time.Time, vms redwinghall.VMs, _ redwinghall.Manifest) error {
	byID := vms.ByID()
	for _, g := range m.ledger.Groups() {
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

// replaceLost puts spare VMs of the same fabric domain in the places of lost
// members. Without enough spares the group is dissolved, so that its other
// VMs can serve elsewhere.
func (m *Manager) replaceLost(ctx context.Context, now time.Time, g redwinghall.Group, vms redwinghall.VMs) error {
	spares := m.freeVMs(ctx, now, vms, g.FabricDomain)
	members := slices.Clone(g.Members)
	for i, member := range members {
		if !m.isLost(member.VM, now) {
			continue
		}
		if len(spares) == 0 {
			klog.InfoS("group_lost", "group", g.ID, "vm", member.VM)
			return m.dropGroup(ctx, g)
		}
		klog.InfoS("member_replaced", "group", g.ID, "lost", member.VM, "by", spares[0].ID)
		members[i] = redwinghall.Member{VM: spares[0].ID, Address: spares[0].Address}
		spares = spares[1:]
	}
	g.Members = members
	return m.putGroup(ctx, g.WithGeneration(g.Generation+1))
}

// freeVMs returns the VMs of a domain ("" for all) that belong to no group and
// answer now. The platform's list lags, so each is asked.
func (m *Manager) freeVMs(ctx context.Context, now time.Time, vms redwinghall.VMs, domain string) redwinghall.VMs {
	var candidates redwinghall.VMs
	var members []redwinghall.Member
	for _, vm := range vms.Workers(m.config.AvailabilityZone) {
		if m.ledger.Assigned(vm.ID) || (domain != "" && vm.FabricDomain != domain) {
			continue
		}
		candidates = append(candidates, vm)
		members = append(members, redwinghall.Member{VM: vm.ID, Address: vm.Address})
	}
	reports := m.askAll(ctx, now, members)
	var out redwinghall.VMs
	for i, vm := range candidates {
		if reports[i] != nil {
			out = append(out, vm)
		}
	}
	return out
}
