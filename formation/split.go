package formation

import (
	"math"
	"sort"

	"redwinghall/fleet"
)

// splitRounds limits the number of passes over the domains; the second pass rarely
// changes anything.
const splitRounds = 4

// split decides how many groups of each model each domain gets. It maximizes the sum
// over models of share x log(VMs), which supplies the models in proportion to their
// shares. Domains are optimized one after the other, given the choices for the other
// domains.
//
// A greedy choice of the group with the highest worth would give models the same number
// of VMs although their shares differ.
func split(models []fleet.Model, sizes map[string]int, serving map[string]int) map[string][]int {
	domains := make([]string, 0, len(sizes))
	for domain := range sizes {
		domains = append(domains, domain)
	}
	sort.Strings(domains)
	chosen := map[string][]int{}
	for range splitRounds {
		changed := false
		for _, domain := range domains {
			best := bestFor(models, sizes[domain], supplied(models, chosen, domain, serving))
			changed = changed || !equal(best, chosen[domain])
			chosen[domain] = best
		}
		if !changed {
			break
		}
	}
	return chosen
}

// supplied returns the VMs of each model in all domains except one.
func supplied(models []fleet.Model, chosen map[string][]int, except string, serving map[string]int) []int {
	vms := make([]int, len(models))
	for i, m := range models {
		vms[i] = serving[m.Name]
	}
	for domain, counts := range chosen {
		if domain == except {
			continue
		}
		for i, n := range counts {
			vms[i] += n * models[i].Size
		}
	}
	return vms
}

// bestFor returns the best group counts for one domain.
func bestFor(models []fleet.Model, size int, others []int) []int {
	var best []int
	worth := math.Inf(-1)
	counts := make([]int, len(models))
	var try func(i, left int)
	try = func(i, left int) {
		if i == len(models) {
			if w := balancedSupply(models, counts, others); w > worth {
				best, worth = append([]int(nil), counts...), w
			}
			return
		}
		for n := left / models[i].Size; n >= 0; n-- {
			counts[i] = n
			try(i+1, left-n*models[i].Size)
		}
		counts[i] = 0
	}
	try(0, size)
	return best
}

// balancedSupply returns the balanced supply of the models if one domain has the given
// group counts and the other domains have the VMs in others.
func balancedSupply(models []fleet.Model, counts, others []int) float64 {
	sum := 0.0
	for i, m := range models {
		sum += m.Share * math.Log(max(0.5, float64(others[i]+counts[i]*m.Size)))
	}
	return sum
}

func equal(a, b []int) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
