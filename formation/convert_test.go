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

// askEvenly lets callers bring a number of requests for each model, spread over its groups.
func askEvenly(f *farm, n *node, requests map[string]int) {
	each := map[string]int{}
	for model, all := range requests {
		each[model] = all / max(1, len(f.whole(model)))
	}
	n.asked.Store(&each)
}

// The work has shifted: groups of the large model are nearly empty, and those of
// the small one are full. One large group is given to the small model, without a
// load; the others stay, and nothing swings back.
func TestDemandIsFollowed(t *testing.T) {
	playPairs(t, func(t *testing.T, f *farm, n *node) {
		loads := f.loads
		for range 30 {
			askEvenly(f, n, map[string]int{"small": 10})
			time.Sleep(100 * time.Millisecond)
		}
		require.Len(t, f.whole("large"), 3, "the first requests say nothing of the demand")
		for range 300 {
			askEvenly(f, n, map[string]int{"large": 12, "small": 240})
			time.Sleep(100 * time.Millisecond)
		}
		require.Len(t, f.whole("large"), 2)
		require.Len(t, f.whole("small"), 19)
		require.Equal(t, loads, f.loads)
		joins := f.joins
		for range 300 {
			askEvenly(f, n, map[string]int{"large": 12, "small": 240})
			time.Sleep(100 * time.Millisecond)
		}
		require.Equal(t, joins, f.joins)
	})
}

// A large group is lost while large ones have places to spare: it isn't made whole
// only to be given away. Where they have none, it is.
func TestGroupToSpareIsNotMadeWhole(t *testing.T) {
	for name, c := range map[string]struct {
		demand map[string]float64
		taken  int
	}{
		"places to spare":    {map[string]float64{"large": 20, "small": 200}, 0},
		"none":               {map[string]float64{"large": 50, "small": 100}, 1},
		"demand isn't known": {nil, 1},
	} {
		t.Run(name, func(t *testing.T) {
			zone := pairsZone()
			zone.Demand = c.demand
			taken := 0
			for _, step := range zone.Plan(time.Unix(1000, 0)) {
				if step.Order.Kind == fleet.OrderClose && step.Why == "gather_for_large" {
					taken++
				}
			}
			require.Equal(t, c.taken, taken)
		})
	}
}

// pairsZone is a zone of three domains of eighteen, one of which has lost two
// members of its large group. Two small groups of each have taken the large model in.
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

// A demand as the configuration expects it, and one that changes all the time,
// leave the groups as they are.
func TestUsualDemandChangesNothing(t *testing.T) {
	playPairs(t, func(t *testing.T, f *farm, n *node) {
		joins := f.joins
		for i := range 300 {
			askEvenly(f, n, map[string]int{"large": 30 + 10*(i/20%2), "small": 150 - 50*(i/20%2)})
			time.Sleep(100 * time.Millisecond)
		}
		require.Equal(t, joins, f.joins)
	})
}

// A model whose groups would not bear the loss of one keeps them, although another
// model is shorter.
func TestModelKeepsGroupsForALoss(t *testing.T) {
	playPairs(t, func(t *testing.T, f *farm, n *node) {
		for range 300 {
			askEvenly(f, n, map[string]int{"large": 18, "small": 280})
			time.Sleep(100 * time.Millisecond)
		}
		require.Len(t, f.whole("large"), 3)
	})
}

// The first reading finds no request yet: what comes after it must not count as a part of
// itself, or a group is given away that the demand needs.
func TestFirstReadingOfDemandGivesNoGroupAway(t *testing.T) {
	playPairs(t, func(t *testing.T, f *farm, n *node) {
		time.Sleep(200 * time.Millisecond)
		for range 300 {
			askEvenly(f, n, map[string]int{"large": 18, "small": 280})
			time.Sleep(100 * time.Millisecond)
		}
		require.Len(t, f.whole("large"), 3)
	})
}

// A model that nobody is seen to ask for keeps groups: its callers may just have
// been refused.
func TestModelWithoutDemandKeepsGroups(t *testing.T) {
	playPairs(t, func(t *testing.T, f *farm, n *node) {
		for range 600 {
			askEvenly(f, n, map[string]int{"small": 280})
			time.Sleep(100 * time.Millisecond)
		}
		require.GreaterOrEqual(t, len(f.whole("large")), 2)
		for _, w := range f.whole("large") {
			f.kill(w.members[1], true)
			time.Sleep(700 * time.Millisecond)
			n.manager.ReportStall(context.Background(), w.ID)
		}
		for range 300 {
			askEvenly(f, n, map[string]int{"small": 280})
			time.Sleep(100 * time.Millisecond)
		}
		require.NotEmpty(t, f.whole("large"))
	})
}
