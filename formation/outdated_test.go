package formation_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/directory"
	"redwinghall/fleet"
	"redwinghall/formation"
)

// configure makes a configuration with other models known.
func (f *fakeZone) configure(version int64, models []fleet.Model) {
	f.mu.Lock()
	defer f.mu.Unlock()
	engine := *f.engine
	engine.Models = models
	f.engine = &engine
	f.cache.Apply(time.Now(), directory.Change{Config: &fleet.Configuration{
		Version: version, Services: map[string]fleet.Service{testService: {Name: testService, Engine: &engine}},
	}})
}

// A configuration changes what all groups of a model must be. They close at the same time, and
// none may cancel its streams.
func TestChangedModelsCancelNoStreams(t *testing.T) {
	for name, change := range map[string]func([]fleet.Model) []fleet.Model{
		"dropped": func(models []fleet.Model) []fleet.Model { return models[:1] },
		"larger":  func(models []fleet.Model) []fleet.Model { models[1].Size = 5; return models },
		"smaller": func(models []fleet.Model) []fleet.Model { models[1].Size = 2; return models },
	} {
		t.Run(name, func(t *testing.T) {
			runDefault(t, func(t *testing.T, f *fakeZone, _ *node) {
				models := change(slices.Clone(f.engine.Models))
				f.configure(2, models)
				time.Sleep(30 * time.Second)
				require.Empty(t, f.cancelled)
				require.Len(t, f.servingHeads("large"), 2)
				for _, head := range f.servingHeads("small") {
					require.Greater(t, len(models), 1, "a group of the dropped model is open")
					require.Len(t, head.members, models[1].Size)
				}
				if len(models) > 1 {
					require.NotEmpty(t, f.servingHeads("small"))
				}
			})
		})
	}
}

// A group that doesn't fit the configuration finishes its streams, however long they take. If it
// loses a member nothing progresses any more, and its callers must be sent elsewhere at once.
func TestOutdatedGroupIsCancelledOnceItLostAMember(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		state   fleet.GroupState
		members int
		orders  []fleet.Order
	}{
		"open":                   {fleet.Open, 3, []fleet.Order{{Kind: fleet.OrderClose}}},
		"open, lost a member":    {fleet.Open, 2, []fleet.Order{{Kind: fleet.OrderClose, Cancel: true}}},
		"closing":                {fleet.Closing, 3, nil},
		"closing, lost a member": {fleet.Closing, 2, []fleet.Order{{Kind: fleet.OrderClose, Cancel: true}}},
	} {
		t.Run(name, func(t *testing.T) {
			zone := &formation.Zone{
				Engine: &fleet.Engine{Models: defaultEngine().Models[:1]}, Progressing: func(string) bool { return false },
				History: func(string) formation.GroupHistory { return formation.GroupHistory{} }, NextEpoch: func() int64 { return 10 },
			}
			for rank := range c.members {
				member := fleet.Membership{Group: "replica|small|9x3", Epoch: 9, Rank: rank, State: fleet.Ready}
				if rank == 0 {
					member.State = c.state
				}
				zone.Workers = append(zone.Workers, &formation.Worker{
					Endpoint:  &fleet.Endpoint{ID: fmt.Sprint("small-", rank), Zone: "z", Domain: "d0", State: fleet.EndpointReady, Member: member},
					LastModel: "small", Member: member, ChangedAt: now.Add(-time.Minute), FreeSince: now.Add(-time.Minute), OrderedAt: map[fleet.OrderKind]time.Time{},
				})
			}
			var orders []fleet.Order
			for _, step := range zone.Plan(now) {
				orders = append(orders, fleet.Order{Kind: step.Order.Kind, Cancel: step.Order.Cancel})
			}
			require.Equal(t, c.orders, orders)
		})
	}
}
