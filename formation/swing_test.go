package formation_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/fleet"
	"redwinghall/formation"
)

// A small group is closed so that a large one can be rebuilt of its members. Whatever the demand, it isn't opened again
// once its streams have ended: it would be closed again, and each round keeps new work from it.
func TestGroupClosedForALargerOneIsNotOpenedAgain(t *testing.T) {
	closed := 0
	for large := 0; large <= 100; large += 4 {
		for small := 0; small <= 400; small += 8 {
			zone := pairsZone()
			zone.Demand = map[string]float64{"large": float64(large), "small": float64(small)}
			donors := closedForGather(zone.Plan(time.Unix(1000, 0)))
			if len(donors) == 0 {
				continue
			}
			closed++
			for _, w := range zone.Workers {
				if donors[w.Member.Group] {
					w.Member.State = fleet.Ready
					entry := *w.Endpoint
					entry.Member = w.Member
					w.Endpoint = &entry
				}
			}
			for _, step := range zone.Plan(time.Unix(1001, 0)) {
				if step.Order.Kind == fleet.OrderOpen {
					require.False(t, donors[step.Order.Group], fmt.Sprintf("large %d, small %d", large, small))
				}
			}
			freeMembers(zone, donors)
			joined := 0
			for _, step := range zone.Plan(time.Unix(1002, 0)) {
				if step.Order.Kind == fleet.OrderJoin && step.Order.Model == "large" && len(step.Order.Members) == 8 {
					joined++
				}
			}
			require.Equal(t, 8, joined, fmt.Sprintf("large %d, small %d", large, small))
		}
	}
	require.Positive(t, closed)
}

// closedForGather returns the groups that steps close for a larger one.
func closedForGather(steps []formation.Step) map[string]bool {
	donors := map[string]bool{}
	for _, step := range steps {
		if step.Order.Kind == fleet.OrderClose && step.Why == "gather_for_large" {
			donors[step.Order.Group] = true
		}
	}
	return donors
}

// freeMembers makes the members of some groups free.
func freeMembers(zone *formation.Zone, groups map[string]bool) {
	for _, w := range zone.Workers {
		if groups[w.Member.Group] {
			w.Member, w.FreeSince = fleet.Membership{}, time.Unix(1001, 0)
			entry := *w.Endpoint
			entry.Member = w.Member
			w.Endpoint = &entry
		}
	}
}
