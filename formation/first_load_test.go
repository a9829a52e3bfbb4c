package formation_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/fleet"
	"redwinghall/formation"
)

// Callers ask a node before its zone has formed its groups, and another zone serves them alone: the VMs hold nothing that
// is worth keeping for a lost member, and still wait for one.
func TestVMsThatHoldNoModelLoadOneSoon(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		lastModel string
		staged    []string
		free      time.Duration // since when the VMs are free
		loads     bool
	}{
		"nothing held":            {"", nil, 1500 * time.Millisecond, true},
		"nothing held, just seen": {"", nil, 500 * time.Millisecond, false},
		"another model loaded":    {"small", nil, 1500 * time.Millisecond, false},
		"another model staged":    {"", []string{"small"}, 1500 * time.Millisecond, false},
		"another model, for long": {"small", nil, 7 * time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			epoch := int64(100)
			z := &formation.Zone{
				Engine: &fleet.Engine{Slots: 26, Models: []fleet.Model{{Name: "large", Size: 2, Share: 1, TimeFactor: 1, Load: time.Second}}},
				Loads:  8, Progressing: func(string) bool { return false },
				History: func(string) formation.GroupHistory { return formation.GroupHistory{} },
				NextEpoch: func() int64 {
					epoch++
					return epoch
				},
			}
			for i := range 2 {
				z.Workers = append(z.Workers, &formation.Worker{
					LastModel: c.lastModel, FreeSince: now.Add(-c.free), OrderedAt: map[fleet.OrderKind]time.Time{},
					Endpoint: &fleet.Endpoint{ID: fmt.Sprint("vm-", i), Domain: "d0", State: fleet.EndpointReady, Staged: c.staged},
				})
			}
			loads := 0
			for _, step := range z.Plan(now) {
				if step.Why == "load_for_group" {
					loads++
				}
			}
			require.Equal(t, c.loads, loads == len(z.Workers), "%d loads", loads)
		})
	}
}
