// Package place assigns free VMs to new groups. It does no I/O.
package place

import (
	"sort"

	"redwinghall"
)

// Demand is how many more groups of a model a zone needs.
type Demand struct {
	Model redwinghall.Model
	Count int
	// PerDomain counts the model's current groups in each fabric domain.
	PerDomain map[string]int
}

// Placement holds the VMs of one new group, all of one fabric domain.
type Placement struct {
	Model  redwinghall.Model
	Domain string
	VMs    redwinghall.VMs
}

// Placer chooses VMs for the demanded groups from the free ones.
type Placer interface {
	Place(free redwinghall.VMs, demands []Demand) []Placement
}

// BestFit is the placer used in production. It places larger replicas first,
// each in the domain that is left with the fewest stranded VMs; ties go to the
// domain with the fewest replicas of the model.
//
// First-fit would take VMs from the first domain with room. After some VM losses
// many domains would have fewer free VMs than a replica needs, and their
// accelerators would stay idle. Ties are broken by replica count so that the
// failure of one domain doesn't take down all replicas of a model.
type BestFit struct{}

// Place implements Placer.
func (BestFit) Place(free redwinghall.VMs, demands []Demand) []Placement {
	domains := byDomain(free)
	sizes := replicaSizes(demands)
	order := append([]Demand(nil), demands...)
	sort.SliceStable(order, func(i, j int) bool {
		return order[i].Model.VMsPerReplica > order[j].Model.VMsPerReplica
	})
	var out []Placement
	for _, demand := range order {
		counts := copyCounts(demand.PerDomain)
		for range demand.Count {
			name, ok := bestDomain(domains, demand.Model, counts, sizes)
			if !ok {
				break
			}
			vms := takeVMs(domains, name, demand.Model)
			counts[name]++
			out = append(out, Placement{Model: demand.Model, Domain: name, VMs: vms})
		}
	}
	return out
}

func byDomain(free redwinghall.VMs) map[string]redwinghall.VMs {
	out := map[string]redwinghall.VMs{}
	for _, vm := range free {
		out[vm.FabricDomain] = append(out[vm.FabricDomain], vm)
	}
	for _, vms := range out {
		sort.Slice(vms, func(i, j int) bool { return vms[i].ID < vms[j].ID })
	}
	return out
}

// replicaSizes returns the distinct replica sizes of the demands, largest first.
func replicaSizes(demands []Demand) []int {
	seen := map[int]bool{}
	var sizes []int
	for _, demand := range demands {
		if !seen[demand.Model.VMsPerReplica] {
			seen[demand.Model.VMsPerReplica] = true
			sizes = append(sizes, demand.Model.VMsPerReplica)
		}
	}
	sort.Sort(sort.Reverse(sort.IntSlice(sizes)))
	return sizes
}

// bestDomain returns the domain with the lowest tuple of stranded VMs after the
// placement, replicas of the model, free VMs after the placement, and name.
func bestDomain(domains map[string]redwinghall.VMs, m redwinghall.Model, counts map[string]int, sizes []int) (string, bool) {
	best, found := "", false
	var bestScore [3]int
	for name, vms := range domains {
		usable := countUsable(vms, m)
		if usable < m.VMsPerReplica {
			continue
		}
		left := len(vms) - m.VMsPerReplica
		score := [3]int{stranded(left, sizes), counts[name], left}
		if !found || lessScore(score, bestScore) || (score == bestScore && name < best) {
			best, bestScore, found = name, score, true
		}
	}
	return best, found
}

func lessScore(a, b [3]int) bool {
	for i := range a {
		if a[i] != b[i] {
			return a[i] < b[i]
		}
	}
	return false
}

// stranded returns how many of the remaining VMs no demanded replica can use when
// replicas are placed greedily, largest size first.
func stranded(left int, sizes []int) int {
	for _, size := range sizes {
		left %= size
	}
	return left
}

func countUsable(vms redwinghall.VMs, m redwinghall.Model) int {
	n := 0
	for _, vm := range vms {
		if vm.Accelerators >= m.AcceleratorsPerVM {
			n++
		}
	}
	return n
}

func takeVMs(domains map[string]redwinghall.VMs, name string, m redwinghall.Model) redwinghall.VMs {
	var taken, left redwinghall.VMs
	for _, vm := range domains[name] {
		if len(taken) < m.VMsPerReplica && vm.Accelerators >= m.AcceleratorsPerVM {
			taken = append(taken, vm)
			continue
		}
		left = append(left, vm)
	}
	domains[name] = left
	return taken
}

func copyCounts(in map[string]int) map[string]int {
	out := make(map[string]int, len(in))
	for k, v := range in {
		out[k] = v
	}
	return out
}
