package members

import (
	"time"

	"k8s.io/klog/v2"

	"redwinghall/fleet"
)

// settleTime is how long it takes until all endpoints' entries that a store which came back
// older holds have been written again, or removed for their silence.
const settleTime = 4500 * time.Millisecond

// Settled reports whether what the store lost before an era has been written again.
//
// Guard: the entries of a copy show VMs without the groups that they have joined since. A
// holder that forms groups by them joins a VM to a second one while the first one serves.
// Who was there at the return waits; who started later learns from the holders' records
// that it is over.
func (t *Table) Settled(era int64) bool { return t.settled.Load() == era }

// noteEra notes in which era of the store the table is read. The lock is held.
func (t *Table) noteEra(boot time.Time, at fleet.Position) {
	first := t.firstAt.IsZero()
	switch {
	case first && t.config.FirstStart:
		t.settled.Store(at.Era) // nothing was there before
	case !first && at.Era > t.listedEra:
		t.wentBack(boot, at)
	}
	if first || at.Era > t.listedEra {
		t.eraSince = boot
	}
	t.listedEra = at.Era
}

// wentBack notes that the store has come back from an older copy.
//
// Guard: rows that the copy lacks are gone until they are written again. Each node writes
// its own at once, as others would count too few nodes and spend too much of what all share.
func (t *Table) wentBack(boot time.Time, at fleet.Position) {
	klog.InfoS("members_went_back", "era", at.Era, "before", t.listedEra, "version", at.Version)
	t.returnedAt = boot
	t.announcedAt = time.Time{}
}

// settle works out whether the store's era is settled. The lock is held.
func (t *Table) settle(boot time.Time) {
	if t.firstAt.IsZero() {
		return
	}
	if boot.Sub(t.eraSince) >= settleTime {
		t.settled.Store(t.listedEra)
	}
	for _, state := range t.leases {
		if state.RecoveredEra() == t.listedEra {
			t.settled.Store(t.listedEra)
		}
	}
	for zone, state := range t.leases {
		t.leases[zone] = state.WithRecoveredEra(t.settled.Load())
	}
}
