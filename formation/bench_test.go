package formation_test

import (
	"fmt"
	"testing"
	"time"

	"redwinghall/fleet"
	"redwinghall/formation"
)

// BenchmarkPlan measures one plan of a zone whose groups all serve: 1,000 VMs in
// domains of eleven, with as many groups of six and of three as fit.
func BenchmarkPlan(b *testing.B) {
	z := &formation.Zone{
		Engine: defaultEngine(), Progressing: func(string) bool { return false }, NextEpoch: func() int64 { return 100 },
		History: func(string) formation.GroupHistory { return formation.GroupHistory{FormedHere: true} },
	}
	for d := range 90 {
		for rank := range 11 {
			model, first := "large", 0
			switch {
			case rank >= 9:
				model, first = "", 9
			case rank >= 6:
				model, first = "small", 6
			}
			e := &fleet.Endpoint{ID: fmt.Sprintf("%d-%d", d, rank), Domain: fmt.Sprintf("d%d", d), State: fleet.EndpointReady, Staged: []string{"large", "small"}}
			if model != "" {
				e.Models = []string{model}
				e.Member = fleet.Membership{Group: fmt.Sprintf("replica|%s|%d", model, d), Epoch: int64(d), Rank: rank - first, State: fleet.Ready}
				if rank == first {
					e.Member.State = fleet.Open
				}
			}
			z.Workers = append(z.Workers, &formation.Worker{Endpoint: e, Member: e.Member, LastModel: model})
		}
	}
	now := time.Unix(1000, 0)
	for range b.N {
		z.Plan(now)
	}
}
