package soak

import (
	"context"
	"time"

	"redwinghall/kernel"
	"redwinghall/platform/platformtest"
)

const (
	// minSnapshotAge is the least age of the snapshot from which the store is restored.
	minSnapshotAge = time.Second
	// entryTimeout is how long the store keeps entries that are not written again.
	entryTimeout = 3600 * time.Millisecond
)

// restoreStore restores the store from a snapshot. Operators and endpoints then write
// their lost entries again. Restored entries of endpoints that have been closed since
// are removed after entryTimeout, as nobody writes them again.
func restoreStore(ctx context.Context, d *deployment, duration time.Duration) error {
	snapshot := d.store.Snapshot()
	kernel.Sleep(ctx, minSnapshotAge+duration)
	d.recordFault("restore the store from a snapshot %s old", minSnapshotAge+duration)
	d.store.Restore(snapshot)
	if err := d.rewriteEntries(); err != nil {
		return err
	}
	kernel.Sleep(ctx, entryTimeout)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.closedEndpoints {
		e.endpoint.Unregister()
	}
	return nil
}

func (d *deployment) rewriteEntries() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.endpoints {
		if err := e.endpoint.Heartbeat(); err != nil {
			return err
		}
	}
	return d.store.PutConfiguration(platformtest.Configuration(d.configVersion, stableKey, withdrawnKey))
}
