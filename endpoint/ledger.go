package endpoint

import (
	"context"
	"encoding/json"
	"fmt"

	"redwinghall"
)

// Keys of the rows of a zone's groups.
func groupPrefix(zone string) string  { return "group/" + zone + "/" }
func groupKey(zone, id string) string { return groupPrefix(zone) + id }
func vmPrefix(zone string) string     { return "vm/" + zone + "/" }
func vmKey(zone, id string) string    { return vmPrefix(zone) + id }
func memberIDs(g redwinghall.Group) map[string]bool {
	out := make(map[string]bool, len(g.Members))
	for _, m := range g.Members {
		out[m.VM] = true
	}
	return out
}

// Assignment is the value of a VM's row: the one group that it belongs to.
type Assignment struct {
	Group string `json:"group"`
}

// recorded is a group and the version of its row.
type recorded struct {
	group   redwinghall.Group
	version int64
}

// GroupStore is the zone's groups and bookings as the table has them. Only the
// holder of the zone's lease writes them, so between its own writes the copy
// held here is the truth; after any doubt it is read again.
//
// Guard: two controllers that both believe that they hold the lease, or two
// decisions made from old copies, would put a VM into two groups; one of the
// groups then loses the VM while it serves. Each VM has one row, a group and
// all its VMs' rows change in one transaction, and the transaction demands
// the fence's version, which a new holder has changed.
type GroupStore struct {
	zone   string
	table  redwinghall.Table
	groups map[string]recorded
	vms    map[string]int64 // row version by VM
	loaded bool
}

// NewGroupStore returns a ledger that must be loaded first.
func NewGroupStore(zone string, table redwinghall.Table) *GroupStore {
	return &GroupStore{zone: zone, table: table}
}

// Loaded reports whether the copy may be used.
func (l *GroupStore) Loaded() bool { return l.loaded }

// Invalidate drops the copy, because it may differ from the table.
func (l *GroupStore) Invalidate() { l.loaded = false }

// Load reads the zone's rows.
func (l *GroupStore) Load(ctx context.Context) error {
	groups, err := l.table.Scan(ctx, groupPrefix(l.zone))
	if err != nil {
		return err
	}
	vms, err := l.table.Scan(ctx, vmPrefix(l.zone))
	if err != nil {
		return err
	}
	l.groups = map[string]recorded{}
	for _, row := range groups {
		var g redwinghall.Group
		if err := json.Unmarshal(row.Value, &g); err != nil {
			return redwinghall.NewOpError("Ledger.Load", redwinghall.TableUnavailable, err)
		}
		l.groups[g.ID] = recorded{group: g, version: row.Version}
	}
	l.vms = map[string]int64{}
	for _, row := range vms {
		l.vms[row.Key[len(vmPrefix(l.zone)):]] = row.Version
	}
	l.loaded = true
	return nil
}

// Assigned reports whether a VM belongs to a group.
func (l *GroupStore) Assigned(vm string) bool { return l.vms[vm] != 0 }

// Groups returns the groups by id.
func (l *GroupStore) Groups() map[string]redwinghall.Group {
	out := make(map[string]redwinghall.Group, len(l.groups))
	for id, r := range l.groups {
		out[id] = r.group
	}
	return out
}

// Version returns the version of a group's row, which numbers its register.
func (l *GroupStore) Version(id string) int64 { return l.groups[id].version }

// Put records a new or changed group together with its VMs. fence is the
// condition that this process still holds the lease.
func (l *GroupStore) Put(ctx context.Context, fence redwinghall.Write, g redwinghall.Group) error {
	value, err := json.Marshal(g)
	if err != nil {
		return redwinghall.NewOpError("Ledger.Put", redwinghall.TableUnavailable, err)
	}
	booking, err := json.Marshal(Assignment{Group: g.ID})
	if err != nil {
		return redwinghall.NewOpError("Ledger.Put", redwinghall.TableUnavailable, err)
	}
	before := memberIDs(l.groups[g.ID].group)
	after := memberIDs(g)
	writes := []redwinghall.Write{fence,
		{Key: groupKey(l.zone, g.ID), Expect: l.groups[g.ID].version, Value: value}}
	for vm := range after {
		if !before[vm] {
			// Expect 0: the VM must not belong to any group.
			writes = append(writes, redwinghall.Write{Key: vmKey(l.zone, vm), Value: booking})
		}
	}
	for vm := range before {
		if !after[vm] {
			writes = append(writes, redwinghall.Write{Key: vmKey(l.zone, vm), Expect: l.vms[vm], Delete: true})
		}
	}
	return l.commit(ctx, writes)
}

// Delete removes a group and frees its VMs.
func (l *GroupStore) Delete(ctx context.Context, fence redwinghall.Write, id string) error {
	r, ok := l.groups[id]
	if !ok {
		return nil
	}
	writes := []redwinghall.Write{fence, {Key: groupKey(l.zone, id), Expect: r.version, Delete: true}}
	for vm := range memberIDs(r.group) {
		writes = append(writes, redwinghall.Write{Key: vmKey(l.zone, vm), Expect: l.vms[vm], Delete: true})
	}
	return l.commit(ctx, writes)
}

// commit writes and then reads the zone's rows back: new versions are the
// table's to give. After a lost answer reading back also settles what
// happened, because the fence still stops every other writer.
func (l *GroupStore) commit(ctx context.Context, writes []redwinghall.Write) error {
	l.loaded = false
	if err := l.table.Commit(ctx, redwinghall.Txn{Writes: writes}); err != nil {
		return fmt.Errorf("zone %s: %w", l.zone, err)
	}
	return l.Load(ctx)
}
