package formation_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/fleet"
	"redwinghall/formation"
)

// setDemand sets the number of requests for each model, spread evenly over its groups.
func setDemand(f *fakeZone, n *node, requests map[string]int) {
	each := map[string]int{}
	for model, all := range requests {
		each[model] = all / max(1, len(f.servingHeads(model)))
	}
	n.demand.Store(&each)
}

// The demand has shifted: groups of the large model are nearly empty and those of the
// small model are full. One large group is converted to the small model without a load;
// the others stay, and no group is converted back.
func TestGroupsFollowDemand(t *testing.T) {
	runPairs(t, func(t *testing.T, f *fakeZone, n *node) {
		loads := f.loadCount()
		for range 30 {
			setDemand(f, n, map[string]int{"small": 10})
			time.Sleep(100 * time.Millisecond)
		}
		require.Len(t, f.servingHeads("large"), 3, "the first requests are too few to show the demand")
		for range 300 {
			setDemand(f, n, map[string]int{"large": 12, "small": 240})
			time.Sleep(100 * time.Millisecond)
		}
		require.Len(t, f.servingHeads("large"), 2)
		require.Len(t, f.servingHeads("small"), 19)
		require.Equal(t, loads, f.loadCount())
		joins := f.joins
		for range 300 {
			setDemand(f, n, map[string]int{"large": 12, "small": 240})
			time.Sleep(100 * time.Millisecond)
		}
		require.Equal(t, joins, f.joins)
	})
}

// A lost large group is not rebuilt while the large model has spare capacity, since it
// would be converted right away. Without spare capacity it is rebuilt.
func TestGroupWithSpareCapacityIsNotRebuilt(t *testing.T) {
	for name, c := range map[string]struct {
		demand     map[string]float64
		dismantled int
	}{
		"spare capacity":    {map[string]float64{"large": 20, "small": 200}, 0},
		"no spare capacity": {map[string]float64{"large": 50, "small": 100}, 1},
		"unknown demand":    {nil, 1},
	} {
		t.Run(name, func(t *testing.T) {
			zone := pairsZone()
			zone.Demand = c.demand
			dismantled := 0
			for _, step := range zone.Plan(time.Unix(1000, 0)) {
				if step.Order.Kind == fleet.OrderClose && step.Why == "gather_for_large" {
					dismantled++
				}
			}
			require.Equal(t, c.dismantled, dismantled)
		})
	}
}

// pairsZone returns a zone of three domains of eighteen. One domain has lost two
// members of its large group. Two small groups of each domain have staged the large
// model.
func pairsZone() *formation.Zone {
	z := &formation.Zone{
		Engine: pairsEngine(), Progressing: func(string) bool { return false }, NextEpoch: func() int64 { return 100 },
		History: func(string) formation.GroupHistory { return formation.GroupHistory{FormedHere: true} },
	}
	group := func(domain, model string, epoch int64, size int, staged string) {
		for rank := range size {
			member := fleet.Membership{Group: fmt.Sprintf("replica|%s|%d", model, epoch), Epoch: epoch, Rank: rank, State: fleet.Ready}
			if rank == 0 {
				member.State = fleet.Open
			}
			z.Workers = append(z.Workers, &formation.Worker{Member: member, LastModel: model, Endpoint: &fleet.Endpoint{
				ID: fmt.Sprintf("%s-%d-%d", domain, epoch, rank), Domain: domain, State: fleet.EndpointReady, Staged: []string{staged},
				Models: []string{model}, Member: member,
			}})
		}
	}
	for d, domain := range []string{"d0", "d1", "d2"} {
		for i := range int64(5) {
			group(domain, "small", int64(10*d)+i, 2, []string{"small", "large"}[max(0, 1-i/2)])
		}
		if d > 0 {
			group(domain, "large", int64(10*d)+9, 8, "large")
		}
	}
	for i := range 6 {
		z.Workers = append(z.Workers, &formation.Worker{LastModel: "large", FreeSince: time.Unix(999, 0), Endpoint: &fleet.Endpoint{
			ID: fmt.Sprintf("d0-free-%d", i), Domain: "d0", State: fleet.EndpointReady, Staged: []string{"large"},
		}})
	}
	return z
}

// Demand that matches the configured shares, and demand that fluctuates, leave the
// groups unchanged.
func TestUsualDemandChangesNothing(t *testing.T) {
	runPairs(t, func(t *testing.T, f *fakeZone, n *node) {
		joins := f.joins
		for i := range 300 {
			setDemand(f, n, map[string]int{"large": 30 + 10*(i/20%2), "small": 150 - 50*(i/20%2)})
			time.Sleep(100 * time.Millisecond)
		}
		require.Equal(t, joins, f.joins)
	})
}

// A model whose groups could not carry the demand after losing one keeps them, even if
// another model is shorter of capacity.
func TestModelKeepsGroupsForALoss(t *testing.T) {
	runPairs(t, func(t *testing.T, f *fakeZone, n *node) {
		for range 300 {
			setDemand(f, n, map[string]int{"large": 18, "small": 280})
			time.Sleep(100 * time.Millisecond)
		}
		require.Len(t, f.servingHeads("large"), 3)
	})
}

// The first demand reading finds no request yet. It must not dominate the smoothed
// demand, or a group that is needed is converted.
func TestFirstReadingOfDemandGivesNoGroupAway(t *testing.T) {
	runPairs(t, func(t *testing.T, f *fakeZone, n *node) {
		time.Sleep(200 * time.Millisecond)
		for range 300 {
			setDemand(f, n, map[string]int{"large": 18, "small": 280})
			time.Sleep(100 * time.Millisecond)
		}
		require.Len(t, f.servingHeads("large"), 3)
	})
}

// A model without observed demand keeps groups: its requests may just have been
// refused.
func TestModelWithoutDemandKeepsGroups(t *testing.T) {
	runPairs(t, func(t *testing.T, f *fakeZone, n *node) {
		for range 600 {
			setDemand(f, n, map[string]int{"small": 280})
			time.Sleep(100 * time.Millisecond)
		}
		require.GreaterOrEqual(t, len(f.servingHeads("large")), 2)
		for _, w := range f.servingHeads("large") {
			f.kill(w.members[1], true)
			time.Sleep(700 * time.Millisecond)
			n.manager.ReportStall(context.Background(), w.ID)
		}
		for range 300 {
			setDemand(f, n, map[string]int{"small": 280})
			time.Sleep(100 * time.Millisecond)
		}
		require.NotEmpty(t, f.servingHeads("large"))
	})
}
