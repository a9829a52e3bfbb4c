package formation_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/fleet"
	"redwinghall/formation"
)

// joiningGroup returns the members of a large group that were ordered to join more than
// entryLagLimit ago, and a spare worker. The entries of shown of the members show that
// they joined.
func joiningGroup(now time.Time, shown int) []*formation.Worker {
	var workers []*formation.Worker
	for rank := range 7 {
		e := &fleet.Endpoint{ID: fmt.Sprintf("e%d", rank), Zone: "z", Domain: "d0", State: fleet.EndpointReady}
		w := &formation.Worker{
			Endpoint: e, LastModel: "large", ChangedAt: now.Add(-time.Second), FreeSince: now.Add(-time.Minute),
			OrderedAt: map[fleet.OrderKind]time.Time{},
		}
		if rank < 6 {
			w.Member = fleet.Membership{Group: "replica|large|9", Epoch: 9, Rank: rank, State: fleet.Joining}
		}
		if rank >= 6-shown {
			e.Member = w.Member
		}
		workers = append(workers, w)
	}
	return workers
}

// The head of a new group is partitioned from the store as it joins. If the others
// waited for its entry to show that it joined, a complete group would stay idle for six
// seconds. The group is formed again without it, with the spare. If most entries are
// late, the store is slow, and the group must wait.
func TestMemberWithStaleEntryIsExcluded(t *testing.T) {
	for name, c := range map[string]struct {
		shown   int
		without string
	}{
		"one is late":   {5, "e0"},
		"most are late": {2, ""},
		"none is late":  {6, ""},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			zone := &formation.Zone{
				Engine: defaultEngine(), Workers: joiningGroup(now, c.shown),
				Progressing: func(string) bool { return false }, History: func(string) formation.GroupHistory { return formation.GroupHistory{FormedHere: true} },
				NextEpoch: func() int64 { return 10 },
			}
			var members []string
			for _, step := range zone.Plan(now) {
				if step.Order.Kind == fleet.OrderJoin && step.Order.Epoch == 10 && len(step.Order.Members) == 6 {
					members = step.Order.Members
				}
				require.NotEqual(t, fleet.OrderLeave, step.Order.Kind)
			}
			if c.without == "" {
				require.Empty(t, members)
				return
			}
			require.Len(t, members, 6)
			require.NotContains(t, members, c.without)
		})
	}
}
