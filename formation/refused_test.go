package formation_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall"
	"redwinghall/formation"
)

// refuse sets the work of a model that is refused each second, at one urgency.
func (n *node) refuse(model string, urgency int, work time.Duration) {
	n.set(func() {
		n.uses = []redwinghall.AccountUse{{Service: testService, Model: model, Account: "a", Urgency: urgency, Asked: work + time.Second, Given: time.Second}}
	})
}

// The work that is refused counts as requests in progress, by service and model, the less the less urgent it is.
func TestRefusedWorkIsDemand(t *testing.T) {
	uses := []redwinghall.AccountUse{
		{Service: testService, Model: "large", Asked: 3 * time.Second, Given: 2 * time.Second},
		{Service: testService, Model: "large", Urgency: 2, Asked: 2 * time.Second},
		{Service: testService, Model: "small", Asked: time.Second, Given: time.Second},
		{Service: "other", Model: "small", Asked: time.Second},
	}
	require.Equal(t, map[string]float64{"large": 20 + 2*20.0/4}, formation.Refused(uses, testService, pairsEngine()))
}

// The groups of the large model are nearly empty, as in TestGroupsFollowDemand, but its requests are refused: it keeps
// its groups.
func TestModelWhoseRequestsAreRefusedKeepsItsGroups(t *testing.T) {
	runPairs(t, func(t *testing.T, f *fakeZone, n *node) {
		n.refuse("large", 0, time.Second)
		for range 300 {
			setDemand(f, n, map[string]int{"large": 12, "small": 240})
			time.Sleep(100 * time.Millisecond)
		}
		require.Len(t, f.servingHeads("large"), 3)
	})
}

// What is refused moves from one model to the other and back, every 6 s for a minute: that costs one round of loads at
// most, and no group changes its model more than once.
func TestRefusedWorkThatMovesAndComesBackSwingsNothing(t *testing.T) {
	runPairs(t, func(t *testing.T, f *fakeZone, n *node) {
		const round = 8 // members of a large group
		loads, joins := f.loadCount(), f.joins
		for i := range 600 {
			n.refuse([]string{"large", "small"}[i/60%2], 0, 2*time.Second)
			setDemand(f, n, map[string]int{"large": 30, "small": 200})
			time.Sleep(100 * time.Millisecond)
		}
		require.LessOrEqual(t, f.loadCount()-loads, round)
		require.LessOrEqual(t, f.joins-joins, round)
	})
}
