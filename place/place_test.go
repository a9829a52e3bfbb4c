package place_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"redwinghall"
	"redwinghall/place"
	_ "redwinghall/rwhtest/fixedseed"
)

func vms(domains ...int) redwinghall.VMs {
	var out redwinghall.VMs
	for d, n := range domains {
		for i := range n {
			out = append(out, redwinghall.VM{ID: fmt.Sprintf("d%d-%02d", d, i), FabricDomain: fmt.Sprint("d", d), Accelerators: 8})
		}
	}
	return out
}

func model(size int) redwinghall.Model {
	return redwinghall.Model{ID: fmt.Sprint("m", size), VMsPerReplica: size, AcceleratorsPerVM: 8}
}

func TestBestFit(t *testing.T) {
	tests := []struct {
		name    string
		free    redwinghall.VMs
		demands []place.Demand
		domains []string
	}{
		{"takes the domain that strands none", vms(5, 4), []place.Demand{{Model: model(4), Count: 1}}, []string{"d1"}},
		{"spreads replicas where that strands no more", vms(8, 8), []place.Demand{{Model: model(4), Count: 2}}, []string{"d0", "d1"}},
		{"no domain has enough", vms(3, 3), []place.Demand{{Model: model(4), Count: 1}}, nil},
		{"prefers the domain with fewer replicas of the model", vms(4, 4), []place.Demand{{Model: model(4), Count: 1, PerDomain: map[string]int{"d0": 1}}}, []string{"d1"}},
		{"larger replicas first", vms(4), []place.Demand{{Model: model(2), Count: 2}, {Model: model(4), Count: 1}}, []string{"d0"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var got []string
			for _, p := range (place.BestFit{}).Place(tt.free, tt.demands) {
				got = append(got, p.Domain)
			}
			require.Equal(t, tt.domains, got)
		})
	}
}

// For any free VMs and demands: no VM is used twice, each group has all its VMs in
// one domain, and no more groups are placed than demanded.
func TestBestFitNeverSharesAVM(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		free := vms(rapid.SliceOfN(rapid.IntRange(0, 20), 1, 8).Draw(rt, "domains")...)
		demands := []place.Demand{
			{Model: model(rapid.IntRange(1, 6).Draw(rt, "size")), Count: rapid.IntRange(0, 9).Draw(rt, "count")},
			{Model: model(4), Count: rapid.IntRange(0, 9).Draw(rt, "fours")},
		}
		used := map[string]bool{}
		placements := place.BestFit{}.Place(free, demands)
		require.LessOrEqual(rt, len(placements), demands[0].Count+demands[1].Count)
		for _, p := range placements {
			require.Len(rt, p.VMs, p.Model.VMsPerReplica)
			for _, vm := range p.VMs {
				require.False(rt, used[vm.ID])
				used[vm.ID] = true
				require.Equal(rt, p.Domain, vm.FabricDomain)
			}
		}
	})
}
