package endpoint

import (
	"context"
	"crypto/rand"
	"time"

	"k8s.io/klog/v2"

	"redwinghall"
	"redwinghall/lease"
	"redwinghall/peer"
)

// LeaseStatus is a controller's view of the zone's lease.
type LeaseStatus struct {
	Holder  string
	Fencing uint64
	Holding bool
	until   time.Time // when this controller stops holding it
}

func (l LeaseStatus) holdsAt(now time.Time) bool { return l.Holding && now.Before(l.until) }

// Lease returns the lease status as of the last Tick.
func (m *Manager) Lease() LeaseStatus { return *m.status.Load() }

// grantFunc returns the function that grants cold groups to routers while this
// controller holds the lease, and nil if it does not hold it. The function checks
// the end of the lease at each request, because a controller that was paused may
// resume after another has acquired the lease.
func (m *Manager) grantFunc(holds bool) peer.GrantFunc {
	if !holds {
		return nil
	}
	grants := m.grants
	return func(at time.Time, router string, groups []string) []string {
		if !m.Lease().holdsAt(at) {
			return nil
		}
		grants.Forget(at)
		return grants.Acquire(at, router, groups)
	}
}

// Release releases the lease when this controller stops, so that the zone is not
// without a holder until the lease expires. Tick must no longer be running.
func (m *Manager) Release(ctx context.Context) {
	if !m.lease.Holds(time.Now()) {
		return
	}
	txn, state := m.lease.Release(m.config.AvailabilityZone, rand.Text())
	m.lease = state
	if err := m.table.Commit(ctx, txn); err != nil {
		klog.InfoS("lease_not_released", "cause", err.Error())
		return
	}
	klog.InfoS("lease_released", "fencing", state.Fencing())
}

func (m *Manager) readLease(ctx context.Context) (leaseRow, fenceRow redwinghall.Row, err error) {
	zone := m.config.AvailabilityZone
	rows, err := m.table.Read(ctx, lease.Key(zone), lease.FenceKey(zone))
	if err != nil {
		return leaseRow, fenceRow, err
	}
	return rows[0], rows[1], nil
}

// leaseReadsPerDuration is how many times per lease duration a watching controller
// reads the lease. More reads would hardly speed up a takeover, and with hundreds of
// controllers they would be the largest part of the reads of the platform's table.
const leaseReadsPerDuration = 4

func (m *Manager) stepLease(ctx context.Context, now time.Time) error {
	if !m.lease.Holds(now) && now.Before(m.nextLeaseRead) {
		return nil
	}
	m.nextLeaseRead = now.Add(m.config.Lease.Duration / leaseReadsPerDuration)
	leaseRow, fenceRow, err := m.readLease(ctx)
	if err != nil {
		return err
	}
	if m.lease, err = m.lease.WithRows(now, leaseRow, fenceRow); err != nil {
		return err
	}
	action := m.lease.Next(now)
	if action == lease.Wait {
		return nil
	}
	if action == lease.Acquire {
		m.continued = m.lease.Continues()
	}
	txn, record := m.lease.Txn(m.config.AvailabilityZone, action, rand.Text())
	sentAt := time.Now()
	commitErr := m.table.Commit(ctx, txn)
	if commitErr != nil && redwinghall.KindOf[redwinghall.TableKind](commitErr) != redwinghall.TableUnknown {
		return commitErr
	}
	leaseRow, fenceRow, err = m.readLease(ctx)
	if err != nil {
		return err
	}
	m.lease, err = m.lease.WithWritten(sentAt, time.Now(), record, leaseRow, fenceRow)
	return err
}
