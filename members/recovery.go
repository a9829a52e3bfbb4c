package members

import (
	"time"

	"k8s.io/klog/v2"

	"redwinghall/fleet"
)

// recoveryTime is how long it takes, after the store was restored from an older copy, until
// every endpoint entry has been written again or has expired.
const recoveryTime = 4500 * time.Millisecond

// Recovered reports whether the entries that the store lost before an era have been written again.
//
// The entries of a restored copy show VMs without the groups that they have joined since. A
// holder that formed groups from them would join a VM to a second group while the first one
// serves. Nodes that noticed the restore wait for recoveryTime; nodes that start later learn from
// the lease holders' records that the wait is over.
func (t *Table) Recovered(era int64) bool { return t.recoveredEra.Load() == era }

// noteEra records the era of the store in which the table was read. The caller holds t.mu.
func (t *Table) noteEra(boot time.Time, at fleet.Position) {
	first := t.firstAt.IsZero()
	switch {
	case first && t.config.FirstStart:
		t.recoveredEra.Store(at.Era) // the store had no entries before
	case !first && at.Era > t.listedEra:
		t.noteRestore(boot, at)
	}
	if first || at.Era > t.listedEra {
		t.eraSince = boot
	}
	t.listedEra = at.Era
}

// noteRestore handles a restore of the store from an older copy.
//
// Rows that the copy lacks are missing until they are written again. Each node rewrites its
// own row at once. Otherwise the other nodes would count too few nodes and use too much of
// the limits that all nodes share.
func (t *Table) noteRestore(boot time.Time, at fleet.Position) {
	klog.InfoS("members_went_back", "era", at.Era, "before", t.listedEra, "version", at.Version)
	t.restoredAt = boot
	t.announcedAt = time.Time{}
}

// updateRecovered updates the newest recovered era of the store. The caller holds t.mu.
func (t *Table) updateRecovered(boot time.Time) {
	if t.firstAt.IsZero() {
		return
	}
	if boot.Sub(t.eraSince) >= recoveryTime {
		t.recoveredEra.Store(t.listedEra)
	}
	for _, state := range t.leases {
		if state.RecoveredEra() == t.listedEra {
			t.recoveredEra.Store(t.listedEra)
		}
	}
	for zone, state := range t.leases {
		t.leases[zone] = state.WithRecoveredEra(t.recoveredEra.Load())
	}
}
