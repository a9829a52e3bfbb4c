package endpoint_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall"
	"redwinghall/endpoint"
	"redwinghall/rwhtest"
	"redwinghall/rwhtest/heldstill"
	"redwinghall/standin/engine"
	"redwinghall/standin/table"
)

// groups returns the zone's groups from the table, and checks that no VM belongs to
// two of them: each member's row names its group, and no row names a group that the
// VM is not a member of.
func groups(t *testing.T, d *rwhtest.Deployment, zone string) map[string]redwinghall.Group {
	t.Helper()
	var rows, vmRows []redwinghall.Row
	require.Eventually(t, func() bool {
		var err, err2 error
		before, err0 := d.Table.Scan(t.Context(), "group/"+zone+"/")
		vmRows, err = d.Table.Scan(t.Context(), "vm/"+zone+"/")
		rows, err2 = d.Table.Scan(t.Context(), "group/"+zone+"/")
		return err0 == nil && err == nil && err2 == nil && sameRows(before, rows)
	}, time.Minute, time.Millisecond, "no consistent read: the rows kept changing")
	out := map[string]redwinghall.Group{}
	members := map[string]string{}
	for _, row := range rows {
		var g redwinghall.Group
		require.NoError(t, json.Unmarshal(row.Value, &g))
		out[g.ID] = g
		for _, m := range g.Members {
			require.Empty(t, members[m.VM], "%s is in two groups", m.VM)
			members[m.VM] = g.ID
		}
	}
	for _, row := range vmRows {
		var a endpoint.Assignment
		require.NoError(t, json.Unmarshal(row.Value, &a))
		vm := strings.TrimPrefix(row.Key, "vm/"+zone+"/")
		require.Equal(t, a.Group, members[vm])
		delete(members, vm)
	}
	require.Empty(t, members, "members without a row")
	return out
}

func sameRows(a, b []redwinghall.Row) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Key != b[i].Key || a[i].Version != b[i].Version {
			return false
		}
	}
	return true
}

func onlyGroup(t *testing.T, d *rwhtest.Deployment) redwinghall.Group {
	t.Helper()
	all := groups(t, d, "tartu")
	require.Len(t, all, 1)
	for _, g := range all {
		return g
	}
	return redwinghall.Group{}
}

// A member restarts at its old address and responds as before, but has no weights
// loaded. The group must get a new generation; a response alone does not show that
// the member is unchanged, and requests must not start in the incomplete group.
func TestRestartedMemberIsOrderedAnew(t *testing.T) {
	d := rwhtest.Start(t, rwhtest.Options{VMsPerGroup: 2})
	d.Submit("v1")
	before := onlyGroup(t, d)
	d.Fleet.VM(before.Members[1].VM).Restart()
	d.Eventually("the group has a new generation and is healthy", func() bool {
		g := onlyGroup(t, d)
		tracked := d.Routers[0].Selector.View().Models[rwhtest.Model].Groups
		return g.Generation > before.Generation && len(tracked) == 1 && tracked[0].Group().Generation == g.Generation &&
			tracked[0].Usable(time.Now(), time.Minute)
	})
	incompleteBefore := d.Fleet.Record().Incomplete
	require.Equal(t, 10, d.Load(10, 2, 4, 0).Correct)
	require.Equal(t, incompleteBefore, d.Fleet.Record().Incomplete, "a request started in an incomplete group")
}

// A member fails while one VM of the same fabric domain is free, and another free VM
// has failed too but is still live in the platform's list. The group must take the
// live one rather than wait for a failed VM while an accelerator is idle.
func TestLostMemberIsReplacedByALiveSpare(t *testing.T) {
	d := rwhtest.Start(t, rwhtest.Options{VMsPerGroup: 2, VMsPerZone: 4, LostAfter: time.Second})
	d.Submit("v1")
	before := onlyGroup(t, d)
	var free []string
	for _, vm := range d.VMs().Workers("tartu") {
		if vm.ID != before.Members[0].VM && vm.ID != before.Members[1].VM {
			free = append(free, vm.ID)
		}
	}
	d.Fleet.VM(free[0]).Kill()
	d.Fleet.VM(before.Members[1].VM).Kill()
	d.Eventually("the live spare is a member", func() bool {
		for _, g := range groups(t, d, "tartu") {
			for _, m := range g.Members {
				require.NotEqual(t, free[0], m.VM, "a dead VM joined a group")
				if m.VM == free[1] {
					return true
				}
			}
		}
		return false
	})
	d.WaitServing("v1")
	require.Equal(t, 10, d.Load(10, 2, 4, 0).Correct)
}

// Both VMs of the group's fabric domain fail at once and are still live in the
// platform's list. A new group must form in the other domain, which has free VMs.
func TestGroupMovesFromFailedFabricDomain(t *testing.T) {
	d := rwhtest.Start(t, rwhtest.Options{VMsPerGroup: 2, VMsPerZone: 4, DomainSize: 2, LostAfter: time.Second})
	d.Submit("v1")
	before := onlyGroup(t, d)
	for _, m := range before.Members {
		d.Fleet.VM(m.VM).Kill()
	}
	d.Eventually("a group of the other domain is in the table", func() bool {
		for _, g := range groups(t, d, "tartu") {
			if g.FabricDomain != before.FabricDomain {
				return true
			}
		}
		return false
	})
	d.WaitServing("v1")
	require.Equal(t, 10, d.Load(10, 2, 4, 0).Correct)
	require.NotEqual(t, before.FabricDomain, onlyGroup(t, d).FabricDomain)
}

// Twelve transactions in a row are carried out but their responses are lost. The
// holder must not assume that nothing was written and place the same VMs again, or
// two groups would share a VM.
func TestLostTableAnswersFormNoGroupTwice(t *testing.T) {
	d := rwhtest.Start(t, rwhtest.Options{VMsPerGroup: 2, Replicas: 4, VMsPerZone: 9})
	d.Table.SetFaults(table.Faults{LoseResponses: 12})
	d.Submit("v1")
	require.Len(t, groups(t, d, "tartu"), 4)
}

// A former holder that was paused for a long time orders an engine, which does not
// check fencing numbers, to join a group that no longer exists. Routers must not
// count the engine's group as healthy while the engine reports another one, and the
// holder must order the engine back into its group.
func TestStaleOrderToAnEngineThatIgnoresFencing(t *testing.T) {
	d := rwhtest.Start(t, rwhtest.Options{VMsPerGroup: 2, Engine: engine.Config{IgnoreFencing: true}})
	d.Submit("v1")
	before := onlyGroup(t, d)
	stale := redwinghall.Order{Fencing: 0, Group: "old-group", Generation: 1, Role: redwinghall.RoleMember,
		Model: rwhtest.Model, Version: "v0", Members: before.Members}
	client := endpoint.NewClient(10 * time.Second)
	require.NoError(t, client.Order(t.Context(), before.Members[1].Address, stale))
	d.Eventually("the engine is back in its group under a new generation", func() bool {
		g := onlyGroup(t, d)
		r, err := client.Report(t.Context(), before.Members[1].Address)
		return err == nil && g.Generation > before.Generation && r.Group == g.ID && r.Generation == g.Generation
	})
	d.WaitServing("v1")
	require.Equal(t, 10, d.Load(10, 2, 4, 0).Correct)
}

func TestStaleOrderIsRefusedByAnEngineThatChecks(t *testing.T) {
	d := rwhtest.Start(t, rwhtest.Options{})
	d.Submit("v1")
	client := endpoint.NewClient(10 * time.Second)
	err := client.Order(t.Context(), onlyGroup(t, d).Members[0].Address, redwinghall.Order{Fencing: 0, Group: "old"})
	require.Equal(t, endpoint.StaleOrder, redwinghall.KindOf[endpoint.Kind](err))
}

// A manifest with a new version is accepted while VMs are free for only one group at
// a time. The old version must serve until the new one is loaded: every request
// during the update is answered.
func TestNewVersionIsUpBeforeTheOldLeaves(t *testing.T) {
	d := rwhtest.Start(t, rwhtest.Options{VMsPerGroup: 2, Replicas: 2, VMsPerZone: 6})
	d.Submit("v1")
	d.Submit("v2")
	require.Equal(t, 10, d.Load(10, 2, 4, 0).Correct)
	d.Eventually("only the new version is left", func() bool {
		all := groups(t, d, "tartu")
		for _, g := range all {
			if g.Version != "v2" {
				return false
			}
		}
		return len(all) == 2
	})
	require.Zero(t, d.Fleet.Record().Incomplete)
}

// A holder that is paused again and again must get a zone into service all the same: neither its
// lease nor the wait before it grants cold groups may begin anew with each pause.
func TestZoneComesIntoServiceBetweenPauses(t *testing.T) {
	if heldstill.Repeat(t, heldstill.Pattern{Still: 3 * time.Second, Run: 400 * time.Millisecond, Times: 40}) {
		return
	}
	d := rwhtest.Start(t, rwhtest.Options{VMsPerGroup: 2, Replicas: 2, VMsPerZone: 6})
	d.Submit("v1")
	d.Submit("v2")
	require.Equal(t, 10, d.Load(10, 2, 4, 0).Correct)
	require.Zero(t, d.Fleet.Record().Incomplete)
}

// The platform's list marks a member and a service VM as leaving. Neither may
// receive new requests, and another group must replace the member's.
func TestLeavingVMsAreLetGo(t *testing.T) {
	d := rwhtest.Start(t, rwhtest.Options{VMsPerGroup: 2, VMsPerZone: 4})
	d.Submit("v1")
	leaving := onlyGroup(t, d).Members[0].VM
	vms := d.VMs()
	for i := range vms {
		if vms[i].ID == leaving || vms[i].Service != "" {
			vms[i].State = redwinghall.VMLeaving
		}
	}
	d.Table.SetVMs(vms)
	d.Eventually("the VM is free and another group serves", func() bool {
		all := groups(t, d, "tartu")
		for _, g := range all {
			for _, m := range g.Members {
				if m.VM == leaving {
					return false
				}
			}
		}
		return len(all) == 1
	})
	d.Eventually("the service endpoint receives no more requests", func() bool {
		r, err := d.PostDeposit(0, "late")
		return err == nil && r.Status == http.StatusServiceUnavailable
	})
	require.Zero(t, d.Runs("late"))
	d.Eventually("a healthy group serves", func() bool { return d.Load(1, 1, 4, 0).Correct == 1 })
}
