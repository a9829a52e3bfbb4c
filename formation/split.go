package formation

import (
	"math"
	"slices"
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

// allocation is how many groups of each model a number of VMs is used for.
type allocation struct {
	counts []int
	worth  float64 // the balanced supply of the models considered so far
}

// bestFor returns the best group counts for one domain. others holds the VMs of each model
// in the other domains.
//
// It considers one model after the other and keeps the best allocation for each number of
// VMs used, as the number of combinations of groups grows exponentially with the models.
func bestFor(models []fleet.Model, size int, others []int) []int {
	bySize := make([]*allocation, size+1) // by the number of VMs used
	bySize[0] = &allocation{}
	for i, m := range models {
		next := make([]*allocation, size+1)
		for used, a := range bySize {
			if a == nil {
				continue
			}
			for n := 0; n <= (size-used)/m.Size; n++ {
				total := used + n*m.Size
				next[total] = better(next[total], a.with(n, supplyOf(m, others[i]+n*m.Size)))
			}
		}
		bySize = next
	}
	var best *allocation
	for _, a := range bySize {
		best = better(best, a)
	}
	return best.counts
}

// with returns the allocation with n groups of one more model, which adds supply.
func (a *allocation) with(n int, supply float64) *allocation {
	counts := make([]int, len(a.counts), len(a.counts)+1)
	copy(counts, a.counts)
	return &allocation{counts: append(counts, n), worth: a.worth + supply}
}

// better returns the better of two allocations, either of which may be nil. Of equal ones, it is
// the one with more groups of the first models.
func better(a, b *allocation) *allocation {
	switch {
	case a == nil:
		return b
	case b == nil || a.worth > b.worth:
		return a
	case a.worth == b.worth && slices.Compare(a.counts, b.counts) >= 0:
		return a
	}
	return b
}

// supplyOf returns what a number of VMs of a model contribute to the balanced supply.
func supplyOf(m fleet.Model, vms int) float64 {
	return m.Share * math.Log(max(0.5, float64(vms)))
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
