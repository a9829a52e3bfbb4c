package soak

import (
	"context"
	"time"

	"redwinghall/kernel"
	"redwinghall/platform/platformtest"
)

const (
	// copyAge is the least age of the copy from which the store comes back.
	copyAge = time.Second
	// silentEntries is how long the store keeps entries that nobody writes again.
	silentEntries = 3600 * time.Millisecond
)

// storeComesBackOlder lets the store come back from a copy. Operators and endpoints write
// again what it lost; entries of endpoints that have ended since are removed for their silence.
func storeComesBackOlder(ctx context.Context, w *world, lasts time.Duration) error {
	kept := w.store.Snapshot()
	kernel.Sleep(ctx, copyAge+lasts)
	w.note("store comes back from a copy %s old", copyAge+lasts)
	w.store.Restore(kept)
	if err := w.writeAgain(); err != nil {
		return err
	}
	kernel.Sleep(ctx, silentEntries)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.ended {
		e.endpoint.Unregister()
	}
	return nil
}

func (w *world) writeAgain() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.endpoints {
		if err := e.endpoint.Heartbeat(); err != nil {
			return err
		}
	}
	return w.store.Put("op", "config", platformtest.Configuration(w.version, stableKey, withdrawnKey))
}
