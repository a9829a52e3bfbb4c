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

// Assignment is the value of a VM's row: the group that the VM belongs to.
type Assignment struct {
	Group string `json:"group"`
}

// groupRow is a group and the version of its row.
type groupRow struct {
	group   redwinghall.Group
	version int64
}

// GroupStore caches the groups and VM assignments of a zone that the table holds.
// Only the holder of the zone's lease writes them, so the cache is current between
// the holder's own writes; after a failed write it is loaded again.
//
// Two controllers that both consider themselves the holder, or two decisions based
// on outdated copies, would put a VM into two groups, and one of the groups would
// lose the VM while it serves. To prevent this, each VM has one row, a group and the
// rows of all its VMs change in one transaction, and the transaction requires the
// fence row's version, which changes with each new holder.
type GroupStore struct {
	zone   string
	table  redwinghall.Table
	groups map[string]groupRow
	vms    map[string]int64 // row version by VM
	loaded bool
}

// NewGroupStore returns a store that must be loaded before use.
func NewGroupStore(zone string, table redwinghall.Table) *GroupStore {
	return &GroupStore{zone: zone, table: table}
}

// Loaded reports whether the cache may be used.
func (s *GroupStore) Loaded() bool { return s.loaded }

// Invalidate marks the cache as unusable, because it may differ from the table.
func (s *GroupStore) Invalidate() { s.loaded = false }

// Load reads the zone's rows from the table.
func (s *GroupStore) Load(ctx context.Context) error {
	groups, err := s.table.Scan(ctx, groupPrefix(s.zone))
	if err != nil {
		return err
	}
	vms, err := s.table.Scan(ctx, vmPrefix(s.zone))
	if err != nil {
		return err
	}
	s.groups = map[string]groupRow{}
	for _, row := range groups {
		var g redwinghall.Group
		if err := json.Unmarshal(row.Value, &g); err != nil {
			return redwinghall.NewOpError("GroupStore.Load", redwinghall.TableUnavailable, err)
		}
		s.groups[g.ID] = groupRow{group: g, version: row.Version}
	}
	s.vms = map[string]int64{}
	for _, row := range vms {
		s.vms[row.Key[len(vmPrefix(s.zone)):]] = row.Version
	}
	s.loaded = true
	return nil
}

// Assigned reports whether a VM belongs to a group.
func (s *GroupStore) Assigned(vm string) bool { return s.vms[vm] != 0 }

// Groups returns the groups by id.
func (s *GroupStore) Groups() map[string]redwinghall.Group {
	out := make(map[string]redwinghall.Group, len(s.groups))
	for id, r := range s.groups {
		out[id] = r.group
	}
	return out
}

// Version returns the version of a group's row, which is also the number of its
// peer entry.
func (s *GroupStore) Version(id string) int64 { return s.groups[id].version }

// Put writes a new or changed group together with the assignments of its VMs.
// fence is the condition that this process still holds the lease.
func (s *GroupStore) Put(ctx context.Context, fence redwinghall.Write, g redwinghall.Group) error {
	value, err := json.Marshal(g)
	if err != nil {
		return redwinghall.NewOpError("GroupStore.Put", redwinghall.TableUnavailable, err)
	}
	assignment, err := json.Marshal(Assignment{Group: g.ID})
	if err != nil {
		return redwinghall.NewOpError("GroupStore.Put", redwinghall.TableUnavailable, err)
	}
	before := memberIDs(s.groups[g.ID].group)
	after := memberIDs(g)
	writes := []redwinghall.Write{fence,
		{Key: groupKey(s.zone, g.ID), Expect: s.groups[g.ID].version, Value: value}}
	for vm := range after {
		if !before[vm] {
			// Expect 0: the VM must not belong to any group.
			writes = append(writes, redwinghall.Write{Key: vmKey(s.zone, vm), Value: assignment})
		}
	}
	for vm := range before {
		if !after[vm] {
			writes = append(writes, redwinghall.Write{Key: vmKey(s.zone, vm), Expect: s.vms[vm], Delete: true})
		}
	}
	return s.commit(ctx, writes)
}

// Delete deletes a group and the assignments of its VMs.
func (s *GroupStore) Delete(ctx context.Context, fence redwinghall.Write, id string) error {
	r, ok := s.groups[id]
	if !ok {
		return nil
	}
	writes := []redwinghall.Write{fence, {Key: groupKey(s.zone, id), Expect: r.version, Delete: true}}
	for vm := range memberIDs(r.group) {
		writes = append(writes, redwinghall.Write{Key: vmKey(s.zone, vm), Expect: s.vms[vm], Delete: true})
	}
	return s.commit(ctx, writes)
}

// commit writes and then reads the zone's rows back, because the table assigns the
// new versions. If commit fails, the cache stays invalid until the next Load, which
// also shows whether a transaction was carried out whose response was lost: the fence
// excludes all other writers.
func (s *GroupStore) commit(ctx context.Context, writes []redwinghall.Write) error {
	s.loaded = false
	if err := s.table.Commit(ctx, redwinghall.Txn{Writes: writes}); err != nil {
		return fmt.Errorf("zone %s: %w", s.zone, err)
	}
	return s.Load(ctx)
}
