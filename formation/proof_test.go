package formation_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/fleet"
	"redwinghall/formation"
)

// Requests stall at an open head whose members are joined to other groups. What seems to
// prove that a head no longer serves is often older than an order that makes it serve,
// or isn't a report of the head at all.
func TestWhatProvesThatAVMMayJoin(t *testing.T) {
	now := time.Unix(1000, 0)
	before, after := now.Add(-10*time.Second), now.Add(-time.Second)
	in := fleet.Membership{Group: "g", Epoch: 7, Rank: 1, State: fleet.Ready}
	head := func(state fleet.GroupState) fleet.Membership {
		return fleet.Membership{Group: "g", Epoch: 7, State: state}
	}
	openOrdered := formation.GroupHistory{FormedHere: true, OpenOrdered: true, OpenUntil: now.Add(-5 * time.Second)}
	for name, c := range map[string]struct {
		evidence formation.Evidence
		proof    formation.Proof
	}{
		"belongs to no group":                {formation.Evidence{}, formation.ProofNoGroup},
		"may be put back into one":           {formation.Evidence{RejoinUntil: now.Add(time.Second)}, formation.Unproven},
		"could have been put back":           {formation.Evidence{RejoinUntil: now}, formation.ProofNoGroup},
		"standby":                            {formation.Evidence{Member: in, Standby: true}, formation.ProofNeverOpen},
		"formed here, never ordered to open": {formation.Evidence{Member: in, History: formation.GroupHistory{FormedHere: true}}, formation.ProofNeverOpen},
		"no head, no history":                {formation.Evidence{Member: in}, formation.Unproven},
		"of another holder, head ready":      {formation.Evidence{Member: in, Head: head(fleet.Ready), HeadSince: after}, formation.Unproven},
		"of another holder, head broken":     {formation.Evidence{Member: in, Head: head(fleet.Broken), HeadSince: after}, formation.Unproven},
		"of another holder, head left":       {formation.Evidence{Member: in, History: formation.GroupHistory{HeadLeft: true}}, formation.ProofHeadLeft},
		"head open":                          {formation.Evidence{Member: in, Head: head(fleet.Open), HeadSince: after, History: openOrdered}, formation.Unproven},
		"head closing":                       {formation.Evidence{Member: in, Head: head(fleet.Closing), HeadSince: after, History: openOrdered}, formation.Unproven},
		"head ready since it was opened":     {formation.Evidence{Member: in, Head: head(fleet.Ready), HeadSince: after, History: openOrdered}, formation.ProofHeadIdle},
		"head broken since it was opened":    {formation.Evidence{Member: in, Head: head(fleet.Broken), HeadSince: after, History: openOrdered}, formation.ProofHeadIdle},
		"head ready before it was opened":    {formation.Evidence{Member: in, Head: head(fleet.Ready), HeadSince: before, History: openOrdered}, formation.Unproven},
		"head ready under another epoch":     {formation.Evidence{Member: in, Head: fleet.Membership{Group: "g", Epoch: 6, State: fleet.Ready}, HeadSince: after, History: openOrdered}, formation.Unproven},
		"no head, ordered to open":           {formation.Evidence{Member: in, History: openOrdered}, formation.Unproven},
		"an order to open may be in flight":  {formation.Evidence{Member: in, Head: head(fleet.Ready), HeadSince: after, History: formation.GroupHistory{FormedHere: true, OpenOrdered: true, OpenUntil: now}}, formation.Unproven},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.proof, c.evidence.Proof(now))
		})
	}
}
