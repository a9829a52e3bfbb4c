package main

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"redwinghall"
	"redwinghall/place"
)

// firstFit is the baseline placer: each group takes the first free VMs of the
// first domain that has enough, in the order of the demands.
type firstFit struct{}

// Place implements place.Placer.
func (firstFit) Place(free redwinghall.VMs, demands []place.Demand) []place.Placement {
	domains := map[string]redwinghall.VMs{}
	var names []string
	for _, vm := range free {
		if domains[vm.FabricDomain] == nil {
			names = append(names, vm.FabricDomain)
		}
		domains[vm.FabricDomain] = append(domains[vm.FabricDomain], vm)
	}
	sort.Strings(names)
	var out []place.Placement
	for _, d := range demands {
		for range d.Count {
			for _, name := range names {
				vms := domains[name]
				if len(vms) >= d.Model.VMsPerReplica {
					domains[name] = vms[d.Model.VMsPerReplica:]
					out = append(out, place.Placement{Model: d.Model, Domain: name, VMs: vms[:d.Model.VMsPerReplica]})
					break
				}
			}
		}
	}
	return out
}

// cluster returns VMs in domains of random sizes, as they are after VMs were lost.
func cluster(random *rand.Rand, count int) redwinghall.VMs {
	var out redwinghall.VMs
	for domain := 0; len(out) < count; domain++ {
		size := 8 + random.IntN(9)
		for i := 0; i < size && len(out) < count; i++ {
			out = append(out, redwinghall.VM{ID: fmt.Sprintf("d%03d-%02d", domain, i), FabricDomain: fmt.Sprintf("d%03d", domain),
				Accelerators: 8, State: redwinghall.VMLive})
		}
	}
	return out
}

// demandOf returns a demand for groups of 2, 3 and 4 VMs that would fill a
// cluster.
func demandOf(vms int) []place.Demand {
	model := func(id string, size int) redwinghall.Model {
		return redwinghall.Model{ID: id, VMsPerReplica: size, AcceleratorsPerVM: 8}
	}
	return []place.Demand{
		{Model: model("two", 2), Count: vms / 8},
		{Model: model("three", 3), Count: vms / 12},
		{Model: model("four", 4), Count: vms / 8},
	}
}

func measurePlace(options) ([]Series, error) {
	var all, one []Point
	for _, n := range []int{80, 325, 650, 1300} {
		vms := cluster(rand.New(rand.NewPCG(1, uint64(n))), n)
		demands := demandOf(n)
		all = append(all, Point{float64(n), fastest(func() { place.BestFit{}.Place(vms, demands) })})
		single := []place.Demand{{Model: demands[2].Model, Count: 1}}
		one = append(one, Point{float64(n), fastest(func() { place.BestFit{}.Place(vms, single) })})
	}
	out := []Series{
		newSeries("all groups from nothing", "VMs", "milliseconds to place", all),
		newSeries("one group among all VMs free", "VMs", "milliseconds to place", one),
	}
	for _, p := range []struct {
		name   string
		placer place.Placer
	}{{"packed", place.BestFit{}}, {"first fit", firstFit{}}} {
		stranded, missing := strandedBySize(p.placer)
		out = append(out, newSeries(p.name, "VMs", "stranded VMs after seeded losses", stranded),
			newSeries(p.name, "VMs", "groups that could not be formed", missing))
	}
	return out, nil
}

// fastest returns the shortest time of several runs, in milliseconds.
func fastest(run func()) float64 {
	least := time.Hour
	for range 7 {
		started := time.Now()
		run()
		least = min(least, time.Since(started))
	}
	return float64(least.Nanoseconds()) / 1e6
}

const placeSeeds = 20

// strandedBySize removes each VM with a probability of one in twenty and places
// all groups on the remaining VMs. It returns the mean number over all seeds of
// VMs that are in no group, and of groups that could not be placed.
func strandedBySize(p place.Placer) (stranded, missing []Point) {
	for _, n := range []int{65, 325, 1300} {
		var sumStranded, sumMissing float64
		for seed := range uint64(placeSeeds) {
			random := rand.New(rand.NewPCG(seed, uint64(n)))
			all := cluster(random, n)
			var left redwinghall.VMs
			for _, vm := range all {
				if random.IntN(20) != 0 {
					left = append(left, vm)
				}
			}
			demands := demandOf(n)
			used, wanted := 0, 0
			placements := p.Place(left, demands)
			for _, one := range placements {
				used += len(one.VMs)
			}
			for _, d := range demands {
				wanted += d.Count
			}
			sumStranded += float64(len(left) - used)
			sumMissing += float64(wanted - len(placements))
		}
		stranded = append(stranded, Point{float64(n), sumStranded / placeSeeds})
		missing = append(missing, Point{float64(n), sumMissing / placeSeeds})
	}
	return stranded, missing
}
