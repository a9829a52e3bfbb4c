// Package place decides which VMs form groups. It does no I/O.
package place

import (
	"sort"

	"redwinghall"
)

// Demand is how many more groups of a model a zone needs.
type Demand struct {
	Model redwinghall.Model
	Count int
	// PerDomain counts the model's groups that each fabric domain has now.
	PerDomain map[string]int
}

// Placement is the VMs of one new group; they share a fabric domain.
type Placement struct {
	Model  redwinghall.Model
	Domain string
	VMs    redwinghall.VMs
}

// Placer chooses VMs for the wanted groups from the free ones.
type Placer interface {
	Place(free redwinghall.VMs, wants []Demand) []Placement
}

// BestFit is the placer of the product: larger replicas first, each into the
// domain that is left with the fewest stranded VMs, and among equal ones into
// the domain that has the fewest replicas of the model.
//
// Guard: first-fit takes VMs from the first domain with room, so that after
// some losses many domains keep fewer free VMs than a replica needs, and those
// accelerators idle. And when all replicas of a model share a domain, one dark
// domain ends the service.
type BestFit struct{}

// Place implements Placer.
func (BestFit) Place(free redwinghall.VMs, wants []Demand) []Placement {
	domains := byDomain(free)
	sizes := replicaSizes(wants)
	order := append([]Demand(nil), wants...)
	sort.SliceStable(order, func(i, j int) bool {
		return order[i].Model.VMsPerReplica > order[j].Model.VMsPerReplica
	})
	var out []Placement
	for _, want := range order {
		counts := copyCounts(want.PerDomain)
		for range want.Count {
			name, ok := bestDomain(domains, want.Model, counts, sizes)
			if !ok {
				break
			}
			vms := take(domains, name, want.Model)
			counts[name]++
			out = append(out, Placement{Model: want.Model, Domain: name, VMs: vms})
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

// replicaSizes returns the sizes that any wanted model has, largest first.
func replicaSizes(wants []Demand) []int {
	seen := map[int]bool{}
	var sizes []int
	for _, w := range wants {
		if !seen[w.Model.VMsPerReplica] {
			seen[w.Model.VMsPerReplica] = true
			sizes = append(sizes, w.Model.VMsPerReplica)
		}
	}
	sort.Sort(sort.Reverse(sort.IntSlice(sizes)))
	return sizes
}

// bestDomain returns the domain with the least (stranded VMs afterwards,
// replicas of the model, free VMs afterwards, name).
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
		if !found || less(score, bestScore) || (score == bestScore && name < best) {
			best, bestScore, found = name, score, true
		}
	}
	return best, found
}

func less(a, b [3]int) bool {
	for i := range a {
		if a[i] != b[i] {
			return a[i] < b[i]
		}
	}
	return false
}

// stranded returns how many of left VMs no wanted replica size can use when
// the sizes are filled in from the largest.
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

func take(domains map[string]redwinghall.VMs, name string, m redwinghall.Model) redwinghall.VMs {
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
