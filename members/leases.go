package members

import (
	"context"
	"fmt"
	"time"

	"k8s.io/klog/v2"

	"redwinghall"
	"redwinghall/fleet"
	"redwinghall/lease"
)

// stepLease takes, renews or releases a zone's lease if that is due, and reports whether
// it called the store.
func (t *Table) stepLease(ctx context.Context, zone string, boot time.Time) bool {
	state := t.leases[zone]
	own := zone == t.config.Self.Zone
	action := state.Next(boot)
	if !own && state.Holder() == t.config.Self.Name && (action == lease.Acquire || t.hasLiveNode(zone, boot)) {
		t.release(ctx, zone, boot)
		return true
	}
	if action != lease.Acquire {
		delete(t.freeSince, zone)
	}
	switch {
	case action == lease.Wait, action == lease.Acquire && !t.isTurn(zone, boot):
		return false
	case action == lease.Acquire && !t.listedAt.After(t.writeFailedAt[zone]):
		// While the store is unavailable, all leases seem free, and each node of a zone
		// would try to take its lease again and again. After a failed write the table
		// must be read before the next attempt.
		return false
	case boot.Sub(t.renewTriedAt[zone]) < renewInterval:
		return false
	}
	t.renewTriedAt[zone] = boot
	t.write(ctx, zone, action, boot)
	return true
}

// hasLiveNode reports whether any node of a zone has announced itself recently.
func (t *Table) hasLiveNode(zone string, boot time.Time) bool {
	for _, s := range t.seen {
		if s.node.Zone == zone && boot.Sub(s.since) < t.announceEvery()+listInterval {
			return true
		}
	}
	return false
}

// release releases a lease, so that the zone's own nodes need not wait until it expires.
func (t *Table) release(ctx context.Context, zone string, boot time.Time) {
	txn, next := t.leases[zone].Release(zone, fmt.Sprintf("%s-leave-%d", t.config.Self.Name, boot.UnixNano()))
	t.leases[zone] = next
	t.publishHeld()
	if _, err := t.store.Commit(ctx, storeTxn(txn)); err != nil {
		klog.InfoS("lease_not_given_up", "zone", zone, "err", err)
	} else {
		klog.InfoS("lease_given_up", "zone", zone)
	}
	t.listTriedAt = time.Time{}
}

// write takes or renews a lease. The lease duration starts when the request is sent.
func (t *Table) write(ctx context.Context, zone string, action lease.Action, boot time.Time) {
	state := t.leases[zone]
	nonce := fmt.Sprintf("%s-%d", t.config.Self.Name, boot.UnixNano())
	txn, record := state.Txn(zone, action, nonce)
	at, err := t.store.Commit(ctx, storeTxn(txn))
	if err != nil {
		// After a conflict or a lost response, the next list shows who holds the lease.
		klog.InfoS("lease_unwritten", "zone", zone, "err", err)
		t.writeFailedAt[zone] = t.config.Now()
		t.listTriedAt = time.Time{}
		return
	}
	t.notePosition(at)
	if at.Era != state.Era() {
		// The versions that the transaction expected belong to rows that no longer exist.
		klog.InfoS("lease_of_another_era", "zone", zone, "era", at.Era, "read_in", state.Era())
		t.writeFailedAt[zone] = t.config.Now()
		t.listTriedAt = time.Time{}
		return
	}
	fence := redwinghall.Row{Version: at.Version}
	if action == lease.Renew {
		fence.Version = state.FenceVersion()
	}
	next, err := state.WithWritten(boot, t.config.Now(), record,
		redwinghall.Row{Version: at.Version, Value: redwinghall.RowValue(record)}, fence)
	if err != nil {
		klog.ErrorS(err, "lease_unreadable", "zone", zone)
		return
	}
	if action == lease.Acquire {
		klog.InfoS("lease_taken", "zone", zone, "number", record.Fencing, "era", at.Era, "version", at.Version)
	}
	t.leases[zone] = next
	t.publishHeld()
}

// storeTxn converts a lease transaction to a store transaction.
func storeTxn(txn redwinghall.Txn) fleet.Txn {
	var out fleet.Txn
	for _, w := range txn.Writes {
		out.Expects = append(out.Expects, fleet.Expect{Table: tableName, Key: w.Key, Version: w.Expect})
		if !w.CheckOnly {
			out.Writes = append(out.Writes, fleet.Row{Table: tableName, Key: w.Key, Value: w.Value})
		}
	}
	return out
}
