package members

import "time"

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

// settle works out whether the store's era is settled. The lock is held.
func (t *Table) settle(boot time.Time) {
	if t.firstAt.IsZero() {
		return
	}
	if !t.eraSince.IsZero() && boot.Sub(t.eraSince) >= settleTime {
		t.settled.Store(t.listedEra)
	}
	for _, state := range t.leases {
		if state.Settled() == t.listedEra {
			t.settled.Store(t.listedEra)
		}
	}
	for zone, state := range t.leases {
		t.leases[zone] = state.WithSettled(t.settled.Load())
	}
}
