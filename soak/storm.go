package soak

import (
	"context"
	"time"

	"redwinghall/kernel"
	"redwinghall/platform/platformtest"
)

// Sizes and times of versions of the configuration.
const (
	minVersionInterval  = 20 // milliseconds
	maxVersionInterval  = 300
	manyRoutes          = 4000
	manyKeys            = 4000
	maxUnused           = 8000 // routes or keys, as all nodes of a run share one machine
	maxShare            = 10
	maxExtraTimeout     = 3 * time.Second
	minIdleTimeout      = 5 * time.Second
	maxExtraIdleTimeout = 10 * time.Second
)

// configurationVersion is a version that the store has acknowledged.
type configurationVersion struct {
	number  int
	kind    string
	ackedAt time.Time
}

// versionChange changes the next version of the configuration.
type versionChange struct {
	kind  string
	apply func(d *deployment, v *platformtest.Variant)
}

var versionChanges = []versionChange{
	{"the same with a new number", func(*deployment, *platformtest.Variant) {}},
	{"many routes more", func(_ *deployment, v *platformtest.Variant) {
		v.UnusedRoutes = min(v.UnusedRoutes+manyRoutes, maxUnused)
	}},
	{"many keys more", func(_ *deployment, v *platformtest.Variant) { v.UnusedKeys = min(v.UnusedKeys+manyKeys, maxUnused) }},
	{"unused routes and keys removed", removeUnused},
	{"unused routes and keys removed again", removeUnused},
	{"routes to the second service", func(_ *deployment, v *platformtest.Variant) { v.FirstShare, v.SecondShare = 0, 1 }},
	{"routes to the first service", func(_ *deployment, v *platformtest.Variant) { v.FirstShare, v.SecondShare = 1, 0 }},
	{"new weights", func(d *deployment, v *platformtest.Variant) {
		v.FirstShare, v.SecondShare = 1+d.randomInt(maxShare), 1+d.randomInt(maxShare)
	}},
	{"new timeouts", func(d *deployment, v *platformtest.Variant) {
		v.ExtraTimeout = d.randomTime(0, int(maxExtraTimeout.Milliseconds()))
		v.IdleTimeout = minIdleTimeout + d.randomTime(0, int(maxExtraIdleTimeout.Milliseconds()))
	}},
}

// removeUnused removes what other changes have added. It also keeps versions small in most
// of the time.
func removeUnused(_ *deployment, v *platformtest.Variant) { v.UnusedRoutes, v.UnusedKeys = 0, 0 }

// storm writes versions of the configuration for a while, and now and then lets the store
// drop its history or an operator repeat an older version's number.
func storm(ctx context.Context, d *deployment, duration time.Duration) error {
	for end := time.Now().Add(duration); time.Now().Before(end) && ctx.Err() == nil; {
		if err := d.putVersion(); err != nil {
			return err
		}
		if d.randomInt(10) == 0 {
			d.recordFault("store drops its history")
			d.store.DropHistory()
		}
		kernel.Sleep(ctx, d.randomTime(minVersionInterval, maxVersionInterval))
	}
	return nil
}

// putVersion writes a version of the configuration.
func (d *deployment) putVersion() error {
	change, repeated := versionChanges[d.randomInt(len(versionChanges))], d.randomInt(10) == 0
	d.versionWrite.Lock()
	defer d.versionWrite.Unlock()
	change.apply(d, &d.variant)
	d.mu.Lock()
	if !repeated || d.configVersion < 2 {
		d.configVersion++
	}
	d.variant.Version, d.variant.Keys = d.configVersion, []string{stableKey, withdrawnKey}
	d.mu.Unlock()
	next := d.variant
	if repeated {
		next.Version = 1 + d.randomInt(next.Version)
		change.kind += ", under a number that was used before"
	}
	if err := d.store.PutConfiguration(next.Configuration()); err != nil {
		return err
	}
	now := time.Now()
	d.recordFault("configuration %d: %s", next.Version, change.kind)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.versions = append(d.versions, configurationVersion{number: next.Version, kind: change.kind, ackedAt: now})
	return nil
}

// versionBefore returns the last version that was acknowledged before a time. The lock is
// held.
func (d *deployment) versionBefore(at time.Time) configurationVersion {
	last := configurationVersion{number: 1, kind: "the first"}
	for _, v := range d.versions {
		if v.ackedAt.After(at) {
			break
		}
		last = v
	}
	return last
}
